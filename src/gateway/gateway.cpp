#include "gateway/gateway.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "gateway/limits.h"

namespace ivygw {

using micadock::Action;
using micadock::ActionKind;
using micadock::Effect;
using micadock::ListKind;
using micadock::Outcome;
using micadock::Result;

namespace {

// Descriptors that are neither a client's nor a backend's: log, epoll, timer, listener, counter, discovery.
constexpr int kOwnSockets = 48;
constexpr double kClientShare = 0.6;  // of the rest

// Bounded by both limits: what a client's exchange may keep in memory at most is its body, the copy that goes
// to a backend, and the answer.
constexpr double kOwnMb = 8, kExchangeMb = 3.0 * (kMaxBody + kMaxHeader) / (1 << 20);

size_t MostClients(const Config& config) {
  double by_sockets = (config.sockets - kOwnSockets) * kClientShare;
  double by_memory = (config.memory_mb - kOwnMb) / kExchangeMb;
  return static_cast<size_t>(std::max(1.0, std::min(by_sockets, by_memory)));
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      epoch_s_(std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() -
               std::chrono::duration<double>(Clock::now().time_since_epoch()).count()),
      pool_(io, config.site.conn_idle_s, config.site.connect_timeout_s, config.site.drain_grace_s,
            static_cast<size_t>((config.sockets - kOwnSockets) * (1 - kClientShare))),
      server_(
          io, MostClients(config),
          [this](uint64_t connection, ClientMessage m) { OnMessage(connection, std::move(m)); },
          [this](uint64_t connection, bool held) { OnClosed(connection, held); }),
      discovery_(
          io, config.discovery, config.site, &ids_,
          [this](BackendList list) {
            OnList(list, list.full ? ListKind::kFull : ListKind::kDelta);
            ready_ = true;
          },
          [this] {
            Tell([](micadock::Balancer& b, double now, micadock::Actions* out) {
              b.OnList(now, ListKind::kFailed, {}, out);
            });
            ready_ = true;  // by the list as last known
          }),
      timers_(
          io, [this](Due due, uint64_t tag) { OnDue(due, tag); }, [this] { CheckShutdown(); }),
      shutdown_(
          io, [this] { CheckShutdown(); }, [this] { io_.stop(); }) {
  if (config.has_counter) {
    counter_.emplace(io, config.counter, kCountPatience * config.settings.count_timeout_s, config.site.connect_timeout_s,
                     [this](micadock::CountAnswer answer) {
                       Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
                         b.OnCount(now, answer, out);
                       });
                     },
                     config.counter_access);
    counter_->Start();
  }
  BackendList known;
  if (!config.known.is_null()) {
    try {
      known = ParseList(config.known, config.site, &ids_);
    } catch (const micadock::WireError& error) {
      throw micadock::WireError(std::string("setting is unreadable: known: ") + error.what());
    }
  }
  balancer_.emplace(config.settings, config.seed, Now(), &actions_);
  OnList(known, ListKind::kCached);
  server_.Listen(config.listen);
  discovery_.Start();
}

Gateway::~Gateway() = default;

// Monotonic, and the same at every gateway as far as the machines' clocks agree when they start.
double Gateway::Now() const {
  return epoch_s_ + std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

// Actions run after the module's call has returned, and none of them calls it: whatever they bring about
// comes as an event of its own. Guards against re-entry.
template <typename Call>
void Gateway::Tell(Call call) {
  call(*balancer_, Now(), &actions_);
  acting_.swap(actions_);
  for (Action& action : acting_) Act(action);
  acting_.clear();
}

void Gateway::Act(Action& action) {
  switch (action.kind) {
    case ActionKind::kSend: return SendAttempt(action);
    case ActionKind::kCancel: return CancelAttempt(action);
    case ActionKind::kRefuse: {
      Answer answer;
      answer.status = action.seconds > 0 ? 429 : 503;
      answer.retry_after_s = action.seconds;
      return Finish(action.request, std::move(answer));
    }
    case ActionKind::kFail: {
      Answer answer;
      answer.status = 502;
      return Finish(action.request, std::move(answer));
    }
    case ActionKind::kTimer:
      return timers_.Add(Clock::now() + Seconds(std::max(0.0, action.seconds)), Due::kModule, action.tag);
    case ActionKind::kCount:
      if (counter_) return counter_->Call(action.tag, action.amount, action.seconds);
      return asio::post(io_, [this, name = action.tag] {
        Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
          b.OnCount(now, {name, 0, Result::kConnectFailed}, out);
        });
      });
    case ActionKind::kLog: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::kSubscribe: return discovery_.Start();
  }
}

