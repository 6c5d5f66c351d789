// The stated bound on a quota's excess: worked by hand, and by a flood that comes near it.
#include "gateway/quota_bound.h"

#include <gtest/gtest.h>

#include <memory>
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
  EXPECT_DOUBLE_EQ(Bound(3).Whatever(10), 2 * (8 + 40) + 3 * 8);  // two further stores, one each at a window's end
  EXPECT_NEAR(Bound(3).Silent(60), 80 + 1.44 + 120, 1e-9);        // stores and old shares, notice, half of the rate
  EXPECT_NEAR(Bound(3).Frozen(60) - Bound(3).Silent(60), 24, 1e-9);
  EXPECT_EQ(Bound(1).Silent(60), 0) << "a gateway alone needs no counter";
  Settings s = QuotaSite(3);
  s.plans[0].ceiling_rate = 8;
  s.plans[0].ceiling_burst = 16;
  s.plans[0].ceiling_slack = 4;
  EXPECT_DOUBLE_EQ(BoundOf(s, s.plans[0], 3).Whatever(10), 16 + 0.95 * 4 - 8 + 4 * 10);
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

// Emptied twice in the middle of a flood at a window's end, which comes through one gateway after the other: more than
// half of the bound is used, none is passed.
TEST(Emptied, UsesHalfOfTheStatedBoundAndNoMore) {
  const double start = 200 + 0.9 * kWindow, stretch = 0.099 * kWindow;
  double sent = 0;
  std::vector<std::unique_ptr<QuotaGateway>> gateways;
  for (uint64_t g = 0; g < 3; ++g) gateways.push_back(std::make_unique<QuotaGateway>(QuotaSite(3), g + 1, start));
  Counter counter;
  for (int step = 0; step < 600; ++step) {
    if (step % 200 == 0) counter.clear();
    double now = start + stretch * (step + 1) / 600;
    QuotaGateway& g = *gateways[static_cast<size_t>(step / 200)];
    if (g.Ask(now, 1)) sent += 1;
    for (const Action& call : std::exchange(g.calls, {})) {
      counter[call.tag] += call.amount;
      g.Answer(now, call, Result::kOk, counter[call.tag]);
    }
  }
  double excess = sent - kBurst - kRate * stretch, bound = Bound(3).Whatever(stretch);
  EXPECT_LE(excess, bound);
  EXPECT_GE(excess, 0.5 * bound);
}

}  // namespace
}  // namespace ivygw
