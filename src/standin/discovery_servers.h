// Discovery's agents on sockets, one for each gateway: the whole list, and watches.
#ifndef IVYGW_STANDIN_DISCOVERY_SERVERS_H_
#define IVYGW_STANDIN_DISCOVERY_SERVERS_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/world.h"
#include "standin/asio_scheduler.h"
#include "standin/http_peer.h"
#include "standin/listener.h"

namespace ivygw::standin {

class DiscoveryServers {
 public:
  // `address_of(node, gateway)` as that gateway is to see it; `epoch_s`: Unix time of the run's nought.
  using AddressOf = std::function<std::string(int node, int gateway)>;
  DiscoveryServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world, int gateways,
                   double epoch_s, AddressOf address_of);
  ~DiscoveryServers();

  std::string Address(int gateway) const { return listeners_[static_cast<size_t>(gateway)]->address(); }
  void Changed();  // what waits is looked at again

 private:
  struct Waiting {
    std::weak_ptr<HttpPeer> peer;
    int gateway = 0;
    bool whole = true;
    uint64_t after = 0;
    double until = 0;
  };
  void OnRequest(HttpPeer& peer, int gateway, const ServerRequest& request);
  // True if it has been answered, or its peer has gone.
  bool Try(const Waiting& waiting);
  void Look();

  AsioScheduler* scheduler_;
  emulator::World* world_;
  const double epoch_s_;
  AddressOf address_of_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<HttpPeer*, std::shared_ptr<HttpPeer>> peers_;
  std::list<Waiting> waiting_;
  uint64_t look_ = 0;
  bool ending_ = false;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_DISCOVERY_SERVERS_H_
