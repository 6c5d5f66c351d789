// The core's books round a module that does what the test says: the hard cases one by one, then anything in
// any order.
#include "core/gateway_core.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "core/core_watch.h"
#include "core/hooked_balancer.h"

namespace ivygw::core {
namespace {

using micadock::ActionKind;
using micadock::Actions;
using micadock::BackendState;
using micadock::hooks;
using micadock::Outcome;
using micadock::Result;

// A core with backends 1 and 2 at addresses 1 and 2. The module sends each request to backend 1, once.
class Core : public testing::Test {
 protected:
  Core() {
    hooks = {};
    hooks.on_request = [](const micadock::Request& r, Actions* out) {
      out->push_back(micadock::Send(r.id, 1));
    };
    hooks.on_outcome = [this](const Outcome& o, Actions*) { outcomes.push_back(o); };
    hooks.on_abandoned = [this](uint32_t id, Actions*) { abandoned.push_back(id); };
    settings = WatchedSite();
    core.emplace(settings, now, &effects);
    List({{1, BackendState::kReady, 1}, {2, BackendState::kReady, 2}});
    effects.clear();
  }
  ~Core() override { hooks = {}; }

  struct Entry {
    uint32_t id;
    BackendState state;
    uint64_t address;
  };
  void List(const std::vector<Entry>& entries, micadock::ListKind kind = micadock::ListKind::kFull) {
    std::vector<ListedBackend> listed;
    for (const Entry& e : entries) {
      ListedBackend l;
      l.backend.id = e.id;
      l.backend.state = e.state;
      l.address = e.address;
      listed.push_back(l);
    }
    core->OnBackendList(now, kind, listed, &effects);
  }
  uint32_t Ask(uint64_t client, int cls = 0, double timeout_s = 1) {
    RequestArrived a;
    a.client = client;
    a.id = "r" + std::to_string(client);
    a.cls = cls;
    a.units = 1;
    a.timeout_s = timeout_s;
    return core->OnRequest(now, a, &effects);
  }
  // Takes the first effect of this kind out of what was asked for.
  template <typename E>
  std::optional<E> Take() {
    for (auto it = effects.begin(); it != effects.end(); ++it) {
      if (auto* e = std::get_if<E>(&*it)) {
        E found = *e;
        effects.erase(it);
        return found;
      }
    }
    return std::nullopt;
  }
  // The connection that was asked for last comes up, and the whole request goes out on it.
  uint64_t Sent() {
    uint64_t connection = Take<OpenConnection>()->connection;
    core->OnConnectionOpened(now, connection, &effects);
    core->OnRequestWritten(now, connection, &effects);
    return connection;
  }
  // A connection that has been used and is kept.
  uint64_t Kept() {
    Ask(900);
    uint64_t connection = Sent();
    core->OnResponse(now, connection, Result::kOk, 1, true, &effects);
    effects.clear();
    outcomes.clear();
    return connection;
  }
  void At(double seconds) {
    now = 1000 + seconds;
    core->OnTimerExpired(now, &effects);
  }

  CoreSettings settings;
  double now = 1000;
  Effects effects;
  std::optional<GatewayCore> core;
  std::vector<Outcome> outcomes;
  std::vector<uint32_t> abandoned;
};

TEST_F(Core, OneRequestFromArrivalToItsEnd) {
  uint32_t id = Ask(5);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_EQ(connect->address, 1u);
  core->OnConnectionOpened(now + 0.01, connect->connection, &effects);
  auto write = Take<WriteRequest>();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->request, id);
  EXPECT_FALSE(write->reused);
  EXPECT_NEAR(write->timeout_s, 1 - 0.005 - 0.01, 1e-9) << "the time that is left, less half of the margin";
  core->OnRequestWritten(now + 0.01, connect->connection, &effects);
  core->OnResponse(now + 0.05, connect->connection, Result::kOk, 2, true, &effects);
  auto answer = Take<SendResponse>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->client, 5u);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->connection, connect->connection);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_TRUE(outcomes[0].finished);
  EXPECT_NEAR(outcomes[0].took_s, 0.05, 1e-9);
  EXPECT_EQ(outcomes[0].true_units, 2);
  ASSERT_TRUE(Take<ReleaseRequest>());
  EXPECT_EQ(core->requests().size(), 0u);
  EXPECT_EQ(core->backends().idle(), 1u);
}

