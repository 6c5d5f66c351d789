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

class Harness {
 public:
  explicit Harness(const Settings& s, int backends = 4, double start = 100)
      : now(start), balancer(s, 7, start, &actions) {
    std::vector<Backend> list;
    for (int i = 0; i < backends; ++i) {
      Backend e;
      e.id = 50 + static_cast<uint32_t>(i);
      e.cell = i / 2;
      e.weight = 1;
      list.push_back(e);
    }
    balancer.OnList(now, ListKind::kCached, list, &actions);
    actions.clear();
  }

  uint32_t MakeRequest(double units = 1, int cls = 0, double left = 1.0, uint64_t customer = 9,
                       double entries = 1) {
    Request r;
    r.id = ++last;
    r.cls = cls;
    r.customer = customer;
    r.left_s = left;
    r.units = units;
    r.entries = entries;
    actions.clear();
    balancer.OnRequest(now, r, &actions);
    return r.id;
  }

  const Action* FindAction(ActionKind kind) const {
    auto it = std::find_if(actions.begin(), actions.end(), [&](const Action& a) { return a.kind == kind; });
    return it == actions.end() ? nullptr : &*it;
  }
  bool Sent() const { return FindAction(ActionKind::kSend) != nullptr; }

  void EndAttempt(uint32_t id, uint32_t backend, Result result, int attempt = 0, double true_units = 0) {
    Outcome o;
    o.request = id;
    o.attempt = attempt;
    o.result = result;
    o.finished = result == Result::kOk;
    o.backend = backend;
    o.true_units = true_units;
    actions.clear();
    balancer.OnOutcome(now, o, &actions);
  }

  // Makes a request and answers it at once; true if it was admitted.
  bool Serve(double units = 1, uint64_t customer = 9, double entries = 1, double true_units = 0) {
    uint32_t id = MakeRequest(units, 0, 1.0, customer, entries);
    const Action* send = FindAction(ActionKind::kSend);
    if (const Action* count = FindAction(ActionKind::kCount)) calls.push_back(*count);
    if (send == nullptr) return false;
    uint32_t backend = send->backend;
    EndAttempt(id, backend, Result::kOk, 0, true_units);
    return true;
  }

  void AnswerCounter(uint64_t name, double total, Result result = Result::kOk) {
    actions.clear();
    balancer.OnCount(now, CountAnswer{name, total, result}, &actions);
  }

  double now;
  uint32_t last = 0;
  Actions actions;
  Actions calls;
  Balancer balancer;
};

TEST(Bucket, HoldsTheBurstAndRefillsAtTheRate) {
  Settings s = Site();
  s.may_count = false;
  Harness t(s);
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
  Harness t(s);
  while (t.Serve()) {
  }
  ASSERT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kRefuse)->seconds, 2);
}

TEST(Share, SoftPlansAloneBorrow) {
  for (bool soft : {false, true}) {
    Settings s = Site();
    s.may_count = false;
    s.plans[0].over_cost = soft ? 0 : 1;
    s.plans[0].excess_worth = soft ? 0.3 : 0;
    Harness t(s);
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
  Harness t(s);
  int got = 0;
  for (int i = 0; i < 100; ++i) {
    t.now = 100 + i * 0.02;
    for (uint64_t k = 0; k < 5; ++k) t.Serve(1, 100 + k + 5 * static_cast<uint64_t>(i));
    uint32_t id = t.MakeRequest(1, 0, 1.0, 1000 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    bool full = i % 5 == 0;
    t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, full ? Result::kFull : Result::kOk);
    ASSERT_EQ(t.Sent(), full);
    if (full) t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, Result::kOk, 1);
    got += t.Serve();
  }
  EXPECT_LE(got, 14);
}

TEST(Counter, FirstPassIsAPartAndReadsAtOnce) {
  Harness t(Site());
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_GE(got, 3);
  EXPECT_LE(got, 4);
  ASSERT_EQ(t.calls.size(), 1u);  // one call at a time for each name
}

TEST(Counter, OthersSendsAreTakenFromTheBucket) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.AnswerCounter(t.calls[0].tag, 9 + t.calls[0].amount);
  EXPECT_FALSE(t.Serve(2, 9, 3));
}

TEST(Counter, StoreIsCarriedOverTheWindow) {
  Harness t(Site(), 4, 104.98);
  ASSERT_TRUE(t.Serve(1, 9, 3));
  uint64_t name = t.calls[0].tag;
  t.now = 104.99;
  t.AnswerCounter(name, 19 + t.calls[0].amount);
  t.now = 105.01;  // the next window: the bucket is still empty, not refilled to a burst
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_LE(got, 1);
  ASSERT_GT(t.calls.size(), 0u);
  t.now = 130;
  t.Serve(1, 9, 3);
  ASSERT_GT(t.calls.size(), 1u);
  EXPECT_NE(t.calls.back().tag, name);  // under a name of its own
}

