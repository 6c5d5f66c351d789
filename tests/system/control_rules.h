// Invariants of a replicated table under any faults, checked on a simulated network by comparing full
// contents. Keeps the first violation. Independent of links and processes: it is notified of what each core,
// disk and caller observes.
#ifndef IVYGW_TESTS_SYSTEM_CONTROL_RULES_H_
#define IVYGW_TESTS_SYSTEM_CONTROL_RULES_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "replication/replica.h"
#include "system/simulated_disk.h"

namespace ivygw::control_sim {

using replication::Item;
using replication::Member;
using replication::Membership;
using replication::Outcome;
using replication::Record;
using replication::Replica;

uint64_t DigestOfRecord(const Record& record);

// A command, which may be sent several times. Its contents differ from those of every other command.
struct Command {
  std::vector<Item> items;
  size_t possible_executions = 0;  // attempts that were not reported as not done or rejected
  bool confirmed = false, rejected = false, seen = false;  // seen: applied at some core
};

// The copy of a gateway: records merged by version.
class GatewayCopy {
 public:
  // Returns a description of the violation if the content of a version has changed, else an empty string.
  std::string Merge(const Item& item);
  void Remove(const std::string& key) { items_.erase(key); }
  const std::map<std::string, Item>& items() const { return items_; }

 private:
  std::map<std::string, Item> items_;
};

class Rules {
 public:
  // Returns the content of the disk with that member's store, or null if the disk is lost. With
  // `or_last_content`, returns the last content of a lost disk.
  using FindStore = std::function<const DiskImage*(const Member& member, bool or_last_content)>;

  // Whether the machine of that member runs and can be reached from a core.
  using IsResponsive = std::function<bool(const std::string& core, const Member& member)>;

  // `keep_past`: the owner of the table remembers confirmed versions with digests of their contents.
  Rules(bool keep_past, FindStore find_store, IsResponsive is_responsive)
      : keep_past_(keep_past), find_store_(std::move(find_store)), is_responsive_(std::move(is_responsive)) {}

  const std::string& violation() const { return violation_; }
  void ReportViolation(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  size_t AddCommand(std::vector<Item> items);
  const Command& command(size_t index) const { return commands_[index]; }
  size_t commands() const { return commands_.size(); }
  void OnSent(size_t command) { ++commands_[command].possible_executions; }
  void OnCommandCompleted(size_t command, const std::string& core, const Replica& replica,
                          const replication::Completion& ended);
  // These tombstones may be removed from now on.
  void OnPruneRequested(const std::vector<Item>& tombstones);

  // The highest decided revision, which a read that starts now must reach.
  uint64_t decided() const { return decided_; }
  void OnReadEnded(uint64_t decided_before, const std::string& core, const Replica& replica);

  // A process has started from `loaded`.
  void OnStarted(const std::string& core, const DiskImage& loaded);
  void OnEvent(const std::string& core, const Replica& replica, const replication::Effects& effects);
  // A disk was written or lost.
  void OnDiskChanged();

  // The membership of the newest decided revision.
  const Membership& newest_membership() const { return membership_; }
  // Checks that the copy contains everything that was confirmed.
  void CheckComplete(const std::string& core, const Replica& replica);

  size_t confirmed = 0, rejected = 0, indeterminate = 0, not_done = 0, reads = 0;

 private:
  struct Confirmed {
    Item item;
    uint64_t revision = 0;  // revision at which the item was in the table
  };
  struct Copy {
    std::unordered_map<std::string, uint64_t> digests;  // by key
    uint64_t checksum = 0, revision = 0, epoch = 0;
    GatewayCopy gateway;
  };
  struct Decided {
    uint64_t checksum = 0;
    Membership membership;
  };

  void UpdateRecord(const std::string& core, const Replica& replica, const std::string& key, Copy* copy);
  void CheckContent(const std::string& core, const Replica& replica, const Record& record);
  void CheckConfirmed(const std::string& core, const Replica& replica, const std::string& key);
  void CheckRevision(const std::string& core, const Replica& replica, const Copy& copy);
  void OnDecided(const std::string& core, const Replica& replica, const Copy& copy);
  void CheckNewMembers(const std::string& core, const Membership& before);
  bool HoldsNewest(const DiskImage& image) const;
  void CheckMajority(const Membership& membership, bool decided_now);

  const bool keep_past_;
  const FindStore find_store_;
  const IsResponsive is_responsive_;
  std::string violation_;
  std::vector<Command> commands_;
  std::unordered_map<std::string, size_t> command_of_content_;           // by body
  std::map<std::pair<std::string, uint64_t>, Item> confirmed_contents_;  // by key and version
  std::map<std::pair<std::string, uint64_t>, Item> seen_contents_;
  std::unordered_map<std::string, Confirmed> newest_confirmed_;  // by key
  std::unordered_map<std::string, uint64_t> pruned_versions_;    // version of the tombstone by key
  std::map<std::string, Copy> copies_;
  std::unordered_map<uint64_t, Decided> revisions_;
  uint64_t decided_ = 0;
  uint64_t newest_change_ = 0;  // digest of the records of the newest decided change
  bool newest_changes_members_ = false;
  Membership membership_;
  GatewayCopy roaming_gateway_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_CONTROL_RULES_H_