void Gateway::OnMessage(uint64_t connection, ClientMessage message) {
  std::string_view target = View(message.target());
  if (target.substr(0, 3) == "/-/") {
    Answer answer;
    answer.status = target == "/-/ready" ? (ready_ && !shutdown_.begun() ? 200 : 503) : 404;
    return server_.Reply(connection, std::move(answer));
  }
  ClientCall call = ReadCall(message, config_);
  // Another request of this id is open, or an attempt of it is still out: two of one id would be mixed up.
  if (call.status == 0 && open_ids_.count(std::string(call.id)) != 0) call.status = 400;
  if (call.status != 0) {
    Answer answer;
    answer.status = call.status;
    return server_.Reply(connection, std::move(answer));
  }
  do ++last_id_;
  while (held_.count(last_id_) != 0);
  uint32_t id = last_id_;
  Held& held = held_[id];
  held.connection = connection;
  held.id = call.id;
  open_ids_.insert(held.id);
  by_connection_[connection] = id;
  double margin = AnswerMargin(call.timeout_s);
  held.deadline = Clock::now() + Seconds(call.timeout_s - margin / 2);
  held.free = config_.settings.classes[static_cast<size_t>(call.request.cls)].effect == Effect::kFree;
  held.head.reserve(512);
  held.head.append(View(message.method_string())).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(message, &held.head, [](const auto& field) {
    return boost::beast::iequals(field.name_string(), "Request-Timeout-Ms");
  });
  if (message.find(http::field::host) == message.end()) held.head += "Host: app.svc\r\n";
  if (!message.body().empty() || message.method() == http::verb::post) {
    held.head += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
  }
  held.body = std::move(message.body());
  call.request.id = id;
  call.request.left_s = call.timeout_s - margin;
  timers_.Add(held.deadline, Due::kGuard, id);
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
    b.OnRequest(now, call.request, out);
  });
}

void Gateway::SendAttempt(const Action& action) {
  auto it = held_.find(action.request);
  if (it == held_.end()) return;
  Held& held = it->second;
  uint32_t id = action.request, backend = action.backend;
  int attempt = static_cast<int>(held.attempts.size());
  bool two = held.Out();
  held.attempts.push_back({});
  double left = std::chrono::duration<double>(held.deadline - Clock::now()).count();
  double patience = action.seconds == 0 ? left : std::min(action.seconds, left);
  if (held.answered || patience <= 0 || (two && !config_.settings.parallel_tries) ||
      attempt >= config_.settings.try_limit) {
    held.attempts.back().out = true;  // until the outcome is told
    return asio::post(io_, [this, id, attempt, backend] {
      AttemptEnd end;
      end.result = Result::kNeverSent;
      OnEnd(id, attempt, backend, std::move(end));
    });
  }
  std::string message;
  message.reserve(held.head.size() + held.body.size() + 48);
  message.append(held.head).append("Request-Timeout-Ms: ");
  message.append(std::to_string(std::max(1L, std::lround(patience * 1000)))).append("\r\n\r\n");
  message.append(held.body);
  held.attempts.back().out = true;
  held.attempts.back().number = pool_.Send(
      backend, std::move(message), patience,
      [this, id, attempt, backend](AttemptEnd end) { OnEnd(id, attempt, backend, std::move(end)); });
}

void Gateway::CancelAttempt(const Action& action) {
  auto it = held_.find(action.request);
  if (it == held_.end()) return;
  Held& held = it->second;
  size_t attempt = static_cast<size_t>(action.attempt);
  if (attempt >= held.attempts.size() || !held.attempts[attempt].out) return;
  bool ran = false;
  if (!pool_.Cancel(held.attempts[attempt].number, &ran)) return;  // its own outcome is on the way
  // Closed before anything else goes out. What was not all written has not run, whatever was meant by it.
  uint32_t id = action.request, backend = action.backend;
  asio::post(io_, [this, id, attempt, backend, ran] {
    AttemptEnd end;
    end.result = ran ? Result::kCancelled : Result::kNeverSent;
    OnEnd(id, static_cast<int>(attempt), backend, std::move(end));
  });
}

