// Checks the phases of a drain for several grace periods at every time and state of requests and connections.
#include "drain/drain_manager.h"

#include <CppUTest/TestHarness.h>  // last, because it redefines operator new

using namespace ivygw::drain;

namespace {

constexpr double kGraces[] = {0.5, 1, 2, 6, 30};
constexpr double kStep = 0.01;

DrainManager BegunAtZero(double grace) {
  DrainManager manager(DrainSchedule::ForGrace(grace));
  manager.Begin(0);
  return manager;
}

}  // namespace

TEST_GROUP(DrainManagerTest){};

TEST(DrainManagerTest, PhasesFollowEachOtherAndTheEndIsWithinTheGrace) {
  for (double grace : kGraces) {
    DrainManager manager = BegunAtZero(grace);
    for (bool active : {false, true}) {
      for (bool open : {false, true}) {
        DrainPhase last = DrainPhase::kAnnounced;
        for (double now = 0; now < grace; now += kStep) {
          DrainPhase phase = manager.PhaseAt(now, active, open);
          CHECK(phase >= last);
          last = phase;
        }
        CHECK(last == DrainPhase::kEnded);
      }
    }
  }
}

// Every request that is served ends before the process does, and none is served after the refusal phase
// begins.
TEST(DrainManagerTest, ServedRequestsEndBeforeTheProcess) {
  for (double grace : kGraces) {
    DrainManager manager = BegunAtZero(grace);
    for (double now = 0; now < grace; now += kStep) {
      for (double deadline = now; deadline < now + grace; deadline += kStep) {
        if (!manager.MayServe(now, deadline)) continue;
        CHECK(manager.PhaseAt(now, true, true) < DrainPhase::kRefusing);
        CHECK(manager.PhaseAt(deadline - kStep, true, true) != DrainPhase::kEnded);
      }
    }
  }
}

// Without requests and connections the process does not wait. With open connections but no request it waits
// until new requests are refused.
TEST(DrainManagerTest, EndsAsSoonAsNothingIsActive) {
  DrainManager manager = BegunAtZero(6);
  CHECK(manager.PhaseAt(2.4, false, false) == DrainPhase::kAnnounced);
  CHECK(manager.PhaseAt(2.6, false, false) == DrainPhase::kEnded);
  CHECK(manager.PhaseAt(2.6, false, true) == DrainPhase::kClosing);
  CHECK(manager.PhaseAt(3.1, false, true) == DrainPhase::kEnded);
  CHECK(manager.PhaseAt(3.1, true, false) == DrainPhase::kRefusing);
}

TEST(DrainManagerTest, ASecondSignalDoesNotRestartTheDrain) {
  DrainManager manager(DrainSchedule::ForGrace(6));
  CHECK(manager.PhaseAt(100, false, false) == DrainPhase::kServing);
  CHECK(manager.MayServe(100, 200));
  CHECK(manager.Begin(100));
  CHECK(!manager.Begin(103));
  CHECK(manager.PhaseAt(105.7, true, true) == DrainPhase::kEnded);
}
