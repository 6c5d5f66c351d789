// A hundred decision modules round one counter: what each does alone, and what comes of it in the sum.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "base/dice.h"
#include "rig/policy_site.h"

namespace micadock {
namespace {

// Gateways, backends that answer each attempt after `work_s`, and a counter that answers after `count_s`, or
// not while it is `silent`. Virtual time; requests come as the test asks for them.
class Many {
 public:
  Many(Settings s, double work_s, double count_s) : settings_(s), work_s_(work_s), count_s_(count_s) {
    for (int g = 0; g < s.gateways; ++g) {
      s.gateway = g;
      all_.push_back(std::make_unique<Balancer>(s, static_cast<uint64_t>(g) + 1, now, &actions_));
      std::vector<Backend> list;
      for (uint32_t i = 0; i < 20; ++i) {
        list.push_back({});
        list.back().id = i + 1;
        list.back().weight = 1;
      }
      all_.back()->OnList(now, ListKind::kFull, list, &actions_);
      Run(g);
    }
  }

  void Ask(int gateway, uint64_t customer, double units, double entries, double left = 1.4) {
    Request r;
    r.id = ++last_;
    r.customer = customer;
    r.units = units;
    r.entries = entries;
    r.left_s = left;
    all_[static_cast<size_t>(gateway)]->OnRequest(now, r, &actions_);
    Run(gateway);
  }
  void Until(double end) {
    while (!due_.empty() && due_.top().at <= end) {
      Due due = due_.top();
      due_.pop();
      now = due.at;
      due.task();
    }
    now = end;
  }
  void Share(int gateway, uint64_t customer, double share, double seconds) {
    all_[static_cast<size_t>(gateway)]->OnShare(now, customer, share, seconds);
  }
  void EmptyCounter() { counter_.clear(); }

  double now = 1000;
  bool silent = false;
  int out = 0;  // attempts, of all
  std::function<void(uint64_t request)> on_send = [](uint64_t) {};

 private:
  struct Due {
    double at;
    uint64_t order;
    std::function<void()> task;
    bool operator<(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  void After(double wait, std::function<void()> task) { due_.push({now + wait, ++order_, std::move(task)}); }

  void Run(int g) {
    Balancer* b = all_[static_cast<size_t>(g)].get();
    for (const Action& a : std::exchange(actions_, {})) {
      if (a.kind == ActionKind::kSend) {
        int attempt = attempts_[a.request]++;
        if (attempt == 0) on_send(a.request);
        ++out;
        After(work_s_, [=, this, backend = a.backend, request = a.request] {
          --out;
          Outcome o;
          o.request = request;
          o.attempt = attempt;
          o.took_s = work_s_;
          o.finished = true;
          o.backend = backend;
          b->OnOutcome(now, o, &actions_);
          Run(g);
        });
      } else if (a.kind == ActionKind::kTimer) {
        After(a.seconds, [=, this, tag = a.tag] {
          b->OnTimer(now, tag, &actions_);
          Run(g);
        });
      } else if (a.kind == ActionKind::kCount) {
        bool lost = silent;
        if (!lost) counter_[a.tag] += a.amount;
        After(lost ? settings_.count_timeout_s : count_s_, [=, this, tag = a.tag, total = counter_[a.tag]] {
          b->OnCount(now, {tag, total, lost ? Result::kTimeout : Result::kOk}, &actions_);
          Run(g);
        });
      }
    }
  }

  const Settings settings_;
  const double work_s_, count_s_;
  Actions actions_;
  std::vector<std::unique_ptr<Balancer>> all_;
  std::priority_queue<Due> due_;
  std::map<uint64_t, double> counter_;
  std::map<uint32_t, int> attempts_;
  uint32_t last_ = 0;
  uint64_t order_ = 0;
};

// The fifth rule's store of one customer, by what is first sent on.
struct Store {
  double rate, burst, holds = burst, at = 1000, least = burst;
  void Take(double now, double units) {
    holds = std::min(burst, holds + rate * (now - at)) - units;
    at = now;
    least = std::min(least, holds);
  }
};

Settings Ceiled(int gateways) {
  Settings s = Site();
  s.gateways = gateways;
  s.max_units = 8;
  s.count_timeout_s = 0.03;
  PlanSettings& p = s.plans[0];
  p.rate = 8;
  p.burst = 32;
  p.over_cost = 0.8;
  p.ceiling_rate = 16;
  p.ceiling_burst = 66;
  p.ceiling_slack = 8;
  return s;
}

// A modest customer through four of a hundred gateways floods while the counter is silent, and goes on after
// it has come back with nothing in it: what the ceiling has lost in the silence nobody may owe it on the
// counter's return.
TEST(ManyGateways, ACeilingHoldsThroughACountersSilenceAndItsReturn) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Many many(Ceiled(100), 0.05, 0.005);
    Store store{16, 66};
    Dice dice(seed);
    many.on_send = [&](uint64_t) { store.Take(many.now, 4); };
    double quiet_from = 1010 + 5 * dice.Unit(), quiet_to = quiet_from + 2 + 10 * dice.Unit();
    for (double t = 1000; t < 1040; t += many.now < quiet_from ? 0.6 : 0.02) {
      many.Until(t);
      bool was = many.silent;
      many.silent = t > quiet_from && t < quiet_to;
      if (was && !many.silent) many.EmptyCounter();
      many.Ask(static_cast<int>(4 * dice.Unit()), 9, 4, 4);
    }
    EXPECT_GE(store.least, -8) << "seed " << seed;
  }
}

// All of a customer's traffic moves to one of its gateways, inside its quota: the reserved half is there for
// it, the even part would not do.
TEST(ManyGateways, TrafficThatMovesToOneGatewayFindsTheReservedHalf) {
  Settings s = Ceiled(100);
  s.plans[0].rate = 14;
  Many many(s, 0.05, 0.005);
  int sent = 0, asked = 0;
  many.on_send = [&](uint64_t) { ++sent; };
  for (double t = 1000; t < 1060; t += 0.5) {
    many.Until(t);
    if (t < 1030) {
      many.Ask(static_cast<int>(2 * t) % 4, 9, 5, 4);
    } else {
      if (t == 1030) sent = 0;
      ++asked;
      many.Ask(0, 9, 5, 4);  // 10 units a second; a quarter of the ceiling's rate is 4
    }
  }
  many.Until(1065);
  EXPECT_GE(sent, 0.85 * asked);
}

// A customer with a cap on attempts out, which it fills, asks for four times as much through all gateways
// when the counter has fallen silent: what was told of others is of no use, and own attempts stand for
// theirs.
TEST(ManyGateways, ACapIsNotPassedManyTimesInACountersSilence) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Settings s = Site();
    s.gateways = 100;
    s.count_timeout_s = 0.03;
    s.plans[0].rate = s.plans[0].burst = 0;
    s.plans[0].parallel = 7;
    s.plans[0].over_cost = 0.6;
    Many many(s, 0.1, 0.005);
    Dice dice(seed);
    double in_silence = 0;
    int samples = 0;
    for (double t = 1000; t < 1025;
         t += many.silent ? 0.1 / 30 : 0.1 / 5) {  // so many at once, were all let in
      many.Until(t);
      many.silent = t > 1010;
      many.Ask(static_cast<int>(100 * dice.Unit()), 9, 1, 100);
      if (t > 1015) in_silence += many.out, ++samples;
    }
    EXPECT_LE(in_silence / samples, 1.5 * 7) << "seed " << seed;
    EXPECT_GE(in_silence / samples, 0.5 * 7) << "it is not shut out either";
  }
}