TEST(Counter, AWindowAfterAnOverspentOneHoldsNoStore) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.AnswerCounter(t.calls[0].tag, 2);  // another gateway has sent one
  t.calls.clear();
  t.now = 102;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_EQ(t.calls.size(), 1u);
  t.AnswerCounter(t.calls[0].tag, 32);  // this window allowed twenty
  t.calls.clear();
  int got = 0;
  for (int i = 0; i < 8; ++i) {
    t.now = 105.1 + 0.6 * i;
    got += t.Serve(1, 9, 3);
    for (const Action& a : t.calls)
      t.AnswerCounter(a.tag, 12);  // the next allows ten, which others have exceeded
    t.calls.clear();
  }
  EXPECT_LE(got, 1);
}

TEST(Counter, BatchesGrowWithTheTokensLeft) {
  Settings s = Site();
  s.plans[0].rate = 200;
  s.plans[0].burst = 1000;
  Harness t(s);
  ASSERT_TRUE(t.Serve(1, 9, 2));
  t.AnswerCounter(t.calls[0].tag, 2);  // another gateway has sent one
  t.calls.clear();
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  EXPECT_TRUE(t.calls.empty());
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  ASSERT_EQ(t.calls.size(), 1u);
  EXPECT_GT(t.calls[0].amount, 100);
}

TEST(Counter, ATimeOutIsNotAddedAgainBlindly) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(4));
  ASSERT_EQ(t.calls.back().amount, 4);
  t.AnswerCounter(t.calls.back().tag, 0, Result::kTimeout);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
  t.AnswerCounter(t.calls.back().tag, 1);  // the call was lost, but might have been added
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
}

TEST(Counter, ARefusedCallAddedNothing) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(4));
  t.AnswerCounter(t.calls.back().tag, 0, Result::kFull);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 5);
}

TEST(Counter, ForgettingGivesNothingBack) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.AnswerCounter(t.calls.back().tag, 8 + t.calls.back().amount);
  size_t before = t.calls.size();
  t.now = 101.5;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_GT(t.calls.size(), before);
  t.AnswerCounter(t.calls.back().tag, t.calls.back().amount);  // others' eight are gone
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 0);
}

TEST(Counter, SilenceLeavesThisGatewaysPartAndFewCalls) {
  Settings s = Site();
  s.count_timeout_s = 0.03;
  Harness t(s);
  int got = 0, calls = 0;
  for (int i = 0; i < 1000; ++i) {
    t.now = 100 + i * 0.05;
    uint32_t id = t.MakeRequest(1, 0, 1.0, 9, 2);
    const Action* send = t.FindAction(ActionKind::kSend);
    uint32_t at = send != nullptr ? send->backend : 0;
    if (const Action* count = t.FindAction(ActionKind::kCount)) {
      ++calls;
      t.AnswerCounter(count->tag, 0, Result::kTimeout);
      if (const Action* late = t.FindAction(ActionKind::kSend)) at = late->backend;
    }
    if (at != 0) t.EndAttempt(id, at, Result::kOk);
    got += at != 0;
  }
  EXPECT_NEAR(got, 50 + 5, 7);  // half of two a second over 50 s, and a bucket
  EXPECT_LT(calls, 200);
}

TEST(Counter, SettledUnitsMoveTheBucketAndTotalsOnlyRise) {
  Harness t(Site());
  ASSERT_TRUE(t.Serve(4, 9, 1, 1));
  t.AnswerCounter(t.calls.back().tag, 4);
  int got = 0;
  for (int i = 0; i < 20; ++i) {
    got += t.Serve();
    for (const Action& a : t.calls) EXPECT_GE(a.amount, 0);
  }
  EXPECT_EQ(got, 9);  // ten, less the one unit that the response reported
}

TEST(Ceiling, IsSplitAndStartsEmpty) {
  Settings s = Site();
  s.plans[0].rate = 1000;
  s.plans[0].burst = 1000;
  s.plans[0].ceiling_rate = 30;
  s.plans[0].ceiling_burst = 60;
  s.plans[0].ceiling_slack = 6;
  s.may_count = false;  // nothing can be reserved: all of the ceiling is split evenly
  Harness t(s);
  EXPECT_FALSE(t.Serve(1, 9, 3));  // just started: units spent before are unknown
  t.now = 101.001;
  int got = 0;
  for (int i = 0; i < 200; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 10);
  t.now = 200;
  got = 0;
  for (int i = 0; i < 200; ++i) {
    got += t.Serve(1, 9, 3);
  }
  EXPECT_EQ(got, 21);  // a third of the burst and of nearly all the slack
}

