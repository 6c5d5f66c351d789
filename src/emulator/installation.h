// From a scenario to what a gateway is told: its configuration and discovery's lists, in the platform's
// forms. Pure. The same texts go to virtual and to real gateways.
#ifndef IVYGW_EMULATOR_INSTALLATION_H_
#define IVYGW_EMULATOR_INSTALLATION_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "emulator/discovery_model.h"
#include "eventlog/event_log.h"
#include "scenario/scenario.h"

namespace ivygw::emulator {

struct GatewayAddresses {
  std::string listen = "127.0.0.1:0", discovery = "127.0.0.1:1", counter = "127.0.0.1:1";
};
// `known` is the list as the gateway last had it, in discovery's form.
nlohmann::json GatewayConfig(const scenario::Scenario& scenario, int gateway, uint64_t seed,
                             const GatewayAddresses& addresses, const nlohmann::json& known);

// `address_of`: of a node's number. `epoch_s`: the Unix time of the run's nought.
nlohmann::json DiscoveryList(const DiscoveryNews& news, double epoch_s,
                             const std::function<std::string(int node)>& address_of);

// What the checker needs to know of the run.
eventlog::RunFacts FactsOf(const scenario::Scenario& scenario, uint64_t seed, const std::string& mode);

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_INSTALLATION_H_
