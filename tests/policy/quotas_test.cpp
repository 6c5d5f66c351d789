// Quotas asked alone, without servers, against a counter that is sound, loses answers, or answers anything:
// what must hold of the books in any order of answers, losses and time-outs.
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

// Any order of answers, refusals, cut calls and silence: the least total that a sound counter can tell, as a
// gateway has it, never exceeds what was truly added; and what was added never exceeds what was sent.
TEST(Floor, NeverExceedsWhatWasAddedAndNothingIsAddedTwice) {
  int answers = 0, lost = 0, added_late = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    double now = 100 * kWindow;  // one window, so that one name holds it all
    std::vector<std::unique_ptr<QuotaGateway>> gateways;
    for (uint64_t g = 0; g < 3; ++g)
      gateways.push_back(std::make_unique<QuotaGateway>(QuotaSite(3), seed * 10 + g, now));
    Counter counter;
    double sent = 0;
    uint64_t name = 0;
    std::vector<Action> late;  // given up, and added by the counter long after
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
      if (call.amount != 0) name = call.tag;  // else it reads the window before
      double fate = draw();
      if (fate < 0.15) {
        g.Answer(now, call, Result::kConnectFailed, 0);  // nothing added
      } else if (fate < 0.3) {
        g.Answer(now, call, Result::kTimeout, 0);  // may have been added: here it was not
        ++lost;
      } else if (fate < 0.37) {
        g.Answer(now, call, Result::kTimeout, 0);  // here it will be
        late.push_back(call);
      } else if (fate < 0.45) {
        counter[call.tag] += call.amount;  // and here it was
        g.Answer(now, call, Result::kTimeout, 0);
        ++lost;
      } else {
        counter[call.tag] += call.amount;
        g.Answer(now, call, Result::kOk, counter[call.tag]);
        ++answers;
      }
      ASSERT_LE(counter[name], sent + 1e-9) << "seed " << seed << ", step " << step;
      for (const auto& each : gateways) {
        if (step < 100) continue;  // all have asked by then
        ASSERT_LE(each->customer().total, counter[name] + 1e-9) << "seed " << seed;
      }
    }
  }
  EXPECT_GT(answers, 1000);
  EXPECT_GT(lost, 1000);
  EXPECT_GT(added_late, 500);
}

// Totals of no sense, silence, late answers: a gateway by itself never passes more than two stores and the
// rate.
TEST(Alone, KeepsToTwoStoresAndTheRateWhateverTheCounterAnswers) {
  double most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    double now = 50, level = 2 * kBurst;  // a store of two bursts, full at first, never forgiven
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
      if (g.Ask(now, units)) level -= units;
      ASSERT_GE(level, -1e-6) << "seed " << seed << " at " << now;
      most = std::max(most, 2 * kBurst - level);
    }
  }
  EXPECT_GT(most, kBurst) << "else the second store is an empty promise";
}

double SentInSilence(int gateways, double seconds, Result result) {
  Settings s = QuotaSite(gateways);
  double now = 100, sent = 0;
  QuotaGateway g(s, 3, now);
  // Idle but for one unit, told of by a sound counter: a full store, half of the quota taken for used.
  g.Ask(now, 1);
  while (!g.calls.empty()) {
    Action call = g.calls.front();
    g.calls.erase(g.calls.begin());
    g.Answer(now + 0.002, call, Result::kOk, call.amount);
  }
  for (double end = now + seconds; now < end; now += 0.01) {
    if (g.Ask(now, 1)) sent += 1;
    for (const Action& call : std::exchange(g.calls, {})) g.Answer(now, call, result, 0);
  }
  return sent;
}

TEST(Silence, HoldsAGatewayToAStoreAndItsPart) {
  for (Result result : {Result::kTimeout, Result::kConnectFailed, Result::kFull}) {
    for (int gateways : {2, 3, 10}) {
      double sent = SentInSilence(gateways, 100, result);
      EXPECT_LE(sent, kBurst + kUnusedShareFactor * kRate * 100 / gateways + 1)
          << gateways;  // shares are even from the first
      EXPECT_GE(sent, kBurst / 2 + 0.9 * kRate * 100 / gateways) << gateways;
    }
  }
}

// Totals that stand still though this gateway added to them: it goes by its part, and says so.
TEST(Stale, IsNoticedByWhatThisGatewayAdded) {
  double now = 100, sent = 0, calls = 0;
  QuotaGateway g(QuotaSite(3), 3, now);
  for (double end = now + 100; now < end; now += 0.01) {
    if (g.Ask(now, 1)) sent += 1;
    for (int n = 0; n < 50 && !g.calls.empty(); ++n) {  // an answer may bring the next call at once
      Action call = g.calls.front();
      g.calls.erase(g.calls.begin());
      g.Answer(now, call, Result::kOk, 0);
      g.Count(now);
      ++calls;
    }
  }
  EXPECT_LE(sent, 0.6 * kRate * 100) << "a gateway that noticed nothing sends all of it";
  EXPECT_LE(calls, 2 * sent) << "totals that tell nothing are not asked for again and again";
  ASSERT_FALSE(g.log.empty());
  EXPECT_EQ(g.log[0], "counter has lost counts: keeping what was known");
}

// A correction of others lowers a total and later units raise it again: these are not counted twice.
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
  EXPECT_DOUBLE_EQ(g.customer().used, 2 + 3 + 1 + 1);
  EXPECT_TRUE(g.log.empty()) << "a correction is no loss";
}

// Over ten gateways an even part of the store is less than a unit. It is met anew after an idle window: the
// first pass of long ago is no reason to refuse it.
TEST(Idle, IsMetAnew) {
  double now = 200.1;
  QuotaGateway g(QuotaSite(10), 1, now);
  EXPECT_TRUE(g.Ask(now, 2));
  while (!g.calls.empty()) {
    Action call = g.calls.front();
    g.calls.erase(g.calls.begin());
    g.Answer(now + 0.002, call, Result::kOk, call.amount);
  }
  now += 3 * kWindow;
  EXPECT_TRUE(g.Ask(now, 2));
}

// What one gateway knows to be lacking in the store at a window's start, all come to know, whoever tells
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
  b.Charge(now, 8);  // a does not hear of it
  now += 0.1;
  serve(b);
  b.Charge(now, 1);
  serve(b);
  now = 200 + kWindow + 0.01;  // 15 of 16 are used: 7 are lacking, of which `a` knows none
  a.Charge(now, 1);
  serve(a);
  b.Charge(now, 1);
  serve(b);
  b.Count(now);
  serve(b);
  a.Charge(now, 1);
  serve(a);
  EXPECT_GE(a.customer().used, 7 + 2 - 1e-9);
}

}  // namespace
}  // namespace micadock
