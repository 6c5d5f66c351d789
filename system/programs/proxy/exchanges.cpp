#include "proxy/exchanges.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "net/address.h"
#include "process/log.h"

namespace ivygw::proxy {

namespace lifecycle = request_lifecycle;
using lifecycle::ClientId;
using lifecycle::ConnectionId;
using load_balancing::AttemptResult;

namespace {

constexpr double kConnectTimeout = 0.25;   // s, for a connection to a backend to be established
constexpr double kReserve = 0.004;         // s of the client's time that are kept for the way back
constexpr double kNotReady = 0.15;         // s, after a refusal while the lists are on their way
constexpr double kLeastRetryAfter = 0.05;  // s, after a refusal for a limit
constexpr double kMemoryRetryAfter = 1;    // s, after a refusal for want of memory
constexpr double kMemoryLogInterval = 1;   // s, between two events that tell of such refusals
constexpr char kTooLong[] = "body: over 16 MiB, or over what limits.memory_mb lets one body take";
constexpr char kNoMemory[] = "limits.memory_mb: no memory for this body now";

// Headers that the proxy sets itself.
bool Own(std::string_view name) {
  for (std::string_view own : {"Credential", "Tenant-Name", "Deadline-Remaining", "Expected-Instance"}) {
    boost::beast::string_view left(name.data(), name.size()), right(own.data(), own.size());
    if (boost::beast::iequals(left, right)) return true;
  }
  return false;
}

// Of no tenant: public routes, and requests that are not identified yet.
const std::string kNoTenant;

lifecycle::BackendReply ReplyOf(BackendAnswer&& answer) {
  lifecycle::BackendReply reply;
  reply.attempt_id = std::move(answer.attempt_id);
  reply.not_executed = answer.not_executed;
  reply.sealed = answer.sealed;
  reply.encoded = answer.encoded;
  reply.reusable = answer.keep;
  reply.keep_alive_s = answer.keep_alive_s;
  reply.content.status = static_cast<int>(answer.status);
  reply.content.headers = std::move(answer.headers);
  reply.content.body = std::move(answer.body);
  reply.content.length = answer.length;
  return reply;
}

Answer AnswerOf(lifecycle::AnswerContent&& content) {
  Answer answer;
  answer.status = content.status;
  answer.headers = std::move(content.headers);
  answer.body = std::move(content.body);
  return answer;
}

}  // namespace

const std::string& Exchanges::TenantOf(const ActiveRequest& request) {
  return request.tenant ? request.tenant->name : kNoTenant;
}

Exchanges::Exchanges(asio::io_context& io, bodies::BodyMemory* memory, routing::Routes* routes,
                     rate_limit::Admission* admission, load_balancing::Pool* pool,
                     load_balancing::RetryBudget* budget, const drain::DrainManager* drain)
    : io_(io),
      routes_(routes),
      admission_(admission),
      pool_(pool),
      budget_(budget),
      drain_(drain),
      memory_(memory),
      lifecycle_(this),
      links_(io, memory, this, AnswerStyle::kEvery) {}

double Exchanges::Now() const {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

Figures Exchanges::figures() const {
  Figures out = figures_;
  const lifecycle::Counters& counters = lifecycle_.counters();
  out.late = counters.deadline_exceeded;
  out.tries = counters.retries;
  out.not_sent = counters.not_sent;
  out.full = counters.rejected_by_backend;
  out.unknown = counters.unknown_outcomes;
  out.broken = counters.untrusted_answers;
  out.connections = counters.connections;
  out.ended = counters.stale_events;
  return out;
}

// --- Clients: up to admission ---

void Exchanges::OnRequest(uint64_t client, ClientMessage message) {
  RequestId id = lifecycle_.StartRequest(ClientId{client});
  ActiveRequest& request = active_requests_.try_emplace(id, &memory_).first->second;
  request.arrived = Now();
  ++figures_.requests;
  CollectedBody::Verdict verdict = request.body.Append(std::move(message.body));
  request.message = std::move(message);
  FreeMemory(&request.message.body);
  request.body.SetHead(request.message.head);
  if (!Check(id, verdict)) return;
  request.message.more ? BeginLong(client, id) : Begin(id);
}

// A body that is still coming is collected only for a request that may be served: what is refused already
// needn't be held for it.
void Exchanges::BeginLong(uint64_t client, RequestId id) {
  if (!Identify(id)) return;
  ActiveRequest& request = active_requests_.at(id);
  if (!Check(id, request.body.MayBegin(TenantOf(request), request.message.length)) || !Hold(id)) return;
  request.body_timer = std::make_unique<asio::steady_timer>(io_);
  request.body_timer->expires_after(Seconds(std::max(0.0, request.deadline - Now())));
  request.body_timer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) Reject(id, 503, kNotReady, "deadline");
  });
  Judge(id);
  if (active_requests_.count(id) > 0) front_->ReadBody(client);
}

