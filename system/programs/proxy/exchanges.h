// Requests in the proxy. Joins the sockets of clients and of backends to the state machine of
// requests (request_lifecycle). Callbacks of sockets and timers become its events, its effects become calls.
// Who may pass and where to is decided by routing and rate_limit before a request is admitted. One thread,
// that of the event loop.
#ifndef IVYGW_SYSTEM_PROXY_EXCHANGES_H_
#define IVYGW_SYSTEM_PROXY_EXCHANGES_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "bodies/tenant_memory.h"
#include "drain/drain_manager.h"
#include "load_balancing/pool.h"
#include "load_balancing/retry_budget.h"
#include "net/backend_links.h"
#include "net/client_server.h"
#include "proxy/collected_body.h"
#include "rate_limit/admission.h"
#include "request_lifecycle/lifecycle.h"
#include "routing/routes.h"

namespace ivygw::proxy {

struct Figures {
  uint64_t requests = 0, served = 0, refused = 0, limited = 0, failed = 0, late = 0, tries = 0, not_sent = 0,
           full = 0, unknown = 0, broken = 0, connections = 0, denied = 0, ended = 0, no_memory = 0;
};

class Exchanges : private BackendEvents, private request_lifecycle::BackendPolicy {
 public:
  // Everything given outlives this.
  Exchanges(asio::io_context& io, bodies::BodyMemory* memory, routing::Routes* routes,
            rate_limit::Admission* admission, load_balancing::Pool* pool, load_balancing::RetryBudget* budget,
            const drain::DrainManager* drain);
  void Serve(ClientServer* front) { front_ = front; }

  void OnRequest(uint64_t client, ClientMessage message);
  void OnClientClosed(uint64_t client, bool answer_pending);
  void OnClientBody(uint64_t client, std::string bytes, bool last);
  void OnClientDrained(uint64_t client);
  // Until the configuration is here nothing is served.
  void Open(bool open) { open_ = open; }
  // Grants have come: requests whose tokens were pending are decided again.
  void OnGrants();
  // Requests whose bodies are still coming are answered: nothing of them has been sent on.
  void RefuseIncomplete();
  void Sweep();  // connections to backends that are no longer wanted
  size_t active_requests() const { return lifecycle_.requests().size(); }
  Figures figures() const;

 private:
  using RequestId = request_lifecycle::RequestId;
  enum class Admission { kUndecided, kPending, kAdmitted };
  // What a request consists of, and the timers of its stages.
  struct ActiveRequest {
    explicit ActiveRequest(bodies::TenantMemory* memory) : body(memory) {}
    ClientMessage message;  // without its body
    CollectedBody body;
    routing::Routes::Route route;
    routing::Routes::Tenant tenant;
    routing::Routes::Tenant judged;  // the tenant whose limit `admission` is of
    Admission admission = Admission::kUndecided;
    double arrived = 0, deadline = 0;
    bool body_complete = false;
    std::unique_ptr<asio::steady_timer> timer;          // of the token, then of the deadline
    std::unique_ptr<asio::steady_timer> body_timer;     // of the body that is still coming
    std::unique_ptr<asio::steady_timer> connect_timer;  // of the attempt that is out
  };
  // A message that goes to a backend in pieces.
  struct Sending {
    RequestId request;
    size_t next_piece = 0;
  };

  // Of BackendLinks.
  void OnConnected(uint64_t connection) override;
  void OnWritten(uint64_t) override {}
  void OnDrained(uint64_t connection) override;
  void OnAnswer(uint64_t connection, BackendAnswer answer) override;
  void OnLost(uint64_t connection) override;
  void OnStale(uint64_t connection) override;
  void OnAnswerBegun(uint64_t connection, BackendAnswer answer) override;
  void OnAnswerPart(uint64_t connection, std::string bytes) override;
  void OnAnswerEnded(uint64_t connection, bool keep) override;

  // Of the state machine.
  std::string Choose(double now, const std::string& service, const std::set<std::string>& tried) override;
  void OnAttemptStarted(const std::string& backend) override;
  void OnAttemptEnded(double now, const std::string& backend, load_balancing::AttemptResult result) override;
  bool MayRetry(double now, const std::string& service) override;
  void OnRetry(double now, const std::string& service) override;
  bool IsDrained(const std::string& backend) override;

  // Whose part of the memory a request takes.
  static const std::string& TenantOf(const ActiveRequest& request);
  double Now() const;
  void BeginLong(uint64_t client, RequestId id);
  void Begin(RequestId id);
  bool Identify(RequestId id);
  bool Check(RequestId id, CollectedBody::Verdict verdict);
  bool Hold(RequestId id);
  void Judge(RequestId id);
  void Judged(RequestId id, const rate_limit::AdmissionDecision& verdict);
  void OnTokenLate(RequestId id);
  void EndPending(RequestId id, ActiveRequest* request);
  void SendIfReady(RequestId id);
  void Reject(RequestId id, int status, double retry_after_s, const char* reason);
  void RejectForMemory(RequestId id);
  std::string HeadOf(const ActiveRequest& request, const std::string& backend) const;

  // Gives the state machine an event and carries out its effects, in order. What comes while they are carried
  // out is queued behind them.
  template <typename Event>
  void Tell(Event&& event);
  void CarryOutAll();
  void CarryOut(request_lifecycle::OpenConnection& effect);
  void CarryOut(request_lifecycle::SendRequest& effect);
  void CarryOut(request_lifecycle::CloseConnection& effect);
  void CarryOut(request_lifecycle::ReadAnswerPart& effect);
  void CarryOut(request_lifecycle::ArmDeadline& effect);
  void CarryOut(request_lifecycle::ReplyNotRun& effect);
  void CarryOut(request_lifecycle::ReplyUnknown& effect);
  void CarryOut(request_lifecycle::ForwardAnswer& effect);
  void CarryOut(request_lifecycle::ForwardStart& effect);
  void CarryOut(request_lifecycle::ForwardPart& effect);
  void CarryOut(request_lifecycle::ForwardEnd& effect);
  void CarryOut(request_lifecycle::AbortReply& effect);
  void CarryOut(request_lifecycle::ReleaseRequest& effect);
  void ReplyOwn(request_lifecycle::ClientId client, int status, double retry_after_s, const char* reason);
  void CountServed(RequestId id);

  asio::io_context& io_;
  routing::Routes* routes_;
  rate_limit::Admission* admission_;
  load_balancing::Pool* pool_;
  load_balancing::RetryBudget* budget_;
  const drain::DrainManager* drain_;
  ClientServer* front_ = nullptr;
  bodies::TenantMemory memory_;
  request_lifecycle::Lifecycle lifecycle_;
  request_lifecycle::Effects effects_;      // still to be carried out
  request_lifecycle::Effects carried_out_;  // those under way; kept for its memory
  bool carrying_out_ = false;
  BackendLinks links_;
  std::unordered_map<RequestId, ActiveRequest, request_lifecycle::IdentityHash> active_requests_;
  std::map<uint64_t, Sending> sendings_;  // by connection
  std::deque<RequestId> pending_;         // requests whose tokens are on their way, in order
  Figures figures_;
  double memory_logged_at_ = 0;
  bool open_ = false;
};

}  // namespace ivygw::proxy

#endif  // IVYGW_SYSTEM_PROXY_EXCHANGES_H_
