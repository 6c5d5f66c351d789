// A gateway's cache of a replicated table. Updates pushed by several cores are merged item by item, so that
// no item returns to an older version while the process runs. Pure; one thread.
//
// Cores send the revision of their table with each update. An update from an older revision never restores a
// key that a later list or update has shown to be removed.
#ifndef IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_
#define IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "discovery/journal.h"
#include "messages/control.h"

namespace ivygw::discovery {

enum class Table { kConfiguration, kBackends };
struct ItemChange {
  Table table;
  messages::Item item;
  double at = 0;  // when it was received, in seconds
};

class TableCache {
 public:
  TableCache(Table table, Journal<ItemChange>* journal)
      : table_(table), journal_(journal), digests_(messages::kListRanges, 0) {}

  void OnPush(double now, const messages::Push& push) {
    for (const messages::Item& item : push.items) Merge(now, item, push.revision);
    for (const std::string& key : push.removed_keys) {
      auto it = items_.find(key);
      if (it != items_.end()) RemoveIfOlder(now, &it->second, push.revision);
    }
  }

  void OnStatus(double now, const messages::CoreStatus& state) {
    epoch_ = std::max(epoch_, state.epoch);
    complete_ = complete_ || (state.list_complete && state.epoch >= epoch_);
    if (state.list_revision > 0) OnListCompleted(now, state);
  }

  // Whether a core of the highest epoch known at that time has sent a complete list of the table. A core
  // sends one only after a majority of the cores has confirmed that the core's own table lacks no decided
  // change. Never becomes false again.
  bool complete() const { return complete_; }
  uint64_t epoch() const { return epoch_; }
  // Digests of the present items, by range.
  const std::vector<uint64_t>& digests() const { return digests_; }

 private:
  struct CachedItem {
    messages::Item item;
    // The latest revision at which a core's table is known to have had the key or, if `removed`, to have
    // lacked it.
    uint64_t seen_at_revision = 0;
    bool removed = false;  // the table no longer has this key
    bool IsPresent() const { return !removed && !item.dropped; }
  };

  void OnListCompleted(double now, const messages::CoreStatus& state) {
    std::set<size_t> ranges(state.listed_ranges.begin(), state.listed_ranges.end());
    for (auto& [key, cached] : items_) {
      if (ranges.count(messages::RangeOf(key, messages::kListRanges)) > 0)
        RemoveIfOlder(now, &cached, state.list_revision);
    }
    list_revision_ = std::max(list_revision_, state.list_revision);
    // Updates older than the list are ignored for unknown keys, so tombstones older than it are not needed.
    std::erase_if(items_, [&](const auto& entry) {
      const CachedItem& cached = entry.second;
      return (cached.removed || cached.item.dropped) && cached.seen_at_revision < list_revision_;
    });
  }

  void Merge(double now, const messages::Item& item, uint64_t revision) {
    auto it = items_.find(item.key);
    if (it == items_.end()) {
      if (revision < list_revision_) return;
      it = items_.emplace(item.key, CachedItem()).first;
      it->second.removed = true;
    }
    CachedItem& cached = it->second;
    bool accepted = cached.removed ? revision >= cached.seen_at_revision : messages::Newer(item, cached.item);
    cached.seen_at_revision = std::max(cached.seen_at_revision, revision);
    if (!accepted) return;
    ToggleDigest(cached);
    cached.item = item;
    cached.removed = false;
    ToggleDigest(cached);
    journal_->Append({table_, item, now});
  }

  // A core's table does not have the item's key at `revision`. Marks the item as removed, unless a table of
  // this revision or a later one is known to have had the key.
  void RemoveIfOlder(double now, CachedItem* cached, uint64_t revision) {
    if (cached->removed || cached->seen_at_revision >= revision) return;
    ToggleDigest(*cached);
    cached->removed = true;
    cached->seen_at_revision = revision;
    if (cached->item.dropped) return;
    messages::Item end = cached->item;
    end.dropped = true;
    end.body.clear();
    journal_->Append({table_, std::move(end), now});
  }

  // Adds a present item to the digest of its key range or, if the digest includes it already, removes it.
  void ToggleDigest(const CachedItem& cached) {
    if (!cached.IsPresent()) return;
    digests_[messages::RangeOf(cached.item.key, digests_.size())] ^= messages::DigestOf(cached.item);
  }

  const Table table_;
  Journal<ItemChange>* journal_;
  std::map<std::string, CachedItem> items_;
  std::vector<uint64_t> digests_;
  uint64_t epoch_ = 0;
  // The highest table revision at which a list that was received in full began; 0: none.
  uint64_t list_revision_ = 0;
  bool complete_ = false;
};

}  // namespace ivygw::discovery

#endif  // IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_
