// The core with a scripted balancer: edge cases one by one, then random events in any order.
#include "core/gateway_core.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "core/core_harness.h"
#include "core/hooked_balancer.h"

namespace ivygw::core {
namespace {

using micadock::ActionKind;
using micadock::Actions;
using micadock::BackendState;
using micadock::hooks;
using micadock::Outcome;
using micadock::Result;

// A core with backends 1 and 2 at addresses 1 and 2. The balancer sends each request once, to backend 1.
class Core : public testing::Test {
 protected:
  Core() {
    hooks = {};
    hooks.on_request = [](const micadock::Request& r, Actions* out) {
      out->push_back(micadock::MakeSend(r.id, 1));
    };
    hooks.on_outcome = [this](const Outcome& o, Actions*) { outcomes.push_back(o); };
    hooks.on_abandoned = [this](uint32_t id, Actions*) { abandoned.push_back(id); };
    settings = HarnessSettings();
    core.emplace(settings, now, &effects);
    SetBackends({{1, BackendState::kReady, 1}, {2, BackendState::kReady, 2}});
    effects.clear();
  }
  ~Core() override { hooks = {}; }

  struct Entry {
    uint32_t id;
    BackendState state;
    uint64_t address;
  };
  void SetBackends(const std::vector<Entry>& entries, micadock::ListKind kind = micadock::ListKind::kFull) {
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
  uint32_t SendRequest(uint64_t client, int cls = 0, double timeout_s = 1) {
    RequestArrived a;
    a.client = client;
    a.id = "r" + std::to_string(client);
    a.cls = cls;
    a.units = 1;
    a.timeout_s = timeout_s;
    return core->OnRequest(now, a, &effects);
  }
  // Removes and returns the first effect of this kind.
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
  // Opens the next requested connection and writes the whole request on it.
  uint64_t CompleteSend() {
    uint64_t connection = Take<OpenConnection>()->connection;
    core->OnConnectionOpened(now, connection, &effects);
    core->OnRequestWritten(now, connection, &effects);
    return connection;
  }
  // Returns an idle connection that has been used.
  uint64_t PooledConnection() {
    SendRequest(900);
    uint64_t connection = CompleteSend();
    core->OnResponse(now, connection, Result::kOk, 1, true, &effects);
    effects.clear();
    outcomes.clear();
    return connection;
  }
  void AdvanceTo(double seconds) {
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
  uint32_t id = SendRequest(5);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_EQ(connect->address, 1u);
  core->OnConnectionOpened(now + 0.01, connect->connection, &effects);
  auto write = Take<WriteRequest>();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->request, id);
  EXPECT_FALSE(write->reused);
  EXPECT_NEAR(write->timeout_s, 1 - 0.005 - 0.01, 1e-9) << "the time left, less half of the margin";
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

// A response and the timeout in the same turn of the event loop: the first one ends the attempt, the second
// is ignored.
TEST_F(Core, AnswerAndTimeoutInOneTurn) {
  SendRequest(1);
  uint64_t c = CompleteSend();
  now += 2;
  core->OnResponse(now, c, Result::kOk, 1, true, &effects);
  core->OnTimerExpired(now, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  EXPECT_FALSE(Take<SendResponse>());
  EXPECT_EQ(outcomes.size(), 1u);

  SendRequest(2);
  c = Take<WriteRequest>()->connection;
  core->OnRequestWritten(now, c, &effects);
  now += 2;
  core->OnTimerExpired(now, &effects);
  core->OnResponse(now, c, Result::kOk, 1, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 503) << "a class without side effects may be retried safely";
  EXPECT_FALSE(Take<SendResponse>());
  ASSERT_EQ(outcomes.size(), 2u);
  EXPECT_EQ(outcomes[1].result, Result::kTimeout);
}

// At the deadline: 504 with an attempt in flight, 503 if nothing was written.
TEST_F(Core, StatusAtTheDeadlineTellsWhatMayHaveRun) {
  SendRequest(1, 2);
  CompleteSend();
  AdvanceTo(0.996);
  EXPECT_EQ(Take<SendResponse>()->status, 504);
  EXPECT_EQ(abandoned.size(), 1u);

  hooks.on_request = {};
  SendRequest(2, 2);
  AdvanceTo(3);
  EXPECT_EQ(Take<SendResponse>()->status, 503);
}

// An attempt that timed out was completely written, so the request may have run, also when no attempt is in
// flight.
TEST_F(Core, ATimeoutMayHaveRun) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeSend(r.id, 1, 0.2));
  };
  SendRequest(1, 2);
  CompleteSend();
  AdvanceTo(0.3);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kTimeout);
  AdvanceTo(0.996);
  EXPECT_EQ(Take<SendResponse>()->status, 504);
}

// A cancellation that crosses the response: the first outcome counts, and the attempt ends once.
TEST_F(Core, CancelThatCrossesTheAnswer) {
  uint32_t id = SendRequest(1);
  uint64_t c = CompleteSend();
  hooks.on_timer = [&](uint64_t, Actions* out) {
    out->push_back(micadock::MakeAction(ActionKind::kCancel, id));
  };
  hooks.on_outcome = [&](const Outcome& o, Actions* out) {
    outcomes.push_back(o);
    out->push_back(micadock::MakeAction(ActionKind::kCancel, id));  // after the attempt has ended
  };
  core->OnResponse(now, c, Result::kError, 0, true, &effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kError);

  // The other order: cancelled, then the response comes.
  hooks.on_outcome = [this](const Outcome& o, Actions*) { outcomes.push_back(o); };
  hooks.on_abandoned = [&](uint32_t abandoned_id, Actions* out) {
    out->push_back(micadock::MakeAction(ActionKind::kCancel, abandoned_id));
  };
  SendRequest(2);
  uint64_t pooled = Take<WriteRequest>()->connection;
  core->OnRequestWritten(now, pooled, &effects);
  core->OnClientDisconnected(now, 2, &effects);
  core->OnResponse(now, pooled, Result::kOk, 0, true, &effects);
  ASSERT_EQ(outcomes.size(), 2u);
  EXPECT_EQ(outcomes[1].result, Result::kCancelled) << "it was completely written, so it may have run";
  EXPECT_FALSE(Take<SendResponse>());
}

TEST_F(Core, CancelledBeforeItWasWrittenHasNotRun) {
  uint32_t id = SendRequest(1, 2);
  Take<OpenConnection>();
  hooks.on_abandoned = [&](uint32_t, Actions* out) {
    out->push_back(micadock::MakeAction(ActionKind::kCancel, id));
  };
  core->OnClientDisconnected(now, 1, &effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].result, Result::kNeverSent);
  EXPECT_TRUE(Take<CloseConnection>());
  EXPECT_EQ(core->requests().size(), 0u);
}

