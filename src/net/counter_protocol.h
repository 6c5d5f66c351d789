// How a call to the shared counter is written, and what its answers mean. Pure; one thread.
//   tally: the platform's `TALLY name amount ms`, one answer a call (PROTOCOL, "The counter").
//   redis: Redis 7.0 or later, or Valkey: MULTI, INCRBYFLOAT, PEXPIRE ... NX, EXEC (redis.io/commands), four
//          answers a call. A transaction runs whole or not at all, so a name never stays without its life.
#ifndef IVYGW_NET_COUNTER_PROTOCOL_H_
#define IVYGW_NET_COUNTER_PROTOCOL_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct redisReply;

namespace ivygw {

enum class CounterKind { kTally, kRedis };

struct CounterAccess {
  CounterKind kind = CounterKind::kTally;
  std::string username, password;  // of redis; empty: none
  int database = 0;                // of redis
  std::string prefix;              // of names, so that one engine can serve several installations
};

struct CounterReading {
  enum class What {
    kMore,      // the call has further answers
    kTotal,     // added
    kNotAdded,  // turned away; certainly nothing was added
    kSpoilt,    // no answer to such a call: what it did is not known, and the connection is of no further use
  };
  What what = What::kMore;
  double total = 0;
};

// Of a call with several answers, from one to the next.
struct CounterCallState {
  size_t turn = 0;
  bool begun = true;   // the transaction was taken
  bool added = false;  // outside of it: it was not taken, and what follows ran by itself
  double total = 0;
};

class CounterProtocol {
 public:
  virtual ~CounterProtocol() = default;
  // What a fresh connection sends first, and how many answers, each +OK, come of it.
  virtual std::string Greeting() const { return ""; }
  virtual size_t greeting_answers() const { return 0; }
  // `amount` is finite and within 1e9; `keep_ms` from 1 to 60,000: the life of a new name.
  virtual std::string Call(std::string_view name, double amount, int keep_ms) const = 0;
  // Takes the next answer of the call that is first in line.
  virtual CounterReading Read(const redisReply& reply, CounterCallState* state) const = 0;
};

std::unique_ptr<CounterProtocol> MakeCounterProtocol(const CounterAccess& access);

}  // namespace ivygw

#endif  // IVYGW_NET_COUNTER_PROTOCOL_H_
