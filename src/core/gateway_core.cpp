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
      counts_(kCounterTimeoutFactor * settings.module.count_timeout_s) {
  stats_.classes.resize(settings.module.classes.size());
  balancer_.emplace(settings_.module, settings_.seed, now, &actions_);
  Tell(now, out, [](Balancer&, double, Actions*) {});  // what it asked for at its start
  Settle(now, out);
}

GatewayCore::~GatewayCore() = default;

// Actions run after the module's call has returned, and none of them calls it: what they bring about at once
// is told by Settle. Guards against re-entry.
template <typename Call>
void GatewayCore::Tell(double now, Effects* out, Call call) {
  call(*balancer_, now, &actions_);
  acting_.swap(actions_);
  for (Action& action : acting_) Act(now, action, out);
  acting_.clear();
}

void GatewayCore::Act(double now, Action& action, Effects* out) {
  switch (action.kind) {
    case ActionKind::kSend: return Send(now, action, out);
    case ActionKind::kCancel: return Cancel(action, out);
    case ActionKind::kRefuse:
      return Finish(action.request, action.seconds > 0 ? 429 : 503, action.seconds, 0, out);
    case ActionKind::kFail: return Finish(action.request, 502, 0, 0, out);
    case ActionKind::kTimer:
      return timers_.Add(now + std::max(0.0, action.seconds), TimerKind::kModule, action.tag);
    case ActionKind::kCount:
      if (settings_.has_counter) return counts_.Begin(now, action, &timers_, out);
      return uncounted_.push_back(action.tag);
    case ActionKind::kLog: return out->push_back(Log{std::move(action.text)});
    case ActionKind::kSubscribe: return out->push_back(SubscribeToDiscovery{});
  }
}

void GatewayCore::Handle(double now, const Event& event, Effects* out) {
  struct Visitor {
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
  std::visit(Visitor{this, now, out}, event);
}

uint32_t GatewayCore::OnRequest(double now, const RequestArrived& arrival, Effects* out) {
  double margin = ResponseMargin(arrival.timeout_s),
         deadline = now + arrival.body_s + arrival.timeout_s - margin / 2;
  bool free = settings_.module.classes[static_cast<size_t>(arrival.cls)].effect == micadock::Effect::kFree;
  uint32_t id = requests_.Take(arrival.client, arrival.id, arrival.cls, deadline, free);
  RequestState* held = requests_.Find(id);
  held->timeout_s = arrival.timeout_s;
  held->whole = arrival.body_s <= 0;
  held->recorded = arrival.recorded;
  timers_.Add(deadline, TimerKind::kGuard, id);
  out->push_back(RegisterRequest{id, arrival.client});
  // Refused while nothing has been sent on, so that its client may go elsewhere; taken, it might be cut off.
  if (!arrival.resumed && shutdown_.CutsOff(deadline)) {
    Finish(id, 503, 0, 0, out);
    Settle(now, out);
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
  held->may_have_run = arrival.may_have_run;
  Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnRequest(at, request, actions); });
  Settle(now, out);
  return id;
}

void GatewayCore::OnClientDisconnected(double now, uint64_t client, Effects* out) {
  if (uint32_t id = requests_.OfClient(client); id != 0) {
    requests_.Answer(id);
    Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, id, actions); });
    ForgetIfOver(id, out);
  } else if (uint32_t begun = requests_.StreamingTo(client); begun != 0) {
    // Nobody reads the rest: what brings it is given up.
    requests_.Ended(begun);
    const std::vector<Attempt>& attempts = requests_.Find(begun)->attempts;
    for (size_t i = 0; i < attempts.size(); ++i) {
      if (attempts[i].in_flight && backends_.Cancel(attempts[i].exchange, out)) {
        told_.push_back({begun, static_cast<int>(i), Result::kCancelled});
      }
    }
  }
  Settle(now, out);
}

void GatewayCore::OnBodyDiscarded(uint32_t request) {
  if (RequestState* held = requests_.Find(request)) held->body_gone = true;
}

void GatewayCore::OnBodyCompleted(double now, uint32_t request, Effects* out) {
  RequestState* held = requests_.Find(request);
  if (held != nullptr && !held->whole) {
    held->whole = true;
    if (!held->answered) {
      double margin = ResponseMargin(held->timeout_s);
      held->deadline = now + held->timeout_s - margin / 2;
      timers_.Add(held->deadline, TimerKind::kGuard, request);
      for (const Attempt& a : held->attempts) {
        if (a.in_flight) backends_.SetGiveUp(a.exchange, now + held->timeout_s - margin, &timers_);
      }
      Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnBodyEnded(at, request, actions); });
    }
  }
  Settle(now, out);
}