// An answer and the time-out in one turn of the loop: whichever is told first is the end, and the other
// changes nothing.
TEST_F(Core, AnswerAndTimeoutInOneTurn) {
  Ask(1);
  uint64_t c = Sent();
  now += 2;
  core->OnResponse(now, c, Result::kOk, 1, true, &effects);
  core->OnTimerExpired(now, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  EXPECT_FALSE(Take<SendResponse>());
  EXPECT_EQ(outcomes.size(), 1u);

  Ask(2);
  c = Take<WriteRequest>()->connection;
  core->OnRequestWritten(now, c, &effects);
  now += 2;
  core->OnTimerExpired(now, &effects);
  core->OnResponse(now, c, Result::kOk, 1, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 503) << "a class without effect: nothing is lost by trying again";
  EXPECT_FALSE(Take<SendResponse>());
  ASSERT_EQ(outcomes.size(), 2u);
  EXPECT_EQ(outcomes[1].result, Result::kTimeout);
}

// What may have run is said so: 504 with an attempt out, 503 where nothing was written.
TEST_F(Core, GuardTellsWhatMayHaveRun) {
  Ask(1, 2);
  Sent();
  At(0.996);
  EXPECT_EQ(Take<SendResponse>()->status, 504);
  EXPECT_EQ(abandoned.size(), 1u);

  hooks.on_request = {};
  Ask(2, 2);
  At(3);
  EXPECT_EQ(Take<SendResponse>()->status, 503);
}

// An attempt that timed out was all written: it may have run, also when nothing of it is out any more.
TEST_F(Core, ATimeoutMayHaveRun) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::Send(r.id, 1, 0.2));
  };
  Ask(1, 2);
  Sent();
  At(0.3);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kTimeout);
  At(0.996);
  EXPECT_EQ(Take<SendResponse>()->status, 504);
}

// A cancel that crosses the answer: the outcome that came first counts, the attempt ends once.
TEST_F(Core, CancelThatCrossesTheAnswer) {
  uint32_t id = Ask(1);
  uint64_t c = Sent();
  hooks.on_timer = [&](uint64_t, Actions* out) { out->push_back(micadock::Of(ActionKind::kCancel, id)); };
  hooks.on_outcome = [&](const Outcome& o, Actions* out) {
    outcomes.push_back(o);
    out->push_back(micadock::Of(ActionKind::kCancel, id));  // after it has ended
  };
  core->OnResponse(now, c, Result::kError, 0, true, &effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kError);

  // The other way round: cancelled, then the answer comes.
  hooks.on_outcome = [this](const Outcome& o, Actions*) { outcomes.push_back(o); };
  hooks.on_abandoned = [&](uint32_t abandoned_id, Actions* out) {
    out->push_back(micadock::Of(ActionKind::kCancel, abandoned_id));
  };
  Ask(2);
  uint64_t kept = Take<WriteRequest>()->connection;
  core->OnRequestWritten(now, kept, &effects);
  core->OnClientDisconnected(now, 2, &effects);
  core->OnResponse(now, kept, Result::kOk, 0, true, &effects);
  ASSERT_EQ(outcomes.size(), 2u);
  EXPECT_EQ(outcomes[1].result, Result::kCancelled) << "it was all written, so it may have run";
  EXPECT_FALSE(Take<SendResponse>());
}

TEST_F(Core, CancelledBeforeItWasWrittenHasNotRun) {
  uint32_t id = Ask(1, 2);
  Take<OpenConnection>();
  hooks.on_abandoned = [&](uint32_t, Actions* out) { out->push_back(micadock::Of(ActionKind::kCancel, id)); };
  core->OnClientDisconnected(now, 1, &effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kNeverSent);
  EXPECT_TRUE(Take<CloseConnection>());
  EXPECT_EQ(core->requests().size(), 0u);
}

// A client that leaves while its outcome is being told: its answer is out, nothing is left in the books.
TEST_F(Core, ClientLeavesAsItIsAnswered) {
  Ask(1);
  uint64_t c = Sent();
  core->OnResponse(now, c, Result::kOk, 0, true, &effects);
  core->OnClientDisconnected(now, 1, &effects);
  EXPECT_TRUE(abandoned.empty());
  EXPECT_EQ(core->requests().size(), 0u);
}

