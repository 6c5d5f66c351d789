#include "core/gateway_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/limits.h"

namespace ivygw::core {

using micadock::Action;
using micadock::ActionKind;
using micadock::Actions;
using micadock::Balancer;
using micadock::ListKind;
using micadock::Result;

GatewayCore::GatewayCore(const CoreSettings& settings, double now, Effects* out)
    : settings_(settings),
      backends_(settings.connections),
      counter_calls_(kCounterTimeoutFactor * settings.policy.count_timeout_s) {
  stats_.classes.resize(settings.policy.classes.size());
  balancer_.emplace(settings_.policy, settings_.seed, now, &actions_);
  // Executes the actions of the balancer's constructor.
  CallBalancer(now, out, [](Balancer&, double, Actions*) {});
  FinishEvent(now, out);
}

GatewayCore::~GatewayCore() = default;

// Executes the actions after the balancer's call has returned. To avoid re-entry, no action calls the
// balancer: outcomes that are known at once are reported by FinishEvent.
template <typename Call>
void GatewayCore::CallBalancer(double now, Effects* out, Call call) {
  call(*balancer_, now, &actions_);
  executing_.swap(actions_);
  for (Action& action : executing_) ExecuteAction(now, action, out);
  executing_.clear();
}

void GatewayCore::ExecuteAction(double now, Action& action, Effects* out) {
  switch (action.kind) {
    case ActionKind::kSend: return StartAttempt(now, action, out);
    case ActionKind::kCancel: return CancelAttempt(action, out);
    case ActionKind::kRefuse:
      return Respond(action.request, action.seconds > 0 ? 429 : 503, action.seconds, 0, out);
    case ActionKind::kFail: return Respond(action.request, 502, 0, 0, out);
    case ActionKind::kTimer:
      return timers_.Add(now + std::max(0.0, action.seconds), TimerKind::kBalancer, action.tag);
    case ActionKind::kCount:
      if (settings_.has_counter) return counter_calls_.Begin(now, action, &timers_, out);
      return unsent_counter_calls_.push_back(action.tag);
    case ActionKind::kLog: return out->push_back(Log{std::move(action.text)});
    case ActionKind::kSubscribe: return out->push_back(SubscribeToDiscovery{});
  }
}

void GatewayCore::Handle(double now, const Event& event, Effects* out) {
  struct EventDispatcher {
    GatewayCore* core;
    double now;
    Effects* out;
    void operator()(const RequestArrived& e) { core->OnRequest(now, e, out); }
    void operator()(const ClientDisconnected& e) { core->OnClientDisconnected(now, e.client, out); }
    void operator()(const ConnectionOpened& e) { core->OnConnectionOpened(now, e.connection, out); }
    void operator()(const RequestWritten& e) { core->OnRequestWritten(now, e.connection, out); }
    void operator()(const ResponseReceived& e) {
      core->OnResponse(now, e.connection, e.result, e.true_units, e.reusable, out);
    }
    void operator()(const ConnectionLost& e) { core->OnConnectionLost(now, e.connection, out); }
    void operator()(const ConnectionStale& e) { core->OnConnectionStale(now, e.connection, out); }
    void operator()(const BackendListUpdated& e) { core->OnBackendList(now, e.kind, e.entries, out); }
    void operator()(const DiscoveryFailed&) { core->OnDiscoveryFailed(now, out); }
    void operator()(const CounterCallWritten& e) { core->OnCounterCallWritten(e.call); }
    void operator()(const CounterResponseReceived& e) {
      core->OnCounterResponse(now, e.call, e.result, e.total, out);
    }
    void operator()(const CounterCallLost& e) { core->OnCounterCallLost(now, e.call, out); }
    void operator()(const TimerExpired&) { core->OnTimerExpired(now, out); }
    void operator()(const ShutdownRequested&) { core->BeginShutdown(now, out); }
    void operator()(const BodyDiscarded& e) { core->OnBodyDiscarded(e.request); }
    void operator()(const BodyCompleted& e) { core->OnBodyCompleted(now, e.request, out); }
    void operator()(const ResponseStarted& e) { core->OnResponseStarted(now, e.connection, out); }
    void operator()(const LearnedStateRestored& e) { core->OnLearnedStateRestored(now, e.learned); }
    void operator()(const IntentResolved& e) { core->OnIntentResolved(now, e.request, e.attempt, e.ok, out); }
    void operator()(const RequestWithdrawn& e) { core->OnRequestWithdrawn(now, e.client, out); }
    void operator()(const FleetSizeChanged& e) { core->OnFleetSizeChanged(e.gateways, e.counted); }
    void operator()(const QuotaShareGranted& e) {
      core->balancer_->OnShare(now, e.customer, e.share, e.seconds);
    }
    void operator()(const BackendBanChanged& e) { core->OnBanChanged(now, e.backend, e.banned, out); }
    void operator()(const DrainChanged& e) { core->OnDrainChanged(now, e.on, out); }
  };
  std::visit(EventDispatcher{this, now, out}, event);
}

uint32_t GatewayCore::OnRequest(double now, const RequestArrived& arrival, Effects* out) {
  double margin = ResponseMargin(arrival.timeout_s),
         deadline = now + arrival.body_s + arrival.timeout_s - margin / 2;
  bool side_effect_free =
      settings_.policy.classes[static_cast<size_t>(arrival.cls)].effect == micadock::Effect::kFree;
  uint32_t id = requests_.Add(arrival.client, arrival.id, arrival.cls, deadline, side_effect_free);
  RequestState* state = requests_.Find(id);
  state->timeout_s = arrival.timeout_s;
  state->body_complete = arrival.body_s <= 0;
  state->recorded = arrival.recorded;
  timers_.Add(deadline, TimerKind::kRequestDeadline, id);
  out->push_back(RegisterRequest{id, arrival.client});
  // The shutdown might cut the request off. It is refused before anything is sent to a backend, so that the
  // client can go to another gateway.
  if (!arrival.resumed && shutdown_.CutsOff(deadline)) {
    Respond(id, 503, 0, 0, out);
    FinishEvent(now, out);
    return id;
  }
  micadock::Request request;
  request.id = id;
  request.cls = arrival.cls;
  request.plan = arrival.plan;
  request.customer = arrival.customer;
  request.left_s = arrival.timeout_s - margin;
  request.body_s = arrival.body_s;
  request.units = arrival.units;
  request.entries = arrival.entries;
  request.resumed = arrival.resumed;
  request.may_have_run = arrival.may_have_run;
  request.ran_age_s = arrival.ran_age_s;
  request.ran_zone = arrival.ran_zone;
  request.ran_cell = arrival.ran_cell;
  state->may_have_run = arrival.may_have_run;
  CallBalancer(now, out,
               [&](Balancer& b, double at, Actions* actions) { b.OnRequest(at, request, actions); });
  FinishEvent(now, out);
  return id;
}

void GatewayCore::OnClientDisconnected(double now, uint64_t client, Effects* out) {
  if (uint32_t id = requests_.UnansweredOf(client); id != 0) {
    requests_.MarkAnswered(id);
    CallBalancer(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, id, actions); });
    ReleaseIfFinished(id, out);
  } else if (uint32_t streamed = requests_.StreamingTo(client); streamed != 0) {
    // Nobody reads the rest of the response: its exchange is cancelled.
    requests_.EndStream(streamed);
    const std::vector<Attempt>& attempts = requests_.Find(streamed)->attempts;
    for (size_t i = 0; i < attempts.size(); ++i) {
      if (attempts[i].in_flight && backends_.Cancel(attempts[i].exchange, out)) {
        deferred_outcomes_.push_back({streamed, static_cast<int>(i), Result::kCancelled});
      }
    }
  }
  FinishEvent(now, out);
}

