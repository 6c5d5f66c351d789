// A gateway's cache of a replicated table. Updates pushed by several cores are merged item by item, so that
// no decided item returns to an older version while the process runs. Pure; one thread.
//
// Cores also push items that are not decided yet. Those are kept apart from the decided ones and used in
// their place, until a later table shows what was decided of their keys. An undecided item thus never
// outweighs a decided one, such as the tombstone of a backend whose deregistration was acknowledged.
//
// Cores send the revision of their table with each update. An update from an older revision never restores a
// key that a later list or update has shown to be removed.
#ifndef IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_
#define IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
  // A provisional item that no core has reported again for so long is given up. It is the time after which a
  // silent backend expires at the cores.
  static constexpr double kProvisionalLifetime = 30;  // s

  TableCache(Table table, Journal<ItemChange>* journal)
      : table_(table), journal_(journal), digests_(messages::kListRanges, 0) {}

  void OnPush(double now, const messages::Push& push) {
    bool provisional = push.number == messages::kProvisionalPush;
    for (const messages::Item& item : push.items) {
      provisional ? AddProvisional(now, item, push.revision) : Merge(now, item, push.revision);
    }
    for (const std::string& key : push.removed_keys) RemoveIfOlder(now, key, push.revision);
  }

  void OnStatus(double now, const messages::CoreStatus& state) {
    epoch_ = std::max(epoch_, state.epoch);
    complete_ = complete_ || (state.list_complete && state.epoch >= epoch_);
    if (state.list_revision > 0) OnListCompleted(now, state);
  }

  // Gives up provisional items that have grown too old. To be called about once a second.
  void OnTime(double now) {
    for (const std::string& key : KeysOf(provisional_)) {
      if (now < provisional_.at(key).reported_at + kProvisionalLifetime) continue;
      Update(now, key, [&] { provisional_.erase(key); });
    }
  }

  // Whether a core of the highest epoch known at that time has sent a complete list of the table. A core
  // sends one only after a majority of the cores has confirmed that the core's own table lacks no decided
  // change. Never becomes false again.
  bool complete() const { return complete_; }
  uint64_t epoch() const { return epoch_; }
  // Digests of the present items, by range. Provisional items count, so that the next list shows what was
  // decided about them.
  const std::vector<uint64_t>& digests() const { return digests_; }
  // Items in use that are not known to be decided.
  size_t provisional_items() const { return provisional_.size(); }
  // Provisional items that a decided change of their key has replaced by another state.
  uint64_t overruled_items() const { return overruled_items_; }

 private:
  // What is decided of a key.
  struct CachedItem {
    messages::Item item;
    // The latest revision at which a core's table is known to have had the key or, if `removed`, to have
    // lacked it.
    uint64_t seen_at_revision = 0;
    bool removed = false;  // the table no longer has this key
  };
  // An item that a core has passed on before it is decided. It may never be.
  struct ProvisionalItem {
    messages::Item item;
    uint64_t revision = 0;   // of the core's table when it passed the item on
    double reported_at = 0;  // when it was last received, in seconds
  };

  template <typename Entry>
  static std::vector<std::string> KeysOf(const std::map<std::string, Entry>& entries) {
    std::vector<std::string> keys;
    keys.reserve(entries.size());
    for (const auto& [key, entry] : entries) keys.push_back(key);
    return keys;
  }

  void OnListCompleted(double now, const messages::CoreStatus& state) {
    std::set<size_t> ranges(state.listed_ranges.begin(), state.listed_ranges.end());
    auto is_listed = [&](const std::string& key) {
      return ranges.count(messages::RangeOf(key, messages::kListRanges)) > 0;
    };
    for (const auto& [key, cached] : items_) {
      if (is_listed(key)) RemoveIfOlder(now, key, state.list_revision);
    }
    for (const std::string& key : KeysOf(provisional_)) {
      if (is_listed(key)) RemoveIfOlder(now, key, state.list_revision);
    }
    list_revision_ = std::max(list_revision_, state.list_revision);
    // Updates older than the list are ignored for unknown keys, so tombstones older than it are not needed.
    std::erase_if(items_, [&](const auto& entry) {
      const CachedItem& cached = entry.second;
      return (cached.removed || cached.item.dropped) && cached.seen_at_revision < list_revision_;
    });
  }

  void Merge(double now, const messages::Item& item, uint64_t revision) {
    auto known = items_.find(item.key);
    if (known == items_.end() && revision < list_revision_) return;
    Update(now, item.key, [&] {
      EndProvisional(item.key, revision, &item);
      auto [it, added] = items_.try_emplace(item.key);
      CachedItem& cached = it->second;
      bool absent = added || cached.removed;
      bool accepted = absent ? revision >= cached.seen_at_revision : messages::Newer(item, cached.item);
      cached.seen_at_revision = std::max(cached.seen_at_revision, revision);
      if (!accepted) return;
      cached.item = item;
      cached.removed = false;
    });
  }

  // The report of a core whose table is behind what is known of the key here may be outdated.
  void AddProvisional(double now, const messages::Item& item, uint64_t revision) {
    auto known = items_.find(item.key);
    uint64_t known_revision = known == items_.end() ? list_revision_ : known->second.seen_at_revision;
    if (revision < known_revision) return;
    const messages::Item* visible = Visible(item.key);
    if (visible && !messages::Newer(item, *visible)) {
      auto same = provisional_.find(item.key);
      if (same != provisional_.end() && same->second.item == item) same->second = {item, revision, now};
      return;
    }
    Update(now, item.key, [&] { provisional_[item.key] = {item, revision, now}; });
  }

  // A core's table does not have the key at `revision`. Marks the item as removed, unless a table of this
  // revision or a later one is known to have had the key.
  void RemoveIfOlder(double now, const std::string& key, uint64_t revision) {
    Update(now, key, [&] {
      EndProvisional(key, revision, nullptr);
      auto it = items_.find(key);
      if (it == items_.end() || it->second.removed || it->second.seen_at_revision >= revision) return;
      it->second.removed = true;
      it->second.seen_at_revision = revision;
    });
  }

  // Ends the provisional item of the key where a table of `revision` shows that it is outdated: by a decided
  // item that is no older, or by a tombstone or the absence of the key in a later table, whatever the
  // versions. A decided item that is older is an earlier report, and says nothing of the later one.
  // `decided`: the item of that table, or null.
  void EndProvisional(const std::string& key, uint64_t revision, const messages::Item* decided) {
    auto it = provisional_.find(key);
    if (it == provisional_.end()) return;
    const ProvisionalItem& provisional = it->second;
    bool is_gone = !decided || decided->dropped;
    bool is_outdated = is_gone && revision > provisional.revision;
    if (!is_outdated && !(decided && !messages::Newer(provisional.item, *decided))) return;
    if (!decided || *decided != provisional.item) ++overruled_items_;
    provisional_.erase(it);
  }

  // The item that is in use, decided or not; null: none.
  const messages::Item* Visible(const std::string& key) const {
    auto provisional = provisional_.find(key);
    if (provisional != provisional_.end()) return &provisional->second.item;
    auto it = items_.find(key);
    return it != items_.end() && !it->second.removed ? &it->second.item : nullptr;
  }

  // Runs `change`, which concerns this key only, and journals what it changes in the item that is in use.
  template <typename Change>
  void Update(double now, const std::string& key, Change change) {
    const messages::Item* visible = Visible(key);
    std::optional<messages::Item> before = visible ? std::make_optional(*visible) : std::nullopt;
    change();
    const messages::Item* after = Visible(key);
    if (after ? before == *after : !before.has_value()) return;
    if (before) ToggleDigest(*before);
    if (after) {
      ToggleDigest(*after);
      journal_->Append({table_, *after, now});
    } else if (!before->dropped) {
      messages::Item end = std::move(*before);
      end.dropped = true;
      end.body.clear();
      journal_->Append({table_, std::move(end), now});
    }
  }

  // Adds an item to the digest of its key range or, if the digest includes it already, removes it.
  void ToggleDigest(const messages::Item& item) {
    if (item.dropped) return;
    digests_[messages::RangeOf(item.key, digests_.size())] ^= messages::DigestOf(item);
  }

  const Table table_;
  Journal<ItemChange>* journal_;
  std::map<std::string, CachedItem> items_;
  std::map<std::string, ProvisionalItem> provisional_;
  std::vector<uint64_t> digests_;
  uint64_t epoch_ = 0;
  // The highest table revision at which a list that was received in full began; 0: none.
  uint64_t list_revision_ = 0;
  uint64_t overruled_items_ = 0;
  bool complete_ = false;
};

}  // namespace ivygw::discovery

#endif  // IVYGW_SYSTEM_DISCOVERY_TABLE_CACHE_H_
