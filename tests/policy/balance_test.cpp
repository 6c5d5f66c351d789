#include "policy/balance.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "policy/quotas.h"
#include "rig/policy_site.h"

namespace micadock {
namespace {

class Bench {
 public:
  explicit Bench(const Settings& s, int backends = 4, double start = 100) : now(start), b(s, 7, start, &out) {
    std::vector<Backend> list;
    for (int i = 0; i < backends; ++i) {
      Backend e;
      e.id = 50 + static_cast<uint32_t>(i);
      e.cell = i / 2;
      e.weight = 1;
      list.push_back(e);
    }
    b.OnList(now, ListKind::kCached, list, &out);
    out.clear();
  }

  uint32_t Ask(double units = 1, int cls = 0, double left = 1.0, uint64_t customer = 9, double entries = 1) {
    Request r;
    r.id = ++last;
    r.cls = cls;
    r.customer = customer;
    r.left_s = left;
    r.units = units;
    r.entries = entries;
    out.clear();
    b.OnRequest(now, r, &out);
    return r.id;
  }

  const Action* Got(ActionKind kind) const {
    auto it = std::find_if(out.begin(), out.end(), [&](const Action& a) { return a.kind == kind; });
    return it == out.end() ? nullptr : &*it;
  }
  bool Sent() const { return Got(ActionKind::kSend) != nullptr; }

  void End(uint32_t id, uint32_t backend, Result result, int attempt = 0, double true_units = 0) {
    Outcome o;
    o.request = id;
    o.attempt = attempt;
    o.result = result;
    o.finished = result == Result::kOk;
    o.backend = backend;
    o.true_units = true_units;
    out.clear();
    b.OnOutcome(now, o, &out);
  }

  // Asks and answers at once; true if it was let in.
  bool Serve(double units = 1, uint64_t customer = 9, double entries = 1, double true_units = 0) {
    uint32_t id = Ask(units, 0, 1.0, customer, entries);
    const Action* send = Got(ActionKind::kSend);
    if (const Action* count = Got(ActionKind::kCount)) calls.push_back(*count);
    if (send == nullptr) return false;
    uint32_t backend = send->backend;
    End(id, backend, Result::kOk, 0, true_units);
    return true;
  }

  void Tell(uint64_t name, double total, Result result = Result::kOk) {
    out.clear();
    b.OnCount(now, CountAnswer{name, total, result}, &out);
  }

  double now;
  uint32_t last = 0;
  Actions out;
  Actions calls;
  Balancer b;
};

TEST(Bucket, HoldsTheBurstAndRefillsAtTheRate) {
  Settings s = Site();
  s.may_count = false;
  Bench t(s);
  t.now = 100;  // a window's start
  int got = 0;
  for (int i = 0; i < 30; ++i) got += t.Serve();
  EXPECT_EQ(got, 10);
  t.now = 102.001;  // two seconds at two units a second
  got = 0;
  for (int i = 0; i < 30; ++i) got += t.Serve();
  EXPECT_EQ(got, 4);
}

TEST(Bucket, RefusalNamesTheLongestStayAway) {
  Settings s = Site();
  Bench t(s);
  while (t.Serve()) {
  }
  ASSERT_NE(t.Got(ActionKind::kRefuse), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kRefuse)->seconds, 2);
}

TEST(Share, SoftPlansAloneBorrow) {
  for (bool soft : {false, true}) {
    Settings s = Site();
    s.may_count = false;
    s.plans[0].over_cost = soft ? 0 : 1;
    s.plans[0].excess_worth = soft ? 0.3 : 0;
    Bench t(s);
    int got = 0;
    for (int i = 0; i < 100; ++i) {
      t.now = 100 + i * 0.02;
      for (uint64_t k = 0; k < 5; ++k) t.Serve(1, 100 + k + 5 * static_cast<uint64_t>(i));
      got += t.Serve();
    }
    if (soft) {
      EXPECT_GT(got, 40);
    } else {
      EXPECT_LE(got, 14);
    }
  }
}

TEST(Share, NothingIsLentAfterFull) {
  Settings s = Site();
  s.may_count = false;
  s.plans[0].over_cost = 0;
  s.plans[0].excess_worth = 0.3;
  Bench t(s);
  int got = 0;
  for (int i = 0; i < 100; ++i) {
    t.now = 100 + i * 0.02;
    for (uint64_t k = 0; k < 5; ++k) t.Serve(1, 100 + k + 5 * static_cast<uint64_t>(i));
    uint32_t id = t.Ask(1, 0, 1.0, 1000 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    bool full = i % 5 == 0;
    t.End(id, t.Got(ActionKind::kSend)->backend, full ? Result::kFull : Result::kOk);
    ASSERT_EQ(t.Sent(), full);
    if (full) t.End(id, t.Got(ActionKind::kSend)->backend, Result::kOk, 1);
    got += t.Serve();
  }
  EXPECT_LE(got, 14);
}

TEST(Counter, FirstPassIsAPartAndReadsAtOnce) {
  Bench t(Site());
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_GE(got, 3);
  EXPECT_LE(got, 4);
  ASSERT_EQ(t.calls.size(), 1u);  // one call in flight a name
}

TEST(Counter, OthersSendsAreTakenFromTheBucket) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls[0].tag, 9 + t.calls[0].amount);
  EXPECT_FALSE(t.Serve(2, 9, 3));
}

