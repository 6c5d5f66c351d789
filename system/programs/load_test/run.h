// Load tests of control. Hollow gateways, backends and tenants in one process, which speak the
// real messages over loopback with real cores that it starts and ends. One thread. Bounded in number and
// time.
#ifndef IVYGW_SYSTEM_LOAD_TEST_RUN_H_
#define IVYGW_SYSTEM_LOAD_TEST_RUN_H_

#include <string>
#include <vector>

namespace ivygw::load_test {

struct Plan {
  int cores = 3, gateways = 100, backends = 300, services = 20, routes = 100, tenants = 100;
  int active = 8;                                  // tenants that have traffic at each gateway
  double changes_per_s = 0.2, restarts_per_s = 0;  // of routes; of gateways
  double beat_s = 1.5, report_s = 0.25, seconds = 10;
  uint64_t seed = 1;
  int first_port = 21000;
  std::string programs;  // folder of ivygw-registry and ivygw-config-store
  std::string folder;    // for settings and disks
};
// Empty, or what is wrong, with the field.
std::string Check(const Plan& plan);

struct Role {
  double cores = 0;      // processor, of the busiest process of the role, while the load stood
  double memory_mb = 0;  // resident, most
};
struct Result {
  std::string failed;  // empty: it was played
  Role registry, store;
  double gateway_in = 0, gateway_out = 0;    // bytes a second, each gateway
  double list_kb = 0;                        // a gateway's lists at its start
  double ready_s = 0;                        // until all gateways had a majority's lists
  double change_ms = 0, change_most_ms = 0;  // from a change's call to the last gateway's copy: median, most
  double ack_ms = 0;                         // from a change's call to its 200: median
  uint64_t changes = 0, beats = 0, beats_failed = 0;
  double tool_cores = 0;
};
Result Run(const Plan& plan);
std::string Line(const Plan& plan, const Result& result);  // JSON

}  // namespace ivygw::load_test

#endif  // IVYGW_SYSTEM_LOAD_TEST_RUN_H_
