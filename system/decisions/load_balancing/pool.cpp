#include "load_balancing/pool.h"

#include <algorithm>
#include <cmath>

namespace ivygw::load_balancing {
namespace {

// Time for which a backend is avoided after a failure, in seconds. It doubles with each further consecutive
// failure, up to the maximum.
constexpr double kMinAvoidTime = 0.4, kMaxAvoidTime = 4;
// Time for which a backend that rejected a request counts as overloaded, in seconds.
constexpr double kOverloadedTime = 0.06;
// Added cost of a backend in another zone, because traffic between zones is charged, in units of the usual
// service time.
constexpr double kOtherZoneCost = 0.3;
// Service time of a backend that warms up, as a multiple of the usual one.
constexpr double kWarmUpSlowdown = 2;

}  // namespace

void Pool::ApplyItem(double now, const messages::Item& item) {
  size_t slash = item.key.find('/');
  std::string id = item.key.substr(slash + 1);
  discovery::Backend backend;
  backend.id = id;
  if (!item.dropped && !discovery::ParseBackend(item.body, &backend).empty()) return;
  auto it = backends_.find(id);
  if (item.dropped) {
    if (it == backends_.end()) return;
    services_[it->second.backend.service].erase(id);
    backends_.erase(it);
  } else {
    if (it != backends_.end() && it->second.backend.service != backend.service)
      services_[it->second.backend.service].erase(id);
    BackendState& state = backends_[id];
    state.backend = backend;
    state.warm_until = backend.warmup_left_ms > 0 ? now + backend.warmup_left_ms / 1000.0 : 0;
    services_[backend.service].insert(id);
    state.gone = false;
  }
  slots_assigned_ = false;
}

void Pool::SetGateways(const std::vector<messages::GatewayInfo>& gateways, const std::string& self) {
  if (gateways == gateways_ && self == self_) return;
  gateways_ = gateways;
  self_ = self;
  slots_assigned_ = false;
}

void Pool::AssignSlots() {
  slots_assigned_ = true;
  for (auto& [id, state] : backends_) state.own_slots = 0;
  // Slots are divided among the gateways of their own zone, because traffic between zones is charged.
  std::vector<std::string> peers;
  std::set<std::string> zones;
  bool is_member = false;
  for (const messages::GatewayInfo& gateway : gateways_) {
    zones.insert(gateway.zone);
    if (gateway.zone == zone_) peers.push_back(gateway.node);
    is_member = is_member || gateway.node == self_;
  }
  if (!is_member) return;
  size_t own_index = static_cast<size_t>(std::find(peers.begin(), peers.end(), self_) - peers.begin());
  for (const auto& [service, ids] : services_) {
    std::vector<BackendState*> slots;
    int max_slots = 0;
    for (const std::string& id : ids) max_slots = std::max(max_slots, backends_.at(id).backend.slot_count);
    for (int round = 0; round < max_slots; ++round) {
      for (const std::string& id : ids) {
        BackendState& state = backends_.at(id);
        if (state.backend.zone != zone_ || round >= state.backend.slot_count || state.backend.draining ||
            state.gone)
          continue;
        slots.push_back(&state);
      }
    }
    // The gateways that get one slot more than others differ from service to service.
    size_t first = (own_index + std::hash<std::string>()(service)) % peers.size();
    for (size_t i = first; i < slots.size(); i += peers.size()) ++slots[i]->own_slots;
  }
}

// Returns the expected cost of sending a request to this backend, in units of the usual service time.
double Pool::Cost(double now, const BackendState& state) const {
  double slots = state.backend.slot_count;
  double cost =
      state.active_requests < state.own_slots ? 0 : 0.5 + (state.active_requests - state.own_slots) / slots;
  if (state.active_requests >= state.backend.slot_count) cost += 1;
  if (now < state.warm_until) cost += kWarmUpSlowdown - 1;
  if (now < state.overloaded_until) cost += 2;
  if (state.backend.zone != zone_) cost += kOtherZoneCost;
  return cost;
}

std::string Pool::Choose(double now, const std::string& service, const std::set<std::string>& tried) {
  if (!slots_assigned_) AssignSlots();
  auto it = services_.find(service);
  if (it == services_.end()) return {};
  std::string best;
  double lowest_cost = INFINITY;
  std::uniform_real_distribution<double> jitter(0, 0.3);
  for (bool allow_avoided : {false, true}) {
    for (const std::string& id : it->second) {
      const BackendState& state = backends_.at(id);
      if (state.gone || state.backend.draining || tried.count(id)) continue;
      if (!allow_avoided && now < state.avoid_until) continue;
      double cost = Cost(now, state) + jitter(random_) + (allow_avoided ? state.avoid_until - now : 0);
      if (cost < lowest_cost) {
        lowest_cost = cost;
        best = id;
      }
    }
    if (!best.empty()) break;
  }
  return best;
}

void Pool::OnAttemptStarted(const std::string& id) {
  auto it = backends_.find(id);
  if (it != backends_.end()) ++it->second.active_requests;
}

void Pool::OnAttemptEnded(double now, const std::string& id, AttemptResult result) {
  auto it = backends_.find(id);
  if (it == backends_.end()) return;
  BackendState& state = it->second;
  if (state.active_requests > 0) --state.active_requests;
  switch (result) {
    case AttemptResult::kServed:
      state.failures = 0;
      state.avoid_until = 0;
      break;
    case AttemptResult::kErrorStatus:
    case AttemptResult::kCancelled: break;
    case AttemptResult::kOverloaded: state.overloaded_until = now + kOverloadedTime; break;
    case AttemptResult::kMisdirected:
      state.gone = true;
      slots_assigned_ = false;
      break;
    case AttemptResult::kConnectionRefused:
    case AttemptResult::kTimedOut:
    case AttemptResult::kBroken: {
      ++state.failures;
      if (result == AttemptResult::kBroken && state.failures < 2)
        break;  // a single broken answer is not significant
      double avoid_time = std::min(kMinAvoidTime * std::pow(2, state.failures - 1), kMaxAvoidTime);
      state.avoid_until = now + avoid_time;
      break;
    }
  }
}

const BackendState* Pool::Find(const std::string& id) const {
  auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}
bool Pool::IsDrained(const std::string& id) const {
  auto it = backends_.find(id);
  return it == backends_.end() ||
         (it->second.active_requests == 0 && (it->second.gone || it->second.backend.draining));
}

}  // namespace ivygw::load_balancing
