// The gateway without I/O: events with the time go in, effects come out, in order; the same events give the
// same effects. No sockets, no threads, no clock of its own. The only caller of the decision module: it keeps
// the books round the module and decides nothing about servers, retries or quotas.
//
// A driver (sockets, virtual time, a trace) calls one event at a time and then runs the effects, in order.
// `now` is in seconds of the module's clock, the same at every gateway as far as machines agree; it must not
// go back, and where it does, nothing is due until it has caught up. Events about connections, calls or
// clients that the core no longer knows change nothing, however late or often they come.
#ifndef IVYGW_CORE_GATEWAY_CORE_H_
#define IVYGW_CORE_GATEWAY_CORE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_table.h"
#include "core/ban_table.h"
#include "core/counter_call_table.h"
#include "core/drain.h"
#include "core/effects.h"
#include "core/events.h"
#include "core/request_table.h"
#include "core/shutdown.h"
#include "core/stats.h"
#include "core/timer_queue.h"
#include "policy/balance.h"

namespace ivygw::core {

struct CoreSettings {
  micadock::Settings module;
  ConnectionLimits connections;
  uint64_t seed = 0;
  bool has_counter = false;
};

class GatewayCore {
 public:
  GatewayCore(const CoreSettings& settings, double now, Effects* out);
  ~GatewayCore();

  void Handle(double now, const Event& event, Effects* out);  // any of the events below

  // Clients. OnRequest returns the request's number, the same as in Hold, its first effect.
  bool IsOpen(const std::string& id) const { return requests_.IsOpen(id); }
  uint32_t OnRequest(double now, const RequestArrived& arrival, Effects* out);
  void OnClientDisconnected(double now, uint64_t client,
                            Effects* out);  // its connection has ended, held or not

  // Connections to backends, by the numbers in Connect.
  void OnConnectionOpened(double now, uint64_t connection, Effects* out);
  void OnRequestWritten(double now, uint64_t connection, Effects* out);  // the message's last byte is out
  void OnResponse(double now, uint64_t connection, micadock::Result result, double true_units, bool keep,
                  Effects* out);
  void OnConnectionLost(double now, uint64_t connection, Effects* out);  // refused, reset, ended, spoilt
  void OnConnectionStale(double now, uint64_t connection,
                         Effects* out);  // a kept one had ended before it was written to

  // Bodies that are not whole at once. A request whose body has gone, in part, is sent no second time; its
  // time begins when the body is whole. A begun answer is the request's final one: it ends with OnAnswer or
  // OnLost.
  void OnBodyDiscarded(uint32_t request);
  void OnBodyCompleted(double now, uint32_t request, Effects* out);
  void OnResponseStarted(double now, uint64_t connection, Effects* out);

  // Works that outlive their gateway, and the fleet.
  void OnIntentResolved(double now, uint32_t request, int attempt, bool ok, Effects* out);
  void OnRequestWithdrawn(double now, uint64_t client, Effects* out);
  void OnFleetSizeChanged(int gateways, bool counted) { balancer_->OnFleet(gateways, counted); }

  // Discovery.
  void OnBackendList(double now, micadock::ListKind kind, const std::vector<ListedBackend>& entries,
                     Effects* out);
  void OnDiscoveryFailed(double now, Effects* out);

  // The counter, by the numbers in Count.
  void OnCounterCallWritten(uint64_t call) { counts_.OnWritten(call); }
  void OnCounterResponse(double now, uint64_t call, micadock::Result result, double total, Effects* out);
  void OnCounterCallLost(double now, uint64_t call, Effects* out);

  // Time. OnTime is to be called at NextDue or soon after; called early, it does nothing. NextDue changes
  // nothing that an event could notice: it only forgets what has become void.
  double NextDue(double now);
  void OnTimerExpired(double now, Effects* out);

  // The planned end: Stop or StopIfQuiet follow.
  void BeginShutdown(double now, Effects* out);
  bool ready() const { return accepting() && !shutdown_.begun(); }

  // Operators. A ban is a drain without grace, of a backend that need not be listed; the end of one is one
  // call, however often it was called out. A drain of the gateway: it is not ready, and empties itself.
  void OnBanChanged(double now, uint32_t backend, bool out_of_use, Effects* out);
  void OnDrainChanged(double now, bool on, Effects* out);
  bool serving() const { return ready_; }                    // can serve, whether or not it is to
  bool accepting() const { return ready_ && !drain_.on(); }  // ready but for a planned end
  bool draining() const { return drain_.on(); }
  const Stats& stats() const { return stats_; }
  // Listed backends that are not used now: banned, or set aside by the module.
  size_t UnavailableBackends(double now) const;
  // An upgrade: what this gateway's module has learned of the backends, and what another process of it had.
  micadock::Learned LearnedState(double now) const { return balancer_->Remember(now); }
  void OnLearnedStateRestored(double now, const micadock::Learned& learned) {
    balancer_->Recall(now, learned);
  }

  const BanTable& bans() const { return bans_; }
  const RequestTable& requests() const { return requests_; }
  const BackendTable& backends() const { return backends_; }
  const CounterCallTable& counter_calls() const { return counts_; }
  size_t timers() const { return timers_.size(); }

 private:
  // An outcome that the core knows of by itself, told after the module's call has returned.
  struct Told {
    uint32_t request = 0;
    int attempt = 0;
    micadock::Result result = micadock::Result::kNeverSent;
  };

  template <typename Call>
  void Tell(double now, Effects* out, Call call);
  void TellList(double now, micadock::ListKind kind, const std::vector<ListedBackend>& entries, Effects* out);
  void Act(double now, micadock::Action& action, Effects* out);
  void Send(double now, const micadock::Action& action, Effects* out);
  // The attempt goes to its backend now; false where it can't.
  micadock::Result Place(double now, uint32_t request, int attempt, double patience_s, Effects* out);
  void Cancel(const micadock::Action& action, Effects* out);
  void Ended(double now, const std::optional<ExchangeResult>& end, double true_units, Effects* out);
  void Outcome(double now, uint32_t request, int attempt, micadock::Result result, double true_units,
               uint64_t connection, Effects* out);
  void Counted(double now, const std::optional<micadock::CountAnswer>& answer, Effects* out);
  void Finish(uint32_t request, int status, double retry_after_s, uint64_t connection, Effects* out);
  void ForgetIfOver(uint32_t request, Effects* out);
  void Guard(double now, uint32_t request, Effects* out);
  bool Void(const TimerQueue::Timer& timer) const;  // what it was for has ended
  void Settle(double now, Effects* out);            // the end of every event

  const CoreSettings settings_;
  RequestTable requests_;
  BackendTable backends_;
  BanTable bans_;
  Stats stats_;
  CounterCallTable counts_;
  TimerQueue timers_;
  Shutdown shutdown_;
  Drain drain_;
  std::deque<Told> told_;
  std::deque<uint64_t> uncounted_;  // names of calls made where there is no counter
  uint32_t reporting_ = 0;          // the request of which an outcome is being told
  bool ready_ = false;
  micadock::Actions actions_, acting_;
  std::optional<micadock::Balancer> balancer_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_GATEWAY_CORE_H_
