// Calls to the counter over RESP2, pipelined on few connections. Each call ends exactly once. What a call is and what
// its answers mean is the protocol's (counter_protocol.h): the platform's, or that of Redis and Valkey.
#ifndef IVYGW_NET_COUNTER_CLIENT_H_
#define IVYGW_NET_COUNTER_CLIENT_H_

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "net/clock.h"
#include "net/counter_protocol.h"
#include "net/http.h"
#include "policy/balance.h"

namespace ivygw {

class CounterClient {
 public:
  using Done = std::function<void(micadock::CountAnswer)>;

  CounterClient(asio::io_context& io, tcp::endpoint address, double timeout_s, double connect_timeout_s,
                Done done, const CounterAccess& access = {});
  ~CounterClient();

  void Start();  // opens a first connection, so that no call waits for it
  void Call(uint64_t name, double amount, double keep_s);
  // From now on calls go to another address. What is out is still answered by the one before.
  void Move(const tcp::endpoint& address);

 private:
  class Connection;
  struct Pending {
    uint64_t name = 0;
    bool ended = false;    // answered or timed out: a later answer is only matched
    bool written = false;  // may have been added
    CounterCallState state;  // of its answers
    Clock::time_point give_up{};
  };

  Connection* Choose();
  void End(const std::shared_ptr<Pending>& call, micadock::Result result, double total = 0);
  void ArmTimeouts();
  void Lost(Connection* connection, bool failed);

  asio::io_context& io_;
  tcp::endpoint address_;
  const Clock::duration timeout_, silence_, connect_timeout_;
  Done done_;
  const std::unique_ptr<CounterProtocol> protocol_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::shared_ptr<Connection>> leaving_;  // to an address before, with calls out
  std::deque<std::shared_ptr<Pending>> waiting_;  // by time: every call has the same time-out
  asio::steady_timer timer_;
  bool armed_ = false;
  Clock::duration backoff_{};
  Clock::time_point not_before_{};
};

}  // namespace ivygw

#endif  // IVYGW_NET_COUNTER_CLIENT_H_