void GatewayCore::OnBodyDiscarded(uint32_t request) {
  if (RequestState* state = requests_.Find(request)) state->body_discarded = true;
}

void GatewayCore::OnBodyCompleted(double now, uint32_t request, Effects* out) {
  RequestState* state = requests_.Find(request);
  if (state != nullptr && !state->body_complete) {
    state->body_complete = true;
    if (!state->answered) {
      double margin = ResponseMargin(state->timeout_s);
      state->deadline = now + state->timeout_s - margin / 2;
      timers_.Add(state->deadline, TimerKind::kRequestDeadline, request);
      for (const Attempt& a : state->attempts) {
        if (a.in_flight) backends_.SetDeadline(a.exchange, now + state->timeout_s - margin, &timers_);
      }
      CallBalancer(now, out,
                   [&](Balancer& b, double at, Actions* actions) { b.OnBodyEnded(at, request, actions); });
    }
  }
  FinishEvent(now, out);
}

void GatewayCore::OnResponseStarted(double now, uint64_t connection, Effects* out) {
  uint32_t request = backends_.RequestOf(connection);
  const RequestState* state = requests_.Find(request);
  // A response to a request that is not completely written or has been answered is invalid: its connection is
  // closed.
  std::optional<Exchange> exchange;
  if (state != nullptr && !state->answered) exchange = backends_.OnResponseStarted(connection);
  if (!exchange) return OnConnectionLost(now, connection, out);
  requests_.BeginStream(request, exchange->attempt);
  out->push_back(StartResponse{state->client, request, connection});
  CallBalancer(now, out,
               [&](Balancer& b, double at, Actions* actions) { b.OnStreamBegun(at, request, actions); });
  FinishEvent(now, out);
}

