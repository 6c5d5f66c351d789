// Tests of Quotas without backends, against a counter that is sound, loses answers or returns arbitrary
// totals, in any order of answers, losses and time-outs.
#include "policy/quotas.h"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "rig/quota_gateway.h"

namespace micadock {
namespace {

// In any order of answers, refusals, time-outs and late additions, a gateway's lower bound of the counter's
// total never exceeds what was added, and what was added never exceeds what was sent.
TEST(Floor, NeverExceedsWhatWasAddedAndNothingIsAddedTwice) {
  int answers = 0, lost = 0, added_late = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    double now = 100 * kWindow;  // all within one window, so under one name
    std::vector<std::unique_ptr<QuotaGateway>> gateways;
    for (uint64_t g = 0; g < 3; ++g)
      gateways.push_back(std::make_unique<QuotaGateway>(QuotaSite(3), seed * 10 + g, now));
    Counter counter;
    double sent = 0;
    uint64_t name = 0;
    std::vector<Action> late;  // timed out, and added by the counter long after
    for (int step = 0; step < 200; ++step) {
      now += 0.9 * kWindow / 200;
      if (!late.empty() && draw() < 0.2) {
        counter[late.back().tag] += late.back().amount;
        late.pop_back();
        ++added_late;
      }
      QuotaGateway& g = *gateways[static_cast<size_t>(draw() * 3)];
      if (draw() < 0.5 || g.calls.empty()) {
        double units = 1 + std::floor(3 * draw());
        sent += units;
        g.Charge(now, units);
        continue;
      }
      Action call = g.calls.front();
      g.calls.erase(g.calls.begin());
      if (call.amount != 0) name = call.tag;  // otherwise it reads the window before
      double fate = draw();
      if (fate < 0.15) {
        g.Answer(now, call, Result::kConnectFailed, 0);  // nothing added
      } else if (fate < 0.3) {
        g.Answer(now, call, Result::kTimeout, 0);  // may have been added; here it was not
        ++lost;
      } else if (fate < 0.37) {
        g.Answer(now, call, Result::kTimeout, 0);  // added later
        late.push_back(call);
      } else if (fate < 0.45) {
        counter[call.tag] += call.amount;  // added, but the answer is lost
        g.Answer(now, call, Result::kTimeout, 0);
        ++lost;
      } else {
        counter[call.tag] += call.amount;
        g.Answer(now, call, Result::kOk, counter[call.tag]);
        ++answers;
      }
      ASSERT_LE(counter[name], sent + 1e-9) << "seed " << seed << ", step " << step;
      for (const auto& each : gateways) {
        if (step < 100) continue;  // all have reported by then
        ASSERT_LE(each->customer().min_total, counter[name] + 1e-9) << "seed " << seed;
      }
    }
  }
  EXPECT_GT(answers, 1000);
  EXPECT_GT(lost, 1000);
  EXPECT_GT(added_late, 500);
}

// Whatever the counter answers (impossible totals, failures, late answers), one gateway never admits more
// than two bursts and the rate.
TEST(Alone, KeepsToTwoStoresAndTheRateWhateverTheCounterAnswers) {
  double most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    double now = 50, level = 2 * kBurst;  // a bucket of two bursts, full at first
    QuotaGateway g(QuotaSite(3), seed, now);
    double kind = draw();
    for (int step = 0; step < 3000; ++step) {
      double wait = draw() < 0.01 ? 3 * kWindow * draw() : 0.01 * draw();
      now += wait;
      level = std::min(2 * kBurst, level + kRate * wait);
      if (!g.calls.empty() && draw() < 0.5) {
        Action call = g.calls.front();
        g.calls.erase(g.calls.begin());
        double total = kind < 0.3 ? 0 : kind < 0.6 ? 20 * draw() - 10 : call.amount * draw();
        Result result = draw() < 0.8 ? Result::kOk : draw() < 0.5 ? Result::kTimeout : Result::kFull;
        g.Answer(now, call, result, total);
      }
      double units = 1 + std::floor(4 * draw());
      if (g.TryAdmit(now, units)) level -= units;
      ASSERT_GE(level, -1e-6) << "seed " << seed << " at " << now;
      most = std::max(most, 2 * kBurst - level);
    }
  }
  EXPECT_GT(most, kBurst) << "otherwise the bound of two bursts is not reached";
}

double SentInSilence(int gateways, double seconds, Result result) {
  Settings s = QuotaSite(gateways);
  double now = 100, sent = 0;
  QuotaGateway g(s, 3, now);
  // One unit, reported to a sound counter: the bucket is nearly full, and half of the rate is assumed to be
  // used.
  g.TryAdmit(now, 1);
  while (!g.calls.empty()) {
    Action call = g.calls.front();
    g.calls.erase(g.calls.begin());
    g.Answer(now + 0.002, call, Result::kOk, call.amount);
  }
  for (double end = now + seconds; now < end; now += 0.01) {
    if (g.TryAdmit(now, 1)) sent += 1;
    for (const Action& call : std::exchange(g.calls, {})) g.Answer(now, call, result, 0);
  }
  return sent;
}

