// The life of every request of a proxy, from its arrival to its one answer, as a state machine: events of
// clients, of connections to backends and of timers in, effects out. Pure: no sockets, no clock; the time of
// an event (seconds of one steady clock) is part of it. One thread.
//
// An event that names an identity that has ended changes nothing, has no effects, and is counted.
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

// What goes to a client of an answer, or of its beginning.
struct AnswerContent {
  int status = 0;
  std::string headers;  // whole header lines
  std::string body;
  std::optional<uint64_t> length;  // of the whole body, where it is known
};

// A backend's answer, or the beginning of a long one, with what its evidence is read from.
struct BackendReply {
  std::string attempt_id;  // as the backend tells it; empty: none
  bool not_executed = false, sealed = false, encoded = false;
  bool reusable = false;    // whole, with nothing after its end, and the backend keeps the connection
  double keep_alive_s = 0;  // for which the backend keeps an idle connection; 0: not told
  AnswerContent content;
};

// Which backends there are, and how many further tries there may be. Called within an event; must not call
// back.
class BackendPolicy {
 public:
  virtual ~BackendPolicy() = default;
  // A backend for the service that is not among `tried`; empty where there is none.
  virtual std::string Choose(double now, const std::string& service, const std::set<std::string>& tried) = 0;
  virtual void OnAttemptStarted(const std::string& backend) = 0;
  virtual void OnAttemptEnded(double now, const std::string& backend,
                              load_balancing::AttemptResult result) = 0;
  // Whether the budget allows one more arrival at the service beyond the first of a request.
  virtual bool MayRetry(double now, const std::string& service) = 0;
  virtual void OnRetry(double now, const std::string& service) = 0;
  // Whether nothing will be sent to it any more, so that its idle connections may be closed.
  virtual bool IsDrained(const std::string& backend) = 0;
};

// --- Events ---

// A request has been admitted, and may be sent.
struct RequestAdmitted {
  RequestId request;
  std::string attempt_id;  // what the answer must carry back
  std::string service;
  bool idempotent = false;
  int max_attempts = 1;  // backends that it may arrive at
  double deadline = 0;
};
// A request ends without being sent. `status` may be a promise that it has not run.
struct RequestRejected {
  RequestId request;
  int status = 0;
  double retry_after_s = 0;  // 0: not told
  const char* reason = "";
};
struct ClientClosed {
  ClientId client;
};
struct ClientDrained {
  ClientId client;
};  // what was sent to it of a streamed answer is out

struct ConnectionOpened {
  ConnectionId connection;
};
// It ended, or what came on it is no answer. `bytes_written`: the system took a byte of the current request.
struct ConnectionLost {
  ConnectionId connection;
  bool bytes_written = true;
};
// Before a byte of the current request was written, it was found ended or with unasked bytes on it.
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
struct IdleSweep {
};  // idle connections that have rested too long, or whose backend is unwanted, are to be closed

// --- Effects, in the order in which they are to be carried out ---

struct OpenConnection {
  ConnectionId connection;
  AttemptId attempt;
  RequestId request;
  std::string backend;
};  // and time its opening
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
// An answer of the proxy's own to a request that has provably not run.
struct ReplyNotRun {
  ClientId client;
  RequestId request;
  NotDone proof;
  int status;
  double retry_after_s;
  const char* reason;
};
// An answer of the proxy's own that promises nothing: 502 or 504.
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
struct AbortReply {
  ClientId client;
  RequestId request;
};  // a started answer can't be finished
struct ReleaseRequest {
  RequestId request;
};  // the last effect that names it

using Effect = std::variant<OpenConnection, SendRequest, CloseConnection, ReadAnswerPart, ArmDeadline,
                            ReplyNotRun, ReplyUnknown, ForwardAnswer, ForwardStart, ForwardPart, ForwardEnd,
                            AbortReply, ReleaseRequest>;
using Effects = std::vector<Effect>;

struct Counters {
  uint64_t retries = 0, not_sent = 0, rejected_by_backend = 0, unknown_outcomes = 0, untrusted_answers = 0,
           connections = 0, deadline_exceeded = 0;
  uint64_t stale_events = 0;  // dropped: their identity had ended
};

struct LifecycleLimits {
  int max_unsent_attempts =
      4;  // attempts of one request that may end before anything is written, and be followed by another
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
    ExecutionRecord record;         // of the attempts that have ended
    int arrived = 0, not_sent = 0;  // attempts that have ended, by whether they may have arrived
    std::set<std::string> tried;
    AttemptId attempt;  // the one that is out, with its backend and connection
    std::string backend;
    ConnectionId connection;
  };
  struct Connection {
    std::string backend;
    RequestId request;  // not valid: idle
    AttemptId attempt;
    bool open = false;
    uint32_t written = 0;   // requests, in all
    double keep_until = 0;  // while idle
  };

  // `policy` outlives this.
  explicit Lifecycle(BackendPolicy* policy, LifecycleLimits limits = {}) : policy_(policy), limits_(limits) {}

  // A request has begun to arrive. The client has no other one that is unanswered.
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

  // The unanswered request of a client; not valid: none.
  RequestId RequestOf(ClientId client) const;
  const std::unordered_map<RequestId, Request, IdentityHash>& requests() const { return requests_; }
  const std::unordered_map<ConnectionId, Connection, IdentityHash>& connections() const {
    return connections_;
  }
  // Idle connections by backend, the one that was used last at the end.
  const std::map<std::string, std::vector<ConnectionId>>& idle() const { return idle_; }
  const Counters& counters() const { return counters_; }

 private:
  Request* Find(RequestId id);
  Connection* Find(ConnectionId id);
  // The connection with the request that waits on it. An event for one that has ended, or that is idle, is
  // counted and has no exchange; an idle one is closed, as what came on it is nobody's.
  struct Exchange {
    Connection* connection = nullptr;
    Request* request = nullptr;
    RequestId request_id;
  };
  std::optional<Exchange> FindExchange(ConnectionId id, Effects* effects);

  void StartAttempt(double now, RequestId id, Request* request, Effects* effects);
  ConnectionId TakeIdle(double now, const std::string& backend, Effects* effects);
  void Send(ConnectionId id, Connection* connection, Request* request, Effects* effects);
  // The attempt that is out has ended without an answer that goes to the client: again, or the proxy's own
  // answer.
  void EndAttempt(double now, RequestId id, Request* request, Evidence evidence,
                  load_balancing::AttemptResult result, Effects* effects);
  bool MayTryAgain(double now, const Request& request, Evidence evidence);
  bool Repeatable(const Request& request) const;
  void Expire(double now, RequestId id, Request* request, Effects* effects);
  void ReplyOwn(RequestId id, Request* request, int unknown_status, double retry_after_s,
                const char* not_run_reason, const char* unknown_reason, Effects* effects);
  void Release(RequestId id, Effects* effects);
  void Keep(double now, ConnectionId id, Connection* connection, double keep_alive_s);
  void Close(ConnectionId id, Effects* effects);

  BackendPolicy* policy_;
  LifecycleLimits limits_;
  std::unordered_map<RequestId, Request, IdentityHash> requests_;
  std::unordered_map<ClientId, RequestId, IdentityHash> of_client_;
  std::unordered_map<ConnectionId, Connection, IdentityHash> connections_;
  std::map<std::string, std::vector<ConnectionId>> idle_;
  Counters counters_;
  uint64_t last_request_ = 0, last_attempt_ = 0, last_connection_ = 0;
};

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_LIFECYCLE_H_
