// Connections to the counter over RESP2, calls pipelined on few of them, by the core's numbers. What a call
// is and what its answers mean is the protocol's (counter_protocol.h): the platform's, or that of Redis and
// Valkey. How long a call is waited for is the core's word.
#ifndef IVYGW_NET_COUNTER_CLIENT_H_
#define IVYGW_NET_COUNTER_CLIENT_H_

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/clock.h"
#include "net/counter_protocol.h"
#include "net/http.h"
#include "policy/balance.h"

namespace ivygw {

// Each call is answered or lost once; `OnCountWritten` comes before, once it may have been added. Any of it
// may come while a call of CounterClient is running.
class CounterEvents {
 public:
  virtual ~CounterEvents() = default;
  virtual void OnCountWritten(uint64_t call) = 0;
  // kOk: added, and the total; kFull: not added.
  virtual void OnCountAnswer(uint64_t call, micadock::Result result, double total) = 0;
  virtual void OnCountLost(uint64_t call) = 0;  // no connection, or it ended with the call out
};

class CounterClient {
 public:
  // `patience_s`: for which calls are waited for; twice as long without a byte, and a second at least, a
  // connection counts as dead.
  CounterClient(asio::io_context& io, tcp::endpoint address, double patience_s, double connect_timeout_s,
                CounterEvents* events, const CounterAccess& access = {});
  ~CounterClient();

  void Start();  // opens a first connection, so that no call waits for it
  void Call(uint64_t call, uint64_t name, double amount, double keep_s);
  void Drop(
      uint64_t call);  // it must not go out any more if it has not yet; it is neither answered nor lost then
  // From now on calls go to another address. What is out is still answered by the one before.
  void Move(const tcp::endpoint& address);

 private:
  class Connection;
  struct Pending {
    uint64_t call = 0;
    bool dropped = false;    // told as never added
    CounterCallState state;  // of its answers
  };

  Connection* Choose();
  void Lost(Connection* connection, bool failed);

  asio::io_context& io_;
  tcp::endpoint address_;
  const Clock::duration silence_, connect_timeout_;
  CounterEvents* events_;
  const std::unique_ptr<CounterProtocol> protocol_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::shared_ptr<Connection>> leaving_;                  // to an address before, with calls out
  std::unordered_map<uint64_t, std::shared_ptr<Pending>> unwritten_;  // while their connection comes up
  Clock::duration backoff_{};
  Clock::time_point not_before_{};
};

}  // namespace ivygw

#endif  // IVYGW_NET_COUNTER_CLIENT_H_
