#include "luxmore/replica.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "base/text_hash.h"

namespace ivygw::luxmore {
Replica::Replica(ReplicaOptions options, std::vector<Item> from_disk) : options_(std::move(options)) {
  options_.cores.insert(options_.self);
  round_ = put_ = uint64_t{options_.life} << 32;
  sums_.assign(options_.ranges, 0);
  unsynced_.assign(options_.ranges, 0);
  for (Item& item : from_disk) {
    Entry entry;
    entry.digest = DigestOf(item);
    entry.synced = true;
    entry.holders = options_.blank ? 0 : Bit(options_.self);
    std::string key = item.key;
    entry.item = std::move(item);
    Sum(entry);
    unsafe_.insert(key);
    entries_[key] = std::move(entry);
  }
}

uint32_t Replica::Bit(const std::string& core) const {
  auto it = options_.cores.find(core);
  return it == options_.cores.end() ? 0 : uint32_t{1} << std::distance(options_.cores.begin(), it);
}

void Replica::Synced(Entry* entry) {
  if (entry->synced) return;
  entry->synced = true;
  --unsynced_[Range(entry->item.key)];
}

heaphy::Digests Replica::Told(uint64_t round, bool answer) const {
  heaphy::Digests digests{round, answer, options_.blank, sums_, {}};
  for (size_t i = 0; i < unsynced_.size(); ++i) {
    if (unsynced_[i] > 0) digests.unsynced.push_back(static_cast<uint32_t>(i));
  }
  return digests;
}

void Replica::Sum(const Entry& entry) { sums_[Range(entry.item.key)] ^= entry.digest; }

bool Replica::Merge(const Item& item, std::vector<Item>* changed, Effects* out) {
  auto [it, fresh] = entries_.try_emplace(item.key);
  Entry& entry = it->second;
  if (!fresh && !Newer(item, entry.item)) return false;
  if (!fresh) {
    Sum(entry);
    Synced(&entry);
    if (entry.safe) {
      entry.shown = entry.item;
      entry.has_shown = true;
    }
  }
  entry.item = item;
  entry.digest = DigestOf(item);
  entry.synced = entry.safe = false;
  entry.holders = 0;
  Sum(entry);
  ++unsynced_[Range(item.key)];
  unsafe_.insert(item.key);
  changed->push_back(item);
  out->applied.push_back(item.key);
  return true;
}

// One batch, even of nothing: it is told as stored after all that was before it.
void Replica::Keep(std::vector<Item> items, std::vector<Word> words, Effects* out) {
  Batch batch;
  for (const Item& item : items) batch.marks.push_back({item.key, item.version, entries_.at(item.key).digest, false});
  batch.words = std::move(words);
  uint64_t number = ++last_batch_;
  batches_[number] = std::move(batch);
  out->stores.push_back({number, std::move(items), false, {}});
}

void Replica::Write(double now, uint64_t ticket, const std::vector<Item>& items, Effects* out) {
  std::vector<Item> changed, winners;
  std::set<std::string> keys;
  for (const Item& item : items) {
    Merge(item, &changed, out);
    keys.insert(item.key);
  }
  Pending pending;
  pending.until = now + options_.patience_s;
  for (const std::string& key : keys) {
    const Entry& entry = entries_.at(key);
    if (entry.safe) continue;
    winners.push_back(entry.item);
    waiters_[key].insert(ticket);
    ++pending.waits;
  }
  if (pending.waits == 0) {
    out->done.push_back({ticket, Outcome::kDone});
  } else {
    pending_[ticket] = pending;
  }
  if (!changed.empty()) Keep(std::move(changed), {}, out);
  if (!winners.empty()) {
    for (const std::string& core : up_) SendPut(core, winners, out);
  }
  Settle(now, out);
}

void Replica::Fresh(double now, uint64_t ticket, Effects* out) {
  Asked asked;
  asked.round = ++round_;
  asked.until = now + options_.patience_s;
  asked.again = now + 0.06;
  asked_[ticket] = std::move(asked);
  AskDigests(now, out);
  Settle(now, out);
}

void Replica::AskDigests(double now, Effects* out) {
  // Until it holds what a majority does, it looks again as soon as what it asked for may have come.
  digests_due_ = now + (complete_ && !options_.blank ? options_.digest_every_s : options_.digest_every_s / 8);
  for (const std::string& core : up_) {
    out->sends.push_back({core, Told(round_, false)});
  }
}

void Replica::MakeSafe(Entry* entry, Effects* out) {
  if (entry->safe) return;
  entry->safe = true;
  unsafe_.erase(entry->item.key);
  entry->has_shown = false;
  entry->shown = Item();
  out->safe.push_back(entry->item.key);
  Free(entry->item.key, out);
}

void Replica::Free(const std::string& key, Effects* out) {
  auto it = waiters_.find(key);
  if (it == waiters_.end()) return;
  for (uint64_t ticket : it->second) {
    auto at = pending_.find(ticket);
    if (at == pending_.end() || --at->second.waits > 0) continue;
    out->done.push_back({ticket, Outcome::kDone});
    pending_.erase(at);
  }
  waiters_.erase(it);
}

void Replica::Hold(Entry* entry, uint32_t bit, std::vector<Mark>* made, Effects* out) {
  entry->holders |= bit;
  if (!entry->safe && static_cast<size_t>(std::popcount(entry->holders)) >= majority()) {
    MakeSafe(entry, out);
    made->push_back({entry->item.key, entry->item.version, entry->digest, entry->synced});
  }
}

void Replica::Announce(std::vector<Mark> made, Effects* out) {
  if (made.empty()) return;
  for (const std::string& core : up_) out->sends.push_back({core, heaphy::Safe{made}});
}

void Replica::SendPut(const std::string& core, const std::vector<Item>& items, Effects* out) {
  uint64_t number = ++put_;
  puts_[number] = core;
  for (const Item& item : items) put_marks_[number].push_back({item.key, item.version, DigestOf(item), false});
  out->sends.push_back({core, heaphy::Put{number, items}});
}

void Replica::OnPeer(double now, const std::string& core, bool up, Effects* out) {
  if (core == options_.self) return;
  // Its disk may have gone with it: what is not safe yet is counted anew there.
  for (auto& [key, entry] : entries_) {
    if (!entry.safe) entry.holders &= ~Bit(core);
  }
  if (!up) {
    up_.erase(core);
    even_now_.erase(core);
    return;
  }
  up_.insert(core);
  out->sends.push_back({core, Told(round_, false)});
  // What waits for a majority may find it in this one.
  std::vector<Item> winners;
  for (const auto& [key, tickets] : waiters_) {
    auto it = entries_.find(key);
    if (it != entries_.end() && !it->second.safe) winners.push_back(it->second.item);
  }
  if (!winners.empty()) SendPut(core, winners, out);
  Settle(now, out);
}

void Replica::OnCores(double now, const std::vector<std::string>& cores, Effects* out) {
  std::set<std::string> all = options_.cores;
  all.insert(cores.begin(), cores.end());
  if (all == options_.cores || all.size() > 32) return;
  // Bits are places in the order of addresses: counted anew by what each copy tells.
  options_.cores = std::move(all);
  for (auto& [key, entry] : entries_) entry.holders = entry.synced && !options_.blank ? Bit(options_.self) : 0;
  uint64_t number = ++last_batch_;
  batches_[number] = Batch();
  out->stores.push_back({number, {}, false, options_.cores});
  Settle(now, out);
}

void Replica::OnStored(double now, uint64_t number, bool ok, Effects* out) {
  auto it = batches_.find(number);
  if (it == batches_.end()) return;
  Batch batch = std::move(it->second);
  batches_.erase(it);
  std::vector<Mark> made;
  if (batch.counts) counting_ = false;
  if (batch.counts && ok && options_.blank) {
    options_.blank = false;
    for (auto& [key, entry] : entries_) {
      if (entry.synced) Hold(&entry, Bit(options_.self), &made, out);
    }
    if (even_once_.size() + 1 >= majority()) complete_ = true;
  }
  if (!ok) {  // the disk refuses: nothing of it counts; what is in memory is tried again with the next change of it
    for (const Mark& mark : batch.marks) refused_.insert(mark.key);
    return;
  }
  for (const Mark& mark : batch.marks) {
    auto at = entries_.find(mark.key);
    if (at == entries_.end()) continue;
    Entry& entry = at->second;
    if (entry.item.version != mark.version || entry.digest != mark.digest || entry.synced) continue;
    Synced(&entry);
    if (!options_.blank) Hold(&entry, Bit(options_.self), &made, out);
  }
  for (const Word& word : batch.words) {
    // One that is not synced yet comes in a batch of its own, later; else the disk has refused it.
    bool all = std::all_of(word.keys.begin(), word.keys.end(), [&](const std::string& key) {
      auto at = entries_.find(key);
      return at == entries_.end() || at->second.synced ||
             std::any_of(batch.marks.begin(), batch.marks.end(), [&](const Mark& mark) { return mark.key == key; });
    });
    if (all) out->sends.push_back({word.to, heaphy::PutDone{word.number, !options_.blank}});
  }
  Announce(std::move(made), out);
  Settle(now, out);
}

void Replica::OnMessage(double now, const std::string& from, const Message& message, Effects* out) {
  if (const auto* put = std::get_if<heaphy::Put>(&message)) {
    std::vector<Item> changed, newer;
    for (const Item& item : put->items) {
      if (!Merge(item, &changed, out)) {
        const Entry& entry = entries_.at(item.key);
        if (Newer(entry.item, item)) newer.push_back(entry.item);
        // Known, but its disk had refused it.
        if (refused_.erase(item.key) > 0 && !entry.synced) changed.push_back(entry.item);
      }
    }
    // Told before the word that it is held: it is superseded.
    if (put->number > 0 && !newer.empty()) out->sends.push_back({from, heaphy::Put{0, std::move(newer)}});
    std::vector<Word> words;
    if (put->number > 0) {
      words.push_back({from, put->number, {}});
      for (const Item& item : put->items) words.back().keys.push_back(item.key);
    }
    if (!changed.empty() || !words.empty()) Keep(std::move(changed), std::move(words), out);
  } else if (const auto* done = std::get_if<heaphy::PutDone>(&message)) {
    auto it = puts_.find(done->number);
    if (it == puts_.end() || it->second != from) return;
    puts_.erase(it);
    std::vector<Mark> marks = std::move(put_marks_[done->number]);
    put_marks_.erase(done->number);
    if (!done->counts) return;
    std::vector<Mark> made;
    for (const Mark& mark : marks) {
      auto at = entries_.find(mark.key);
      if (at == entries_.end()) continue;
      Entry& entry = at->second;
      if (entry.item.version == mark.version && entry.digest == mark.digest) Hold(&entry, Bit(from), &made, out);
    }
    Announce(std::move(made), out);
  } else if (const auto* safe = std::get_if<heaphy::Safe>(&message)) {
    for (const Mark& mark : safe->marks) {
      auto it = entries_.find(mark.key);
      if (it == entries_.end()) continue;
      Entry& entry = it->second;
      if (entry.item.version == mark.version && entry.digest == mark.digest) MakeSafe(&entry, out);
    }
  } else if (const auto* digests = std::get_if<heaphy::Digests>(&message)) {
    OnDigests(now, from, *digests, out);
  } else if (const auto* marks = std::get_if<heaphy::RangeMarks>(&message)) {
    OnMarks(from, *marks, out);
  } else if (const auto* pull = std::get_if<heaphy::Pull>(&message)) {
    heaphy::Put mend;
    for (const std::string& key : pull->keys) {
      auto it = entries_.find(key);
      if (it != entries_.end()) mend.items.push_back(it->second.item);
    }
    if (!mend.items.empty()) out->sends.push_back({from, std::move(mend)});
  }
  Settle(now, out);
}

void Replica::OnDigests(double now, const std::string& from, const heaphy::Digests& told, Effects* out) {
  if (told.ranges.size() != sums_.size()) return;
  if (!told.answer) out->sends.push_back({from, Told(told.round, true)});
  heaphy::RangeMarks differ;
  std::vector<bool> same(sums_.size());
  for (size_t i = 0; i < sums_.size(); ++i) {
    same[i] = told.ranges[i] == sums_[i];
    if (!same[i]) differ.ranges.push_back(static_cast<uint32_t>(i));
  }
  std::vector<bool> synced(sums_.size(), !told.blank);
  for (uint32_t range : told.unsynced) {
    if (range < synced.size()) synced[range] = false;
  }
  std::vector<Mark> made;
  uint32_t bit = Bit(from);
  std::vector<std::string> unsafe(unsafe_.begin(), unsafe_.end());
  for (const std::string& key : unsafe) {
    size_t range = Range(key);
    if (same[range] && synced[range]) Hold(&entries_.at(key), bit, &made, out);
  }
  if (!differ.ranges.empty()) {
    for (const auto& [key, entry] : entries_) {
      if (!same[Range(key)]) differ.marks.push_back({key, entry.item.version, entry.digest, entry.synced});
    }
  }
  Announce(std::move(made), out);
  if (differ.ranges.empty()) {
    Even(now, from, told.blank, told.answer ? told.round : 0, out);
  } else {
    even_now_.erase(from);
    out->sends.push_back({from, std::move(differ)});
  }
}

void Replica::OnMarks(const std::string& from, const heaphy::RangeMarks& told, Effects* out) {
  heaphy::Pull pull;
  heaphy::Put mend;
  std::set<std::string> seen;
  for (const Mark& mark : told.marks) {
    seen.insert(mark.key);
    auto it = entries_.find(mark.key);
    if (it == entries_.end()) {
      pull.keys.push_back(mark.key);
      continue;
    }
    Entry& entry = it->second;
    if (entry.digest == mark.digest && entry.item.version == mark.version) continue;
    bool theirs = std::tie(mark.version, mark.digest) > std::tie(entry.item.version, entry.digest);
    if (theirs) {
      pull.keys.push_back(mark.key);
    } else {
      mend.items.push_back(entry.item);
    }
  }
  std::set<uint32_t> ranges(told.ranges.begin(), told.ranges.end());
  for (const auto& [key, entry] : entries_) {
    if (!seen.count(key) && ranges.count(static_cast<uint32_t>(Range(key)))) mend.items.push_back(entry.item);
  }
  if (!pull.keys.empty()) out->sends.push_back({from, std::move(pull)});
  if (!mend.items.empty()) out->sends.push_back({from, std::move(mend)});
}

// The peer's copy is the same as this one, on disk or not: it holds nothing that this doesn't, or what supersedes it.
void Replica::Even(double now, const std::string& from, bool blank, uint64_t round, Effects* out) {
  if (blank) return;
  even_once_.insert(from);
  for (auto& [ticket, asked] : asked_) {
    if (round >> 32 == options_.life && round >= asked.round) asked.even.insert(from);
  }
  bool all = std::all_of(unsynced_.begin(), unsynced_.end(), [](uint32_t n) { return n == 0; });
  if (options_.blank && even_once_.size() >= majority() && all && !counting_) {
    // It has read all of a majority that doesn't need it, and counts as soon as that is written.
    counting_ = true;
    uint64_t number = ++last_batch_;
    batches_[number].counts = true;
    out->stores.push_back({number, {}, true, options_.cores});
  }
  if (!options_.blank && even_once_.size() + 1 >= majority()) complete_ = true;
  Settle(now, out);
}

void Replica::Settle(double now, Effects* out) {
  if (!options_.blank && majority() == 1) complete_ = true;
  for (auto it = asked_.begin(); it != asked_.end();) {
    bool enough = it->second.even.size() + (options_.blank ? 0 : 1) >= majority();
    if (enough || now >= it->second.until) {
      out->done.push_back({it->first, enough ? Outcome::kDone : Outcome::kUnclear});
      it = asked_.erase(it);
    } else {
      ++it;
    }
  }
}

void Replica::OnTime(double now, Effects* out) {
  while (!pending_.empty() && now >= pending_.begin()->second.until) {
    uint64_t ticket = pending_.begin()->first;
    pending_.erase(pending_.begin());
    for (auto it = waiters_.begin(); it != waiters_.end();) {
      it->second.erase(ticket);
      it = it->second.empty() ? waiters_.erase(it) : std::next(it);
    }
    out->done.push_back({ticket, Outcome::kUnclear});
  }
  bool ask = now >= digests_due_;
  for (auto& [ticket, asked] : asked_) {
    if (now >= asked.again) {
      asked.again = now + 0.06;
      ask = true;
    }
  }
  if (ask) AskDigests(now, out);
  // A disk that had refused is tried again.
  if (!refused_.empty()) {
    std::vector<Item> again;
    for (const std::string& key : refused_) {
      auto it = entries_.find(key);
      if (it != entries_.end() && !it->second.synced) again.push_back(it->second.item);
    }
    refused_.clear();
    if (!again.empty()) Keep(std::move(again), {}, out);
  }
  while (puts_.size() > 4096) {  // to cores that have gone without a word
    put_marks_.erase(puts_.begin()->first);
    puts_.erase(puts_.begin());
  }
  Settle(now, out);
}

void Replica::Forget(const std::string& key) {
  auto it = entries_.find(key);
  if (it == entries_.end()) return;
  Sum(it->second);
  Synced(&it->second);
  unsafe_.erase(key);
  refused_.erase(key);
  waiters_.erase(key);
  entries_.erase(it);
}

}  // namespace ivygw::luxmore