void GatewayCore::StartAttempt(double now, const Action& action, Effects* out) {
  RequestState* state = requests_.Find(action.request);
  if (state == nullptr) return;
  int attempt = static_cast<int>(state->attempts.size());
  bool has_attempt_in_flight = state->HasAttemptInFlight();
  double left_s = state->deadline - now,
         timeout_s = action.seconds == 0 ? left_s : std::min(action.seconds, left_s);
  state->attempts.push_back({action.backend, 0, now, true});  // in flight until its outcome is reported
  if (state->answered || timeout_s <= 0 || (has_attempt_in_flight && !settings_.policy.hedging) ||
      attempt >= settings_.policy.try_limit || state->body_discarded) {
    return deferred_outcomes_.push_back({action.request, attempt, Result::kNeverSent});
  }
  if (state->recorded) {
    state->attempts.back().awaiting_intent = true;
    state->attempts.back().timeout_s = timeout_s;
    return out->push_back(RecordIntent{action.request, attempt, action.backend});
  }
  Result result = SendAttempt(now, action.request, attempt, timeout_s, out);
  if (result != Result::kOk) deferred_outcomes_.push_back({action.request, attempt, result});
}

Result GatewayCore::SendAttempt(double now, uint32_t request, int attempt, double timeout_s, Effects* out) {
  Attempt& a = requests_.Find(request)->attempts[static_cast<size_t>(attempt)];
  uint64_t exchange = backends_.StartExchange(now, a.backend, request, attempt, timeout_s, &timers_, out);
  if (exchange == 0) return Result::kConnectFailed;
  a.exchange = exchange;
  return Result::kOk;
}

// Does nothing for an attempt that doesn't wait for its intent. If `ok` is false, or if meanwhile the request
// has been answered, the start of its body discarded, the attempt cancelled or its time used up, nothing is
// sent and the attempt is known never to have run.
void GatewayCore::OnIntentResolved(double now, uint32_t request, int attempt, bool ok, Effects* out) {
  RequestState* state = requests_.Find(request);
  size_t at = static_cast<size_t>(attempt);
  if (state == nullptr || attempt < 0 || at >= state->attempts.size() || !state->attempts[at].awaiting_intent)
    return;
  Attempt& a = state->attempts[at];
  a.awaiting_intent = false;
  double timeout_s = std::min(a.timeout_s - (now - a.started_at), state->deadline - now);
  bool send = ok && !state->answered && !state->body_discarded && timeout_s > 0 && !a.cancelled;
  Result result = send ? SendAttempt(now, request, attempt, timeout_s, out) : Result::kNeverSent;
  if (result != Result::kOk) deferred_outcomes_.push_back({request, attempt, result});
  FinishEvent(now, out);
}

