// Simulates up to a hundred gateways that share one counter, and checks limits over all of them.
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
// times out while it is `silent`. Virtual time; the test makes the requests.
class GatewayGroup {
 public:
  GatewayGroup(Settings s, double work_s, double count_s) : settings_(s), work_s_(work_s), count_s_(count_s) {
    for (int g = 0; g < s.gateways; ++g) {
      s.gateway = g;
      balancers_.push_back(std::make_unique<Balancer>(s, static_cast<uint64_t>(g) + 1, now, &actions_));
      std::vector<Backend> list;
      for (uint32_t i = 0; i < 20; ++i) {
        list.push_back({});
        list.back().id = i + 1;
        list.back().weight = 1;
      }
      balancers_.back()->OnList(now, ListKind::kFull, list, &actions_);
      Run(g);
    }
  }

  void MakeRequest(int gateway, uint64_t customer, double units, double entries, double left = 1.4) {
    Request r;
    r.id = ++last_;
    r.customer = customer;
    r.units = units;
    r.entries = entries;
    r.left_s = left;
    balancers_[static_cast<size_t>(gateway)]->OnRequest(now, r, &actions_);
    Run(gateway);
  }
  void RunUntil(double end) {
    while (!tasks_.empty() && tasks_.top().at <= end) {
      Task next = tasks_.top();
      tasks_.pop();
      now = next.at;
      next.task();
    }
    now = end;
  }
  void SetShare(int gateway, uint64_t customer, double share, double seconds) {
    balancers_[static_cast<size_t>(gateway)]->OnShare(now, customer, share, seconds);
  }
  void EmptyCounter() { counter_.clear(); }

  double now = 1000;
  bool silent = false;
  int in_flight = 0;  // attempts in flight of all gateways
  std::function<void(uint64_t request)> on_send = [](uint64_t) {};

