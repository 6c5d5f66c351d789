// A ceiling shared by several gateways, each with its own state, over a counter whose replies may be lost and
// whose calls may arrive late: the units sent never exceed the ceiling.
#include "parts/ceiling.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace ivygw::parts {
namespace {

// Reference model of the ceiling: a token bucket that starts full and refills at the rate.
struct ReferenceBucket {
  double used = 0, updated_at = 0;  // units taken from the bucket
  bool Admit(const CeilingParams& params, double now, double units) {
    used = std::max(0.0, used - params.rate * (now - updated_at)) + units;
    updated_at = now;
    return used <= params.burst + 1e-6;
  }
};

TEST(CeilingParams, LocalFractionDependsOnTheSizeOfAnEqualShare) {
  EXPECT_EQ((CeilingParams{20, 44.6, 1, 8}.LocalFraction()), 1) << "a single gateway needs no coordination";
  EXPECT_EQ((CeilingParams{20, 44.6, 2, 8}.LocalFraction()), 0.5);
  EXPECT_EQ((CeilingParams{20, 44.6, 2, 8, false}.LocalFraction()), 1) << "no counter to reserve at";
  EXPECT_EQ((CeilingParams{20, 44.6, 300, 8, false}.LocalFraction()), 1);
  EXPECT_EQ((CeilingParams{20, 44.6, 11, 8}.LocalFraction()), 0.5);
  EXPECT_EQ((CeilingParams{20, 44.6, 12, 8}.LocalFraction()), 0)
      << "an equal share holds less than half of the largest request";
  EXPECT_EQ((CeilingParams{20, 44.6, 300, 8}.LocalFraction()), 0);
  EXPECT_DOUBLE_EQ((CeilingParams{20, 44.6, 300, 8}.WindowLimit()), 22.3);
  EXPECT_DOUBLE_EQ((CeilingParams{20, 44.6, 300, 8}.WindowSeconds()), 1.115);
}

// Spends each window's limit at the end of one window and the start of the next: the worst case for the
// bound.
TEST(Ceiling, ConsecutiveWindowsUseUpBurstAndRateButNoMore) {
  CeilingParams params{2, 8, 10, 4};  // windows of 2 s, 4 units each
  ASSERT_EQ(params.LocalFraction(), 0);
  CeilingLimiter limiter;
  limiter.Initialize(params, 0);
  ReferenceBucket bucket;
  double max_used = 0;
  for (double now : {1.9, 2.0, 4.0, 6.0}) {
    auto reservation = limiter.Reserve(params, 4, now);
    ASSERT_TRUE(reservation);
    ASSERT_TRUE(limiter.CompleteReservation(params, *reservation, true, 4));
    ASSERT_GE(limiter.AvailableUnits(params, now), 4);
    limiter.Spend(params, 4, now);
    EXPECT_TRUE(bucket.Admit(params, now, 4));
    max_used = std::max(max_used, bucket.used);
  }
  EXPECT_NEAR(max_used, 8, 0.21) << "the test must come close to the bound";
}

TEST(Ceiling, ADecreasedTotalGrantsNothing) {
  CeilingParams params{2, 20, 40, 4};
  CeilingLimiter limiter;
  auto reservation = limiter.Reserve(params, 2, 1);
  EXPECT_TRUE(limiter.CompleteReservation(params, *reservation, true, 7));
  limiter.Spend(params, 2, 1);
  reservation = limiter.Reserve(params, 2, 1);
  EXPECT_FALSE(limiter.CompleteReservation(params, *reservation, true, 2)) << "it was 7 before";
  EXPECT_EQ(limiter.AvailableUnits(params, 1), 0);
}

TEST(Ceiling, RequestsThatWaitShareOneReservation) {
  CeilingParams params{2, 40, 40, 4};
  CeilingLimiter limiter;
  auto reservation = limiter.Reserve(params, 2, 1);
  ASSERT_TRUE(reservation);
  EXPECT_FALSE(limiter.Reserve(params, 3, 1)) << "another is pending";
  EXPECT_FALSE(limiter.Reserve(params, 1, 1));
  limiter.CompleteReservation(params, *reservation, true, 2);
  auto next = limiter.Reserve(params, 0, 1);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->units, 4);
}

