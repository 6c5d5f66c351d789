// Tests of the policy's state transfer in upgrades, and of requests and responses whose bodies arrive over
// time.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/balance.h"
#include "rig/policy_site.h"

namespace micadock {
namespace {

std::vector<Backend> MakeBackends(int backends, double started_s = 0) {
  std::vector<Backend> list;
  for (int i = 0; i < backends; ++i) {
    Backend b;
    b.id = 50 + static_cast<uint32_t>(i);
    b.weight = 1;
    b.started_s = started_s;
    list.push_back(b);
  }
  return list;
}

class Harness {
 public:
  explicit Harness(const std::vector<Backend>& list, double at = 100)
      : now(at), balancer(UnlimitedSettings(), 7, at, &actions) {
    balancer.OnList(now, ListKind::kFull, list, &actions);
    actions.clear();
  }
  static Settings UnlimitedSettings() {
    Settings s = Site();
    s.may_count = false;
    for (PlanSettings& p : s.plans) p.rate = p.burst = 1e6;
    return s;
  }
  // Makes a request; returns the backend that it was sent to, or 0.
  uint32_t MakeRequest(double body_s = 0, int cls = 0) {
    Request r;
    r.id = ++last;
    r.cls = cls;
    r.customer = 100 + last;
    r.left_s = 1.0;
    r.body_s = body_s;
    r.units = 1;
    actions.clear();
    balancer.OnRequest(now, r, &actions);
    const Action* send = FindAction(ActionKind::kSend);
    return send == nullptr ? 0 : send->backend;
  }
  void EndAttempt(uint32_t request, uint32_t backend, Result result, bool again = true,
                  bool finished = false) {
    Outcome o;
    o.request = request;
    o.result = result;
    o.backend = backend;
    o.resendable = again;
    o.finished = finished || result == Result::kOk;
    actions.clear();
    balancer.OnOutcome(now, o, &actions);
  }
  const Action* FindAction(ActionKind kind) const {
    auto it = std::find_if(actions.begin(), actions.end(), [&](const Action& a) { return a.kind == kind; });
    return it == actions.end() ? nullptr : &*it;
  }
  // The number of requests that may be in flight at once.
  int Capacity() {
    int n = 0;
    while (n < 1000 && MakeRequest() != 0) ++n;
    return n;
  }

