// Which gateways are alive, as far as one core knows: those connected to it, and those whose connection ended
// less than a lease ago. Pure; one thread.
#ifndef IVYGW_SYSTEM_REGISTRY_GATEWAY_DIRECTORY_H_
#define IVYGW_SYSTEM_REGISTRY_GATEWAY_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/steady_time.h"
#include "messages/control.h"

namespace ivygw::registry {

class GatewayDirectory {
 public:
  // For how long a gateway counts as alive after its last connection has ended.
  static constexpr Duration kLeaseTerm{3};

  void OnConnected(const std::string& node, const std::string& zone) { leases_[node] = {zone, std::nullopt}; }
  // Its last connection here has ended.
  void OnDisconnected(TimePoint now, const std::string& node, const std::string& zone) {
    leases_[node] = {zone, now + kLeaseTerm};
  }

  // The gateways that hold a lease, by name. Drops those whose lease has ended.
  std::vector<messages::GatewayInfo> Alive(TimePoint now) {
    std::erase_if(leases_, [&](const auto& entry) { return entry.second.ends && now >= *entry.second.ends; });
    std::vector<messages::GatewayInfo> alive;
    alive.reserve(leases_.size());
    for (const auto& [node, lease] : leases_) alive.push_back({node, lease.zone});
    return alive;
  }

 private:
  struct Lease {
    std::string zone;
    std::optional<TimePoint> ends;  // none: it is connected
  };
  std::map<std::string, Lease> leases_;
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_GATEWAY_DIRECTORY_H_
