// Simulated operators, who write, compete, retry, read and prune; and the number of seeds that a test runs.
#ifndef IVYGW_TESTS_SYSTEM_CONTROL_OPERATORS_H_
#define IVYGW_TESTS_SYSTEM_CONTROL_OPERATORS_H_

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "system/control_sim.h"

namespace ivygw::control_sim {

inline size_t Seeds(size_t share = 1) {
  const char* value = std::getenv("IVYGW_SEEDS");
  size_t all = value ? std::strtoul(value, nullptr, 10) : 200;
  return std::max<size_t>(1, all / share);
}

class Operators {
 public:
  // Acts after random pauses, `pause` seconds on average. `races`: several operators use the same version.
  Operators(World* world, bool races, double pause) : world_(*world), races_(races), pause_(pause) {
    ScheduleNext();
  }
  void Stop() { stopped_ = true; }

 private:
  void ScheduleNext() {
    world_.Schedule(2 * pause_ * world_.Chance(), [this] {
      if (stopped_) return;
      Act();
      ScheduleNext();
    });
  }
  void Act() {
    double what = world_.Chance();
    if (what < 0.40) {
      Note(world_.Write(world_.AnyMachine(), Key(), Next(world_.Pick(kKeys)), world_.Chance(0.1)));
    } else if (what < 0.52) {
      Race();
    } else if (what < 0.62) {
      WriteSeveral();
    } else if (what < 0.74 && !commands_.empty()) {
      size_t recent = std::min<size_t>(commands_.size(), world_.Chance(0.7) ? 10 : 200);
      world_.Resend(commands_[commands_.size() - 1 - world_.Pick(recent)], world_.AnyMachine());
    } else if (what < 0.80) {
      WriteOlder();
    } else if (what < 0.90) {
      world_.Read(world_.AnyMachine());
    } else {
      WriteDropAndPrune();
    }
  }
  static constexpr size_t kKeys = 5;
  std::string Key() const { return "table/" + std::to_string(last_key_); }
  uint64_t Next(size_t key) {
    last_key_ = key;
    return versions_[key] += 1 + world_.Pick(3);
  }
  void Note(size_t command) { commands_.push_back(command); }
  void Race() {
    uint64_t version = Next(world_.Pick(kKeys));
    Note(world_.Write(world_.AnyMachine(), Key(), version));
    if (!races_) return;
    Note(world_.Write(world_.AnyMachine(), Key(), version));
    if (world_.Chance(0.5)) world_.Resend(commands_.back(), world_.AnyMachine());
  }
  void WriteSeveral() {
    std::vector<std::pair<std::string, uint64_t>> keys;
    for (size_t key = 0; key < kKeys; ++key) {
      if (!world_.Chance(0.5)) continue;
      uint64_t version = Next(key);
      keys.emplace_back(Key(), version);
    }
    if (keys.empty()) return;
    Note(world_.WriteMany(world_.AnyMachine(), keys));
    if (races_ && world_.Chance(0.3)) Note(world_.WriteMany(world_.AnyMachine(), keys));
  }
  // Writes a version below the newest, which may have been used before.
  void WriteOlder() {
    last_key_ = world_.Pick(kKeys);
    if (!races_ || versions_[last_key_] < 3) return;
    Note(world_.Write(world_.AnyMachine(), Key(), versions_[last_key_] - 1 - world_.Pick(2)));
  }
  // Writes a new key, drops it, and prunes its tombstone.
  void WriteDropAndPrune() {
    std::string key = "ended/" + std::to_string(++pruned_keys_);
    std::string machine = world_.AnyMachine();
    world_.Write(machine, key, 1);
    size_t drop = world_.Write(machine, key, 2, true);
    // By then no command for that key is pending any more.
    world_.Schedule(1.5, [this, drop] {
      if (!world_.rules().command(drop).confirmed) return;
      world_.Schedule(1.5, [this, drop] {
        if (!stopped_) world_.Prune(world_.AnyMachine(), world_.rules().command(drop).items);
      });
    });
  }

  World& world_;
  const bool races_;
  const double pause_;
  bool stopped_ = false;
  std::map<size_t, uint64_t> versions_;
  size_t last_key_ = 0, pruned_keys_ = 0;
  std::vector<size_t> commands_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_CONTROL_OPERATORS_H_
