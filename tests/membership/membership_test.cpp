// Memberships of a fleet round one engine in virtual time: the program's own code under loss, pauses, kills,
// cuts, fail-overs and clocks that jump. FleetModel watches the promises of membership.h at every step.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "emulator/engine_model.h"
#include "emulator/fleet_model.h"
#include "emulator/scheduler.h"

namespace ivygw::membership {
namespace {

constexpr double kLease = 3, kHold = 6;

struct Fleet {
  explicit Fleet(int n, uint64_t seed = 1)
      : engine(&scheduler, seed), fleet(&scheduler, &engine, OptionsOf(), seed) {
    for (int g = 0; g < n; ++g) fleet.Start(g);
  }
  static Options OptionsOf() {
    Options o;
    o.lease_s = kLease;
    o.hold_s = kHold;
    return o;
  }
  void Run(double seconds) {
    scheduler.RunUntil(scheduler.Now() + seconds, [](double) {});
    fleet.Check();
  }
  // Runs until `holds`, for so many leases at most; how many it took, or -1.
  template <typename Holds>
  double Until(double leases, Holds holds) {
    double from = scheduler.Now();
    while (scheduler.Now() < from + leases * kLease) {
      if (holds()) return (scheduler.Now() - from) / kLease;
      Run(0.02);
    }
    return holds() ? leases : -1;
  }
  // All that live see exactly those.
  bool AllSee(size_t n) {
    for (size_t p = 0; p < fleet.processes(); ++p) {
      int process = static_cast<int>(p);
      if (!fleet.alive(process) || fleet.paused(process) || fleet.of(process).phase() == Phase::kLeft)
        continue;
      if (!fleet.of(process).Sure(fleet.ClockOf(process)) || fleet.of(process).Live().size() != n)
        return false;
    }
    return true;
  }
  void Sound() {
    for (const std::string& what : fleet.broken) ADD_FAILURE() << what;
  }
  emulator::VirtualScheduler scheduler{0};
  emulator::EngineModel engine;
  emulator::FleetModel fleet;
};

TEST(Membership, AllFindEachOtherAndCountAfterAWhile) {
  Fleet f(8);
  EXPECT_LE(f.Until(2, [&] { return f.AllSee(8); }), 1);
  EXPECT_FALSE(f.fleet.of(0).Counts(f.fleet.ClockOf(0))) << "others may not have seen it";
  f.Run((kLease + kHold) * 1.2);
  for (int p = 0; p < 8; ++p) {
    EXPECT_TRUE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
    EXPECT_EQ(f.fleet.of(p).Number(f.fleet.ClockOf(p)), 8);
    EXPECT_EQ(f.fleet.of(p).self().slot, p) << "the slot that its configuration prefers";
  }
  EXPECT_NEAR(f.fleet.most_parts, 1, 1e-9);
  f.Sound();
}

TEST(Membership, AKilledOneIsSeenGoneWithinALeaseAndAHalf) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet f(8, seed);
    f.Run(20 + 0.1 * static_cast<double>(seed));
    f.fleet.Kill(3);
    double took = f.Until(3, [&] { return f.AllSee(7); });
    EXPECT_GT(took, 0);
    EXPECT_LE(took, 1.5);
    EXPECT_EQ(f.fleet.of(0).Number(f.fleet.ClockOf(0)), 8) << "its part is not given away at once";
    f.Run(kHold + 0.1);
    EXPECT_EQ(f.fleet.of(0).Number(f.fleet.ClockOf(0)), 7);
    f.Sound();
  }
}

TEST(Membership, OneThatLeavesByItselfIsNotWaitedFor) {
  Fleet f(3);
  f.Run(20);
  f.fleet.Become(1, State::kLeaving);
  f.Run(2);
  f.fleet.Leave(1);
  EXPECT_GE(f.Until(1, [&] { return f.fleet.of(0).Number(f.fleet.ClockOf(0)) == 2; }), 0);
  f.Sound();
}