void GatewayCore::OnResponseStarted(double now, uint64_t connection, Effects* out) {
  uint32_t request = backends_.RequestOf(connection);
  const RequestState* held = requests_.Find(request);
  // To a request that is not all written, or that has been answered, it is no answer.
  std::optional<Exchange> exchange;
  if (held != nullptr && !held->answered) exchange = backends_.Begin(connection);
  if (!exchange) return OnConnectionLost(now, connection, out);
  requests_.Begin(request, exchange->attempt);
  out->push_back(StartResponse{held->client, request, connection});
  Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnStreamBegun(at, request, actions); });
  Settle(now, out);
}

void GatewayCore::Send(double now, const Action& action, Effects* out) {
  RequestState* held = requests_.Find(action.request);
  if (held == nullptr) return;
  int attempt = static_cast<int>(held->attempts.size());
  bool two = held->Out();
  double left = held->deadline - now, patience = action.seconds == 0 ? left : std::min(action.seconds, left);
  held->attempts.push_back({action.backend, 0, now, true});  // out until its outcome is told
  if (held->answered || patience <= 0 || (two && !settings_.module.parallel_tries) ||
      attempt >= settings_.module.try_limit || held->body_gone) {
    return told_.push_back({action.request, attempt, Result::kNeverSent});
  }
  if (held->recorded) {
    held->attempts.back().intended = true;
    held->attempts.back().patience_s = patience;
    return out->push_back(RecordIntent{action.request, attempt, action.backend});
  }
  Result placed = Place(now, action.request, attempt, patience, out);
  if (placed != Result::kOk) told_.push_back({action.request, attempt, placed});
}

Result GatewayCore::Place(double now, uint32_t request, int attempt, double patience_s, Effects* out) {
  Attempt& a = requests_.Find(request)->attempts[static_cast<size_t>(attempt)];
  uint64_t exchange = backends_.Begin(now, a.backend, request, attempt, patience_s, &timers_, out);
  if (exchange == 0) return Result::kConnectFailed;
  a.exchange = exchange;
  return Result::kOk;
}

// A word about an attempt that does not wait for it changes nothing. Where the request has been answered
// meanwhile, or the attempt has been taken back, nothing is sent: it is known never to have run.
void GatewayCore::OnIntentResolved(double now, uint32_t request, int attempt, bool ok, Effects* out) {
  RequestState* held = requests_.Find(request);
  size_t at = static_cast<size_t>(attempt);
  if (held == nullptr || attempt < 0 || at >= held->attempts.size() || !held->attempts[at].intended) return;
  Attempt& a = held->attempts[at];
  a.intended = false;
  double patience = std::min(a.patience_s - (now - a.started_at), held->deadline - now);
  bool may = ok && !held->answered && !held->body_gone && patience > 0 && !a.cancelled;
  Result placed = may ? Place(now, request, attempt, patience, out) : Result::kNeverSent;
  if (placed != Result::kOk) told_.push_back({request, attempt, placed});
  Settle(now, out);
}

void GatewayCore::OnRequestWithdrawn(double now, uint64_t client, Effects* out) {
  if (uint32_t id = requests_.OfClient(client); id != 0) {
    requests_.Answer(id);
    Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, id, actions); });
    ForgetIfOver(id, out);
  }
  Settle(now, out);
}

// Closed before anything else goes out. What was not all written has not run, whatever was meant by it.
void GatewayCore::Cancel(const Action& action, Effects* out) {
  RequestState* held = requests_.Find(action.request);
  size_t attempt = static_cast<size_t>(action.attempt);
  if (held == nullptr || attempt >= held->attempts.size() || !held->attempts[attempt].in_flight) return;
  held->attempts[attempt].cancelled = true;
  std::optional<bool> ran = backends_.Cancel(held->attempts[attempt].exchange, out);
  if (!ran) return;  // its own outcome is on the way
  told_.push_back({action.request, action.attempt, *ran ? Result::kCancelled : Result::kNeverSent});
}

void GatewayCore::Ended(double now, const std::optional<ExchangeResult>& end, double true_units,
                        Effects* out) {
  if (end) {
    Outcome(now, end->exchange.request, end->exchange.attempt, end->result, true_units,
            end->exchange.connection, out);
  }
  Settle(now, out);
}