TEST(Counter, StoreIsCarriedOverTheWindow) {
  Bench t(Site(), 4, 104.98);
  ASSERT_TRUE(t.Serve(1, 9, 3));
  uint64_t name = t.calls[0].tag;
  t.now = 104.99;
  t.Tell(name, 19 + t.calls[0].amount);
  t.now = 105.01;  // the next window: the store is empty, not a burst again
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_LE(got, 1);
  ASSERT_GT(t.calls.size(), 0u);
  t.now = 130;
  t.Serve(1, 9, 3);
  ASSERT_GT(t.calls.size(), 1u);
  EXPECT_NE(t.calls.back().tag, name);  // and a name of its own
}

TEST(Counter, AWindowAfterAnOverspentOneHoldsNoStore) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls[0].tag, 2);  // another gateway has sent one
  t.calls.clear();
  t.now = 102;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_EQ(t.calls.size(), 1u);
  t.Tell(t.calls[0].tag, 32);  // twenty were to be had in this window
  t.calls.clear();
  int got = 0;
  for (int i = 0; i < 8; ++i) {
    t.now = 105.1 + 0.6 * i;
    got += t.Serve(1, 9, 3);
    for (const Action& a : t.calls) t.Tell(a.tag, 12);  // and ten in the next, which others have passed
    t.calls.clear();
  }
  EXPECT_LE(got, 1);
}

TEST(Counter, BatchesGrowWithTheTokensLeft) {
  Settings s = Site();
  s.plans[0].rate = 200;
  s.plans[0].burst = 1000;
  Bench t(s);
  ASSERT_TRUE(t.Serve(1, 9, 2));
  t.Tell(t.calls[0].tag, 2);  // another gateway has sent one
  t.calls.clear();
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  EXPECT_TRUE(t.calls.empty());
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  ASSERT_EQ(t.calls.size(), 1u);
  EXPECT_GT(t.calls[0].amount, 100);
}

TEST(Counter, ATimeOutIsNotAddedAgainBlindly) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(4));
  ASSERT_EQ(t.calls.back().amount, 4);
  t.Tell(t.calls.back().tag, 0, Result::kTimeout);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
  t.Tell(t.calls.back().tag, 1);  // it was lost, but might have been added
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
}

TEST(Counter, ARefusedCallAddedNothing) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(4));
  t.Tell(t.calls.back().tag, 0, Result::kFull);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 5);
}

TEST(Counter, ForgettingGivesNothingBack) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls.back().tag, 8 + t.calls.back().amount);
  size_t before = t.calls.size();
  t.now = 101.5;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_GT(t.calls.size(), before);
  t.Tell(t.calls.back().tag, t.calls.back().amount);  // others' eight are gone
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 0);
}

TEST(Counter, SilenceLeavesThisGatewaysPartAndFewCalls) {
  Settings s = Site();
  s.count_timeout_s = 0.03;
  Bench t(s);
  int got = 0, calls = 0;
  for (int i = 0; i < 1000; ++i) {
    t.now = 100 + i * 0.05;
    uint32_t id = t.Ask(1, 0, 1.0, 9, 2);
    const Action* send = t.Got(ActionKind::kSend);
    uint32_t at = send != nullptr ? send->backend : 0;
    if (const Action* count = t.Got(ActionKind::kCount)) {
      ++calls;
      t.Tell(count->tag, 0, Result::kTimeout);
      if (const Action* late = t.Got(ActionKind::kSend)) at = late->backend;
    }
    if (at != 0) t.End(id, at, Result::kOk);
    got += at != 0;
  }
  EXPECT_NEAR(got, 50 + 5, 7);  // half of two a second over 50 s, and a store
  EXPECT_LT(calls, 200);
}

TEST(Counter, SettledUnitsMoveTheBucketAndTotalsOnlyRise) {
  Bench t(Site());
  ASSERT_TRUE(t.Serve(4, 9, 1, 1));
  t.Tell(t.calls.back().tag, 4);
  int got = 0;
  for (int i = 0; i < 20; ++i) {
    got += t.Serve();
    for (const Action& a : t.calls) EXPECT_GE(a.amount, 0);
  }
  EXPECT_EQ(got, 9);  // ten, less the one unit it really was
}

