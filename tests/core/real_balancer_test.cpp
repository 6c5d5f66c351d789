// The core with the real balancer and random events: the invariants of CoreHarness hold, and a request that
// must not run twice is not sent again once it may have run.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "core/core_harness.h"

namespace ivygw::core {
namespace {

TEST(AnyOrder, WithTheRealBalancer) {
  uint64_t responses = 0, writes = 0, successes = 0, streams_started = 0;
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<uint8_t> bytes(800);
    for (uint8_t& b : bytes) b = static_cast<uint8_t>(random());
    CoreSettings settings = HarnessSettings();
    settings.seed = seed;
    settings.policy.hedging = seed % 4 == 0;
    settings.policy.plans[0].rate = 20;
    settings.policy.plans[0].burst = 40;
    CoreHarness harness(settings, true);
    harness.Run(bytes.data(), bytes.size());
    ASSERT_EQ(harness.violation(), "") << "seed " << seed;
    responses += harness.responses();
    writes += harness.writes();
    successes += harness.successes();
    streams_started += harness.streams_started();
  }
  EXPECT_GT(responses, 20000u);
  EXPECT_GT(writes, 10000u);
  EXPECT_GT(successes, 500u);
  EXPECT_GT(streams_started, 200u);
}

}  // namespace
}  // namespace ivygw::core
