#include "system/control_rules.h"

#include <algorithm>

namespace ivygw::control_sim {
namespace {

bool Remembers(const Record& record, const Item& item) {
  for (const messages::PastVersion& past : record.past) {
    if (past.version == item.version) return past.digest == messages::DigestOf(item);
  }
  return record.past.size() >= replication::kMaxPastVersions;
}

std::string Describe(const Item& item) {
  return item.key + " " + std::to_string(item.version) + " '" + item.body + "'";
}

}  // namespace

uint64_t DigestOfRecord(const Record& record) {
  const Item& item = record.item;
  uint64_t digest = micadock::Mix(std::hash<std::string>()(item.key) ^
                                  micadock::Mix(item.version + (item.dropped ? 1ull << 63 : 0)));
  digest = micadock::Mix(digest ^ std::hash<std::string>()(item.body) ^ micadock::Mix(record.revision));
  for (const messages::PastVersion& past : record.past) {
    digest = micadock::Mix(digest ^ micadock::Mix(past.version) ^ past.digest);
  }
  return digest;
}

std::string GatewayCopy::Merge(const Item& item) {
  Item& seen = items_[item.key];
  if (seen.key.empty() || item.version > seen.version) {
    seen = item;
    return {};
  }
  if (item.version == seen.version && !(item == seen)) return Describe(seen) + " became " + Describe(item);
  return {};
}

size_t Rules::AddCommand(std::vector<Item> items) {
  for (const Item& item : items) command_of_content_[item.body] = commands_.size();
  commands_.push_back({std::move(items)});
  return commands_.size() - 1;
}

void Rules::OnCommandCompleted(size_t index, const std::string& core, const Replica& replica,
                               const replication::Completion& ended) {
  Command& command = commands_[index];
  const std::string name = Describe(command.items.front());
  switch (ended.outcome) {
    case Outcome::kMaybeDone: ++indeterminate; return;
    case Outcome::kNotDone:
      ++not_done;
      --command.possible_executions;
      break;
    case Outcome::kRejected:
      ++rejected;
      --command.possible_executions;
      if (ended.rejection.code != replication::RejectionCode::kConflict) break;
      if (command.confirmed) ReportViolation(core + " rejected what was confirmed: " + name);
      if (command.seen) ReportViolation(core + " rejected what is applied: " + name);
      command.rejected = true;
      return;
    case Outcome::kDone:
      ++confirmed;
      command.confirmed = true;
      if (keep_past_ && command.rejected) ReportViolation(core + " confirmed what was rejected: " + name);
      for (const Item& item : command.items) {
        if (keep_past_) {
          auto [it, is_new] = confirmed_contents_.try_emplace({item.key, item.version}, item);
          if (!is_new && !(it->second == item))
            ReportViolation("both confirmed: " + Describe(it->second) + " and " + Describe(item));
        }
        const Record* record = replica.table().Find(item.key);
        bool ended_since = pruned_versions_.contains(item.key);
        if (!record) {
          if (!ended_since) ReportViolation(core + " confirmed and doesn't have " + Describe(item));
          continue;
        }
        if (record->item.version < item.version)
          ReportViolation(core + " confirmed and has an older " + Describe(item));
        if (record->item.version == item.version && !(record->item == item)) {
          ReportViolation(core + " confirmed " + Describe(item) + " but has " + Describe(record->item) +
                          " instead");
        }
        if (record->item.version > item.version && keep_past_ && !Remembers(*record, item)) {
          ReportViolation(core + " confirmed and has forgotten " + Describe(item));
        }
        Confirmed& newest = newest_confirmed_[item.key];
        if (newest.item.key.empty() || newest.item.version < item.version)
          newest = {item, replica.revision()};
      }
      return;
  }
  if (command.possible_executions == 0 && command.seen)
    ReportViolation(core + " reported as not done what is applied: " + name);
}

void Rules::OnPruneRequested(const std::vector<Item>& tombstones) {
  for (const Item& item : tombstones) pruned_versions_[item.key] = item.version;
}

void Rules::OnReadEnded(uint64_t decided_before, const std::string& core, const Replica& replica) {
  ++reads;
  if (replica.revision() < decided_before) {
    ReportViolation("a read at " + core + " returns revision " + std::to_string(replica.revision()) +
                    " where " + std::to_string(decided_before) + " was decided");
  }
}

void Rules::OnStarted(const std::string& core, const DiskImage& loaded) {
  Copy& copy = copies_[core];
  copy.digests.clear();
  copy.checksum = 0;
  copy.revision = loaded.state.revision;
  copy.epoch = loaded.state.membership.epoch;
  for (const auto& [key, record] : loaded.records) {
    uint64_t digest = DigestOfRecord(record);
    copy.digests[key] = digest;
    copy.checksum ^= digest;
  }
  auto it = revisions_.find(copy.revision);
  if (it != revisions_.end() && it->second.checksum != copy.checksum)
    ReportViolation("the disk of " + core + " doesn't hold exactly one revision");
  if (membership_.epoch == 0) membership_ = loaded.state.membership;
}

void Rules::OnEvent(const std::string& core, const Replica& replica, const replication::Effects& effects) {
  Copy& copy = copies_[core];
  if (effects.reset) {
    copy.digests.clear();
    copy.checksum = 0;
  }
  for (const std::string& key : effects.changed) UpdateRecord(core, replica, key, &copy);
  if (replica.revision() < copy.revision)
    ReportViolation(core + " went back to revision " + std::to_string(replica.revision()));
  if (replica.membership().epoch < copy.epoch)
    ReportViolation(core + " went back to epoch " + std::to_string(copy.epoch));
  copy.epoch = replica.membership().epoch;
  if (replica.revision() == copy.revision && effects.changed.empty() && !effects.reset) return;
  copy.revision = replica.revision();
  CheckRevision(core, replica, copy);
  for (const std::string& key : effects.changed) {
    if (const Record* record = replica.table().Find(key)) CheckContent(core, replica, *record);
    CheckConfirmed(core, replica, key);
  }
}

void Rules::UpdateRecord(const std::string& core, const Replica& replica, const std::string& key,
                         Copy* copy) {
  if (auto it = copy->digests.find(key); it != copy->digests.end()) {
    copy->checksum ^= it->second;
    copy->digests.erase(it);
  }
  const Record* record = replica.table().Find(key);
  if (!record) {
    auto seen = copy->gateway.items().find(key);
    auto pruned_version = pruned_versions_.find(key);
    if (pruned_version == pruned_versions_.end()) ReportViolation(key + " disappeared at " + core);
    if (seen != copy->gateway.items().end() && pruned_version != pruned_versions_.end() &&
        seen->second.version > pruned_version->second) {
      ReportViolation(key + " was removed at " + core + " although newer than the tombstone");
    }
    copy->gateway.Remove(key);
    return;
  }
  uint64_t digest = DigestOfRecord(*record);
  copy->digests[key] = digest;
  copy->checksum ^= digest;
  for (GatewayCopy* gateway : {&copy->gateway, &roaming_gateway_}) {
    std::string back = gateway->Merge(record->item);
    if (!back.empty()) ReportViolation("a gateway at " + core + ": " + back);
  }
}

void Rules::CheckContent(const std::string& core, const Replica& replica, const Record& record) {
  const Item& item = record.item;
  auto [it, is_new] = seen_contents_.try_emplace({item.key, item.version}, item);
  if (!is_new && !(it->second == item))
    ReportViolation("applied at " + core + ": " + Describe(item) + ", elsewhere " + Describe(it->second));
  auto found = command_of_content_.find(item.body);
  if (found == command_of_content_.end()) return ReportViolation("no command wrote " + Describe(item));
  Command& command = commands_[found->second];
  command.seen = true;
  if (command.rejected) ReportViolation("rejected, and applied at " + core + ": " + Describe(item));
  if (command.possible_executions == 0)
    ReportViolation("not done, and applied at " + core + ": " + Describe(item));
  for (const Item& other : command.items) {
    if (pruned_versions_.contains(other.key)) continue;
    const Record* current = replica.table().Find(other.key);
    if (current && (current->item == other || current->item.version > other.version)) continue;
    ReportViolation("at " + core + " applied without the rest of its command: " + Describe(item));
  }
}

void Rules::CheckConfirmed(const std::string& core, const Replica& replica, const std::string& key) {
  auto it = newest_confirmed_.find(key);
  if (it == newest_confirmed_.end() || replica.revision() < it->second.revision) return;
  const Item& item = it->second.item;
  const Record* record = replica.table().Find(key);
  if (!record) {
    if (!pruned_versions_.contains(key))
      ReportViolation("confirmed, and missing at " + core + ": " + Describe(item));
    return;
  }
  if (record->item.version < item.version)
    ReportViolation("confirmed, and replaced at " + core + ": " + Describe(item));
  if (record->item.version == item.version && !(record->item == item)) {
    ReportViolation("confirmed, and replaced under its version at " + core + ": " + Describe(item));
  }
}

void Rules::CheckRevision(const std::string& core, const Replica& replica, const Copy& copy) {
  if (copy.digests.size() != replica.table().records().size())
    ReportViolation(core + " doesn't report all changed keys");
  auto [it, is_new] = revisions_.try_emplace(copy.revision, Decided{copy.checksum, replica.membership()});
  if (it->second.checksum != copy.checksum)
    ReportViolation(core + " has a different table at revision " + std::to_string(copy.revision));
  if (copy.revision > 0 && !(it->second.membership == replica.membership())) {
    ReportViolation(core + " has different members at revision " + std::to_string(copy.revision));
  }
  if (copy.revision > decided_) OnDecided(core, replica, copy);
}

void Rules::OnDecided(const std::string& core, const Replica& replica, const Copy& copy) {
  Membership before = membership_;
  decided_ = copy.revision;
  newest_change_ = 0;
  for (const auto& [key, digest] : copy.digests) {
    const Record* record = replica.table().Find(key);
    if (record && record->revision == decided_) newest_change_ ^= digest;
  }
  membership_ = replica.membership();
  newest_changes_members_ = membership_.epoch != before.epoch;
  CheckMajority(before, true);
  if (before.epoch == membership_.epoch) return;
  CheckMajority(membership_, true);
  CheckNewMembers(core, before);
}

// A new member must have everything decided on its disk, unless it has become unresponsive.
void Rules::CheckNewMembers(const std::string& core, const Membership& before) {
  for (const Member& member : membership_.members) {
    bool stays = std::any_of(before.members.begin(), before.members.end(),
                             [&](const Member& other) { return other.SameStore(member); });
    const DiskImage* image = find_store_(member, true);
    if (stays || (image && HoldsNewest(*image)) || !is_responsive_(core, member)) continue;
    ReportViolation(member.address + " joined epoch " + std::to_string(membership_.epoch) +
                    " without its revision on disk");
  }
}

bool Rules::HoldsNewest(const DiskImage& image) const {
  if (image.state.revision >= decided_) return true;
  if (image.state.revision + 1 != decided_ || !image.accepted || image.accepted->change.revision != decided_)
    return false;
  if (image.accepted->change.membership.has_value() != newest_changes_members_) return false;
  if (newest_changes_members_ && !(*image.accepted->change.membership == membership_)) return false;
  uint64_t checksum = 0;
  for (const Record& record : image.accepted->change.records) checksum ^= DigestOfRecord(record);
  return checksum == newest_change_;
}

// When a revision is decided, a majority must have it on disk. Later, lost disks are not counted.
void Rules::CheckMajority(const Membership& membership, bool decided_now) {
  size_t needed = membership.Quorum(), holders = 0;
  for (const Member& member : membership.members) {
    const DiskImage* image = find_store_(member, decided_now);
    if (!image && needed > 1) --needed;
    if (image && HoldsNewest(*image)) ++holders;
  }
  if (holders >= needed) return;
  ReportViolation(std::string(decided_now ? "decided" : "stored") + ", but on too few disks of epoch " +
                  std::to_string(membership.epoch) + ": revision " + std::to_string(decided_) + " on " +
                  std::to_string(holders) + " of " + std::to_string(membership.members.size()));
}

void Rules::OnDiskChanged() {
  if (decided_ > 0) CheckMajority(membership_, false);
}

void Rules::CheckComplete(const std::string& core, const Replica& replica) {
  const Copy& copy = copies_[core];
  uint64_t checksum = 0;
  for (const auto& [key, record] : replica.table().records()) {
    checksum ^= DigestOfRecord(record);
    CheckContent(core, replica, record);
    auto seen = copy.gateway.items().find(key);
    if (seen != copy.gateway.items().end() && !(seen->second == record.item))
      ReportViolation("a gateway at " + core + " is outdated at " + key);
  }
  if (checksum != copy.checksum) ReportViolation(core + " doesn't report all changed keys");
  for (const auto& [key, item] : newest_confirmed_) CheckConfirmed(core, replica, key);
  for (const auto& [key_and_version, item] : confirmed_contents_) {
    const Record* record = replica.table().Find(item.key);
    if (!record) continue;  // checked by CheckConfirmed
    bool stands = record->item == item || (record->item.version > item.version && Remembers(*record, item));
    if (!stands) ReportViolation(core + " doesn't know what was confirmed: " + Describe(item));
  }
}

}  // namespace ivygw::control_sim
