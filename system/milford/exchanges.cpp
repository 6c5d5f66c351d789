#include "milford/exchanges.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "net/address.h"

namespace ivygw::milford {

using tongariro::Met;
using tongariro::Step;
using tongariro::Told;

namespace {

constexpr double kComesUp = 0.25;        // s, for a connection to a backend to come up
constexpr double kIdleFor = 8;           // s, for which a connection is kept where the backend doesn't tell
constexpr double kIdleMargin = 1.2;      // s, before the backend ends it
constexpr double kReserve = 0.004;       // s of the client's time that are kept for the way back
constexpr double kNotReady = 0.15;       // s, after a refusal while the lists are on their way
constexpr double kComeBack = 0.1;        // s, after a refusal for want of room
constexpr size_t kMostCollected = size_t{16} << 20;  // bytes of a body that is held whole

bool Own(std::string_view name) {
  for (std::string_view own : {"Credential", "Tenant-Name", "Deadline-Remaining", "Expected-Instance"}) {
    if (boost::beast::iequals(boost::beast::string_view(name.data(), name.size()), boost::beast::string_view(own.data(), own.size()))) return true;
  }
  return false;
}

}  // namespace

Exchanges::Exchanges(asio::io_context& io, bodies::BodyMemory* memory, routeburn::Routes* routes,
                     hollyford::Admission* admission, tongariro::Pool* pool, tongariro::Budget* budget)
    : io_(io),
      routes_(routes),
      admission_(admission),
      pool_(pool),
      budget_(budget),
      links_(io, memory, this, AnswerStyle::kEvery) {}

double Exchanges::Now() const { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }

void Exchanges::OnRequest(uint64_t client, ClientMessage message) {
  uint64_t id = ++last_;
  Request& request = requests_[id];
  request.client = client;
  request.arrived = Now();
  of_client_[client] = id;
  ++figures_.requests;
  bool more = message.more;
  request.message = std::move(message);
  if (more) return front_->ReadBody(client);
  Begin(id);
}

void Exchanges::OnClientBody(uint64_t client, std::string bytes, bool last) {
  auto it = of_client_.find(client);
  if (it == of_client_.end()) return;
  uint64_t id = it->second;
  Request& request = requests_.at(id);
  request.message.body += bytes;
  if (request.message.body.size() > kMostCollected) return Refuse(id, 413, 0, "body");
  if (last) return Begin(id);
  front_->ReadBody(client);
}

void Exchanges::OnClientClosed(uint64_t client, bool) {
  auto it = of_client_.find(client);
  if (it == of_client_.end()) return;
  uint64_t id = it->second;
  of_client_.erase(it);
  auto at = requests_.find(id);
  if (at == requests_.end()) return;
  Request& request = at->second;
  request.client_gone = true;
  if (auto waits = std::find(pending_.begin(), pending_.end(), id); waits != pending_.end()) {
    pending_.erase(waits);
    admission_->GiveUp(request.tenant->name);
  }
  // What may run only once goes on to its end; what may be asked again frees its place at once.
  if (request.connection != 0 && !request.course.idempotent && !request.replying) return;
  if (request.connection != 0) {
    pool_->OnMet(Now(), request.backend, Met::kLeft);
    Drop(request.connection);
  }
  requests_.erase(at);
}

// The body is here: who it is from and where it goes.
void Exchanges::Begin(uint64_t id) {
  Request& request = requests_.at(id);
  auto& head = request.message.head;
  if (!open_) return Refuse(id, 503, kNotReady, "not ready");
  request.attempt_id = View(head["Attempt-Id"]);
  request.route = routes_->Find(View(head[http::field::host]), View(head.target()));
  if (!request.route) return Refuse(id, 404, 0, "no route");
  if (routes_->has_tenants() && !request.route->open) {
    auto key = head.find("Credential");
    if (key != head.end()) request.tenant = routes_->Owner(std::string(View(key->value())));
    if (!request.tenant) return Refuse(id, 401, 0, "no key");
  }
  double allowed = request.route->timeout_ms / 1000.0;
  std::string_view told = View(head["Deadline-Remaining"]);
  double ms = 0;
  auto [end, bad] = std::from_chars(told.data(), told.data() + told.size(), ms);
  if (!told.empty() && bad == std::errc() && std::isfinite(ms)) allowed = std::min(allowed, ms / 1000 - kReserve);
  request.deadline = request.arrived + allowed;
  if (!request.tenant) return Admitted(id);
  Judged(id, admission_->Ask(request.arrived, *request.tenant));
}

void Exchanges::Judged(uint64_t id, const hollyford::Verdict& verdict) {
  if (verdict.admitted) return Admitted(id);
  Request& request = requests_.at(id);
  if (verdict.pending) {
    pending_.push_back(id);
    if (request.timer) return;
    request.timer = std::make_unique<asio::steady_timer>(io_);
    request.timer->expires_after(Seconds(hollyford::kAsked));
    request.timer->async_wait([this, id](error_code cancelled) {
      auto at = std::find(pending_.begin(), pending_.end(), id);
      if (cancelled || at == pending_.end()) return;
      pending_.erase(at);
      auto it = requests_.find(id);
      if (it == requests_.end()) return;
      hollyford::Verdict last = admission_->Again(Now(), it->second.tenant->name);
      if (last.admitted) return Admitted(id);
      if (last.pending) admission_->GiveUp(it->second.tenant->name);
      ++figures_.limited;
      Refuse(id, 429, std::max(0.05, last.retry_after_s), "limit");
    });
    return;
  }
  ++figures_.limited;
  Refuse(id, 429, verdict.retry_after_s, "limit");
}

void Exchanges::OnLoans() {
  std::deque<uint64_t> ids;
  ids.swap(pending_);
  for (uint64_t id : ids) {
    auto it = requests_.find(id);
    if (it != requests_.end()) Judged(id, admission_->Again(Now(), it->second.tenant->name));
  }
}

void Exchanges::Admitted(uint64_t id) {
  Request& request = requests_.at(id);
  request.service = routeburn::Routes::Pick(*request.route, request.attempt_id);
  request.course.idempotent = request.route->idempotent;
  request.course.most_sent = request.route->max_attempts;
  budget_->OnRequest(request.arrived, request.service);
  request.timer = std::make_unique<asio::steady_timer>(io_);
  request.timer->expires_after(Seconds(std::max(0.0, request.deadline - Now())));
  request.timer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) OnDeadline(id);
  });
  Try(id);
}

