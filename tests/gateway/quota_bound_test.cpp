// The stated bound on a quota's excess: worked by hand, and by a flood that comes near it.
#include "gateway/quota_bound.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "rig/quota_gateway.h"

namespace ivygw {
namespace {

using namespace micadock;  // NOLINT

QuotaBound Bound(int gateways) {
  Settings s = QuotaSite(gateways);
  return BoundOf(s, s.plans[0], gateways);
}

TEST(QuotaBound, IsWorkedFromTheSettings) {
  EXPECT_DOUBLE_EQ(Bound(3).Whatever(10),
                   2 * (8 + 40) + 3 * 8);                   // two further stores, one each at a window's end
  EXPECT_NEAR(Bound(3).Silent(60), 80 + 1.44 + 120, 1e-9);  // stores and old shares, notice, half of the rate
  EXPECT_NEAR(Bound(3).Frozen(60) - Bound(3).Silent(60), 24, 1e-9);
  EXPECT_DOUBLE_EQ(Bound(3).Whatever(10, 2) - Bound(3).Whatever(10), 2 * 2 * kBurst);
  EXPECT_DOUBLE_EQ(Bound(3).Silent(10, 2) - Bound(3).Silent(10), 2 * kBurst);
  EXPECT_EQ(Bound(1).Silent(60), 0) << "a gateway alone needs no counter";
  Settings s = QuotaSite(3);
  s.plans[0].ceiling_rate = 8;
  s.plans[0].ceiling_burst = 16;
  s.plans[0].ceiling_slack = 4;
  EXPECT_DOUBLE_EQ(BoundOf(s, s.plans[0], 3).Silent(10), 16 + 0.95 * 4 - 8 + 4 * 10);
  EXPECT_DOUBLE_EQ(BoundOf(s, s.plans[0], 3).ceiling_whatever.Over(10), 2 * 19.8 - 8 + (16 - 4) * 10)
      << "half is reserved";
  EXPECT_DOUBLE_EQ(BoundOf(s, s.plans[0], 3).ceiling_loss, 19.8 / 4);
  s.may_count = false;
  EXPECT_DOUBLE_EQ(BoundOf(s, s.plans[0], 3).Whatever(10), 16 + 0.95 * 4 - 8 + 4 * 10)
      << "nothing is: no counter can harm it";
}

// Over so many that an even part holds no request all of the ceiling is reserved at the counter: by hand,
// with a store of 19.8, 100 gateways and requests of 8 at most.
TEST(QuotaBound, OfACeilingThatIsReserved) {
  Settings s = QuotaSite(100);
  s.plans[0].ceiling_rate = 8;
  s.plans[0].ceiling_burst = 16;
  s.plans[0].ceiling_slack = 4;
  QuotaBound b = BoundOf(s, s.plans[0], 100);
  EXPECT_DOUBLE_EQ(b.Silent(10), 19.8 - 8 + 4 * 10);
  EXPECT_DOUBLE_EQ(b.ceiling_frozen.Over(10), 19.8 + 100 * 9.9 - 8 + 4 * 10);
  EXPECT_DOUBLE_EQ(b.ceiling_whatever.Over(10), 100 * 19.8 - 8 + (800 - 4) * 10);
  EXPECT_DOUBLE_EQ(b.ceiling_loss, 9.9);
  std::string line = DescribeBounds(s, {"team"})[0];
  EXPECT_NE(line.find("may be passed by 9.9 for each time"), std::string::npos) << line;
}

TEST(QuotaBound, IsToldOfEachPlan) {
  Settings s = QuotaSite(3);
  s.plans.push_back(s.plans[0]);
  s.plans[1].excess_worth = 2;
  s.plans.push_back(s.plans[0]);
  s.plans[2].rate = 0;
  std::vector<std::string> lines = DescribeBounds(s, {"team", "soft", "free"});
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_EQ(lines[0].rfind("plan team: over 3 gateways at most ", 0), 0u) << lines[0];
  EXPECT_NE(lines[1].find("by design"), std::string::npos);
  EXPECT_NE(lines[2].find("no quota"), std::string::npos);
}

// What a counter does with a call of gateway `g`, at the rush's step `step`.
struct Fate {
  Result result = Result::kOk;
  bool added = true;
};

// Has met a hundred modest partners, with the counter silent.
void MeetOthers(QuotaGateway* g, double now) {
  for (uint64_t other = 100; other < 200; ++other) {
    g->TryAdmit(now - 0.5, 1, other);
    g->LearnWithinQuota(other);
    for (const Action& call : std::exchange(g->calls, {})) g->Answer(now - 0.4, call, Result::kTimeout, 0);
  }
}

// Gateways that are asked for far more than the quota, one after the other, just before a window's end and
// after it. `before(step)` may tamper with the counts. Returns what was sent on beyond the quota in the
// stretch.
struct Rush {
  int gateways = 3, steps = 200;  // of each gateway
  bool in_turn = false;           // each step is another gateway's, and not 200 of one and then the next
  double start = 200 + 0.9 * kWindow, stretch = 0.099 * kWindow, units = 1;
  std::function<void(int step, Counter* counter)> before = [](int, Counter*) {};
  std::function<Fate(int gateway, double now)> fate = [](int, double) { return Fate{}; };
  std::function<void(QuotaGateway*, double now)> prepare = [](QuotaGateway*, double) {};