void Exchanges::OnClientBody(uint64_t client, std::string bytes, bool last) {
  RequestId id = lifecycle_.RequestOf(ClientId{client});
  auto it = active_requests_.find(id);
  if (it == active_requests_.end()) return;
  if (!Check(id, it->second.body.Append(std::move(bytes)))) return;
  if (last) return Begin(id);
  if (Hold(id)) front_->ReadBody(client);
}

// Rejects the request and returns false unless what it holds may be held.
bool Exchanges::Check(RequestId id, CollectedBody::Verdict verdict) {
  switch (verdict) {
    case CollectedBody::Verdict::kHeld: return true;
    case CollectedBody::Verdict::kTooLong: Reject(id, 413, 0, kTooLong); return false;
    case CollectedBody::Verdict::kNoMemory: RejectForMemory(id); return false;
  }
  return false;
}

// Whether the request may go on holding what it holds, by its tenant's part of the memory; if not, it is
// rejected.
bool Exchanges::Hold(RequestId id) {
  ActiveRequest& request = active_requests_.at(id);
  return Check(id, request.body.Hold(TenantOf(request)));
}

void Exchanges::RefuseIncomplete() {
  std::vector<RequestId> incomplete;
  for (const auto& [id, request] : active_requests_) {
    if (!request.body_complete) incomplete.push_back(id);
  }
  for (RequestId id : incomplete) {
    active_requests_.at(id).body_complete = true;
    Reject(id, 503, kNotReady, "stopping");
  }
}

void Exchanges::OnClientClosed(uint64_t client, bool) {
  if (lifecycle_.RequestOf(ClientId{client}).valid()) Tell(lifecycle::ClientClosed{ClientId{client}});
}

void Exchanges::OnClientDrained(uint64_t client) {
  if (lifecycle_.RequestOf(ClientId{client}).valid()) Tell(lifecycle::ClientDrained{ClientId{client}});
}

// The body is here. Where the request goes is looked up anew, as the configuration may have changed since its
// head came.
void Exchanges::Begin(RequestId id) {
  ActiveRequest& request = active_requests_.at(id);
  request.body_complete = true;
  request.body_timer.reset();
  if (!Identify(id) || !Hold(id)) return;
  bool judged = request.admission != Admission::kUndecided && request.judged && request.tenant &&
                request.judged->name == request.tenant->name;
  judged ? SendIfReady(id) : Judge(id);
}

// Finds out who the request is from, where it goes and until when. Rejects it and returns false where it
// can't be served.
bool Exchanges::Identify(RequestId id) {
  ActiveRequest& request = active_requests_.at(id);
  const auto& head = request.message.head;
  auto reject = [&](int status, double retry_after_s, const char* reason) {
    Reject(id, status, retry_after_s, reason);
    return false;
  };
  if (!open_) return reject(503, kNotReady, "not ready");
  request.route = routes_->Find(View(head[http::field::host]), View(head.target()));
  if (!request.route) return reject(404, 0, "no route");
  request.tenant.reset();
  if (routes_->has_tenants() && !request.route->open) {
    auto key = head.find("Credential");
    if (key != head.end()) request.tenant = routes_->FindTenant(std::string(View(key->value())));
    if (!request.tenant) return reject(401, 0, "no key");
  }
  double allowed = request.route->timeout_ms / 1000.0;
  std::string_view told = View(head["Deadline-Remaining"]);
  double ms = 0;
  auto [end, bad] = std::from_chars(told.data(), told.data() + told.size(), ms);
  if (!told.empty() && bad == std::errc() && std::isfinite(ms))
    allowed = std::min(allowed, ms / 1000 - kReserve);
  request.deadline = request.arrived + allowed;
  if (!drain_->MayServe(Now(), request.deadline)) return reject(503, kNotReady, "stopping");
  return true;
}

