#include "core/backend_table.h"

#include <algorithm>
#include <unordered_set>

#include "core/limits.h"

namespace ivygw::core {

using micadock::Result;

namespace {

ConnectionLimits ApplyMargins(ConnectionLimits limits) {
  limits.idle_timeout_s =
      limits.idle_timeout_s > 0 ? limits.idle_timeout_s * kIdleTimeoutShare : kDefaultIdleTimeoutS;
  limits.drain_grace_s = std::max(0.0, limits.drain_grace_s - kDrainWriteMarginS);
  return limits;
}

}  // namespace

BackendTable::BackendTable(const ConnectionLimits& limits) : limits_(ApplyMargins(limits)) {}

BackendTable::Backend* BackendTable::Find(uint32_t backend) {
  auto it = backends_.find(backend);
  return it == backends_.end() ? nullptr : &it->second;
}

void BackendTable::UpdateList(double now, bool full, const std::vector<ListedBackend>& entries,
                              Effects* out) {
  std::unordered_set<uint32_t> listed_ids;
  for (const ListedBackend& listed : entries) {
    uint32_t id = listed.backend.id;
    switch (listed.backend.state) {
      case micadock::BackendState::kReady: SetReady(id, listed.address, out); break;
      case micadock::BackendState::kDraining: StartDrain(id, now, out); break;
      case micadock::BackendState::kGone: Remove(id, now, out); break;
    }
    listed_ids.insert(id);
  }
  if (!full) return;
  std::vector<uint32_t> absent;
  for (const auto& [id, backend] : backends_) {
    if (listed_ids.count(id) == 0) absent.push_back(id);
  }
  std::sort(absent.begin(), absent.end());  // so that the order of the effects is deterministic
  for (uint32_t id : absent) Remove(id, now, out);
}

void BackendTable::SetReady(uint32_t backend, uint64_t address, Effects* out) {
  auto [it, inserted] = backends_.try_emplace(backend);
  Backend& b = it->second;
  b.draining = false;
  if (inserted || b.address == address) return void(b.address = address);
  b.address = address;
  std::vector<uint64_t> idle = b.idle;  // connections to the old address
  for (uint64_t connection : idle) Discard(connection, out);
}

void BackendTable::StartDrain(uint32_t backend, double now, Effects* out) {
  Backend* b = Find(backend);
  if (b == nullptr || b->draining) return;
  b->draining = true;
  b->no_send_after = now + limits_.drain_grace_s;
  std::vector<uint64_t> idle = b->idle;
  for (uint64_t connection : idle) Discard(connection, out);
}

void BackendTable::Remove(uint32_t backend, double now, Effects* out) {
  StartDrain(backend, now, out);
  backends_.erase(backend);
}

void BackendTable::EndDrainGrace(uint32_t backend, double now) {
  if (Backend* b = Find(backend); b != nullptr && b->draining)
    b->no_send_after = std::min(b->no_send_after, now);
}

bool BackendTable::MaySend(uint32_t backend, double now) const {
  auto it = backends_.find(backend);
  return it != backends_.end() && !(it->second.draining && now >= it->second.no_send_after);
}

BackendTable::Status BackendTable::GetStatus(uint32_t backend) const {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return {};
  return {true, it->second.draining, it->second.idle.size()};
}

bool BackendTable::ReserveConnection(Effects* out) {
  if (connections_.size() < limits_.max_connections) return true;
  if (idle_.empty()) return false;
  Discard(idle_.front(), out);
  return true;
}

uint64_t BackendTable::StartExchange(double now, uint32_t backend, uint32_t request, int attempt,
                                     double timeout_s, TimerQueue* timers, Effects* out) {
  Exchange exchange;
  exchange.number = ++last_exchange_;
  exchange.request = request;
  exchange.attempt = attempt;
  exchange.backend = backend;
  exchange.started_at = now;
  exchange.deadline = now + std::max(0.0, timeout_s);
  if (AssignConnection(now, exchange, timers, out) == 0) return 0;
  timers->Add(exchange.deadline, TimerKind::kAttemptTimeout, exchange.number);
  return exchange.number;
}

uint64_t BackendTable::AssignConnection(double now, const Exchange& exchange, TimerQueue* timers,
                                        Effects* out) {
  if (!MaySend(exchange.backend, now)) return 0;
  Backend* b = Find(exchange.backend);
  uint64_t id = 0;
  if (!b->idle.empty()) {
    id = b->idle.back();
    b->idle.pop_back();
    idle_.erase(connections_.at(id).idle_position);
  } else if (ReserveConnection(out)) {
    id = ++last_connection_;
    Connection& opened = connections_[id];
    opened.backend = exchange.backend;
    opened.address = b->address;
  } else {
    return 0;
  }
  Connection& c = connections_.at(id);
  bool reused = c.state == State::kIdle;
  c.exchange = exchange;
  c.exchange.connection = id;
  c.written = c.response_started = false;
  in_flight_[exchange.number] = id;
  if (reused) {
    c.state = State::kOpen;
    out->push_back(WriteRequest{id, exchange.request, exchange.attempt, exchange.deadline - now, true});
  } else {
    out->push_back(OpenConnection{id, c.address});
    double connect_by = now + limits_.connect_timeout_s;
    if (connect_by < exchange.deadline) timers->Add(connect_by, TimerKind::kConnectTimeout, exchange.number);
  }
  return id;
}

std::optional<bool> BackendTable::Cancel(uint64_t exchange, Effects* out) {
  auto it = in_flight_.find(exchange);
  if (it == in_flight_.end()) return std::nullopt;
  bool written = connections_.at(it->second).written;
  Discard(it->second, out);
  return written;
}

void BackendTable::Discard(uint64_t connection, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  if (it->second.state == State::kIdle) {
    idle_.erase(it->second.idle_position);
    if (Backend* b = Find(it->second.backend)) std::erase(b->idle, connection);
  } else {
    in_flight_.erase(it->second.exchange.number);
  }
  connections_.erase(it);
  out->push_back(CloseConnection{connection});
}

// Closes the connection before the outcome is reported, so that this attempt can't overlap with a further
// one.
ExchangeResult BackendTable::EndExchange(uint64_t connection, Result result, Effects* out) {
  ExchangeResult end{connections_.at(connection).exchange, result};
  Discard(connection, out);
  return end;
}

std::optional<ExchangeResult> BackendTable::OnConnectionOpened(double now, uint64_t connection,
                                                               Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kConnecting) return std::nullopt;
  Connection& c = it->second;
  // Nothing is sent on a connection that was opened too late: the attempt has timed out, the grace period of
  // a drain is over, or the backend has moved to another address.
  bool expired =
      now >= c.exchange.deadline || !MaySend(c.backend, now) || Find(c.backend)->address != c.address;
  if (expired) return EndExchange(connection, Result::kConnectFailed, out);
  c.state = State::kOpen;
  out->push_back(
      WriteRequest{connection, c.exchange.request, c.exchange.attempt, c.exchange.deadline - now, false});
  return std::nullopt;
}

