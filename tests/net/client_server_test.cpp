// A server of clients that holds as many connections as it may: whom it takes then, and who makes room. Over
// loopback, and by a search of all orders of events over a few connections.
#include "net/client_server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/connection_slots.h"
#include "rig/run_until.h"

namespace ivygw {
namespace {

constexpr size_t kMostConnections = 3;
constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// A server whose requests are answered when the test says so.
struct FullServer {
  FullServer()
      : server(io, kMostConnections, &memory,
               {[this](uint64_t connection, const ClientMessage&) { held.push_back(connection); },
                [](uint64_t, bool) {}}) {
    server.Listen({asio::ip::address_v4::loopback(), 0});
  }
  bool RunUntil(const std::function<bool()>& condition, double bound_s = 5) {
    return ivygw::RunUntil(io, condition, bound_s);
  }
  void AddClient(const std::string& sent) {
    clients.push_back(std::make_unique<tcp::socket>(io));
    clients.back()->connect(server.local());
    asio::write(*clients.back(), asio::buffer(sent));
  }
  void AnswerFirst() {
    Answer answer;
    answer.status = 200;
    server.Reply(held.front(), answer);
    held.pop_front();
  }
  asio::io_context io{1};
  bodies::BodyMemory memory{size_t{1} << 20};
  std::deque<uint64_t> held;  // connections with a request that isn't answered
  ClientServer server;
  std::vector<std::unique_ptr<tcp::socket>> clients;
};

using State = ConnectionSlots::State;

// A listener, its clients and the connections that it holds, as the server sees them. `resume_on_close_only`:
// the rule of the fault that review/1 showed.
struct ListenerModel {
  struct Connection {
    uint64_t id = 0;
    State state = State::kIdle;
    bool bytes = false, answered = false;  // bytes: have come, and are not read yet
  };
  explicit ListenerModel(bool on_close_only) : resume_on_close_only(on_close_only) {}

  void Set(Connection* connection, State state) {
    connection->answered = connection->answered || connection->state == State::kBusy;
    connection->state = state;
    slots.Set(connection->id, state);
    Changed(false);
  }
  void Close(size_t i) {
    slots.Remove(connections[i].id);
    connections.erase(connections.begin() + static_cast<ptrdiff_t>(i));
    Changed(true);
  }
  void Changed(bool closed) {
    if ((closed || !resume_on_close_only) && slots.ShouldResume()) listening = true;
  }
  size_t IndexOf(uint64_t id) const {
    size_t i = 0;
    while (connections[i].id != id) ++i;
    return i;
  }
  void TakeOne() {
    bool room = slots.MakeRoom(
        [this](uint64_t id) {
          if (connections[IndexOf(id)].bytes) return false;
          Close(IndexOf(id));
          return true;
        },
        [this](uint64_t id) { Close(IndexOf(id)); });
    listening = room;
    if (!room) return;
    --waiting;
    connections.push_back({++last, State::kIdle, false, false});
    slots.Set(last, State::kIdle);
  }
  bool MayMakeRoom(const Connection& connection) const {
    if (connection.id == last && !connection.answered) return false;
    return connection.state == State::kUnfinished || (connection.state == State::kIdle && !connection.bytes);
  }
  // What must hold after each event; empty: it does.
  std::string Fault() const {
    if (connections.size() > kMostConnections) return "more connections than slots";
    if (listening) return "";
    if (connections.size() < kMostConnections) return "paused with a free slot";
    for (const Connection& connection : connections) {
      if (MayMakeRoom(connection)) return "paused beside a connection that may make room";
    }
    return "";
  }
  // The same for states that differ by the numbers of connections only.
  std::string Key() const {
    std::string key = std::to_string(waiting) + (listening ? "l" : "p");
    for (const Connection& connection : connections) {
      key += ' ' + std::to_string(static_cast<int>(connection.state));
      key += connection.bytes ? 'b' : '-';
      key += connection.answered ? 'a' : '-';
      key += connection.id == last ? 'n' : '-';
    }
    for (uint64_t id : slots.Idle()) key += " i" + std::to_string(IndexOf(id));
    if (auto oldest = slots.OldestUnfinished()) key += " u" + std::to_string(IndexOf(*oldest));
    return key;
  }