void GatewayCore::Outcome(double now, uint32_t request, int number, Result result, double true_units,
                          uint64_t connection, Effects* out) {
  RequestState* held = requests_.Find(request);
  if (held == nullptr) return;
  Attempt& attempt = held->attempts[static_cast<size_t>(number)];
  attempt.in_flight = false;
  reporting_ = request;
  if (held->recorded) out->push_back(RecordAttemptEnd{request, number, MayHaveRun(result)});
  if (MayHaveRun(result)) held->may_have_run = true;
  // The first good answer goes to the client by itself and ends the request. Told to the module first would
  // be as good, but its client is waiting.
  if (result == Result::kOk && !held->answered) Finish(request, 200, 0, connection, out);
  if (held->streaming && held->stream == number) {
    stats_.Answered(held->cls, result == Result::kOk ? 200 : 502);
    if (result != Result::kOk) out->push_back(AbortResponse{held->client, request});
    requests_.Ended(request);
  }
  micadock::Outcome outcome;
  outcome.request = request;
  outcome.attempt = number;
  outcome.took_s = attempt.exchange == 0 ? 0 : now - attempt.started_at;
  outcome.result = result;
  outcome.finished = held->answered;
  outcome.backend = attempt.backend;
  outcome.true_units = true_units;
  outcome.again = !held->body_gone;
  Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnOutcome(at, outcome, actions); });
  reporting_ = 0;
  ForgetIfOver(request, out);
}

// The request's only final answer. What is still out is kept in the books until its end is told.
void GatewayCore::Finish(uint32_t request, int status, double retry_after_s, uint64_t connection,
                         Effects* out) {
  if (!requests_.Answer(request)) return;
  const RequestState& held = *requests_.Find(request);
  stats_.Answered(held.cls, status);
  out->push_back(SendResponse{held.client, request, status, retry_after_s, connection});
  ForgetIfOver(request, out);
}

// Unless an outcome of it is being told.
void GatewayCore::ForgetIfOver(uint32_t request, Effects* out) {
  if (reporting_ != request && requests_.ForgetIfOver(request)) out->push_back(ReleaseRequest{request});
}

// The client's time is nearly up and the module has said nothing.
void GatewayCore::Guard(double now, uint32_t request, Effects* out) {
  Finish(request, RequestTable::GuardStatus(*requests_.Find(request)), 0, 0, out);
  Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnAbandoned(at, request, actions); });
}

void GatewayCore::OnConnectionOpened(double now, uint64_t connection, Effects* out) {
  // Answered while it came up, and the module did not take the attempt back: nothing is sent after the
  // answer. Nor without the whole body.
  const RequestState* held = requests_.Find(backends_.RequestOf(connection));
  if (held != nullptr && (held->answered || held->body_gone)) return OnConnectionLost(now, connection, out);
  Ended(now, backends_.OnConnectionOpened(now, connection, out), 0, out);
}
void GatewayCore::OnRequestWritten(double, uint64_t connection, Effects*) {
  if (backends_.OnRequestWritten(connection)) ++stats_.backend_calls;
}
void GatewayCore::OnResponse(double now, uint64_t connection, Result result, double true_units, bool keep,
                             Effects* out) {
  std::optional<ExchangeResult> end = backends_.OnResponse(now, connection, result, keep, out);
  Ended(now, end, end && end->result == Result::kOk ? true_units : 0, out);
}
void GatewayCore::OnConnectionLost(double now, uint64_t connection, Effects* out) {
  Ended(now, backends_.OnConnectionLost(now, connection, out), 0, out);
}
void GatewayCore::OnConnectionStale(double now, uint64_t connection, Effects* out) {
  const RequestState* held = requests_.Find(backends_.RequestOf(connection));
  if (held != nullptr && (held->answered || held->body_gone)) return OnConnectionLost(now, connection, out);
  Ended(now, backends_.OnConnectionStale(now, connection, &timers_, out), 0, out);
}

void GatewayCore::OnBackendList(double now, ListKind kind, const std::vector<ListedBackend>& entries,
                                Effects* out) {
  if (kind != ListKind::kCached) ready_ = true;
  TellList(now, kind, bans_.Told(kind != ListKind::kDelta, entries), out);
  Settle(now, out);
}

void GatewayCore::TellList(double now, ListKind kind, const std::vector<ListedBackend>& entries,
                           Effects* out) {
  backends_.TakeList(now, kind != ListKind::kDelta, entries, out);
  std::vector<micadock::Backend> told;
  for (const ListedBackend& listed : entries) {
    told.push_back(listed.backend);
    if (bans_.Banned(listed.backend.id)) backends_.Bar(listed.backend.id, now);
  }
  Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnList(at, kind, told, actions); });
}

