// State machine of all requests of a proxy, from their arrival to their single answer. Input are events of
// clients, connections to backends and timers; output are effects. Pure: no sockets and no clock; the caller
// passes the time of each event (seconds of one steady clock). One thread.
//
// A stale event, of a request, attempt or connection that no longer exists, is counted and has no effect.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_LIFECYCLE_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_LIFECYCLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "load_balancing/pool.h"
#include "request_lifecycle/answer_classification.h"
#include "request_lifecycle/identities.h"
#include "request_lifecycle/outcome.h"

namespace ivygw::request_lifecycle {

// The part of an answer, or of its start, that is passed to the client.
struct AnswerContent {
  int status = 0;
  std::string headers;  // whole header lines
  std::string body;
  std::optional<uint64_t> length;  // of the whole body, if known
};

// A backend's answer, or the start of a streamed one, with the facts by which it is classified.
struct BackendReply {
  std::string attempt_id;  // as returned by the backend; empty: none
  bool not_executed = false, sealed = false, encoded = false;
  bool reusable = false;    // complete, without bytes after its end, and the backend keeps the connection
  double keep_alive_s = 0;  // how long the backend keeps an idle connection; 0: unknown
  AnswerContent content;
};

// Chooses backends and limits retries. Called while an event is handled; must not call the Lifecycle.
class BackendPolicy {
 public:
  virtual ~BackendPolicy() = default;
  // Returns a backend for the service that is not in `tried`; empty if there is none.
  virtual std::string Choose(double now, const std::string& service, const std::set<std::string>& tried) = 0;
  virtual void OnAttemptStarted(const std::string& backend) = 0;
  virtual void OnAttemptEnded(double now, const std::string& backend,
                              load_balancing::AttemptResult result) = 0;
  // Whether the budget allows a retry at the service.
  virtual bool MayRetry(double now, const std::string& service) = 0;
  virtual void OnRetry(double now, const std::string& service) = 0;
  // Whether the backend receives no more requests, so that its idle connections may be closed.
  virtual bool IsDrained(const std::string& backend) = 0;
};

// --- Events ---

// A request has been admitted and may be sent.
struct RequestAdmitted {
  RequestId request;
  std::string attempt_id;  // the id that the answer must contain
  std::string service;
  bool idempotent = false;
  int max_attempts = 1;  // maximum number of attempts that may arrive at a backend
  double deadline = 0;
};
// A request ends without being sent. `status` may promise that it has not run.
struct RequestRejected {
  RequestId request;
  int status = 0;
  double retry_after_s = 0;  // 0: none
  const char* reason = "";
};
struct ClientClosed {
  ClientId client;
};
// All buffered bytes of a streamed answer have been sent to the client.
struct ClientDrained {
  ClientId client;
};

struct ConnectionOpened {
  ConnectionId connection;
};
// The connection was closed, or received an invalid answer. `bytes_written`: the operating system accepted at
// least one byte of the current request for sending.
struct ConnectionLost {
  ConnectionId connection;
  bool bytes_written = true;
};
// The connection was found closed, or had received unexpected bytes, before any byte of the current request
// was written.
struct ConnectionStale {
  ConnectionId connection;
};
struct AnswerReceived {
  ConnectionId connection;
  BackendReply reply;
};
struct AnswerStarted {
  ConnectionId connection;
  BackendReply reply;
};
struct AnswerPart {
  ConnectionId connection;
  std::string bytes;
};
struct AnswerEnded {
  ConnectionId connection;
  bool reusable = false;
};

struct DeadlineReached {
  RequestId request;
};
struct ConnectTimedOut {
  ConnectionId connection;
  AttemptId attempt;
};
// Closes the idle connections that were idle for too long or whose backend is drained.
struct IdleSweep {};

// --- Effects, to be carried out in order ---

// Opens a connection and starts its connect timer.
struct OpenConnection {
  ConnectionId connection;
  AttemptId attempt;
  RequestId request;
  std::string backend;
};
struct SendRequest {
  ConnectionId connection;
  RequestId request;
  std::string backend;
};
struct CloseConnection {
  ConnectionId connection;
};
struct ReadAnswerPart {
  ConnectionId connection;
};
struct ArmDeadline {
  RequestId request;
  double at = 0;
};
// The proxy's own answer to a request that has provably not run.
struct ReplyNotRun {
  ClientId client;
  RequestId request;
  NotDone proof;
  int status;
  double retry_after_s;
  const char* reason;
};
// The proxy's own answer to a request that may have run: 502 or 504.
struct ReplyUnknown {
  ClientId client;
  RequestId request;
  int status;
  const char* reason;
};
struct ForwardAnswer {
  ClientId client;
  RequestId request;
  bool success = false;
  AnswerContent content;
};
struct ForwardStart {
  ClientId client;
  RequestId request;
  AnswerContent content;
};
struct ForwardPart {
  ClientId client;
  std::string bytes;
};
struct ForwardEnd {
  ClientId client;
  RequestId request;
};
// A streamed answer cannot be completed.
struct AbortReply {
  ClientId client;
  RequestId request;
};
// The last effect for this request.
struct ReleaseRequest {
  RequestId request;
};

using Effect = std::variant<OpenConnection, SendRequest, CloseConnection, ReadAnswerPart, ArmDeadline,
                            ReplyNotRun, ReplyUnknown, ForwardAnswer, ForwardStart, ForwardPart, ForwardEnd,
                            AbortReply, ReleaseRequest>;
using Effects = std::vector<Effect>;

struct Counters {
  uint64_t retries = 0, not_sent = 0, rejected_by_backend = 0, unknown_outcomes = 0, untrusted_answers = 0,
           connections = 0, deadline_exceeded = 0;
  uint64_t stale_events = 0;  // ignored: their object no longer existed
};

struct LifecycleLimits {
  // Most attempts of one request that end before anything is written and are followed by another one.
  int max_unsent_attempts = 4;
};

class Lifecycle {
 public:
  enum class Phase : uint8_t { kReceiving, kConnecting, kAwaitingAnswer, kStreaming };
  struct Request {
    ClientId client;
    Phase phase = Phase::kReceiving;
    bool client_gone = false;
    std::string attempt_id, service;
    bool idempotent = false;
    int max_attempts = 1;
    double deadline = 0;
    ExecutionRecord record;         // of ended attempts
    int arrived = 0, not_sent = 0;  // ended attempts, by MayHaveArrived
    std::set<std::string> tried;
    AttemptId attempt;  // the current one, with its backend and connection
    std::string backend;
    ConnectionId connection;
  };
  struct Connection {
    std::string backend;
    RequestId request;  // invalid: idle
    AttemptId attempt;
    bool open = false;
    uint32_t written = 0;   // number of requests sent on it so far
    double idle_until = 0;  // while idle: may not be used from this time on
  };