  const bool resume_on_close_only;
  ConnectionSlots slots{kMostConnections};
  std::vector<Connection> connections;
  size_t waiting = 0;
  uint64_t last = 0;
  bool listening = true;
};

// All states that one event leads to.
std::vector<ListenerModel> Successors(const ListenerModel& model) {
  std::vector<ListenerModel> next;
  auto add = [&](const std::function<void(ListenerModel&)>& event) {
    next.push_back(model);
    event(next.back());
  };
  if (model.waiting < 2) add([](ListenerModel& m) { ++m.waiting; });
  if (model.listening && model.waiting > 0) add([](ListenerModel& m) { m.TakeOne(); });
  for (size_t i = 0; i < model.connections.size(); ++i) {
    const ListenerModel::Connection& connection = model.connections[i];
    add([i](ListenerModel& m) { m.Close(i); });
    if (connection.state == State::kIdle && !connection.bytes)
      add([i](ListenerModel& m) { m.connections[i].bytes = true; });
    if (connection.state == State::kIdle && connection.bytes) {
      for (State state : {State::kIdle, State::kUnfinished, State::kBusy}) {  // idle: empty lines
        add([i, state](ListenerModel& m) {
          m.connections[i].bytes = false;
          state == State::kIdle ? m.Changed(false) : m.Set(&m.connections[i], state);
        });
      }
    }
    if (connection.state == State::kUnfinished)
      add([i](ListenerModel& m) { m.Set(&m.connections[i], State::kBusy); });
    if (connection.state == State::kBusy) {  // answered, and kept or read out
      add([i](ListenerModel& m) { m.Set(&m.connections[i], State::kIdle); });
      add([i](ListenerModel& m) { m.Set(&m.connections[i], State::kUnfinished); });
    }
  }
  return next;
}

struct SearchResult {
  size_t states = 0;
  std::string fault;
};

// All states of the listener, in the order of how many events they take.
SearchResult SearchAll(bool resume_on_close_only) {
  SearchResult result;
  std::set<std::string> seen;
  std::deque<ListenerModel> left;
  left.emplace_back(resume_on_close_only);
  while (!left.empty()) {
    ListenerModel model = left.front();
    left.pop_front();
    if (!seen.insert(model.Key()).second) continue;
    ++result.states;
    result.fault = model.Fault();
    if (!result.fault.empty()) return result;
    for (ListenerModel& next : Successors(model)) left.push_back(std::move(next));
  }
  return result;
}

}  // namespace

// Guards against a server that stays shut after its connections were all busy at one moment, though they are
// idle later (review/1).
TEST(ClientServer, AServerThatWasFullTakesClientsAgainOnceAConnectionIsIdle) {
  FullServer server;
  for (size_t i = 0; i < kMostConnections; ++i) server.AddClient(kRequest);
  EXPECT_TRUE(server.RunUntil([&] { return server.held.size() == kMostConnections; }));
  server.AddClient(kRequest);
  EXPECT_TRUE(
      !server.RunUntil([&] { return server.held.size() > kMostConnections; }, 0.1));  // busy ones stay
  server.AnswerFirst();
  EXPECT_TRUE(server.RunUntil([&] { return server.held.size() == kMostConnections; }));
}

// Guards against idle connections that are closed ahead of a client that needs their slots.
TEST(ClientServer, AFullServerKeepsIdleConnectionsWhileNobodyWaits) {
  FullServer server;
  for (size_t i = 0; i < kMostConnections; ++i) {
    server.AddClient(kRequest);
    ASSERT_TRUE(server.RunUntil([&] { return server.held.size() == 1; }));
    server.AnswerFirst();
  }
  for (const auto& client : server.clients) asio::write(*client, asio::buffer(std::string(kRequest)));
  EXPECT_TRUE(server.RunUntil([&] { return server.held.size() == kMostConnections; }));
}

// Guards against a listener that is paused while a connection may make room, in any order of events.
TEST(ClientServer, AListenerIsPausedOnlyWhileNoConnectionMayMakeRoom) {
  SearchResult found = SearchAll(false);
  EXPECT_EQ("", found.fault);
  EXPECT_TRUE(found.states > 1000);
  SearchResult planted = SearchAll(true);
  EXPECT_EQ("paused beside a connection that may make room", planted.fault);
}

}  // namespace ivygw
