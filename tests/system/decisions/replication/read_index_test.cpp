// Tests of the revision that a linearizable read must wait for.
#include "replication/read_index.h"

#include "replication/timing.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::replication;

namespace {

constexpr TimePoint kNow = TimePointOf(10);
constexpr TimePoint kDeadline = TimePointOf(11);
constexpr size_t kQuorum = 2;

}  // namespace

TEST_GROUP(ReadIndex) {
  ReadIndex reads;
  void CloseRound(uint64_t first, uint64_t second, bool second_undecided = false) {
    CHECK(!reads.OnReply(kNow, "a", first, false, kQuorum));
    CHECK(reads.OnReply(kNow, "b", second, second_undecided, kQuorum));
  }
};

TEST(ReadIndex, AReadWaitsForTheHighestRevisionOfAMajority) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  CloseRound(7, 9);
  CHECK(reads.Ready(8).empty());
  CHECK(reads.Ready(9) == std::vector<ReadId>{1});
  CHECK(reads.Remove(1));
  CHECK(!reads.Remove(1));
}

TEST(ReadIndex, AnAnswerGivenBeforeTheCallCountsForNothing) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  reads.Add(2, kDeadline);  // members may have answered the round before this read
  CloseRound(7, 7);
  CHECK(reads.Ready(7) == std::vector<ReadId>{1});
  CHECK(reads.AnyWithoutIndex());
  reads.BeginRound(kNow);
  CloseRound(8, 8);
  CHECK((reads.Ready(8) == std::vector<ReadId>{1, 2}));
}

TEST(ReadIndex, AnAcceptedChangeIsWaitedForUntilItIsShownNotToBeDecided) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  CloseRound(7, 7, true);
  CHECK(reads.Ready(7).empty());
  reads.OnNothingUndecided(7, kNow - Duration(1));  // phase 1 began before the index was known
  CHECK(reads.Ready(7).empty());
  reads.OnNothingUndecided(7, kNow);
  CHECK(reads.Ready(7) == std::vector<ReadId>{1});
}

TEST(ReadIndex, AnAcceptedChangeThatAnotherMemberHasAppliedIsDecided) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  CHECK(!reads.OnReply(kNow, "a", 6, true, kQuorum));  // has accepted revision 7
  CHECK(reads.OnReply(kNow, "b", 7, false, kQuorum));  // has applied revision 7
  CHECK(reads.Ready(7) == std::vector<ReadId>{1});
}

TEST(ReadIndex, ARoundThatWasCancelledIsNotAnswered) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  reads.CancelRound();
  CHECK(!reads.OnReply(kNow, "a", 7, false, 1));
  CHECK(reads.RoundTimedOut(kNow));
  reads.BeginRound(kNow);  // the read moves on to the next round
  CloseRound(7, 7);
  CHECK(reads.Ready(7) == std::vector<ReadId>{1});
}

TEST(ReadIndex, ReportsReadsThatHaveWaitedTooLong) {
  reads.Add(1, kDeadline);
  reads.BeginRound(kNow);
  CHECK(!reads.RoundTimedOut(kNow));
  CHECK(reads.RoundTimedOut(kNow + kReadRoundTimeout));
  CHECK(reads.CheckDeadlines(kNow, 7).waits_for_index);
  CloseRound(7, 7, true);
  CHECK(!reads.CheckDeadlines(kNow, 7).waits_for_undecided);
  CHECK(reads.CheckDeadlines(kNow + kUndecidedReadTimeout, 7).waits_for_undecided);
  CHECK(reads.CheckDeadlines(kNow, 7).expired.empty());
  CHECK(reads.CheckDeadlines(kDeadline, 7).expired == std::vector<ReadId>{1});
}
