// The core driven by any events in any order, late, doubled or contradictory, with what must hold looked at
// after each effect. The same bytes give the same run, so that a fuzzer can drive it too.
#ifndef IVYGW_TESTS_CORE_CORE_WATCH_H_
#define IVYGW_TESTS_CORE_CORE_WATCH_H_

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

inline CoreSettings WatchedSite() {
  CoreSettings s;
  s.module = micadock::Site();
  s.module.count_timeout_s = 0.02;
  s.connections.idle_timeout_s = 2;
  s.connections.connect_timeout_s = 0.2;
  s.connections.drain_grace_s = 0.5;
  s.connections.max_connections = 6;
  s.seed = 1;
  s.has_counter = true;
  return s;
}

class CoreWatch {
 public:
  // `sane_module`: the decision module is the real one, which never repeats what may have had an effect.
  CoreWatch(const CoreSettings& settings, bool sane_module) : settings_(settings), sane_module_(sane_module) {
    core_.emplace(settings, now_, &effects_);
    Look();
  }

  // Plays the bytes, then lets time run until nothing is open. Stops at the first broken rule.
  void Play(const uint8_t* bytes, size_t size) {
    Begin(bytes, size);
    Finish();
  }
  // The bytes alone.
  void Begin(const uint8_t* bytes, size_t size, uint32_t backends = kBackends) {
    at_ = bytes;
    end_ = bytes + size;
    for (uint32_t id = 1; id <= backends; ++id) SetBackend(id, micadock::BackendState::kReady, false);
    TellList(true);
    while (at_ < end_ && broken_.empty()) Step();
  }
  // Time alone, until nothing is open.
  void Finish() {
    // What has begun goes on for as long as it moves; here it comes to its end first.
    for (auto& [id, r] : requests_) {
      if (r.stream == 0 || r.forgotten) continue;
      uint64_t c = r.stream;
      auto it = connections_.find(c);
      if (it == connections_.end()) continue;
      passing_ = c;
      Ended(&it->second, micadock::Result::kOk);
      core_->OnResponse(now_, c, micadock::Result::kOk, 1, true, &effects_);
      Look();
      passing_ = 0;
    }
    for (int i = 0; i < 600 && broken_.empty(); ++i) Wait(0.02);
    if (!broken_.empty()) return;
    for (const auto& [id, r] : requests_) {
      if (!r.answered && !r.gone) Broken("request " + std::to_string(id) + " never got an answer");
    }
    if (core_->requests().size() != 0 || core_->requests().id_count() != 0 ||
        core_->requests().unanswered() != 0) {
      Broken("requests left in the book");
    }
    if (core_->requests().streaming() != 0) Broken("begun answers left in the book");
    if (core_->backends().in_flight() != 0 || core_->backends().connections() != 0)
      Broken("exchanges left in the book");
    if (core_->counter_calls().in_flight() != 0) Broken("counter calls left in the book");
    if (!connections_.empty()) Broken("connections left open");
  }

  // All that what comes next can depend on, round a module that remembers nothing: two runs of one digest go
  // on alike.
  std::string Digest() const {
    std::ostringstream out;
    auto ago = [&](double at) { return std::lround((now_ - at) * 1e4); };
    for (const auto& [id, r] : requests_) {
      out << id << (r.answered ? 'a' : '-') << (r.gone ? 'g' : '-') << (r.forgotten ? 'f' : '-');
      if (r.forgotten) continue;
      out << r.cls << (r.may_have_run ? 'r' : '-') << ago(r.deadline) << r.whole << r.body_gone << r.stream;
      if (const RequestState* held = core_->requests().Find(id)) {
        for (const Attempt& a : held->attempts)
          out << ',' << a.backend << (a.in_flight ? 'o' : '-') << ago(a.started_at);
        out << (held->may_have_run ? 'R' : '-');
      }
    }
    for (const auto& [id, c] : connections_) {
      out << ';' << id << '@' << c.address << (c.up ? 'u' : '-') << (c.busy ? 'b' : '-')
          << (c.written ? 'w' : '-') << c.request << ':' << core_->backends().RequestOf(id) << ago(c.since);
    }
    for (const auto& [call, added] : counts_) out << '#' << call << added << ago(called_.at(call));
    for (const auto& [address, place] : places_) {
      out << '|' << address << place.gone << (place.no_send_after == kNever ? 0 : ago(place.no_send_after));
    }
    for (uint32_t id : banned_) out << 'B' << id;
    for (const auto& [id, listed] : listed_)
      out << '/' << id << static_cast<int>(listed.backend.state) << listed.address;
    out << '!' << last_client_ << ' ' << last_connection_ << ' ' << last_call_;
    return out.str();
  }

