// Orders of steps of three memberships round one engine: two processes of one name, a third that prefers the
// same slot; each pauses anywhere, an answer is lost, leases end, and the engine loses its newest write once.
// Time goes on in thirds of a lease, for so many; within it every order is gone through.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "membership/membership.h"
#include "shared/memory_store.h"

namespace ivygw::membership {
namespace {

constexpr double kLease = 3, kTick = kLease / 3;

struct Under {
  Ask ask;
  std::optional<shared::Reply> reply;
};

struct State3 {
  State3() {
    for (int i = 0; i < 3; ++i) {
      Options o;
      o.lease_s = kLease;
      o.hold_s = 0;
      Member self;
      self.name = i == 2 ? "n2" : "n1";
      self.boot = "b" + std::to_string(i);
      members.emplace_back(o, self, [] { return 0.5; });
      calls.emplace_back();
    }
  }
  void Take(int i, Asks asks) {
    for (Ask& a : asks) calls[static_cast<size_t>(i)].push_back({std::move(a), std::nullopt});
  }
  bool Wake(int i) {
    Membership& m = members[static_cast<size_t>(i)];
    if (m.NextDue() > now) return false;
    Asks asks;
    m.OnTime(now, &asks);
    if (asks.empty()) return false;
    Take(i, std::move(asks));
    return true;
  }
  bool Execute(int i) {
    for (Under& u : calls[static_cast<size_t>(i)]) {
      if (u.reply) continue;
      shared::MemoryStore old = store;
      u.reply = store.Take(u.ask.call, now);
      if (store.revision() != old.revision()) before = old;
      return true;
    }
    return false;
  }
  bool Deliver(int i, bool lose) {
    auto& c = calls[static_cast<size_t>(i)];
    if (c.empty() || !c.front().reply) return false;
    Under u = std::move(c.front());
    c.pop_front();
    if (lose) return true;
    Asks asks;
    members[static_cast<size_t>(i)].OnReply(now, u.ask.number, *u.reply, &asks);
    Take(i, std::move(asks));
    return true;
  }
  std::string Text() {
    std::string text =
        std::to_string(losses) + std::to_string(fail_overs) + "," + std::to_string(ticks) + ";";
    for (size_t i = 0; i < 3; ++i) {
      text += members[i].Fingerprint(now) + "#";
      for (Under& u : calls[i]) {
        text += "c" + std::to_string(static_cast<int>(u.ask.call.kind));
        for (auto& c : u.ask.call.batch.conditions) text += c.key + std::to_string(c.version) + ",";
        if (u.reply)
          text += "r" + std::to_string(static_cast<int>(u.reply->outcome)) + "@" +
                  std::to_string(u.reply->revision) + "/" + std::to_string(u.reply->entries.size());
      }
    }
    for (auto& e : store.Take(shared::Range(""), now).entries) {
      text += e.key + std::to_string(e.version) + "l" +
              std::to_string(std::lround(e.lease_left_s.value_or(0) * 10)) + ";";
    }
    return text;
  }
  double now = 100;
  int losses = 1, fail_overs = 0, ticks = 0;
  shared::MemoryStore store{"g"};
  std::optional<shared::MemoryStore> before;
  std::vector<Membership> members;
  std::vector<std::deque<Under>> calls;
};

struct Found {
  size_t states = 0, sure = 0, two_names = 0, two_slots = 0, two_fences = 0;
};

class Search {
 public:
  Search(int fail_overs, int ticks, size_t most) : ticks_(ticks), most_(most) {
    State3 first;
    first.fail_overs = fail_overs;
    Visit(first);
  }
  Found found;

 private:
  void Visit(State3& s) {
    if (found.states >= most_ || !seen_.insert(std::hash<std::string>()(s.Text())).second) return;
    ++found.states;
    for (size_t i = 0; i < 3; ++i) {
      if (!s.members[i].Sure(s.now)) continue;
      ++found.sure;
      for (size_t j = i + 1; j < 3; ++j) {
        if (!s.members[j].Sure(s.now)) continue;
        found.two_names += s.members[i].self().name == s.members[j].self().name;
        found.two_slots += s.members[i].self().slot == s.members[j].self().slot;
        found.two_fences += s.members[i].fence() == s.members[j].fence();
      }
    }
    auto with = [&](auto step) {
      State3 next(s);
      if (step(next)) Visit(next);
    };
    for (int i = 0; i < 3; ++i) {
      with([i](State3& n) { return n.Wake(i); });
      with([i](State3& n) { return n.Execute(i); });
      with([i](State3& n) { return n.Deliver(i, false); });
      if (s.losses > 0) with([i](State3& n) { return --n.losses, n.Deliver(i, true); });
    }
    if (s.ticks < ticks_) with([](State3& n) { return n.now += kTick, ++n.ticks, true; });
    if (s.fail_overs > 0 && s.before) {
      with([](State3& n) {
        --n.fail_overs;
        n.store = *n.before;
        n.before.reset();
        return true;
      });
    }
  }
  const int ticks_;
  const size_t most_;
  std::unordered_set<size_t> seen_;
};

// In CI; IVYGW_SEARCH_STATES asks for more.
size_t Most() {
  const char* more = std::getenv("IVYGW_SEARCH_STATES");
  return more != nullptr ? std::strtoull(more, nullptr, 10) : 60000;
}

void Print(const char* what, const Found& f, size_t most) {
  std::printf("%s: %zu states%s, a sure member in %zu\n", what, f.states,
              f.states >= most ? " (cut there)" : ", all of them", f.sure);
}

TEST(Search, NoTwoThatAreSureShareANameASlotOrAFence) {
  Search search(0, 4, Most());
  const Found& f = search.found;
  Print("three members, one answer lost", f, Most());
  EXPECT_GT(f.sure, 1000u);
  EXPECT_EQ(f.two_names, 0u);
  EXPECT_EQ(f.two_slots, 0u);
  EXPECT_EQ(f.two_fences, 0u);
}

// A lost write gives a place to two for a time: each is sure by a lease that the engine granted. Their fences
// differ.
TEST(Search, AnEngineThatLosesAWriteGivesNoFenceTwice) {
  Search search(1, 4, Most());
  const Found& f = search.found;
  Print("the same, one write lost", f, Most());
  EXPECT_EQ(f.two_fences, 0u);
}

}  // namespace
}  // namespace ivygw::membership
