// The budget of bodies: what it grants as it fills, and that what is granted together stays within it.
#include "bodies/body_memory.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <vector>

#include "bodies/tenant_memory.h"

namespace ivygw::bodies {
namespace {

constexpr size_t kMb = 1 << 20;

TEST(BodyMemory, GrantsShrinkAsItFills) {
  BodyMemory memory(20 * kMb);
  EXPECT_EQ(memory.HoldLimit(), BodyMemory::kMostHeld);
  EXPECT_EQ(memory.Window(), BodyMemory::kMostWindow);
  EXPECT_FALSE(memory.Crowded());
  memory.Take(12 * kMb);
  EXPECT_EQ(memory.HoldLimit(), BodyMemory::kMostHeld);
  memory.Take(6 * kMb);
  EXPECT_EQ(memory.HoldLimit(), kMb / 8);
  EXPECT_TRUE(memory.Crowded());
  EXPECT_LT(memory.Window(), BodyMemory::kMostWindow);
  memory.Take(6 * kMb);
  EXPECT_EQ(memory.HoldLimit(), BodyMemory::kWhole) << "a short body is always taken";
  EXPECT_EQ(memory.Window(), BodyMemory::kLeastWindow) << "what has begun goes on";
  memory.Give(24 * kMb);
  EXPECT_EQ(memory.used(), 0u);
  EXPECT_FALSE(memory.Crowded());
}

TEST(TenantMemory, ASingleTenantTakesTwoThirdsAndLeavesRoomForAnother) {
  BodyMemory memory(16 * kMb);  // 14 of them for long bodies
  TenantMemory tenants(&memory);
  TenantMemory::Share hot(&tenants), calm(&tenants);
  hot.Hold("hot", 7 * kMb);
  EXPECT_TRUE(tenants.MayBegin("hot"));
  hot.Hold("hot", 9 * kMb);
  EXPECT_FALSE(tenants.MayBegin("hot"));
  EXPECT_TRUE(tenants.WithinPart("hot", true)) << "what has begun may go on";
  hot.Hold("hot", 10 * kMb);
  EXPECT_FALSE(tenants.WithinPart("hot", true));
  EXPECT_TRUE(tenants.WithinPart("hot", false)) << "a further eighth is for bodies that are not long";
  EXPECT_TRUE(tenants.MayBegin("calm"));
  calm.Hold("calm", 2 * kMb);
  EXPECT_TRUE(tenants.WithinPart("calm", true));
}

TEST(TenantMemory, WhatIsHeldFollowsItsTenantAndComesBack) {
  BodyMemory memory(16 * kMb);
  TenantMemory tenants(&memory);
  {
    TenantMemory::Share share(&tenants);
    share.Hold("", 3000);
    share.Hold("a", 3000);
    EXPECT_EQ(tenants.HeldBy(""), 0u);
    EXPECT_EQ(tenants.HeldBy("a"), 3000u);
    EXPECT_EQ(memory.used(), 3000u);
  }
  EXPECT_EQ(tenants.HeldBy("a"), 0u);
  EXPECT_EQ(memory.used(), 0u);
}

TEST(TenantMemory, TheLongestBodyIsOneThatIsWithinItsPartAlone) {
  BodyMemory memory(16 * kMb);
  TenantMemory tenants(&memory);
  TenantMemory::Share share(&tenants);
  share.Hold("a", tenants.LongestBody());
  EXPECT_TRUE(tenants.WithinPart("a", true));
}

TEST(BodyMemory, SharesComeBack) {
  BodyMemory memory(kMb);
  {
    BodyShare share(&memory);
    share.Hold(5000);
    share.Hold(300);
    EXPECT_EQ(memory.used(), 300u);
  }
  EXPECT_EQ(memory.used(), 0u);
}

// Holders who grow a body to the limit, step by step, each asking anew, in any order: long ones together stay
// within the budget, since none is begun while it is crowded and the limit shrinks.
TEST(BodyMemory, ManyTogetherStayWithinIt) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 dice(seed);
    BodyMemory memory(20 * kMb);
    struct Holder {
      explicit Holder(BodyMemory* m) : share(m) {}
      BodyShare share;
      size_t held = 0;
    };
    std::vector<std::unique_ptr<Holder>> holders;
    for (int step = 0; step < 3000; ++step) {
      if (holders.empty() || (!memory.Crowded() && dice() % 8 == 0))
        holders.push_back(std::make_unique<Holder>(&memory));
      Holder& h = *holders[dice() % holders.size()];
      if (h.held < memory.HoldLimit()) {
        h.held += std::min<size_t>(64 * 1024, memory.HoldLimit() - h.held);
      } else {
        h.held = memory.Window();  // it goes on in pieces
      }
      h.share.Hold(h.held);
      if (dice() % 40 == 0) holders.erase(holders.begin() + dice() % holders.size());
      ASSERT_LE(memory.used(), memory.budget())
          << "seed " << seed << ", step " << step << ", " << holders.size();
    }
  }
}

}  // namespace
}  // namespace ivygw::bodies