TEST(Ceiling, IsSplitAndStartsEmpty) {
  Settings s = Site();
  s.plans[0].rate = 1000;
  s.plans[0].burst = 1000;
  s.plans[0].ceiling_rate = 30;
  s.plans[0].ceiling_burst = 60;
  s.plans[0].ceiling_slack = 6;
  s.may_count = false;  // nothing can be reserved: all is cut
  Bench t(s);
  EXPECT_FALSE(t.Serve(1, 9, 3));  // just started: what was spent before is not known
  t.now = 101.001;
  int got = 0;
  for (int i = 0; i < 200; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 10);
  t.now = 200;
  got = 0;
  for (int i = 0; i < 200; ++i) {
    got += t.Serve(1, 9, 3);
  }
  EXPECT_EQ(got, 21);  // a third of the store and of nearly all the slack
}

// Forty gateways: an even part of the ceiling holds no request.
Settings Pooled() {
  Settings s = Site();
  s.gateways = 40;
  s.count_timeout_s = 0.03;
  s.plans[0].ceiling_rate = 4;
  s.plans[0].ceiling_burst = 20;
  s.plans[0].ceiling_slack = 2;
  return s;
}
// Asks for three units, answers what the quota wants to know, and gives the call for the ceiling.
Action AskForPool(Bench* t) {
  t->now = 130;
  t->Ask(3, 0, 1.0, 9, 40);
  EXPECT_FALSE(t->Sent());
  const Action* call = t->Got(ActionKind::kCount);
  EXPECT_NE(call, nullptr) << "the quota first";
  for (int i = 0; call != nullptr && i < 2; ++i) {  // this window, and the one before
    Action quota = *call;
    t->Tell(quota.tag, quota.amount);
    EXPECT_FALSE(t->Sent());
    call = t->Got(ActionKind::kCount);
    if (call != nullptr && call->amount > 0) return *call;
  }
  ADD_FAILURE() << "the ceiling was not asked for";
  return {};
}

TEST(Ceiling, IsReservedBeforeTheSendWhereAPartHoldsNoRequest) {
  Bench t(Pooled());
  Action pool = AskForPool(&t);
  EXPECT_EQ(pool.amount, 3);
  t.Tell(pool.tag, 3);
  EXPECT_TRUE(t.Sent());
  EXPECT_EQ(t.Got(ActionKind::kCount), nullptr) << "it counts once";
}

TEST(Ceiling, WhatTheCounterDidNotAddOrMayNotHaveAddedIsNotSent) {
  for (Result lost : {Result::kTimeout, Result::kConnectFailed, Result::kFull}) {
    Bench t(Pooled());
    Action pool = AskForPool(&t);
    t.Tell(pool.tag, 0, lost);
    EXPECT_FALSE(t.Sent());
    EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr) << "and its client hears so at once";
  }
}

TEST(Ceiling, APoolThatOthersHaveUsedUpIsNotPassed) {
  Settings s = Pooled();
  Bench t(s);
  Action pool = AskForPool(&t);
  t.Tell(pool.tag, 10.95 + 0.1);  // of 10.95 a window; 8.05 were others'
  EXPECT_FALSE(t.Sent());
  const Action* refuse = t.Got(ActionKind::kRefuse);
  ASSERT_NE(refuse, nullptr);
  EXPECT_EQ(refuse->seconds, s.max_retry_after_s);
}

TEST(OpenCap, CountsOwnAttemptsOut) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  Bench t(s);
  uint32_t first = t.Ask();
  ASSERT_TRUE(t.Sent());
  uint32_t at = t.Got(ActionKind::kSend)->backend;
  t.Ask();
  ASSERT_TRUE(t.Sent());
  t.Ask();
  EXPECT_FALSE(t.Sent());
  t.End(first, at, Result::kOk);
  t.Ask();
  EXPECT_TRUE(t.Sent());
}

TEST(OpenCap, OthersAreHeardThroughTheCounterAndFade) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  Bench t(s);
  uint32_t id = t.Ask(1, 0, 1.0, 9, 2);
  const Action* count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 1);
  uint64_t name = count->tag;
  uint32_t at = t.Got(ActionKind::kSend)->backend;
  t.Tell(name, 2);  // own one, and one of another gateway
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.End(id, at, Result::kOk);
  ASSERT_NE(t.Got(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kCount)->amount, -1);
  t.Tell(name, 2);
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.now += 3;  // what was heard so long ago is over
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_TRUE(t.Sent());
}

TEST(Overload, TheLastRoomIsForWhatIsWorthMost) {
  Settings s = Site();
  s.classes[1].worth = 10;
  Bench t(s, 2);
  int sent[2] = {0, 0};
  for (int i = 0; i < 40; ++i) {
    t.Ask(1, i % 2, 1.0, static_cast<uint64_t>(100 + i));
    sent[i % 2] += t.Sent();
  }
  EXPECT_GE(sent[1], sent[0] + 2);
  EXPECT_GT(sent[0], 0);
}

