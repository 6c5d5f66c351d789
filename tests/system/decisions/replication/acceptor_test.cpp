// Tests of which proposals an acceptor promises and accepts.
#include "replication/acceptor.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::replication;

namespace {

constexpr TimePoint kNow = TimePointOf(10);
constexpr uint64_t kRevision = 4;  // the last one applied

messages::Prepare PrepareOf(uint64_t counter, uint64_t revision = kRevision + 1) {
  return {.revision = revision, .number = {.counter = counter, .proposer = 1}};
}
messages::Accept AcceptOf(uint64_t counter, uint64_t revision = kRevision + 1) {
  Change change;
  change.revision = revision;
  return {.revision = revision, .number = {.counter = counter, .proposer = 1}, .change = change};
}

}  // namespace

TEST_GROUP(Acceptor){};

TEST(Acceptor, PromisesNothingBelowWhatItHasPromised) {
  Acceptor acceptor({}, std::nullopt, kRevision);
  CHECK(acceptor.OnPrepare(PrepareOf(5), kRevision));
  CHECK(!acceptor.OnPrepare(PrepareOf(4), kRevision));
  CHECK(acceptor.OnPrepare(PrepareOf(5), kRevision));  // the same number again
  LONGS_EQUAL(5, acceptor.promised().counter);
  CHECK(!acceptor.OnPrepare(PrepareOf(6, kRevision), kRevision));  // already applied
  LONGS_EQUAL(5, acceptor.promised().counter);
}

TEST(Acceptor, AcceptsWhatIsNotBelowItsPromise) {
  Acceptor acceptor({}, std::nullopt, kRevision);
  CHECK(acceptor.OnPrepare(PrepareOf(5), kRevision));
  CHECK(!acceptor.OnAccept(kNow, AcceptOf(4), kRevision));
  CHECK(!acceptor.accepted());
  CHECK(acceptor.OnAccept(kNow, AcceptOf(7), kRevision));
  LONGS_EQUAL(7, acceptor.promised().counter);
  LONGS_EQUAL(7, acceptor.accepted()->number.counter);
  CHECK(!acceptor.OnAccept(kNow, AcceptOf(6), kRevision));
}

TEST(Acceptor, KnowsSinceWhenAChangeStandsUndecided) {
  Acceptor acceptor({}, std::nullopt, kRevision);
  CHECK(!acceptor.undecided_since());
  acceptor.OnAccept(kNow, AcceptOf(5), kRevision);
  acceptor.OnAccept(kNow + Duration(1), AcceptOf(6), kRevision);
  CHECK(acceptor.undecided_since() == kNow);
  acceptor.OnApplied();
  CHECK(!acceptor.accepted());
  CHECK(!acceptor.undecided_since());
}

TEST(Acceptor, AChangeFromDiskStandsUndecidedFromTheFirstTimeOn) {
  Change change;
  change.revision = kRevision + 1;
  Acceptor acceptor({}, AcceptedChange{{}, change}, kRevision);
  CHECK(acceptor.accepted().has_value());
  CHECK(!acceptor.undecided_since());
  acceptor.OnTime(kNow);
  CHECK(acceptor.undecided_since() == kNow);
  Acceptor later({}, AcceptedChange{{}, change}, kRevision + 1);
  CHECK(!later.accepted());  // its revision has been decided already
}

TEST(Acceptor, HandsADeferredAcceptOutOnceItsRevisionIsNext) {
  Acceptor acceptor({}, std::nullopt, kRevision);
  acceptor.Defer("10.0.0.1", AcceptOf(5, kRevision + 3));
  CHECK(!acceptor.TakeDeferred(kRevision));
  CHECK(acceptor.TakeDeferred(kRevision + 2)->from == "10.0.0.1");
  CHECK(!acceptor.TakeDeferred(kRevision + 2));
  acceptor.Defer("10.0.0.1", AcceptOf(5, kRevision + 3));
  CHECK(!acceptor.TakeDeferred(kRevision + 3));  // dropped, as its revision has been applied
  CHECK(!acceptor.TakeDeferred(kRevision + 2));
}