void Exchanges::Try(uint64_t id) {
  Request& request = requests_.at(id);
  double now = Now();
  if (now >= request.deadline) return OnDeadline(id);
  std::string backend = pool_->Choose(now, request.service, request.tried);
  if (backend.empty()) {
    if (request.course.may_have_run) return Refuse(id, 502, 0, "may have run");
    return Refuse(id, 503, kComeBack, "no backend");
  }
  request.tried.insert(backend);
  request.backend = backend;
  pool_->OnSent(backend);
  auto& idle = idle_[backend];
  while (!idle.empty()) {
    uint64_t connection = idle.back();
    idle.pop_back();
    Link& link = connections_.at(connection);
    if (now >= link.until) {
      links_.Close(connection);
      connections_.erase(connection);
      continue;
    }
    link.request = id;
    link.kept = true;
    request.connection = connection;
    return Write(id);
  }
  uint64_t connection = ++last_connection_;
  connections_[connection] = {backend, id, 0, false, false};
  request.connection = connection;
  ++figures_.connections;
  request.connect_timer = std::make_unique<asio::steady_timer>(io_);
  request.connect_timer->expires_after(Seconds(kComesUp));
  request.connect_timer->async_wait([this, id, connection](error_code cancelled) {
    auto it = requests_.find(id);
    if (cancelled || it == requests_.end() || it->second.connection != connection) return;
    auto link = connections_.find(connection);
    if (link == connections_.end() || link->second.up) return;
    Drop(connection);
    Ended(id, Told::kNotSent, Met::kSilent);
  });
  tcp::endpoint address;
  try {
    address = ParseAddress("address", pool_->Find(backend)->backend.address);
  } catch (const std::exception&) {
    Drop(connection);
    return Ended(id, Told::kNotSent, Met::kRefusedConnection);
  }
  links_.Connect(connection, address);
}