// Forty gateways: an even part of the ceiling is less than one request.
Settings Pooled() {
  Settings s = Site();
  s.gateways = 40;
  s.count_timeout_s = 0.03;
  s.plans[0].ceiling_rate = 4;
  s.plans[0].ceiling_burst = 20;
  s.plans[0].ceiling_slack = 2;
  return s;
}
// Requests three units, answers the calls for the quota, and returns the call that reserves ceiling units.
Action AskForPool(Harness* t) {
  t->now = 130;
  t->MakeRequest(3, 0, 1.0, 9, 40);
  EXPECT_FALSE(t->Sent());
  const Action* call = t->FindAction(ActionKind::kCount);
  EXPECT_NE(call, nullptr) << "the quota first";
  for (int i = 0; call != nullptr && i < 2; ++i) {  // this window, and the one before
    Action quota = *call;
    t->AnswerCounter(quota.tag, quota.amount);
    EXPECT_FALSE(t->Sent());
    call = t->FindAction(ActionKind::kCount);
    if (call != nullptr && call->amount > 0) return *call;
  }
  ADD_FAILURE() << "no ceiling units were reserved";
  return {};
}

TEST(Ceiling, IsReservedBeforeTheSendWhereAPartHoldsNoRequest) {
  Harness t(Pooled());
  Action pool = AskForPool(&t);
  EXPECT_EQ(pool.amount, 3);
  t.AnswerCounter(pool.tag, 3);
  EXPECT_TRUE(t.Sent());
  EXPECT_EQ(t.FindAction(ActionKind::kCount), nullptr) << "it is counted once";
}

TEST(Ceiling, WhatTheCounterDidNotAddOrMayNotHaveAddedIsNotSent) {
  for (Result lost : {Result::kTimeout, Result::kConnectFailed, Result::kFull}) {
    Harness t(Pooled());
    Action pool = AskForPool(&t);
    t.AnswerCounter(pool.tag, 0, lost);
    EXPECT_FALSE(t.Sent());
    EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr) << "the client is refused at once";
  }
}

TEST(Ceiling, APoolThatOthersHaveUsedUpIsNotPassed) {
  Settings s = Pooled();
  Harness t(s);
  Action pool = AskForPool(&t);
  t.AnswerCounter(pool.tag, 10.95 + 0.1);  // of 10.95 a window; 8.05 were others'
  EXPECT_FALSE(t.Sent());
  const Action* refuse = t.FindAction(ActionKind::kRefuse);
  ASSERT_NE(refuse, nullptr);
  EXPECT_EQ(refuse->seconds, s.max_retry_after_s);
}

TEST(OpenCap, CountsOwnAttemptsOut) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  Harness t(s);
  uint32_t first = t.MakeRequest();
  ASSERT_TRUE(t.Sent());
  uint32_t at = t.FindAction(ActionKind::kSend)->backend;
  t.MakeRequest();
  ASSERT_TRUE(t.Sent());
  t.MakeRequest();
  EXPECT_FALSE(t.Sent());
  t.EndAttempt(first, at, Result::kOk);
  t.MakeRequest();
  EXPECT_TRUE(t.Sent());
}