TEST(Overload, SlowAnswersCutWhatIsOutAndQuickOnesRestoreIt) {
  Bench t(Site(), 1);
  auto most = [&](uint64_t from) {
    std::vector<uint32_t> ids;
    for (uint64_t k = 0; k < 50; ++k) {
      uint32_t id = t.Ask(1, 0, 1.4, from + k);
      if (t.Sent()) ids.push_back(id);
    }
    return ids;
  };
  auto ids = most(1000);
  size_t first = ids.size();
  for (int round = 0; round < 6; ++round) {
    t.now += 0.55;
    for (uint32_t id : ids) t.End(id, 50, Result::kOk);
    ids = most(2000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_LE(ids.size(), 1u);
  EXPECT_GT(first, 1u);
  for (int round = 0; round < 300; ++round) {
    t.now += 0.05;
    for (uint32_t id : ids) t.End(id, 50, Result::kOk);
    ids = most(10000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_GT(ids.size(), first);
}

TEST(Effects, FreeIsSentAgainAfterAnError) {
  Bench t(Site());
  uint32_t id = t.Ask();
  uint32_t at = t.Got(ActionKind::kSend)->backend;
  t.End(id, at, Result::kError);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kSend)->backend, at);
}

TEST(Effects, GuardedStaysInItsCellAndWindowAndFails) {
  Bench t(Site());
  uint32_t id = t.Ask(1, 1, 1.45);
  uint32_t at = t.Got(ActionKind::kSend)->backend;
  t.End(id, at, Result::kError);
  ASSERT_TRUE(t.Sent());
  uint32_t next = t.Got(ActionKind::kSend)->backend;
  EXPECT_EQ((next - 50) / 2, (at - 50) / 2);
  t.now += 1.25;  // past the window
  t.End(id, next, Result::kError, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kFail), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kRefuse), nullptr);
}

TEST(Effects, SingleShotIsNeitherSentAgainNorRefusedOnceItMayHaveRun) {
  Bench t(Site());
  uint32_t id = t.Ask(1, 2);
  t.End(id, t.Got(ActionKind::kSend)->backend, Result::kFull);
  ASSERT_TRUE(t.Sent());  // proved not to have run
  t.End(id, t.Got(ActionKind::kSend)->backend, Result::kReset, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kFail), nullptr);
}

