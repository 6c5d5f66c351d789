#include "replication/catch_up.h"

#include <algorithm>

namespace ivygw::replication {

messages::DeltaRequest CatchUp::Request(TimePoint now, const std::string& sender, uint64_t revision) {
  if (!active_) {
    active_ = true;
    cursor_ = revision;
    pruned_known_ = revision;
    furthest_end_ = revision;
  }
  sender_ = sender;
  requested_at_ = now;
  return {cursor_, pruned_known_};
}

CatchUp::Step CatchUp::OnDelta(const std::string& from, const messages::Delta& delta) {
  if (!active_ || from != sender_ || delta.from_revision != cursor_) return Step::kIgnored;
  // A sender that is behind an earlier sender lacks changes that the earlier sender's parts relied on.
  if (delta.end_revision < furthest_end_) {
    sender_.clear();
    return Step::kIgnored;
  }
  furthest_end_ = delta.end_revision;
  if (delta.reset) {
    reset_ = true;
    pruned_known_ = delta.end_revision;
    records_.clear();
    pruned_.clear();
  }
  for (const Record& record : delta.records) AddRecord(record);
  for (const messages::PrunedKey& pruned : delta.pruned) AddPruned(pruned);
  cursor_ = delta.to_revision;
  if (delta.to_revision < delta.end_revision) return Step::kRequestNext;
  end_ = delta.end_revision;
  membership_ = delta.membership;
  return Step::kComplete;
}

void CatchUp::AddRecord(const Record& record) {
  auto pruned = pruned_.find(record.item.key);
  if (pruned != pruned_.end() && pruned->second < record.revision) pruned_.erase(pruned);
  records_[record.item.key] = record;
}

void CatchUp::AddPruned(const messages::PrunedKey& pruned) {
  auto it = records_.find(pruned.key);
  if (it != records_.end() && it->second.revision > pruned.revision) return;
  if (it != records_.end()) records_.erase(it);
  pruned_[pruned.key] = pruned.revision;
}

}  // namespace ivygw::replication