TEST(OpenCap, OthersAreHeardThroughTheCounterAndFade) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  Harness t(s);
  uint32_t id = t.MakeRequest(1, 0, 1.0, 9, 2);
  const Action* count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 1);
  uint64_t name = count->tag;
  uint32_t at = t.FindAction(ActionKind::kSend)->backend;
  t.AnswerCounter(name, 2);  // one of its own, one of another gateway
  t.MakeRequest(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.EndAttempt(id, at, Result::kOk);
  ASSERT_NE(t.FindAction(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kCount)->amount, -1);
  t.AnswerCounter(name, 2);
  t.MakeRequest(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.now += 3;  // the report is stale by now
  t.MakeRequest(1, 0, 1.0, 9, 2);
  EXPECT_TRUE(t.Sent());
}

TEST(Overload, TheLastRoomIsForWhatIsWorthMost) {
  Settings s = Site();
  s.classes[1].worth = 10;
  Harness t(s, 2);
  int sent[2] = {0, 0};
  for (int i = 0; i < 40; ++i) {
    t.MakeRequest(1, i % 2, 1.0, static_cast<uint64_t>(100 + i));
    sent[i % 2] += t.Sent();
  }
  EXPECT_GE(sent[1], sent[0] + 2);
  EXPECT_GT(sent[0], 0);
}

TEST(Overload, SlowAnswersCutWhatIsOutAndQuickOnesRestoreIt) {
  Harness t(Site(), 1);
  auto most = [&](uint64_t from) {
    std::vector<uint32_t> ids;
    for (uint64_t k = 0; k < 50; ++k) {
      uint32_t id = t.MakeRequest(1, 0, 1.4, from + k);
      if (t.Sent()) ids.push_back(id);
    }
    return ids;
  };
  auto ids = most(1000);
  size_t first = ids.size();
  for (int round = 0; round < 6; ++round) {
    t.now += 0.55;
    for (uint32_t id : ids) t.EndAttempt(id, 50, Result::kOk);
    ids = most(2000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_LE(ids.size(), 1u);
  EXPECT_GT(first, 1u);
  for (int round = 0; round < 300; ++round) {
    t.now += 0.05;
    for (uint32_t id : ids) t.EndAttempt(id, 50, Result::kOk);
    ids = most(10000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_GT(ids.size(), first);
}

TEST(Effects, FreeIsSentAgainAfterAnError) {
  Harness t(Site());
  uint32_t id = t.MakeRequest();
  uint32_t at = t.FindAction(ActionKind::kSend)->backend;
  t.EndAttempt(id, at, Result::kError);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kSend)->backend, at);
}

TEST(Effects, GuardedStaysInItsCellAndWindowAndFails) {
  Harness t(Site());
  uint32_t id = t.MakeRequest(1, 1, 1.45);
  uint32_t at = t.FindAction(ActionKind::kSend)->backend;
  t.EndAttempt(id, at, Result::kError);
  ASSERT_TRUE(t.Sent());
  uint32_t next = t.FindAction(ActionKind::kSend)->backend;
  EXPECT_EQ((next - 50) / 2, (at - 50) / 2);
  t.now += 1.25;  // past the window
  t.EndAttempt(id, next, Result::kError, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kFail), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kRefuse), nullptr);
}

TEST(Effects, SingleShotIsNeitherSentAgainNorRefusedOnceItMayHaveRun) {
  Harness t(Site());
  uint32_t id = t.MakeRequest(1, 2);
  t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, Result::kFull);
  ASSERT_TRUE(t.Sent());  // kFull proves that it did not run
  t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, Result::kReset, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kFail), nullptr);
}

TEST(Effects, TryLimitHolds) {
  Settings s = Site();
  s.try_limit = 2;
  Harness t(s);
  uint32_t id = t.MakeRequest();
  t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, Result::kFull);
  ASSERT_TRUE(t.Sent());
  t.EndAttempt(id, t.FindAction(ActionKind::kSend)->backend, Result::kFull, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
}

TEST(Backends, NothingGoesToADrainingOrGoneOne) {
  Harness t(Site(), 2);
  Backend e;
  e.id = 50;
  e.state = BackendState::kDraining;
  t.balancer.OnList(t.now, ListKind::kDelta, {e}, &t.actions);
  for (int i = 0; i < 3; ++i) {
    t.MakeRequest(1, 0, 1.0, static_cast<uint64_t>(20 + i));
    ASSERT_TRUE(t.Sent());
    EXPECT_EQ(t.FindAction(ActionKind::kSend)->backend, 51u);
  }
  e.id = 51;
  e.state = BackendState::kGone;
  t.balancer.OnList(t.now, ListKind::kDelta, {e}, &t.actions);
  t.MakeRequest(1, 0, 1.0, 40);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
}

TEST(Backends, AColdOneGetsABudget) {
  Harness t(Site(), 1);
  Backend e;
  e.id = 50;
  e.started_s = 99.9;
  t.balancer.OnList(t.now, ListKind::kDelta, {e}, &t.actions);
  double work = 0;
  for (int i = 0; i < 500; ++i) {
    t.now = 100 + i * 0.002;
    work += t.Serve(1, static_cast<uint64_t>(100 + i))
                ? 0.15
                : 0;  // a quarter of the latency target, before any answer
  }
  EXPECT_GT(work, 0);
  EXPECT_LE(work, 2 * 0.27 * 1.0 / 3 + 0.15);  // a third of one core's budget for a second
}

// One attempt at a time, each answered after `took`; the number admitted in ten seconds.
int SteadyThroughput(Harness* t, double took) {
  int got = 0;
  double end = t->now + 10;
  while (t->now < end) {
    uint32_t id = t->MakeRequest(1, 0, 1.4, 100000 + t->last);
    if (!t->Sent()) {
      t->now += 0.01;
      continue;
    }
    ++got;
    t->now += took;
    t->EndAttempt(id, 50, Result::kOk);
  }
  return got;
}