void Exchanges::Judge(RequestId id) {
  ActiveRequest& request = active_requests_.at(id);
  EndPending(id, &request);
  request.judged = request.tenant;
  if (!request.tenant) return Judged(id, {.admitted = true});
  Judged(id, admission_->OnRequest(request.arrived, *request.tenant));
}

void Exchanges::Judged(RequestId id, const rate_limit::AdmissionDecision& verdict) {
  ActiveRequest& request = active_requests_.at(id);
  if (verdict.admitted) {
    request.admission = Admission::kAdmitted;
    return SendIfReady(id);
  }
  if (!verdict.pending) {
    request.admission = Admission::kUndecided;
    ++figures_.limited;
    return Reject(id, 429, verdict.retry_after_s, "limit");
  }
  request.admission = Admission::kPending;
  pending_.push_back(id);
  if (request.timer) return;
  request.timer = std::make_unique<asio::steady_timer>(io_);
  request.timer->expires_after(Seconds(rate_limit::kTokenTimeout));
  request.timer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) OnTokenLate(id);
  });
}

void Exchanges::OnTokenLate(RequestId id) {
  auto it = active_requests_.find(id);
  if (it == active_requests_.end() || it->second.admission != Admission::kPending) return;
  ActiveRequest& request = it->second;
  request.admission = Admission::kUndecided;
  std::erase(pending_, id);
  const std::string& tenant = request.judged->name;
  rate_limit::AdmissionDecision last = admission_->RetryPending(Now(), tenant);
  if (last.admitted) return Judged(id, last);
  if (last.pending) admission_->CancelPending(tenant);
  ++figures_.limited;
  Reject(id, 429, std::max(kLeastRetryAfter, last.retry_after_s), "limit");
}

// A request whose token is on its way needs none any more.
void Exchanges::EndPending(RequestId id, ActiveRequest* request) {
  if (request->admission != Admission::kPending) return;
  request->admission = Admission::kUndecided;
  std::erase(pending_, id);
  admission_->CancelPending(request->judged->name);
}

void Exchanges::OnGrants() {
  std::deque<RequestId> ids;
  ids.swap(pending_);
  for (RequestId id : ids) {
    auto it = active_requests_.find(id);
    if (it == active_requests_.end() || it->second.admission != Admission::kPending) continue;
    it->second.admission = Admission::kUndecided;
    Judged(id, admission_->RetryPending(Now(), it->second.judged->name));
  }
}

void Exchanges::SendIfReady(RequestId id) {
  ActiveRequest& request = active_requests_.at(id);
  if (!request.body_complete || request.admission != Admission::kAdmitted) return;
  lifecycle::RequestAdmitted event;
  event.request = id;
  event.attempt_id = View(request.message.head["Attempt-Id"]);
  event.service = routing::Routes::PickService(*request.route, event.attempt_id);
  event.idempotent = request.route->idempotent;
  event.max_attempts = request.route->max_attempts;
  event.deadline = request.deadline;
  budget_->OnRequest(request.arrived, event.service);
  Tell(std::move(event));
}

void Exchanges::Reject(RequestId id, int status, double retry_after_s, const char* reason) {
  Tell(lifecycle::RequestRejected{id, status, retry_after_s, reason});
}

void Exchanges::RejectForMemory(RequestId id) {
  const ActiveRequest& request = active_requests_.at(id);
  ++figures_.no_memory;
  if (Now() >= memory_logged_at_ + kMemoryLogInterval) {
    memory_logged_at_ = Now();
    const std::string& tenant = TenantOf(request);
    process::Log("body_refused")
        .Add("tenant", tenant)
        .Add("bytes", request.body.size())
        .Add("tenant_bytes", memory_.HeldBy(tenant))
        .Add("so_far", figures_.no_memory);
  }
  Reject(id, 503, kMemoryRetryAfter, kNoMemory);
}

// --- Backends: callbacks to events ---

void Exchanges::OnConnected(uint64_t connection) {
  Tell(lifecycle::ConnectionOpened{ConnectionId{connection}});
}

void Exchanges::OnAnswer(uint64_t connection, BackendAnswer answer) {
  Tell(lifecycle::AnswerReceived{ConnectionId{connection}, ReplyOf(std::move(answer))});
}

void Exchanges::OnAnswerBegun(uint64_t connection, BackendAnswer answer) {
  Tell(lifecycle::AnswerStarted{ConnectionId{connection}, ReplyOf(std::move(answer))});
}