  // `policy` must outlive this object.
  explicit Lifecycle(BackendPolicy* policy, LifecycleLimits limits = {}) : policy_(policy), limits_(limits) {}

  // Starts a request that has begun to arrive. REQUIRES: the client has no other unanswered request.
  RequestId StartRequest(ClientId client);

  void On(double now, RequestAdmitted&& event, Effects* effects);
  void On(double now, const RequestRejected& event, Effects* effects);
  void On(double now, const ClientClosed& event, Effects* effects);
  void On(double now, const ClientDrained& event, Effects* effects);
  void On(double now, const ConnectionOpened& event, Effects* effects);
  void On(double now, const ConnectionLost& event, Effects* effects);
  void On(double now, const ConnectionStale& event, Effects* effects);
  void On(double now, AnswerReceived&& event, Effects* effects);
  void On(double now, AnswerStarted&& event, Effects* effects);
  void On(double now, AnswerPart&& event, Effects* effects);
  void On(double now, const AnswerEnded& event, Effects* effects);
  void On(double now, const DeadlineReached& event, Effects* effects);
  void On(double now, const ConnectTimedOut& event, Effects* effects);
  void On(double now, const IdleSweep& event, Effects* effects);

  // Returns the unanswered request of a client; invalid if there is none.
  RequestId RequestOf(ClientId client) const;
  const std::unordered_map<RequestId, Request, IdentityHash>& requests() const { return requests_; }
  const std::unordered_map<ConnectionId, Connection, IdentityHash>& connections() const {
    return connections_;
  }
  // Idle connections by backend, the most recently used one last.
  const std::map<std::string, std::vector<ConnectionId>>& idle() const { return idle_; }
  const Counters& counters() const { return counters_; }

 private:
  Request* Find(RequestId id);
  Connection* Find(ConnectionId id);
  // A connection and the request sent on it. FindExchange returns none for a connection that no longer exists
  // or is idle, and counts the event as stale. It closes an idle connection, because no request expects what
  // was received.
  struct Exchange {
    Connection* connection = nullptr;
    Request* request = nullptr;
    RequestId request_id;
  };
  std::optional<Exchange> FindExchange(ConnectionId id, Effects* effects);

  void StartAttempt(double now, RequestId id, Request* request, Effects* effects);
  ConnectionId TakeIdle(double now, const std::string& backend, Effects* effects);
  void Send(ConnectionId id, Connection* connection, Request* request, Effects* effects);
  // Ends the current attempt, which has no answer to pass to the client: starts another one or sends the
  // proxy's own answer.
  void EndAttempt(double now, RequestId id, Request* request, Evidence evidence,
                  load_balancing::AttemptResult result, Effects* effects);
  bool MayRetry(double now, const Request& request, Evidence evidence);
  bool IsRetrySafe(const Request& request) const;
  void Expire(double now, RequestId id, Request* request, Effects* effects);
  void SendOwnReply(RequestId id, Request* request, int unknown_status, double retry_after_s,
                    const char* not_run_reason, const char* unknown_reason, Effects* effects);
  void Release(RequestId id, Effects* effects);
  void KeepIdle(double now, ConnectionId id, Connection* connection, double keep_alive_s);
  void Close(ConnectionId id, Effects* effects);

  BackendPolicy* policy_;
  LifecycleLimits limits_;
  std::unordered_map<RequestId, Request, IdentityHash> requests_;
  std::unordered_map<ClientId, RequestId, IdentityHash> request_of_client_;
  std::unordered_map<ConnectionId, Connection, IdentityHash> connections_;
  std::map<std::string, std::vector<ConnectionId>> idle_;
  Counters counters_;
  uint64_t last_request_ = 0, last_attempt_ = 0, last_connection_ = 0;
};

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_LIFECYCLE_H_