TEST(Silence, HoldsAGatewayToAStoreAndItsPart) {
  for (Result result : {Result::kTimeout, Result::kConnectFailed, Result::kFull}) {
    for (int gateways : {2, 3, 10}) {
      double sent = SentInSilence(gateways, 100, result);
      EXPECT_LE(sent, kBurst + kUnusedShareFactor * kRate * 100 / gateways + 1)
          << gateways;  // shares are even from the start
      EXPECT_GE(sent, kBurst / 2 + 0.9 * kRate * 100 / gateways) << gateways;
    }
  }
}

// A frozen counter: totals don't rise though this gateway added to them. It enforces its part, and logs that.
TEST(Stale, IsNoticedByWhatThisGatewayAdded) {
  double now = 100, sent = 0, calls = 0;
  QuotaGateway g(QuotaSite(3), 3, now);
  for (double end = now + 100; now < end; now += 0.01) {
    if (g.TryAdmit(now, 1)) sent += 1;
    for (int n = 0; n < 50 && !g.calls.empty(); ++n) {  // an answer may trigger the next call at once
      Action call = g.calls.front();
      g.calls.erase(g.calls.begin());
      g.Answer(now, call, Result::kOk, 0);
      g.ReportUnits(now);
      ++calls;
    }
  }
  EXPECT_LE(sent, 0.6 * kRate * 100) << "a gateway that does not notice sends all of the rate";
  EXPECT_LE(calls, 2 * sent) << "frozen totals are not read over and over";
  ASSERT_FALSE(g.log.empty());
  EXPECT_EQ(g.log[0], "counter total went backwards: keeping the local count");
}

// Another gateway's correction lowers a total, and later units raise it again: these must not be counted
// twice.
TEST(Floor, IsNotLoweredByACorrection) {
  double now = 200.1;
  QuotaGateway g(QuotaSite(2), 1, now);
  auto tell = [&](double total) {
    now += 0.01;
    Action call = g.calls.front();
    g.calls.erase(g.calls.begin());
    g.Answer(now, call, Result::kOk, total);
  };
  g.Charge(now, 2);
  tell(5);  // others: 3
  g.Charge(now, 1);
  tell(5);  // others: one less
  g.Charge(now, 1);
  tell(7);  // and one more again
  EXPECT_DOUBLE_EQ(g.customer().window_used, 2 + 3 + 1 + 1);
  EXPECT_TRUE(g.log.empty()) << "a correction is not logged as lost counts";
}

// An even part of the burst over ten gateways is less than one unit. A customer that returns after idle
// windows is treated as new: units sent before the first read long ago must not count against it.
TEST(Idle, CustomerIsTreatedAsNew) {
  double now = 200.1;
  QuotaGateway g(QuotaSite(10), 1, now);
  EXPECT_TRUE(g.TryAdmit(now, 2));
  while (!g.calls.empty()) {
    Action call = g.calls.front();
    g.calls.erase(g.calls.begin());
    g.Answer(now + 0.002, call, Result::kOk, call.amount);
  }
  now += 3 * kWindow;
  EXPECT_TRUE(g.TryAdmit(now, 2));
}

// All gateways settle on the largest debt carried into a window that one of them knows, whichever reports
// first.
TEST(Window, AllComeToGoByTheMostThatOneCarries) {
  double now = 200;  // a window's start
  Settings s = QuotaSite(2);
  QuotaGateway a(s, 1, now), b(s, 2, now);
  Counter counter;
  auto serve = [&](QuotaGateway& g) {
    now += 0.01;
    while (!g.calls.empty()) {
      Action call = g.calls.front();
      g.calls.erase(g.calls.begin());
      counter[call.tag] += call.amount;
      g.Answer(now, call, Result::kOk, counter[call.tag]);
    }
  };
  a.Charge(now + 0.1, 6);
  now += 0.2;
  serve(a);
  b.Charge(now, 8);  // not reported to a
  now += 0.1;
  serve(b);
  b.Charge(now, 1);
  serve(b);
  now = 200 + kWindow + 0.01;  // 15 of 16 are used: the debt is 7, of which `a` knows nothing
  a.Charge(now, 1);
  serve(a);
  b.Charge(now, 1);
  serve(b);
  b.ReportUnits(now);
  serve(b);
  a.Charge(now, 1);
  serve(a);
  EXPECT_GE(a.customer().window_used, 7 + 2 - 1e-9);
}

}  // namespace
}  // namespace micadock
