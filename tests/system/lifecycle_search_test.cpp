// Exhaustive search over the state machine of requests: two clients, two backends, a kept connection to each,
// and every event at every moment at which sockets, peers and timers could bring it. States are compared by
// their whole content, with identities numbered anew, so that each is looked at once. What must hold is
// checked after every effect.

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "request_lifecycle/lifecycle.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // after all others: it names new anew
// clang-format on

using namespace ivygw;
using namespace ivygw::request_lifecycle;
using load_balancing::AttemptResult;

namespace {

constexpr int kMaxAttempts = 2;
constexpr int kMostNotSent = 1;
constexpr size_t kMostStates = 3'000'000;
const std::string kStranger = "stranger";

std::string IdOf(RequestId request) { return "id" + std::to_string(request.value); }

// Which of two backends is preferred, and whether there is a budget: both are tried wherever they are asked
// for.
class ChoicePolicy : public BackendPolicy {
 public:
  std::string Choose(double, const std::string&, const std::set<std::string>& tried) override {
    bool first = !tried.count("b1"), second = !tried.count("b2");
    if (!first && !second) return {};
    if (!first || !second) return first ? "b1" : "b2";
    asked_backend = true;
    return prefer_second ? "b2" : "b1";
  }
  void OnAttemptStarted(const std::string&) override { ++started; }
  void OnAttemptEnded(double, const std::string&, AttemptResult) override { ++ended; }
  bool MayRetry(double, const std::string&) override {
    asked_budget = true;
    return budget;
  }
  void OnRetry(double, const std::string& service) override { retried.push_back(std::stoull(service)); }
  bool IsDrained(const std::string&) override { return false; }

  bool prefer_second = false, budget = true;
  bool asked_backend = false, asked_budget = false;
  int started = 0, ended = 0;     // in this step
  std::vector<uint64_t> retried;  // in this step, the requests; each is its own service
};
ChoicePolicy policy;

enum class MoveKind : uint8_t {
  kClientAsks,
  kClientCloses,
  kClientDrains,
  kAdmit,
  kReject,
  kOpened,
  kRefused,
  kAccepted,
  kStale,
  kNothingTaken,
  kReset,
  kServed,
  kServedAndClosed,
  kFailed,
  kPromise,
  kNotExecuted,
  kMisdirected,
  kRefusedWithoutId,
  kStrangersRefusal,
  kStrangersAnswer,
  kAnswerWithoutId,
  kUnsealed,
  kStreams,
  kStrangersStream,
  kPart,
  kStreamEnds,
  kDeadline,
  kConnectTimer,
  kSweep,
};
const char* const kMoveNames[] = {
    "client asks",
    "client closes",
    "client drains",
    "admitted",
    "rejected",
    "opened",
    "refused",
    "write accepted",
    "stale",
    "nothing taken",
    "reset",
    "served",
    "served, closed",
    "own 500",
    "own 503 without proof",
    "own Not-Executed",
    "own 421",
    "turned away without id",
    "surplus refusal without id",
    "answer of another",
    "answer without id",
    "answer without seal",
    "streams",
    "stream of another",
    "part",
    "stream ends",
    "deadline",
    "connect timer",
    "sweep",
};
struct Move {
  MoveKind kind;
  uint64_t id = 0;       // of the client, the request or the connection
  uint64_t attempt = 0;  // of a connect timer
};

struct ClientModel {
  RequestId waiting;
  int asks_left = 0;
  bool closed = false;
};
struct RequestModel {
  ClientId client;
  bool idempotent = false, admitted = false, deadline_armed = false, streaming = false, answered = false;
  bool served = false;  // a backend has sent its own answer
  int may_run = 0;      // sends that a backend may run
  int arrivals = 0;     // sends that the system took
  int permitted = 0;    // further arrivals that the budget allowed
};
struct ConnectionModel {
  enum class State : uint8_t { kOpening, kIdle, kWriting, kBusy, kStreaming } state = State::kOpening;
  RequestId request;
  int written = 0;
  bool doubt = false, part_asked = false;
  uint64_t attempt = 0;  // for which it was opened, and its opening was timed
};

class World {
 public:
  World() : lifecycle(&policy, {kMostNotSent}) {}

