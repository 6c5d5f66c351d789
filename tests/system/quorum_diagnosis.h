// Diagnosis of why a table has no quorum, from the same facts that the cores log: `store_put_aside` and
// `store_unavailable`, and `contact`, `member`, `members_alive`, `undecided` and `abandoned` of `figures`
// (docs/operate/control-state.md).
#ifndef IVYGW_TESTS_SYSTEM_QUORUM_DIAGNOSIS_H_
#define IVYGW_TESTS_SYSTEM_QUORUM_DIAGNOSIS_H_

#include <string>

#include "system/control_sim.h"

namespace ivygw::control_sim {

enum class QuorumLoss {
  kNone,
  kNamesLost,         // a store was put aside: LevelDB's files are inconsistent
  kRecordTorn,        // a store was put aside: one of its records is damaged
  kStoreUnavailable,  // a store can't be opened, so its core doesn't run
  kUndecided,         // a quorum is alive but reaches no decision
  kUnreachable,       // cores run but don't reach each other
};

inline const char* NameOf(QuorumLoss loss) {
  switch (loss) {
    case QuorumLoss::kNone: return "none";
    case QuorumLoss::kNamesLost: return "names lost";
    case QuorumLoss::kRecordTorn: return "record torn";
    case QuorumLoss::kStoreUnavailable: return "store unavailable";
    case QuorumLoss::kUndecided: return "undecided";
    case QuorumLoss::kUnreachable: return "unreachable";
  }
  return "";
}

// Whether LevelDB's error message reports a damaged record.
inline bool IsRecordDamage(const std::string& reason) {
  for (const char* words :
       {"checksum mismatch", "missing start of fragmented record", "partial record", "error in middle"}) {
    if (reason.find(words) != std::string::npos) return true;
  }
  return false;
}

// Whether the core is in contact and reaches decisions. Contact alone is not enough: acceptors that answer
// heartbeats but no proposals keep it up.
inline bool Decides(const World& world, const std::string& name) {
  constexpr uint64_t kManyAbandoned = 4;
  return world.Runs(name) && world.HasQuorumContact(name) &&
         world.replica(name).AbandonedProposals() < kManyAbandoned;
}

inline bool AnyDecides(const World& world) {
  for (const std::string& name : world.Machines()) {
    if (Decides(world, name)) return true;
  }
  return false;
}

inline bool AnyQuorumAlive(const World& world) {
  for (const std::string& name : world.Machines()) {
    if (!world.Runs(name)) continue;
    const Membership& membership = world.replica(name).membership();
    if (membership.epoch > 0 && world.MembersAlive(name) >= membership.Quorum()) return true;
  }
  return false;
}

// Checks the stores first: a core without its store can be the cause of a lost quorum, but never its effect.
inline QuorumLoss DiagnoseQuorumLoss(const World& world) {
  if (AnyDecides(world)) return QuorumLoss::kNone;
  for (const std::string& name : world.Machines()) {
    const StoreOnDisk* store = world.store(name);
    if (!store || store->put_aside().empty()) continue;
    return IsRecordDamage(store->put_aside()) ? QuorumLoss::kRecordTorn : QuorumLoss::kNamesLost;
  }
  for (const std::string& name : world.Machines()) {
    const StoreOnDisk* store = world.store(name);
    if (!world.Runs(name) && store && !store->opening_error().empty()) return QuorumLoss::kStoreUnavailable;
  }
  return AnyQuorumAlive(world) ? QuorumLoss::kUndecided : QuorumLoss::kUnreachable;
}

// Describes the state of each core that the diagnosis is based on.
inline std::string FiguresOfCores(const World& world) {
  std::string text;
  for (const std::string& name : world.Machines()) {
    text += "; " + name;
    if (const StoreOnDisk* store = world.store(name); store) {
      if (!store->put_aside().empty()) text += " put aside: " + store->put_aside();
      if (!store->opening_error().empty()) text += " not opened: " + store->opening_error();
    }
    if (!world.Runs(name)) {
      text += " doesn't run";
      continue;
    }
    const Replica& replica = world.replica(name);
    text += " contact " + std::to_string(world.HasQuorumContact(name)) + " member " +
            std::to_string(replica.IsMember()) + " members_alive " +
            std::to_string(world.MembersAlive(name)) + " undecided " +
            std::to_string(replica.HoldsUndecidedChange()) + " abandoned " +
            std::to_string(replica.AbandonedProposals()) + " epoch " +
            std::to_string(replica.membership().epoch) + " revision " + std::to_string(replica.revision());
  }
  return text;
}

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_QUORUM_DIAGNOSIS_H_
