// The state machine of requests, case by case: what each kind of evidence proves, and what becomes of a
// request by it. The search over all orders of events is lifecycle_search_test.cpp.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "request_lifecycle/lifecycle.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // after all others: it names new anew
// clang-format on

using namespace ivygw;
using namespace ivygw::request_lifecycle;
using load_balancing::AttemptResult;

namespace {

// Backends b1, b2, ... in turn, a budget that is open or closed.
class FixedPolicy : public BackendPolicy {
 public:
  std::string Choose(double, const std::string&, const std::set<std::string>& tried) override {
    for (int i = 1; i <= 9; ++i) {
      std::string backend = "b" + std::to_string(i);
      if (!tried.count(backend)) return backend;
    }
    return {};
  }
  void OnAttemptStarted(const std::string&) override { ++out; }
  void OnAttemptEnded(double, const std::string&, AttemptResult) override { --out; }
  bool MayRetry(double, const std::string&) override { return budget; }
  void OnRetry(double, const std::string&) override { ++retries; }
  bool IsDrained(const std::string& backend) override { return unwanted.count(backend) > 0; }

  bool budget = true;
  int out = 0, retries = 0;
  std::set<std::string> unwanted;
};

BackendReply OwnReply(int status, bool not_executed = false) {
  BackendReply reply;
  reply.attempt_id = "own";
  reply.sealed = true;
  reply.reusable = true;
  reply.not_executed = not_executed;
  reply.content.status = status;
  return reply;
}

template <typename Kind>
const Kind* FindEffect(const Effects& effects) {
  for (const Effect& effect : effects) {
    if (const Kind* found = std::get_if<Kind>(&effect)) return found;
  }
  return nullptr;
}

// One client's request and the connection that it waits on.
struct Fixture {
  FixedPolicy policy;
  Lifecycle lifecycle{&policy};
  RequestId request;
  ConnectionId connection;
  AttemptId attempt;
  Effects effects;
  uint64_t clients = 0;

  template <typename Event>
  void Tell(Event event, double now = 0) {
    effects.clear();
    lifecycle.On(now, std::move(event), &effects);
    if (const auto* open = FindEffect<OpenConnection>(effects)) {
      connection = open->connection;
      attempt = open->attempt;
    }
    if (const auto* send = FindEffect<SendRequest>(effects)) connection = send->connection;
  }
  void Admit(bool idempotent, int max_attempts, double now = 0) {
    request = lifecycle.StartRequest(ClientId{++clients});
    Tell(RequestAdmitted{request, "own", "s", idempotent, max_attempts, now + 100}, now);
  }
  void AdmitAndSend(bool idempotent, int max_attempts) {
    Admit(idempotent, max_attempts);
    Tell(ConnectionOpened{connection});
  }
  // Served once, so that the connection is a kept one.
  void ServeOne() {
    AdmitAndSend(false, 2);
    Tell(AnswerReceived{connection, OwnReply(200)});
  }
  int OwnStatus() const {
    if (const auto* reply = FindEffect<ReplyNotRun>(effects)) return reply->status;
    if (const auto* reply = FindEffect<ReplyUnknown>(effects)) return reply->status;
    return 0;
  }
  bool Retried() const { return FindEffect<OpenConnection>(effects) || FindEffect<SendRequest>(effects); }
};

AnswerFacts Facts(unsigned status, bool own_id, bool has_id, bool not_executed, bool sealed, bool encoded,
                  bool sole_request = true) {
  AnswerFacts facts;
  facts.status = status;
  facts.own_id = own_id;
  facts.has_id = has_id;
  facts.not_executed = not_executed;
  facts.sealed = sealed;
  facts.encoded = encoded;
  facts.sole_request = sole_request;
  return facts;
}

bool ProvesNotDone(const AnswerFacts& facts) {
  return std::holds_alternative<NotDone>(OutcomeOf(ClassifyAnswer(facts).evidence));
}
bool MayHaveRun(const AnswerFacts& facts) {
  return std::holds_alternative<MayHaveBeenDone>(OutcomeOf(ClassifyAnswer(facts).evidence));
}

}  // namespace

TEST_GROUP(Answers){};

