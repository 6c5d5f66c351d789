// Routing: the route and service of a request and the tenant of an API key, derived from the configuration's
// items. Pure; one thread.
#ifndef IVYGW_SYSTEM_ROUTING_ROUTES_H_
#define IVYGW_SYSTEM_ROUTING_ROUTES_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config_model/model.h"
#include "messages/control.h"

namespace ivygw::routing {

class Routes {
 public:
  using Route = std::shared_ptr<const config_model::Route>;
  using Tenant = std::shared_ptr<const config_model::Tenant>;

  // Returns a fault and changes nothing if the item is invalid.
  config_model::Fault ApplyItem(const messages::Item& item);

  // Returns the host's route with the longest prefix that matches the path; null if there is none. `host` may
  // include a port.
  Route Find(std::string_view host, std::string_view path) const;
  Tenant FindTenant(const std::string& key) const;
  bool has_routes() const { return !routes_.empty(); }
  bool has_tenants() const { return tenants_seen_; }
  const config_model::Limits& limits() const { return limits_; }

  // Picks a service of the route by weight. Every gateway picks the same one for the same request id.
  static const std::string& PickService(const config_model::Route& route, const std::string& id);

 private:
  void RemoveRoute(const std::string& name);
  std::map<std::string, Route> routes_;
  // By host, then by prefix, then by name, as routes may share a host and prefix.
  std::unordered_map<std::string, std::map<std::string, std::map<std::string, Route>>> routes_by_host_;
  std::map<std::string, Tenant> tenants_;
  std::unordered_map<std::string, std::map<std::string, Tenant>>
      tenants_by_key_;  // by API key, then by tenant name
  config_model::Limits limits_;
  bool tenants_seen_ = false;
};

}  // namespace ivygw::routing

#endif  // IVYGW_SYSTEM_ROUTING_ROUTES_H_
