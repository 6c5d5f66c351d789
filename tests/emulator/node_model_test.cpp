#include "emulator/node_model.h"

#include <gtest/gtest.h>

#include <map>

namespace ivygw::emulator {
namespace {

// A node with its replies by time.
struct Rig {
  explicit Rig(NodeSpec spec = {}, bool cold = false) : node(spec, 7, 0, cold, &memory) {}
  void Begin(double now, uint64_t attempt, double work, double over_at = kNever, std::string key = "") {
    Run(now);
    std::vector<Reply> out;
    node.Begin(now, {attempt, work, over_at, std::move(key)}, &out);
    Keep(now, out);
  }
  void Cancel(double now, uint64_t attempt) {
    Run(now);
    std::vector<Reply> out;
    node.Cancel(now, attempt, &out);
    Keep(now, out);
  }
  // As its driver does: at each time that it names.
  void Run(double until) {
    for (int i = 0; i < 100000 && node.Next() <= until; ++i) {
      double next = node.Next();
      std::vector<Reply> out;
      node.Advance(next, &out);
      Keep(next, out);
    }
    std::vector<Reply> out;
    node.Advance(until, &out);
    Keep(until, out);
  }
  void Keep(double now, const std::vector<Reply>& out) {
    for (const Reply& r : out) {
      EXPECT_EQ(replies.count(r.attempt), 0u) << "one reply each";
      replies[r.attempt] = r;
      at[r.attempt] = now;
    }
  }
  RepeatMemory memory{3};
  NodeModel node;
  std::map<uint64_t, Reply> replies;
  std::map<uint64_t, double> at;
};

NodeSpec OneCore() {
  NodeSpec spec;
  spec.cores = 1;
  spec.slots = 1;
  spec.queue = 2;
  return spec;
}

TEST(NodeModel, WorksOffItsQueueInOrder) {
  Rig rig(OneCore());
  rig.Begin(0, 1, 0.1);
  rig.Begin(0, 2, 0.2);
  rig.Begin(0.05, 3, 0.1);
  EXPECT_EQ(rig.node.queued(), 2u);
  rig.Run(1);
  EXPECT_NEAR(rig.at[1], 0.1, 1e-9);
  EXPECT_NEAR(rig.at[2], 0.3, 1e-9);
  EXPECT_NEAR(rig.at[3], 0.4, 1e-9);
  EXPECT_EQ(rig.replies[3].kind, ReplyKind::kServed);
  EXPECT_TRUE(rig.replies[3].ran);
}

TEST(NodeModel, TurnsAwayWhatFindsNoRoom) {
  Rig rig(OneCore());
  for (uint64_t i = 1; i <= 4; ++i) rig.Begin(0, i, 1);
  ASSERT_EQ(rig.replies.count(4), 1u);
  EXPECT_EQ(rig.replies[4].kind, ReplyKind::kNotStarted);
  EXPECT_FALSE(rig.replies[4].ran);
}

TEST(NodeModel, SharesItsCoresEvenlyAmongTheSlots) {
  NodeSpec spec;
  spec.cores = 2;
  spec.slots = 4;
  spec.speed = 0.5;
  Rig rig(spec);
  for (uint64_t i = 1; i <= 4; ++i) rig.Begin(0, i, 0.1);
  rig.Run(2);  // four on two cores of half speed: each gets a quarter
  for (uint64_t i = 1; i <= 4; ++i) EXPECT_NEAR(rig.at[i], 0.4, 1e-9);
}

TEST(NodeModel, LosesEfficiencyWhenOverfull) {
  NodeSpec spec = OneCore();
  spec.queue = 10;
  spec.thrash = 1;
  spec.thrash_at = 2;
  Rig rig(spec), calm(OneCore());
  for (uint64_t i = 1; i <= 4; ++i) rig.Begin(0, i, 0.1);
  calm.Begin(0, 1, 0.1);
  rig.Run(5);
  calm.Run(5);
  EXPECT_NEAR(calm.at[1], 0.1, 1e-9);
  EXPECT_NEAR(rig.at[1], 0.2, 1e-9) << "four held where two are borne: half as fast";
  EXPECT_NEAR(rig.at[4] - rig.at[3], 0.1, 1e-9);
}

TEST(NodeModel, StopsWhatIsCancelledOrOverdue) {
  Rig rig(OneCore());
  rig.Begin(0, 1, 1);
  rig.Begin(0, 2, 1, 0.9);  // waits; over before its turn
  rig.Begin(0, 3, 0.1, 0.95);
  rig.Cancel(0.92, 1);
  rig.Run(3);
  EXPECT_EQ(rig.replies.count(1), 0u) << "nobody is there to hear";
  EXPECT_EQ(rig.replies[2].kind, ReplyKind::kNotStarted);
  EXPECT_EQ(rig.replies[3].kind, ReplyKind::kError) << "begun, and stopped by its time";
  EXPECT_FALSE(rig.replies[3].ran);
  EXPECT_NEAR(rig.at[3], 0.95, 1e-9);
}

TEST(NodeModel, DropsARepeatWithinTheWindowAndOnlyThen) {
  Rig rig(OneCore());
  rig.Begin(0, 1, 0.1, kNever, "k");
  rig.Run(0.5);
  rig.Begin(0.5, 2, 0.1, kNever, "k");
  rig.Run(1);
  rig.Begin(3.2, 3, 0.1, kNever, "k");
  rig.Run(4);
  EXPECT_TRUE(rig.replies[1].ran);
  EXPECT_EQ(rig.replies[2].kind, ReplyKind::kServed);
  EXPECT_FALSE(rig.replies[2].ran);
  EXPECT_TRUE(rig.replies[3].ran) << "forgotten after the window";
}

// What stopped unfinished has had no effect, so its repeat must run.
TEST(NodeModel, ARepeatOfWhatWasCancelledRuns) {
  Rig rig(OneCore());
  rig.Begin(0, 1, 1, kNever, "k");
  rig.Cancel(0.5, 1);
  rig.Begin(0.6, 2, 0.1, kNever, "k");
  rig.Run(1);
  EXPECT_TRUE(rig.replies[2].ran);
}

TEST(NodeModel, ACapacityThatRisesFromColdToWarm) {
  NodeSpec spec = OneCore();
  spec.cold_from = 0.2;
  spec.warm_s = 10;
  Rig rig(spec, true);
  EXPECT_NEAR(rig.node.Capacity(0), 0.2, 1e-9);
  EXPECT_NEAR(rig.node.Capacity(5), 0.6, 1e-9);
  EXPECT_NEAR(rig.node.Capacity(10), 1, 1e-9);
  rig.Begin(0, 1, 0.1);
  rig.Run(2);
  // The area under 0.2 + 0.08 t reaches 0.1 at t = 0.456; in steps of 0.05 s a little later.
  EXPECT_NEAR(rig.at[1], 0.456, 0.02);
}

TEST(NodeModel, FallsOverWhenPushedWhileColdAndStaysDown) {
  NodeSpec spec;
  spec.cores = 1;
  spec.cold_from = 0.2;
  spec.warm_s = 10;
  Rig calm(spec, true), pushed(spec, true), warm(spec, false);
  for (uint64_t i = 1; i <= 5; ++i)
    calm.Begin(0.01 * static_cast<double>(i), i, 0.08);  // 0.4 + the largest: borne
  EXPECT_FALSE(calm.node.fallen());
  for (uint64_t i = 1; i <= 7; ++i) pushed.Begin(0.01 * static_cast<double>(i), i, 0.08);
  EXPECT_TRUE(pushed.node.fallen());
  EXPECT_FALSE(pushed.node.Connect(5));
  EXPECT_EQ(pushed.node.Next(), kNever);
  for (uint64_t i = 1; i <= 7; ++i) warm.Begin(0.01 * static_cast<double>(i), i, 0.08);
  EXPECT_FALSE(warm.node.fallen());
}

TEST(NodeModel, APauseAnswersNothingAndThenGoesOn) {
  Rig rig(OneCore());
  rig.Begin(0, 1, 0.2);
  std::vector<Reply> out;
  rig.Run(0.1);
  rig.node.Pause(0.1, 2.1, &out);
  rig.Begin(1, 2, 0.1);
  rig.Run(2.05);
  EXPECT_TRUE(rig.replies.empty());
  rig.Run(3);
  EXPECT_NEAR(rig.at[1], 2.2, 1e-9);
  EXPECT_NEAR(rig.at[2], 2.3, 1e-9);
}

TEST(NodeModel, CapsConnectionsAndPaysForHandshakes) {
  NodeSpec spec = OneCore();
  spec.connections = 2;
  spec.handshake_work_s = 0.05;
  Rig rig(spec);
  rig.Begin(0, 1, 0.1);
  EXPECT_TRUE(rig.node.Connect(0));
  EXPECT_TRUE(rig.node.Connect(0));
  EXPECT_FALSE(rig.node.Connect(0));
  rig.node.Disconnect();
  EXPECT_TRUE(rig.node.Connect(0));
  rig.Run(1);
  EXPECT_NEAR(rig.at[1], 0.25, 1e-9) << "three handshakes came between";
}

struct FaultCase {
  double NodeFaults::*share;
  ReplyKind kind;
  bool may_run, always;
};
class Faults : public testing::TestWithParam<FaultCase> {};
TEST_P(Faults, StrikeTheirShare) {
  NodeSpec spec;
  spec.slots = 100;
  spec.queue = 10000;
  Rig rig(spec);
  NodeFaults faults;
  faults.*GetParam().share = 0.5;
  rig.node.SetFaults(faults);
  for (uint64_t i = 1; i <= 1000; ++i) rig.Begin(0.01 * static_cast<double>(i), i, 0.001);
  rig.Run(20);
  int struck = 0, ran = 0;
  for (const auto& [id, reply] : rig.replies) {
    struck += reply.kind == GetParam().kind;
    ran += reply.kind == GetParam().kind && reply.ran;
  }
  EXPECT_EQ(rig.replies.size(), 1000u);
  EXPECT_NEAR(struck, 500, 60);
  EXPECT_EQ(ran > 0, GetParam().may_run);
  EXPECT_EQ(ran == struck, GetParam().always);
}
INSTANTIATE_TEST_SUITE_P(
    Each, Faults,
    testing::Values(FaultCase{&NodeFaults::error, ReplyKind::kError, true, false},
                    FaultCase{&NodeFaults::turn_away, ReplyKind::kNotStarted, false, false},
                    FaultCase{&NodeFaults::reset_early, ReplyKind::kResetEarly, false, false},
                    FaultCase{&NodeFaults::reset_late, ReplyKind::kReset, true, false},
                    FaultCase{&NodeFaults::spoilt, ReplyKind::kSpoilt, true, true},
                    FaultCase{&NodeFaults::cut, ReplyKind::kCut, true, true},
                    FaultCase{&NodeFaults::endless, ReplyKind::kEndless, true, true}));

TEST(NodeModel, AHangHoldsItsSlotUntilItIsCancelled) {
  Rig rig(OneCore());
  NodeFaults faults;
  faults.hang = 1;
  rig.node.SetFaults(faults);
  rig.Begin(0, 1, 0.1);
  rig.node.SetFaults({});
  rig.Begin(0.1, 2, 0.1);
  rig.Run(5);
  EXPECT_TRUE(rig.replies.empty());
  rig.Cancel(5, 1);
  rig.Run(6);
  EXPECT_NEAR(rig.at[2], 5.1, 1e-9);
}

}  // namespace
}  // namespace ivygw::emulator