TEST(Effects, TryLimitHolds) {
  Settings s = Site();
  s.try_limit = 2;
  Bench t(s);
  uint32_t id = t.Ask();
  t.End(id, t.Got(ActionKind::kSend)->backend, Result::kFull);
  ASSERT_TRUE(t.Sent());
  t.End(id, t.Got(ActionKind::kSend)->backend, Result::kFull, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
}

TEST(Backends, NothingGoesToADrainingOrGoneOne) {
  Bench t(Site(), 2);
  Backend e;
  e.id = 50;
  e.state = BackendState::kDraining;
  t.b.OnList(t.now, ListKind::kDelta, {e}, &t.out);
  for (int i = 0; i < 3; ++i) {
    t.Ask(1, 0, 1.0, static_cast<uint64_t>(20 + i));
    ASSERT_TRUE(t.Sent());
    EXPECT_EQ(t.Got(ActionKind::kSend)->backend, 51u);
  }
  e.id = 51;
  e.state = BackendState::kGone;
  t.b.OnList(t.now, ListKind::kDelta, {e}, &t.out);
  t.Ask(1, 0, 1.0, 40);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
}

TEST(Backends, AColdOneGetsABudget) {
  Bench t(Site(), 1);
  Backend e;
  e.id = 50;
  e.started_s = 99.9;
  t.b.OnList(t.now, ListKind::kDelta, {e}, &t.out);
  double work = 0;
  for (int i = 0; i < 500; ++i) {
    t.now = 100 + i * 0.002;
    work += t.Serve(1, static_cast<uint64_t>(100 + i)) ? 0.15 : 0;  // a quarter of the aim, until learned
  }
  EXPECT_GT(work, 0);
  EXPECT_LE(work, 2 * 0.27 * 1.0 / 3 + 0.15);  // a third of what one core may be sent in a second
}

// One attempt at a time, each answered after `took`; how many were let in over ten seconds.
int SteadyThroughput(Bench* t, double took) {
  int got = 0;
  double end = t->now + 10;
  while (t->now < end) {
    uint32_t id = t->Ask(1, 0, 1.4, 100000 + t->last);
    if (!t->Sent()) {
      t->now += 0.01;
      continue;
    }
    ++got;
    t->now += took;
    t->End(id, 50, Result::kOk);
  }
  return got;
}

TEST(Backends, ABusyFleetGivesAColdOneItsFractionOfTheWork) {
  Bench t(Site(), 4);
  std::vector<std::pair<uint32_t, uint32_t>> out;  // request and backend, answered 100 ms later
  int cold = 0, sent = 0;
  for (int i = 0; i < 600; ++i) {
    t.now = 100 + i * 0.01;  // each warm one does two to three and a third of these at a time
    if (i == 300) {
      Backend e;
      e.id = 50;
      e.started_s = t.now - 0.1;
      t.b.OnList(t.now, ListKind::kDelta, {e}, &t.out);
    }
    if (i >= 10 && out.size() > static_cast<size_t>(i - 10) && out[i - 10].first != 0) {
      t.End(out[i - 10].first, out[i - 10].second, Result::kOk);
    }
    t.Ask(1, 0, 1.0, static_cast<uint64_t>(1000 + i));
    const Action* send = t.Got(ActionKind::kSend);
    out.push_back(send != nullptr ? std::make_pair(t.last, send->backend) : std::make_pair(0u, 0u));
    if (send == nullptr || i < 300) continue;
    ++sent;
    cold += send->backend == 50;
  }
  EXPECT_GT(sent, 200);
  EXPECT_GT(cold,
            300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);  // more than the one-core bound gives in three seconds
  EXPECT_LT(cold, 300 / 4 * 0.4);                   // and no more than its fraction of an even part
}

TEST(Backends, ASlowOneWithoutAQueueKeepsOneAttempt) {
  Bench t(Site(), 1);
  EXPECT_GE(SteadyThroughput(&t, 0.2), 40);  // a third of the aim is its work, no queue
  Bench worse(Site(), 1);
  EXPECT_LE(SteadyThroughput(&worse, 0.9), 11);  // far past the aim: one at a time
}

// A gateway that sees a customer seldom has no later event of it at which to tell that an attempt has ended.
TEST(OpenCap, AnEndThatTheGapBetweenCallsHeldUpIsToldAfterIt) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 4;
  Bench t(s);
  for (uint64_t customer = 20; customer < 40; ++customer) {  // a counter that fails is called less
    t.now += 5;
    uint32_t id = t.Ask(1, 0, 1.0, customer, 2);
    const Action* send = t.Got(ActionKind::kSend);
    if (const Action* count = t.Got(ActionKind::kCount)) {
      uint64_t name = count->tag;
      uint32_t at = send != nullptr ? send->backend : 0;
      t.Tell(name, 0, Result::kTimeout);
      if (const Action* settled = t.Got(ActionKind::kSend)) at = settled->backend;
      if (at != 0) t.End(id, at, Result::kOk);
    }
  }
  t.now += 5;
  uint32_t id = t.Ask(1, 0, 1.0, 9, 2);
  const Action *send = t.Got(ActionKind::kSend), *count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  ASSERT_NE(send, nullptr);
  uint64_t name = count->tag;
  uint32_t at = send->backend;
  double told = count->amount;
  t.Tell(name, told);
  t.End(id, at, Result::kOk);
  ASSERT_EQ(t.Got(ActionKind::kCount), nullptr);
  bool ended = false;
  for (int i = 0; i < 40 && !ended; ++i) {
    t.now += 0.05;
    t.out.clear();
    t.b.OnTimer(t.now, kReportTimerTag, &t.out);
    const Action* count_later = t.Got(ActionKind::kCount);
    if (count_later == nullptr) continue;
    ended = count_later->tag == name && count_later->amount == -told;
    uint64_t called = count_later->tag;
    t.Tell(called, 0);
  }
  EXPECT_TRUE(ended);
}

