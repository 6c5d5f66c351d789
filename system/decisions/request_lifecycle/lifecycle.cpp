#include "request_lifecycle/lifecycle.h"

#include <algorithm>
#include <utility>

namespace ivygw::request_lifecycle {

using load_balancing::AttemptResult;

namespace {

// Idle time after which a connection is closed if the backend does not state one, in seconds.
constexpr double kDefaultIdleTime = 8;
// An idle connection is closed this much earlier than the backend would close it, in seconds.
constexpr double kIdleMargin = 1.2;
constexpr double kMinIdleTime = 0.1;  // s
// Retry delay reported when no backend is available, in seconds.
constexpr double kRetryAfter = 0.1;
constexpr int kServiceUnavailable = 503, kBadGateway = 502, kGatewayTimeout = 504;

AnswerFacts FactsOf(const BackendReply& reply, const std::string& expected_id, uint32_t requests_written) {
  AnswerFacts facts;
  facts.status = static_cast<unsigned>(reply.content.status);
  facts.has_id = !reply.attempt_id.empty();
  facts.own_id = facts.has_id && reply.attempt_id == expected_id;
  facts.not_executed = reply.not_executed;
  facts.sealed = reply.sealed;
  facts.encoded = reply.encoded;
  facts.sole_request = requests_written == 1;
  return facts;
}

}  // namespace

Lifecycle::Request* Lifecycle::Find(RequestId id) {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Lifecycle::Connection* Lifecycle::Find(ConnectionId id) {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

std::optional<Lifecycle::Exchange> Lifecycle::FindExchange(ConnectionId id, Effects* effects) {
  Connection* connection = Find(id);
  Request* request = connection ? Find(connection->request) : nullptr;
  if (!request || !connection->open) {
    ++counters_.stale_events;
    if (connection && !request) Close(id, effects);
    return std::nullopt;
  }
  return Exchange{connection, request, connection->request};
}

RequestId Lifecycle::RequestOf(ClientId client) const {
  auto it = request_of_client_.find(client);
  return it == request_of_client_.end() ? RequestId() : it->second;
}

RequestId Lifecycle::StartRequest(ClientId client) {
  RequestId id{++last_request_};
  requests_[id].client = client;
  request_of_client_[client] = id;
  return id;
}

void Lifecycle::On(double now, RequestAdmitted&& event, Effects* effects) {
  Request* request = Find(event.request);
  if (!request || request->phase != Phase::kReceiving) {
    ++counters_.stale_events;
    return;
  }
  request->attempt_id = std::move(event.attempt_id);
  request->service = std::move(event.service);
  request->idempotent = event.idempotent;
  request->max_attempts = event.max_attempts;
  request->deadline = event.deadline;
  effects->emplace_back(ArmDeadline{event.request, event.deadline});
  StartAttempt(now, event.request, request, effects);
}

void Lifecycle::On(double, const RequestRejected& event, Effects* effects) {
  Request* request = Find(event.request);
  if (!request || request->phase != Phase::kReceiving) {
    ++counters_.stale_events;
    return;
  }
  if (std::optional<NotDone> proof = request->record.NothingDone()) {
    effects->emplace_back(
        ReplyNotRun{request->client, event.request, *proof, event.status, event.retry_after_s, event.reason});
  }
  Release(event.request, effects);
}

void Lifecycle::On(double now, const ClientClosed& event, Effects* effects) {
  auto it = request_of_client_.find(event.client);
  if (it == request_of_client_.end()) {
    ++counters_.stale_events;
    return;
  }
  RequestId id = it->second;
  Request& request = requests_.at(id);
  request.client_gone = true;
  // A request that was sent and is not idempotent continues until its attempt ends. Any other request is
  // released at once and its connection closed.
  if (request.phase == Phase::kAwaitingAnswer && !request.idempotent) {
    request_of_client_.erase(it);
    return;
  }
  if (request.connection.valid()) {
    policy_->OnAttemptEnded(now, request.backend, AttemptResult::kCancelled);
    Close(request.connection, effects);
  }
  Release(id, effects);
}

void Lifecycle::On(double, const ClientDrained& event, Effects* effects) {
  Request* request = Find(RequestOf(event.client));
  if (!request || request->phase != Phase::kStreaming) {
    ++counters_.stale_events;
    return;
  }
  effects->emplace_back(ReadAnswerPart{request->connection});
}

void Lifecycle::StartAttempt(double now, RequestId id, Request* request, Effects* effects) {
  if (now >= request->deadline) return Expire(now, id, request, effects);
  std::string backend = policy_->Choose(now, request->service, request->tried);
  if (backend.empty()) {
    return SendOwnReply(id, request, kBadGateway, kRetryAfter, "no backend", "may have run", effects);
  }
  policy_->OnAttemptStarted(backend);
  request->tried.insert(backend);
  request->attempt = AttemptId{++last_attempt_};
  request->backend = std::move(backend);
  request->connection = TakeIdle(now, request->backend, effects);
  if (request->connection.valid()) {
    Connection& idle = connections_.at(request->connection);
    idle.request = id;
    idle.attempt = request->attempt;
    return Send(request->connection, &idle, request, effects);
  }
  request->phase = Phase::kConnecting;
  request->connection = ConnectionId{++last_connection_};
  connections_[request->connection] = Connection{request->backend, id, request->attempt, false, 0, 0};
  ++counters_.connections;
  effects->emplace_back(OpenConnection{request->connection, request->attempt, id, request->backend});
}

// Returns the most recently used idle connection to the backend. Closes those that were idle for too long.
ConnectionId Lifecycle::TakeIdle(double now, const std::string& backend, Effects* effects) {
  auto it = idle_.find(backend);
  if (it == idle_.end()) return {};
  while (!it->second.empty()) {
    ConnectionId id = it->second.back();
    it->second.pop_back();
    if (now < connections_.at(id).idle_until) return id;
    connections_.erase(id);
    effects->emplace_back(CloseConnection{id});
  }
  return {};
}

void Lifecycle::Send(ConnectionId id, Connection* connection, Request* request, Effects* effects) {
  request->phase = Phase::kAwaitingAnswer;
  ++connection->written;
  effects->emplace_back(SendRequest{id, connection->request, connection->backend});
}

void Lifecycle::On(double, const ConnectionOpened& event, Effects* effects) {
  Connection* connection = Find(event.connection);
  Request* request = connection ? Find(connection->request) : nullptr;
  if (!request || connection->open) {
    ++counters_.stale_events;
    return;
  }
  connection->open = true;
  Send(event.connection, connection, request, effects);
}

void Lifecycle::On(double now, const ConnectionLost& event, Effects* effects) {
  Connection* connection = Find(event.connection);
  if (!connection) {
    ++counters_.stale_events;
    return;
  }
  bool open = connection->open;
  bool reused = connection->written > 1;
  RequestId id = connection->request;
  Close(event.connection, effects);
  Request* request = Find(id);
  if (!request) return;  // the connection was idle
  if (request->phase == Phase::kStreaming) {
    policy_->OnAttemptEnded(now, request->backend, AttemptResult::kBroken);
    effects->emplace_back(AbortReply{request->client, id});
    return Release(id, effects);
  }
  if (!open)
    return EndAttempt(now, id, request, Evidence::kConnectRefused, AttemptResult::kConnectionRefused,
                      effects);
  if (event.bytes_written)
    return EndAttempt(now, id, request, Evidence::kLostAfterWrite, AttemptResult::kBroken, effects);
  if (reused)
    request->tried.erase(request->backend);  // only the connection was stale: the backend may be chosen again
  EndAttempt(now, id, request, Evidence::kWriteRefused,
             reused ? AttemptResult::kCancelled : AttemptResult::kBroken, effects);
}

void Lifecycle::On(double now, const ConnectionStale& event, Effects* effects) {
  std::optional<Exchange> exchange = FindExchange(event.connection, effects);
  if (!exchange) return;
  Request* request = exchange->request;
  bool reused = exchange->connection->written > 1;
  Close(event.connection, effects);
  if (reused)
    request->tried.erase(request->backend);  // only the connection was stale: the backend may be chosen again
  EndAttempt(now, exchange->request_id, request, Evidence::kClosedBeforeWrite,
             reused ? AttemptResult::kCancelled : AttemptResult::kBroken, effects);
}

void Lifecycle::On(double now, AnswerReceived&& event, Effects* effects) {
  std::optional<Exchange> exchange = FindExchange(event.connection, effects);
  if (!exchange) return;
  Request* request = exchange->request;
  RequestId id = exchange->request_id;
  AnswerClassification classification =
      ClassifyAnswer(FactsOf(event.reply, request->attempt_id, exchange->connection->written));
  if (!classification.trusted) ++counters_.untrusted_answers;
  if (classification.trusted && event.reply.reusable &&
      classification.result != AttemptResult::kMisdirected) {
    KeepIdle(now, event.connection, exchange->connection, event.reply.keep_alive_s);
  } else {
    Close(event.connection, effects);
  }
  if (!classification.forwardable)
    return EndAttempt(now, id, request, classification.evidence, classification.result, effects);
  // A request that failed with a 5xx of the backend itself has run, so it is retried only if it is
  // idempotent.
  if (classification.evidence == Evidence::kErrorAnswer && request->idempotent) {
    bool retry = request->arrived + 1 < request->max_attempts && policy_->MayRetry(now, request->service);
    if (retry) return EndAttempt(now, id, request, classification.evidence, classification.result, effects);
  }
  policy_->OnAttemptEnded(now, request->backend, classification.result);
  if (!request->client_gone) {
    bool success = classification.result == AttemptResult::kServed;
    effects->emplace_back(ForwardAnswer{request->client, id, success, std::move(event.reply.content)});
  }
  Release(id, effects);
}

void Lifecycle::On(double now, AnswerStarted&& event, Effects* effects) {
  std::optional<Exchange> exchange = FindExchange(event.connection, effects);
  if (!exchange || exchange->request->phase != Phase::kAwaitingAnswer) return;
  Request* request = exchange->request;
  AnswerClassification classification =
      ClassifyAnswer(FactsOf(event.reply, request->attempt_id, exchange->connection->written));
  if (!classification.forwardable || request->client_gone) {
    Close(event.connection, effects);
    // The connection is closed before the answer is complete. The start of an answer, even a trusted one,
    // proves only that the request was written. A complete answer could also prove whether the request has
    // run.
    Evidence evidence = classification.trusted ? Evidence::kLostAfterWrite : classification.evidence;
    return EndAttempt(now, exchange->request_id, request, evidence, AttemptResult::kBroken, effects);
  }
  request->phase = Phase::kStreaming;
  effects->emplace_back(ForwardStart{request->client, exchange->request_id, std::move(event.reply.content)});
}

void Lifecycle::On(double, AnswerPart&& event, Effects* effects) {
  std::optional<Exchange> exchange = FindExchange(event.connection, effects);
  if (!exchange || exchange->request->phase != Phase::kStreaming) return;
  effects->emplace_back(ForwardPart{exchange->request->client, std::move(event.bytes)});
}

void Lifecycle::On(double now, const AnswerEnded& event, Effects* effects) {
  std::optional<Exchange> exchange = FindExchange(event.connection, effects);
  if (!exchange || exchange->request->phase != Phase::kStreaming) return;
  policy_->OnAttemptEnded(now, exchange->request->backend, AttemptResult::kServed);
  if (event.reusable) {
    KeepIdle(now, event.connection, exchange->connection, 0);
  } else {
    Close(event.connection, effects);
  }
  effects->emplace_back(ForwardEnd{exchange->request->client, exchange->request_id});
  Release(exchange->request_id, effects);
}

void Lifecycle::On(double now, const DeadlineReached& event, Effects* effects) {
  Request* request = Find(event.request);
  if (!request || request->phase == Phase::kStreaming) {
    ++counters_.stale_events;
    return;
  }
  Expire(now, event.request, request, effects);
}

void Lifecycle::On(double now, const ConnectTimedOut& event, Effects* effects) {
  Connection* connection = Find(event.connection);
  if (!connection || connection->attempt != event.attempt || connection->open) {
    ++counters_.stale_events;
    return;
  }
  RequestId id = connection->request;
  Close(event.connection, effects);
  EndAttempt(now, id, Find(id), Evidence::kConnectTimedOut, AttemptResult::kTimedOut, effects);
}

bool Lifecycle::IsRetrySafe(const Request& request) const {
  return request.idempotent || request.record.NothingDone().has_value();
}

bool Lifecycle::MayRetry(double now, const Request& request, Evidence evidence) {
  if (!IsRetrySafe(request)) return false;
  if (request.arrived >= request.max_attempts) return false;
  if (!MayHaveArrived(evidence) && request.not_sent > limits_.max_unsent_attempts) return false;
  bool is_retry = request.arrived > 0;
  return !is_retry || policy_->MayRetry(now, request.service);
}

void Lifecycle::EndAttempt(double now, RequestId id, Request* request, Evidence evidence,
                           AttemptResult result, Effects* effects) {
  policy_->OnAttemptEnded(now, request->backend, result);
  request->connection = {};
  request->attempt = {};
  Outcome outcome = OutcomeOf(evidence);
  request->record.Add(outcome);
  if (MayHaveArrived(evidence)) {
    ++request->arrived;
  } else {
    ++request->not_sent;
    ++counters_.not_sent;
  }
  if (evidence == Evidence::kProvenRejection && result == AttemptResult::kOverloaded)
    ++counters_.rejected_by_backend;
  if (!std::holds_alternative<NotDone>(outcome)) ++counters_.unknown_outcomes;
  if (request->client_gone) return Release(id, effects);
  if (!MayRetry(now, *request, evidence)) {
    return SendOwnReply(id, request, kBadGateway, kRetryAfter, "not run", "may have run", effects);
  }
  if (request->arrived > 0) {
    policy_->OnRetry(now, request->service);
    ++counters_.retries;
  }
  StartAttempt(now, id, request, effects);
}

void Lifecycle::Expire(double now, RequestId id, Request* request, Effects* effects) {
  ++counters_.deadline_exceeded;
  if (request->connection.valid()) {
    bool sent = request->phase == Phase::kAwaitingAnswer;
    request->record.Add(OutcomeOf(sent ? Evidence::kNoAnswer : Evidence::kConnectTimedOut));
    policy_->OnAttemptEnded(now, request->backend,
                            sent ? AttemptResult::kTimedOut : AttemptResult::kConnectionRefused);
    Close(request->connection, effects);
  }
  SendOwnReply(id, request, kGatewayTimeout, kRetryAfter, "deadline", "deadline", effects);
}

// Answers 503 if the request has provably not run, otherwise `unknown_status`.
void Lifecycle::SendOwnReply(RequestId id, Request* request, int unknown_status, double retry_after_s,
                             const char* not_run_reason, const char* unknown_reason, Effects* effects) {
  if (!request->client_gone) {
    if (std::optional<NotDone> proof = request->record.NothingDone()) {
      effects->emplace_back(
          ReplyNotRun{request->client, id, *proof, kServiceUnavailable, retry_after_s, not_run_reason});
    } else {
      effects->emplace_back(ReplyUnknown{request->client, id, unknown_status, unknown_reason});
    }
  }
  Release(id, effects);
}

void Lifecycle::Release(RequestId id, Effects* effects) {
  auto it = requests_.find(id);
  auto by_client = request_of_client_.find(it->second.client);
  if (by_client != request_of_client_.end() && by_client->second == id) request_of_client_.erase(by_client);
  requests_.erase(it);
  effects->emplace_back(ReleaseRequest{id});
}

void Lifecycle::KeepIdle(double now, ConnectionId id, Connection* connection, double keep_alive_s) {
  connection->request = {};
  connection->attempt = {};
  double idle_time = keep_alive_s > 0 ? std::max(kMinIdleTime, keep_alive_s - kIdleMargin) : kDefaultIdleTime;
  connection->idle_until = now + idle_time;
  idle_[connection->backend].push_back(id);
}

void Lifecycle::Close(ConnectionId id, Effects* effects) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (auto idle = idle_.find(it->second.backend); idle != idle_.end()) std::erase(idle->second, id);
  connections_.erase(it);
  effects->emplace_back(CloseConnection{id});
}

void Lifecycle::On(double now, const IdleSweep&, Effects* effects) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    bool drained = policy_->IsDrained(it->first);
    std::erase_if(it->second, [&](ConnectionId id) {
      if (!drained && now < connections_.at(id).idle_until) return false;
      connections_.erase(id);
      effects->emplace_back(CloseConnection{id});
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace ivygw::request_lifecycle
