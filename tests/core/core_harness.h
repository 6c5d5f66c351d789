// Drives the core with arbitrary events in any order, including late, repeated and contradictory ones, and
// checks the core's invariants at each effect. The events are decoded from bytes, so that runs can be
// repeated and fuzzed.
#ifndef IVYGW_TESTS_CORE_CORE_HARNESS_H_
#define IVYGW_TESTS_CORE_CORE_HARNESS_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "core/gateway_core.h"
#include "core/limits.h"
#include "rig/policy_site.h"

namespace ivygw::core {

inline CoreSettings HarnessSettings() {
  CoreSettings s;
  s.policy = micadock::Site();
  s.policy.count_timeout_s = 0.02;
  s.connections.idle_timeout_s = 2;
  s.connections.connect_timeout_s = 0.2;
  s.connections.drain_grace_s = 0.5;
  s.connections.max_connections = 6;
  s.seed = 1;
  s.has_counter = true;
  return s;
}

class CoreHarness {
 public:
  // `real_balancer`: the balancer is the real one, which never retries what may have taken effect.
  CoreHarness(const CoreSettings& settings, bool real_balancer)
      : settings_(settings), real_balancer_(real_balancer) {
    core_.emplace(settings, now_, &effects_);
    CheckEffects();
  }

  // Runs the events, then lets time pass until nothing is open. Stops at the first violation.
  void Run(const uint8_t* bytes, size_t size) {
    RunEvents(bytes, size);
    RunUntilIdle();
  }
  // Only runs the events.
  void RunEvents(const uint8_t* bytes, size_t size, uint32_t backends = kBackends) {
    next_byte_ = bytes;
    end_ = bytes + size;
    for (uint32_t id = 1; id <= backends; ++id) SetBackend(id, micadock::BackendState::kReady, false);
    SendList(true);
    while (next_byte_ < end_ && violation_.empty()) RunEvent();
  }
  // Only lets time pass until nothing is open.
  void RunUntilIdle() {
    // A streamed response has no timeout, so it is completed here first.
    for (auto& [id, r] : requests_) {
      if (r.stream == 0 || r.released) continue;
      uint64_t c = r.stream;
      auto it = connections_.find(c);
      if (it == connections_.end()) continue;
      responding_ = c;
      EndExchange(&it->second, micadock::Result::kOk);
      core_->OnResponse(now_, c, micadock::Result::kOk, 1, true, &effects_);
      CheckEffects();
      responding_ = 0;
    }
    for (int i = 0; i < 600 && violation_.empty(); ++i) AdvanceTime(0.02);
    if (!violation_.empty()) return;
    for (const auto& [id, r] : requests_) {
      if (!r.answered && !r.gone) Fail("request " + std::to_string(id) + " was never answered");
    }
    if (core_->requests().size() != 0 || core_->requests().id_count() != 0 ||
        core_->requests().unanswered() != 0) {
      Fail("requests left in the table");
    }
    if (core_->requests().streaming() != 0) Fail("streamed responses left in the table");
    if (core_->backends().in_flight() != 0 || core_->backends().connections() != 0)
      Fail("exchanges left in the table");
    if (core_->counter_calls().in_flight() != 0) Fail("counter calls left in the table");
    if (!connections_.empty()) Fail("connections left open");
  }

