// Exhaustive search over the request state machine: two clients, two backends, an idle connection to each,
// and every event at every moment at which sockets, peers and timers could produce it. States are compared by
// their whole content with normalized identifiers, so that each is visited once. The invariants are checked
// after every effect.

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
#include <CppUTest/TestHarness.h>  // last, because it redefines operator new
// clang-format on

using namespace ivygw;
using namespace ivygw::request_lifecycle;
using load_balancing::AttemptResult;

namespace {

constexpr int kMaxAttempts = 2;
constexpr int kMaxUnsentAttempts = 1;
constexpr size_t kMaxStates = 3'000'000;
const std::string kForeignId = "foreign";

std::string IdOf(RequestId request) { return "id" + std::to_string(request.value); }

// Fixes which of two backends is preferred and whether there is a budget. The search tries both values of
// each where a step requests them.
class ChoicePolicy : public BackendPolicy {
 public:
  std::string Choose(double, const std::string&, const std::set<std::string>& tried) override {
    bool first = !tried.count("b1"), second = !tried.count("b2");
    if (!first && !second) return {};
    if (!first || !second) return first ? "b1" : "b2";
    backend_requested = true;
    return prefer_second ? "b2" : "b1";
  }
  void OnAttemptStarted(const std::string&) override { ++started; }
  void OnAttemptEnded(double, const std::string&, AttemptResult) override { ++ended; }
  bool MayRetry(double, const std::string&) override {
    budget_requested = true;
    return budget;
  }
  void OnRetry(double, const std::string& service) override { retried.push_back(std::stoull(service)); }
  bool IsDrained(const std::string&) override { return false; }

  bool prefer_second = false, budget = true;
  bool backend_requested = false, budget_requested = false;
  int started = 0, ended = 0;     // in this step
  std::vector<uint64_t> retried;  // requests retried in this step; each is its own service
};
ChoicePolicy policy;

enum class MoveKind : uint8_t {
  kClientRequests,
  kClientCloses,
  kClientDrains,
  kAdmit,
  kReject,
  kOpened,
  kRefused,
  kAccepted,
  kStale,
  kNothingWritten,
  kReset,
  kServed,
  kServedAndClosed,
  kServerError,
  kServiceUnavailable,
  kNotExecuted,
  kMisdirected,
  kRejectedWithoutId,
  kForeignRejection,
  kForeignAnswer,
  kAnswerWithoutId,
  kUnsealed,
  kStreamStarts,
  kForeignStream,
  kStreamPart,
  kStreamEnds,
  kDeadline,
  kConnectTimer,
  kSweep,
};
const char* const kMoveNames[] = {
    "client requests",
    "client closes",
    "client drains",
    "admitted",
    "rejected",
    "opened",
    "refused",
    "write accepted",
    "stale",
    "nothing written",
    "reset",
    "served",
    "served, connection closed",
    "own 500",
    "own 503 without proof",
    "own Not-Executed",
    "own 421",
    "rejected without id",
    "extra rejection without id",
    "answer to another request",
    "answer without id",
    "answer without seal",
    "stream starts",
    "stream for another request",
    "stream part",
    "stream ends",
    "deadline",
    "connect timer",
    "sweep",
};
struct Move {
  MoveKind kind;
  uint64_t id = 0;       // of the client, request or connection
  uint64_t attempt = 0;  // for a connect timer
};

struct ClientModel {
  RequestId waiting;
  int requests_left = 0;
  bool closed = false;
};
struct RequestModel {
  ClientId client;
  bool idempotent = false, admitted = false, deadline_armed = false, streaming = false, answered = false;
  bool served = false;  // a backend has sent its answer
  int may_run = 0;      // attempts that a backend may run
  int arrivals = 0;     // attempts that the system accepted
  int permitted = 0;    // retries that the budget allowed
};
struct ConnectionModel {
  enum class State : uint8_t { kOpening, kIdle, kWriting, kBusy, kStreaming } state = State::kOpening;
  RequestId request;
  int written = 0;
  bool untrusted = false, part_requested = false;
  uint64_t attempt = 0;  // for which it was opened and its connect timer started
};

class Model {
 public:
  Model() : lifecycle(&policy, {kMaxUnsentAttempts}) {}

  Lifecycle lifecycle;
  std::map<uint64_t, ClientModel> clients;
  std::map<uint64_t, RequestModel> requests;
  std::map<uint64_t, ConnectionModel> connections;
  std::array<bool, 3> idempotent{};  // by client, 1 or 2
  uint64_t last_connection = 0;
  std::string broken;  // the first invariant that did not hold

