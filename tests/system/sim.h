// A simulated network of cores: the very Replica objects, with disks that sync late, hang, refuse, lose power or are lost,
// and links that are slow, cut or reset. Seeded; no clock, no sleep. Rules are checked after each step.
#ifndef IVYGW_TESTS_SYSTEM_SIM_H_
#define IVYGW_TESTS_SYSTEM_SIM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cascade/copy.h"
#include "luxmore/replica.h"

namespace ivygw::sim {

using luxmore::Item;
using luxmore::Replica;

// Mistakes in how the parts are put together, which the rules must find.
enum class Mistake { kNone, kAckBeforeSync, kWipedVotes, kOlderAccepted, kShownBeforeSafe, kAckWithoutMajority };

class World {
 public:
  World(uint64_t seed, size_t cores, Mistake mistake = Mistake::kNone) : dice_(seed), mistake_(mistake) {
    for (size_t i = 0; i < cores; ++i) names_.insert("10.0.0." + std::to_string(i + 1));
    for (const std::string& name : names_) cores_[name];
    for (const std::string& name : names_) Start(name, true);
  }

  // What was broken first; empty while all holds.
  const std::string& broken() const { return broken_; }

  void Step() {
    if (events_.empty()) return;
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    Check();
  }
  void Until(double at) {
    while (broken_.empty() && !events_.empty() && events_.top().at <= at) Step();
    now_ = at;
  }
  double now() const { return now_; }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(dice_); }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(dice_); }
  const std::set<std::string>& names() const { return names_; }
  std::string Any() { return *std::next(names_.begin(), static_cast<std::ptrdiff_t>(Pick(names_.size()))); }
  bool up(const std::string& name) const { return cores_.at(name).replica != nullptr; }
  void At(double after, std::function<void()> run) { events_.push({now_ + after, order_++, std::move(run)}); }

  // An operator's change at one core; `done` hears kDone, kUnclear, or nothing where the core dies.
  void Write(const std::string& core, const std::string& key, uint64_t version, bool dropped = false) {
    Core& at = cores_.at(core);
    if (!at.replica) return;
    uint64_t ticket = ++last_;
    Item item{key, version, dropped, "content " + std::to_string(Pick(1000000))};
    at.tickets[ticket] = [this, item](Replica::Outcome outcome) {
      if (outcome != Replica::Outcome::kDone) return;
      ++acked;
      uint64_t& most = acked_[item.key];
      most = std::max(most, item.version);
    };
    Replica::Effects effects;
    at.replica->Write(now_, ticket, {item}, &effects);
    if (mistake_ == Mistake::kAckWithoutMajority) {
      auto then = at.tickets[ticket];
      at.tickets.erase(ticket);
      then(Replica::Outcome::kDone);
    }
    Run(core, std::move(effects));
  }
  // A read of the whole: whatever was acknowledged before it was asked must be in it.
  void Read(const std::string& core) {
    Core& at = cores_.at(core);
    if (!at.replica) return;
    uint64_t ticket = ++last_;
    auto before = acked_;
    at.tickets[ticket] = [this, before, core](Replica::Outcome outcome) {
      if (outcome != Replica::Outcome::kDone) return;
      ++reads;
      for (const auto& [key, version] : before) {
        auto it = cores_.at(core).replica->entries().find(key);
        if (it == cores_.at(core).replica->entries().end() || it->second.item.version < version) Broken("a read at " + core + " misses " + key);
      }
    };
    Replica::Effects effects;
    at.replica->Fresh(now_, ticket, &effects);
    Run(core, std::move(effects));
  }

  // `power`: what the disk has not synced is gone. `wiped`: all of it is.
  void Kill(const std::string& core, bool power, bool wiped) {
    Core& at = cores_.at(core);
    at.replica.reset();
    ++at.life;
    at.tickets.clear();
    if (wiped) {
      at.disk = Disk();
      at.wiped = true;
    } else if (!power) {
      for (auto& [batch, items] : at.disk.waiting) Apply(&at.disk, items);
    }
    at.disk.waiting.clear();
    for (const std::string& other : names_) Unlink(core, other);
  }
  void Start(const std::string& core, bool first) {
    Core& at = cores_[core];
    luxmore::ReplicaOptions options;
    options.self = core;
    options.cores = names_;
    options.life = ++lives_;
    options.blank = !first && !at.disk.counts && mistake_ != Mistake::kWipedVotes;
    std::vector<Item> items;
    for (const auto& [key, item] : at.disk.items) items.push_back(item);
    at.replica = std::make_unique<Replica>(options, std::move(items));
    // One that votes without its disk says that it counts, and is held to it.
    if (first || mistake_ == Mistake::kWipedVotes) at.disk.counts = true;
    at.wiped = false;
    uint64_t life = at.life;
    for (const std::string& other : names_) {
      if (other != core && up(other) && !cut_.count({core, other})) Link(core, other);
    }
    Tick(core, life);
  }
  bool blank(const std::string& core) const { return up(core) && cores_.at(core).replica->blank(); }
  bool complete(const std::string& core) const { return up(core) && cores_.at(core).replica->complete(); }
  void Cut(const std::string& a, const std::string& b, bool cut) {
    for (auto pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
      if (cut) {
        cut_.insert(pair);
      } else {
        cut_.erase(pair);
      }
    }
    if (cut) {
      Unlink(a, b);
    } else if (up(a) && up(b)) {
      Link(a, b);
    }
  }
  void Hang(const std::string& core, double for_s) { cores_.at(core).disk.hangs_until = now_ + for_s; }
  void Refuse(const std::string& core, bool refuses) { cores_.at(core).disk.refuses = refuses; }
  bool refuses(const std::string& core) const { return cores_.at(core).disk.refuses; }

  // All that stand hold the same, on disk, safe.
  bool Even() const {
    std::optional<std::map<std::string, Item>> first;
    for (const auto& [name, core] : cores_) {
      if (!core.replica) return false;
      std::map<std::string, Item> all;
      for (const auto& [key, entry] : core.replica->entries()) {
        if (!entry.synced || !entry.safe) return false;
        all[key] = entry.item;
      }
      if (!first) first = all;
      if (*first != all || core.disk.items != all) return false;
    }
    return true;
  }
  size_t acked = 0, reads = 0, shown = 0;

 private:
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Disk {
    std::map<std::string, Item> items;  // synced
    std::map<uint64_t, std::vector<Item>> waiting;
    bool counts = false, refuses = false;
    double hangs_until = 0, free_at = 0;
  };
  struct Core {
    std::unique_ptr<Replica> replica;
    Disk disk;
    uint64_t life = 0;
    bool wiped = false;
    std::map<uint64_t, std::function<void(Replica::Outcome)>> tickets;
  };

  void Broken(const std::string& what) {
    if (broken_.empty()) broken_ = "at " + std::to_string(now_) + ": " + what;
  }
  static void Apply(Disk* disk, const std::vector<Item>& items) {
    for (const Item& item : items) {
      auto it = disk->items.find(item.key);
      if (it == disk->items.end() || luxmore::Newer(item, it->second)) disk->items[item.key] = item;
    }
  }
  void Tick(const std::string& core, uint64_t life) {
    At(0.05, [this, core, life] {
      Core& at = cores_.at(core);
      if (!at.replica || at.life != life) return;
      Replica::Effects effects;
      at.replica->OnTime(now_, &effects);
      Run(core, std::move(effects));
      Tick(core, life);
    });
  }
  void Link(const std::string& a, const std::string& b) {
    for (auto [from, to] : {std::make_pair(a, b), std::make_pair(b, a)}) {
      ++links_[{from, to}];
      Replica::Effects effects;
      cores_.at(from).replica->OnPeer(now_, to, true, &effects);
      Run(from, std::move(effects));
    }
  }
  void Unlink(const std::string& a, const std::string& b) {
    for (auto [from, to] : {std::make_pair(a, b), std::make_pair(b, a)}) {
      ++links_[{from, to}];
      if (!up(from) || from == to) continue;
      Replica::Effects effects;
      cores_.at(from).replica->OnPeer(now_, to, false, &effects);
      Run(from, std::move(effects));
    }
  }
  void Run(const std::string& name, Replica::Effects effects) {
    Core& core = cores_.at(name);
    for (auto& [to, message] : effects.sends) {
      uint64_t link = links_[{name, to}];
      // One after the other on each link.
      double& free = link_free_[{name, to}];
      free = std::max(free, now_ + 0.0005 + 0.004 * Chance() * Chance());
      At(free - now_, [this, from = name, to = to, link, message = message] {
        if (!up(to) || links_[{from, to}] != link || cut_.count({from, to})) return;
        Replica::Effects more;
        cores_.at(to).replica->OnMessage(now_, from, message, &more);
        Run(to, std::move(more));
      });
    }
    for (auto& store : effects.stores) {
      core.disk.waiting[store.batch] = store.items;
      double sync = std::max({core.disk.free_at, core.disk.hangs_until, now_}) + 0.002 + 0.004 * Chance();
      core.disk.free_at = sync;
      auto tell = [this, name, life = core.life, batch = store.batch](bool ok) {
        Core& at = cores_.at(name);
        if (!at.replica || at.life != life) return;
        Replica::Effects more;
        at.replica->OnStored(now_, batch, ok, &more);
        Run(name, std::move(more));
      };
      if (mistake_ == Mistake::kAckBeforeSync) At(0, [tell] { tell(true); });
      At(sync - now_, [this, name, life = core.life, store, tell] {
        Core& at = cores_.at(name);
        if (at.life != life) return;
        at.disk.waiting.erase(store.batch);
        bool ok = !at.disk.refuses;
        if (ok) Apply(&at.disk, store.items);
        if (ok && store.counts) at.disk.counts = true;
        if (mistake_ != Mistake::kAckBeforeSync) tell(ok);
      });
    }
    const auto& news = mistake_ == Mistake::kShownBeforeSafe ? effects.applied : effects.safe;
    for (const std::string& key : news) {
      const Item& item = core.replica->entries().at(key).item;
      Item& seen = shown_[key];
      if (seen.key.empty() || luxmore::Newer(item, seen) || mistake_ == Mistake::kOlderAccepted) {
        if (!seen.key.empty() && luxmore::Newer(seen, item)) Broken("a gateway goes back on " + key);
        seen = item;
        ++shown;
      }
    }
    for (auto& [ticket, outcome] : effects.done) {
      auto it = core.tickets.find(ticket);
      if (it == core.tickets.end()) continue;
      auto then = std::move(it->second);
      core.tickets.erase(it);
      then(outcome);
    }
  }

  // Of what was acknowledged or shown, a copy (or what supersedes it) stands on some disk, and on two where no disk has been
  // lost that isn't whole again.
  void Check() {
    size_t need = names_.size() / 2 + 1;
    for (const auto& [name, core] : cores_) {
      if (!core.disk.counts && need > 1) --need;
    }
    auto held = [&](const std::string& key, uint64_t version) {
      size_t n = 0;
      for (const auto& [name, core] : cores_) {
        auto it = core.disk.items.find(key);
        if (it != core.disk.items.end() && it->second.version >= version) ++n;
      }
      return n;
    };
    for (const auto& [key, version] : acked_) {
      if (held(key, version) < need) return Broken("acknowledged, and on too few disks: " + key);
    }
    for (const auto& [key, item] : shown_) {
      if (held(key, item.version) < need) return Broken("shown, and on too few disks: " + key);
    }
  }

  std::mt19937_64 dice_;
  const Mistake mistake_;
  std::set<std::string> names_;
  std::map<std::string, Core> cores_;
  std::map<std::pair<std::string, std::string>, uint64_t> links_;
  std::map<std::pair<std::string, std::string>, double> link_free_;
  std::set<std::pair<std::string, std::string>> cut_;
  std::priority_queue<Event> events_;
  std::map<std::string, uint64_t> acked_;
  std::map<std::string, Item> shown_;
  double now_ = 0;
  uint64_t order_ = 0, last_ = 0;
  uint32_t lives_ = 0;
  std::string broken_;
};

}  // namespace ivygw::sim

#endif  // IVYGW_TESTS_SYSTEM_SIM_H_
