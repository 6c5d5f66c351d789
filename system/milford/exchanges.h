// Milford (requests in the proxy): each request from its arrival to its one answer, between the sockets of clients and of
// backends. Who may pass, where to, and whether again is decided by routeburn, hollyford and tongariro.
#ifndef IVYGW_SYSTEM_MILFORD_EXCHANGES_H_
#define IVYGW_SYSTEM_MILFORD_EXCHANGES_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "hollyford/admission.h"
#include "net/backend_links.h"
#include "net/client_server.h"
#include "routeburn/routes.h"
#include "tongariro/answers.h"
#include "tongariro/pool.h"
#include "tongariro/tries.h"

namespace ivygw::milford {

struct Figures {
  uint64_t requests = 0, served = 0, refused = 0, limited = 0, failed = 0, late = 0, tries = 0, not_sent = 0, full = 0,
           unknown = 0, broken = 0, connections = 0, denied = 0;
};

class Exchanges : public BackendEvents {
 public:
  Exchanges(asio::io_context& io, bodies::BodyMemory* memory, routeburn::Routes* routes, hollyford::Admission* admission,
            tongariro::Pool* pool, tongariro::Budget* budget);
  void Serve(ClientServer* front) { front_ = front; }

  void OnRequest(uint64_t client, ClientMessage message);
  void OnClientClosed(uint64_t client, bool held);
  void OnClientBody(uint64_t client, std::string bytes, bool last);
  void OnClientDrained(uint64_t client);
  // Until the configuration is here nothing is served.
  void Open(bool open) { open_ = open; }
  // Loans have come: requests whose tokens were on their way are looked at again.
  void OnLoans();
  void Sweep();  // connections to backends that are no longer wanted
  size_t held() const { return requests_.size(); }
  const Figures& figures() const { return figures_; }

  void OnConnected(uint64_t connection) override;
  void OnWritten(uint64_t) override {}
  void OnAnswer(uint64_t connection, BackendAnswer answer) override;
  void OnLost(uint64_t connection) override;
  void OnStale(uint64_t connection) override;
  void OnAnswerBegun(uint64_t connection, BackendAnswer answer) override;
  void OnAnswerPart(uint64_t connection, std::string bytes) override;
  void OnAnswerEnded(uint64_t connection, bool keep) override;

 private:
  struct Request {
    uint64_t client = 0;
    ClientMessage message;
    routeburn::Routes::Route route;
    routeburn::Routes::Tenant tenant;
    std::string service, attempt_id;
    double arrived = 0, deadline = 0;
    tongariro::Course course;
    std::set<std::string> tried;
    uint64_t connection = 0;  // of the attempt that is out; 0: none
    std::string backend;  // its id: what it must answer as, too
    bool replying = false, client_gone = false;
    std::unique_ptr<asio::steady_timer> timer, connect_timer;
  };
  struct Link {
    std::string backend;
    uint64_t request = 0;  // 0: idle
    double until = 0;      // for which it is kept idle
    bool kept = false, up = false;
  };

  double Now() const;
  void Begin(uint64_t id);
  void Judged(uint64_t id, const hollyford::Verdict& verdict);
  void Admitted(uint64_t id);
  void Try(uint64_t id);
  void Write(uint64_t id);
  void Ended(uint64_t id, tongariro::Told told, tongariro::Met met);
  void Finish(uint64_t id, Answer answer);
  void Refuse(uint64_t id, int status, double retry_after_s, const char* why);
  void OnDeadline(uint64_t id);
  void Release(uint64_t connection, bool keep, double keep_alive_s);
  void Drop(uint64_t connection);
  std::string Message(const Request& request, double now) const;
  static tongariro::Reading Read(const Request& request, const BackendAnswer& answer);
  void Served(const Request& request, double now);

  asio::io_context& io_;
  routeburn::Routes* routes_;
  hollyford::Admission* admission_;
  tongariro::Pool* pool_;
  tongariro::Budget* budget_;
  ClientServer* front_ = nullptr;
  BackendLinks links_;
  std::unordered_map<uint64_t, Request> requests_;         // by id
  std::deque<uint64_t> pending_;                           // requests whose tokens are on their way, in order
  std::unordered_map<uint64_t, uint64_t> of_client_;       // the request that a client's connection waits for
  std::unordered_map<uint64_t, Link> connections_;
  std::map<std::string, std::vector<uint64_t>> idle_;      // by backend, the one that was used last at the end
  Figures figures_;
  uint64_t last_ = 0, last_connection_ = 0;
  bool open_ = false;
};

}  // namespace ivygw::milford

#endif  // IVYGW_SYSTEM_MILFORD_EXCHANGES_H_