// A client that disconnects right after its response: the balancer is not told, and the request is released.
TEST_F(Core, ClientLeavesAsItIsAnswered) {
  SendRequest(1);
  uint64_t c = CompleteSend();
  core->OnResponse(now, c, Result::kOk, 0, true, &effects);
  core->OnClientDisconnected(now, 1, &effects);
  EXPECT_TRUE(abandoned.empty());
  EXPECT_EQ(core->requests().size(), 0u);
}

// The balancer ends the request while a connection is being opened: nothing is sent after the response.
TEST_F(Core, NothingIsSentAfterTheAnswer) {
  uint32_t id = SendRequest(1);
  uint64_t c = Take<OpenConnection>()->connection;
  hooks.on_timer = [&](uint64_t, Actions* out) {
    out->push_back(micadock::MakeAction(ActionKind::kFail, id));
  };
  hooks.on_request = [&](const micadock::Request&, Actions* out) {
    out->push_back(micadock::MakeAction(ActionKind::kTimer, 0));
  };
  SendRequest(2);
  core->OnTimerExpired(now, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 502);
  core->OnConnectionOpened(now, c, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  EXPECT_EQ(outcomes.at(0).result, Result::kConnectFailed);
}

TEST_F(Core, NothingToADrainingBackendAfterTheGrace) {
  uint64_t pooled = PooledConnection();
  SetBackends({{1, BackendState::kDraining, 1}}, micadock::ListKind::kDelta);
  EXPECT_EQ(Take<CloseConnection>()->connection, pooled) << "an idle connection to a draining backend";
  now += 0.3;
  SendRequest(1);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect) << "within the grace period";
  now += 0.15;  // past the grace period less the write margin
  core->OnConnectionOpened(now, connect->connection, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  EXPECT_EQ(outcomes.at(0).result, Result::kConnectFailed);
  SendRequest(2);
  EXPECT_FALSE(Take<OpenConnection>());
  EXPECT_EQ(outcomes.at(1).result, Result::kConnectFailed);
}

TEST_F(Core, NothingToABackendThatHasGone) {
  SendRequest(1);
  uint64_t c = Take<OpenConnection>()->connection;
  SetBackends({{2, BackendState::kReady, 2}});  // a full list without backend 1
  core->OnConnectionOpened(now, c, &effects);
  EXPECT_FALSE(Take<WriteRequest>());
  SendRequest(2);
  EXPECT_FALSE(Take<OpenConnection>());
}

// A backend's address changes with an attempt in flight: the attempt goes on, and its connection is not
// reused.
TEST_F(Core, ABackendMovesWithAnAttemptOut) {
  uint64_t idle = PooledConnection();
  SendRequest(1);
  uint64_t busy = Take<WriteRequest>()->connection;
  EXPECT_EQ(busy, idle);
  core->OnRequestWritten(now, busy, &effects);
  SendRequest(2);
  uint64_t connecting = Take<OpenConnection>()->connection;
  SetBackends({{1, BackendState::kReady, 7}, {2, BackendState::kReady, 2}});
  core->OnResponse(now, busy, Result::kOk, 0, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  EXPECT_EQ(Take<CloseConnection>()->connection, busy);
  core->OnConnectionOpened(now, connecting, &effects);
  EXPECT_FALSE(Take<WriteRequest>()) << "its address is the old one";
  SendRequest(3);
  EXPECT_EQ(Take<OpenConnection>()->address, 7u);
}

// A backend is listed at the address of a draining one: connections of the first are not used for the second.
TEST_F(Core, ABackendComesAtTheAddressOfOneThatDrains) {
  uint64_t pooled = PooledConnection();
  SetBackends({{1, BackendState::kDraining, 1}, {2, BackendState::kReady, 1}}, micadock::ListKind::kDelta);
  EXPECT_EQ(Take<CloseConnection>()->connection, pooled);
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeSend(r.id, 2));
  };
  SendRequest(1);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_NE(connect->connection, pooled);
}