TEST(Answers, OnlyTheBackendsOwnWordPromisesThatNothingRan) {
  CHECK(ProvesNotDone(Facts(503, true, true, true, false, false)));
  CHECK(ClassifyAnswer(Facts(421, true, true, false, false, false)).result == AttemptResult::kMisdirected);
  CHECK(ProvesNotDone(Facts(400, false, false, true, false, false)));  // it has read no id
  CHECK(MayHaveRun(Facts(503, false, true, true, false, false)));      // of another request
  // A promise that the backend does not give is not passed on.
  for (unsigned status : {503u, 429u, 408u}) {
    CHECK(MayHaveRun(Facts(status, true, true, false, true, false)));
    CHECK(!ClassifyAnswer(Facts(status, true, true, false, true, false)).forwardable);
  }
  CHECK(ClassifyAnswer(Facts(200, true, true, false, true, false)).forwardable);
  CHECK(!ClassifyAnswer(Facts(200, true, true, false, false, false)).trusted);  // without its seal
  CHECK(!ClassifyAnswer(Facts(200, true, true, false, true, true)).trusted);    // encoded: not its body
  CHECK(!ClassifyAnswer(Facts(200, false, true, false, true, false)).trusted);  // another request's
  CHECK(!ClassifyAnswer(Facts(200, false, false, false, true, false)).trusted);
  CHECK(ClassifyAnswer(Facts(500, true, true, false, true, false)).forwardable);
}

TEST(Answers, ARefusalWithoutAnIdIsBelievedOnlyWhereNoOtherRequestCanBeMeant) {
  for (unsigned status : {421u, 503u, 400u}) {
    CHECK(ProvesNotDone(Facts(status, false, false, true, false, false, true)));
    CHECK(MayHaveRun(Facts(status, false, false, true, false, false, false)));
    CHECK(!ClassifyAnswer(Facts(status, false, false, true, false, false, false)).trusted);
    CHECK(ProvesNotDone(Facts(status, true, true, true, false, false, false)));
  }
}

TEST_GROUP(Lifecycles){};

TEST(Lifecycles, WhatMayHaveRunIsNeverSentAgainUnlessItMayBe) {
  // Every course of up to four ends: a request that isn't repeatable is never sent again after one that may
  // have run, and no refusal promises what isn't so.
  for (int bits = 0; bits < 256; ++bits) {
    for (bool idempotent : {false, true}) {
      for (int most = 1; most <= 3; ++most) {
        Fixture f;
        f.Admit(idempotent, most);
        bool may_have_run = false;
        int arrived = 0;
        for (int i = 0; i < 4; ++i) {
          int end = bits >> (2 * i) & 3;
          if (end != 0) f.Tell(ConnectionOpened{f.connection});
          if (end == 0) f.Tell(ConnectionLost{f.connection, false});
          if (end == 1) f.Tell(AnswerReceived{f.connection, OwnReply(503, true)});
          if (end == 2) f.Tell(AnswerReceived{f.connection, OwnReply(200)});
          if (end == 3) f.Tell(ConnectionLost{f.connection, true});
          if (end == 2) {
            CHECK(FindEffect<ForwardAnswer>(f.effects) != nullptr);
            break;
          }
          arrived += end != 0;
          may_have_run = may_have_run || end == 3;
          if (FindEffect<ReplyNotRun>(f.effects)) CHECK(!may_have_run);
          if (FindEffect<ReplyUnknown>(f.effects)) CHECK(may_have_run);
          if (!f.Retried()) break;
          CHECK(idempotent || !may_have_run);
          CHECK(arrived < most);
        }
        CHECK_EQUAL(f.lifecycle.requests().empty() ? 0 : 1, f.policy.out);
      }
    }
  }
}

TEST(Lifecycles, AStaleConnectionIsReplacedAtTheSameBackend) {
  Fixture f;
  f.ServeOne();
  ConnectionId kept = f.connection;
  f.Admit(false, 2);
  CHECK(FindEffect<SendRequest>(f.effects) != nullptr);
  CHECK(f.connection == kept);
  f.Tell(ConnectionStale{kept});
  const auto* open = FindEffect<OpenConnection>(f.effects);
  CHECK(open != nullptr);
  STRCMP_EQUAL("b1", open->backend.c_str());
  CHECK_EQUAL(0, f.policy.retries);  // it has arrived nowhere
}

TEST(Lifecycles, NothingWrittenIsNotDoneAndAByteWrittenMayBe) {
  for (bool kept : {false, true}) {
    for (bool bytes_written : {false, true}) {
      Fixture f;
      if (kept) f.ServeOne();
      kept ? f.Admit(false, 2) : f.AdmitAndSend(false, 2);
      f.Tell(ConnectionLost{f.connection, bytes_written});
      CHECK_EQUAL(!bytes_written, f.Retried());
      CHECK_EQUAL(bytes_written ? 502 : 0, f.OwnStatus());
    }
  }
}