void GatewayCore::OnRequestWithdrawn(double now, uint64_t client, Effects* out) {
  if (uint32_t id = requests_.UnansweredOf(client); id != 0) {
    requests_.MarkAnswered(id);
    CallBalancer(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, id, actions); });
    ReleaseIfFinished(id, out);
  }
  FinishEvent(now, out);
}

// Closes the attempt's connection before anything else is sent. A request that was not completely written has
// not run.
void GatewayCore::CancelAttempt(const Action& action, Effects* out) {
  RequestState* state = requests_.Find(action.request);
  size_t attempt = static_cast<size_t>(action.attempt);
  if (state == nullptr || attempt >= state->attempts.size() || !state->attempts[attempt].in_flight) return;
  state->attempts[attempt].cancelled = true;
  std::optional<bool> ran = backends_.Cancel(state->attempts[attempt].exchange, out);
  if (!ran) return;  // the outcome of its exchange or intent will be reported
  deferred_outcomes_.push_back(
      {action.request, action.attempt, *ran ? Result::kCancelled : Result::kNeverSent});
}

void GatewayCore::OnExchangeEnd(double now, const std::optional<ExchangeResult>& end, double true_units,
                                Effects* out) {
  if (end) {
    ReportOutcome(now, end->exchange.request, end->exchange.attempt, end->result, true_units,
                  end->exchange.connection, out);
  }
  FinishEvent(now, out);
}

void GatewayCore::ReportOutcome(double now, uint32_t request, int number, Result result, double true_units,
                                uint64_t connection, Effects* out) {
  RequestState* state = requests_.Find(request);
  if (state == nullptr) return;
  Attempt& attempt = state->attempts[static_cast<size_t>(number)];
  attempt.in_flight = false;
  reporting_ = request;
  if (state->recorded) out->push_back(RecordAttemptEnd{request, number, MayHaveRun(result)});
  if (MayHaveRun(result)) state->may_have_run = true;
  // The first successful response is sent to the client at once, without asking the balancer, since the
  // client is waiting.
  if (result == Result::kOk && !state->answered) Respond(request, 200, 0, connection, out);
  if (state->streaming && state->stream_attempt == number) {
    stats_.CountResponse(state->cls, result == Result::kOk ? 200 : 502);
    if (result != Result::kOk) out->push_back(AbortResponse{state->client, request});
    requests_.EndStream(request);
  }
  micadock::Outcome outcome;
  outcome.request = request;
  outcome.attempt = number;
  outcome.took_s = attempt.exchange == 0 ? 0 : now - attempt.started_at;
  outcome.result = result;
  outcome.finished = state->answered;
  outcome.backend = attempt.backend;
  outcome.true_units = true_units;
  outcome.resendable = !state->body_discarded;
  CallBalancer(now, out,
               [&](Balancer& b, double at, Actions* actions) { b.OnOutcome(at, outcome, actions); });
  reporting_ = 0;
  ReleaseIfFinished(request, out);
}

// Sends the request's only final response. The request stays in the table until its last attempt has ended.
void GatewayCore::Respond(uint32_t request, int status, double retry_after_s, uint64_t connection,
                          Effects* out) {
  if (!requests_.MarkAnswered(request)) return;
  const RequestState& state = *requests_.Find(request);
  stats_.CountResponse(state.cls, status);
  out->push_back(SendResponse{state.client, request, status, retry_after_s, connection});
  ReleaseIfFinished(request, out);
}

// Does nothing while an outcome of the request is being reported.
void GatewayCore::ReleaseIfFinished(uint32_t request, Effects* out) {
  if (reporting_ != request && requests_.RemoveIfFinished(request)) out->push_back(ReleaseRequest{request});
}

// The client's timeout is nearly over and the balancer has not ended the request.
void GatewayCore::OnRequestDeadline(double now, uint32_t request, Effects* out) {
  Respond(request, RequestTable::TimeoutStatus(*requests_.Find(request)), 0, 0, out);
  CallBalancer(now, out,
               [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, request, actions); });
}