  // Everything that the further run can depend on if the balancer is stateless: two runs with the same digest
  // continue alike.
  std::string Digest() const {
    std::ostringstream out;
    auto ago = [&](double at) { return std::lround((now_ - at) * 1e4); };
    for (const auto& [id, r] : requests_) {
      out << id << (r.answered ? 'a' : '-') << (r.gone ? 'g' : '-') << (r.released ? 'f' : '-');
      if (r.released) continue;
      out << r.cls << (r.may_have_run ? 'r' : '-') << ago(r.deadline) << r.body_complete << r.body_discarded
          << r.stream;
      if (const RequestState* state = core_->requests().Find(id)) {
        for (const Attempt& a : state->attempts)
          out << ',' << a.backend << (a.in_flight ? 'o' : '-') << ago(a.started_at);
        out << (state->may_have_run ? 'R' : '-');
      }
    }
    for (const auto& [id, c] : connections_) {
      out << ';' << id << '@' << c.address << (c.open ? 'u' : '-') << (c.busy ? 'b' : '-')
          << (c.written ? 'w' : '-') << c.request << ':' << core_->backends().RequestOf(id) << ago(c.since);
    }
    for (const auto& [call, may_be_added] : counter_calls_)
      out << '#' << call << may_be_added << ago(called_at_.at(call));
    for (const auto& [address, endpoint] : endpoints_) {
      out << '|' << address << endpoint.gone
          << (endpoint.no_send_after == kNever ? 0 : ago(endpoint.no_send_after));
    }
    for (uint32_t id : banned_) out << 'B' << id;
    for (const auto& [id, listed] : listed_)
      out << '/' << id << static_cast<int>(listed.backend.state) << listed.address;
    out << '!' << last_client_ << ' ' << last_connection_ << ' ' << last_call_;
    return out.str();
  }

  const std::string& violation() const { return violation_; }
  uint64_t responses() const { return responses_; }
  uint64_t writes() const { return writes_; }
  uint64_t successes() const { return successes_; }
  uint64_t streams_started() const { return streams_started_; }

 private:
  static constexpr uint32_t kBackends = 3;

  struct Request {
    uint64_t client = 0;
    int cls = 0;
    double deadline = 0;
    bool answered = false, gone = false, released = false, may_have_run = false;
    double timeout_s = 0;
    bool body_complete = true, body_discarded = false;
    uint64_t stream = 0;  // the connection that its streamed response comes from
  };
  struct Connection {
    uint64_t address = 0;
    bool open = false, busy = false, written = false;
    uint32_t request = 0;
    double since = 0;  // when it was requested or became idle
  };
  struct Endpoint {  // an address, which is one process of a backend
    bool gone = false;
    double no_send_after = kNever;
  };

  uint8_t NextByte() { return next_byte_ < end_ ? *next_byte_++ : 0; }
  // Sometimes picks one that has ended.
  uint64_t PickRecent(uint64_t last) { return last - std::min<uint64_t>(last, NextByte() % 6); }

  void Fail(const std::string& what) {
    if (!violation_.empty()) return;
    std::ostringstream text;
    text << "at " << now_ - kStartS << " s: " << what;
    violation_ = text.str();
  }

  void SetBackend(uint32_t id, micadock::BackendState state, bool moved) {
    ListedBackend& b = listed_[id];
    b.backend.id = id;
    b.backend.state = state;
    b.backend.weight = 1;
    Endpoint& previous = endpoints_[b.address];
    if (moved || b.address == 0) {
      previous.gone = true;
      b.address = endpoints_.size() + 1;
      endpoints_[b.address] = {};
    }
    Endpoint& endpoint = endpoints_[b.address];
    if (state == micadock::BackendState::kReady) endpoint = {};
    if (state == micadock::BackendState::kGone) endpoint.gone = true;
    if (state == micadock::BackendState::kDraining && endpoint.no_send_after == kNever) {
      endpoint.no_send_after = now_ + settings_.connections.drain_grace_s;
    }
  }
  void SendList(bool full, uint32_t only = 0) {
    std::vector<ListedBackend> entries;
    for (const auto& [id, listed] : listed_) {
      if (full ? listed.backend.state != micadock::BackendState::kGone : id == only)
        entries.push_back(listed);
    }
    core_->OnBackendList(now_, full ? micadock::ListKind::kFull : micadock::ListKind::kDelta, entries,
                         &effects_);
    CheckEffects();
  }
  void AdvanceTime(double seconds) {
    now_ += seconds;
    core_->OnTimerExpired(now_, &effects_);
    CheckEffects();
  }