void Exchanges::OnAnswerPart(uint64_t connection, std::string bytes) {
  Tell(lifecycle::AnswerPart{ConnectionId{connection}, std::move(bytes)});
}

void Exchanges::OnAnswerEnded(uint64_t connection, bool keep) {
  Tell(lifecycle::AnswerEnded{ConnectionId{connection}, keep});
}

void Exchanges::OnLost(uint64_t connection) {
  Tell(lifecycle::ConnectionLost{ConnectionId{connection}, links_.AnyWritten(connection)});
}

void Exchanges::OnStale(uint64_t connection) { Tell(lifecycle::ConnectionStale{ConnectionId{connection}}); }

void Exchanges::Sweep() { Tell(lifecycle::IdleSweep{}); }

// --- What the state machine asks ---

std::string Exchanges::Choose(double now, const std::string& service, const std::set<std::string>& tried) {
  return pool_->Choose(now, service, tried);
}

void Exchanges::OnAttemptStarted(const std::string& backend) { pool_->OnAttemptStarted(backend); }

void Exchanges::OnAttemptEnded(double now, const std::string& backend, AttemptResult result) {
  pool_->OnAttemptEnded(now, backend, result);
  if (result == AttemptResult::kOverloaded) admission_->OnOverload();
}

bool Exchanges::MayRetry(double now, const std::string& service) { return budget_->MayRetry(now, service); }

void Exchanges::OnRetry(double now, const std::string& service) { budget_->OnRetry(now, service); }

bool Exchanges::IsDrained(const std::string& backend) { return pool_->IsDrained(backend); }

// --- Effects to calls ---

template <typename Event>
void Exchanges::Tell(Event&& event) {
  lifecycle_.On(Now(), std::forward<Event>(event), &effects_);
  CarryOutAll();
}

void Exchanges::CarryOutAll() {
  if (carrying_out_) return;
  carrying_out_ = true;
  while (!effects_.empty()) {
    carried_out_.swap(effects_);
    for (lifecycle::Effect& effect : carried_out_) {
      std::visit([this](auto& each) { CarryOut(each); }, effect);
    }
    carried_out_.clear();
  }
  carrying_out_ = false;
}

void Exchanges::CarryOut(lifecycle::OpenConnection& effect) {
  uint64_t connection = effect.connection.value;
  const load_balancing::BackendState* seen = pool_->Find(effect.backend);
  tcp::endpoint address;
  try {
    address = ParseAddress("address", seen ? seen->backend.address : std::string());
  } catch (const std::exception&) {
    return Tell(lifecycle::ConnectionLost{effect.connection, false});
  }
  std::unique_ptr<asio::steady_timer>& timer = active_requests_.at(effect.request).connect_timer;
  timer = std::make_unique<asio::steady_timer>(io_);
  timer->expires_after(Seconds(kConnectTimeout));
  timer->async_wait([this, id = effect.connection, attempt = effect.attempt](error_code cancelled) {
    if (!cancelled) Tell(lifecycle::ConnectTimedOut{id, attempt});
  });
  links_.Connect(connection, address);
}

void Exchanges::CarryOut(lifecycle::SendRequest& effect) {
  ActiveRequest& request = active_requests_.at(effect.request);
  request.connect_timer.reset();
  std::string message = HeadOf(request, effect.backend);
  const std::vector<std::string>& pieces = request.body.pieces();
  uint64_t connection = effect.connection.value;
  if (pieces.size() <= 1) {
    if (!pieces.empty()) message += pieces.front();
    return links_.Write(connection, std::move(message), true);
  }
  sendings_[connection] = {effect.request, 0};
  links_.Write(connection, std::move(message), true, true);
}

// The next piece of a body. A copy, as another attempt may need it, too.
void Exchanges::OnDrained(uint64_t connection) {
  auto it = sendings_.find(connection);
  if (it == sendings_.end()) return;
  auto request = active_requests_.find(it->second.request);
  if (request == active_requests_.end()) return void(sendings_.erase(it));
  const std::vector<std::string>& pieces = request->second.body.pieces();
  size_t piece = it->second.next_piece++;
  if (piece >= pieces.size()) return void(sendings_.erase(it));
  bool last = piece + 1 == pieces.size();
  if (last) sendings_.erase(it);
  links_.WriteMore(connection, pieces[piece], last);
}