TEST(Backends, ABusyFleetGivesAColdOneItsFractionOfTheWork) {
  Harness t(Site(), 4);
  std::vector<std::pair<uint32_t, uint32_t>> out;  // request and backend, answered 100 ms later
  int cold = 0, sent = 0;
  for (int i = 0; i < 600; ++i) {
    t.now = 100 + i * 0.01;  // each warm backend has two to three and a third in flight
    if (i == 300) {
      Backend e;
      e.id = 50;
      e.started_s = t.now - 0.1;
      t.balancer.OnList(t.now, ListKind::kDelta, {e}, &t.actions);
    }
    if (i >= 10 && out.size() > static_cast<size_t>(i - 10) && out[i - 10].first != 0) {
      t.EndAttempt(out[i - 10].first, out[i - 10].second, Result::kOk);
    }
    t.MakeRequest(1, 0, 1.0, static_cast<uint64_t>(1000 + i));
    const Action* send = t.FindAction(ActionKind::kSend);
    out.push_back(send != nullptr ? std::make_pair(t.last, send->backend) : std::make_pair(0u, 0u));
    if (send == nullptr || i < 300) continue;
    ++sent;
    cold += send->backend == 50;
  }
  EXPECT_GT(sent, 200);
  EXPECT_GT(cold,
            300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);  // more than the one-core bound allows in three seconds
  EXPECT_LT(cold, 300 / 4 * 0.4);                   // at most its fraction of an even part
}

TEST(Backends, ASlowOneWithoutAQueueKeepsOneAttempt) {
  Harness t(Site(), 1);
  EXPECT_GE(SteadyThroughput(&t, 0.2), 40);  // a third of the target without a queue
  Harness worse(Site(), 1);
  EXPECT_LE(SteadyThroughput(&worse, 0.9), 11);  // far past the target: one at a time
}

// A gateway that seldom sees the customer has no later event on which to report that its attempt has ended,
// so the deferred report needs a timer.
TEST(OpenCap, AnEndThatTheGapBetweenCallsHeldUpIsToldAfterIt) {
  Settings s = Site();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 4;
  Harness t(s);
  for (uint64_t customer = 20; customer < 40; ++customer) {  // a failing counter is called less often
    t.now += 5;
    uint32_t id = t.MakeRequest(1, 0, 1.0, customer, 2);
    const Action* send = t.FindAction(ActionKind::kSend);
    if (const Action* count = t.FindAction(ActionKind::kCount)) {
      uint64_t name = count->tag;
      uint32_t at = send != nullptr ? send->backend : 0;
      t.AnswerCounter(name, 0, Result::kTimeout);
      if (const Action* settled = t.FindAction(ActionKind::kSend)) at = settled->backend;
      if (at != 0) t.EndAttempt(id, at, Result::kOk);
    }
  }
  t.now += 5;
  uint32_t id = t.MakeRequest(1, 0, 1.0, 9, 2);
  const Action *send = t.FindAction(ActionKind::kSend), *count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  ASSERT_NE(send, nullptr);
  uint64_t name = count->tag;
  uint32_t at = send->backend;
  double told = count->amount;
  t.AnswerCounter(name, told);
  t.EndAttempt(id, at, Result::kOk);
  ASSERT_EQ(t.FindAction(ActionKind::kCount), nullptr);
  bool ended = false;
  for (int i = 0; i < 40 && !ended; ++i) {
    t.now += 0.05;
    t.actions.clear();
    t.balancer.OnTimer(t.now, kReportTimerTag, &t.actions);
    const Action* count_later = t.FindAction(ActionKind::kCount);
    if (count_later == nullptr) continue;
    ended = count_later->tag == name && count_later->amount == -told;
    uint64_t called = count_later->tag;
    t.AnswerCounter(called, 0);
  }
  EXPECT_TRUE(ended);
}