  double Excess() {
    std::vector<std::unique_ptr<QuotaGateway>> all;
    for (int g = 0; g < gateways; ++g) {
      all.push_back(std::make_unique<QuotaGateway>(QuotaSite(gateways), static_cast<uint64_t>(g) + 1, start));
      prepare(all.back().get(), start);
    }
    Counter counter;
    double sent = 0;
    for (int step = 0; step < gateways * steps; ++step) {
      before(step, &counter);
      double now = start + stretch * (step + 1) / (gateways * steps);
      int at = in_turn ? step % gateways : step / steps;
      QuotaGateway& g = *all[static_cast<size_t>(at)];
      if (g.TryAdmit(now, units)) sent += units;
      for (const Action& call : std::exchange(g.calls, {})) {
        Fate fallen = fate(at, now);
        if (fallen.result == Result::kOk && fallen.added) counter[call.tag] += call.amount;
        g.Answer(now, call, fallen.result, fallen.result == Result::kOk ? counter[call.tag] : 0);
      }
    }
    return sent - kBurst - kRate * stretch;
  }
};

// Emptied twice in the middle of a flood at a window's end, which comes through one gateway after the other:
// more than half of the bound is used, none is passed.
TEST(Emptied, UsesHalfOfTheStatedBoundAndNoMore) {
  Rush rush;
  rush.before = [&](int step, Counter* counter) {
    if (step % rush.steps == 0) counter->clear();
  };
  double excess = rush.Excess(), bound = Bound(3).Whatever(rush.stretch);
  EXPECT_LE(excess, bound);
  EXPECT_GE(excess, 0.5 * bound);
}

// The counter loses this customer's names and keeps all others.
TEST(NamesLost, UseHalfOfTheStatedBoundAndNoMore) {
  Rush rush;
  rush.before = [&](int step, Counter* counter) {
    if (step == 0) {
      for (uint64_t other = 1; other <= 100; ++other) (*counter)[other] = 5;
    }
    if (step % rush.steps == 0) std::erase_if(*counter, [](const auto& count) { return count.first > 100; });
    ASSERT_GE(counter->size(), 100u);
  };
  double excess = rush.Excess(), bound = Bound(3).Whatever(rush.stretch);
  EXPECT_LE(excess, bound);
  EXPECT_GE(excess, 0.5 * bound);
}

// Every second call is lost, with the answer that it would have had without it.
TEST(HalfOfTheCallsLost, UseHalfOfTheStatedBoundAndNoMore) {
  double most = 0, bound = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    Rush rush;
    rush.fate = [&](int, double) { return Fate{Result::kOk, random() % 2 == 0}; };
    bound = Bound(3).Whatever(rush.stretch);
    most = std::max(most, rush.Excess());
    ASSERT_LE(most, bound) << seed;
  }
  EXPECT_GE(most, 0.5 * bound);
}

// The part that holds the window's name is silent, the one that holds the next window's is not. The partner
// is met in silence, by gateways that know the plan's customers for modest ones.
TEST(OnePartSilent, UsesHalfOfTheStatedBoundAndNoMore) {
  Rush rush;
  rush.in_turn = true;
  rush.units = 0.1;
  rush.steps = 2000;
  rush.start = 200 + 0.97 * kWindow;
  rush.stretch = 0.3 * kWindow;
  rush.fate = [](int, double now) {
    return Fate{now < 200 + kWindow ? Result::kTimeout : Result::kOk, true};
  };
  rush.prepare = MeetOthers;
  double excess = rush.Excess(), bound = Bound(3).Whatever(rush.stretch);
  EXPECT_LE(excess, bound);
  EXPECT_GE(excess, 0.5 * bound);
}

// In a long silence one of two gateways is killed and started again every ten seconds.
TEST(Killed, InSilenceUsesHalfOfTheStatedBoundAndNoMore) {
  const double start = 200, stretch = 60;
  auto fresh = [&](double now) {
    auto g = std::make_unique<QuotaGateway>(QuotaSite(2), 1, now);
    MeetOthers(g.get(), now);
    return g;
  };
  std::vector<std::unique_ptr<QuotaGateway>> all;
  all.push_back(fresh(start));
  all.push_back(fresh(start));
  double sent = 0, next = start + 10;
  int restarts = 0;
  for (double now = start; now < start + stretch; now += 0.01) {
    if (now >= next) {
      all[1] = fresh(now);
      ++restarts;
      next += 10;
    }
    for (auto& g : all) {
      if (g->TryAdmit(now, 1)) sent += 1;
      for (const Action& call : std::exchange(g->calls, {})) g->Answer(now, call, Result::kTimeout, 0);
    }
  }
  double excess = sent - kBurst - kRate * stretch, bound = Bound(2).Silent(stretch, restarts);
  EXPECT_EQ(restarts, 5);
  EXPECT_LE(excess, bound);
  EXPECT_GE(excess, 0.5 * bound);
}

}  // namespace
}  // namespace ivygw
