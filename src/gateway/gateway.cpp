#include "gateway/gateway.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "core/limits.h"
#include "gateway/core_settings.h"

namespace ivygw {

using micadock::ListKind;
using micadock::Result;

namespace {

constexpr size_t kAccountedBody =
    size_t{8} * 1024;  // bytes; what is smaller is left to the margin of the limit
// For the rest of a long body: what it takes at the least rate that clients are held to, and some more.
constexpr double kBodyRate = size_t{24} * 1024, kBodySlackS = 10;

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config, Tap tap, const MakeFleet& make_fleet)
    : io_(io),
      config_(config),
      epoch_s_(std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() -
               std::chrono::duration<double>(Clock::now().time_since_epoch()).count()),
      memory_(BodyBudget(config)),
      links_(io, &memory_, this),
      server_(io, MostClients(config), &memory_,
              {[this](uint64_t client, ClientMessage m) { OnMessage(client, std::move(m)); },
               [this](uint64_t client, bool) { OnClosed(client); },
               [this](uint64_t client, const std::string& bytes, bool last) { OnBody(client, bytes, last); },
               [this](uint64_t client) { OnClientDrained(client); }}),
      discovery_(
          io, config.discovery, config.site, &ids_,
          [this](const BackendList& list) { OnList(list, list.full ? ListKind::kFull : ListKind::kDelta); },
          [this] { driver_->Dispatch(core::DiscoveryFailed{}); }),
      timer_(io),
      looking_(io),
      learning_(io),
      bad_(config.settings.classes.size()) {
  if (config.has_counter) {
    counter_.emplace(io, config.counter, kCounterTimeoutFactor * config.settings.count_timeout_s,
                     config.site.connect_timeout_s, static_cast<CounterEvents*>(this), config.counter_access);
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
  driver_.emplace(this, CoreSettingsOf(config), std::move(tap));
  OnList(known, ListKind::kCached);
  StartOperators();
  StartFleet(make_fleet);
  if (config.listen_fd) {
    server_.Inherit(*config.listen_fd, config.listen);
  } else {
    server_.Listen(config.listen);
  }
  discovery_.Start();
}

// What was said to this gateway's process before holds here from the first request on.
void Gateway::StartOperators() {
  if (!config_.admin && !config_.listen_fd) return;
  if (!config_.shared_directory.empty()) {
    operators_.emplace(config_.shared_directory, config_.name);
    if (config_.listen_fd) learned_.emplace(config_.shared_directory, config_.name);
    Look();
  }
  if (!config_.admin) return;
  admin_.emplace(io_, [this](const admin::Call& call) { return OnCall(call); });
  admin_->Listen(*config_.admin);
}

Gateway::~Gateway() = default;

// Monotonic, and the same at every gateway as far as the machines' clocks agree when they start.
double Gateway::Now() const {
  return epoch_s_ + std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

// One timer, set anew only when something is due earlier than it was. What has become void meanwhile costs at
// most an idle turn.
void Gateway::AfterTurn() {
  passing_.clear();
  ServeIfReady();
  if (fleet_ && !closing_ && driver_->core().serving()) fleet_->Serving();
  double due = driver_->NextDue();
  if (due == core::kNever) return;
  // A clock tick later, so that what is due at this time is due when the timer goes off.
  Clock::time_point at = Clock::time_point(Seconds(due - epoch_s_)) + std::chrono::microseconds(1);
  if (armed_ && *armed_ <= at) return;
  armed_ = at;
  timer_.expires_at(at);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    armed_.reset();
    driver_->Dispatch(core::TimerExpired{});
  });
}

void Gateway::Execute(core::RegisterRequest& effect) {
  Message& held = messages_[effect.request] = std::move(coming_[effect.client]);
  coming_.erase(effect.client);
  if (fleet_) fleet_->Held(effect.client, effect.request);
  if (held.more) bringing_[effect.client] = effect.request;
}
void Gateway::Execute(core::SendResponse& effect) {
  Answer answer;
  answer.status = effect.status;
  answer.retry_after_s = effect.retry_after_s;
  auto brought = passing_.find(effect.connection);
  if (brought != passing_.end()) {
    answer.headers = std::move(brought->second.headers);
    answer.body = std::move(brought->second.body);
  }
  Send(effect.client, std::move(answer));
}
// Parts follow as the client takes them.
void Gateway::Execute(core::StartResponse& effect) {
  BackendAnswer& begun = passing_.at(effect.connection);
  streams_[effect.connection] = {effect.client, begun.true_units};
  stream_to_[effect.client] = effect.connection;
  Answer answer;
  answer.status = 200;
  answer.headers = std::move(begun.headers);
  answer.body = std::move(begun.body);
  // Too long to be kept: who comes back is told so.
  if (fleet_) fleet_->Answered(effect.client, 200, "", std::string(static_cast<size_t>(1) << 20, ' '));
  server_.ReplyBegin(effect.client, answer, begun.length);
}
void Gateway::Execute(core::AbortResponse& effect) { server_.Abort(effect.client); }
void Gateway::Execute(core::ReleaseRequest& effect) {
  auto it = messages_.find(effect.request);
  if (it == messages_.end()) return;
  if (auto b = bringing_.find(it->second.client); b != bringing_.end() && b->second == effect.request)
    bringing_.erase(b);
  sending_.erase(it->second.connection);
  messages_.erase(it);
}
void Gateway::Execute(core::OpenConnection& effect) {
  links_.Connect(effect.connection, addresses_[effect.address]);
}
void Gateway::Execute(core::WriteRequest& effect) {
  Message& held = messages_.at(effect.request);
  // Of a body that is still coming the backend's time begins when it is whole, as the client's does.
  double patience_s = held.more ? held.timeout_s : effect.timeout_s;
  std::string message;
  message.reserve(held.head.size() + held.body.size() + 64);
  message.append(held.head).append("Request-Timeout-Ms: ");
  message.append(std::to_string(std::max(1L, std::lround(patience_s * 1000)))).append("\r\n\r\n");
  AppendPart(held, held.body, !held.more, &message);
  if (held.more) {
    sending_.erase(held.connection);
    held.connection = effect.connection;
    sending_[effect.connection] = effect.request;
  }
  links_.Write(effect.connection, std::move(message), effect.reused, held.more);
}
void Gateway::Execute(core::CloseConnection& effect) {
  if (auto it = sending_.find(effect.connection); it != sending_.end()) {
    if (auto m = messages_.find(it->second); m != messages_.end()) m->second.connection = 0;
    sending_.erase(it);
  }
  if (auto it = streams_.find(effect.connection); it != streams_.end()) {
    stream_to_.erase(it->second.client);
    streams_.erase(it);
  }
  links_.Close(effect.connection);
}
void Gateway::Execute(core::CallCounter& effect) {
  counter_->Call(effect.call, effect.name, effect.amount, effect.ttl_s);
}
void Gateway::Execute(core::CancelCounterCall& effect) { counter_->Drop(effect.call); }
void Gateway::Execute(core::Log& effect) { std::fprintf(stderr, "%s\n", effect.text.c_str()); }
void Gateway::Execute(core::SubscribeToDiscovery&) { discovery_.Start(); }
void Gateway::Execute(core::DisableClientKeepAlive&) { server_.AskToClose(true); }
void Gateway::Execute(core::EnableClientKeepAlive&) { server_.AskToClose(false); }
void Gateway::Execute(core::CloseIdleClientConnections&) { server_.CloseIdle(); }
void Gateway::Execute(core::StopIfIdle&) {
  if (server_.Quiet()) Stop();
}
void Gateway::Execute(core::Stop&) { Stop(); }
void Gateway::Stop() {
  if (!fleet_) return io_.stop();
  if (!std::exchange(left_, true)) fleet_->Left([this] { io_.stop(); });
}
void Gateway::Execute(core::RecordIntent& effect) {
  Place place = places_.count(effect.backend) != 0 ? places_[effect.backend] : Place();
  if (fleet_ &&
      fleet_->Intend(effect.request, effect.attempt, ids_.NameOf(effect.backend), place.zone, place.cell))
    return;
  driver_->Dispatch(core::IntentResolved{effect.request, effect.attempt, true});
}
void Gateway::Execute(core::RecordAttemptEnd& effect) {
  if (fleet_) fleet_->AttemptOver(effect.request, effect.attempt, effect.may_have_run);
}

void Gateway::OnMessage(uint64_t client, ClientMessage message) {
  std::string_view target = OriginForm(View(message.head.target()));
  if (target.substr(0, 3) == "/-/") {
    Answer answer;
    // Where the platform holds the socket, who goes has been replaced: the gateway is as ready as it was.
    bool ready = config_.listen_fd ? driver_->core().accepting() : driver_->core().ready();
    answer.status = target == "/-/ready" ? (ready ? 200 : 503) : 404;
    return server_.Reply(client, answer);
  }
  ClientCall call = ReadCall(message.head, config_);
  std::string id(call.id);
  if (call.status == 0 && driver_->core().IsOpen(id) && !IsWork(message)) call.status = 400;
  if (call.status != 0) {
    if (call.request.cls >= 0) ++bad_.at(static_cast<size_t>(call.request.cls));
    Answer answer;
    answer.status = call.status;
    return server_.Reply(client, answer);
  }
  Message held;
  held.head.reserve(512);
  held.head.append(View(message.head.method_string())).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendEndToEnd(message.head, &held.head, [](const auto& field) {
    return boost::beast::iequals(field.name_string(), "Request-Timeout-Ms");
  });
  if (message.head.find(http::field::host) == message.head.end()) held.head += "Host: app.svc\r\n";
  core::RequestArrived arrival = ArrivalOf(call, client);
  held.more = message.more;
  if (held.more) {
    held.client = client;
    held.timeout_s = call.timeout_s;
    held.chunked = !message.length;
    uint64_t left = message.length.value_or(kLongestBody) - message.body.size();
    arrival.body_s = kBodySlackS + static_cast<double>(left) / kBodyRate;
  }
  if (held.chunked) {
    held.head += "Transfer-Encoding: chunked\r\n";
  } else if (held.more || !message.body.empty() || message.head.method() == http::verb::post) {
    uint64_t length = held.more ? *message.length : message.body.size();
    held.head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  held.body = std::move(message.body);
  if (held.body.capacity() > kAccountedBody) {
    held.share = std::make_unique<bodies::BodyShare>(&memory_);
    held.share->Hold(held.body.capacity());
  }
  if (fleet_) fleet_->Asked(arrival.customer, arrival.plan, arrival.units);
  if (TakeWork(client, message, call, arrival, &held)) return;
  coming_[client] = std::move(held);
  driver_->Dispatch(std::move(arrival));
}

// A piece of a body on its way to a backend.
void Gateway::AppendPart(const Message& to, const std::string& bytes, bool last, std::string* out) {
  if (!to.chunked) return void(out->append(bytes));
  char size[24];
  if (!bytes.empty()) {
    out->append(size, static_cast<size_t>(std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size())));
    out->append(bytes).append("\r\n");
  }
  if (last) out->append("0\r\n\r\n");
}

// What has been written so far has gone: from here on the beginning is not kept, and the client may bring
// more.
void Gateway::OnDrained(uint64_t connection) {
  auto it = sending_.find(connection);
  if (it == sending_.end()) return;
  uint32_t request = it->second;
  Message& held = messages_.at(request);
  if (!held.gone) {
    held.gone = true;
    held.body = std::string();
    held.share.reset();
    driver_->Dispatch(core::BodyDiscarded{request});
  }
  server_.ReadBody(held.client);
}

void Gateway::OnBody(uint64_t client, const std::string& bytes, bool last) {
  auto it = bringing_.find(client);
  if (it == bringing_.end()) return;
  uint32_t request = it->second;
  Message& held = messages_.at(request);
  uint64_t connection = held.connection;
  std::string part;
  AppendPart(held, bytes, last, &part);
  if (last) {
    held.more = false;
    bringing_.erase(it);
    driver_->Dispatch(core::BodyCompleted{request});
  }
  if (connection != 0) links_.WriteMore(connection, std::move(part), last);
}

void Gateway::OnClosed(uint64_t client) {
  bringing_.erase(client);
  taken_.erase(client);
  notes_.erase(client);
  held_answers_.erase(client);
  if (fleet_ && fleet_->ClientGone(client)) return;  // its outcome is for who comes back
  driver_->Dispatch(core::ClientDisconnected{client});
}

void Gateway::OnAnswerBegun(uint64_t connection, BackendAnswer answer) {
  passing_[connection] = std::move(answer);
  driver_->Dispatch(core::ResponseStarted{connection});
}
void Gateway::OnAnswerPart(uint64_t connection, std::string bytes) {
  auto it = streams_.find(connection);
  if (it != streams_.end()) server_.ReplyPart(it->second.client, std::move(bytes), false);
}
void Gateway::OnAnswerEnded(uint64_t connection, bool keep) {
  auto it = streams_.find(connection);
  if (it == streams_.end()) return;
  Stream stream = it->second;
  streams_.erase(it);
  stream_to_.erase(stream.client);
  driver_->Dispatch(core::ResponseReceived{connection, Result::kOk, stream.true_units, keep});
  server_.ReplyPart(stream.client, "", true);
}
void Gateway::OnClientDrained(uint64_t client) {
  auto it = stream_to_.find(client);
  if (it != stream_to_.end()) links_.ReadMore(it->second);
}

void Gateway::OnList(const BackendList& list, ListKind kind) {
  std::vector<core::ListedBackend> entries;
  for (const Listed& listed : list.entries) {
    if (config_.fleet) places_[listed.backend.id] = {listed.backend.zone, listed.backend.cell};
    auto [it, fresh] = address_numbers_.try_emplace(listed.address, addresses_.size());
    if (fresh) addresses_.push_back(listed.address);
    entries.push_back({listed.backend, it->second});
  }
  driver_->Dispatch(core::BackendListUpdated{kind, std::move(entries)});
}

void Gateway::OnConnected(uint64_t connection) { driver_->Dispatch(core::ConnectionOpened{connection}); }
void Gateway::OnWritten(uint64_t connection) { driver_->Dispatch(core::RequestWritten{connection}); }
void Gateway::OnAnswer(uint64_t connection, BackendAnswer answer) {
  core::ResponseReceived event{connection, answer.result, answer.true_units, answer.keep};
  passing_[connection] = std::move(answer);
  driver_->Dispatch(event);
}
void Gateway::OnLost(uint64_t connection) { driver_->Dispatch(core::ConnectionLost{connection}); }
void Gateway::OnStale(uint64_t connection) { driver_->Dispatch(core::ConnectionStale{connection}); }
void Gateway::OnCountWritten(uint64_t call) { driver_->Dispatch(core::CounterCallWritten{call}); }
void Gateway::OnCountAnswer(uint64_t call, Result result, double total) {
  driver_->Dispatch(core::CounterResponseReceived{call, result, total});
}
void Gateway::OnCountLost(uint64_t call) { driver_->Dispatch(core::CounterCallLost{call}); }

// An inherited socket is shared: nobody is taken from it before this process can serve.
void Gateway::ServeIfReady() {
  if (!config_.listen_fd || closing_ || server_.accepting() || !driver_->core().serving()) return;
  if (learned_ && !recalled_) {
    recalled_ = true;
    RecallLearned();
    WriteLearned();
  }
  server_.StartAccepting();
}

void Gateway::Reload(const Config& fresh) {
  ++reloads_;
  discovery_.Move(fresh.discovery);
  if (counter_ && fresh.has_counter) counter_->Move(fresh.counter);
}

void Gateway::Close() {
  closing_ = true;
  if (fleet_) fleet_->Leaving();
  if (config_.listen_fd) server_.StopAccepting();  // what waits there is for who takes over
  driver_->Dispatch(core::ShutdownRequested{});
}

}  // namespace ivygw