  const std::string& broken() const { return broken_; }
  uint64_t answers() const { return answers_; }
  uint64_t writes() const { return writes_; }
  uint64_t served() const { return served_; }
  uint64_t begun() const { return begun_; }

 private:
  static constexpr uint32_t kBackends = 3;

  struct Request {
    uint64_t client = 0;
    int cls = 0;
    double deadline = 0;
    bool answered = false, gone = false, forgotten = false, may_have_run = false;
    double timeout_s = 0;
    bool whole = true, body_gone = false;
    uint64_t stream = 0;  // the connection that its begun answer comes on
  };
  struct Connection {
    uint64_t address = 0;
    bool up = false, busy = false, written = false;
    uint32_t request = 0;
    double since = 0;  // it was asked for, or became idle
  };
  struct Place {  // an address: each is one process of one backend
    bool gone = false;
    double no_send_after = kNever;
  };

  uint8_t Next() { return at_ < end_ ? *at_++ : 0; }
  uint64_t Near(uint64_t last) {
    return last - std::min<uint64_t>(last, Next() % 6);
  }  // a late one, at times

  void Broken(const std::string& what) {
    if (!broken_.empty()) return;
    std::ostringstream text;
    text << "at " << now_ - kBegin << " s: " << what;
    broken_ = text.str();
  }

  void SetBackend(uint32_t id, micadock::BackendState state, bool moved) {
    ListedBackend& b = listed_[id];
    b.backend.id = id;
    b.backend.state = state;
    b.backend.weight = 1;
    Place& before = places_[b.address];
    if (moved || b.address == 0) {
      before.gone = true;
      b.address = places_.size() + 1;
      places_[b.address] = {};
    }
    Place& place = places_[b.address];
    if (state == micadock::BackendState::kReady) place = {};
    if (state == micadock::BackendState::kGone) place.gone = true;
    if (state == micadock::BackendState::kDraining && place.no_send_after == kNever) {
      place.no_send_after = now_ + settings_.connections.drain_grace_s;
    }
  }
  void TellList(bool whole, uint32_t only = 0) {
    std::vector<ListedBackend> entries;
    for (const auto& [id, listed] : listed_) {
      if (whole ? listed.backend.state != micadock::BackendState::kGone : id == only)
        entries.push_back(listed);
    }
    core_->OnBackendList(now_, whole ? micadock::ListKind::kFull : micadock::ListKind::kDelta, entries,
                         &effects_);
    Look();
  }
  void Wait(double seconds) {
    now_ += seconds;
    core_->OnTimerExpired(now_, &effects_);
    Look();
  }