// Answered by the module while a connection came up: nothing is sent after the answer.
TEST_F(Core, NothingIsSentAfterTheAnswer) {
  uint32_t id = Ask(1);
  uint64_t c = Take<OpenConnection>()->connection;
  hooks.on_timer = [&](uint64_t, Actions* out) { out->push_back(micadock::Of(ActionKind::kFail, id)); };
  hooks.on_request = [&](const micadock::Request&, Actions* out) {
    out->push_back(micadock::Of(ActionKind::kTimer, 0));
  };
  Ask(2);
  core->OnTimerExpired(now, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 502);
  core->OnConnectionOpened(now, c, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  EXPECT_EQ(outcomes.at(0).result, Result::kConnectFailed);
}

TEST_F(Core, NothingToADrainingBackendAfterTheGrace) {
  uint64_t kept = Kept();
  List({{1, BackendState::kDraining, 1}}, micadock::ListKind::kDelta);
  EXPECT_EQ(Take<CloseConnection>()->connection, kept) << "a kept connection of a draining backend";
  now += 0.3;
  Ask(1);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect) << "within the grace";
  now += 0.15;  // over it, less the margin for the write
  core->OnConnectionOpened(now, connect->connection, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  EXPECT_EQ(outcomes.at(0).result, Result::kConnectFailed);
  Ask(2);
  EXPECT_FALSE(Take<OpenConnection>());
  EXPECT_EQ(outcomes.at(1).result, Result::kConnectFailed);
}

TEST_F(Core, NothingToABackendThatHasGone) {
  Ask(1);
  uint64_t c = Take<OpenConnection>()->connection;
  List({{2, BackendState::kReady, 2}});  // the whole list, without backend 1
  core->OnConnectionOpened(now, c, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  Ask(2);
  EXPECT_FALSE(Take<OpenConnection>());
}

// A list that renames a backend's address with an attempt out: it ends as it ends, and its connection is not
// kept.
TEST_F(Core, ABackendMovesWithAnAttemptOut) {
  uint64_t idle = Kept();
  Ask(1);
  uint64_t busy = Take<WriteRequest>()->connection;
  EXPECT_EQ(busy, idle);
  core->OnRequestWritten(now, busy, &effects);
  Ask(2);
  uint64_t coming = Take<OpenConnection>()->connection;
  List({{1, BackendState::kReady, 7}, {2, BackendState::kReady, 2}});
  core->OnResponse(now, busy, Result::kOk, 0, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  EXPECT_EQ(Take<CloseConnection>()->connection, busy);
  core->OnConnectionOpened(now, coming, &effects);
  EXPECT_FALSE(Take<WriteRequest>()) << "to the address before";
  Ask(3);
  EXPECT_EQ(Take<OpenConnection>()->address, 7u);
}

// Another backend at the address of one that drains: the connections of the first are not used for the
// second.
TEST_F(Core, ABackendComesAtTheAddressOfOneThatDrains) {
  uint64_t kept = Kept();
  List({{1, BackendState::kDraining, 1}, {2, BackendState::kReady, 1}}, micadock::ListKind::kDelta);
  EXPECT_EQ(Take<CloseConnection>()->connection, kept);
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::Send(r.id, 2));
  };
  Ask(1);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_NE(connect->connection, kept);
}

// A kept connection that had ended: the next one is taken, and the attempt goes on.
TEST_F(Core, AStaleConnectionCostsNoAttempt) {
  uint64_t kept = Kept();
  Ask(1);
  EXPECT_EQ(Take<WriteRequest>()->connection, kept);
  core->OnConnectionStale(now, kept, &effects);
  EXPECT_EQ(Take<CloseConnection>()->connection, kept);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_TRUE(outcomes.empty());
  core->OnConnectionOpened(now, connect->connection, &effects);
  EXPECT_TRUE(Take<WriteRequest>());
}

TEST_F(Core, IdleConnectionsEndBeforeTheBackendEndsThem) {
  uint64_t kept = Kept();
  At(2 * kIdleTimeoutShare - 0.001);
  EXPECT_FALSE(Take<CloseConnection>());
  EXPECT_NEAR(core->NextDue(now), 1000 + 2 * kIdleTimeoutShare, 1e-9);
  At(2 * kIdleTimeoutShare);
  EXPECT_EQ(Take<CloseConnection>()->connection, kept);
}

TEST_F(Core, TheConnectionThatHasBeenIdleLongestMakesRoom) {
  std::vector<uint64_t> used;
  for (uint64_t client = 1; client <= settings.connections.max_connections; ++client) {
    Ask(client);
    used.push_back(Take<OpenConnection>()->connection);
  }
  Ask(50);
  EXPECT_FALSE(Take<OpenConnection>()) << "every connection is in use";
  EXPECT_EQ(outcomes.at(0).result, Result::kConnectFailed);
  for (uint64_t c : used) {
    core->OnConnectionOpened(now, c, &effects);
    core->OnRequestWritten(now, c, &effects);
  }
  now += 0.01;
  core->OnResponse(now, used[2], Result::kOk, 0, true, &effects);
  core->OnResponse(now, used[4], Result::kOk, 0, true, &effects);
  effects.clear();
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::Send(r.id, 2));
  };
  Ask(51);
  EXPECT_EQ(Take<CloseConnection>()->connection, used[2]);
  EXPECT_EQ(Take<OpenConnection>()->address, 2u);
}

