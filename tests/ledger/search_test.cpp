// Every order of steps of one work: an owner that may pause anywhere, two gateways to which its client comes
// back, calls whose answers are lost, a lease that ends, and, in a search of its own, an engine that loses a
// write it had acknowledged.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>
#include <unordered_set>

#include "ledger/works_rig.h"

namespace ivygw::ledger {
namespace {

struct State : WorksRig {
  // Nothing ends by time alone: the lease does where the search says so.
  explicit State(Effect effect) : WorksRig(3, effect, 1e5, 1e4, 1e6) {}
  bool asked[3] = {true, false, false};
  int losses = 1, not_run = 0, fail_overs = 0;
  bool lease_over = false, came_back = false;
  std::optional<shared::MemoryStore> before;  // the engine's entries before its last write

  std::string Text() {
    std::string text = std::to_string(asked[1]) + std::to_string(asked[2]) + std::to_string(losses) +
                       std::to_string(not_run) + std::to_string(fail_overs) + std::to_string(lease_over) +
                       std::to_string(came_back) + "/" + std::to_string(sent) + "," +
                       std::to_string(may_have_run) + "," + std::to_string(effects) + ";";
    for (auto& g : gateways) {
      text += g->book->Fingerprint() + "@" + std::to_string(g->slot) + (now < g->sure_until ? "s" : "-");
      for (auto& u : g->calls) {
        text += "c" + std::to_string(static_cast<int>(u.ask.call.kind)) + u.ask.call.key;
        for (auto& c : u.ask.call.batch.conditions) text += c.key + "@" + std::to_string(c.version) + ",";
        for (auto& c : u.ask.call.batch.changes)
          text += c.key + "=" + (c.value ? Told({c.key, *c.value, 0, {}}) : "-") + ",";
        if (u.reply) {
          text += "r" + std::to_string(static_cast<int>(u.reply->outcome)) + "@" +
                  std::to_string(u.reply->revision);
          for (auto& e : u.reply->entries) text += Told(e);
        }
      }
      for (auto& s : g->sends) text += "S" + std::to_string(s.request) + (s.out ? "o" : "-");
      for (auto& a : g->answers) text += "A" + std::to_string(a.client) + std::to_string(a.status) + a.body;
      for (auto& [c, a] : g->waiting) text += "W" + std::to_string(c) + std::to_string(a.status);
      for (auto& [c, q] : g->requests) text += "q" + std::to_string(c) + ":" + std::to_string(q);
    }
    for (auto& e : store.Take(shared::Range(""), now).entries) text += e.key + "=" + Told(e) + ";";
    return Renamed(text);
  }
  // Versions are compared and no more: each is named by the order in which it is met.
  static std::string Renamed(const std::string& text) {
    std::map<std::string, size_t> names;
    std::string out;
    for (size_t i = 0; i < text.size();) {
      out += text[i];
      if (text[i++] != '@') continue;
      size_t end = i;
      while (end < text.size() && std::isdigit(static_cast<unsigned char>(text[end]))) ++end;
      std::string version = text.substr(i, end - i);
      out +=
          version == "0" ? "0" : std::to_string(names.try_emplace(version, names.size() + 1).first->second);
      i = end;
    }
    return out;
  }
  static std::string Told(const shared::Entry& e) {
    auto record = Read(e.value);
    return (record ? Outline(*record) : e.value) + "@" + std::to_string(e.version);
  }
};

struct Found {
  size_t states = 0, ends = 0, second_sends = 0, two_answers = 0, late_sends = 0, unlike = 0;
};

class Search {
 public:
  Search(Effect effect, int fail_overs, size_t most = kMost) : most_(most), effect_(effect) {
    State first(effect);
    first.fail_overs = fail_overs;
    first.AskAt(0, 1);
    Visit(first);
  }
  Found found;
  static constexpr size_t kMost = 300000;

