// Plays a scenario on real sockets: real `ivygw` processes among stand-ins that run in this process, on
// loopback addresses and ephemeral ports alone.
#ifndef IVYGW_REHEARSAL_SOCKET_RUN_H_
#define IVYGW_REHEARSAL_SOCKET_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "eventlog/event_log.h"
#include "rehearsal/virtual_run.h"
#include "scenario/scenario.h"

namespace ivygw::rehearsal {

struct SocketOptions {
  std::string program;    // the gateway's
  std::string directory;  // for configurations and logs; is there
  double lead_s = 2;      // for the gateways to get ready in, before the first arrival
};

struct GatewayUse {
  int gateway = 0;
  double cpu_s = 0;
  long peak_kb = 0;
};

struct SocketRun {
  eventlog::Record record;
  std::vector<GatewayUse> use;  // of each process that ended by itself
  bool interrupted = false;     // by SIGINT or SIGTERM: everything was ended, the record goes up to there
  double own_cpu_s = 0;         // of this process, over the run
  size_t most_descriptors = 0;
  uint64_t own_failures = 0;  // requests not sent for want of descriptors here: the run is void
};

// Throws std::runtime_error where a gateway can't be started or does not get ready, or where this process may
// not have the descriptors that the scenario needs at the least. Leaves no process behind.
SocketRun PlaySockets(const scenario::Scenario& scenario, uint64_t seed, const SocketOptions& options,
                      const OnProgress& on_progress = {});

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_SOCKET_RUN_H_
