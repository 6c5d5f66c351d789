// Connections to backends, the attempts on them and how these end. Decides nothing: it sends where it is told
// and reports one outcome for each attempt.
#ifndef IVYGW_NET_BACKEND_POOL_H_
#define IVYGW_NET_BACKEND_POOL_H_

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "net/clock.h"
#include "net/http.h"
#include "policy/balance.h"

namespace ivygw {

struct AttemptEnd {
  micadock::Result result = micadock::Result::kOk;
  double took_s = 0;
  double true_units = 0;
  std::string headers;  // end-to-end header lines of a good answer
  std::string body;
};

class BackendPool {
 public:
  using Done = std::function<void(AttemptEnd)>;

  BackendPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
              size_t most_connections);
  ~BackendPool();

  void Update(uint32_t backend, tcp::endpoint address);  // ready: named by discovery
  void Drain(uint32_t backend);                          // told to be draining: nothing new after the grace
  void Remove(uint32_t backend);                         // told to be gone: nothing new at all

  // Sends `message` on a kept connection or a new one. `done` runs exactly once, never within this call,
  // unless Cancel ends the attempt. Returns the attempt's number for Cancel.
  uint64_t Send(uint32_t backend, std::string message, double patience_s, Done done);

  // Closes the attempt's connection at once. False if it has ended already. `done` is not run.
  bool Cancel(uint64_t attempt, bool* may_have_run);

  void CloseIdle();
  size_t connections() const { return connections_; }

 private:
  struct Backend;
  class Connection;

  Backend* Find(uint32_t id);
  bool MakeRoom();

  asio::io_context& io_;
  const Clock::duration idle_, connect_timeout_, drain_grace_;
  const size_t most_;
  size_t connections_ = 0;
  uint64_t last_attempt_ = 0;
  std::unordered_map<uint32_t, std::unique_ptr<Backend>> backends_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> out_;  // attempts out, by number
  std::list<Connection*> idle_order_;                              // longest idle first
};

}  // namespace ivygw

#endif  // IVYGW_NET_BACKEND_POOL_H_