  void Step() {
    using micadock::Result;
    switch (Next() % 23) {
      case 0:
      case 1:
      case 2: {
        RequestArrived a;
        a.client = ++last_client_;
        a.id = "id" + std::to_string(Next() % 64);
        if (core_->IsOpen(a.id)) return;
        a.cls = Next() % 3;
        a.customer = Next() % 3;
        a.units = 1 + Next() % 2;
        a.entries = 3;
        a.timeout_s = 0.005 * (1 + Next());
        if (Next() % 4 == 0) a.body_s = 0.01 * (1 + Next());
        double deadline = now_ + a.body_s + a.timeout_s;
        uint32_t id = core_->OnRequest(now_, a, &effects_);
        if (requests_.count(id) != 0 && !requests_[id].forgotten) Broken("a number in use is given again");
        requests_[id] = {a.client, a.cls,       deadline,      false, false, false,
                         false,    a.timeout_s, a.body_s <= 0, false, 0};
        by_client_[a.client] = id;
        last_request_ = id;
        return Look();
      }
      case 3: {
        uint64_t client = Near(last_client_);
        auto it = by_client_.find(client);
        if (it != by_client_.end() && !requests_[it->second].answered) requests_[it->second].gone = true;
        if (it != by_client_.end()) by_client_.erase(it);
        core_->OnClientDisconnected(now_, client, &effects_);
        return Look();
      }
      case 4:
      case 5:
      case 6: {
        uint64_t c = Near(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end()) it->second.up = true;
        core_->OnConnectionOpened(now_, c, &effects_);
        return Look();
      }
      case 7:
      case 8:
      case 9: {
        uint64_t c = Near(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end() && it->second.busy) it->second.written = true;
        core_->OnRequestWritten(now_, c, &effects_);
        return Look();
      }
      case 10:
      case 11: {
        uint64_t c = Near(last_connection_);
        const Result kinds[] = {Result::kOk, Result::kOk, Result::kFull, Result::kError};
        Result result = kinds[Next() % 4];
        auto it = connections_.find(c);
        passing_ = c;
        if (it != connections_.end() && it->second.busy) Ended(&it->second, result);
        core_->OnResponse(now_, c, result, 1, Next() % 4 != 0, &effects_);
        Look();
        passing_ = 0;
        return;
      }
      case 12: {
        uint64_t c = Near(last_connection_);
        auto it = connections_.find(c);
        if (it != connections_.end() && it->second.busy) Ended(&it->second, Result::kReset);
        core_->OnConnectionLost(now_, c, &effects_);
        return Look();
      }
      case 13: {
        uint64_t c = Near(last_connection_);
        core_->OnConnectionStale(now_, c, &effects_);
        return Look();
      }
      case 14: {
        uint32_t id = 1 + Next() % kBackends;
        uint8_t kind = Next() % 6;
        SetBackend(id,
                   kind < 3    ? micadock::BackendState::kReady
                   : kind == 5 ? micadock::BackendState::kGone
                               : micadock::BackendState::kDraining,
                   kind == 2);
        return TellList(Next() % 4 == 0, id);
      }
      case 15: {
        uint64_t call = Near(last_call_);
        uint8_t kind = Next() % 4;
        if (kind == 0) {
          counts_.erase(call);
          core_->OnCounterCallLost(now_, call, &effects_);
        } else if (kind == 1) {
          if (counts_.count(call) != 0) counts_[call] = true;
          core_->OnCounterCallWritten(call);
        } else {
          counts_.erase(call);
          core_->OnCounterResponse(now_, call, kind == 2 ? Result::kOk : Result::kFull, Next(), &effects_);
        }
        return Look();
      }
      case 16: return Wait(0.0005 * Next());
      case 17: {
        uint32_t id = 1 + Next() % kBackends;
        if (Next() % 4 == 0) {
          banned_.insert(id);
          core_->OnBanChanged(now_, id, true, &effects_);
        } else {
          banned_.erase(id);
          core_->OnBanChanged(now_, id, false, &effects_);
        }
        return Look();
      }
      case 20: {  // the beginning of a body that is still coming has gone on
        uint32_t id = static_cast<uint32_t>(Near(last_request_));
        auto it = requests_.find(id);
        if (it == requests_.end() || it->second.whole || it->second.forgotten) return;
        it->second.body_gone = true;
        core_->OnBodyDiscarded(id);
        return Look();
      }
      case 21: {
        uint32_t id = static_cast<uint32_t>(Near(last_request_));
        auto it = requests_.find(id);
        if (it != requests_.end() && !it->second.whole) {
          it->second.whole = true;
          it->second.deadline = now_ + it->second.timeout_s;
        }
        core_->OnBodyCompleted(now_, id, &effects_);
        return Look();
      }
      case 22: {
        uint64_t c = Near(last_connection_);
        auto it = connections_.find(c);
        bool begins = it != connections_.end() && it->second.busy && it->second.written;
        if (it != connections_.end() && it->second.busy && !begins) Ended(&it->second, Result::kReset);
        beginning_ = c;
        core_->OnResponseStarted(now_, c, &effects_);
        Look();
        beginning_ = 0;
        return;
      }
      case 18: {
        core_->OnDrainChanged(now_, Next() % 2 == 0, &effects_);
        return Look();
      }
      default: return Wait(Next() % 16 == 0 ? 1.5 : 0.01);
    }
  }

  void Ended(Connection* c, micadock::Result result) {
    if (c->written && result != micadock::Result::kFull) requests_[c->request].may_have_run = true;
    c->busy = false;
    c->since = now_;
  }

  bool MaySend(uint64_t address) const {
    const Place& place = places_.at(address);
    for (const auto& [id, listed] : listed_) {
      if (listed.address == address && banned_.count(id) != 0) return false;
    }
    return !place.gone && now_ <= place.no_send_after;
  }

