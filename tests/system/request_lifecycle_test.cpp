// Cases of the request state machine: what each kind of evidence proves and how the request continues.
// lifecycle_search_test.cpp searches all orders of events.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "request_lifecycle/lifecycle.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last, because it redefines operator new
// clang-format on

using namespace ivygw;
using namespace ivygw::request_lifecycle;
using load_balancing::AttemptResult;

namespace {

// Chooses backends b1, b2, ... in order; the budget allows all retries or none.
class FixedPolicy : public BackendPolicy {
 public:
  std::string Choose(double, const std::string&, const std::set<std::string>& tried) override {
    for (int i = 1; i <= 9; ++i) {
      std::string backend = "b" + std::to_string(i);
      if (!tried.count(backend)) return backend;
    }
    return {};
  }
  void OnAttemptStarted(const std::string&) override { ++active_attempts; }
  void OnAttemptEnded(double, const std::string&, AttemptResult) override { --active_attempts; }
  bool MayRetry(double, const std::string&) override { return budget; }
  void OnRetry(double, const std::string&) override { ++retries; }
  bool IsDrained(const std::string& backend) override { return drained.count(backend) > 0; }

  bool budget = true;
  int active_attempts = 0, retries = 0;
  std::set<std::string> drained;
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

// A lifecycle with the latest request and its connection.
struct Fixture {
  FixedPolicy policy;
  Lifecycle lifecycle{&policy};
  RequestId request;
  ConnectionId connection;
  AttemptId attempt;
  Effects effects;
  uint64_t clients = 0;