  double now;
  uint32_t last = 0;
  Actions actions;
  Balancer balancer;
};

TEST(Upgrade, TheNewModuleHasTheLimitsThatTheOldOneLearned) {
  Harness old(MakeBackends(2));
  for (int round = 0; round < 200; ++round) {  // quick answers, several in flight at once
    std::vector<std::pair<uint32_t, uint32_t>> sent;
    for (int i = 0; i < 6; ++i) {
      if (uint32_t at = old.MakeRequest(); at != 0) sent.emplace_back(old.last, at);
    }
    old.now += 0.01;
    for (auto [request, at] : sent) old.EndAttempt(request, at, Result::kOk);
  }
  Harness fresh(MakeBackends(2), old.now), successor(MakeBackends(2), old.now);
  successor.balancer.ImportLearned(successor.now, old.balancer.ExportLearned(old.now));
  int without = fresh.Capacity(), with = successor.Capacity();
  EXPECT_EQ(with, old.Capacity());
  EXPECT_GT(with, without);
}

// A backend in slow start at the old process stays in slow start at the new one, though the list doesn't say
// so.
TEST(Upgrade, WhatWasColdStaysCold) {
  Harness old(MakeBackends(1));
  std::vector<Backend> started = MakeBackends(1, old.now);
  old.balancer.OnList(old.now, ListKind::kDelta, started, &old.actions);
  Harness fresh(MakeBackends(1)), successor(MakeBackends(1));
  successor.balancer.ImportLearned(successor.now, old.balancer.ExportLearned(old.now));
  EXPECT_NE(fresh.MakeRequest(), 0u);
  EXPECT_EQ(successor.MakeRequest(), 0u)
      << "its slow-start budget is not handed over, and starts at zero or below";
}

TEST(Upgrade, WhatIsOutOfRangeOrNotListedIsPassedOver) {
  Harness successor(MakeBackends(2)), plain(MakeBackends(2));
  LearnedState odd;
  odd.work = {-1, 1e9};
  odd.units = {1};
  odd.admit_share = -3;
  odd.warm_work = -1;
  odd.backends = {{50, -1, 0, 5, 0, 0}, {51, 1, 0, 1e9, 0, 0}, {77, 1, 0, 9, 0, 0}, {50, 1, 0, 5, 0, 1e12}};
  successor.balancer.ImportLearned(successor.now, odd);
  EXPECT_EQ(successor.Capacity(), plain.Capacity() + 2)
      << "one entry is applied, but for its start in the future";
}

// Even if it was slow before: only an attempt shows its state now.
TEST(Upgrade, ABackendThatIsBackFromADrainIsAskedFirstOnce) {
  Harness m(MakeBackends(2));
  LearnedState learned;
  learned.backends = {{50, 5, 0, 5, 0, 0}, {51, 0.2, 0, 5, 0, 0}};
  m.balancer.ImportLearned(m.now, learned);
  auto ask = [&] {
    uint32_t at = m.MakeRequest();
    m.now += 0.01;
    m.EndAttempt(m.last, at, Result::kOk);
    return at;
  };
  EXPECT_EQ(ask(), 51u);
  std::vector<Backend> one = {MakeBackends(2)[0]};
  one[0].state = BackendState::kDraining;
  m.balancer.OnList(m.now, ListKind::kDelta, one, &m.actions);
  EXPECT_EQ(ask(), 51u);
  one[0].state = BackendState::kReady;
  m.balancer.OnList(m.now, ListKind::kDelta, one, &m.actions);
  EXPECT_EQ(ask(), 50u);
  EXPECT_EQ(ask(), 51u) << "after that by its estimates";
}

TEST(Bodies, ARequestsTimeBeginsWhenItsBodyIsWhole) {
  Harness m(MakeBackends(1));
  ASSERT_NE(m.MakeRequest(5), 0u);
  EXPECT_GT(m.FindAction(ActionKind::kSend)->seconds, 5) << "the time-out includes the time for the body";
  m.now += 4;
  m.actions.clear();
  m.balancer.OnTimer(m.now, m.last, &m.actions);
  EXPECT_EQ(m.FindAction(ActionKind::kRefuse), nullptr);
  EXPECT_EQ(m.FindAction(ActionKind::kFail), nullptr);
  m.balancer.OnBodyEnded(m.now, m.last, &m.actions);
  m.now += 0.999;
  m.actions.clear();
  m.balancer.OnTimer(m.now, m.last, &m.actions);
  EXPECT_NE(m.FindAction(ActionKind::kRefuse), nullptr)
      << "an idempotent request past its deadline is refused";
}

TEST(Bodies, NoAttemptFollowsOnceTheBodyHasGone) {
  for (bool again : {true, false}) {
    Harness m(MakeBackends(2));
    uint32_t at = m.MakeRequest(0, 2);
    ASSERT_NE(at, 0u);
    m.EndAttempt(m.last, at, Result::kConnectFailed, again);
    EXPECT_EQ(m.FindAction(ActionKind::kSend) != nullptr, again);
    EXPECT_EQ(m.FindAction(ActionKind::kRefuse) != nullptr, !again)
        << "it has not run, so the client may safely retry";
  }
}

// A response that streams for long is not queued work at the backend, and does not show a slow backend.
TEST(Bodies, ABegunAnswerLeavesItsPlaceAtTheBackend) {
  Harness m(MakeBackends(1));
  int room = m.Capacity();
  for (uint32_t request = 1; request <= static_cast<uint32_t>(room); ++request)
    m.balancer.OnStreamBegun(m.now, request, &m.actions);
  EXPECT_NE(m.MakeRequest(), 0u);
  uint32_t late = m.last;
  m.now += 30;
  m.actions.clear();
  m.balancer.OnTimer(m.now, 1, &m.actions);
  EXPECT_TRUE(m.actions.empty()) << "time limits end with the start of the response";
  m.EndAttempt(1, 50, Result::kReset, true, true);
  EXPECT_EQ(m.FindAction(ActionKind::kSend), nullptr) << "a response that has begun is not retried";
  m.EndAttempt(late, 50, Result::kOk);
}

}  // namespace
}  // namespace micadock
