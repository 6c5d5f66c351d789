#include "shared/memory_store.h"

#include <algorithm>

namespace ivygw::shared {
namespace {
constexpr size_t kMostRemoved = 10000;
}

void MemoryStore::Remove(std::map<std::string, Stored>::iterator it) {
  if (it->second.until) leases_.erase({*it->second.until, it->first});
  Space& space = spaces_[SpaceOf(it->first)];
  space.written.erase(it->second.version);
  space.removed[revision_] = it->first;
  entries_.erase(it);
  while (space.removed.size() > kMostRemoved) {
    space.forgotten = space.removed.begin()->first;
    space.removed.erase(space.removed.begin());
  }
}

// Each end of a lease is a change of its own.
void MemoryStore::Expire(double now) {
  while (!leases_.empty() && leases_.begin()->first <= now) {
    ++revision_;
    Remove(entries_.find(leases_.begin()->second));
  }
}

Entry MemoryStore::Told(const std::string& key, const Stored& s, double now) const {
  Entry e{key, s.value, s.version, std::nullopt};
  if (s.until) e.lease_left_s = *s.until - now;
  return e;
}

Reply MemoryStore::Answer() const {
  Reply reply;
  reply.outcome = Outcome::kDone;
  reply.fault = Fault::kNone;
  reply.generation = generation_;
  reply.revision = revision_;
  return reply;
}

Reply MemoryStore::Take(const Call& call, double now) {
  if (std::string why = call.Unsound(); !why.empty()) return NotDone(Fault::kBad, why);
  Expire(now);
  Reply reply = Answer();
  if (call.kind == CallKind::kGet) {
    auto it = entries_.find(call.key);
    if (it != entries_.end()) reply.entries.push_back(Told(it->first, it->second, now));
  } else if (call.kind == CallKind::kRange) {
    for (auto it = entries_.lower_bound(call.key);
         it != entries_.end() && it->first.compare(0, call.key.size(), call.key) == 0; ++it) {
      if (reply.entries.size() >= kMostEntries) return NotDone(Fault::kBad, "range: over 20000 entries");
      reply.entries.push_back(Told(it->first, it->second, now));
    }
  } else if (call.kind == CallKind::kChanges) {
    const Space& space = spaces_[call.key];
    reply.whole = call.since >= space.forgotten && call.since <= revision_;
    for (auto it = space.written.upper_bound(call.since); it != space.written.end() && reply.whole; ++it) {
      reply.entries.push_back(Told(it->second, entries_.at(it->second), now));
    }
    for (auto it = space.removed.upper_bound(call.since); it != space.removed.end() && reply.whole; ++it) {
      if (entries_.count(it->second) == 0) reply.gone.push_back(it->second);
    }
    std::sort(reply.gone.begin(), reply.gone.end());
    reply.gone.erase(std::unique(reply.gone.begin(), reply.gone.end()), reply.gone.end());
  } else {
    for (const Condition& c : call.batch.conditions) {
      auto it = entries_.find(c.key);
      if ((it == entries_.end() ? 0 : it->second.version) == c.version) continue;
      Reply no = NotDone(Fault::kConflict, c.key);
      no.generation = generation_;
      no.revision = revision_;
      return no;
    }
    if (call.batch.changes.empty()) return reply;
    revision_ = std::max(revision_, call.batch.at_least);
    for (const Change& c : call.batch.changes) {
      auto it = entries_.find(c.key);
      if (c.renew) {
        if (it == entries_.end()) continue;
        if (it->second.until) leases_.erase({*it->second.until, c.key});
        it->second.until = now + *c.lease_s;
        leases_.insert({*it->second.until, c.key});
        continue;
      }
      ++revision_;
      if (it != entries_.end()) Remove(it);
      if (!c.value) continue;
      Stored s{*c.value, revision_, std::nullopt};
      if (c.lease_s) {
        s.until = now + *c.lease_s;
        leases_.insert({*s.until, c.key});
      }
      spaces_[SpaceOf(c.key)].written[revision_] = c.key;
      entries_[c.key] = std::move(s);
    }
    reply.revision = revision_;
  }
  return reply;
}

}  // namespace ivygw::shared