// An idle connection that the backend has closed: the attempt goes on with another connection.
TEST_F(Core, AStaleConnectionCostsNoAttempt) {
  uint64_t pooled = PooledConnection();
  SendRequest(1);
  EXPECT_EQ(Take<WriteRequest>()->connection, pooled);
  core->OnConnectionStale(now, pooled, &effects);
  EXPECT_EQ(Take<CloseConnection>()->connection, pooled);
  auto connect = Take<OpenConnection>();
  ASSERT_TRUE(connect);
  EXPECT_TRUE(outcomes.empty());
  core->OnConnectionOpened(now, connect->connection, &effects);
  EXPECT_TRUE(Take<WriteRequest>());
}

TEST_F(Core, IdleConnectionsEndBeforeTheBackendEndsThem) {
  uint64_t pooled = PooledConnection();
  AdvanceTo(2 * kIdleTimeoutShare - 0.001);
  EXPECT_FALSE(Take<CloseConnection>());
  EXPECT_NEAR(core->NextDue(now), 1000 + 2 * kIdleTimeoutShare, 1e-9);
  AdvanceTo(2 * kIdleTimeoutShare);
  EXPECT_EQ(Take<CloseConnection>()->connection, pooled);
}

TEST_F(Core, TheConnectionThatHasBeenIdleLongestMakesRoom) {
  std::vector<uint64_t> used;
  for (uint64_t client = 1; client <= settings.connections.max_connections; ++client) {
    SendRequest(client);
    used.push_back(Take<OpenConnection>()->connection);
  }
  SendRequest(50);
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
    out->push_back(micadock::MakeSend(r.id, 2));
  };
  SendRequest(51);
  EXPECT_EQ(Take<CloseConnection>()->connection, used[2]);
  EXPECT_EQ(Take<OpenConnection>()->address, 2u);
}

TEST_F(Core, TwoAttemptsOutOnlyWhereTheSettingsAllowIt) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeSend(r.id, 1));
    out->push_back(micadock::MakeSend(r.id, 2));
  };
  SendRequest(1);
  EXPECT_TRUE(Take<OpenConnection>());
  EXPECT_FALSE(Take<OpenConnection>());
  EXPECT_EQ(outcomes.at(0).result, Result::kNeverSent);
}

