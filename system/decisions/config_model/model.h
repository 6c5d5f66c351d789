// The configuration model: items as values, parsed from JSON with simdjson and validated. Pure.
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

// An error message for the operator; empty if there is none.
using Fault = std::string;

struct Route {
  std::string name, host, prefix;
  bool idempotent = false, open = false;  // open: public_access, no API key required
  int timeout_ms = 0, target_latency_ms = 0, priority = 0, max_attempts = 1;
  std::vector<std::pair<std::string, double>> targets;  // services with their weights; at least one
};
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  double rate_per_s = 0, burst = 0;  // in requests; a rate of 0 means no limit
  uint64_t version = 0;              // of the tenant's item; 0: not known
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
// Returns the key under which an item of a table is replicated.
std::string KeyOf(std::string_view table, std::string_view name);
// Splits a key into table and name.
std::pair<std::string_view, std::string_view> SplitKey(std::string_view key);

// Each parses the JSON of one item. A fault names the field.
Fault ReadRoute(const std::string& json, Route* out);
Fault ReadTenant(const std::string& json, Tenant* out);
Fault ReadService(const std::string& json, Service* out);
Fault ReadLimits(const std::string& json, Limits* out);

// A call of configuration.modify. Items to be removed are marked as dropped.
struct Change {
  std::vector<messages::Item> items;
};
// Parses a whole call. If any part of it is invalid, returns a fault and the call must not be applied.
Fault ReadChange(const std::string& json, Change* out);

// An index of the committed configuration for validating changes, updated item by item.
class Index {
 public:
  // Replaces what the index holds for the item's key. REQUIRES: `item` is the latest version of its key.
  void ApplyItem(const messages::Item& item);
  // Removes what the index holds for the key. To be called when the key is removed from the table.
  void Erase(const std::string& key);
  // Returns the tenants that have this API key; null if there are none.
  const std::set<std::string>* Holders(const std::string& api_key) const;
  bool Service(const std::string& name) const { return services_.count(name) > 0; }
  // Returns the version of the key's item; 0 if there is none.
  uint64_t VersionOf(const std::string& key) const;

 private:
  std::set<std::string> services_;
  std::map<std::string, std::set<std::string>> tenants_by_key_;
  std::map<std::string, std::vector<std::string>> keys_by_tenant_;
  std::map<std::string, uint64_t> versions_;
};

// Returns a fault if the change is not valid with the committed configuration: routes must name existing
// services, and no two tenants may share an API key.
Fault CheckChange(const Change& change, const Index& committed);

// Formats the answer to configuration.show.
std::string WriteAll(const std::vector<messages::Item>& items);

}  // namespace ivygw::config_model

#endif  // IVYGW_SYSTEM_CONFIG_MODEL_MODEL_H_
