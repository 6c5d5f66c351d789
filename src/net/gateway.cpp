#include "net/gateway.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace ivygw {

using micadock::Action;
using micadock::ActionKind;
using micadock::Effect;
using micadock::ListKind;
using micadock::Outcome;
using micadock::Result;

namespace {

// Off a client's time: what the way back and a busy core may take, so that the last byte is out in time.
constexpr double kMarginS = 0.01, kMarginShare = 0.1;
constexpr unsigned long kMostTimeoutMs = 60000;
constexpr size_t kMostId = 64;
constexpr uint64_t kCustomers = 1ULL << 33;
// Of the counter's time-out in the settings. A real counter answers when a call has had its turn, however late,
// and what a late answer tells is worth more than the wait: given up, its amount would pass for others' use.
constexpr double kCountPatience = 3;
// Descriptors that are neither a client's nor a backend's: log, epoll, timer, listener, counter, discovery.
constexpr int kOwnSockets = 48;
constexpr double kClientShare = 0.6;  // of the rest
// After SIGTERM clients go on coming for up to 0.4 s. Then kept connections are closed, and what is held is
// finished within the longest deadline.
constexpr double kStillComingS = 0.5, kEndMarginS = 0.6;

// Bounded by both limits: what a client's exchange may keep in memory at most is its body, the copy that goes
// to a backend, and the answer.
constexpr double kOwnMb = 8, kExchangeMb = 3.0 * (kMaxBody + kMaxHeader) / (1 << 20);

size_t MostClients(const Config& config) {
  double by_sockets = (config.sockets - kOwnSockets) * kClientShare;
  double by_memory = (config.memory_mb - kOwnMb) / kExchangeMb;
  return static_cast<size_t>(std::max(1.0, std::min(by_sockets, by_memory)));
}

template <typename T>
bool Number(std::string_view text, T* value, int base = 10) {
  if (text.empty()) return false;
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), text.data() + text.size(), *value);
  } else {
    result = std::from_chars(text.data(), text.data() + text.size(), *value, base);
  }
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// The value of `name` in a list of name=value parts; none where it is repeated.
std::optional<std::string_view> Part(std::string_view list, char between, std::string_view name) {
  std::optional<std::string_view> found;
  while (!list.empty()) {
    size_t end = std::min(list.find(between), list.size());
    std::string_view part = Trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    size_t equals = part.find('=');
    if (equals != std::string_view::npos && Trim(part.substr(0, equals)) == name) {
      if (found) return std::nullopt;
      found = Trim(part.substr(equals + 1));
    }
  }
  return found;
}