TEST_F(Core, TwoAttemptsOutOnlyWhereTheSettingsAllowIt) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::Send(r.id, 1));
    out->push_back(micadock::Send(r.id, 2));
  };
  Ask(1);
  EXPECT_TRUE(Take<OpenConnection>());
  EXPECT_FALSE(Take<OpenConnection>());
  EXPECT_EQ(outcomes.at(0).result, Result::kNeverSent);
}

// An id is open until its last attempt has ended, also when its client has been answered.
TEST_F(Core, AnIdIsOpenAsLongAsAnAttemptIsOut) {
  Ask(1);
  uint64_t c = Sent();
  core->OnClientDisconnected(now, 1, &effects);
  EXPECT_TRUE(core->IsOpen("r1"));
  core->OnConnectionLost(now, c, &effects);
  EXPECT_FALSE(core->IsOpen("r1"));
  EXPECT_EQ(outcomes.at(0).result, Result::kReset);
}

// Counter calls: in time, late, lost before and after they may have been added.
TEST_F(Core, ACounterCallEndsOnce) {
  std::vector<micadock::CountAnswer> told;
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::CountUnits(r.id, 2));
  };
  hooks.on_count = [&](const micadock::CountAnswer& a, Actions*) { told.push_back(a); };
  Ask(1);
  auto count = Take<CallCounter>();
  ASSERT_TRUE(count);
  core->OnCounterCallWritten(count->call);
  core->OnCounterResponse(now, count->call, Result::kOk, 7, &effects);
  core->OnCounterResponse(now, count->call, Result::kOk, 9, &effects);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].total, 7);
  Ask(2);
  uint64_t unwritten = Take<CallCounter>()->call;
  Ask(3);
  uint64_t written = Take<CallCounter>()->call;
  core->OnCounterCallWritten(written);
  At(kCounterTimeoutFactor * 0.02 + 1e-9);
  ASSERT_EQ(told.size(), 3u);
  EXPECT_EQ(told[1].result, Result::kConnectFailed);
  EXPECT_EQ(Take<CancelCounterCall>()->call, unwritten) << "told as never added, so it must not go out";
  EXPECT_EQ(told[2].result, Result::kTimeout);
  EXPECT_FALSE(Take<CancelCounterCall>());
  core->OnCounterResponse(now, written, Result::kOk, 11, &effects);
  core->OnCounterCallLost(now, unwritten, &effects);
  EXPECT_EQ(told.size(), 3u);
  EXPECT_EQ(core->counter_calls().in_flight(), 0u);
}

// SIGTERM while a request is held and a counter call is out: what comes is served for a while, then idle
// clients are closed, and the end waits for the last answer, but not for the counter.
TEST_F(Core, ShutdownFinishesWhatIsHeld) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::CountUnits(r.id, 2));
    out->push_back(micadock::Send(r.id, 1));
  };
  EXPECT_TRUE(core->ready());
  Ask(1);
  uint64_t c = Sent();
  core->BeginShutdown(now, &effects);
  core->BeginShutdown(now, &effects);
  EXPECT_FALSE(core->ready());
  EXPECT_TRUE(Take<DisableClientKeepAlive>());
  EXPECT_FALSE(Take<DisableClientKeepAlive>()) << "once";
  EXPECT_FALSE(Take<CloseIdleClientConnections>());
  EXPECT_EQ(core->NextDue(now) <= now + kShutdownIdleCloseDelayS, true);
  At(kShutdownIdleCloseDelayS);
  EXPECT_TRUE(Take<CloseIdleClientConnections>());
  EXPECT_FALSE(Take<StopIfIdle>()) << "a request is held";
  core->OnResponse(now, c, Result::kOk, 0, true, &effects);
  EXPECT_TRUE(Take<StopIfIdle>());
  EXPECT_FALSE(Take<Stop>());
  At(1.5 + kShutdownMarginS);  // the longest deadline of the settings
  EXPECT_TRUE(Take<Stop>());
}

