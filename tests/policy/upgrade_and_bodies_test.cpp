// The module's part in upgrades and in bodies that are not whole at once.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/balance.h"
#include "rig/policy_site.h"

namespace micadock {
namespace {

std::vector<Backend> Listing(int backends, double started_s = 0) {
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

class Module {
 public:
  explicit Module(const std::vector<Backend>& list, double at = 100) : now(at), b(Of(), 7, at, &out) {
    b.OnList(now, ListKind::kFull, list, &out);
    out.clear();
  }
  static Settings Of() {
    Settings s = Site();
    s.may_count = false;
    for (PlanSettings& p : s.plans) p.rate = p.burst = 1e6;
    return s;
  }
  // The backend that the request went to; 0: it was not sent.
  uint32_t Ask(double body_s = 0, int cls = 0) {
    Request r;
    r.id = ++last;
    r.cls = cls;
    r.customer = 100 + last;
    r.left_s = 1.0;
    r.body_s = body_s;
    r.units = 1;
    out.clear();
    b.OnRequest(now, r, &out);
    const Action* send = Got(ActionKind::kSend);
    return send == nullptr ? 0 : send->backend;
  }
  void End(uint32_t request, uint32_t backend, Result result, bool again = true, bool finished = false) {
    Outcome o;
    o.request = request;
    o.result = result;
    o.backend = backend;
    o.resendable = again;
    o.finished = finished || result == Result::kOk;
    out.clear();
    b.OnOutcome(now, o, &out);
  }
  const Action* Got(ActionKind kind) const {
    auto it = std::find_if(out.begin(), out.end(), [&](const Action& a) { return a.kind == kind; });
    return it == out.end() ? nullptr : &*it;
  }
  // How many may be out at once.
  int Room() {
    int n = 0;
    while (n < 1000 && Ask() != 0) ++n;
    return n;
  }

  double now;
  uint32_t last = 0;
  Actions out;
  Balancer b;
};

TEST(Upgrade, TheNewModuleHasTheLimitsThatTheOldOneLearned) {
  Module old(Listing(2));
  for (int round = 0; round < 200; ++round) {  // quick answers, several out at once
    std::vector<std::pair<uint32_t, uint32_t>> sent;
    for (int i = 0; i < 6; ++i) {
      if (uint32_t at = old.Ask(); at != 0) sent.emplace_back(old.last, at);
    }
    old.now += 0.01;
    for (auto [request, at] : sent) old.End(request, at, Result::kOk);
  }
  Module fresh(Listing(2), old.now), told(Listing(2), old.now);
  told.b.ImportLearned(told.now, old.b.ExportLearned(old.now));
  int without = fresh.Room(), with = told.Room();
  EXPECT_EQ(with, old.Room());
  EXPECT_GT(with, without);
}

// A backend that the old process knew to be cold is cold to the new one, though the list does not tell.
TEST(Upgrade, WhatWasColdStaysCold) {
  Module old(Listing(1));
  std::vector<Backend> started = Listing(1, old.now);
  old.b.OnList(old.now, ListKind::kDelta, started, &old.out);
  Module fresh(Listing(1)), told(Listing(1));
  told.b.ImportLearned(told.now, old.b.ExportLearned(old.now));
  EXPECT_NE(fresh.Ask(), 0u);
  EXPECT_EQ(told.Ask(), 0u) << "its room is not handed on, and begins anew";
}

TEST(Upgrade, WhatIsOutOfRangeOrNotListedIsPassedOver) {
  Module told(Listing(2)), plain(Listing(2));
  LearnedState odd;
  odd.work = {-1, 1e9};
  odd.units = {1};
  odd.admit_share = -3;
  odd.warm_work = -1;
  odd.backends = {{50, -1, 0, 5, 0, 0}, {51, 1, 0, 1e9, 0, 0}, {77, 1, 0, 9, 0, 0}, {50, 1, 0, 5, 0, 1e12}};
  told.b.ImportLearned(told.now, odd);
  EXPECT_EQ(told.Room(), plain.Room() + 2) << "the one entry that is sound, but for its start in the future";
}

// However slow it was before: nothing else would tell whether it is sound now.
TEST(Upgrade, ABackendThatIsBackFromADrainIsAskedFirstOnce) {
  Module m(Listing(2));
  LearnedState learned;
  learned.backends = {{50, 5, 0, 5, 0, 0}, {51, 0.2, 0, 5, 0, 0}};
  m.b.ImportLearned(m.now, learned);
  auto ask = [&] {
    uint32_t at = m.Ask();
    m.now += 0.01;
    m.End(m.last, at, Result::kOk);
    return at;
  };
  EXPECT_EQ(ask(), 51u);
  std::vector<Backend> one = {Listing(2)[0]};
  one[0].state = BackendState::kDraining;
  m.b.OnList(m.now, ListKind::kDelta, one, &m.out);
  EXPECT_EQ(ask(), 51u);
  one[0].state = BackendState::kReady;
  m.b.OnList(m.now, ListKind::kDelta, one, &m.out);
  EXPECT_EQ(ask(), 50u);
  EXPECT_EQ(ask(), 51u) << "from then on by what is known";
}

TEST(Bodies, ARequestsTimeBeginsWhenItsBodyIsWhole) {
  Module m(Listing(1));
  ASSERT_NE(m.Ask(5), 0u);
  EXPECT_GT(m.Got(ActionKind::kSend)->seconds, 5) << "so long may the body take";
  m.now += 4;
  m.out.clear();
  m.b.OnTimer(m.now, m.last, &m.out);
  EXPECT_EQ(m.Got(ActionKind::kRefuse), nullptr);
  EXPECT_EQ(m.Got(ActionKind::kFail), nullptr);
  m.b.OnBodyEnded(m.now, m.last, &m.out);
  m.now += 0.999;
  m.out.clear();
  m.b.OnTimer(m.now, m.last, &m.out);
  EXPECT_NE(m.Got(ActionKind::kRefuse), nullptr) << "a request without effect that is out of time";
}

TEST(Bodies, NoAttemptFollowsOnceTheBodyHasGone) {
  for (bool again : {true, false}) {
    Module m(Listing(2));
    uint32_t at = m.Ask(0, 2);
    ASSERT_NE(at, 0u);
    m.End(m.last, at, Result::kConnectFailed, again);
    EXPECT_EQ(m.Got(ActionKind::kSend) != nullptr, again);
    EXPECT_EQ(m.Got(ActionKind::kRefuse) != nullptr, !again) << "it has not run: asking again is harmless";
  }
}

// An answer that goes on for long is no work that waits at the backend, and no sign of a slow one.
TEST(Bodies, ABegunAnswerLeavesItsPlaceAtTheBackend) {
  Module m(Listing(1));
  int room = m.Room();
  for (uint32_t request = 1; request <= static_cast<uint32_t>(room); ++request)
    m.b.OnStreamBegun(m.now, request, &m.out);
  EXPECT_NE(m.Ask(), 0u);
  uint32_t late = m.last;
  m.now += 30;
  m.out.clear();
  m.b.OnTimer(m.now, 1, &m.out);
  EXPECT_TRUE(m.out.empty()) << "no time limit holds any more";
  m.End(1, 50, Result::kReset, true, true);
  EXPECT_EQ(m.Got(ActionKind::kSend), nullptr) << "what has begun is not tried again";
  m.End(late, 50, Result::kOk);
}

}  // namespace
}  // namespace micadock