  std::vector<Move> PossibleMoves() const;
  // Delivers late timers and callbacks of closed connections, which must have no effect.
  void CheckLateEvents();
  void Apply(const Move& move);
  std::string StateKey() const;

 private:
  std::string StateKeyWith(bool swap_backends, bool swap_clients) const;
  template <typename Event>
  void Handle(Event event);
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
  void StartRequest(uint64_t client);
  void Answer(const Move& move);
  void ApplyEffect(const OpenConnection& effect);
  void ApplyEffect(const SendRequest& effect);
  void ApplyEffect(const CloseConnection& effect) { connections.erase(effect.connection.value); }
  void ApplyEffect(const ReadAnswerPart& effect);
  void ApplyEffect(const ArmDeadline& effect) { requests.at(effect.request.value).deadline_armed = true; }
  void ApplyEffect(const ReplyNotRun& effect);
  void ApplyEffect(const ReplyUnknown& effect) { OnAnswered(effect.client, effect.request); }
  void ApplyEffect(const ForwardAnswer& effect);
  void ApplyEffect(const ForwardStart& effect);
  void ApplyEffect(const ForwardPart& effect);
  void ApplyEffect(const ForwardEnd& effect);
  void ApplyEffect(const AbortReply& effect);
  void ApplyEffect(const ReleaseRequest& effect);
  RequestModel* FindWaiting(ClientId client, RequestId request);
  void OnAnswered(ClientId client, RequestId request);
};

template <typename Event>
void Model::Handle(Event event) {
  Effects effects;
  lifecycle.On(0, std::move(event), &effects);
  bool allowed = policy.budget_requested && policy.budget;
  Check(allowed || policy.retried.empty(), "budget: a retry without one");
  for (uint64_t id : policy.retried) {
    if (auto it = requests.find(id); it != requests.end()) ++it->second.permitted;
  }
  for (const Effect& effect : effects) std::visit([this](const auto& each) { ApplyEffect(each); }, effect);
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

void Model::ApplyEffect(const OpenConnection& effect) {
  Check(connections.count(effect.connection.value) == 0, "identity: a connection's was used again");
  ConnectionModel& connection = connections[effect.connection.value];
  last_connection = effect.connection.value;
  connection.request = effect.request;
  connection.attempt = effect.attempt.value;
}

void Model::ApplyEffect(const SendRequest& effect) {
  auto it = connections.find(effect.connection.value);
  auto request = requests.find(effect.request.value);
  Check(it != connections.end(), "doubt: a request on a connection that has ended");
  Check(request != requests.end() && !request->second.answered, "answered once: sent after its answer");
  if (!broken.empty()) return;
  ConnectionModel& connection = it->second;
  Check(connection.state == ConnectionModel::State::kIdle,
        "doubt: a request on a connection that is not idle");
  Check(!connection.untrusted, "doubt: a request on a connection in doubt");
  RequestModel& sent = request->second;
  Check(sent.idempotent || sent.may_run == 0, "twice: sent again although it may have run");
  Check(sent.arrivals <= sent.permitted, "budget: arrives again without permission");
  Check(sent.arrivals < kMaxAttempts, "budget: more arrivals than max_attempts");
  connection.state = ConnectionModel::State::kWriting;
  connection.request = effect.request;
  ++connection.written;
}

void Model::ApplyEffect(const ReadAnswerPart& effect) {
  auto it = connections.find(effect.connection.value);
  Check(it != connections.end() && it->second.state == ConnectionModel::State::kStreaming,
        "parts: none to read");
  if (broken.empty()) it->second.part_requested = true;
}

// Returns the request if its client is waiting for its answer.
RequestModel* Model::FindWaiting(ClientId client, RequestId request) {
  auto it = clients.find(client.value);
  bool waits = it != clients.end() && !it->second.closed && it->second.waiting == request;
  Check(waits, "answered once: an answer that nobody waits for");
  if (!waits) return nullptr;
  RequestModel& model = requests.at(request.value);
  Check(!model.answered, "answered once: a second answer");
  return &model;
}

void Model::OnAnswered(ClientId client, RequestId request) {
  RequestModel* model = FindWaiting(client, request);
  if (!model) return;
  Check(!model->streaming, "answered once: a whole answer after a begun one");
  model->answered = true;
  clients.at(client.value).waiting = {};
}

void Model::ApplyEffect(const ReplyNotRun& effect) {
  const RequestModel& model = requests.at(effect.request.value);
  Check(model.may_run == 0, "refused: a promise about a request that may have run");
  OnAnswered(effect.client, effect.request);
}

void Model::ApplyEffect(const ForwardAnswer& effect) {
  Check(effect.content.body == IdOf(effect.request), "mixed: another request's answer");
  Check(requests.at(effect.request.value).served, "mixed: an answer that its backend did not give");
  OnAnswered(effect.client, effect.request);
}

void Model::ApplyEffect(const ForwardStart& effect) {
  Check(effect.content.body == IdOf(effect.request), "mixed: another request's answer begun");
  if (RequestModel* model = FindWaiting(effect.client, effect.request)) model->streaming = true;
}

void Model::ApplyEffect(const ForwardPart& effect) {
  const ClientModel& client = clients.at(effect.client.value);
  Check(client.waiting.valid() && effect.bytes == IdOf(client.waiting),
        "mixed: a part of another request's answer");
}

void Model::ApplyEffect(const ForwardEnd& effect) {
  RequestModel* model = FindWaiting(effect.client, effect.request);
  if (!model) return;
  Check(model->streaming, "answered once: the end of an answer that had not begun");
  model->streaming = false;
  OnAnswered(effect.client, effect.request);
}

void Model::ApplyEffect(const AbortReply& effect) {
  RequestModel* model = FindWaiting(effect.client, effect.request);
  if (!model) return;
  Check(model->streaming, "answered once: an abort of what had not begun");
  model->answered = true;
  clients.at(effect.client.value).closed = true;
  clients.at(effect.client.value).waiting = {};
}

void Model::ApplyEffect(const ReleaseRequest& effect) {
  auto it = requests.find(effect.request.value);
  Check(it != requests.end(), "identity: released twice");
  if (!broken.empty()) return;
  Check(it->second.answered || clients.at(it->second.client.value).closed,
        "answered once: released without an answer");
  requests.erase(it);
}

void Model::StartRequest(uint64_t client) {
  RequestId id = lifecycle.StartRequest(ClientId{client});
  --clients.at(client).requests_left;
  clients.at(client).waiting = id;
  RequestModel model;
  model.client = ClientId{client};
  model.idempotent = client < idempotent.size() && idempotent[client];
  requests[id.value] = model;
}

std::vector<Move> Model::PossibleMoves() const {
  using State = ConnectionModel::State;
  std::vector<Move> moves;
  auto add = [&moves](std::initializer_list<MoveKind> kinds, uint64_t id) {
    for (MoveKind kind : kinds) moves.push_back({kind, id});
  };
  // The result of a write is known before anything else can happen.
  for (const auto& [id, connection] : connections) {
    if (connection.state != State::kWriting) continue;
    add({MoveKind::kAccepted, MoveKind::kStale, MoveKind::kNothingWritten}, id);
    return moves;
  }
  for (const auto& [id, client] : clients) {
    if (client.closed) continue;
    if (!client.waiting.valid() && client.requests_left > 0) add({MoveKind::kClientRequests}, id);
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
      if (connection.part_requested) add({MoveKind::kStreamPart, MoveKind::kStreamEnds}, id);
    }
    if (connection.state != State::kBusy) continue;
    add({MoveKind::kReset, MoveKind::kServed, MoveKind::kServedAndClosed, MoveKind::kServerError,
         MoveKind::kServiceUnavailable, MoveKind::kNotExecuted, MoveKind::kMisdirected,
         MoveKind::kRejectedWithoutId, MoveKind::kForeignAnswer, MoveKind::kAnswerWithoutId,
         MoveKind::kUnsealed, MoveKind::kStreamStarts, MoveKind::kForeignStream},
        id);
    // An extra answer needs an earlier request on the connection.
    if (connection.written > 1) add({MoveKind::kForeignRejection}, id);
  }
  if (!lifecycle.idle().empty()) add({MoveKind::kSweep}, 0);
  return moves;
}

void Model::CheckLateEvents() {
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

// A backend sends an answer on a connection with a request.
void Model::Answer(const Move& move) {
  ConnectionModel& connection = connections.at(move.id);
  ConnectionId id{move.id};
  RequestModel& request = requests.at(connection.request.value);
  BackendReply reply = Reply(connection.request, 200);
  connection.state = ConnectionModel::State::kIdle;
  bool not_run = false;
  switch (move.kind) {
    case MoveKind::kServedAndClosed: reply.reusable = false; [[fallthrough]];
    case MoveKind::kServed: request.served = true; break;
    case MoveKind::kServerError:
      reply.content.status = 500;
      request.served = true;
      break;
    case MoveKind::kServiceUnavailable: reply.content.status = 503; break;
    case MoveKind::kNotExecuted:
      reply.content.status = 503;
      reply.not_executed = not_run = true;
      break;
    case MoveKind::kMisdirected:
      reply.content.status = 421;
      not_run = true;
      break;
    case MoveKind::kRejectedWithoutId:
      reply.content.status = 503;
      reply.attempt_id.clear();
      reply.not_executed = not_run = true;
      break;
    case MoveKind::kForeignRejection:
      reply.content.status = 421;
      reply.attempt_id.clear();
      connection.untrusted = true;
      break;
    case MoveKind::kForeignAnswer:
      reply.attempt_id = reply.content.body = kForeignId;
      connection.untrusted = true;
      break;
    case MoveKind::kAnswerWithoutId:
      reply.attempt_id.clear();
      reply.content.body = kForeignId;
      connection.untrusted = true;
      break;
    default:  // kUnsealed
      reply.sealed = false;
      reply.content.body = kForeignId;
      connection.untrusted = true;
      break;
  }
  if (!reply.reusable) connection.untrusted = true;
  if (not_run) --request.may_run;
  Handle(AnswerReceived{id, std::move(reply)});
}

void Model::Apply(const Move& move) {
  using State = ConnectionModel::State;
  ConnectionId connection{move.id};
  switch (move.kind) {
    case MoveKind::kClientRequests: return StartRequest(move.id);
    case MoveKind::kClientCloses:
      clients.at(move.id).closed = true;
      clients.at(move.id).waiting = {};
      return Handle(ClientClosed{ClientId{move.id}});
    case MoveKind::kClientDrains: return Handle(ClientDrained{ClientId{move.id}});
    case MoveKind::kAdmit: {
      RequestModel& request = requests.at(move.id);
      request.admitted = true;
      return Handle(RequestAdmitted{RequestId{move.id}, IdOf(RequestId{move.id}), std::to_string(move.id),
                                    request.idempotent, kMaxAttempts, 1});
    }
    case MoveKind::kReject: return Handle(RequestRejected{RequestId{move.id}, 429, 1, "limit"});
    case MoveKind::kOpened:
      connections.at(move.id).state = State::kIdle;
      return Handle(ConnectionOpened{connection});
    case MoveKind::kRefused: return Handle(ConnectionLost{connection, false});
    case MoveKind::kAccepted: {
      ConnectionModel& model = connections.at(move.id);
      model.state = State::kBusy;
      RequestModel& request = requests.at(model.request.value);
      ++request.may_run;
      ++request.arrivals;
      return;
    }
    case MoveKind::kStale: return Handle(ConnectionStale{connection});
    case MoveKind::kNothingWritten: return Handle(ConnectionLost{connection, false});
    case MoveKind::kReset: return Handle(ConnectionLost{connection, true});
    case MoveKind::kStreamStarts: {
      ConnectionModel& model = connections.at(move.id);
      model.state = State::kStreaming;
      RequestId request = model.request;
      requests.at(request.value).served = true;
      return Handle(AnswerStarted{connection, Reply(request, 200)});
    }
    case MoveKind::kForeignStream: {
      BackendReply reply = Reply(connections.at(move.id).request, 200);
      reply.attempt_id = reply.content.body = kForeignId;
      connections.at(move.id).state = State::kStreaming;
      connections.at(move.id).untrusted = true;
      return Handle(AnswerStarted{connection, std::move(reply)});
    }
    case MoveKind::kStreamPart: {
      ConnectionModel& model = connections.at(move.id);
      model.part_requested = false;
      return Handle(AnswerPart{connection, IdOf(model.request)});
    }
    case MoveKind::kStreamEnds: {
      connections.at(move.id).state = State::kIdle;
      return Handle(AnswerEnded{connection, true});
    }
    case MoveKind::kDeadline: {
      RequestModel& request = requests.at(move.id);
      request.deadline_armed = false;
      bool due = !request.streaming && !clients.at(request.client.value).closed;
      Handle(DeadlineReached{RequestId{move.id}});
      bool answered = requests.count(move.id) == 0;
      return Check(!due || answered, "answered once: not answered at its deadline");
    }
    case MoveKind::kConnectTimer: return Handle(ConnectTimedOut{connection, AttemptId{move.attempt}});
    case MoveKind::kSweep: {
      Effects effects;
      lifecycle.On(1000, IdleSweep{}, &effects);
      for (const Effect& effect : effects)
        std::visit([this](const auto& each) { ApplyEffect(each); }, effect);
      return;
    }
    default: return Answer(move);
  }
}

// Returns the whole state without identifiers: an unfinished request is named by its client, which has at
// most one, and connections are distinguished by their content. States that differ only by an exchange of the
// backends, or of two clients of the same kind, have the same key.
std::string Model::StateKey() const {
  bool same_kind = idempotent[1] == idempotent[2];
  std::string smallest;
  for (int symmetry = 0; symmetry < (same_kind ? 4 : 2); ++symmetry) {
    std::string key = StateKeyWith(symmetry & 1, symmetry & 2);
    if (symmetry == 0 || key < smallest) smallest = std::move(key);
  }
  return smallest;
}

std::string Model::StateKeyWith(bool swap_backends, bool swap_clients) const {
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
    put(&parts[static_cast<size_t>(client_name(id))], client.requests_left * 2 + client.closed);
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
  std::vector<std::string> connection_keys;
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
    put(&text, std::min(connection.written, 2) + 4 * connection.untrusted + 8 * connection.part_requested +
                   16 * static_cast<int>(std::min(own.written, 2u)));
    connection_keys.push_back(std::move(text));
  }
  std::sort(connection_keys.begin(), connection_keys.end());
  std::string key = parts[1] + '|' + parts[2];
  for (const std::string& connection_key : connection_keys) key += '|' + connection_key;
  return key;
}

// Returns a state with an idle connection to each backend, on which one request has been served.
Model Start(bool first_idempotent, bool second_idempotent, int first_requests, int second_requests) {
  Model model;
  for (uint64_t client : {3u, 4u}) {
    policy = ChoicePolicy();
    policy.prefer_second = client == 4;
    model.clients[client].requests_left = 1;
    model.Apply({MoveKind::kClientRequests, client});
    model.Apply({MoveKind::kAdmit, model.clients[client].waiting.value});
    uint64_t connection = model.connections.rbegin()->first;
    for (MoveKind kind : {MoveKind::kOpened, MoveKind::kAccepted, MoveKind::kServed})
      model.Apply({kind, connection});
    model.clients.erase(client);
  }
  model.idempotent = {false, first_idempotent, second_idempotent};
  model.clients[1].requests_left = first_requests;
  model.clients[2].requests_left = second_requests;
  return model;
}

struct Step {
  size_t previous;
  Move move;
};

std::string StepsUpTo(const std::vector<Step>& steps, size_t at) {
  std::string text;
  for (; at != 0; at = steps[at].previous) {
    const Move& move = steps[at].move;
    text =
        std::string("\n  ") + kMoveNames[static_cast<int>(move.kind)] + " " + std::to_string(move.id) + text;
  }
  return text;
}

size_t Search(const Model& start, const char* name) {
  std::vector<Step> steps{{0, {}}};
  std::unordered_set<std::string> seen{start.StateKey()};
  std::vector<std::pair<Model, size_t>> stack{{start, 0}};
  size_t transitions = 0;
  while (!stack.empty()) {
    auto [model, at] = std::move(stack.back());
    stack.pop_back();
    model.CheckLateEvents();
    if (!model.broken.empty()) FAIL(("broken: " + model.broken + StepsUpTo(steps, at)).c_str());
    for (const Move& move : model.PossibleMoves()) {
      bool backend_requested = false, budget_requested = false;
      for (int choice = 0; choice < 4; ++choice) {
        if ((choice & 1) && !backend_requested) continue;
        if ((choice & 2) && !budget_requested) continue;
        policy = ChoicePolicy();
        policy.prefer_second = choice & 1;
        policy.budget = !(choice & 2);
        Model next = model;
        next.Apply(move);
        backend_requested = backend_requested || policy.backend_requested;
        budget_requested = budget_requested || policy.budget_requested;
        ++transitions;
        if (!next.broken.empty()) {
          steps.push_back({at, move});
          std::string failure = "broken: " + next.broken + StepsUpTo(steps, steps.size() - 1);
          FAIL(failure.c_str());
        }
        if (!seen.insert(next.StateKey()).second) continue;
        if (seen.size() > kMaxStates) FAIL("the search exceeds its limit of states");
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
TEST(LifecycleSearch, OneIdempotentRequestAndOneThatMayRunOnce) {
  Search(Start(true, false, 1, 1), "idempotent, once");
}
TEST(LifecycleSearch, TwoThatMayBeRepeated) { Search(Start(true, true, 1, 1), "idempotent, idempotent"); }
TEST(LifecycleSearch, AClientWithTwoRequestsAndAnotherClient) {
  Search(Start(false, true, 2, 1), "once twice, idempotent");
}
