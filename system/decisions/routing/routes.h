// Routing. Which route a request is on, which tenant it is of, which service it goes to. Folded from the
// configuration's items. Pure; one thread.
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

  // An item that can't be read is told as a fault and changes nothing.
  config_model::Fault Fold(const messages::Item& item);

  // Of the routes of that host, the one whose prefix begins the path and is longest. `host` may have a port.
  Route Find(std::string_view host, std::string_view path) const;
  Tenant Owner(const std::string& key) const;
  bool any() const { return !routes_.empty(); }
  bool has_tenants() const { return tenants_seen_; }
  const config_model::Limits& limits() const { return limits_; }

  // A service of the route by weight; the same for the same request's id on every gateway.
  static const std::string& Pick(const config_model::Route& route, const std::string& id);

 private:
  void Unlink(const std::string& name);
  std::map<std::string, Route> routes_;
  // By host, then by prefix, then by name where two are at one place.
  std::unordered_map<std::string, std::map<std::string, std::map<std::string, Route>>> hosts_;
  std::map<std::string, Tenant> tenants_;
  std::unordered_map<std::string, std::map<std::string, Tenant>> keys_;  // holders of each key by name
  config_model::Limits limits_;
  bool tenants_seen_ = false;
};

}  // namespace ivygw::routing

#endif  // IVYGW_SYSTEM_ROUTING_ROUTES_H_