// Stopped past its lease, it wakes and is sure of nothing; its place may be another's by then.
TEST(Membership, APausedOneKnowsWhenItWakes) {
  Fleet f(3);
  f.Run(20);
  ASSERT_TRUE(f.fleet.of(1).Sure(f.fleet.ClockOf(1)));
  Fence before = f.fleet.of(1).fence();
  f.fleet.Pause(1);
  f.Run(2 * kLease);
  EXPECT_FALSE(f.fleet.of(1).Sure(f.fleet.ClockOf(1))) << "before any event of its own";
  f.fleet.Start(1, "n9");  // takes the slot, which is free now
  f.Run(1);
  f.fleet.Resume(1);
  EXPECT_GE(f.Until(3, [&] { return f.fleet.of(1).Sure(f.fleet.ClockOf(1)); }), 0);
  EXPECT_GT(f.fleet.of(1).fence().revision, before.revision);
  EXPECT_NE(f.fleet.of(1).self().slot, 1);
  f.Sound();
}

// Who can't renew stops before its lease ends at the engine; the others go on counting it for a while, so
// that its part and theirs never overlap.
TEST(Membership, TheCutOffStopInTimeAndComeBack) {
  for (bool one_way : {false, true}) {
    Fleet f(8);
    f.Run(30);
    for (int p = 0; p < 4; ++p) {
      f.engine.link(p).answers = false;
      f.engine.link(p).calls = one_way;  // what they ask is done, and they never hear of it
    }
    f.Run(kLease);
    for (int p = 0; p < 4; ++p) EXPECT_FALSE(f.fleet.of(p).Sure(f.fleet.ClockOf(p)));
    f.Run(2 * kHold);
    for (int p = 0; p < 4; ++p) EXPECT_FALSE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
    EXPECT_EQ(f.fleet.of(7).Number(f.fleet.ClockOf(7)), 4);
    for (int p = 0; p < 4; ++p) f.engine.link(p) = {};
    EXPECT_GE(f.Until(4, [&] { return f.AllSee(8); }), 0);
    f.Run(20);
    for (int p = 0; p < 8; ++p) EXPECT_TRUE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
    f.Sound();
  }
}

TEST(Membership, AnEngineThatIsAwayForAMomentChangesNothing) {
  Fleet f(5);
  f.Run(30);
  f.engine.away = true;
  f.Run(kLease);
  for (int p = 0; p < 5; ++p) {
    EXPECT_TRUE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
    EXPECT_EQ(f.fleet.of(p).Number(f.fleet.ClockOf(p)), 5) << "the last view is held";
  }
  f.Run(2 * kHold);
  for (int p = 0; p < 5; ++p) EXPECT_FALSE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
  f.engine.away = false;
  EXPECT_GE(f.Until(3, [&] { return f.AllSee(5); }), 0);
  f.Sound();
}

TEST(Membership, AnEngineThatLostItsNewestWritesGivesNoFenceTwice) {
  Fleet f(5);
  f.Run(20);
  f.engine.Keep();
  f.fleet.Start(5);
  f.fleet.Kill(0);
  f.Run(15);
  std::vector<Fence> before;
  for (int p = 1; p < 6; ++p) before.push_back(f.fleet.of(p).fence());
  f.engine.PutBack();
  f.Run(kLease);
  EXPECT_GE(f.Until(4, [&] { return f.AllSee(5); }), 0);
  for (int p = 1; p < 6; ++p) {
    EXPECT_TRUE(f.fleet.of(p).Sure(f.fleet.ClockOf(p)));
    for (const Fence& old : before) EXPECT_GT(f.fleet.of(p).fence().revision, old.revision) << "claimed anew";
  }
  f.Sound();
}

TEST(Membership, AnEngineThatCameBackEmptyIsFilledAgain) {
  Fleet f(5);
  f.Run(20);
  f.engine.Empty("second");
  f.Run(kLease);
  EXPECT_GE(f.Until(4, [&] { return f.AllSee(5) && f.fleet.of(0).Sure(f.fleet.ClockOf(0)); }), 0);
  EXPECT_EQ(f.fleet.of(0).watermark().losses(), 1u);
  f.Sound();
}

TEST(Membership, TwoProcessesUnderOneNameAreToldApart) {
  Fleet f(3);
  f.Run(20);
  int second = f.fleet.Start(7, "n1");
  f.Run(5);
  EXPECT_EQ(f.fleet.of(second).phase(), Phase::kTaken);
  EXPECT_TRUE(f.fleet.of(1).Sure(f.fleet.ClockOf(1)));
  f.fleet.Kill(1);
  EXPECT_GE(f.Until(4, [&] { return f.fleet.of(second).phase() == Phase::kMember; }), 0)
      << "once the first one's lease has ended";
  f.Sound();
}

