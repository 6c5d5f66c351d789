// The configuration. Its items as values, read from JSON by simdjson and checked. Pure.
#ifndef IVYGW_SYSTEM_CONFIG_MODEL_MODEL_H_
#define IVYGW_SYSTEM_CONFIG_MODEL_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "messages/control.h"

namespace ivygw::config_model {

// What went wrong, for an operator's eyes: empty where nothing did. Outcomes are values here.
using Fault = std::string;

struct Route {
  std::string name, host, prefix;
  bool idempotent = false, open = false;  // open: public_access, no key wanted
  int timeout_ms = 0, target_latency_ms = 0, priority = 0, max_attempts = 1;
  std::vector<std::pair<std::string, double>> targets;  // services by weight; one at least
};
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  double rate_per_s = 0, burst = 0;  // requests; a rate of 0: no limit
  uint64_t version = 0;              // of its item, where that is known
};
struct Service {
  std::string name, health_path;
  int max_connections = 0;
};
struct Limits {
  uint64_t max_header_bytes = 16384, max_body_bytes = 67108864;
  int header_timeout_ms = 3000, idle_timeout_ms = 15000;
};

inline constexpr std::string_view kRoutes = "route_table", kTenants = "tenant_table",
                                  kServices = "service_table", kLimits = "limits";
// The key under which an item of a table is replicated.
std::string KeyOf(std::string_view table, std::string_view name);
// Its table, and its name.
std::pair<std::string_view, std::string_view> SplitKey(std::string_view key);

// Each reads the JSON of one item; a fault names the field.
Fault ReadRoute(const std::string& json, Route* out);
Fault ReadTenant(const std::string& json, Tenant* out);
Fault ReadService(const std::string& json, Service* out);
Fault ReadLimits(const std::string& json, Limits* out);

// A call of configuration.modify: its items, those to be removed among them as dropped ones.
struct Change {
  std::vector<messages::Item> items;
};
// The whole call is read before anything of it counts.
Fault ReadChange(const std::string& json, Change* out);

// What a check of a change needs to know of all that stands, kept up item by item.
class Index {
 public:
  void Fold(const messages::Item& item);  // the newest of its key
  void Erase(const std::string& key);     // nothing stands under it any more
  // Of a tenant's key, the tenants that hold it; whether there is such a service.
  const std::set<std::string>* Holders(const std::string& api_key) const;
  bool Service(const std::string& name) const { return services_.count(name) > 0; }
  uint64_t VersionOf(const std::string& key) const;

 private:
  std::set<std::string> services_;
  std::map<std::string, std::set<std::string>> holders_;
  std::map<std::string, std::vector<std::string>> keys_;  // by tenant
  std::map<std::string, uint64_t> versions_;
};

// Whether a change may be taken on top of what stands: routes name services that are there, no two tenants
// share a key.
Fault CheckChange(const Change& change, const Index& standing);

// The answer to configuration.show.
std::string WriteAll(const std::vector<messages::Item>& items);

}  // namespace ivygw::config_model

#endif  // IVYGW_SYSTEM_CONFIG_MODEL_MODEL_H_