  Lifecycle lifecycle;
  std::map<uint64_t, ClientModel> clients;
  std::map<uint64_t, RequestModel> requests;
  std::map<uint64_t, ConnectionModel> connections;
  std::array<bool, 3> idempotent{};  // of the requests of client 1 and 2
  uint64_t last_connection = 0;
  std::string broken;  // the first invariant that did not hold

  std::vector<Move> Moves() const;
  // Timers that fire late and callbacks of connections that have ended: none may do anything.
  void CheckLateEvents();
  void Apply(const Move& move);
  std::string Key() const;

 private:
  std::string KeyAs(bool swap_backends, bool swap_clients) const;
  template <typename Event>
  void Tell(Event event);
  void Check(bool holds, const char* invariant) {
    if (!holds && broken.empty()) broken = invariant;
  }
  BackendReply Reply(RequestId request, int status) const {
    BackendReply reply;
    reply.attempt_id = IdOf(request);
    reply.sealed = reply.reusable = true;
    reply.content.status = status;
    reply.content.body = IdOf(request);
    return reply;
  }
  void Ask(uint64_t client);
  void Answer(const Move& move);
  void Take(const OpenConnection& effect);
  void Take(const SendRequest& effect);
  void Take(const CloseConnection& effect) { connections.erase(effect.connection.value); }
  void Take(const ReadAnswerPart& effect);
  void Take(const ArmDeadline& effect) { requests.at(effect.request.value).deadline_armed = true; }
  void Take(const ReplyNotRun& effect);
  void Take(const ReplyUnknown& effect) { Answered(effect.client, effect.request); }
  void Take(const ForwardAnswer& effect);
  void Take(const ForwardStart& effect);
  void Take(const ForwardPart& effect);
  void Take(const ForwardEnd& effect);
  void Take(const AbortReply& effect);
  void Take(const ReleaseRequest& effect);
  RequestModel* Waiting(ClientId client, RequestId request);
  void Answered(ClientId client, RequestId request);
};

template <typename Event>
void World::Tell(Event event) {
  Effects effects;
  lifecycle.On(0, std::move(event), &effects);
  bool allowed = policy.asked_budget && policy.budget;
  Check(allowed || policy.retried.empty(), "budget: a retry without one");
  for (uint64_t id : policy.retried) {
    if (auto it = requests.find(id); it != requests.end()) ++it->second.permitted;
  }
  for (const Effect& effect : effects) std::visit([this](const auto& each) { Take(each); }, effect);
  int out = 0;
  for (const auto& [id, request] : lifecycle.requests()) out += request.connection.valid();
  size_t open = lifecycle.connections().size();
  Check(open == connections.size(), "connections: the machine's are not those that are open");
  Check(out >= 0 && policy.ended <= policy.started + 2, "attempts: ended more often than started");
  for (const auto& [id, client] : clients) {
    if (client.closed || !client.waiting.valid()) continue;
    Check(lifecycle.requests().count(client.waiting) == 1, "answered once: a request was forgotten");
  }
}

void World::Take(const OpenConnection& effect) {
  Check(connections.count(effect.connection.value) == 0, "identity: a connection's was used again");
  ConnectionModel& connection = connections[effect.connection.value];
  last_connection = effect.connection.value;
  connection.request = effect.request;
  connection.attempt = effect.attempt.value;
}

void World::Take(const SendRequest& effect) {
  auto it = connections.find(effect.connection.value);
  auto request = requests.find(effect.request.value);
  Check(it != connections.end(), "doubt: a request on a connection that has ended");
  Check(request != requests.end() && !request->second.answered, "answered once: sent after its answer");
  if (!broken.empty()) return;
  ConnectionModel& connection = it->second;
  Check(connection.state == ConnectionModel::State::kIdle,
        "doubt: a request on a connection that is not idle");
  Check(!connection.doubt, "doubt: a request on a connection in doubt");
  RequestModel& sent = request->second;
  Check(sent.idempotent || sent.may_run == 0, "twice: sent again although it may have run");
  Check(sent.arrivals <= sent.permitted, "budget: arrives again without permission");
  Check(sent.arrivals < kMaxAttempts, "budget: more arrivals than max_attempts");
  connection.state = ConnectionModel::State::kWriting;
  connection.request = effect.request;
  ++connection.written;
}

void World::Take(const ReadAnswerPart& effect) {
  auto it = connections.find(effect.connection.value);
  Check(it != connections.end() && it->second.state == ConnectionModel::State::kStreaming,
        "parts: none to read");
  if (broken.empty()) it->second.part_asked = true;
}

// The request, where its client waits for an answer to just that.
RequestModel* World::Waiting(ClientId client, RequestId request) {
  auto it = clients.find(client.value);
  bool waits = it != clients.end() && !it->second.closed && it->second.waiting == request;
  Check(waits, "answered once: an answer that nobody waits for");
  if (!waits) return nullptr;
  RequestModel& model = requests.at(request.value);
  Check(!model.answered, "answered once: a second answer");
  return &model;
}

void World::Answered(ClientId client, RequestId request) {
  RequestModel* model = Waiting(client, request);
  if (!model) return;
  Check(!model->streaming, "answered once: a whole answer after a begun one");
  model->answered = true;
  clients.at(client.value).waiting = {};
}

void World::Take(const ReplyNotRun& effect) {
  const RequestModel& model = requests.at(effect.request.value);
  Check(model.may_run == 0, "refused: a promise about a request that may have run");
  Answered(effect.client, effect.request);
}

void World::Take(const ForwardAnswer& effect) {
  Check(effect.content.body == IdOf(effect.request), "mixed: another request's answer");
  Check(requests.at(effect.request.value).served, "mixed: an answer that its backend did not give");
  Answered(effect.client, effect.request);
}

void World::Take(const ForwardStart& effect) {
  Check(effect.content.body == IdOf(effect.request), "mixed: another request's answer begun");
  if (RequestModel* model = Waiting(effect.client, effect.request)) model->streaming = true;
}

void World::Take(const ForwardPart& effect) {
  const ClientModel& client = clients.at(effect.client.value);
  Check(client.waiting.valid() && effect.bytes == IdOf(client.waiting),
        "mixed: a part of another request's answer");
}

void World::Take(const ForwardEnd& effect) {
  RequestModel* model = Waiting(effect.client, effect.request);
  if (!model) return;
  Check(model->streaming, "answered once: the end of an answer that had not begun");
  model->streaming = false;
  Answered(effect.client, effect.request);
}

void World::Take(const AbortReply& effect) {
  RequestModel* model = Waiting(effect.client, effect.request);
  if (!model) return;
  Check(model->streaming, "answered once: an abort of what had not begun");
  model->answered = true;
  clients.at(effect.client.value).closed = true;
  clients.at(effect.client.value).waiting = {};
}

void World::Take(const ReleaseRequest& effect) {
  auto it = requests.find(effect.request.value);
  Check(it != requests.end(), "identity: released twice");
  if (!broken.empty()) return;
  Check(it->second.answered || clients.at(it->second.client.value).closed,
        "answered once: released without an answer");
  requests.erase(it);
}

void World::Ask(uint64_t client) {
  RequestId id = lifecycle.StartRequest(ClientId{client});
  --clients.at(client).asks_left;
  clients.at(client).waiting = id;
  RequestModel model;
  model.client = ClientId{client};
  model.idempotent = client < idempotent.size() && idempotent[client];
  requests[id.value] = model;
}

std::vector<Move> World::Moves() const {
  using State = ConnectionModel::State;
  std::vector<Move> moves;
  auto add = [&moves](std::initializer_list<MoveKind> kinds, uint64_t id) {
    for (MoveKind kind : kinds) moves.push_back({kind, id});
  };
  // What a write comes to is known before anything else can happen.
  for (const auto& [id, connection] : connections) {
    if (connection.state != State::kWriting) continue;
    add({MoveKind::kAccepted, MoveKind::kStale, MoveKind::kNothingTaken}, id);
    return moves;
  }
  for (const auto& [id, client] : clients) {
    if (client.closed) continue;
    if (!client.waiting.valid() && client.asks_left > 0) add({MoveKind::kClientAsks}, id);
    if (!client.waiting.valid()) continue;
    add({MoveKind::kClientCloses}, id);
    const RequestModel& request = requests.at(client.waiting.value);
    if (request.streaming) add({MoveKind::kClientDrains}, id);
    if (!request.admitted) add({MoveKind::kAdmit, MoveKind::kReject}, client.waiting.value);
  }
  for (const auto& [id, request] : requests) {
    if (request.deadline_armed) add({MoveKind::kDeadline}, id);
  }
  for (const auto& [id, connection] : connections) {
    if (connection.state == State::kOpening) {
      add({MoveKind::kOpened, MoveKind::kRefused}, id);
      moves.push_back({MoveKind::kConnectTimer, id, connection.attempt});
    }
    if (connection.state == State::kIdle) add({MoveKind::kReset}, id);
    if (connection.state == State::kStreaming) {
      add({MoveKind::kReset}, id);
      if (connection.part_asked) add({MoveKind::kPart, MoveKind::kStreamEnds}, id);
    }
    if (connection.state != State::kBusy) continue;
    add({MoveKind::kReset, MoveKind::kServed, MoveKind::kServedAndClosed, MoveKind::kFailed,
         MoveKind::kPromise, MoveKind::kNotExecuted, MoveKind::kMisdirected, MoveKind::kRefusedWithoutId,
         MoveKind::kStrangersAnswer, MoveKind::kAnswerWithoutId, MoveKind::kUnsealed, MoveKind::kStreams,
         MoveKind::kStrangersStream},
        id);
    // A surplus answer needs an earlier request on the connection.
    if (connection.written > 1) add({MoveKind::kStrangersRefusal}, id);
  }
  if (!lifecycle.idle().empty()) add({MoveKind::kSweep}, 0);
  return moves;
}

void World::CheckLateEvents() {
  Effects effects;
  for (const auto& [id, connection] : connections) {
    if (connection.state == ConnectionModel::State::kOpening) continue;
    lifecycle.On(0, ConnectTimedOut{ConnectionId{id}, AttemptId{connection.attempt}}, &effects);
    Check(effects.empty(), "late: the timer of an attempt that has ended");
    if (!broken.empty()) return;
  }
  for (uint64_t id = 1; id <= last_connection; ++id) {
    if (connections.count(id)) continue;
    lifecycle.On(0, ConnectTimedOut{ConnectionId{id}, AttemptId{id}}, &effects);
    lifecycle.On(0, AnswerReceived{ConnectionId{id}, Reply(RequestId{1}, 200)}, &effects);
    lifecycle.On(0, ConnectionLost{ConnectionId{id}, true}, &effects);
    lifecycle.On(0, ConnectionStale{ConnectionId{id}}, &effects);
  }
  for (const auto& [id, request] : requests) {
    if (request.streaming) lifecycle.On(0, DeadlineReached{RequestId{id}}, &effects);
  }
  Check(effects.empty(), "late: an event of what has ended");
}

// What a backend sends on a connection on which a request waits.
void World::Answer(const Move& move) {
  ConnectionModel& connection = connections.at(move.id);
  ConnectionId id{move.id};
  RequestModel& request = requests.at(connection.request.value);
  BackendReply reply = Reply(connection.request, 200);
  connection.state = ConnectionModel::State::kIdle;
  bool not_run = false;
  switch (move.kind) {
    case MoveKind::kServedAndClosed: reply.reusable = false; [[fallthrough]];
    case MoveKind::kServed: request.served = true; break;
    case MoveKind::kFailed:
      reply.content.status = 500;
      request.served = true;
      break;
    case MoveKind::kPromise: reply.content.status = 503; break;
    case MoveKind::kNotExecuted:
      reply.content.status = 503;
      reply.not_executed = not_run = true;
      break;
    case MoveKind::kMisdirected:
      reply.content.status = 421;
      not_run = true;
      break;
    case MoveKind::kRefusedWithoutId:
      reply.content.status = 503;
      reply.attempt_id.clear();
      reply.not_executed = not_run = true;
      break;
    case MoveKind::kStrangersRefusal:
      reply.content.status = 421;
      reply.attempt_id.clear();
      connection.doubt = true;
      break;
    case MoveKind::kStrangersAnswer:
      reply.attempt_id = reply.content.body = kStranger;
      connection.doubt = true;
      break;
    case MoveKind::kAnswerWithoutId:
      reply.attempt_id.clear();
      reply.content.body = kStranger;
      connection.doubt = true;
      break;
    default:  // kUnsealed
      reply.sealed = false;
      reply.content.body = kStranger;
      connection.doubt = true;
      break;
  }
  if (!reply.reusable) connection.doubt = true;
  if (not_run) --request.may_run;
  Tell(AnswerReceived{id, std::move(reply)});
}

void World::Apply(const Move& move) {
  using State = ConnectionModel::State;
  ConnectionId connection{move.id};
  switch (move.kind) {
    case MoveKind::kClientAsks: return Ask(move.id);
    case MoveKind::kClientCloses:
      clients.at(move.id).closed = true;
      clients.at(move.id).waiting = {};
      return Tell(ClientClosed{ClientId{move.id}});
    case MoveKind::kClientDrains: return Tell(ClientDrained{ClientId{move.id}});
    case MoveKind::kAdmit: {
      RequestModel& request = requests.at(move.id);
      request.admitted = true;
      return Tell(RequestAdmitted{RequestId{move.id}, IdOf(RequestId{move.id}), std::to_string(move.id),
                                  request.idempotent, kMaxAttempts, 1});
    }
    case MoveKind::kReject: return Tell(RequestRejected{RequestId{move.id}, 429, 1, "limit"});
    case MoveKind::kOpened:
      connections.at(move.id).state = State::kIdle;
      return Tell(ConnectionOpened{connection});
    case MoveKind::kRefused: return Tell(ConnectionLost{connection, false});
    case MoveKind::kAccepted: {
      ConnectionModel& model = connections.at(move.id);
      model.state = State::kBusy;
      RequestModel& request = requests.at(model.request.value);
      ++request.may_run;
      ++request.arrivals;
      return;
    }
    case MoveKind::kStale: return Tell(ConnectionStale{connection});
    case MoveKind::kNothingTaken: return Tell(ConnectionLost{connection, false});
    case MoveKind::kReset: return Tell(ConnectionLost{connection, true});
    case MoveKind::kStreams: {
      ConnectionModel& model = connections.at(move.id);
      model.state = State::kStreaming;
      RequestId request = model.request;
      requests.at(request.value).served = true;
      return Tell(AnswerStarted{connection, Reply(request, 200)});
    }
    case MoveKind::kStrangersStream: {
      BackendReply reply = Reply(connections.at(move.id).request, 200);
      reply.attempt_id = reply.content.body = kStranger;
      connections.at(move.id).state = State::kStreaming;
      connections.at(move.id).doubt = true;
      return Tell(AnswerStarted{connection, std::move(reply)});
    }
    case MoveKind::kPart: {
      ConnectionModel& model = connections.at(move.id);
      model.part_asked = false;
      return Tell(AnswerPart{connection, IdOf(model.request)});
    }
    case MoveKind::kStreamEnds: {
      connections.at(move.id).state = State::kIdle;
      return Tell(AnswerEnded{connection, true});
    }
    case MoveKind::kDeadline: {
      RequestModel& request = requests.at(move.id);
      request.deadline_armed = false;
      bool due = !request.streaming && !clients.at(request.client.value).closed;
      Tell(DeadlineReached{RequestId{move.id}});
      bool answered = requests.count(move.id) == 0;
      return Check(!due || answered, "answered once: not answered at its deadline");
    }
    case MoveKind::kConnectTimer: return Tell(ConnectTimedOut{connection, AttemptId{move.attempt}});
    case MoveKind::kSweep: {
      Effects effects;
      lifecycle.On(1000, IdleSweep{}, &effects);
      for (const Effect& effect : effects) std::visit([this](const auto& each) { Take(each); }, effect);
      return;
    }
    default: return Answer(move);
  }
}

// The whole state without its identities: a live request is named by its client, of which each has one at
// most, and connections are told apart by what they are. States that differ by which backend, or which of two
// like clients, is which count as one.
std::string World::Key() const {
  bool like_clients = idempotent[1] == idempotent[2];
  std::string least;
  for (int mirror = 0; mirror < (like_clients ? 4 : 2); ++mirror) {
    std::string key = KeyAs(mirror & 1, mirror & 2);
    if (mirror == 0 || key < least) least = std::move(key);
  }
  return least;
}

std::string World::KeyAs(bool swap_backends, bool swap_clients) const {
  auto client_name = [&](uint64_t client) { return static_cast<int>(swap_clients ? 3 - client : client); };
  auto request_name = [&](RequestId id) {
    auto it = requests.find(id.value);
    return it == requests.end() ? 0 : client_name(it->second.client.value);
  };
  auto backend_name = [&](const std::string& backend) { return (backend == "b1") != swap_backends ? 1 : 2; };
  auto put = [](std::string* text, int value) { text->push_back(static_cast<char>(value + 1)); };
  std::array<std::string, 3> parts;
  for (const auto& [id, client] : clients) {
    put(&parts[static_cast<size_t>(client_name(id))], request_name(client.waiting) != 0);
    put(&parts[static_cast<size_t>(client_name(id))], client.asks_left * 2 + client.closed);
  }
  for (const auto& [id, request] : requests) {
    std::string* part = &parts[static_cast<size_t>(client_name(request.client.value))];
    put(part, request.admitted + 2 * request.deadline_armed + 4 * request.streaming + 8 * request.answered +
                  16 * request.served);
    put(part, request.may_run * 16 + request.arrivals * 4 + request.permitted);
    const Lifecycle::Request& own = lifecycle.requests().at(RequestId{id});
    put(part, static_cast<int>(own.phase) * 4 + own.client_gone * 2 + own.record.NothingDone().has_value());
    put(part, own.arrived * 8 + own.not_sent);
    int tried = 0;
    for (const std::string& backend : own.tried) tried += backend_name(backend);
    put(part, tried);
  }
  std::vector<std::string> links;
  for (const auto& [id, connection] : connections) {
    const Lifecycle::Connection& own = lifecycle.connections().at(ConnectionId{id});
    std::string text;
    put(&text, backend_name(own.backend));
    auto idle = lifecycle.idle().find(own.backend);
    if (idle != lifecycle.idle().end()) {
      auto place = std::find(idle->second.begin(), idle->second.end(), ConnectionId{id});
      if (place != idle->second.end()) put(&text, 10 + static_cast<int>(place - idle->second.begin()));
    }
    put(&text, static_cast<int>(connection.state));
    put(&text, request_name(connection.request));
    put(&text, request_name(own.request) + 4 * own.open + 8 * (own.attempt.value == connection.attempt));
    put(&text, std::min(connection.written, 2) + 4 * connection.doubt + 8 * connection.part_asked +
                   16 * static_cast<int>(std::min(own.written, 2u)));
    links.push_back(std::move(text));
  }
  std::sort(links.begin(), links.end());
  std::string key = parts[1] + '|' + parts[2];
  for (const std::string& link : links) key += '|' + link;
  return key;
}

// Two kept connections, one to each backend, on which a request was served.
World Start(bool first_idempotent, bool second_idempotent, int first_asks, int second_asks) {
  World world;
  for (uint64_t client : {3u, 4u}) {
    policy = ChoicePolicy();
    policy.prefer_second = client == 4;
    world.clients[client].asks_left = 1;
    world.Apply({MoveKind::kClientAsks, client});
    world.Apply({MoveKind::kAdmit, world.clients[client].waiting.value});
    uint64_t connection = world.connections.rbegin()->first;
    for (MoveKind kind : {MoveKind::kOpened, MoveKind::kAccepted, MoveKind::kServed})
      world.Apply({kind, connection});
    world.clients.erase(client);
  }
  world.idempotent = {false, first_idempotent, second_idempotent};
  world.clients[1].asks_left = first_asks;
  world.clients[2].asks_left = second_asks;
  return world;
}

struct Step {
  size_t before;
  Move move;
};

std::string StepsUpTo(const std::vector<Step>& steps, size_t at) {
  std::string text;
  for (; at != 0; at = steps[at].before) {
    const Move& move = steps[at].move;
    text =
        std::string("\n  ") + kMoveNames[static_cast<int>(move.kind)] + " " + std::to_string(move.id) + text;
  }
  return text;
}

size_t Search(const World& start, const char* name) {
  std::vector<Step> steps{{0, {}}};
  std::unordered_set<std::string> seen{start.Key()};
  std::vector<std::pair<World, size_t>> stack{{start, 0}};
  size_t transitions = 0;
  while (!stack.empty()) {
    auto [world, at] = std::move(stack.back());
    stack.pop_back();
    world.CheckLateEvents();
    if (!world.broken.empty()) FAIL(("broken: " + world.broken + StepsUpTo(steps, at)).c_str());
    for (const Move& move : world.Moves()) {
      bool asked_backend = false, asked_budget = false;
      for (int choice = 0; choice < 4; ++choice) {
        if ((choice & 1) && !asked_backend) continue;
        if ((choice & 2) && !asked_budget) continue;
        policy = ChoicePolicy();
        policy.prefer_second = choice & 1;
        policy.budget = !(choice & 2);
        World next = world;
        next.Apply(move);
        asked_backend = asked_backend || policy.asked_backend;
        asked_budget = asked_budget || policy.asked_budget;
        ++transitions;
        if (!next.broken.empty()) {
          steps.push_back({at, move});
          std::string told = "broken: " + next.broken + StepsUpTo(steps, steps.size() - 1);
          FAIL(told.c_str());
        }
        if (!seen.insert(next.Key()).second) continue;
        if (seen.size() > kMostStates) FAIL("more states than the search has room for");
        steps.push_back({at, move});
        stack.emplace_back(std::move(next), steps.size() - 1);
      }
    }
  }
  std::printf("%s: %zu states, %zu transitions\n", name, seen.size(), transitions);
  return seen.size();
}

}  // namespace

TEST_GROUP(LifecycleSearch){};

TEST(LifecycleSearch, TwoRequestsThatMayRunOnce) { Search(Start(false, false, 1, 1), "once, once"); }
TEST(LifecycleSearch, OneThatMayBeRepeatedBesideOneThatMayNot) {
  Search(Start(true, false, 1, 1), "repeatable, once");
}
TEST(LifecycleSearch, TwoThatMayBeRepeated) { Search(Start(true, true, 1, 1), "repeatable, repeatable"); }
TEST(LifecycleSearch, AClientThatAsksTwiceBesideAnother) {
  Search(Start(false, true, 2, 1), "once and once more, repeatable");
}
