// Runs the NodeAgent of one gateway on an event loop, with the shared engine that is configured. Not
// thread-safe.
#ifndef IVYGW_FLEET_NODE_H_
#define IVYGW_FLEET_NODE_H_

#include <memory>

#include "gateway/fleet_port.h"

namespace ivygw::fleet {

// `config` must have a section `fleet`.
std::unique_ptr<FleetPort> MakeNode(asio::io_context& io, const Config& config, FleetEvents events);

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_NODE_H_
