// The emulated nodes on sockets: a listener for each address and gateway, so that it is known who sends.
#ifndef IVYGW_STANDIN_BACKEND_SERVERS_H_
#define IVYGW_STANDIN_BACKEND_SERVERS_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/clients.h"
#include "emulator/world.h"
#include "standin/asio_scheduler.h"
#include "standin/http_peer.h"
#include "standin/listener.h"

namespace ivygw::standin {

class BackendServers {
 public:
  BackendServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world,
                 const emulator::Clients* clients, int gateways);
  ~BackendServers();

  std::string Address(int address, int gateway) const;
  void Down(int address);
  void Silent(int address);
  void Up(int address);
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::shared_ptr<HttpPeer> peer;
    int address = 0, gateway = 0, node = -1;
    uint64_t attempt = 0;  // the one that is out; 0: none
  };
  void Taken(int address, int gateway, tcp::socket socket);
  void OnRequest(HttpPeer& peer, const ServerRequest& request, Clock::time_point first_byte);
  void Answer(HttpPeer* peer, uint64_t request, emulator::ReplyKind kind, uint64_t token);
  std::unique_ptr<Listener>& At(int address, int gateway) {
    return listeners_[static_cast<size_t>(address) * static_cast<size_t>(gateways_) +
                      static_cast<size_t>(gateway)];
  }

  asio::io_context& io_;
  AsioScheduler* scheduler_;
  emulator::World* world_;
  const emulator::Clients* clients_;
  const int gateways_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<HttpPeer*, Connection> connections_;
  bool ending_ = false;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_BACKEND_SERVERS_H_