TEST(Membership, AnHeirTakesOverNameAndSlot) {
  Fleet f(3);
  f.Run(20);
  int heir = f.fleet.Start(1, "n1", true);
  EXPECT_GE(f.Until(1, [&] { return f.fleet.of(heir).phase() == Phase::kMember; }), 0);
  EXPECT_EQ(f.fleet.of(heir).self().slot, 1);
  f.Run(kLease);
  EXPECT_EQ(f.fleet.of(1).phase(), Phase::kLeft);
  EXPECT_GT(f.fleet.of(heir).fence().revision, f.fleet.of(1).fence().revision);
  EXPECT_EQ(f.fleet.of(0).Number(f.fleet.ClockOf(0)), 3) << "one member";
  f.Run(20);
  f.Sound();
}

TEST(Membership, ThreeHundredThatStartInOneSecondPartIntoSlotsOfTheirOwn) {
  Fleet f(0);
  f.fleet.checks = false;
  for (int p = 0; p < 300; ++p) f.fleet.Start(0, "n" + std::to_string(p));  // all prefer the same one
  EXPECT_GE(f.Until(4, [&] { return f.AllSee(300); }), 0);
  f.fleet.Check();
  for (int p = 0; p < 300; ++p) EXPECT_TRUE(f.fleet.of(p).Sure(f.fleet.ClockOf(p)));
  f.Sound();
}

TEST(Membership, EntriesOfAnotherFormCountAndStaleOnesGo) {
  Fleet f(2);
  f.Run(5);
  shared::Batch batch;
  batch.changes.push_back(shared::Put("member/later", R"({"form":9,"boot":"x","what":[1]})", 100.0));
  batch.changes.push_back(shared::Put("member/garbage", "\x01\xff", 100.0));
  f.engine.store().Take(shared::Commit(batch), f.engine.Now());
  for (int i = 0; i < 10000; ++i) {
    shared::Batch stale;
    stale.changes.push_back(shared::Put("member/stale" + std::to_string(i), R"({"form":1,"boot":"y"})", 0.5));
    f.engine.store().Take(shared::Commit(stale), f.engine.Now());
  }
  f.Run(1);
  EXPECT_GE(f.fleet.of(0).Number(f.fleet.ClockOf(0)), 4);
  f.Run(2 * kHold);
  EXPECT_EQ(f.fleet.of(0).Live().size(), 4u);
  EXPECT_EQ(f.fleet.of(0).Number(f.fleet.ClockOf(0)), 4) << "two that can't be read, and two that can";
  EXPECT_EQ(f.fleet.of(0).bad_entries(), 2u);
  f.Sound();
}

TEST(Membership, AMachineWhoseClockJumpsAheadIsOnlyUnsure) {
  Fleet f(3);
  f.Run(20);
  f.fleet.MoveClock(1, 100);
  EXPECT_FALSE(f.fleet.of(1).Sure(f.fleet.ClockOf(1)));
  EXPECT_GE(f.Until(2, [&] { return f.fleet.of(1).Sure(f.fleet.ClockOf(1)); }), 0);
  f.Sound();
}

// A rolling restart, and one that flaps at every lease: no step breaks a promise.
TEST(Membership, RollingRestartAndFlapping) {
  Fleet f(6);
  f.Run(20);
  std::vector<int> running = {0, 1, 2, 3, 4, 5};
  for (int g = 0; g < 6; ++g) {
    f.fleet.Become(running[static_cast<size_t>(g)], State::kLeaving);
    f.Run(0.5);
    f.fleet.Leave(running[static_cast<size_t>(g)]);
    f.Run(0.2);
    f.fleet.Kill(running[static_cast<size_t>(g)]);
    running[static_cast<size_t>(g)] = f.fleet.Start(g);
    f.Run(2);
  }
  for (int round = 0; round < 8; ++round) {
    f.fleet.Kill(running[2]);
    f.Run(kLease);
    running[2] = f.fleet.Start(2);
    f.Run(kLease);
  }
  f.Run(30);
  for (int p : running) EXPECT_TRUE(f.fleet.of(p).Counts(f.fleet.ClockOf(p)));
  f.Sound();
}