uint32_t BackendTable::RequestOf(uint64_t connection) const {
  auto it = connections_.find(connection);
  return it == connections_.end() || it->second.state == State::kIdle ? 0 : it->second.exchange.request;
}

std::optional<Exchange> BackendTable::OnResponseStarted(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || !it->second.written ||
      it->second.response_started) {
    return std::nullopt;
  }
  it->second.response_started = true;
  return it->second.exchange;
}
void BackendTable::SetDeadline(uint64_t exchange, double deadline, TimerQueue* timers) {
  auto it = in_flight_.find(exchange);
  if (it == in_flight_.end()) return;
  connections_.at(it->second).exchange.deadline = deadline;
  timers->Add(deadline, TimerKind::kAttemptTimeout, exchange);
}
bool BackendTable::HasResponseStarted(uint64_t exchange) const {
  auto it = in_flight_.find(exchange);
  return it != in_flight_.end() && connections_.at(it->second).response_started;
}

bool BackendTable::IsConnecting(uint64_t exchange) const {
  auto it = in_flight_.find(exchange);
  return it != in_flight_.end() && connections_.at(it->second).state == State::kConnecting;
}

bool BackendTable::OnRequestWritten(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || it->second.written) return false;
  return it->second.written = true;
}

// A request that was not completely written has not run.
std::optional<ExchangeResult> BackendTable::OnConnectionLost(double, uint64_t connection, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return std::nullopt;
  if (it->second.state == State::kIdle) {
    Discard(connection, out);
    return std::nullopt;
  }
  return EndExchange(connection, it->second.written ? Result::kReset : Result::kConnectFailed, out);
}

std::optional<ExchangeResult> BackendTable::OnConnectionStale(double now, uint64_t connection,
                                                              TimerQueue* timers, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || it->second.written) return std::nullopt;
  Exchange exchange = it->second.exchange;
  Discard(connection, out);
  if (now < exchange.deadline && AssignConnection(now, exchange, timers, out) != 0) return std::nullopt;
  return ExchangeResult{exchange, Result::kConnectFailed};
}

std::optional<ExchangeResult> BackendTable::OnResponse(double now, uint64_t connection, Result result,
                                                       bool reusable, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return std::nullopt;
  Connection& c = it->second;
  // The backend responded before the request was completely written: the request has not run, and the
  // connection's framing can't be trusted.
  if (c.state != State::kOpen || !c.written) return OnConnectionLost(now, connection, out);
  Backend* b = Find(c.backend);
  if (!reusable || b == nullptr || b->draining || b->address != c.address)
    return EndExchange(connection, result, out);
  ExchangeResult end{c.exchange, result};
  in_flight_.erase(c.exchange.number);
  c.state = State::kIdle;
  c.idle_since = now;
  c.idle_position = idle_.insert(idle_.end(), connection);
  b->idle.push_back(connection);
  return end;
}

// An attempt that never connected or was not completely written has not run.
std::optional<ExchangeResult> BackendTable::OnTimeout(double, TimerKind kind, uint64_t exchange,
                                                      Effects* out) {
  auto it = in_flight_.find(exchange);
  if (it == in_flight_.end()) return std::nullopt;
  const Connection& c = connections_.at(it->second);
  if (kind == TimerKind::kConnectTimeout && c.state != State::kConnecting) return std::nullopt;
  if (c.response_started) return std::nullopt;
  return EndExchange(it->second, c.written ? Result::kTimeout : Result::kConnectFailed, out);
}

double BackendTable::NextIdleTimeout() const {
  return idle_.empty() ? kNever : connections_.at(idle_.front()).idle_since + limits_.idle_timeout_s;
}

void BackendTable::CloseExpiredIdle(double now, Effects* out) {
  while (!idle_.empty() && NextIdleTimeout() <= now) Discard(idle_.front(), out);
}

}  // namespace ivygw::core