Settings Lent() {
  Settings s = Ceiled(4);
  s.lend_ceilings = true;
  s.may_count = false;
  s.plans[0].rate = s.plans[0].burst = 1e6;  // the quota refuses nothing
  return s;
}

// The whole ceiling is lent now to one gateway, now to another, each as soon as the one before has it no
// more: a burst must not pass once for each.
TEST(ManyGateways, ALentPartThatMovesBringsNoStoreWithIt) {
  Many many(Lent(), 0.05, 0.005);
  Store store{16, 66};
  int sent = 0, holder = 0;
  many.on_send = [&](uint64_t) {
    store.Take(many.now, 2);
    ++sent;
  };
  for (double t = 1000; t < 1060; t += 0.05) {
    many.Until(t);
    int next = static_cast<int>((t - 1000) / 5) % 4;
    if (next != std::exchange(holder, next)) {
      for (int g = 0; g < 4; ++g) many.Share(g, 9, g == next ? 1 : 0, 100);
    }
    for (int g = 0; g < 4; ++g) many.Ask(g, 9, 2, 4);
  }
  EXPECT_GT(2 * sent, 0.8 * 16 * 60) << "and what is lent is used: 16 units a second";
  EXPECT_GE(store.least, -8);
}

// A share ends with its time, also where nobody says so: its gateway may have been stopped past the lease.
TEST(ManyGateways, ALentPartEndsWithItsTime) {
  Many many(Lent(), 0.05, 0.005);
  int sent = 0;
  many.on_send = [&](uint64_t) { ++sent; };
  many.Ask(0, 9, 1, 4);
  EXPECT_EQ(sent, 0) << "none is lent yet";
  many.Share(0, 9, 0.5, 3);
  many.Until(1002.9);
  many.Ask(0, 9, 1, 4);
  EXPECT_EQ(sent, 1);
  many.Until(1003.1);
  many.Ask(0, 9, 1, 4);
  EXPECT_EQ(sent, 1);
  many.Share(0, 9, 0.5, 3);
  many.Ask(0, 9, 1, 4);
  EXPECT_EQ(sent, 1) << "what it had saved is gone with the share";
  many.Until(1005);
  many.Share(0, 9, 0, 3);
  many.Until(1011);
  many.Share(0, 9, 1, 3);
  many.Ask(0, 9, 1, 4);
  EXPECT_EQ(sent, 1) << "the time before it is no time of the new share's";
}

}  // namespace
}  // namespace micadock