std::string Exchanges::HeadOf(const ActiveRequest& request, const std::string& backend) const {
  const auto& head = request.message.head;
  size_t length = request.body.size();
  long left_ms = static_cast<long>(std::max(1.0, (request.deadline - Now()) * 1000));
  std::string out;
  out.reserve(512 + (request.body.pieces().size() == 1 ? length : 0));
  out.append(View(head.method_string())).append(" ").append(View(head.target())).append(" HTTP/1.1\r\n");
  AppendEndToEnd(head, &out, [](const auto& field) { return Own(View(field.name_string())); });
  out += "Deadline-Remaining: " + std::to_string(left_ms) + "\r\n";
  out += "Expected-Instance: " + backend + "\r\n";
  if (request.tenant) out += "Tenant-Name: " + request.tenant->name + "\r\n";
  if (length > 0 || head.method() == http::verb::post || head.method() == http::verb::put) {
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  return out.append("\r\n");
}

void Exchanges::CarryOut(lifecycle::CloseConnection& effect) {
  sendings_.erase(effect.connection.value);
  links_.Close(effect.connection.value);
}

void Exchanges::CarryOut(lifecycle::ReadAnswerPart& effect) { links_.ReadMore(effect.connection.value); }

void Exchanges::CarryOut(lifecycle::ArmDeadline& effect) {
  ActiveRequest& request = active_requests_.at(effect.request);
  request.timer = std::make_unique<asio::steady_timer>(io_);
  request.timer->expires_after(Seconds(std::max(0.0, effect.at - Now())));
  request.timer->async_wait([this, id = effect.request](error_code cancelled) {
    if (!cancelled) Tell(lifecycle::DeadlineReached{id});
  });
}

void Exchanges::CarryOut(lifecycle::ReplyNotRun& effect) {
  if (effect.status == 503) ++figures_.refused;
  if (effect.status == 401 || effect.status == 404) ++figures_.denied;
  ReplyOwn(effect.client, effect.status, effect.retry_after_s, effect.reason);
}

void Exchanges::CarryOut(lifecycle::ReplyUnknown& effect) {
  ++figures_.failed;
  ReplyOwn(effect.client, effect.status, 0, effect.reason);
}

void Exchanges::ReplyOwn(ClientId client, int status, double retry_after_s, const char* reason) {
  Answer answer;
  answer.status = status;
  answer.retry_after_s = retry_after_s;
  answer.headers = "Content-Type: text/plain\r\n";
  answer.body = reason;
  front_->Reply(client.value, answer);
}

void Exchanges::CarryOut(lifecycle::ForwardAnswer& effect) {
  if (effect.success) CountServed(effect.request);
  front_->Reply(effect.client.value, AnswerOf(std::move(effect.content)));
}

// No further attempt follows, so the body is not needed any more, however long the answer takes.
void Exchanges::CarryOut(lifecycle::ForwardStart& effect) {
  ActiveRequest& request = active_requests_.at(effect.request);
  request.timer.reset();
  bool is_sending = std::any_of(sendings_.begin(), sendings_.end(), [&](const auto& sending) {
    return sending.second.request == effect.request;
  });
  if (!is_sending) request.body.ClearBody(TenantOf(request));
  std::optional<uint64_t> length = effect.content.length;
  front_->ReplyBegin(effect.client.value, AnswerOf(std::move(effect.content)), length);
}

void Exchanges::CarryOut(lifecycle::ForwardPart& effect) {
  front_->ReplyPart(effect.client.value, std::move(effect.bytes), false);
}

void Exchanges::CarryOut(lifecycle::ForwardEnd& effect) {
  CountServed(effect.request);
  front_->ReplyPart(effect.client.value, "", true);
}

void Exchanges::CarryOut(lifecycle::AbortReply& effect) { front_->Abort(effect.client.value); }

void Exchanges::CarryOut(lifecycle::ReleaseRequest& effect) {
  auto it = active_requests_.find(effect.request);
  EndPending(effect.request, &it->second);
  active_requests_.erase(it);
}

// What admission goes by: served within the aim, or with less room than there was thought to be.
void Exchanges::CountServed(RequestId id) {
  ++figures_.served;
  const ActiveRequest& request = active_requests_.at(id);
  bool within_aim = Now() - request.arrived <= request.route->target_latency_ms / 1000.0;
  within_aim ? admission_->OnServed() : admission_->OnOverload();
}

}  // namespace ivygw::proxy