  void RunEvent() {
    using micadock::Result;
    switch (NextByte() % 23) {
      case 0:
      case 1:
      case 2: {
        RequestArrived a;
        a.client = ++last_client_;
        a.id = "id" + std::to_string(NextByte() % 64);
        if (core_->IsOpen(a.id)) return;
        a.cls = NextByte() % 3;
        a.customer = NextByte() % 3;
        a.units = 1 + NextByte() % 2;
        a.entries = 3;
        a.timeout_s = 0.005 * (1 + NextByte());
        if (NextByte() % 4 == 0) a.body_s = 0.01 * (1 + NextByte());
        double deadline = now_ + a.body_s + a.timeout_s;
        uint32_t id = core_->OnRequest(now_, a, &effects_);
        if (requests_.count(id) != 0 && !requests_[id].released)
          Fail("the number of an open request is used again");
        requests_[id] = {a.client, a.cls,       deadline,      false, false, false,
                         false,    a.timeout_s, a.body_s <= 0, false, 0};
        by_client_[a.client] = id;
        last_request_ = id;
        return CheckEffects();
      }
      case 3: {
        uint64_t client = PickRecent(last_client_);
        auto it = by_client_.find(client);
        if (it != by_client_.end() && !requests_[it->second].answered) requests_[it->second].gone = true;
        if (it != by_client_.end()) by_client_.erase(it);
        core_->OnClientDisconnected(now_, client, &effects_);
        return CheckEffects();
      }
      case 4:
      case 5:
      case 6: {
        uint64_t c = PickRecent(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end()) it->second.open = true;
        core_->OnConnectionOpened(now_, c, &effects_);
        return CheckEffects();
      }
      case 7:
      case 8:
      case 9: {
        uint64_t c = PickRecent(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end() && it->second.busy) it->second.written = true;
        core_->OnRequestWritten(now_, c, &effects_);
        return CheckEffects();
      }
      case 10:
      case 11: {
        uint64_t c = PickRecent(last_connection_);
        const Result kinds[] = {Result::kOk, Result::kOk, Result::kFull, Result::kError};
        Result result = kinds[NextByte() % 4];
        auto it = connections_.find(c);
        responding_ = c;
        if (it != connections_.end() && it->second.busy) EndExchange(&it->second, result);
        core_->OnResponse(now_, c, result, 1, NextByte() % 4 != 0, &effects_);
        CheckEffects();
        responding_ = 0;
        return;
      }
      case 12: {
        uint64_t c = PickRecent(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end() && it->second.busy) EndExchange(&it->second, Result::kReset);
        core_->OnConnectionLost(now_, c, &effects_);
        return CheckEffects();
      }
      case 13: {
        uint64_t c = PickRecent(last_connection_);
        core_->OnConnectionStale(now_, c, &effects_);
        return CheckEffects();
      }
      case 14: {
        uint32_t id = 1 + NextByte() % kBackends;
        uint8_t kind = NextByte() % 6;
        SetBackend(id,
                   kind < 3    ? micadock::BackendState::kReady
                   : kind == 5 ? micadock::BackendState::kGone
                               : micadock::BackendState::kDraining,
                   kind == 2);
        return SendList(NextByte() % 4 == 0, id);
      }
      case 15: {
        uint64_t call = PickRecent(last_call_);
        uint8_t kind = NextByte() % 4;
        if (kind == 0) {
          counter_calls_.erase(call);
          core_->OnCounterCallLost(now_, call, &effects_);
        } else if (kind == 1) {
          if (counter_calls_.count(call) != 0) counter_calls_[call] = true;
          core_->OnCounterCallWritten(call);
        } else {
          counter_calls_.erase(call);
          core_->OnCounterResponse(now_, call, kind == 2 ? Result::kOk : Result::kFull, NextByte(),
                                   &effects_);
        }
        return CheckEffects();
      }
      case 16: return AdvanceTime(0.0005 * NextByte());
      case 17: {
        uint32_t id = 1 + NextByte() % kBackends;
        if (NextByte() % 4 == 0) {
          banned_.insert(id);
          core_->OnBanChanged(now_, id, true, &effects_);
        } else {
          banned_.erase(id);
          core_->OnBanChanged(now_, id, false, &effects_);
        }
        return CheckEffects();
      }
      case 20: {  // the start of an incomplete body is no longer buffered
        uint32_t id = static_cast<uint32_t>(PickRecent(last_request_));
        auto it = requests_.find(id);
        if (it == requests_.end() || it->second.body_complete || it->second.released) return;
        it->second.body_discarded = true;
        core_->OnBodyDiscarded(id);
        return CheckEffects();
      }
      case 21: {
        uint32_t id = static_cast<uint32_t>(PickRecent(last_request_));
        auto it = requests_.find(id);
        if (it != requests_.end() && !it->second.body_complete) {
          it->second.body_complete = true;
          it->second.deadline = now_ + it->second.timeout_s;
        }
        core_->OnBodyCompleted(now_, id, &effects_);
        return CheckEffects();
      }
      case 22: {
        uint64_t c = PickRecent(last_connection_);
        auto it = connections_.find(c);
        bool valid = it != connections_.end() && it->second.busy && it->second.written;
        if (it != connections_.end() && it->second.busy && !valid) EndExchange(&it->second, Result::kReset);
        starting_response_ = c;
        core_->OnResponseStarted(now_, c, &effects_);
        CheckEffects();
        starting_response_ = 0;
        return;
      }
      case 18: {
        core_->OnDrainChanged(now_, NextByte() % 2 == 0, &effects_);
        return CheckEffects();
      }
      default: return AdvanceTime(NextByte() % 16 == 0 ? 1.5 : 0.01);
    }
  }