void Gateway::OnEnd(uint32_t id, int attempt, uint32_t backend, AttemptEnd end) {
  auto it = held_.find(id);
  if (it == held_.end()) return;
  Held& held = it->second;
  held.attempts[static_cast<size_t>(attempt)].out = false;
  reporting_ = id;
  Result r = end.result;
  if (r != Result::kFull && r != Result::kConnectFailed && r != Result::kNeverSent) held.may_have_run = true;
  // The first good answer goes to the client by itself and ends the request. Told to the module first would
  // be as good, but its client is waiting.
  if (r == Result::kOk && !held.answered) {
    Answer answer;
    answer.status = 200;
    answer.headers = std::move(end.headers);
    answer.body = std::move(end.body);
    Finish(id, std::move(answer));
  }
  Report(id, attempt, backend, end);
  CheckShutdown();
}

void Gateway::Report(uint32_t id, int attempt, uint32_t backend, const AttemptEnd& end) {
  Held& held = held_.at(id);
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.took_s = end.took_s;
  outcome.result = end.result;
  outcome.finished = held.answered;
  outcome.backend = backend;
  outcome.true_units = end.true_units;
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnOutcome(now, outcome, out); });
  reporting_ = 0;
  Forget(id);
}

// The request's only final answer. What is still out is kept in the books until its end is told.
void Gateway::Finish(uint32_t id, Answer answer) {
  auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  Held& held = it->second;
  held.answered = true;
  by_connection_.erase(held.connection);
  server_.Reply(held.connection, std::move(answer));
  Forget(id);
}

// Drops a request that is answered and of which nothing is out, unless an outcome of it is being told.
void Gateway::Forget(uint32_t id) {
  auto it = held_.find(id);
  if (it != held_.end() && it->second.answered && !it->second.Out() && reporting_ != id) {
    open_ids_.erase(it->second.id);
    held_.erase(it);
  }
}

// The client's time is nearly up and the module has said nothing.
void Gateway::Guard(uint32_t id) {
  auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  Held& held = it->second;
  Answer answer;
  answer.status = held.free || (!held.may_have_run && !held.Out()) ? 503 : 504;
  Finish(id, std::move(answer));
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out_) { b.OnAbandoned(now, id, out_); });
}

void Gateway::OnClosed(uint64_t connection, bool held) {
  if (shutdown_.begun()) asio::post(io_, [this] { CheckShutdown(); });
  auto it = by_connection_.find(connection);
  if (!held || it == by_connection_.end()) return;
  uint32_t id = it->second;
  by_connection_.erase(it);
  held_.at(id).answered = true;
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnAbandoned(now, id, out); });
  Forget(id);
}

void Gateway::OnList(const BackendList& list, ListKind kind) {
  std::vector<micadock::Backend> entries;
  std::vector<uint32_t> named;
  for (const Listed& listed : list.entries) {
    entries.push_back(listed.backend);
    uint32_t id = listed.backend.id;
    switch (listed.backend.state) {
      case micadock::BackendState::kReady: pool_.Update(id, listed.address); break;
      case micadock::BackendState::kDraining: pool_.Drain(id); break;
      case micadock::BackendState::kGone: pool_.Remove(id); break;
    }
    if (listed.backend.state != micadock::BackendState::kGone) named.push_back(id);
  }
  if (kind != ListKind::kDelta) {
    for (uint32_t id : listed_) {  // absent from the whole list: gone
      if (std::find(named.begin(), named.end(), id) == named.end()) pool_.Remove(id);
    }
    listed_ = std::move(named);
  } else {
    for (const Listed& listed : list.entries) {
      auto at = std::find(listed_.begin(), listed_.end(), listed.backend.id);
      bool gone = listed.backend.state == micadock::BackendState::kGone;
      if (gone && at != listed_.end()) listed_.erase(at);
      if (!gone && at == listed_.end()) listed_.push_back(listed.backend.id);
    }
  }
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnList(now, kind, entries, out); });
}

void Gateway::OnDue(Due due, uint64_t tag) {
  if (due == Due::kGuard) return Guard(static_cast<uint32_t>(tag));
  Tell([&](micadock::Balancer& b, double at, micadock::Actions* out) { b.OnTimer(at, tag, out); });
}

void Gateway::Reload(const Config& fresh) {
  discovery_.Move(fresh.discovery);
  if (counter_ && fresh.has_counter) counter_->Move(fresh.counter);
}

void Gateway::Close() {
  double longest = 0;
  for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline_s);
  if (shutdown_.Begin(longest)) server_.AskToClose();
}

void Gateway::CheckShutdown() {
  if (!shutdown_.closing()) return;
  server_.CloseIdle();
  if (by_connection_.empty() && server_.Quiet()) io_.stop();
}

}  // namespace ivygw