// Seen by each gateway backend by backend, a lost zone would take one failed attempt for each of its
// backends.
TEST(Backends, SeveralSilentOnesOfAZoneAreOneEvent) {
  Bench t(Site(), 0);
  std::vector<Backend> list;
  for (uint32_t i = 0; i < 20; ++i) {
    Backend e;
    e.id = 50 + i;
    e.zone = static_cast<int>(i % 2);  // this gateway's is 0
    list.push_back(e);
  }
  t.b.OnList(t.now, ListKind::kFull, list, &t.out);
  int lost = 0, served = 0;
  for (int i = 0; i < 30; ++i) {
    t.now += 0.15;
    uint32_t id = t.Ask(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    int attempt = 0;
    while (const Action* send = t.Got(ActionKind::kSend)) {
      uint32_t at = send->backend;
      bool gone = (at - 50) % 2 == 0;
      lost += gone;
      served += !gone;
      t.End(id, at, gone ? Result::kConnectFailed : Result::kOk, attempt++);
    }
  }
  EXPECT_LE(lost, 5);
  EXPECT_EQ(served, 30);
}

// What was never sent, or whose client left, tells nothing of the zone.
TEST(Backends, AnAttemptThatEndedOnThisSideIsNoSilence) {
  for (Result result : {Result::kNeverSent, Result::kCancelled}) {
    Bench t(Site(), 0);
    std::vector<Backend> list(4);
    for (uint32_t i = 0; i < 4; ++i) {
      list[i].id = 50 + i;
      list[i].zone = static_cast<int>(i % 2);
    }
    t.b.OnList(t.now, ListKind::kFull, list, &t.out);
    int across = 0;
    for (int i = 0; i < 12; ++i) {
      t.now += 0.1;
      uint32_t id = t.Ask(1, 2, 1.4, 100 + static_cast<uint64_t>(i));
      const Action* send = t.Got(ActionKind::kSend);
      ASSERT_NE(send, nullptr);
      uint32_t at = send->backend;
      across += at % 2;
      t.out.clear();
      t.b.OnAbandoned(t.now, id, &t.out);
      t.End(id, at, result);
    }
    EXPECT_EQ(across, 0);
  }
}

TEST(Backends, OneThatTurnsSomeConnectionsAwayIsNotTakenForCold) {
  Bench t(Site(), 1);
  for (int i = 0; i < 4; ++i) {
    uint32_t id = t.Ask(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    t.End(id, 50, i % 3 == 2 ? Result::kOk : Result::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_GE(SteadyThroughput(&t, 0.05), 150);
}

TEST(Backends, OneThatWasDeadIsMetAsCold) {
  Bench t(Site(), 1);
  for (int i = 0; i < 12; ++i) {
    uint32_t id = t.Ask(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    if (t.Sent()) t.End(id, 50, Result::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_LE(SteadyThroughput(&t, 0.05), 60);
}

TEST(Backends, MostOfTheFleetIsNeverSetAside) {
  Bench t(Site(), 8);
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.002;
    uint32_t id = t.Ask(1, 2, 1.4, static_cast<uint64_t>(100 + i));
    const Action* send = t.Got(ActionKind::kSend);
    refused += send == nullptr;
    if (send != nullptr && send->backend < 54)
      t.End(id, send->backend, Result::kError);  // four of eight fail
  }
  EXPECT_EQ(refused, 0);  // the sound ones are full by then
}

TEST(Backends, OneThatFailsIsSetAside) {
  Bench t(Site(), 3);
  int bad = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.005;
    uint32_t id = t.Ask(1, 2, 1.0, static_cast<uint64_t>(100 + i));
    ASSERT_TRUE(t.Sent());
    uint32_t at = t.Got(ActionKind::kSend)->backend;
    bad += at == 50;
    t.End(id, at, at == 50 ? Result::kError : Result::kOk);
  }
  EXPECT_LE(bad, 4);
}

TEST(Attempts, TheLastAnswerComesBeforeTheClientGivesUp) {
  Bench t(Site());
  uint32_t id = t.Ask(1, 2, 0.2);
  const Action* timer = t.Got(ActionKind::kTimer);
  ASSERT_NE(timer, nullptr);
  EXPECT_LT(timer->seconds, 0.2);
  EXPECT_GT(timer->seconds, 0.1);
  uint64_t tag = timer->tag;
  t.now += timer->seconds;
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);
  ASSERT_NE(t.Got(ActionKind::kFail), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kFail)->request, id);
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);  // no longer wanted
  EXPECT_TRUE(t.out.empty());
}

TEST(Attempts, ASilentBackendIsLeft) {
  Bench t(Site());
  uint32_t id = t.Ask(1, 0, 1.4);
  uint32_t at = t.Got(ActionKind::kSend)->backend;
  uint64_t tag = t.Got(ActionKind::kTimer)->tag;
  t.now += t.Got(ActionKind::kTimer)->seconds + 0.001;
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);
  ASSERT_NE(t.Got(ActionKind::kCancel), nullptr);
  t.End(id, at, Result::kCancelled);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kSend)->backend, at);
}

// ---- many gateways ----

// A customer that comes in through a hundred gateways; tries may be held for the counter.
Settings Many() {
  Settings s = Site();
  s.gateways = 100;
  s.count_timeout_s = 0.03;
  return s;
}

TEST(Held, ATryIsCountedFirstAndGoesOnTheAnswer) {
  Bench t(Many());
  t.Ask(2, 0, 1.0, 9, 100);
  EXPECT_FALSE(t.Sent());
  const Action* count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 2);
  t.now += 0.004;
  t.Tell(count->tag, 4);  // others have sent two
  EXPECT_TRUE(t.Sent());
}

TEST(Held, OneBeyondTheQuotaIsRefusedAndTakenOffAgain) {
  Bench t(Many());
  t.Ask(2, 0, 1.0, 9, 100);
  const Action* count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  t.now += 0.004;
  t.Tell(count->tag, 13);  // others have sent a whole burst
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  ASSERT_NE(t.Got(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kCount)->amount, -2);
}