// The nth call of one member fails, for every n and in every way; all end as they should.
TEST(Membership, AnyOneCallMayFailInAnyWay) {
  enum class Way { kNeverCame, kNoAnswer, kRefused, kLateAnswer, kDoneLate };
  for (Way way : {Way::kNeverCame, Way::kNoAnswer, Way::kRefused, Way::kLateAnswer, Way::kDoneLate}) {
    for (uint64_t nth = 1; nth <= 25; ++nth) {
      Fleet f(3);
      uint64_t seen = 0;
      f.fleet.before_call = [&](int process) {
        emulator::EngineLink& link = f.engine.link(process);
        if (process == 1) {
          link = {};
          if (++seen == nth) {
            if (way == Way::kNeverCame) link.calls = false;
            if (way == Way::kNoAnswer) link.answers = false;
            if (way == Way::kRefused) link.refused = true;
            if (way == Way::kLateAnswer) link.slow_s = 0.6 * kLease;
            if (way == Way::kDoneLate) link.slow_s = 1.2 * kLease;
          }
        }
      };
      f.Run(30);
      f.engine.link(1) = {};
      EXPECT_TRUE(f.fleet.of(1).Sure(f.fleet.ClockOf(1)))
          << "call " << nth << " way " << static_cast<int>(way);
      f.fleet.Leave(1);
      f.Run(2 * kLease);
      EXPECT_TRUE(f.AllSee(2)) << "call " << nth << " way " << static_cast<int>(way);
      f.Sound();
    }
  }
}

// Anything at any time.
TEST(Membership, RandomDays) {
  double most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet f(0, seed);
    emulator::Random random = emulator::Random(seed).Fork("day");
    std::vector<int> at(6, -1);
    for (int g = 0; g < 6; ++g) at[static_cast<size_t>(g)] = f.fleet.Start(g);
    for (int step = 0; step < 60; ++step) {
      f.Run(random.Between(0.05, 3));
      size_t g = random.Below(6);
      int p = at[g];
      switch (random.Below(12)) {
        case 0:
          f.fleet.Kill(p);
          at[g] = f.fleet.Start(static_cast<int>(g));
          break;
        case 1: f.fleet.Kill(p); break;
        case 2:
          if (!f.fleet.alive(p)) at[g] = f.fleet.Start(static_cast<int>(g));
          break;
        case 3: f.fleet.Pause(p); break;
        case 4: f.fleet.Resume(p); break;
        case 5: f.engine.link(p).calls = false; break;
        case 6: f.engine.link(p).answers = false; break;
        case 7: f.engine.link(p) = {}; break;
        case 8: f.engine.link(p).lost = random.Between(0, 0.5); break;
        case 9: f.engine.away = !f.engine.away; break;
        case 10: f.engine.link(p).slow_s = random.Between(0, 2); break;
        default: f.fleet.MoveClock(p, random.Between(0, 1)); break;
      }
    }
    f.engine.away = false;
    for (int g = 0; g < 6; ++g) {
      int p = at[static_cast<size_t>(g)];
      f.engine.link(p) = {};
      f.fleet.Resume(p);
      if (!f.fleet.alive(p)) at[static_cast<size_t>(g)] = f.fleet.Start(g);
    }
    EXPECT_GE(f.Until(6, [&] { return f.AllSee(6); }), 0) << "seed " << seed;
    f.Sound();
    if (HasFailure()) FAIL() << "seed " << seed;
    most = std::max(most, f.fleet.most_parts);
  }
  EXPECT_GT(most, 0.9) << "parts are used";
}

TEST(Member, IsReadBackAsWritten) {
  Member m;
  m.name = "n7";
  m.boot = "0123abcd";
  m.address = "127.0.0.1:5000";
  m.version = "1.2";
  m.zone = 2;
  m.capacity = 0.5;
  m.slot = 41;
  m.state = State::kLeaving;
  m.heir = true;
  Member back = Read("n7", Write(m));
  EXPECT_EQ(Write(back), Write(m));
  EXPECT_TRUE(back.known);
  for (const char* text :
       {"", "{", "[]", "{\"form\":1}", "{\"form\":1,\"boot\":7}", "{\"form\":2,\"boot\":\"x\"}"}) {
    Member odd = Read("n1", text);
    EXPECT_FALSE(odd.known) << text;
    EXPECT_EQ(odd.name, "n1");
  }
  EXPECT_EQ(Read("n1", R"({"form":1,"boot":"b","slot":1e99,"zone":-5,"capacity":"x"})").slot, -1);
}

}  // namespace
}  // namespace ivygw::membership