void GatewayCore::OnConnectionOpened(double now, uint64_t connection, Effects* out) {
  // Nothing may be sent if the start of the request's body is no longer buffered, or if the request was
  // answered while its connection was being opened and the balancer did not cancel the attempt.
  const RequestState* state = requests_.Find(backends_.RequestOf(connection));
  if (state != nullptr && (state->answered || state->body_discarded))
    return OnConnectionLost(now, connection, out);
  OnExchangeEnd(now, backends_.OnConnectionOpened(now, connection, out), 0, out);
}
void GatewayCore::OnRequestWritten(double, uint64_t connection, Effects*) {
  if (backends_.OnRequestWritten(connection)) ++stats_.backend_calls;
}
void GatewayCore::OnResponse(double now, uint64_t connection, Result result, double true_units, bool reusable,
                             Effects* out) {
  std::optional<ExchangeResult> end = backends_.OnResponse(now, connection, result, reusable, out);
  OnExchangeEnd(now, end, end && end->result == Result::kOk ? true_units : 0, out);
}
void GatewayCore::OnConnectionLost(double now, uint64_t connection, Effects* out) {
  OnExchangeEnd(now, backends_.OnConnectionLost(now, connection, out), 0, out);
}
void GatewayCore::OnConnectionStale(double now, uint64_t connection, Effects* out) {
  const RequestState* state = requests_.Find(backends_.RequestOf(connection));
  if (state != nullptr && (state->answered || state->body_discarded))
    return OnConnectionLost(now, connection, out);
  OnExchangeEnd(now, backends_.OnConnectionStale(now, connection, &timers_, out), 0, out);
}

void GatewayCore::OnBackendList(double now, ListKind kind, const std::vector<ListedBackend>& entries,
                                Effects* out) {
  if (kind != ListKind::kCached) ready_ = true;
  ApplyList(now, kind, bans_.ApplyList(kind != ListKind::kDelta, entries), out);
  FinishEvent(now, out);
}

void GatewayCore::ApplyList(double now, ListKind kind, const std::vector<ListedBackend>& entries,
                            Effects* out) {
  backends_.UpdateList(now, kind != ListKind::kDelta, entries, out);
  std::vector<micadock::Backend> backends;
  for (const ListedBackend& listed : entries) {
    backends.push_back(listed.backend);
    if (bans_.IsBanned(listed.backend.id)) backends_.EndDrainGrace(listed.backend.id, now);
  }
  CallBalancer(now, out,
               [&](Balancer& b, double at, Actions* actions) { b.OnList(at, kind, backends, actions); });
}

void GatewayCore::OnBanChanged(double now, uint32_t backend, bool banned, Effects* out) {
  std::optional<ListedBackend> changed = banned ? bans_.Ban(backend, now) : bans_.Lift(backend, now);
  if (changed) {
    ApplyList(now, ListKind::kDelta, {*changed}, out);
  } else if (banned) {
    backends_.EndDrainGrace(backend, now);  // a backend that is draining already loses its grace period
  }
  FinishEvent(now, out);
}

void GatewayCore::OnDrainChanged(double now, bool on, Effects* out) {
  bool changed = on ? drain_.Begin(now) : drain_.End();
  if (changed && !shutdown_.begun()) {
    if (on) {
      out->push_back(DisableClientKeepAlive{});
    } else {
      out->push_back(EnableClientKeepAlive{});
    }
  }
  FinishEvent(now, out);
}

size_t GatewayCore::UnavailableBackends(double now) const {
  return bans_.listed_and_banned() + static_cast<size_t>(balancer_->EjectedCount(now));
}

void GatewayCore::OnDiscoveryFailed(double now, Effects* out) {
  ready_ = true;  // the gateway serves with the last known list
  CallBalancer(now, out, [](Balancer& b, double at, Actions* actions) {
    b.OnList(at, ListKind::kFailed, {}, actions);
  });
  FinishEvent(now, out);
}

