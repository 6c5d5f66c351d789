// The clients' side of the gateways on sockets: kept connections, one request at a time on each, more when
// all are busy; a connection that the gateway has closed between requests is replaced once.
#ifndef IVYGW_STANDIN_CLIENT_SOCKETS_H_
#define IVYGW_STANDIN_CLIENT_SOCKETS_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/clients.h"
#include "net/http.h"
#include "scenario/scenario.h"

namespace ivygw::standin {

class ClientSockets : public emulator::ClientPort {
 public:
  ClientSockets(asio::io_context& io, const scenario::Scenario& scenario, emulator::Clients* clients);
  ~ClientSockets() override;

  void SetAddress(int gateway, tcp::endpoint address);  // of a gateway that may have been started anew
  void Ask(int gateway, const emulator::ClientCall& call) override;
  void Drop(uint64_t id) override;
  void CloseIdle();
  // Requests that were not sent for want of a descriptor or of memory here: the generator's fault, not a
  // gateway's.
  uint64_t own_failures() const { return own_failures_; }

 private:
  class Connection;
  std::string Message(const emulator::ClientCall& call) const;
  std::shared_ptr<Connection> Take(int gateway, bool fresh);

  asio::io_context& io_;
  const scenario::Scenario& scenario_;
  emulator::Clients* clients_;
  std::vector<tcp::endpoint> addresses_;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by gateway, the most recently used last
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> busy_;
  uint64_t own_failures_ = 0;
  bool ending_ = false;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_CLIENT_SOCKETS_H_