std::string Exchanges::Message(const Request& request, double now) const {
  const auto& head = request.message.head;
  std::string out;
  out.reserve(512 + request.message.body.size());
  out.append(View(head.method_string())).append(" ").append(View(head.target())).append(" HTTP/1.1\r\n");
  AppendEndToEnd(head, &out, [](const auto& field) { return Own(View(field.name_string())); });
  out += "Deadline-Remaining: " + std::to_string(static_cast<long>(std::max(1.0, (request.deadline - now) * 1000))) + "\r\n";
  out += "Expected-Instance: " + request.backend + "\r\n";
  if (request.tenant) out += "Tenant-Name: " + request.tenant->name + "\r\n";
  if (!request.message.body.empty() || head.method() == http::verb::post || head.method() == http::verb::put) {
    out += "Content-Length: " + std::to_string(request.message.body.size()) + "\r\n";
  }
  return out.append("\r\n").append(request.message.body);
}

void Exchanges::Write(uint64_t id) {
  Request& request = requests_.at(id);
  Link& link = connections_.at(request.connection);
  links_.Write(request.connection, Message(request, Now()), link.kept);
}

void Exchanges::OnConnected(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  it->second.up = true;
  if (it->second.request == 0) return Release(connection, true, 0);
  requests_.at(it->second.request).connect_timer.reset();
  Write(it->second.request);
}

tongariro::Reading Exchanges::Read(const Request& request, const BackendAnswer& answer) {
  tongariro::AnswerFacts facts;
  facts.status = answer.status;
  facts.has_id = !answer.attempt_id.empty();
  facts.own_id = facts.has_id && answer.attempt_id == request.attempt_id;
  facts.not_executed = answer.not_executed;
  facts.sealed = answer.sealed;
  facts.encoded = answer.encoded;
  return tongariro::ReadAnswer(facts);
}

// What admission goes by: served within the aim, or with less room than there was thought to be.
void Exchanges::Served(const Request& request, double now) {
  ++figures_.served;
  if (now - request.arrived <= request.route->target_latency_ms / 1000.0) {
    admission_->OnServed();
  } else {
    admission_->OnCrowded();
  }
}

void Exchanges::OnAnswer(uint64_t connection, BackendAnswer answer) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  uint64_t id = it->second.request;
  if (id == 0) return Drop(connection);
  Request& request = requests_.at(id);
  ++request.course.sent;
  tongariro::Reading reading = Read(request, answer);
  if (!reading.sound) {
    ++figures_.broken;
    Drop(connection);
    return Ended(id, reading.told, reading.met);
  }
  Release(connection, answer.keep && reading.met != Met::kGone, answer.keep_alive_s);
  if (reading.met == Met::kFull) {
    ++figures_.full;
    admission_->OnCrowded();
  }
  if (reading.told != Told::kRan) return Ended(id, reading.told, reading.met);
  // A failure of its own has run: asked again only where that does no harm.
  bool again = reading.met == Met::kFailed && request.course.idempotent && request.course.sent < request.course.most_sent &&
               budget_->May(Now(), request.service);
  if (again) return Ended(id, Told::kUnknown, reading.met);
  double now = Now();
  pool_->OnMet(now, request.backend, reading.met);
  request.connection = 0;
  if (reading.met == Met::kServed) Served(request, now);
  Answer out;
  out.status = static_cast<int>(answer.status);
  out.headers = std::move(answer.headers);
  out.body = std::move(answer.body);
  Finish(id, std::move(out));
}

void Exchanges::OnAnswerBegun(uint64_t connection, BackendAnswer answer) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  uint64_t id = it->second.request;
  Request& request = requests_.at(id);
  tongariro::Reading reading = Read(request, answer);
  if (!reading.sound || !reading.pass || request.client_gone) {
    ++request.course.sent;
    Drop(connection);
    return Ended(id, Told::kUnknown, Met::kBroken);
  }
  request.replying = true;
  request.timer.reset();
  Answer out;
  out.status = static_cast<int>(answer.status);
  out.headers = std::move(answer.headers);
  out.body = std::move(answer.body);
  front_->ReplyBegin(request.client, std::move(out), answer.length);
}

void Exchanges::OnClientDrained(uint64_t client) {
  auto it = of_client_.find(client);
  if (it == of_client_.end()) return;
  Request& request = requests_.at(it->second);
  if (request.replying && request.connection != 0) links_.ReadMore(request.connection);
}

void Exchanges::OnAnswerPart(uint64_t connection, std::string bytes) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  front_->ReplyPart(requests_.at(it->second.request).client, std::move(bytes), false);
}