void GatewayCore::ReportCounterResult(double now, const std::optional<micadock::CountAnswer>& answer,
                                      Effects* out) {
  if (answer)
    CallBalancer(now, out,
                 [&](Balancer& b, double at, Actions* actions) { b.OnCount(at, *answer, actions); });
  FinishEvent(now, out);
}
void GatewayCore::OnCounterResponse(double now, uint64_t call, Result result, double total, Effects* out) {
  ReportCounterResult(now, counter_calls_.OnResponse(call, result, total), out);
}
void GatewayCore::OnCounterCallLost(double now, uint64_t call, Effects* out) {
  ReportCounterResult(now, counter_calls_.OnLost(call), out);
}

bool GatewayCore::IsObsolete(const TimerQueue::Timer& timer) const {
  switch (timer.kind) {
    case TimerKind::kBalancer: return false;
    case TimerKind::kRequestDeadline: {
      const RequestState* state = requests_.Find(static_cast<uint32_t>(timer.id));
      return state == nullptr || state->answered ||
             timer.at < state->deadline;  // the deadline was moved, or the number is another request's now
    }
    case TimerKind::kConnectTimeout: return !backends_.IsConnecting(timer.id);
    case TimerKind::kAttemptTimeout:
      return !backends_.IsInFlight(timer.id) || backends_.HasResponseStarted(timer.id);
    case TimerKind::kCounterCallTimeout: return !counter_calls_.IsInFlight(timer.id);
  }
  return false;
}

double GatewayCore::NextDue(double now) {
  timers_.Prune([this](const TimerQueue::Timer& timer) { return IsObsolete(timer); });
  return std::min({timers_.next(), backends_.NextIdleTimeout(), shutdown_.next(now), drain_.next(now)});
}

void GatewayCore::OnTimerExpired(double now, Effects* out) {
  for (const TimerQueue::Timer& timer : timers_.TakeExpired(now)) {
    if (IsObsolete(timer)) continue;
    switch (timer.kind) {
      case TimerKind::kRequestDeadline: OnRequestDeadline(now, static_cast<uint32_t>(timer.id), out); break;
      case TimerKind::kBalancer:
        CallBalancer(now, out,
                     [&](Balancer& b, double at, Actions* actions) { b.OnTimer(at, timer.id, actions); });
        break;
      case TimerKind::kConnectTimeout:
      case TimerKind::kAttemptTimeout:
        OnExchangeEnd(now, backends_.OnTimeout(now, timer.kind, timer.id, out), 0, out);
        break;
      case TimerKind::kCounterCallTimeout:
        ReportCounterResult(now, counter_calls_.OnTimeout(timer.id, out), out);
        break;
    }
  }
  backends_.CloseExpiredIdle(now, out);
  FinishEvent(now, out);
}

void GatewayCore::BeginShutdown(double now, Effects* out) {
  double max_request_s = 0;
  for (const auto& c : settings_.policy.classes) max_request_s = std::max(max_request_s, c.deadline_s);
  if (shutdown_.Begin(now, max_request_s)) out->push_back(DisableClientKeepAlive{});
  FinishEvent(now, out);
}

// Reports the deferred results of the balancer's actions, which may cause further ones, until none is left,
// and then emits the effects of a drain or shutdown. The loop terminates because the number of attempts per
// request is limited and the balancer calls a missing counter less and less often.
void GatewayCore::FinishEvent(double now, Effects* out) {
  while (!deferred_outcomes_.empty() || !unsent_counter_calls_.empty()) {
    if (!deferred_outcomes_.empty()) {
      DeferredOutcome outcome = deferred_outcomes_.front();
      deferred_outcomes_.pop_front();
      ReportOutcome(now, outcome.request, outcome.attempt, outcome.result, 0, 0, out);
    } else {
      uint64_t name = unsent_counter_calls_.front();
      unsent_counter_calls_.pop_front();
      CallBalancer(now, out, [&](Balancer& b, double at, Actions* actions) {
        b.OnCount(at, {name, 0, Result::kConnectFailed}, actions);
      });
    }
  }
  if (shutdown_.expired(now)) return out->push_back(Stop{});
  if (drain_.closing_idle(now) || shutdown_.closing_idle(now)) out->push_back(CloseIdleClientConnections{});
  if (shutdown_.closing_idle(now) && requests_.unanswered() == 0) out->push_back(StopIfIdle{});
}

}  // namespace ivygw::core