  // What is asked for, in order.
  void Look() {
    for (const Effect& effect : effects_) {
      std::visit([this](const auto& e) { Check(e); }, effect);
    }
    effects_.clear();
    if (core_->backends().connections() > settings_.connections.max_connections)
      Broken("more connections than there may be");
  }
  Request* Known(uint32_t id) {
    Request& r = requests_[id];
    if (r.client == 0 || r.forgotten) Broken("something of a request that is not held");
    return &r;
  }
  void Check(const SendResponse& e) {
    Request* r = Known(e.request);
    if (r->answered) Broken("a second final answer");
    if (r->gone) Broken("an answer to a client that has gone");
    if (r->client != e.client) Broken("an answer to another client");
    if (e.status == 200 && (e.connection == 0 || e.connection != passing_))
      Broken("a good answer out of nothing");
    r->answered = true;
    ++answers_;
    served_ += e.status == 200;
  }
  void Check(const StartResponse& e) {
    Request* r = Known(e.request);
    if (r->answered) Broken("a second final answer");
    if (r->gone) Broken("an answer to a client that has gone");
    if (r->client != e.client) Broken("an answer to another client");
    if (e.connection != beginning_) Broken("an answer begun out of nothing");
    r->answered = true;
    r->stream = e.connection;
    ++answers_;
    ++begun_;
  }
  void Check(const AbortResponse& e) {
    Request* r = Known(e.request);
    if (r->stream == 0) Broken("an answer broken off that has not begun");
    if (r->client != e.client) Broken("another client's answer broken off");
    r->stream = 0;
  }
  void Check(const ReleaseRequest& e) {
    Request* r = Known(e.request);
    if (!r->answered && !r->gone) Broken("forgotten without an answer");
    for (const auto& [id, c] : connections_) {
      if (c.busy && c.request == e.request) Broken("forgotten with an attempt out");
    }
    r->forgotten = true;
  }
  void Check(const OpenConnection& e) {
    if (connections_.count(e.connection) != 0) Broken("a connection's number is given again");
    if (!MaySend(e.address)) Broken("a connection to what has gone or has drained");
    connections_[e.connection].address = e.address;
    connections_[e.connection].since = now_;
    last_connection_ = e.connection;
  }
  void Check(const WriteRequest& e) {
    Request* r = Known(e.request);
    auto it = connections_.find(e.connection);
    if (it == connections_.end()) return Broken("written on no connection");
    Connection& c = it->second;
    if (c.busy) Broken("two requests on one connection");
    if (!c.up) Broken("written before it was up");
    if (r->answered || r->gone) Broken("sent after the answer");
    if (r->body_gone) Broken("sent without its whole body");
    if (!MaySend(c.address)) Broken("sent to what has gone or has drained");
    if (e.timeout_s <= 0 || now_ + e.timeout_s > r->deadline + 1e-9)
      Broken("to be waited for past the deadline");
    for (const auto& [id, other] : connections_) {
      if (other.busy && other.request == e.request && !settings_.module.parallel_tries)
        Broken("two attempts at once");
    }
    auto effect = settings_.module.classes[static_cast<size_t>(r->cls)].effect;
    if (sane_module_ && effect == micadock::Effect::kSingleShot && r->may_have_run) {
      Broken("sent again though it may have run");
    }
    c.busy = true;
    c.written = false;
    c.request = e.request;
    ++writes_;
  }
  void Check(const CloseConnection& e) {
    auto it = connections_.find(e.connection);
    if (it == connections_.end()) return Broken("closed twice");
    if (it->second.busy && it->second.written && e.connection != passing_) {
      requests_[it->second.request].may_have_run = true;
    }
    connections_.erase(it);
  }
  void Check(const CallCounter& e) {
    if (!counts_.emplace(e.call, false).second) Broken("a call's number is given again");
    last_call_ = e.call;
    called_[e.call] = now_;
  }
  void Check(const CancelCounterCall& e) {
    auto it = counts_.find(e.call);
    if (it == counts_.end() || it->second) Broken("a call taken back that may have been added");
    if (it != counts_.end()) counts_.erase(it);
  }
  template <typename Other>
  void Check(const Other&) {}

  static constexpr double kBegin = 1000;
  const CoreSettings settings_;
  const bool sane_module_;
  double now_ = kBegin;
  Effects effects_;
  std::optional<GatewayCore> core_;
  const uint8_t *at_ = nullptr, *end_ = nullptr;
  std::map<uint32_t, Request> requests_;
  std::map<uint64_t, uint32_t> by_client_;
  std::map<uint64_t, Connection> connections_;
  std::map<uint64_t, Place> places_;
  std::map<uint32_t, ListedBackend> listed_;
  std::set<uint32_t> banned_;
  std::map<uint64_t, double> called_;
  std::map<uint64_t, bool> counts_;  // out; whether it may have been added
  uint64_t last_client_ = 0, last_connection_ = 0, last_call_ = 0, passing_ = 0, beginning_ = 0;
  uint32_t last_request_ = 0;
  uint64_t begun_ = 0, answers_ = 0, writes_ = 0, served_ = 0;
  std::string broken_;
};

}  // namespace ivygw::core

#endif  // IVYGW_TESTS_CORE_CORE_WATCH_H_