 private:
  struct Task {
    double at;
    uint64_t order;
    std::function<void()> task;
    bool operator<(const Task& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  void After(double wait, std::function<void()> task) {
    tasks_.push({now + wait, ++order_, std::move(task)});
  }

  void Run(int g) {
    Balancer* b = balancers_[static_cast<size_t>(g)].get();
    for (const Action& a : std::exchange(actions_, {})) {
      if (a.kind == ActionKind::kSend) {
        int attempt = attempts_[a.request]++;
        if (attempt == 0) on_send(a.request);
        ++in_flight;
        After(work_s_, [=, this, backend = a.backend, request = a.request] {
          --in_flight;
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
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::priority_queue<Task> tasks_;
  std::map<uint64_t, double> counter_;
  std::map<uint32_t, int> attempts_;
  uint32_t last_ = 0;
  uint64_t order_ = 0;
};

// Token bucket of a customer's ceiling, charged at the first attempt of each request.
struct TokenBucket {
  double rate, burst, tokens = burst, at = 1000, least = burst;
  void Take(double now, double units) {
    tokens = std::min(burst, tokens + rate * (now - at)) - units;
    at = now;
    least = std::min(least, tokens);
  }
};

Settings CeilingSettings(int gateways) {
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

// A customer of four of a hundred gateways exceeds its ceiling while the counter is down, and goes on after
// the counter has come back empty: the outage must not leave anything to be sent beyond the ceiling
// afterwards.
TEST(ManyGateways, ACeilingHoldsThroughACountersSilenceAndItsReturn) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    GatewayGroup group(CeilingSettings(100), 0.05, 0.005);
    TokenBucket bucket{16, 66};
    Dice dice(seed);
    group.on_send = [&](uint64_t) { bucket.Take(group.now, 4); };
    double outage_from = 1010 + 5 * dice.Unit(), outage_to = outage_from + 2 + 10 * dice.Unit();
    for (double t = 1000; t < 1040; t += group.now < outage_from ? 0.6 : 0.02) {
      group.RunUntil(t);
      bool was = group.silent;
      group.silent = t > outage_from && t < outage_to;
      if (was && !group.silent) group.EmptyCounter();
      group.MakeRequest(static_cast<int>(4 * dice.Unit()), 9, 4, 4);
    }
    EXPECT_GE(bucket.least, -8) << "seed " << seed;
  }
}

// All of a customer's traffic, within its quota, moves to one gateway: the even part of the ceiling there is
// too small for it, the reserved half must cover the rest.
TEST(ManyGateways, TrafficThatMovesToOneGatewayFindsTheReservedHalf) {
  Settings s = CeilingSettings(100);
  s.plans[0].rate = 14;
  GatewayGroup group(s, 0.05, 0.005);
  int sent = 0, asked = 0;
  group.on_send = [&](uint64_t) { ++sent; };
  for (double t = 1000; t < 1060; t += 0.5) {
    group.RunUntil(t);
    if (t < 1030) {
      group.MakeRequest(static_cast<int>(2 * t) % 4, 9, 5, 4);
    } else {
      if (t == 1030) sent = 0;
      ++asked;
      group.MakeRequest(0, 9, 5, 4);  // 10 units a second; a quarter of the ceiling's rate is 4
    }
  }
  group.RunUntil(1065);
  EXPECT_GE(sent, 0.85 * asked);
}

// A customer that fills its concurrency cap asks for several times as much through all gateways while the
// counter is down. Reports of other gateways are stale then: each must estimate theirs by its own attempts.
TEST(ManyGateways, ACapIsNotPassedManyTimesInACountersSilence) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Settings s = Site();
    s.gateways = 100;
    s.count_timeout_s = 0.03;
    s.plans[0].rate = s.plans[0].burst = 0;
    s.plans[0].parallel = 7;
    s.plans[0].over_cost = 0.6;
    GatewayGroup group(s, 0.1, 0.005);
    Dice dice(seed);
    double in_silence = 0;
    int samples = 0;
    for (double t = 1000; t < 1025;
         t += group.silent ? 0.1 / 30 : 0.1 / 5) {  // 30 at once, or 5, were all admitted
      group.RunUntil(t);
      group.silent = t > 1010;
      group.MakeRequest(static_cast<int>(100 * dice.Unit()), 9, 1, 100);
      if (t > 1015) in_silence += group.in_flight, ++samples;
    }
    EXPECT_LE(in_silence / samples, 1.5 * 7) << "seed " << seed;
    EXPECT_GE(in_silence / samples, 0.5 * 7) << "the customer is not locked out either";
  }
}

Settings LentCeilingSettings() {
  Settings s = CeilingSettings(4);
  s.lend_ceilings = true;
  s.may_count = false;
  s.plans[0].rate = s.plans[0].burst = 1e6;  // the quota refuses nothing
  return s;
}

// The whole ceiling is lent to one gateway after the other: a burst must not pass once for each.
TEST(ManyGateways, ALentPartThatMovesBringsNoStoreWithIt) {
  GatewayGroup group(LentCeilingSettings(), 0.05, 0.005);
  TokenBucket bucket{16, 66};
  int sent = 0, holder = 0;
  group.on_send = [&](uint64_t) {
    bucket.Take(group.now, 2);
    ++sent;
  };
  for (double t = 1000; t < 1060; t += 0.05) {
    group.RunUntil(t);
    int next = static_cast<int>((t - 1000) / 5) % 4;
    if (next != std::exchange(holder, next)) {
      for (int g = 0; g < 4; ++g) group.SetShare(g, 9, g == next ? 1 : 0, 100);
    }
    for (int g = 0; g < 4; ++g) group.MakeRequest(g, 9, 2, 4);
  }
  EXPECT_GT(2 * sent, 0.8 * 16 * 60) << "the lent part is used: 16 units a second";
  EXPECT_GE(bucket.least, -8);
}

// A share expires on its own: its gateway may have been stopped past the end of the lease.
TEST(ManyGateways, ALentPartEndsWithItsTime) {
  GatewayGroup group(LentCeilingSettings(), 0.05, 0.005);
  int sent = 0;
  group.on_send = [&](uint64_t) { ++sent; };
  group.MakeRequest(0, 9, 1, 4);
  EXPECT_EQ(sent, 0) << "none is lent yet";
  group.SetShare(0, 9, 0.5, 3);
  group.RunUntil(1002.9);
  group.MakeRequest(0, 9, 1, 4);
  EXPECT_EQ(sent, 1);
  group.RunUntil(1003.1);
  group.MakeRequest(0, 9, 1, 4);
  EXPECT_EQ(sent, 1);
  group.SetShare(0, 9, 0.5, 3);
  group.MakeRequest(0, 9, 1, 4);
  EXPECT_EQ(sent, 1) << "tokens saved under a share expire with it";
  group.RunUntil(1005);
  group.SetShare(0, 9, 0, 3);
  group.RunUntil(1011);
  group.SetShare(0, 9, 1, 3);
  group.MakeRequest(0, 9, 1, 4);
  EXPECT_EQ(sent, 1) << "a new share does not refill for time before it";
}

}  // namespace
}  // namespace micadock