// An id is open until its last attempt has ended, also after its client has disconnected.
TEST_F(Core, AnIdIsOpenAsLongAsAnAttemptIsOut) {
  SendRequest(1);
  uint64_t c = CompleteSend();
  core->OnClientDisconnected(now, 1, &effects);
  EXPECT_TRUE(core->IsOpen("r1"));
  core->OnConnectionLost(now, c, &effects);
  EXPECT_FALSE(core->IsOpen("r1"));
  EXPECT_EQ(outcomes.at(0).result, Result::kReset);
}

// Counter calls: in time, late, and lost before and after they may have been added.
TEST_F(Core, ACounterCallEndsOnce) {
  std::vector<micadock::CountAnswer> results;
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeCount(r.id, 2));
  };
  hooks.on_count = [&](const micadock::CountAnswer& a, Actions*) { results.push_back(a); };
  SendRequest(1);
  auto count = Take<CallCounter>();
  ASSERT_TRUE(count);
  core->OnCounterCallWritten(count->call);
  core->OnCounterResponse(now, count->call, Result::kOk, 7, &effects);
  core->OnCounterResponse(now, count->call, Result::kOk, 9, &effects);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].total, 7);
  SendRequest(2);
  uint64_t unwritten = Take<CallCounter>()->call;
  SendRequest(3);
  uint64_t written = Take<CallCounter>()->call;
  core->OnCounterCallWritten(written);
  AdvanceTo(kCounterTimeoutFactor * 0.02 + 1e-9);
  ASSERT_EQ(results.size(), 3u);
  EXPECT_EQ(results[1].result, Result::kConnectFailed);
  EXPECT_EQ(Take<CancelCounterCall>()->call, unwritten) << "reported as not added, so it must not be sent";
  EXPECT_EQ(results[2].result, Result::kTimeout);
  EXPECT_FALSE(Take<CancelCounterCall>());
  core->OnCounterResponse(now, written, Result::kOk, 11, &effects);
  core->OnCounterCallLost(now, unwritten, &effects);
  EXPECT_EQ(results.size(), 3u);
  EXPECT_EQ(core->counter_calls().in_flight(), 0u);
}

// Shutdown with an open request and a counter call in flight: new requests are served for a while, then idle
// client connections are closed, and the exit waits for the last response but not for the counter.
TEST_F(Core, ShutdownFinishesWhatIsHeld) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeCount(r.id, 2));
    out->push_back(micadock::MakeSend(r.id, 1));
  };
  EXPECT_TRUE(core->ready());
  SendRequest(1);
  uint64_t c = CompleteSend();
  core->BeginShutdown(now, &effects);
  core->BeginShutdown(now, &effects);
  EXPECT_FALSE(core->ready());
  EXPECT_TRUE(Take<DisableClientKeepAlive>());
  EXPECT_FALSE(Take<DisableClientKeepAlive>()) << "once";
  EXPECT_FALSE(Take<CloseIdleClientConnections>());
  EXPECT_EQ(core->NextDue(now) <= now + kShutdownIdleCloseDelayS, true);
  AdvanceTo(kShutdownIdleCloseDelayS);
  EXPECT_TRUE(Take<CloseIdleClientConnections>());
  EXPECT_FALSE(Take<StopIfIdle>()) << "a request is open";
  core->OnResponse(now, c, Result::kOk, 0, true, &effects);
  EXPECT_TRUE(Take<StopIfIdle>());
  EXPECT_FALSE(Take<Stop>());
  AdvanceTo(1.5 + kShutdownMarginS);  // 1.5 s is the longest deadline in the settings
  EXPECT_TRUE(Take<Stop>());
}

// Shutdown, and a client that goes on using its connection: a request that can't be finished in time is
// refused before anything is sent, another one is served.
TEST_F(Core, ShutdownTakesNothingThatItsEndMayCutOff) {
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeSend(r.id, 1));
  };
  core->BeginShutdown(now, &effects);
  AdvanceTo(kShutdownIdleCloseDelayS);
  SendRequest(1);
  EXPECT_TRUE(Take<SendResponse>() == std::nullopt) << "it can be finished";
  uint64_t connection = CompleteSend();
  core->OnResponse(now, connection, Result::kOk, 0, true, &effects);
  EXPECT_EQ(Take<SendResponse>()->status, 200);
  AdvanceTo(2 * kShutdownMarginS);
  effects.clear();
  SendRequest(2);
  std::optional<SendResponse> refused = Take<SendResponse>();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_FALSE(Take<OpenConnection>()) << "nothing is sent to a backend";
  EXPECT_FALSE(Take<WriteRequest>()) << "nor on an idle connection";
  AdvanceTo(1.5 + kShutdownMarginS);
  EXPECT_TRUE(Take<Stop>());
}