void Exchanges::OnAnswerEnded(uint64_t connection, bool keep) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  uint64_t id = it->second.request;
  Request& request = requests_.at(id);
  uint64_t client = request.client;
  double now = Now();
  pool_->OnMet(now, request.backend, Met::kServed);
  Release(connection, keep, 0);
  Served(request, now);
  of_client_.erase(client);
  requests_.erase(id);
  front_->ReplyPart(client, "", true);
}

void Exchanges::OnLost(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  uint64_t id = it->second.request;
  bool up = it->second.up;
  Drop(connection);
  if (id == 0) return;
  Request& request = requests_.at(id);
  if (request.replying) {
    uint64_t client = request.client;
    pool_->OnMet(Now(), request.backend, Met::kBroken);
    of_client_.erase(client);
    requests_.erase(id);
    return front_->Abort(client);
  }
  if (!up) return Ended(id, Told::kNotSent, Met::kRefusedConnection);
  ++request.course.sent;
  Ended(id, Told::kUnknown, Met::kBroken);
}

void Exchanges::OnStale(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  uint64_t id = it->second.request;
  std::string backend = it->second.backend;
  Drop(connection);
  if (id == 0) return;
  Request& request = requests_.at(id);
  request.tried.erase(backend);  // it is as good as before, on another connection
  Ended(id, Told::kNotSent, Met::kLeft);
}

void Exchanges::Ended(uint64_t id, Told told, Met met) {
  Request& request = requests_.at(id);
  double now = Now();
  pool_->OnMet(now, request.backend, met);
  request.connection = 0;
  request.connect_timer.reset();
  if (told == Told::kNotSent) {
    ++request.course.unsent;
    ++figures_.not_sent;
  }
  if (told == Told::kUnknown) ++figures_.unknown;
  if (request.client_gone) {
    requests_.erase(id);
    return;
  }
  Step step = tongariro::After(&request.course, told, budget_->May(now, request.service));
  if (step == Step::kAgain) {
    if (request.course.sent > 0) {
      budget_->OnTry(now, request.service);
      ++figures_.tries;
    }
    return Try(id);
  }
  if (step == Step::kRefuse) return Refuse(id, 503, kComeBack, "not run");
  Refuse(id, 502, 0, "may have run");
}

void Exchanges::OnDeadline(uint64_t id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || it->second.replying) return;
  Request& request = it->second;
  ++figures_.late;
  bool sent = request.course.may_have_run;
  if (request.connection != 0) {
    Link& link = connections_.at(request.connection);
    sent = sent || link.up;
    pool_->OnMet(Now(), request.backend, link.up ? Met::kSilent : Met::kRefusedConnection);
    Drop(request.connection);
    request.connection = 0;
  }
  Refuse(id, sent ? 504 : 503, sent ? 0 : kComeBack, "deadline");
}

void Exchanges::Refuse(uint64_t id, int status, double retry_after_s, const char* why) {
  if (status == 503) ++figures_.refused;
  if (status == 502 || status == 504) ++figures_.failed;
  if (status == 401 || status == 404) ++figures_.denied;
  Answer answer;
  answer.status = status;
  answer.retry_after_s = retry_after_s;
  answer.headers = "Content-Type: text/plain\r\n";
  answer.body = why;
  Finish(id, std::move(answer));
}

void Exchanges::Finish(uint64_t id, Answer answer) {
  auto it = requests_.find(id);
  uint64_t client = it->second.client;
  bool gone = it->second.client_gone;
  requests_.erase(it);
  if (gone) return;
  of_client_.erase(client);
  front_->Reply(client, std::move(answer));
}

void Exchanges::Release(uint64_t connection, bool keep, double keep_alive_s) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  if (!keep) return Drop(connection);
  Link& link = it->second;
  link.request = 0;
  link.until = Now() + (keep_alive_s > 0 ? std::max(0.1, keep_alive_s - kIdleMargin) : kIdleFor);
  idle_[link.backend].push_back(connection);
}

void Exchanges::Drop(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  auto idle = idle_.find(it->second.backend);
  if (idle != idle_.end()) std::erase(idle->second, connection);
  links_.Close(connection);
  connections_.erase(it);
}

void Exchanges::Sweep() {
  double now = Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    bool leave = pool_->Idle(it->first);
    auto& list = it->second;
    for (size_t i = 0; i < list.size();) {
      if (leave || now >= connections_.at(list[i]).until) {
        links_.Close(list[i]);
        connections_.erase(list[i]);
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
    it = list.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace ivygw::milford