TEST(Lifecycles, ADeadlineTellsWhetherTheRequestMayRun) {
  Fixture connecting, sent;
  connecting.Admit(false, 2);
  connecting.Tell(DeadlineReached{connecting.request});
  CHECK_EQUAL(503, connecting.OwnStatus());
  sent.AdmitAndSend(false, 2);
  sent.Tell(DeadlineReached{sent.request});
  CHECK_EQUAL(504, sent.OwnStatus());
  CHECK(FindEffect<CloseConnection>(sent.effects) != nullptr);
}

TEST(Lifecycles, EventsOfWhatHasEndedAreDroppedAndCounted) {
  Fixture f;
  f.ServeOne();
  ConnectionId closed = f.connection;
  RequestId answered = f.request;
  AttemptId attempt = f.attempt;
  f.Tell(ConnectionLost{closed, true});  // while idle
  f.AdmitAndSend(true, 2);
  uint64_t before = f.lifecycle.counters().stale_events;
  f.Tell(AnswerReceived{closed, OwnReply(200)});
  CHECK(f.effects.empty());
  f.Tell(ConnectTimedOut{f.connection, attempt});
  CHECK(f.effects.empty());
  f.Tell(ConnectTimedOut{f.connection, f.attempt});  // it has been established since
  CHECK(f.effects.empty());
  f.Tell(DeadlineReached{answered});
  CHECK(f.effects.empty());
  f.Tell(ClientClosed{ClientId{1}});
  CHECK(f.effects.empty());
  CHECK_EQUAL(before + 5, f.lifecycle.counters().stale_events);
}

TEST(Lifecycles, WithoutABudgetNothingArrivesTwiceAndWhatDidNotArriveMayGoOn) {
  Fixture f;
  f.policy.budget = false;
  f.AdmitAndSend(true, 3);
  f.Tell(ConnectionLost{f.connection, true});
  CHECK(!f.Retried());
  f.Admit(true, 3);
  f.Tell(ConnectionLost{f.connection, false});
  CHECK(f.Retried());
}

TEST(Lifecycles, AStreamedAnswerIsFinishedOrAborted) {
  Fixture f;
  f.AdmitAndSend(false, 2);
  f.Tell(AnswerStarted{f.connection, OwnReply(200)});
  CHECK(FindEffect<ForwardStart>(f.effects) != nullptr);
  f.Tell(DeadlineReached{f.request});
  CHECK(f.effects.empty());
  f.Tell(ClientDrained{ClientId{f.clients}});
  CHECK(FindEffect<ReadAnswerPart>(f.effects) != nullptr);
  f.Tell(ConnectionLost{f.connection, true});
  CHECK(FindEffect<AbortReply>(f.effects) != nullptr);
  CHECK(FindEffect<ReplyUnknown>(f.effects) == nullptr);
}

TEST(Lifecycles, AClientThatGoesFreesWhatMayBeRepeatedAndLeavesTheRestToItsEnd) {
  for (bool idempotent : {false, true}) {
    Fixture f;
    f.AdmitAndSend(idempotent, 2);
    f.Tell(ClientClosed{ClientId{f.clients}});
    CHECK_EQUAL(idempotent, FindEffect<CloseConnection>(f.effects) != nullptr);
    if (idempotent) continue;
    f.Tell(AnswerReceived{f.connection, OwnReply(200)});
    CHECK(FindEffect<ForwardAnswer>(f.effects) == nullptr);
    CHECK(f.lifecycle.requests().empty());
  }
}

TEST(Lifecycles, IdleConnectionsAreClosedWhenTheyHaveRestedOrTheirBackendIsUnwanted) {
  Fixture f;
  f.ServeOne();
  f.Tell(IdleSweep{}, 1);
  CHECK(f.effects.empty());
  f.policy.unwanted.insert("b1");
  f.Tell(IdleSweep{}, 1);
  CHECK(FindEffect<CloseConnection>(f.effects) != nullptr);
  f.policy.unwanted.clear();
  f.ServeOne();
  f.Admit(false, 2, 50);  // rested too long
  CHECK(FindEffect<CloseConnection>(f.effects) != nullptr);
  CHECK(FindEffect<OpenConnection>(f.effects) != nullptr);
}