 private:
  void Visit(State& s) {
    if (found.states >= most_ || !seen_.insert(std::hash<std::string>()(s.Text())).second) return;
    ++found.states;
    if (s.may_have_run > 1) ++found.second_sends;
    size_t answers = 0;
    for (auto& g : s.gateways) {
      std::set<uint64_t> clients;
      for (auto& a : g->answers) found.two_answers += !clients.insert(a.client).second;
      answers += clients.size();
      for (auto& h : s.gateways) {
        for (auto& a : g->answers) {
          for (auto& b : h->answers) found.unlike += a.status == 200 && b.status == 200 && a.body != b.body;
        }
      }
    }
    found.ends += answers == 3;
    auto with = [&](auto step) {
      State next(s);
      if (step(next)) Visit(next);
    };
    // First, so that a search that is cut has met it early and late.
    if (s.fail_overs > 0 && s.before) {
      with([](State& n) {
        --n.fail_overs;
        n.store = *n.before;
        n.before.reset();
        return true;
      });
    }
    // The owner pauses anywhere: its call at the engine, its answer's way back and its bytes are steps of
    // their own. Of the others a call and its answer are one step, or the answer is lost.
    for (int i = 0; i < 3; ++i) {
      auto execute = [i](State& n) {
        shared::MemoryStore before = n.store;
        if (!n.Execute(i)) return false;
        if (n.store.revision() != before.revision()) n.before = before;
        return true;
      };
      if (i == 0) {
        with(execute);
        with([](State& n) { return n.Deliver(0); });
        if (s.losses > 0) with([](State& n) { return --n.losses, n.Deliver(0, true); });
      } else {
        with([&](State& n) { return execute(n) && n.Deliver(i); });
      }
      with([i](State& n) { return n.Go(i, 0); });
      with([i](State& n) { return n.Outcome(i, 0, true); });
      if (s.not_run > 0 && i == 0) with([i](State& n) { return --n.not_run, n.Outcome(i, 0, false); });
      // Time goes on where nothing else can come: an answer was lost, or another's outcome is waited for.
      if (s.gateways[static_cast<size_t>(i)]->calls.empty()) {
        with([i](State& n) {
          double due = n.At(i).book->NextDue();
          if (due > n.now + 1) return false;
          n.now = std::max(n.now, due) + 0.01;
          n.Tick(i);
          return true;
        });
      }
    }
    for (int i : {1, 2}) {
      if (s.asked[i]) continue;
      with([i](State& n) {
        n.asked[i] = true;
        n.AskAt(i, static_cast<uint64_t>(1 + i));
        return true;
      });
    }
    if (!s.lease_over) {
      with([](State& n) {
        n.lease_over = true;
        n.now += n.lease_s + 0.01;
        n.Place(1), n.Place(2);
        return true;
      });
    } else if (!s.came_back) {
      with([](State& n) {
        n.came_back = true;
        n.Place(0);
        return true;
      });
    }
  }
  const size_t most_;
  const Effect effect_;
  std::unordered_set<size_t> seen_;
};

TEST(Search, UnsafeWorkIsSentOnceInEveryOrder) {
  Search search(Effect::kUnsafe, 0);
  const Found& f = search.found;
  std::printf("unsafe: %zu states, %zu with all answered, more than one that may have run in %zu\n", f.states,
              f.ends, f.second_sends);
  EXPECT_GT(f.states, 5000u);
  EXPECT_LT(f.states, Search::kMost) << "all of them";
  EXPECT_GT(f.ends, 100u);
  EXPECT_EQ(f.second_sends, 0u);
  EXPECT_EQ(f.two_answers, 0u);
  EXPECT_EQ(f.unlike, 0u) << "two clients were told of two effects";
}

TEST(Search, KeyedWorkGivesEachClientOneAnswer) {
  Search search(Effect::kKeyed, 0);
  const Found& f = search.found;
  std::printf("keyed: %zu states, %zu with all answered; sent again within its group in %zu\n", f.states,
              f.ends, f.second_sends);
  EXPECT_GT(f.states, 5000u);
  EXPECT_LT(f.states, Search::kMost) << "all of them";
  EXPECT_EQ(f.two_answers, 0u);
  EXPECT_GT(f.second_sends, 0u) << "the search must come to what the group's memory is for";
}

// What one lost write costs: unsafe work may run twice then, which no ledger over such an engine can prevent.
TEST(Search, AnEngineThatLosesAnAcknowledgedWriteIsToldOfInTheDocuments) {
  Search search(Effect::kUnsafe, 1, 30000);
  const Found& f = search.found;
  std::printf("unsafe, one acknowledged write lost: %zu states, more than one that may have run in %zu\n",
              f.states, f.second_sends);
  EXPECT_GT(f.second_sends, 0u) << "the promise would be wider than it is written";
  EXPECT_EQ(f.two_answers, 0u);
}

}  // namespace
}  // namespace ivygw::ledger
