// Tests of when a proposer may begin a proposal, and of proposal numbers.
#include "replication/proposer.h"

#include "replication/timing.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::replication;

namespace {

constexpr TimePoint kNow = TimePointOf(10);
constexpr uint64_t kIncarnation = 77;

Change ChangeOf(uint64_t revision) {
  Change change;
  change.revision = revision;
  return change;
}

}  // namespace

TEST_GROUP(Proposer) {
  Proposer proposer{kIncarnation};

  messages::Promise PromiseTo(const messages::Prepare& prepare) const {
    return {.revision = prepare.revision, .number = prepare.number, .accepted = std::nullopt};
  }
  // Runs both phases of a proposal for `revision`, decided by two of three acceptors.
  void Decide(uint64_t revision) {
    if (proposer.MustPrepare()) {
      messages::Prepare prepare = proposer.BeginPrepare(kNow, revision);
      proposer.OnPromise("a", PromiseTo(prepare), 2);
      CHECK(proposer.OnPromise("b", PromiseTo(prepare), 2));
    }
    messages::Accept accept = proposer.BeginAccept(kNow, ChangeOf(revision));
    CHECK(proposer.OnAccepted("a", {accept.revision, accept.number}));
    CHECK(proposer.OnAccepted("b", {accept.revision, accept.number}));
    Change change;
    LONGS_EQUAL(revision, proposer.OnDecided(kNow, &change).revision);
    LONGS_EQUAL(revision, change.revision);
    proposer.OnAdvanced(revision);
  }
};

TEST(Proposer, ItsNumberIsAboveAnyThatItHasSeen) {
  proposer.OnNumberSeen({.counter = 40, .proposer = 1});
  messages::Prepare prepare = proposer.BeginPrepare(kNow, 1);
  LONGS_EQUAL(41, prepare.number.counter);
  LONGS_EQUAL(kIncarnation, prepare.number.proposer);
}

TEST(Proposer, AMajorityOfPromisesLastsForLaterRevisions) {
  CHECK(proposer.MustPrepare());
  Decide(1);
  CHECK(!proposer.MustPrepare());
  Decide(2);
  proposer.OnEpochBegins();
  CHECK(proposer.MustPrepare());
}

TEST(Proposer, TheSamePromiseTwiceIsNoMajority) {
  messages::Prepare prepare = proposer.BeginPrepare(kNow, 1);
  CHECK(!proposer.OnPromise("a", PromiseTo(prepare), 2));
  CHECK(!proposer.OnPromise("a", PromiseTo(prepare), 2));
  CHECK(proposer.OnPromise("b", PromiseTo(prepare), 2));
}

TEST(Proposer, AdoptsTheAcceptedChangeWithTheHighestNumber) {
  messages::Prepare prepare = proposer.BeginPrepare(kNow, 1);
  for (uint64_t counter : {3, 9, 5}) {
    messages::Promise promise = PromiseTo(prepare);
    Change change = ChangeOf(1);
    change.pruned = {std::to_string(counter)};
    promise.accepted = AcceptedChange{{.counter = counter, .proposer = 1}, change};
    proposer.OnPromise("acceptor " + std::to_string(counter), promise, 3);
  }
  STRCMP_EQUAL("9", proposer.TakeAdopted()->pruned.front().c_str());
}

TEST(Proposer, AnswersToAnEarlierProposalCountForNothing) {
  messages::Prepare earlier = proposer.BeginPrepare(kNow, 1);
  proposer.Abandon(kNow);
  messages::Prepare prepare = proposer.BeginPrepare(kNow, 1);
  CHECK(!proposer.OnPromise("a", PromiseTo(earlier), 1));
  CHECK(!proposer.OnRejected({earlier.revision, earlier.number, {.counter = 50, .proposer = 1}}));
  CHECK(proposer.OnRejected({prepare.revision, prepare.number, {.counter = 60, .proposer = 1}}));
  proposer.Abandon(kNow);
  CHECK(proposer.BeginPrepare(kNow, 1).number.counter > 60);
}

TEST(Proposer, PausesLongerAfterEachAbandonedProposal) {
  Duration longest{0};
  for (int i = 0; i < 10; ++i) {
    proposer.BeginPrepare(kNow, 1);
    proposer.Abandon(kNow);
    CHECK(!proposer.MayBegin(kNow));
    longest = std::max(longest, proposer.resume_at() - kNow);
    CHECK(proposer.MayBegin(proposer.resume_at()));
  }
  CHECK(longest > kMaxBackoff / 3);
  CHECK(longest <= kMaxBackoff);
}

TEST(Proposer, LeavesACompetitorItsTimeAndFinishesWhatWasLeft) {
  proposer.OnCompetitor(kNow);
  CHECK(!proposer.MayBegin(kNow));
  CHECK(proposer.MayBegin(kNow + kCompetitorDelay));
  Decide(1);
  CHECK(!proposer.MayBegin(kNow));  // a competitor is active: pauses after each decided change
  CHECK(proposer.MayBegin(kNow + kContentionPause));
  proposer.RequestRecovery();
  CHECK(proposer.MustPrepare());
  proposer.OnAdvanced(2);
  CHECK(!proposer.recovery_requested());
}

TEST(Proposer, APhaseThatTakesTooLongIsAbandoned) {
  proposer.BeginPrepare(kNow, 1);
  proposer.OnTime(kNow + kPhaseTimeout / 2);
  CHECK(proposer.phase() == Proposer::Phase::kPreparing);
  proposer.OnTime(kNow + kPhaseTimeout);
  CHECK(proposer.phase() == Proposer::Phase::kIdle);
  proposer.BeginPrepare(kNow, 1);
  proposer.OnTime(kNow + kPhaseTimeout);  // after a timeout the next phase gets twice the time
  CHECK(proposer.phase() == Proposer::Phase::kPreparing);
}