  void EndExchange(Connection* c, micadock::Result result) {
    if (c->written && result != micadock::Result::kFull) requests_[c->request].may_have_run = true;
    c->busy = false;
    c->since = now_;
  }

  bool MaySend(uint64_t address) const {
    const Endpoint& endpoint = endpoints_.at(address);
    for (const auto& [id, listed] : listed_) {
      if (listed.address == address && banned_.count(id) != 0) return false;
    }
    return !endpoint.gone && now_ <= endpoint.no_send_after;
  }

  // Checks all effects in order.
  void CheckEffects() {
    for (const Effect& effect : effects_) {
      std::visit([this](const auto& e) { Check(e); }, effect);
    }
    effects_.clear();
    if (core_->backends().connections() > settings_.connections.max_connections)
      Fail("more connections than allowed");
  }
  Request* FindRequest(uint32_t id) {
    Request& r = requests_[id];
    if (r.client == 0 || r.released) Fail("an effect of a request that is not open");
    return &r;
  }
  void Check(const SendResponse& e) {
    Request* r = FindRequest(e.request);
    if (r->answered) Fail("a second final response");
    if (r->gone) Fail("a response to a client that has disconnected");
    if (r->client != e.client) Fail("a response to another client");
    if (e.status == 200 && (e.connection == 0 || e.connection != responding_))
      Fail("a successful response that no backend sent");
    r->answered = true;
    ++responses_;
    successes_ += e.status == 200;
  }
  void Check(const StartResponse& e) {
    Request* r = FindRequest(e.request);
    if (r->answered) Fail("a second final response");
    if (r->gone) Fail("a response to a client that has disconnected");
    if (r->client != e.client) Fail("a response to another client");
    if (e.connection != starting_response_) Fail("a streamed response that no backend sent");
    r->answered = true;
    r->stream = e.connection;
    ++responses_;
    ++streams_started_;
  }
  void Check(const AbortResponse& e) {
    Request* r = FindRequest(e.request);
    if (r->stream == 0) Fail("an abort of a response that has not started");
    if (r->client != e.client) Fail("an abort of another client's response");
    r->stream = 0;
  }
  void Check(const ReleaseRequest& e) {
    Request* r = FindRequest(e.request);
    if (!r->answered && !r->gone) Fail("released without a response");
    for (const auto& [id, c] : connections_) {
      if (c.busy && c.request == e.request) Fail("released with an attempt in flight");
    }
    r->released = true;
  }
  void Check(const OpenConnection& e) {
    if (connections_.count(e.connection) != 0) Fail("a connection's number is used again");
    if (!MaySend(e.address)) Fail("a connection to a backend that is gone or drained");
    connections_[e.connection].address = e.address;
    connections_[e.connection].since = now_;
    last_connection_ = e.connection;
  }
  void Check(const WriteRequest& e) {
    Request* r = FindRequest(e.request);
    auto it = connections_.find(e.connection);
    if (it == connections_.end()) return Fail("a write on an unknown connection");
    Connection& c = it->second;
    if (c.busy) Fail("two requests on one connection");
    if (!c.open) Fail("a write on a connection that is not open");
    if (r->answered || r->gone) Fail("sent after the final response");
    if (r->body_discarded) Fail("sent without the start of its body");
    if (!MaySend(c.address)) Fail("sent to a backend that is gone or drained");
    if (e.timeout_s <= 0 || now_ + e.timeout_s > r->deadline + 1e-9)
      Fail("a timeout past the request's deadline");
    for (const auto& [id, other] : connections_) {
      if (other.busy && other.request == e.request && !settings_.policy.hedging) Fail("two attempts at once");
    }
    auto effect = settings_.policy.classes[static_cast<size_t>(r->cls)].effect;
    if (real_balancer_ && effect == micadock::Effect::kSingleShot && r->may_have_run) {
      Fail("sent again though it may have run");
    }
    c.busy = true;
    c.written = false;
    c.request = e.request;
    ++writes_;
  }
  void Check(const CloseConnection& e) {
    auto it = connections_.find(e.connection);
    if (it == connections_.end()) return Fail("a connection closed twice");
    if (it->second.busy && it->second.written && e.connection != responding_) {
      requests_[it->second.request].may_have_run = true;
    }
    connections_.erase(it);
  }
  void Check(const CallCounter& e) {
    if (!counter_calls_.emplace(e.call, false).second) Fail("a counter call's number is used again");
    last_call_ = e.call;
    called_at_[e.call] = now_;
  }
  void Check(const CancelCounterCall& e) {
    auto it = counter_calls_.find(e.call);
    if (it == counter_calls_.end() || it->second) Fail("a counter call cancelled that may have been added");
    if (it != counter_calls_.end()) counter_calls_.erase(it);
  }
  template <typename Other>
  void Check(const Other&) {}

  static constexpr double kStartS = 1000;
  const CoreSettings settings_;
  const bool real_balancer_;
  double now_ = kStartS;
  Effects effects_;
  std::optional<GatewayCore> core_;
  const uint8_t *next_byte_ = nullptr, *end_ = nullptr;
  std::map<uint32_t, Request> requests_;
  std::map<uint64_t, uint32_t> by_client_;
  std::map<uint64_t, Connection> connections_;
  std::map<uint64_t, Endpoint> endpoints_;
  std::map<uint32_t, ListedBackend> listed_;
  std::set<uint32_t> banned_;
  std::map<uint64_t, double> called_at_;
  std::map<uint64_t, bool> counter_calls_;  // calls in flight, and whether each may have been added
  uint64_t last_client_ = 0, last_connection_ = 0, last_call_ = 0, responding_ = 0, starting_response_ = 0;
  uint32_t last_request_ = 0;
  uint64_t streams_started_ = 0, responses_ = 0, writes_ = 0, successes_ = 0;
  std::string violation_;
};

}  // namespace ivygw::core

#endif  // IVYGW_TESTS_CORE_CORE_HARNESS_H_