TEST_F(Core, AClockThatGoesBackLosesNothing) {
  SendRequest(1);
  CompleteSend();
  double original_now = now;
  now -= 100;
  core->OnTimerExpired(now, &effects);
  EXPECT_FALSE(Take<SendResponse>());
  now = original_now + 1;
  core->OnTimerExpired(now, &effects);
  EXPECT_TRUE(Take<SendResponse>());
}

TEST_F(Core, WithoutACounterACallIsNotAdded) {
  settings.has_counter = false;
  core.emplace(settings, now, &effects);
  std::vector<micadock::CountAnswer> results;
  hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeCount(r.id, 2));
  };
  hooks.on_count = [&](const micadock::CountAnswer& a, Actions*) { results.push_back(a); };
  SendRequest(1);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].result, Result::kConnectFailed);
}

// A balancer with random actions, and events in any order: the core by itself keeps to one response per
// request, to the limits on attempts and to the grace period, and leaves nothing open.
TEST(AnyOrder, WithABalancerOfRandomActions) {
  uint64_t responses = 0, writes = 0, successes = 0;
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<uint32_t> requests;
    auto random_actions = [&](Actions* out) {
      for (int n = static_cast<int>(random() % 3); n > 0 && !requests.empty(); --n) {
        uint32_t id = requests[requests.size() - 1 - random() % std::min<size_t>(requests.size(), 4)];
        uint32_t backend = 1 + static_cast<uint32_t>(random() % 4);  // backend 4 is unknown
        int attempt = static_cast<int>(random() % 4);
        switch (random() % 9) {
          case 0:
          case 1:
          case 2:
            out->push_back(micadock::MakeSend(
                id, backend, random() % 3 == 0 ? 0 : 0.001 * static_cast<double>(random() % 500)));
            break;
          case 3:
          case 4: out->push_back(micadock::MakeAction(ActionKind::kCancel, id, attempt)); break;
          case 5:
            out->push_back(
                micadock::MakeAction(ActionKind::kRefuse, id, 0, 0.1 * static_cast<double>(random() % 3)));
            break;
          case 6: out->push_back(micadock::MakeAction(ActionKind::kFail, id)); break;
          case 7:
            out->push_back(
                micadock::MakeAction(ActionKind::kTimer, 0, 0, 0.001 * static_cast<double>(random() % 300)));
            break;
          default: out->push_back(micadock::MakeCount(random(), 1));
        }
      }
    };
    hooks = {};
    hooks.on_request = [&](const micadock::Request& r, Actions* out) {
      requests.push_back(r.id);
      if (random() % 8 != 0)
        out->push_back(micadock::MakeSend(r.id, 1 + static_cast<uint32_t>(random() % 3)));
      random_actions(out);
    };
    hooks.on_outcome = [&](const Outcome&, Actions* out) { random_actions(out); };
    hooks.on_abandoned = [&](uint32_t, Actions* out) { random_actions(out); };
    hooks.on_timer = [&](uint64_t, Actions* out) { random_actions(out); };
    hooks.on_count = [&](const micadock::CountAnswer&, Actions* out) { random_actions(out); };
    std::vector<uint8_t> bytes(600);
    for (uint8_t& b : bytes) b = static_cast<uint8_t>(random());
    CoreSettings settings = HarnessSettings();
    settings.policy.hedging = seed % 4 == 0;
    CoreHarness harness(settings, false);
    harness.Run(bytes.data(), bytes.size());
    ASSERT_EQ(harness.violation(), "") << "seed " << seed;
    responses += harness.responses();
    writes += harness.writes();
    successes += harness.successes();
  }
  hooks = {};
  EXPECT_GT(responses, 20000u);
  EXPECT_GT(writes, 10000u);
  EXPECT_GT(successes, 200u);
}

}  // namespace
}  // namespace ivygw::core
