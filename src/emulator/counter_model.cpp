#include "emulator/counter_model.h"

#include <algorithm>

namespace ivygw::emulator {
namespace {
constexpr double kSweepS = 5, kMostLifeS = 60;
}

CounterModel::CounterModel(const CounterSpec& spec, uint64_t seed)
    : spec_(spec), random_(seed), parts_(static_cast<size_t>(std::max(1, spec.parts))), stores_(1) {}

int CounterModel::PartOf(std::string_view name) const {
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return static_cast<int>((hash >> 32) % parts_.size());
}

CounterReply CounterModel::Call(double now, int gateway, const std::string& name, double amount,
                                double life_s) {
  Part& part = parts_[static_cast<size_t>(PartOf(name))];
  if (part.faults.refusing) return {CounterResult::kRefused, now, 0};
  if (part.faults.silent) return {CounterResult::kSilent, now, 0};
  double each = static_cast<double>(parts_.size()) / spec_.calls_per_s * part.faults.slow;
  double begin = std::max(now, part.free_at);
  if (begin - now > spec_.longest_queue_s) return {CounterResult::kBusy, now + spec_.least_wait_s, 0};
  part.free_at = begin + each;
  double at = part.free_at + spec_.least_wait_s * part.faults.slow;
  bool second = stores_.size() > 1 && gateway >= second_from_;
  Store& store = stores_[second ? 1 : 0];
  if (now - swept_at_ > kSweepS) {
    swept_at_ = now;
    for (Store& s : stores_) std::erase_if(s, [&](const auto& e) { return e.second.until <= now; });
  }
  auto [it, fresh] = store.try_emplace(name);
  Entry& entry = it->second;
  if (fresh || entry.until <= now) entry = {0, now + std::min(life_s, kMostLifeS)};
  double before = entry.total;
  if (!random_.Chance(part.faults.lost)) entry.total += amount;
  if (part.faults.stale)
    return {CounterResult::kTotal, at, part.stale.try_emplace(name, before).first->second};
  return {CounterResult::kTotal, at, entry.total};
}

void CounterModel::SetFaults(int part, const CounterFaults& faults) {
  Part& p = parts_[static_cast<size_t>(part)];
  if (!faults.stale) p.stale.clear();
  p.faults = faults;
}

void CounterModel::Lose(double now, double share) {
  for (Store& store : stores_) {
    std::vector<std::string> names;  // in an order of their own: that of a hash map is nobody's promise
    for (const auto& [name, entry] : store) {
      if (entry.until > now) names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    for (const std::string& name : names) {
      if (random_.Chance(share)) store.erase(name);
    }
  }
}

void CounterModel::Empty() {
  for (Store& store : stores_) store.clear();
}

void CounterModel::Split(int first_of_second) {
  second_from_ = first_of_second;
  stores_.resize(1);
  stores_.push_back(stores_[0]);
}

void CounterModel::Heal() { stores_.resize(1); }

}  // namespace ivygw::emulator