TEST(Held, EachGetsOneEndWhenTheCounterFails) {
  for (Result result : {Result::kTimeout, Result::kFull, Result::kConnectFailed}) {
    Bench t(Many());
    t.Ask(2, 0, 1.0, 9, 100);
    const Action* count = t.Got(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 0.03;
    t.Tell(count->tag, 0, result);
    EXPECT_NE(t.Sent(), t.Got(ActionKind::kRefuse) != nullptr);
  }
}

TEST(Held, TheFirstOfAWindowTellsWhatTheOneBeforeOverspent) {
  Settings s = Many();
  Bench t(s, 4, 100.5);  // early in a window of 5 s
  t.Ask(2, 0, 1.0, 9, 100);
  const Action* count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  uint64_t name = count->tag;
  t.now += 0.004;
  t.Tell(name, 2);  // the first
  EXPECT_FALSE(t.Sent());
  const Action* before = t.Got(ActionKind::kCount);
  ASSERT_NE(before, nullptr);
  EXPECT_NE(before->tag, name);
  EXPECT_EQ(before->amount, 0);
  t.now += 0.004;
  t.Tell(before->tag, 20);  // a burst and all that the rate gave were used there
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  ASSERT_NE(t.Got(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.Got(ActionKind::kCount)->tag, name);
  EXPECT_EQ(t.Got(ActionKind::kCount)->amount, 8);  // ten owed, two not sent
}

TEST(Held, OneLeftByItsClientIsNotSent) {
  Bench t(Many());
  uint32_t id = t.Ask(2, 0, 1.0, 9, 100);
  const Action* count = t.Got(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  uint64_t name = count->tag;
  t.b.OnAbandoned(t.now, id, &t.out);
  t.now += 0.004;
  t.Tell(name, 2);
  EXPECT_FALSE(t.Sent());
  EXPECT_EQ(t.Got(ActionKind::kRefuse), nullptr);
}

TEST(Held, OneWithLittleTimeIsDecidedAtOnce) {
  Bench t(Many());
  t.Ask(2, 0, 0.1, 9, 100);
  EXPECT_NE(t.Sent(), t.Got(ActionKind::kRefuse) != nullptr);
}

TEST(Held, AtACapTheAnswerDecides) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  for (double total : {2.0, 3.0}) {
    Bench t(s);
    t.Ask(1, 0, 1.0, 9, 100);
    EXPECT_FALSE(t.Sent());
    const Action* count = t.Got(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 0.004;
    t.Tell(count->tag, total);
    EXPECT_EQ(t.Sent(), total <= 2);
  }
}

// Of 400 tries of customers met for the first time, those that the counter is asked about. It answers after
// `wait`.
int Questions(const Settings& s, double wait) {
  Bench t(s);
  int asked = 0;
  for (int i = 0; i < 400; ++i) {
    t.now += 0.25;
    uint32_t id = t.Ask(1, 0, 1.0, 1000 + static_cast<uint64_t>(i), 100);
    if (const Action* count = t.Got(ActionKind::kCount); count != nullptr && !t.Sent()) {
      ++asked;
      uint64_t name = count->tag;
      t.now += wait;
      t.Tell(name, i % 2 == 0 ? 1 : 40);  // every other one is beyond its quota
    }
    if (const Action* send = t.Got(ActionKind::kSend)) t.End(id, send->backend, Result::kOk);
  }
  return asked;
}
constexpr double kQuick = 0.004, kCrowded = 0.05;  // s; the time-out is 0.03, and later answers still count

TEST(Held, ACrowdedCounterIsCalledLess) {
  EXPECT_GT(Questions(Many(), kQuick), 300);
  EXPECT_LT(Questions(Many(), kCrowded), 200);
}

// At a cap an answer is worth more than the crowding that a question makes: without it each of many gateways
// lets in one more by guess.
TEST(Held, ACrowdedCounterIsStillAskedAtACap) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 5;
  EXPECT_GT(Questions(s, kCrowded), 80);  // one each gap between calls
}

// Where use is far under the cap some attempts are told and stand for the rest, so that the sum stays right.
TEST(OpenCap, AttemptsFarUnderTheCapAreToldSampledAndEndAsTheyBegan) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 20;
  s.count_price = 0.02;  // no question is worth it here
  Bench t(s);
  int calls = 0;
  double begun = 0, net = 0;
  auto take = [&] {
    const Action* count = t.Got(ActionKind::kCount);
    if (count == nullptr) return;
    ++calls;
    begun += std::max(0.0, count->amount);
    net += count->amount;
    uint64_t name = count->tag;
    t.Tell(name, 0);
  };
  for (int i = 0; i < 600; ++i) {
    t.now += 0.3;
    uint32_t id = t.Ask(1, 0, 1.0, 9, 100);
    const Action* send = t.Got(ActionKind::kSend);
    uint32_t at = send != nullptr ? send->backend : 0;
    take();
    if (at == 0 && t.Got(ActionKind::kSend) != nullptr) at = t.Got(ActionKind::kSend)->backend;
    ASSERT_NE(at, 0u);
    t.now += 0.02;
    t.End(id, at, Result::kOk);
    take();
  }
  EXPECT_LT(calls, 400);
  EXPECT_NEAR(begun, 600, 200);
  EXPECT_NEAR(net, 0, 20);
}

TEST(Many, AFreshBackendIsNotSentOneRequestByEachGateway) {
  Settings s = Site();
  s.gateways = 300;
  s.may_count = false;
  int sent = 0;
  for (uint64_t g = 0; g < 300; ++g) {
    Actions out;
    Balancer b(s, 1000 + g, 100, &out);
    Backend e;
    e.id = 5;
    e.started_s = 99.9;
    b.OnList(100, ListKind::kCached, {e}, &out);
    Request r;
    r.id = 1;
    r.left_s = 1;
    r.units = 1;
    out.clear();
    b.OnRequest(100.1, r, &out);
    sent +=
        std::count_if(out.begin(), out.end(), [](const Action& a) { return a.kind == ActionKind::kSend; });
  }
  EXPECT_LT(sent, 10);
}

TEST(Many, SlowAnswersOfAllBackendsTogetherLowerWhatIsLetIn) {
  Settings s = Site();
  s.may_count = false;
  int let_in[2] = {0, 0};
  for (bool slow : {false, true}) {
    Bench t(s, 100);
    for (int i = 0; i < 200; ++i) {  // one at a time, seldom the same backend twice
      uint32_t id = t.Ask(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
      const Action* send = t.Got(ActionKind::kSend);
      uint32_t at = send != nullptr ? send->backend : 0;
      t.now += slow ? 0.5 : 0.05;
      if (at != 0) t.End(id, at, Result::kOk);
      let_in[slow] += at != 0;
    }
  }
  EXPECT_EQ(let_in[0], 200);
  EXPECT_LT(let_in[1], 130);
}

// At a few answers a second, each moves the share let in by much, and one slow one is chance.
TEST(Many, OneSlowAnswerAmongQuickOnesRefusesNobody) {
  Settings s = Site();
  s.may_count = false;
  Bench t(s, 60);
  int refused = 0;
  for (int i = 0; i < 120; ++i) {
    uint32_t id = t.Ask(1, 2, 1.4, 100 + static_cast<uint64_t>(i));
    const Action* send = t.Got(ActionKind::kSend);
    refused += send == nullptr;
    uint32_t at = send != nullptr ? send->backend : 0;
    t.now += i % 30 == 29 ? 0.9 : 0.06;  // the aim is 0.6
    if (at != 0) t.End(id, at, Result::kOk);
    t.now += 0.1;
  }
  EXPECT_EQ(refused, 0);
}

TEST(Input, NoSenseFromTheCounterOrTheListHarmsNothing) {
  Settings s = Many();
  s.gateways = 3;
  Bench t(s);
  for (double total :
       {-5.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    t.Tell(12345, total);       // a name nobody asked for
    t.Ask(1, 0, 1.0, 9, 1000);  // more entries than gateways
    const Action* count = t.Got(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 6;
    t.Tell(count->tag, total);
  }
  t.b.OnList(t.now, ListKind::kFull, {}, &t.out);
  t.Ask(1, 0, 1.0, 77, 1);
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  Backend e;
  e.id = 50;
  t.b.OnList(t.now, ListKind::kFull, {e}, &t.out);
  EXPECT_TRUE(t.Serve(1, 78, 1));
}

TEST(Input, WhatMakesNoSenseIsRefused) {
  Bench t(Site());
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  for (double units : {0.0, -1.0, nan, inf}) {
    t.Ask(units);
    EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  }
  for (double left : {0.0, -1.0, nan}) {
    t.Ask(1, 0, left);
    EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  }
  t.Ask(1, 9);
  EXPECT_NE(t.Got(ActionKind::kRefuse), nullptr);
  Bench none(Site(), 0);
  none.Ask();
  EXPECT_NE(none.Got(ActionKind::kRefuse), nullptr);
}

TEST(Input, UnknownIdsArePassedOver) {
  Bench t(Site());
  t.End(4711, 50, Result::kOk);
  t.b.OnAbandoned(t.now, 4711, &t.out);
  t.b.OnTimer(t.now, 4711, &t.out);
  t.b.OnStreamBegun(t.now, 4711, &t.out);
  t.Tell(4711, 3);
  EXPECT_TRUE(t.out.empty());
}

}  // namespace
}  // namespace micadock
