// The gateway's state machine without I/O: events with a timestamp go in, effects come out in order, and the
// same events give the same effects. It has no sockets, threads or clock. It is the only caller of the
// balancer (policy/balance.h): it keeps track of requests and connections, and leaves every decision about
// backends, retries and quotas to the balancer.
//
// A driver (sockets, virtual time, a recorded trace) passes one event at a time and then executes the effects
// in order. `now` is in seconds on the balancer's clock, which all gateways share as far as their machines'
// clocks agree. It must not go back; if it does, nothing is due until it has caught up. Events about
// connections, calls or clients that the core doesn't know (any more) are ignored, however late or often they
// come.
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
  micadock::Settings policy;
  ConnectionLimits connections;
  uint64_t seed = 0;
  bool has_counter = false;
};

class GatewayCore {
 public:
  GatewayCore(const CoreSettings& settings, double now, Effects* out);
  ~GatewayCore();

  void Handle(double now, const Event& event, Effects* out);  // calls the method for the event

  // Clients. OnRequest returns the request's number, which RegisterRequest, its first effect, carries too.
  bool IsOpen(const std::string& id) const { return requests_.IsOpen(id); }
  uint32_t OnRequest(double now, const RequestArrived& arrival, Effects* out);
  void OnClientDisconnected(double now, uint64_t client, Effects* out);

  // Connections to backends, by the numbers in OpenConnection.
  void OnConnectionOpened(double now, uint64_t connection, Effects* out);
  void OnRequestWritten(double now, uint64_t connection, Effects* out);
  void OnResponse(double now, uint64_t connection, micadock::Result result, double true_units, bool reusable,
                  Effects* out);
  void OnConnectionLost(double now, uint64_t connection, Effects* out);
  void OnConnectionStale(double now, uint64_t connection, Effects* out);

  // Streamed bodies. A request whose body is no longer buffered from its start is not retried; its timeout
  // starts when the body is complete. A streamed response is the request's final one and ends with OnResponse
  // or OnConnectionLost.
  void OnBodyDiscarded(uint32_t request);
  void OnBodyCompleted(double now, uint32_t request, Effects* out);
  void OnResponseStarted(double now, uint64_t connection, Effects* out);

  // The fleet, and recorded requests: their attempts have durable write-ahead records (intents), so that
  // another gateway can take them over.
  void OnIntentResolved(double now, uint32_t request, int attempt, bool ok, Effects* out);
  void OnRequestWithdrawn(double now, uint64_t client, Effects* out);
  void OnFleetSizeChanged(int gateways, bool counted) { balancer_->OnFleet(gateways, counted); }

  // Discovery.
  void OnBackendList(double now, micadock::ListKind kind, const std::vector<ListedBackend>& entries,
                     Effects* out);
  void OnDiscoveryFailed(double now, Effects* out);

  // The counter, by the numbers in CallCounter.
  void OnCounterCallWritten(uint64_t call) { counter_calls_.OnWritten(call); }
  void OnCounterResponse(double now, uint64_t call, micadock::Result result, double total, Effects* out);
  void OnCounterCallLost(double now, uint64_t call, Effects* out);

  // Timers. OnTimerExpired has to be called at NextDue or soon after; an early call does nothing. NextDue
  // changes nothing except that it drops obsolete timers, which no event can observe.
  double NextDue(double now);
  void OnTimerExpired(double now, Effects* out);

  // Starts a graceful shutdown; Stop or StopIfIdle follow.
  void BeginShutdown(double now, Effects* out);
  bool ready() const { return accepting() && !shutdown_.begun(); }

  // Operators. A ban is a drain without grace period, and the backend need not be listed; bans don't nest. A
  // drain of the gateway makes it not ready, disables client keep-alive, and later closes idle client
  // connections.
  void OnBanChanged(double now, uint32_t backend, bool banned, Effects* out);
  void OnDrainChanged(double now, bool on, Effects* out);
  bool serving() const { return ready_; }  // discovery has responded or failed; also in a drain or shutdown
  bool accepting() const { return ready_ && !drain_.on(); }  // serving, and no drain is on
  bool draining() const { return drain_.on(); }
  const Stats& stats() const { return stats_; }
  // The number of listed backends that are not used now: banned by an operator, or ejected by the balancer as
  // outliers.
  size_t UnavailableBackends(double now) const;
  // Upgrades: what the balancer has learned of the backends, to be restored in the next process.
  micadock::LearnedState LearnedState(double now) const { return balancer_->ExportLearned(now); }
  void OnLearnedStateRestored(double now, const micadock::LearnedState& learned) {
    balancer_->ImportLearned(now, learned);
  }

  const BanTable& bans() const { return bans_; }
  const RequestTable& requests() const { return requests_; }
  const BackendTable& backends() const { return backends_; }
  const CounterCallTable& counter_calls() const { return counter_calls_; }
  size_t timers() const { return timers_.size(); }

 private:
  // The outcome of an attempt that was known as soon as the balancer's action was executed. It is reported
  // after the balancer's call has returned.
  struct DeferredOutcome {
    uint32_t request = 0;
    int attempt = 0;
    micadock::Result result = micadock::Result::kNeverSent;
  };

  template <typename Call>
  void CallBalancer(double now, Effects* out, Call call);
  void ApplyList(double now, micadock::ListKind kind, const std::vector<ListedBackend>& entries,
                 Effects* out);
  void ExecuteAction(double now, micadock::Action& action, Effects* out);
  void StartAttempt(double now, const micadock::Action& action, Effects* out);
  // Starts the attempt's exchange. Returns kOk, or kConnectFailed if no connection is available.
  micadock::Result SendAttempt(double now, uint32_t request, int attempt, double timeout_s, Effects* out);
  void CancelAttempt(const micadock::Action& action, Effects* out);
  void OnExchangeEnd(double now, const std::optional<ExchangeResult>& end, double true_units, Effects* out);
  void ReportOutcome(double now, uint32_t request, int attempt, micadock::Result result, double true_units,
                     uint64_t connection, Effects* out);
  void ReportCounterResult(double now, const std::optional<micadock::CountAnswer>& answer, Effects* out);
  void Respond(uint32_t request, int status, double retry_after_s, uint64_t connection, Effects* out);
  void ReleaseIfFinished(uint32_t request, Effects* out);
  void OnRequestDeadline(double now, uint32_t request, Effects* out);
  bool IsObsolete(const TimerQueue::Timer& timer) const;  // whether what the timer was set for has ended
  void FinishEvent(double now, Effects* out);             // called at the end of every event

  const CoreSettings settings_;
  RequestTable requests_;
  BackendTable backends_;
  BanTable bans_;
  Stats stats_;
  CounterCallTable counter_calls_;
  TimerQueue timers_;
  Shutdown shutdown_;
  Drain drain_;
  std::deque<DeferredOutcome> deferred_outcomes_;
  std::deque<uint64_t> unsent_counter_calls_;  // names of counter calls made though there is no counter
  uint32_t reporting_ = 0;                     // the request whose outcome is being reported
  bool ready_ = false;
  micadock::Actions actions_, executing_;
  std::optional<micadock::Balancer> balancer_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_GATEWAY_CORE_H_