// SIGTERM, and a client that goes on using its connection: what can't be finished before the end is refused
// with nothing sent on, what can is served.
TEST_F(Core, ShutdownTakesNothingThatItsEndMayCutOff) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::Send(r.id, 1));
  };
  core->BeginShutdown(now, &effects);
  At(kShutdownIdleCloseDelayS);
  Ask(1);
  EXPECT_TRUE(Take<SendResponse>() == std::nullopt) << "it can be finished";
  uint64_t served = Sent();
  core->OnResponse(now, served, Result::kOk, 0, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  At(2 * kShutdownMarginS);
  effects.clear();
  Ask(2);
  std::optional<SendResponse> refused = Take<SendResponse>();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_FALSE(Take<OpenConnection>()) << "no backend has seen it";
  EXPECT_FALSE(Take<WriteRequest>()) << "nor on a kept connection";
  At(1.5 + kShutdownMarginS);
  EXPECT_TRUE(Take<Stop>());
}

TEST_F(Core, AClockThatGoesBackLosesNothing) {
  Ask(1);
  Sent();
  double before = now;
  now -= 100;
  core->OnTimerExpired(now, &effects);
  EXPECT_FALSE(Take<SendResponse>());
  now = before + 1;
  core->OnTimerExpired(now, &effects);
  EXPECT_TRUE(Take<SendResponse>());
}

TEST_F(Core, NoCounterIsNotAdded) {
  settings.has_counter = false;
  core.emplace(settings, now, &effects);
  std::vector<micadock::CountAnswer> told;
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::CountUnits(r.id, 2));
  };
  hooks.on_count = [&](const micadock::CountAnswer& a, Actions*) { told.push_back(a); };
  Ask(1);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].result, Result::kConnectFailed);
}

// A module that does anything at any time, and events in any order: the core alone keeps to one answer, to
// the settings on attempts, to the grace, and leaves nothing behind.
TEST(AnyOrder, RoundAModuleThatDoesAnything) {
  uint64_t answers = 0, writes = 0, served = 0;
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<uint32_t> known;
    auto act = [&](Actions* out) {
      for (int n = static_cast<int>(random() % 3); n > 0 && !known.empty(); --n) {
        uint32_t id = known[known.size() - 1 - random() % std::min<size_t>(known.size(), 4)];
        uint32_t backend = 1 + static_cast<uint32_t>(random() % 4);  // one is unknown
        int attempt = static_cast<int>(random() % 4);
        switch (random() % 9) {
          case 0:
          case 1:
          case 2:
            out->push_back(micadock::Send(
                id, backend, random() % 3 == 0 ? 0 : 0.001 * static_cast<double>(random() % 500)));
            break;
          case 3:
          case 4: out->push_back(micadock::Of(ActionKind::kCancel, id, attempt)); break;
          case 5:
            out->push_back(micadock::Of(ActionKind::kRefuse, id, 0, 0.1 * static_cast<double>(random() % 3)));
            break;
          case 6: out->push_back(micadock::Of(ActionKind::kFail, id)); break;
          case 7:
            out->push_back(
                micadock::Of(ActionKind::kTimer, 0, 0, 0.001 * static_cast<double>(random() % 300)));
            break;
          default: out->push_back(micadock::CountUnits(random(), 1));
        }
      }
    };
    hooks = {};
    hooks.on_request = [&](const micadock::Request& r, Actions* out) {
      known.push_back(r.id);
      if (random() % 8 != 0) out->push_back(micadock::Send(r.id, 1 + static_cast<uint32_t>(random() % 3)));
      act(out);
    };
    hooks.on_outcome = [&](const Outcome&, Actions* out) { act(out); };
    hooks.on_abandoned = [&](uint32_t, Actions* out) { act(out); };
    hooks.on_timer = [&](uint64_t, Actions* out) { act(out); };
    hooks.on_count = [&](const micadock::CountAnswer&, Actions* out) { act(out); };
    std::vector<uint8_t> bytes(600);
    for (uint8_t& b : bytes) b = static_cast<uint8_t>(random());
    CoreSettings settings = WatchedSite();
    settings.module.parallel_tries = seed % 4 == 0;
    CoreWatch watch(settings, false);
    watch.Play(bytes.data(), bytes.size());
    ASSERT_EQ(watch.broken(), "") << "seed " << seed;
    answers += watch.answers();
    writes += watch.writes();
    served += watch.served();
  }
  hooks = {};
  EXPECT_GT(answers, 20000u);
  EXPECT_GT(writes, 10000u);
  EXPECT_GT(served, 200u);
}

}  // namespace
}  // namespace ivygw::core
