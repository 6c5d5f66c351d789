#include "replication/table.h"

#include <algorithm>

namespace ivygw::replication {
namespace {

// The approximate size of a record in a message.
size_t SizeOf(const Record& record) {
  constexpr size_t kFixed = 64, kPast = 16;
  return kFixed + record.item.key.size() + record.item.body.size() + kPast * record.past.size();
}

}  // namespace

const Record* Table::Find(const std::string& key) const {
  auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

void Table::Put(const Record& record) {
  auto [it, added] = records_.try_emplace(record.item.key);
  if (!added) Unindex(it->second);
  it->second = record;
  by_revision_[record.revision].insert(record.item.key);
}

void Table::Erase(const std::string& key, uint64_t revision) {
  auto it = records_.find(key);
  if (it != records_.end()) {
    Unindex(it->second);
    records_.erase(it);
  }
  pruned_.push_back({key, revision});
  while (pruned_.size() > kMaxPrunedKeys) {
    pruned_floor_ = std::max(pruned_floor_, pruned_.front().revision);
    pruned_.pop_front();
  }
}

void Table::Clear() {
  records_.clear();
  by_revision_.clear();
  pruned_.clear();
}

void Table::ForgetPruned(uint64_t revision) {
  pruned_.clear();
  pruned_floor_ = revision;
}

void Table::Unindex(const Record& record) {
  auto it = by_revision_.find(record.revision);
  if (it == by_revision_.end()) return;
  it->second.erase(record.item.key);
  if (it->second.empty()) by_revision_.erase(it);
}

messages::Delta Table::DeltaFor(const messages::DeltaRequest& request, uint64_t end, size_t bytes) const {
  messages::Delta delta;
  delta.from_revision = request.from_revision;
  delta.end_revision = end;
  delta.reset = request.pruned_known < pruned_floor_ && request.from_revision <= end;
  uint64_t after = delta.reset ? 0 : request.from_revision;
  delta.to_revision = std::max(after, end);
  size_t size = 0;
  for (auto it = by_revision_.upper_bound(after); it != by_revision_.end(); ++it) {
    if (size >= bytes) {
      delta.to_revision = std::prev(it)->first;
      return delta;
    }
    for (const std::string& key : it->second) {
      const Record& record = records_.at(key);
      size += SizeOf(record);
      delta.records.push_back(record);
    }
  }
  uint64_t known = delta.reset ? end : request.pruned_known;
  for (const messages::PrunedKey& pruned : pruned_) {
    if (pruned.revision > known) delta.pruned.push_back(pruned);
  }
  return delta;
}

const Record* TableOverlay::Find(const std::string& key) const {
  auto it = written_.find(key);
  return it == written_.end() ? table_.Find(key) : &it->second;
}

}  // namespace ivygw::replication
