// The only caller of the decision module: turns what happens on sockets into its calls, and its actions into
// work. Owns request ids, timers and the clock. Decides nothing.
#ifndef IVYGW_GATEWAY_GATEWAY_H_
#define IVYGW_GATEWAY_GATEWAY_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/client_call.h"
#include "gateway/config.h"
#include "gateway/shutdown.h"
#include "gateway/timers.h"
#include "net/backend_pool.h"
#include "net/client_server.h"
#include "net/counter_client.h"
#include "net/discovery_client.h"
#include "policy/balance.h"

namespace ivygw {

class Gateway {
 public:
  Gateway(asio::io_context& io, const Config& config);
  ~Gateway();

  tcp::endpoint local() const { return server_.local(); }
  // Goes on serving what comes, asks clients to close, and stops the io_context when nothing is held any more
  // or the time for that is over.
  void Close();
  void Reload(const Config& fresh);  // moves to the discovery and counter that it names

 private:
  struct Attempt {
    uint64_t number = 0;  // the pool's
    bool out = false;
  };
  struct Held {
    uint64_t connection = 0;
    std::string id;          // the client's
    std::string head, body;  // of the message to backends, but for the time-out
    Clock::time_point deadline;
    std::vector<Attempt> attempts;
    bool answered = false, may_have_run = false, free = false;
    bool Out() const {
      return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    }
  };
  enum class Due { kModule, kGuard };

  double Now() const;
  template <typename Call>
  void Tell(Call call);
  void Act(micadock::Action& action);
  void SendAttempt(const micadock::Action& action);
  void CancelAttempt(const micadock::Action& action);
  void OnEnd(uint32_t id, int attempt, uint32_t backend, AttemptEnd end);
  void Report(uint32_t id, int attempt, uint32_t backend, const AttemptEnd& end);
  void Finish(uint32_t id, Answer answer);
  void Forget(uint32_t id);
  void Guard(uint32_t id);

  void OnMessage(uint64_t connection, ClientMessage message);
  void OnClosed(uint64_t connection, bool held);
  void OnList(const BackendList& list, micadock::ListKind kind);
  void OnDue(Due due, uint64_t tag);
  void CheckShutdown();

  asio::io_context& io_;
  const Config& config_;
  const double epoch_s_;  // the system's clock at the monotonic clock's zero
  BackendIds ids_;
  std::vector<uint32_t> listed_;  // backends named by discovery and not gone
  BackendPool pool_;
  ClientServer server_;
  std::optional<CounterClient> counter_;
  DiscoveryClient discovery_;
  std::unordered_map<uint32_t, Held> held_;
  std::unordered_map<uint64_t, uint32_t> by_connection_;  // requests that are not answered
  std::unordered_set<std::string> open_ids_;                // the clients' ids of what is held
  uint32_t last_id_ = 0;
  uint32_t reporting_ = 0;  // the request of which an outcome is being told
  Timers<Due> timers_;
  micadock::Actions actions_, acting_;
  bool ready_ = false;
  Shutdown shutdown_;
  std::optional<micadock::Balancer> balancer_;
};

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_GATEWAY_H_
