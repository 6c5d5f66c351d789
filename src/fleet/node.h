// One gateway of a fleet on its event loop: the engine, its membership and its ledger of works, driven by
// sockets and timers. Keeps no book of its own. One thread.
#ifndef IVYGW_FLEET_NODE_H_
#define IVYGW_FLEET_NODE_H_

#include <memory>

#include "gateway/fleet_port.h"

namespace ivygw::fleet {

// The configuration has a section `fleet`.
std::unique_ptr<FleetPort> MakeNode(asio::io_context& io, const Config& config, FleetEvents events);

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_NODE_H_