// If failures were tracked by backend only, a lost zone would cost one failed attempt for each of its
// backends.
TEST(Backends, SeveralSilentOnesOfAZoneAreOneEvent) {
  Harness t(Site(), 0);
  std::vector<Backend> list;
  for (uint32_t i = 0; i < 20; ++i) {
    Backend e;
    e.id = 50 + i;
    e.zone = static_cast<int>(i % 2);  // this gateway's is 0
    list.push_back(e);
  }
  t.balancer.OnList(t.now, ListKind::kFull, list, &t.actions);
  int lost = 0, served = 0;
  for (int i = 0; i < 30; ++i) {
    t.now += 0.15;
    uint32_t id = t.MakeRequest(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    int attempt = 0;
    while (const Action* send = t.FindAction(ActionKind::kSend)) {
      uint32_t at = send->backend;
      bool gone = (at - 50) % 2 == 0;
      lost += gone;
      served += !gone;
      t.EndAttempt(id, at, gone ? Result::kConnectFailed : Result::kOk, attempt++);
    }
  }
  EXPECT_LE(lost, 5);
  EXPECT_EQ(served, 30);
}

// An attempt that was never sent, or whose client left, says nothing about the zone.
TEST(Backends, AnAttemptThatEndedOnThisSideIsNoSilence) {
  for (Result result : {Result::kNeverSent, Result::kCancelled}) {
    Harness t(Site(), 0);
    std::vector<Backend> list(4);
    for (uint32_t i = 0; i < 4; ++i) {
      list[i].id = 50 + i;
      list[i].zone = static_cast<int>(i % 2);
    }
    t.balancer.OnList(t.now, ListKind::kFull, list, &t.actions);
    int across = 0;
    for (int i = 0; i < 12; ++i) {
      t.now += 0.1;
      uint32_t id = t.MakeRequest(1, 2, 1.4, 100 + static_cast<uint64_t>(i));
      const Action* send = t.FindAction(ActionKind::kSend);
      ASSERT_NE(send, nullptr);
      uint32_t at = send->backend;
      across += at % 2;
      t.actions.clear();
      t.balancer.OnAbandoned(t.now, id, &t.actions);
      t.EndAttempt(id, at, result);
    }
    EXPECT_EQ(across, 0);
  }
}

TEST(Backends, OneThatTurnsSomeConnectionsAwayIsNotTakenForCold) {
  Harness t(Site(), 1);
  for (int i = 0; i < 4; ++i) {
    uint32_t id = t.MakeRequest(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    t.EndAttempt(id, 50, i % 3 == 2 ? Result::kOk : Result::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_GE(SteadyThroughput(&t, 0.05), 150);
}

TEST(Backends, OneThatWasDeadIsMetAsCold) {
  Harness t(Site(), 1);
  for (int i = 0; i < 12; ++i) {
    uint32_t id = t.MakeRequest(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    if (t.Sent()) t.EndAttempt(id, 50, Result::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_LE(SteadyThroughput(&t, 0.05), 60);
}

TEST(Backends, MostOfTheFleetIsNeverSetAside) {
  Harness t(Site(), 8);
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.002;
    uint32_t id = t.MakeRequest(1, 2, 1.4, static_cast<uint64_t>(100 + i));
    const Action* send = t.FindAction(ActionKind::kSend);
    refused += send == nullptr;
    if (send != nullptr && send->backend < 54)
      t.EndAttempt(id, send->backend, Result::kError);  // four of eight fail
  }
  EXPECT_EQ(refused, 0);  // the healthy ones are at their limits by then
}

TEST(Backends, OneThatFailsIsSetAside) {
  Harness t(Site(), 3);
  int bad = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.005;
    uint32_t id = t.MakeRequest(1, 2, 1.0, static_cast<uint64_t>(100 + i));
    ASSERT_TRUE(t.Sent());
    uint32_t at = t.FindAction(ActionKind::kSend)->backend;
    bad += at == 50;
    t.EndAttempt(id, at, at == 50 ? Result::kError : Result::kOk);
  }
  EXPECT_LE(bad, 4);
}

TEST(Attempts, TheLastAnswerComesBeforeTheClientGivesUp) {
  Harness t(Site());
  uint32_t id = t.MakeRequest(1, 2, 0.2);
  const Action* timer = t.FindAction(ActionKind::kTimer);
  ASSERT_NE(timer, nullptr);
  EXPECT_LT(timer->seconds, 0.2);
  EXPECT_GT(timer->seconds, 0.1);
  uint64_t tag = timer->tag;
  t.now += timer->seconds;
  t.actions.clear();
  t.balancer.OnTimer(t.now, tag, &t.actions);
  ASSERT_NE(t.FindAction(ActionKind::kFail), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kFail)->request, id);
  t.actions.clear();
  t.balancer.OnTimer(t.now, tag, &t.actions);  // already answered
  EXPECT_TRUE(t.actions.empty());
}

TEST(Attempts, ASilentBackendIsLeft) {
  Harness t(Site());
  uint32_t id = t.MakeRequest(1, 0, 1.4);
  uint32_t at = t.FindAction(ActionKind::kSend)->backend;
  uint64_t tag = t.FindAction(ActionKind::kTimer)->tag;
  t.now += t.FindAction(ActionKind::kTimer)->seconds + 0.001;
  t.actions.clear();
  t.balancer.OnTimer(t.now, tag, &t.actions);
  ASSERT_NE(t.FindAction(ActionKind::kCancel), nullptr);
  t.EndAttempt(id, at, Result::kCancelled);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kSend)->backend, at);
}

// ---- many gateways ----

// A customer of a hundred gateways; requests may be held for the counter.
Settings Many() {
  Settings s = Site();
  s.gateways = 100;
  s.count_timeout_s = 0.03;
  return s;
}

TEST(Held, ATryIsCountedFirstAndGoesOnTheAnswer) {
  Harness t(Many());
  t.MakeRequest(2, 0, 1.0, 9, 100);
  EXPECT_FALSE(t.Sent());
  const Action* count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 2);
  t.now += 0.004;
  t.AnswerCounter(count->tag, 4);  // others have sent two
  EXPECT_TRUE(t.Sent());
}

TEST(Held, OneBeyondTheQuotaIsRefusedAndTakenOffAgain) {
  Harness t(Many());
  t.MakeRequest(2, 0, 1.0, 9, 100);
  const Action* count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  t.now += 0.004;
  t.AnswerCounter(count->tag, 13);  // others have sent a whole burst
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  ASSERT_NE(t.FindAction(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kCount)->amount, -2);
}

TEST(Held, EachGetsOneEndWhenTheCounterFails) {
  for (Result result : {Result::kTimeout, Result::kFull, Result::kConnectFailed}) {
    Harness t(Many());
    t.MakeRequest(2, 0, 1.0, 9, 100);
    const Action* count = t.FindAction(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 0.03;
    t.AnswerCounter(count->tag, 0, result);
    EXPECT_NE(t.Sent(), t.FindAction(ActionKind::kRefuse) != nullptr);
  }
}

TEST(Held, TheFirstOfAWindowTellsWhatTheOneBeforeOverspent) {
  Settings s = Many();
  Harness t(s, 4, 100.5);  // early in a window of 5 s
  t.MakeRequest(2, 0, 1.0, 9, 100);
  const Action* count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  uint64_t name = count->tag;
  t.now += 0.004;
  t.AnswerCounter(name, 2);  // the first
  EXPECT_FALSE(t.Sent());
  const Action* before = t.FindAction(ActionKind::kCount);
  ASSERT_NE(before, nullptr);
  EXPECT_NE(before->tag, name);
  EXPECT_EQ(before->amount, 0);
  t.now += 0.004;
  t.AnswerCounter(before->tag, 20);  // a burst and all of the rate were used there
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  ASSERT_NE(t.FindAction(ActionKind::kCount), nullptr);
  EXPECT_EQ(t.FindAction(ActionKind::kCount)->tag, name);
  EXPECT_EQ(t.FindAction(ActionKind::kCount)->amount, 8);  // ten of debt, less two not sent
}

TEST(Held, OneLeftByItsClientIsNotSent) {
  Harness t(Many());
  uint32_t id = t.MakeRequest(2, 0, 1.0, 9, 100);
  const Action* count = t.FindAction(ActionKind::kCount);
  ASSERT_NE(count, nullptr);
  uint64_t name = count->tag;
  t.balancer.OnAbandoned(t.now, id, &t.actions);
  t.now += 0.004;
  t.AnswerCounter(name, 2);
  EXPECT_FALSE(t.Sent());
  EXPECT_EQ(t.FindAction(ActionKind::kRefuse), nullptr);
}

TEST(Held, OneWithLittleTimeIsDecidedAtOnce) {
  Harness t(Many());
  t.MakeRequest(2, 0, 0.1, 9, 100);
  EXPECT_NE(t.Sent(), t.FindAction(ActionKind::kRefuse) != nullptr);
}

TEST(Held, AtACapTheAnswerDecides) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 2;
  for (double total : {2.0, 3.0}) {
    Harness t(s);
    t.MakeRequest(1, 0, 1.0, 9, 100);
    EXPECT_FALSE(t.Sent());
    const Action* count = t.FindAction(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 0.004;
    t.AnswerCounter(count->tag, total);
    EXPECT_EQ(t.Sent(), total <= 2);
  }
}

// Number of requests held for the counter, of 400 by new customers. The counter answers after `wait`.
int HeldRequests(const Settings& s, double wait) {
  Harness t(s);
  int asked = 0;
  for (int i = 0; i < 400; ++i) {
    t.now += 0.25;
    uint32_t id = t.MakeRequest(1, 0, 1.0, 1000 + static_cast<uint64_t>(i), 100);
    if (const Action* count = t.FindAction(ActionKind::kCount); count != nullptr && !t.Sent()) {
      ++asked;
      uint64_t name = count->tag;
      t.now += wait;
      t.AnswerCounter(name, i % 2 == 0 ? 1 : 40);  // every other customer is over its quota
    }
    if (const Action* send = t.FindAction(ActionKind::kSend)) t.EndAttempt(id, send->backend, Result::kOk);
  }
  return asked;
}
constexpr double kQuick = 0.004, kCrowded = 0.05;  // s; the time-out is 0.03 s, later answers are still used

TEST(Held, ACrowdedCounterIsCalledLess) {
  EXPECT_GT(HeldRequests(Many(), kQuick), 300);
  EXPECT_LT(HeldRequests(Many(), kCrowded), 200);
}

// At a concurrency cap, knowing the others' attempts is worth more than the load on the counter: without it
// each of many gateways would admit one more by guess.
TEST(Held, ACrowdedCounterIsStillAskedAtACap) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 5;
  EXPECT_GT(HeldRequests(s, kCrowded), 80);  // one for each gap between calls
}

// Far below the cap only a sample of the attempts is reported, weighted so that the sum stays right on
// average.
TEST(OpenCap, AttemptsFarUnderTheCapAreToldSampledAndEndAsTheyBegan) {
  Settings s = Many();
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].parallel = 20;
  s.count_price = 0.02;  // holding is not worth the price here
  Harness t(s);
  int calls = 0;
  double begun = 0, net = 0;
  auto take = [&] {
    const Action* count = t.FindAction(ActionKind::kCount);
    if (count == nullptr) return;
    ++calls;
    begun += std::max(0.0, count->amount);
    net += count->amount;
    uint64_t name = count->tag;
    t.AnswerCounter(name, 0);
  };
  for (int i = 0; i < 600; ++i) {
    t.now += 0.3;
    uint32_t id = t.MakeRequest(1, 0, 1.0, 9, 100);
    const Action* send = t.FindAction(ActionKind::kSend);
    uint32_t at = send != nullptr ? send->backend : 0;
    take();
    if (at == 0 && t.FindAction(ActionKind::kSend) != nullptr) at = t.FindAction(ActionKind::kSend)->backend;
    ASSERT_NE(at, 0u);
    t.now += 0.02;
    t.EndAttempt(id, at, Result::kOk);
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

TEST(Many, SlowAnswersOfAllBackendsTogetherLowerTheAdmitShare) {
  Settings s = Site();
  s.may_count = false;
  int admitted[2] = {0, 0};
  for (bool slow : {false, true}) {
    Harness t(s, 100);
    for (int i = 0; i < 200; ++i) {  // one at a time, seldom at the same backend twice
      uint32_t id = t.MakeRequest(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
      const Action* send = t.FindAction(ActionKind::kSend);
      uint32_t at = send != nullptr ? send->backend : 0;
      t.now += slow ? 0.5 : 0.05;
      if (at != 0) t.EndAttempt(id, at, Result::kOk);
      admitted[slow] += at != 0;
    }
  }
  EXPECT_EQ(admitted[0], 200);
  EXPECT_LT(admitted[1], 130);
}

// At a few answers a second each answer moves the admit share much, and one slow answer is chance.
TEST(Many, OneSlowAnswerAmongQuickOnesRefusesNobody) {
  Settings s = Site();
  s.may_count = false;
  Harness t(s, 60);
  int refused = 0;
  for (int i = 0; i < 120; ++i) {
    uint32_t id = t.MakeRequest(1, 2, 1.4, 100 + static_cast<uint64_t>(i));
    const Action* send = t.FindAction(ActionKind::kSend);
    refused += send == nullptr;
    uint32_t at = send != nullptr ? send->backend : 0;
    t.now += i % 30 == 29 ? 0.9 : 0.06;  // the latency target is 0.6
    if (at != 0) t.EndAttempt(id, at, Result::kOk);
    t.now += 0.1;
  }
  EXPECT_EQ(refused, 0);
}

TEST(Input, NoSenseFromTheCounterOrTheListHarmsNothing) {
  Settings s = Many();
  s.gateways = 3;
  Harness t(s);
  for (double total :
       {-5.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    t.AnswerCounter(12345, total);      // a name that was never called
    t.MakeRequest(1, 0, 1.0, 9, 1000);  // more entries than gateways
    const Action* count = t.FindAction(ActionKind::kCount);
    ASSERT_NE(count, nullptr);
    t.now += 6;
    t.AnswerCounter(count->tag, total);
  }
  t.balancer.OnList(t.now, ListKind::kFull, {}, &t.actions);
  t.MakeRequest(1, 0, 1.0, 77, 1);
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  Backend e;
  e.id = 50;
  t.balancer.OnList(t.now, ListKind::kFull, {e}, &t.actions);
  EXPECT_TRUE(t.Serve(1, 78, 1));
}

TEST(Input, WhatMakesNoSenseIsRefused) {
  Harness t(Site());
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  for (double units : {0.0, -1.0, nan, inf}) {
    t.MakeRequest(units);
    EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  }
  for (double left : {0.0, -1.0, nan}) {
    t.MakeRequest(1, 0, left);
    EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  }
  t.MakeRequest(1, 9);
  EXPECT_NE(t.FindAction(ActionKind::kRefuse), nullptr);
  Harness none(Site(), 0);
  none.MakeRequest();
  EXPECT_NE(none.FindAction(ActionKind::kRefuse), nullptr);
}

TEST(Input, UnknownIdsArePassedOver) {
  Harness t(Site());
  t.EndAttempt(4711, 50, Result::kOk);
  t.balancer.OnAbandoned(t.now, 4711, &t.actions);
  t.balancer.OnTimer(t.now, 4711, &t.actions);
  t.balancer.OnStreamBegun(t.now, 4711, &t.actions);
  t.AnswerCounter(4711, 3);
  EXPECT_TRUE(t.actions.empty());
}

}  // namespace
}  // namespace micadock