void GatewayCore::OnBanChanged(double now, uint32_t backend, bool out_of_use, Effects* out) {
  std::optional<ListedBackend> told = out_of_use ? bans_.Ban(backend, now) : bans_.Lift(backend, now);
  if (told) {
    TellList(now, ListKind::kDelta, {*told}, out);
  } else if (out_of_use) {
    backends_.Bar(backend, now);  // it drains by discovery's word: the grace of that is over too
  }
  Settle(now, out);
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
  Settle(now, out);
}

size_t GatewayCore::UnavailableBackends(double now) const {
  return bans_.listed_and_banned() + static_cast<size_t>(balancer_->SetAside(now));
}

void GatewayCore::OnDiscoveryFailed(double now, Effects* out) {
  ready_ = true;  // by the list as last known
  Tell(now, out,
       [](Balancer& b, double at, Actions* actions) { b.OnList(at, ListKind::kFailed, {}, actions); });
  Settle(now, out);
}

void GatewayCore::Counted(double now, const std::optional<micadock::CountAnswer>& answer, Effects* out) {
  if (answer)
    Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnCount(at, *answer, actions); });
  Settle(now, out);
}
void GatewayCore::OnCounterResponse(double now, uint64_t call, Result result, double total, Effects* out) {
  Counted(now, counts_.OnResponse(call, result, total), out);
}
void GatewayCore::OnCounterCallLost(double now, uint64_t call, Effects* out) {
  Counted(now, counts_.OnLost(call), out);
}

bool GatewayCore::Void(const TimerQueue::Timer& timer) const {
  switch (timer.due) {
    case TimerKind::kModule: return false;
    case TimerKind::kGuard: {
      const RequestState* held = requests_.Find(static_cast<uint32_t>(timer.tag));
      return held == nullptr || held->answered ||
             timer.at < held->deadline;  // or another of this number, later
    }
    case TimerKind::kConnect: return !backends_.IsConnecting(timer.tag);
    case TimerKind::kPatience: return !backends_.IsOut(timer.tag) || backends_.HasBegun(timer.tag);
    case TimerKind::kCount: return !counts_.IsOut(timer.tag);
  }
  return false;
}

double GatewayCore::NextDue(double now) {
  timers_.Prune([this](const TimerQueue::Timer& timer) { return Void(timer); });
  return std::min({timers_.next(), backends_.NextIdle(), shutdown_.next(now), drain_.next(now)});
}

void GatewayCore::OnTimerExpired(double now, Effects* out) {
  for (const TimerQueue::Timer& timer : timers_.Take(now)) {
    if (Void(timer)) continue;
    switch (timer.due) {
      case TimerKind::kGuard: Guard(now, static_cast<uint32_t>(timer.tag), out); break;
      case TimerKind::kModule:
        Tell(now, out, [&](Balancer& b, double at, Actions* actions) { b.OnTimer(at, timer.tag, actions); });
        break;
      case TimerKind::kConnect:
      case TimerKind::kPatience: Ended(now, backends_.OnDue(now, timer.due, timer.tag, out), 0, out); break;
      case TimerKind::kCount: Counted(now, counts_.OnDue(timer.tag, out), out); break;
    }
  }
  backends_.CloseIdle(now, out);
  Settle(now, out);
}

void GatewayCore::BeginShutdown(double now, Effects* out) {
  double longest = 0;
  for (const auto& c : settings_.module.classes) longest = std::max(longest, c.deadline_s);
  if (shutdown_.Begin(now, longest)) out->push_back(DisableClientKeepAlive{});
  Settle(now, out);
}

// Tells what the module's own actions brought about, until nothing is left; each request has few attempts,
// and the module asks a counter that is not there ever more rarely, so that this ends.
void GatewayCore::Settle(double now, Effects* out) {
  while (!told_.empty() || !uncounted_.empty()) {
    if (!told_.empty()) {
      Told told = told_.front();
      told_.pop_front();
      Outcome(now, told.request, told.attempt, told.result, 0, 0, out);
    } else {
      uint64_t name = uncounted_.front();
      uncounted_.pop_front();
      Tell(now, out, [&](Balancer& b, double at, Actions* actions) {
        b.OnCount(at, {name, 0, Result::kConnectFailed}, actions);
      });
    }
  }
  if (shutdown_.over(now)) return out->push_back(Stop{});
  if (drain_.closing(now) || shutdown_.closing(now)) out->push_back(CloseIdleClientConnections{});
  if (shutdown_.closing(now) && requests_.unanswered() == 0) out->push_back(StopIfIdle{});
}

}  // namespace ivygw::core