  template <typename Event>
  void Handle(Event event, double now = 0) {
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
    Handle(RequestAdmitted{request, "own", "s", idempotent, max_attempts, now + 100}, now);
  }
  void AdmitAndSend(bool idempotent, int max_attempts) {
    Admit(idempotent, max_attempts);
    Handle(ConnectionOpened{connection});
  }
  // Serves a request, so that the connection is kept for reuse.
  void ServeOne() {
    AdmitAndSend(false, 2);
    Handle(AnswerReceived{connection, OwnReply(200)});
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

TEST(Answers, OnlyTheBackendItselfProvesThatNothingRan) {
  CHECK(ProvesNotDone(Facts(503, true, true, true, false, false)));
  CHECK(ClassifyAnswer(Facts(421, true, true, false, false, false)).result == AttemptResult::kMisdirected);
  CHECK(ProvesNotDone(Facts(400, false, false, true, false, false)));  // rejected before reading the id
  CHECK(MayHaveRun(Facts(503, false, true, true, false, false)));      // belongs to another request
  // A status that promises "not run" is not passed on if the backend did not prove it.
  for (unsigned status : {503u, 429u, 408u}) {
    CHECK(MayHaveRun(Facts(status, true, true, false, true, false)));
    CHECK(!ClassifyAnswer(Facts(status, true, true, false, true, false)).forwardable);
  }
  CHECK(ClassifyAnswer(Facts(200, true, true, false, true, false)).forwardable);
  CHECK(!ClassifyAnswer(Facts(200, true, true, false, false, false)).trusted);  // not sealed
  CHECK(!ClassifyAnswer(Facts(200, true, true, false, true, true))
             .trusted);  // encoded, so not the original body
  CHECK(!ClassifyAnswer(Facts(200, false, true, false, true, false)).trusted);  // another request's
  CHECK(!ClassifyAnswer(Facts(200, false, false, false, true, false)).trusted);
  CHECK(ClassifyAnswer(Facts(500, true, true, false, true, false)).forwardable);
}

TEST(Answers, ARejectionWithoutAnIdIsTrustedOnlyOnAConnectionWithASingleRequest) {
  for (unsigned status : {421u, 503u, 400u}) {
    CHECK(ProvesNotDone(Facts(status, false, false, true, false, false, true)));
    CHECK(MayHaveRun(Facts(status, false, false, true, false, false, false)));
    CHECK(!ClassifyAnswer(Facts(status, false, false, true, false, false, false)).trusted);
    CHECK(ProvesNotDone(Facts(status, true, true, true, false, false, false)));
  }
}

TEST_GROUP(Lifecycles){};

TEST(Lifecycles, OnlyIdempotentRequestsAreRetriedAfterTheyMayHaveRun) {
  // All sequences of up to four attempt results: a request that is not idempotent is never sent again after
  // an attempt that may have run, and no answer claims that it has not run then.
  for (int bits = 0; bits < 256; ++bits) {
    for (bool idempotent : {false, true}) {
      for (int max_attempts = 1; max_attempts <= 3; ++max_attempts) {
        Fixture f;
        f.Admit(idempotent, max_attempts);
        bool may_have_run = false;
        int arrived = 0;
        for (int i = 0; i < 4; ++i) {
          int end = bits >> (2 * i) & 3;
          if (end != 0) f.Handle(ConnectionOpened{f.connection});
          if (end == 0) f.Handle(ConnectionLost{f.connection, false});
          if (end == 1) f.Handle(AnswerReceived{f.connection, OwnReply(503, true)});
          if (end == 2) f.Handle(AnswerReceived{f.connection, OwnReply(200)});
          if (end == 3) f.Handle(ConnectionLost{f.connection, true});
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
          CHECK(arrived < max_attempts);
        }
        CHECK_EQUAL(f.lifecycle.requests().empty() ? 0 : 1, f.policy.active_attempts);
      }
    }
  }
}

TEST(Lifecycles, AStaleConnectionIsReplacedAtTheSameBackend) {
  Fixture f;
  f.ServeOne();
  ConnectionId reused = f.connection;
  f.Admit(false, 2);
  CHECK(FindEffect<SendRequest>(f.effects) != nullptr);
  CHECK(f.connection == reused);
  f.Handle(ConnectionStale{reused});
  const auto* open = FindEffect<OpenConnection>(f.effects);
  CHECK(open != nullptr);
  STRCMP_EQUAL("b1", open->backend.c_str());
  CHECK_EQUAL(0, f.policy.retries);  // the request has not arrived anywhere
}

TEST(Lifecycles, ARequestMayHaveRunOnceAByteIsWritten) {
  for (bool reused : {false, true}) {
    for (bool bytes_written : {false, true}) {
      Fixture f;
      if (reused) f.ServeOne();
      reused ? f.Admit(false, 2) : f.AdmitAndSend(false, 2);
      f.Handle(ConnectionLost{f.connection, bytes_written});
      CHECK_EQUAL(!bytes_written, f.Retried());
      CHECK_EQUAL(bytes_written ? 502 : 0, f.OwnStatus());
    }
  }
}

TEST(Lifecycles, AnAnswerAtTheDeadlineShowsWhetherTheRequestMayHaveRun) {
  Fixture connecting, sent;
  connecting.Admit(false, 2);
  connecting.Handle(DeadlineReached{connecting.request});
  CHECK_EQUAL(503, connecting.OwnStatus());
  sent.AdmitAndSend(false, 2);
  sent.Handle(DeadlineReached{sent.request});
  CHECK_EQUAL(504, sent.OwnStatus());
  CHECK(FindEffect<CloseConnection>(sent.effects) != nullptr);
}

TEST(Lifecycles, StaleEventsAreIgnoredAndCounted) {
  Fixture f;
  f.ServeOne();
  ConnectionId closed = f.connection;
  RequestId answered = f.request;
  AttemptId attempt = f.attempt;
  f.Handle(ConnectionLost{closed, true});  // while idle
  f.AdmitAndSend(true, 2);
  uint64_t before = f.lifecycle.counters().stale_events;
  f.Handle(AnswerReceived{closed, OwnReply(200)});
  CHECK(f.effects.empty());
  f.Handle(ConnectTimedOut{f.connection, attempt});
  CHECK(f.effects.empty());
  f.Handle(ConnectTimedOut{f.connection, f.attempt});  // already established
  CHECK(f.effects.empty());
  f.Handle(DeadlineReached{answered});
  CHECK(f.effects.empty());
  f.Handle(ClientClosed{ClientId{1}});
  CHECK(f.effects.empty());
  CHECK_EQUAL(before + 5, f.lifecycle.counters().stale_events);
}

TEST(Lifecycles, WithoutABudgetOnlyUnsentAttemptsAreRetried) {
  Fixture f;
  f.policy.budget = false;
  f.AdmitAndSend(true, 3);
  f.Handle(ConnectionLost{f.connection, true});
  CHECK(!f.Retried());
  f.Admit(true, 3);
  f.Handle(ConnectionLost{f.connection, false});
  CHECK(f.Retried());
}

TEST(Lifecycles, AStreamedAnswerIsFinishedOrAborted) {
  Fixture f;
  f.AdmitAndSend(false, 2);
  f.Handle(AnswerStarted{f.connection, OwnReply(200)});
  CHECK(FindEffect<ForwardStart>(f.effects) != nullptr);
  f.Handle(DeadlineReached{f.request});
  CHECK(f.effects.empty());
  f.Handle(ClientDrained{ClientId{f.clients}});
  CHECK(FindEffect<ReadAnswerPart>(f.effects) != nullptr);
  f.Handle(ConnectionLost{f.connection, true});
  CHECK(FindEffect<AbortReply>(f.effects) != nullptr);
  CHECK(FindEffect<ReplyUnknown>(f.effects) == nullptr);
}

TEST(Lifecycles, AfterItsClientLeavesOnlyANonIdempotentRequestContinues) {
  for (bool idempotent : {false, true}) {
    Fixture f;
    f.AdmitAndSend(idempotent, 2);
    f.Handle(ClientClosed{ClientId{f.clients}});
    CHECK_EQUAL(idempotent, FindEffect<CloseConnection>(f.effects) != nullptr);
    if (idempotent) continue;
    f.Handle(AnswerReceived{f.connection, OwnReply(200)});
    CHECK(FindEffect<ForwardAnswer>(f.effects) == nullptr);
    CHECK(f.lifecycle.requests().empty());
  }
}

TEST(Lifecycles, IdleConnectionsAreClosedAfterTheIdleTimeOrWhenTheirBackendIsDrained) {
  Fixture f;
  f.ServeOne();
  f.Handle(IdleSweep{}, 1);
  CHECK(f.effects.empty());
  f.policy.drained.insert("b1");
  f.Handle(IdleSweep{}, 1);
  CHECK(FindEffect<CloseConnection>(f.effects) != nullptr);
  f.policy.drained.clear();
  f.ServeOne();
  f.Admit(false, 2, 50);  // idle for too long
  CHECK(FindEffect<CloseConnection>(f.effects) != nullptr);
  CHECK(FindEffect<OpenConnection>(f.effects) != nullptr);
}