TEST(Ceiling, AGrantEndsWithItsWindow) {
  CeilingParams params{2, 8, 10, 4};
  CeilingLimiter limiter;
  auto reservation = limiter.Reserve(params, 3, 1.9);
  limiter.CompleteReservation(params, *reservation, true, 3);
  EXPECT_EQ(limiter.AvailableUnits(params, 1.95), 3);
  EXPECT_EQ(limiter.AvailableUnits(params, 2.05), 0);
}

// Explores every interleaving of events of three gateways and the counter.
class StateSpaceSearch {
 public:
  // `trust_lost_replies`: treats a lost reply as a grant, to check that the search detects the violation.
  StateSpaceSearch(const CeilingParams& params, int depth, bool trust_lost_replies)
      : params_(params), depth_(depth), trust_lost_replies_(trust_lost_replies) {}

  // Returns false if the ceiling was exceeded.
  bool Run() {
    State s;
    for (CeilingLimiter& c : s.gateways) c.Initialize(params_, 0);
    return Explore(s, depth_);
  }
  size_t states() const { return visited_.size(); }
  size_t sends() const { return sends_; }

 private:
  static constexpr double kStepS = 0.5;
  struct DelayedCall {
    int64_t window = 0;
    double units = 0;
  };
  struct State {
    CeilingLimiter gateways[3];
    std::optional<CeilingLimiter::Reservation> pending[3];
    std::map<int64_t, double> totals;
    std::vector<DelayedCall> delayed;  // timed out, still on the way to the counter
    ReferenceBucket bucket;
    double now = 0;
  };

  static std::string Key(const State& s, int steps_left) {
    std::string key;
    auto add = [&key](double x) { key.append(reinterpret_cast<const char*>(&x), sizeof(x)); };
    for (const CeilingLimiter& c : s.gateways) {
      for (double x : c.State()) add(x);
    }
    for (const auto& pending : s.pending) {
      add(pending ? static_cast<double>(pending->window) : -1);
      add(pending ? pending->units : 0);
    }
    for (const auto& [window, total] : s.totals) {
      add(static_cast<double>(window));
      add(total);
    }
    add(-2);
    for (const DelayedCall& l : s.delayed) {
      add(static_cast<double>(l.window));
      add(l.units);
    }
    add(s.bucket.used - kRate * (s.now - s.bucket.updated_at));
    add(s.now);
    key.push_back(static_cast<char>(steps_left));
    return key;
  }

  bool Explore(const State& s, int steps_left) {
    if (steps_left == 0 || !visited_.insert(Key(s, steps_left)).second) return true;
    {
      State t = s;  // time passes
      t.now += kStepS;
      for (CeilingLimiter& c : t.gateways) c.Refill(params_, kStepS);
      if (t.now <= 2 && !Explore(t, steps_left - 1)) return false;
    }
    for (size_t i = 0; i < s.delayed.size(); ++i) {
      State t = s;
      t.totals[t.delayed[i].window] += t.delayed[i].units;
      t.delayed.erase(t.delayed.begin() + static_cast<long>(i));
      if (!Explore(t, steps_left - 1)) return false;
    }
    for (int g = 0; g < 3; ++g) {
      if (!ExploreGateway(s, g, steps_left)) return false;
    }
    return true;
  }

  bool ExploreGateway(const State& s, int g, int steps_left) {
    for (double units : {1.0, 3.0}) {
      State t = s;
      CeilingLimiter& c = t.gateways[g];
      if (c.AvailableUnits(params_, t.now) >= units) {
        c.Spend(params_, units, t.now);
        ++sends_;
        if (!t.bucket.Admit(params_, t.now, units)) return false;
        if (!Explore(t, steps_left - 1)) return false;
      } else if (!t.pending[g] && c.CanReserve(params_, units, t.now)) {
        t.pending[g] = c.Reserve(params_, units, t.now);
        if (!Explore(t, steps_left - 1)) return false;
      }
    }
    if (s.pending[g]) {
      CeilingLimiter::Reservation call = *s.pending[g];
      auto end = [&](bool added, bool reply_received, bool delayed) {
        State t = s;
        if (added) t.totals[call.window] += call.units;
        if (delayed) t.delayed.push_back({call.window, call.units});
        double total = reply_received ? t.totals[call.window] : call.units;
        t.gateways[g].CompleteReservation(params_, call, reply_received || trust_lost_replies_, total);
        t.pending[g].reset();
        return Explore(t, steps_left - 1);
      };
      if (!end(true, true, false) || !end(true, false, false) || !end(false, false, false) ||
          !end(false, false, true))
        return false;
    }
    State t = s;  // killed and restarted; its call is still on the way
    if (t.pending[g]) t.delayed.push_back({t.pending[g]->window, t.pending[g]->units});
    t.pending[g].reset();
    t.gateways[g] = CeilingLimiter();
    t.gateways[g].Initialize(params_, 0);
    return Explore(t, steps_left - 1);
  }

