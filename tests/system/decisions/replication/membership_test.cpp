// Tests of failure detection and of which membership change is due.
#include "replication/membership_manager.h"
#include "replication/timing.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::replication;

namespace {

constexpr TimePoint kNow = TimePointOf(10);

Membership ThreeMembers() {
  return {.epoch = 5, .members = {{"10.0.0.1", 1, "a"}, {"10.0.0.2", 2, "b"}, {"10.0.0.3", 3, "c"}}};
}

}  // namespace

// Tests from the point of view of 10.0.0.1, whose store has ID 1.
TEST_GROUP(Members) {
  Membership membership = ThreeMembers();
  PeerTable peers;
  FailureDetector detector;
  QuorumContact contact;
  MembershipManager manager{"10.0.0.1", 3};

  void Receive(TimePoint now, const std::string& address, uint64_t store_id, uint64_t durable_revision = 0) {
    peers.SetConnected(address, true);
    PeerHeader header;
    header.epoch = membership.epoch;
    header.store_id = store_id;
    header.durable_revision = durable_revision;
    peers.OnMessage(now, address, header, 0);
  }
  void AnswerHeartbeat(TimePoint now, const std::vector<std::string>& addresses) {
    messages::Heartbeat heartbeat = detector.BeginHeartbeat(now);
    for (const std::string& address : addresses) detector.OnHeartbeatReply(address, {heartbeat.number});
  }
  bool QuorumIsAlive(TimePoint now) const {
    return detector.QuorumIsAlive(now, membership, "10.0.0.1", 1, peers);
  }
  std::optional<Membership> Check(TimePoint now, uint64_t revision = 100) {
    return manager.Check(now, {membership, revision, 1, peers, detector, contact}, false);
  }
  // This core is in contact. The other members have last answered at kNow.
  void ContactOthersAtNow() {
    contact.OnQuorum(kNow);
    contact.OnInitialReadEnded(true, 100);
    Receive(kNow, "10.0.0.2", 2);
    Receive(kNow, "10.0.0.3", 3);
    AnswerHeartbeat(kNow, {"10.0.0.2", "10.0.0.3"});
  }
};

TEST(Members, AMajorityIsAliveWithTheStoresOfTheMembers) {
  CHECK(!QuorumIsAlive(kNow));
  AnswerHeartbeat(kNow, {"10.0.0.2"});
  Receive(kNow, "10.0.0.2", 99);  // another store, as the machine has lost its disk
  CHECK(!QuorumIsAlive(kNow));
  Receive(kNow, "10.0.0.2", 2);
  CHECK(QuorumIsAlive(kNow));
  CHECK(!QuorumIsAlive(kNow + kContactTimeout));
  membership.epoch = 0;  // the membership is not known yet
  CHECK(!QuorumIsAlive(kNow));
}

TEST(Members, ALateAnswerCountsFromWhenItsHeartbeatWasSent) {
  Receive(kNow, "10.0.0.2", 2);
  messages::Heartbeat heartbeat = detector.BeginHeartbeat(kNow);
  TimePoint late = kNow + kContactTimeout / 2;
  CHECK(detector.HeartbeatDue(late));
  detector.BeginHeartbeat(late);
  detector.OnHeartbeatReply("10.0.0.2", {heartbeat.number});
  CHECK(detector.last_contact("10.0.0.2") == kNow);
  detector.OnHeartbeatReply("10.0.0.2", {heartbeat.number + 100});  // never sent
  CHECK(detector.last_contact("10.0.0.2") == kNow);
}

TEST(Members, NothingIsDueWhileAllAnswer) {
  ContactOthersAtNow();
  Receive(kNow, "10.0.0.9", 9, 100);
  CHECK(!Check(kNow));
  CHECK(!manager.CheckDue(kNow));
  CHECK(manager.CheckDue(kNow + kMembershipCheckInterval));
}

TEST(Members, ASilentMemberIsReplacedByALearnerThatHasCaughtUp) {
  ContactOthersAtNow();
  TimePoint later = kNow + kMemberFailureTimeout;
  AnswerHeartbeat(later, {"10.0.0.2"});
  Receive(later, "10.0.0.9", 9, 99);
  CHECK(!Check(later));  // its disk lacks a change
  Receive(later, "10.0.0.9", 9, 100);
  std::optional<Membership> next = Check(later);
  CHECK(next.has_value());
  LONGS_EQUAL(6, next->epoch);
  CHECK(next->Contains("10.0.0.9", 9));
  CHECK(!next->Contains("10.0.0.3", 3));
}

TEST(Members, AMachineThatLostItsDiskTakesItsOwnPlaceAtOnce) {
  ContactOthersAtNow();
  Receive(kNow, "10.0.0.3", 33, 100);
  std::optional<Membership> next = Check(kNow);
  CHECK(next && next->Contains("10.0.0.3", 33) && !next->Contains("10.0.0.3", 3));
}

TEST(Members, ALaterMemberWaitsForTheFirst) {
  MembershipManager third("10.0.0.3", 3);
  contact.OnQuorum(kNow);
  Receive(kNow, "10.0.0.1", 1);
  Receive(kNow, "10.0.0.2", 22, 100);  // has lost its disk
  AnswerHeartbeat(kNow, {"10.0.0.1"});
  MembershipManager::View view{membership, 100, 3, peers, detector, contact};
  CHECK(!third.Check(kNow, view, false));
  CHECK(third.Check(kNow + kMembershipStagger, view, false).has_value());
}

TEST(Members, AJoiningMemberIsWaitedForUnlessItIsSilentOrItsDiskHangs) {
  Member joining{"10.0.0.9", 9, "a"};
  manager.OnProposed(kNow, 101);
  CHECK(manager.MayDecideWithout(kNow, joining, peers));  // unknown to this core
  Receive(kNow, "10.0.0.9", 9);
  CHECK(!manager.MayDecideWithout(kNow, joining, peers));
  CHECK(manager.MayDecideWithout(kNow + kJoinSilenceTimeout, joining, peers));
  TimePoint hangs = kNow + kJoinTimeout;
  Receive(hangs, "10.0.0.9", 9);
  CHECK(manager.MayDecideWithout(hangs, joining, peers));
}