int Position(const std::vector<std::string>& names, std::string_view name) {
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

ClientCall ReadCall(const ClientMessage& message, const Config& config) {
  ClientCall call;
  call.status = 400;
  std::string_view target = View(message.target());
  if (target.empty() || target.front() != '/') return call;
  micadock::Request& r = call.request;
  std::string_view path = target.substr(1, std::min(target.find_first_of("/?#", 1), target.size()) - 1);
  r.cls = Position(config.site.classes, PlainName(path));
  r.plan = Position(config.site.plans, PlainName(View(message["X-Tier"])));
  if (r.cls < 0 || r.plan < 0) return call;
  // Said twice is not said. What the module keeps of a customer comes of these, so all of it is looked at
  // before: one bad request in a customer's name must not count as that customer's own.
  for (std::string_view once :
       {"Host", "Request-Id", "X-Tier", "Cookie", "Request-Timeout-Ms", "Idempotency-Key", "X-Call-Terms"}) {
    if (message.count({once.data(), once.size()}) > 1) return call;
  }
  call.id = View(message["Request-Id"]);
  if (call.id.empty() || call.id.size() > kMostId) return call;
  auto customer = Part(View(message[http::field::cookie]), ';', "client");
  if (!customer || customer->size() > 16 || !Number(*customer, &r.customer, 16)) return call;
  if (r.customer >= kCustomers) return call;
  const micadock::ClassSettings& cls = config.settings.classes[static_cast<size_t>(r.cls)];
  unsigned long timeout_ms = 0;
  if (!Number(View(message["Request-Timeout-Ms"]), &timeout_ms) || timeout_ms < 1) return call;
  if (timeout_ms > kMostTimeoutMs) return call;
  call.timeout_s = std::min(static_cast<double>(timeout_ms) / 1000, cls.deadline_s);
  std::string_view terms = View(message["X-Call-Terms"]);
  auto units = Part(terms, ',', "units"), spread = Part(terms, ',', "spread"), first = Part(terms, ',', "first");
  if (!units || !Number(*units, &r.units) || !std::isfinite(r.units) || r.units <= 0) return call;
  if (config.settings.max_units > 0 && r.units > config.settings.max_units) return call;
  int gateways = std::max(1, config.settings.gateways), entries = 0, from = 0;
  if (!spread || !Number(*spread, &entries) || entries < 1 || entries > gateways) return call;
  if (!first || !Number(*first, &from) || from < 0 || from >= gateways) return call;
  r.entries = entries;
  Effect effect = cls.effect;
  if (effect == Effect::kGuarded && View(message["Idempotency-Key"]).empty()) return call;
  call.status = 405;
  if (message.method() != (effect == Effect::kFree ? http::verb::get : http::verb::post)) return call;
  call.status = 0;
  return call;
}

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
      timer_(io),
      shutdown_timer_(io) {
  if (config.has_counter) {
    counter_.emplace(io, config.counter, kCountPatience * config.settings.count_timeout_s, config.site.connect_timeout_s,
                     [this](micadock::CountAnswer answer) {
                       Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
                         b.OnCount(now, answer, out);
                       });
                     });
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
      return AddTimer(Clock::now() + Seconds(std::max(0.0, action.seconds)), Due::kModule, action.tag);
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
    answer.status = target == "/-/ready" ? (ready_ && !shutdown_at_ ? 200 : 503) : 404;
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
  double margin = std::min(kMarginS, kMarginShare * call.timeout_s);
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
  AddTimer(held.deadline, Due::kGuard, id);
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
  if (shutdown_at_) asio::post(io_, [this] { CheckShutdown(); });
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

void Gateway::AddTimer(Clock::time_point at, Due due, uint64_t tag) {
  timers_.push({at, due, tag});
  if (!armed_ || at < *armed_) ArmTimers();
}

void Gateway::ArmTimers() {
  if (timers_.empty()) return;
  armed_ = timers_.top().at;
  timer_.expires_at(*armed_);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    armed_.reset();
    auto now = Clock::now();
    std::vector<Timer> due;
    while (!timers_.empty() && timers_.top().at <= now) {
      due.push_back(timers_.top());
      timers_.pop();
    }
    for (const Timer& timer : due) {
      if (timer.due == Due::kGuard) {
        Guard(static_cast<uint32_t>(timer.tag));
        continue;
      }
      Tell([&](micadock::Balancer& b, double at, micadock::Actions* out) { b.OnTimer(at, timer.tag, out); });
    }
    if (!armed_) ArmTimers();
    CheckShutdown();
  });
}

void Gateway::Reload(const Config& fresh) {
  discovery_.Move(fresh.discovery);
  if (counter_ && fresh.has_counter) counter_->Move(fresh.counter);
}

void Gateway::Shutdown() {
  if (shutdown_at_) return;
  shutdown_at_ = Clock::now();
  server_.AskToClose();
  shutdown_timer_.expires_after(Seconds(kStillComingS));
  shutdown_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    server_.CloseIdle();
    double longest = 0;
    for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline_s);
    shutdown_timer_.expires_at(*shutdown_at_ + Seconds(longest + kEndMarginS));
    shutdown_timer_.async_wait([this](error_code stopped) {
      if (!stopped) io_.stop();
    });
    CheckShutdown();
  });
}

void Gateway::CheckShutdown() {
  if (!shutdown_at_ || Clock::now() < *shutdown_at_ + Seconds(kStillComingS)) return;
  server_.CloseIdle();
  if (by_connection_.empty() && server_.Quiet()) io_.stop();
}

}  // namespace ivygw