  static constexpr double kRate = 4;
  const CeilingParams params_;
  const int depth_;
  const bool trust_lost_replies_;
  std::unordered_set<std::string> visited_;
  size_t sends_ = 0;
};

TEST(Ceiling, NoInterleavingOfThreeGatewaysExceedsTheCeiling) {
  for (double max_request_units : {6.0, 4.0}) {  // all in the pool; half split evenly
    CeilingParams params{4, 8, 3, max_request_units};
    StateSpaceSearch search(params, 8, false);
    EXPECT_TRUE(search.Run());
    EXPECT_GT(search.sends(), 1000u);
    std::printf("largest request %.0f: %zu states, %zu sends, none over the ceiling\n", max_request_units,
                search.states(), search.sends());
  }
  EXPECT_FALSE(StateSpaceSearch({4, 8, 3, 6}, 10, true).Run())
      << "the search finds that a lost reply treated as a grant exceeds the ceiling";
}

TEST(Ceiling, FortyGatewaysWithRandomLossesKeepTheCeiling) {
  double used = 0;
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    auto draw = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    CeilingParams params{20, 44.6, draw() < 0.5 ? 40.0 : 8.0, 8};
    std::vector<CeilingLimiter> gateways(static_cast<size_t>(params.gateway_count));
    for (CeilingLimiter& c : gateways) c.Initialize(params, 0);
    std::vector<std::optional<CeilingLimiter::Reservation>> pending(gateways.size());
    std::vector<CeilingLimiter::Reservation> delayed;
    std::map<int64_t, double> totals;
    ReferenceBucket bucket;
    double now = 100 * draw(), loss = 0.3 * draw(), demand = 1 + 6 * draw();
    std::vector<double> pending_units(gateways.size());
    for (int step = 0; step < 2000; ++step) {
      double dt = -std::log(1 - draw()) / (params.rate * demand);
      now += dt;
      for (CeilingLimiter& c : gateways) c.Refill(params, dt);
      if (!delayed.empty() && draw() < 0.1) {
        totals[delayed.back().window] += delayed.back().units;
        delayed.pop_back();
      }
      size_t g = static_cast<size_t>(draw() * static_cast<double>(gateways.size()));
      CeilingLimiter& c = gateways[g];
      if (draw() < 0.002) {
        if (pending[g]) delayed.push_back(*pending[g]);
        pending[g].reset();
        c = CeilingLimiter();
        c.Initialize(params, 0);
        continue;
      }
      double units = 1 + std::floor(8 * draw() * draw());
      if (pending[g]) {
        bool lost = draw() < loss;
        if (lost) {
          if (draw() < 0.5) delayed.push_back(*pending[g]);
          c.CompleteReservation(params, *pending[g], false, 0);
        } else {
          double total = totals[pending[g]->window] += pending[g]->units;
          ASSERT_TRUE(c.CompleteReservation(params, *pending[g], true, total));
        }
        pending[g].reset();
        units = pending_units[g];
      }
      if (c.AvailableUnits(params, now) >= units) {
        c.Spend(params, units, now);
        ASSERT_TRUE(bucket.Admit(params, now, units)) << "seed " << seed;
        used = std::max(used, bucket.used);
      } else if (c.CanReserve(params, units, now)) {
        pending[g] = c.Reserve(params, units, now);
        pending_units[g] = units;
      }
    }
  }
  EXPECT_GT(used, 0.75 * 44.6) << "most of the ceiling is usable";
}

}  // namespace
}  // namespace ivygw::parts
