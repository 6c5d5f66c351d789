#include "core/backend_table.h"

#include <algorithm>
#include <unordered_set>

#include "core/limits.h"

namespace ivygw::core {

using micadock::Result;

namespace {

ConnectionLimits Within(ConnectionLimits limits) {
  limits.idle_timeout_s =
      limits.idle_timeout_s > 0 ? limits.idle_timeout_s * kIdleTimeoutShare : kDefaultIdleTimeoutS;
  limits.drain_grace_s = std::max(0.0, limits.drain_grace_s - kDrainWriteMarginS);
  return limits;
}

}  // namespace

BackendTable::BackendTable(const ConnectionLimits& limits) : limits_(Within(limits)) {}

BackendTable::Backend* BackendTable::Find(uint32_t backend) {
  auto it = backends_.find(backend);
  return it == backends_.end() ? nullptr : &it->second;
}

void BackendTable::TakeList(double now, bool whole, const std::vector<ListedBackend>& entries, Effects* out) {
  std::unordered_set<uint32_t> named;
  for (const ListedBackend& listed : entries) {
    uint32_t id = listed.backend.id;
    switch (listed.backend.state) {
      case micadock::BackendState::kReady: Ready(id, listed.address, out); break;
      case micadock::BackendState::kDraining: Drain(id, now, out); break;
      case micadock::BackendState::kGone: Remove(id, now, out); break;
    }
    named.insert(id);
  }
  if (!whole) return;
  std::vector<uint32_t> absent;
  for (const auto& [id, backend] : backends_) {
    if (named.count(id) == 0) absent.push_back(id);
  }
  std::sort(absent.begin(), absent.end());  // the same order everywhere
  for (uint32_t id : absent) Remove(id, now, out);
}

void BackendTable::Ready(uint32_t backend, uint64_t address, Effects* out) {
  auto [it, fresh] = backends_.try_emplace(backend);
  Backend& b = it->second;
  b.draining = false;
  if (fresh || b.address == address) return void(b.address = address);
  b.address = address;
  std::vector<uint64_t> kept = b.kept;  // of the old address
  for (uint64_t connection : kept) Drop(connection, out);
}

void BackendTable::Drain(uint32_t backend, double now, Effects* out) {
  Backend* b = Find(backend);
  if (b == nullptr || b->draining) return;
  b->draining = true;
  b->no_send_after = now + limits_.drain_grace_s;
  std::vector<uint64_t> kept = b->kept;
  for (uint64_t connection : kept) Drop(connection, out);
}

void BackendTable::Remove(uint32_t backend, double now, Effects* out) {
  Drain(backend, now, out);
  backends_.erase(backend);
}

void BackendTable::Bar(uint32_t backend, double now) {
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
  return {true, it->second.draining, it->second.kept.size()};
}

bool BackendTable::MakeRoom(Effects* out) {
  if (connections_.size() < limits_.max_connections) return true;
  if (idle_.empty()) return false;
  Drop(idle_.front(), out);
  return true;
}

uint64_t BackendTable::Begin(double now, uint32_t backend, uint32_t request, int attempt, double patience_s,
                             TimerQueue* timers, Effects* out) {
  Exchange exchange;
  exchange.number = ++last_exchange_;
  exchange.request = request;
  exchange.attempt = attempt;
  exchange.backend = backend;
  exchange.began = now;
  exchange.give_up = now + std::max(0.0, patience_s);
  if (Place(now, exchange, timers, out) == 0) return 0;
  timers->Add(exchange.give_up, TimerKind::kPatience, exchange.number);
  return exchange.number;
}

uint64_t BackendTable::Place(double now, const Exchange& exchange, TimerQueue* timers, Effects* out) {
  if (!MaySend(exchange.backend, now)) return 0;
  Backend* b = Find(exchange.backend);
  uint64_t id = 0;
  if (!b->kept.empty()) {
    id = b->kept.back();
    b->kept.pop_back();
    idle_.erase(connections_.at(id).idle_at);
  } else if (MakeRoom(out)) {
    id = ++last_connection_;
    Connection& fresh = connections_[id];
    fresh.backend = exchange.backend;
    fresh.address = b->address;
  } else {
    return 0;
  }
  Connection& c = connections_.at(id);
  bool kept = c.state == State::kIdle;
  c.exchange = exchange;
  c.exchange.connection = id;
  c.written = c.begun = false;
  out_[exchange.number] = id;
  if (kept) {
    c.state = State::kOpen;
    out->push_back(WriteRequest{id, exchange.request, exchange.attempt, exchange.give_up - now, true});
  } else {
    out->push_back(OpenConnection{id, c.address});
    double connect_by = now + limits_.connect_timeout_s;
    if (connect_by < exchange.give_up) timers->Add(connect_by, TimerKind::kConnect, exchange.number);
  }
  return id;
}

std::optional<bool> BackendTable::Cancel(uint64_t exchange, Effects* out) {
  auto it = out_.find(exchange);
  if (it == out_.end()) return std::nullopt;
  bool written = connections_.at(it->second).written;
  Drop(it->second, out);
  return written;
}

void BackendTable::Drop(uint64_t connection, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  if (it->second.state == State::kIdle) {
    idle_.erase(it->second.idle_at);
    if (Backend* b = Find(it->second.backend)) std::erase(b->kept, connection);
  } else {
    out_.erase(it->second.exchange.number);
  }
  connections_.erase(it);
  out->push_back(CloseConnection{connection});
}

// The connection is given up before the outcome is told, so that no further attempt goes out beside it.
ExchangeResult BackendTable::End(uint64_t connection, Result result, Effects* out) {
  ExchangeResult end{connections_.at(connection).exchange, result};
  Drop(connection, out);
  return end;
}

std::optional<ExchangeResult> BackendTable::OnConnectionOpened(double now, uint64_t connection,
                                                               Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kConnecting) return std::nullopt;
  Connection& c = it->second;
  // Guards against a late connect: patience over, the grace of a drain past, or the backend at another
  // address by now. Nothing is sent then.
  bool late = now >= c.exchange.give_up || !MaySend(c.backend, now) || Find(c.backend)->address != c.address;
  if (late) return End(connection, Result::kConnectFailed, out);
  c.state = State::kOpen;
  out->push_back(
      WriteRequest{connection, c.exchange.request, c.exchange.attempt, c.exchange.give_up - now, false});
  return std::nullopt;
}

