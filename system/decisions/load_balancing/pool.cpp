#include "load_balancing/pool.h"

#include <algorithm>
#include <cmath>

namespace ivygw::load_balancing {
namespace {

constexpr double kAvoidFirst = 0.4, kAvoidLongest = 4;  // s, after a failure and growing
constexpr double kFullFor = 0.06;                       // s
constexpr double kFar = 0.3;                            // of another zone: its bytes cost
constexpr double kSlow = 2;                             // a backend that warms up takes so many times as long

}  // namespace

void Pool::ApplyItem(double now, const messages::Item& item) {
  size_t slash = item.key.find('/');
  std::string id = item.key.substr(slash + 1);
  discovery::Backend told;
  told.id = id;
  if (!item.dropped && !discovery::ParseBackend(item.body, &told).empty()) return;
  auto it = seen_.find(id);
  if (item.dropped) {
    if (it == seen_.end()) return;
    services_[it->second.backend.service].erase(id);
    seen_.erase(it);
  } else {
    if (it != seen_.end() && it->second.backend.service != told.service)
      services_[it->second.backend.service].erase(id);
    BackendState& seen = seen_[id];
    seen.backend = told;
    seen.warm_until = told.warmup_left_ms > 0 ? now + told.warmup_left_ms / 1000.0 : 0;
    services_[told.service].insert(id);
    seen.gone = false;
  }
  dealt_ = false;
}

void Pool::SetGateways(const std::vector<messages::GatewayInfo>& members, const std::string& self) {
  if (members == members_ && self == self_) return;
  members_ = members;
  self_ = self;
  dealt_ = false;
}

void Pool::Deal() {
  dealt_ = true;
  for (auto& [id, seen] : seen_) seen.own = 0;
  // Within each zone first, where answers cost nothing between zones; a zone without gateways is dealt to
  // all.
  std::vector<std::string> peers;
  std::set<std::string> zones;
  bool member = false;
  for (const messages::GatewayInfo& other : members_) {
    zones.insert(other.zone);
    if (other.zone == zone_) peers.push_back(other.node);
    member = member || other.node == self_;
  }
  if (!member) return;
  size_t place = static_cast<size_t>(std::find(peers.begin(), peers.end(), self_) - peers.begin());
  for (const auto& [service, ids] : services_) {
    std::vector<BackendState*> slots;
    int most = 0;
    for (const std::string& id : ids) most = std::max(most, seen_.at(id).backend.slot_count);
    for (int round = 0; round < most; ++round) {
      for (const std::string& id : ids) {
        BackendState& seen = seen_.at(id);
        if (seen.backend.zone != zone_ || round >= seen.backend.slot_count || seen.backend.draining ||
            seen.gone)
          continue;
        slots.push_back(&seen);
      }
    }
    // Where slots don't go round evenly, services take turns in whom they give one more.
    size_t first = (place + std::hash<std::string>()(service)) % peers.size();
    for (size_t i = first; i < slots.size(); i += peers.size()) ++slots[i]->own;
  }
}

// What is expected of a place there, in parts of a usual request's time.
double Pool::Cost(double now, const BackendState& seen) const {
  double slots = seen.backend.slot_count;
  double cost = seen.active_requests < seen.own ? 0 : 0.5 + (seen.active_requests - seen.own) / slots;
  if (seen.active_requests >= seen.backend.slot_count) cost += 1;
  if (now < seen.warm_until) cost += kSlow - 1;
  if (now < seen.full_until) cost += 2;
  if (seen.backend.zone != zone_) cost += kFar;
  return cost;
}

std::string Pool::Choose(double now, const std::string& service, const std::set<std::string>& tried) {
  if (!dealt_) Deal();
  auto it = services_.find(service);
  if (it == services_.end()) return {};
  std::string best;
  double least = INFINITY;
  std::uniform_real_distribution<double> chance(0, 0.3);
  for (bool avoided : {false, true}) {
    for (const std::string& id : it->second) {
      const BackendState& seen = seen_.at(id);
      if (seen.gone || seen.backend.draining || tried.count(id)) continue;
      if (!avoided && now < seen.avoid_until) continue;
      double cost = Cost(now, seen) + chance(dice_) + (avoided ? seen.avoid_until - now : 0);
      if (cost < least) {
        least = cost;
        best = id;
      }
    }
    if (!best.empty()) break;
  }
  return best;
}

void Pool::OnAttemptStarted(const std::string& id) {
  auto it = seen_.find(id);
  if (it != seen_.end()) ++it->second.active_requests;
}

void Pool::OnAttemptEnded(double now, const std::string& id, AttemptResult result) {
  auto it = seen_.find(id);
  if (it == seen_.end()) return;
  BackendState& seen = it->second;
  if (seen.active_requests > 0) --seen.active_requests;
  switch (result) {
    case AttemptResult::kServed:
      seen.failures = 0;
      seen.avoid_until = 0;
      break;
    case AttemptResult::kErrorStatus:
    case AttemptResult::kCancelled: break;
    case AttemptResult::kOverloaded: seen.full_until = now + kFullFor; break;
    case AttemptResult::kMisdirected:
      seen.gone = true;
      dealt_ = false;
      break;
    case AttemptResult::kConnectionRefused:
    case AttemptResult::kTimedOut:
    case AttemptResult::kBroken: {
      ++seen.failures;
      if (result == AttemptResult::kBroken && seen.failures < 2) break;  // one broken answer tells little
      double pause = std::min(kAvoidFirst * std::pow(2, seen.failures - 1), kAvoidLongest);
      seen.avoid_until = now + pause;
      break;
    }
  }
}

const BackendState* Pool::Find(const std::string& id) const {
  auto it = seen_.find(id);
  return it == seen_.end() ? nullptr : &it->second;
}
bool Pool::IsDrained(const std::string& id) const {
  auto it = seen_.find(id);
  return it == seen_.end() ||
         (it->second.active_requests == 0 && (it->second.gone || it->second.backend.draining));
}

}  // namespace ivygw::load_balancing