uint32_t BackendTable::RequestOf(uint64_t connection) const {
  auto it = connections_.find(connection);
  return it == connections_.end() || it->second.state == State::kIdle ? 0 : it->second.exchange.request;
}

std::optional<Exchange> BackendTable::Begin(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || !it->second.written ||
      it->second.begun) {
    return std::nullopt;
  }
  it->second.begun = true;
  return it->second.exchange;
}
void BackendTable::SetGiveUp(uint64_t exchange, double give_up, TimerQueue* timers) {
  auto it = out_.find(exchange);
  if (it == out_.end()) return;
  connections_.at(it->second).exchange.give_up = give_up;
  timers->Add(give_up, TimerKind::kPatience, exchange);
}
bool BackendTable::HasBegun(uint64_t exchange) const {
  auto it = out_.find(exchange);
  return it != out_.end() && connections_.at(it->second).begun;
}

bool BackendTable::IsConnecting(uint64_t exchange) const {
  auto it = out_.find(exchange);
  return it != out_.end() && connections_.at(it->second).state == State::kConnecting;
}

bool BackendTable::OnRequestWritten(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || it->second.written) return false;
  return it->second.written = true;
}

// Before its last byte was written a request has not begun.
std::optional<ExchangeResult> BackendTable::OnConnectionLost(double, uint64_t connection, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return std::nullopt;
  if (it->second.state == State::kIdle) {
    Drop(connection, out);
    return std::nullopt;
  }
  return End(connection, it->second.written ? Result::kReset : Result::kConnectFailed, out);
}

std::optional<ExchangeResult> BackendTable::OnConnectionStale(double now, uint64_t connection,
                                                              TimerQueue* timers, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != State::kOpen || it->second.written) return std::nullopt;
  Exchange exchange = it->second.exchange;
  Drop(connection, out);
  if (now < exchange.give_up && Place(now, exchange, timers, out) != 0) return std::nullopt;
  return ExchangeResult{exchange, Result::kConnectFailed};
}

std::optional<ExchangeResult> BackendTable::OnResponse(double now, uint64_t connection, Result result,
                                                       bool keep, Effects* out) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return std::nullopt;
  Connection& c = it->second;
  // An answer to a request that is not all written: it has not begun, and the framing is in doubt.
  if (c.state != State::kOpen || !c.written) return OnConnectionLost(now, connection, out);
  Backend* b = Find(c.backend);
  if (!keep || b == nullptr || b->draining || b->address != c.address) return End(connection, result, out);
  ExchangeResult end{c.exchange, result};
  out_.erase(c.exchange.number);
  c.state = State::kIdle;
  c.idle_since = now;
  c.idle_at = idle_.insert(idle_.end(), connection);
  b->kept.push_back(connection);
  return end;
}

// What never came up, or is not all written, has run nothing.
std::optional<ExchangeResult> BackendTable::OnDue(double, TimerKind due, uint64_t exchange, Effects* out) {
  auto it = out_.find(exchange);
  if (it == out_.end()) return std::nullopt;
  const Connection& c = connections_.at(it->second);
  if (due == TimerKind::kConnect && c.state != State::kConnecting) return std::nullopt;
  if (c.begun) return std::nullopt;
  return End(it->second, c.written ? Result::kTimeout : Result::kConnectFailed, out);
}

double BackendTable::NextIdle() const {
  return idle_.empty() ? kNever : connections_.at(idle_.front()).idle_since + limits_.idle_timeout_s;
}

void BackendTable::CloseIdle(double now, Effects* out) {
  while (!idle_.empty() && NextIdle() <= now) Drop(idle_.front(), out);
}

}  // namespace ivygw::core
