#include "config_model/model.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "config_model/json.h"

namespace ivygw::config_model {
namespace {

namespace dom = simdjson::dom;

Fault ReadVersion(const Object& item, uint64_t* out) {
  std::string text;
  if (Fault fault = item.Get("config_version", &text); !fault.empty()) return fault;
  auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), *out, 16);
  if (text.size() != 8 || bad != std::errc() || end != text.data() + text.size()) {
    return item.Name("config_version") + ": eight hexadecimal digits are wanted";
  }
  return {};
}

Fault ReadRoute(const Object& item, Route* out) {
  std::string type;
  Fault fault;
  if (!(fault = item.Get("name", &out->name)).empty()) return fault;
  if (!(fault = item.Get("host_name", &out->host)).empty()) return fault;
  if (!(fault = item.Get("path_prefix", &out->prefix)).empty()) return fault;
  if (!(fault = item.Get("route_type", &type)).empty()) return fault;
  if (!(fault = item.Get("timeout_ms", &out->timeout_ms)).empty()) return fault;
  if (!(fault = item.Get("target_latency_ms", &out->target_latency_ms, false)).empty()) return fault;
  if (!(fault = item.Get("priority", &out->priority, false)).empty()) return fault;
  if (!(fault = item.Get("max_attempts", &out->max_attempts, false)).empty()) return fault;
  if (!(fault = item.Get("public_access", &out->open, false)).empty()) return fault;
  if (out->name.empty()) return item.Name("name") + ": must not be empty";
  if (out->host.empty()) return item.Name("host_name") + ": must not be empty";
  if (out->prefix.empty() || out->prefix.front() != '/')
    return item.Name("path_prefix") + ": must begin with a slash";
  if (out->prefix.back() != '/') return item.Name("path_prefix") + ": must end with a slash";
  if (type != "idempotent" && type != "non_idempotent")
    return item.Name("route_type") + ": idempotent or non_idempotent";
  out->idempotent = type == "idempotent";
  if (out->timeout_ms <= 0) return item.Name("timeout_ms") + ": must be over 0";
  if (out->max_attempts < 1) return item.Name("max_attempts") + ": must be 1 or more";
  std::string target;
  if (!(fault = item.Get("target_service", &target, false)).empty()) return fault;
  if (!target.empty()) out->targets.push_back({target, 1});
  double total_weight = target.empty() ? 0 : 1;
  fault = item.Each("traffic_split", false, [&](const Object& part) -> Fault {
    std::string service;
    double weight = 0;
    Fault bad;
    if (!(bad = part.Get("target_service", &service)).empty()) return bad;
    if (!(bad = part.Get("weight", &weight)).empty()) return bad;
    if (!(weight >= 0) || !std::isfinite(weight)) return part.Name("weight") + ": must not be below 0";
    total_weight += weight;
    out->targets.push_back({service, weight});
    return {};
  });
  if (!fault.empty()) return fault;
  if (out->targets.empty()) return item.Name("target_service") + ": missing, and there is no traffic_split";
  if (!(total_weight > 0)) return item.Name("traffic_split") + ": no weight is over 0";
  return {};
}

Fault ReadTenant(const Object& item, Tenant* out) {
  Fault fault;
  int priority = -1;
  if (!(fault = item.Get("name", &out->name)).empty()) return fault;
  if (out->name.empty()) return item.Name("name") + ": must not be empty";
  if (!(fault = item.Strings("api_keys", &out->keys)).empty()) return fault;
  if (!(fault = item.Get("priority", &priority, false)).empty()) return fault;
  if (priority >= 0) out->priority = priority;
  if (!(fault = item.Get("rate_per_s", &out->rate_per_s, false)).empty()) return fault;
  if (!(fault = item.Get("burst_size", &out->burst, false)).empty()) return fault;
  if (!(out->rate_per_s >= 0)) return item.Name("rate_per_s") + ": must not be below 0";
  if (!(out->burst >= 0)) return item.Name("burst_size") + ": must not be below 0";
  return {};
}

Fault ReadService(const Object& item, Service* out) {
  Fault fault;
  if (!(fault = item.Get("name", &out->name)).empty()) return fault;
  if (out->name.empty()) return item.Name("name") + ": must not be empty";
  if (!(fault = item.Get("health_path", &out->health_path, false)).empty()) return fault;
  return item.Get("max_connections", &out->max_connections, false);
}

Fault ReadLimits(const Object& item, Limits* out) {
  Fault fault;
  auto number = [&](const char* name, auto* to) {
    double value = static_cast<double>(*to);
    if (fault.empty()) fault = item.Get(name, &value, false);
    if (fault.empty() && !(value > 0)) fault = item.Name(name) + ": must be over 0";
    if (fault.empty()) *to = static_cast<std::remove_pointer_t<decltype(to)>>(value);
  };
  number("max_header_bytes", &out->max_header_bytes);
  number("max_body_bytes", &out->max_body_bytes);
  number("header_timeout_ms", &out->header_timeout_ms);
  number("idle_timeout_ms", &out->idle_timeout_ms);
  return fault;
}

template <typename T>
Fault ParseItem(const std::string& json, T* out, Fault (*read)(const Object&, T*)) {
  Document document;
  Object root;
  if (Fault fault = document.Read(json, &root); !fault.empty()) return fault;
  *out = T();
  return read(root, out);
}

// Validates an item of the table.
Fault CheckItem(std::string_view table, const Object& item) {
  if (table == kRoutes) {
    Route route;
    return ReadRoute(item, &route);
  }
  if (table == kTenants) {
    Tenant tenant;
    return ReadTenant(item, &tenant);
  }
  if (table == kServices) {
    Service service;
    return ReadService(item, &service);
  }
  Limits limits;
  return ReadLimits(item, &limits);
}

}  // namespace

std::string KeyOf(std::string_view table, std::string_view name) {
  if (table == kLimits) return std::string(kLimits);
  return std::string(table) + "/" + std::string(name);
}
std::pair<std::string_view, std::string_view> SplitKey(std::string_view key) {
  size_t slash = key.find('/');
  if (slash == std::string_view::npos) return {key, {}};
  return {key.substr(0, slash), key.substr(slash + 1)};
}

Fault ReadRoute(const std::string& json, Route* out) { return ParseItem(json, out, ReadRoute); }
Fault ReadTenant(const std::string& json, Tenant* out) { return ParseItem(json, out, ReadTenant); }
Fault ReadService(const std::string& json, Service* out) { return ParseItem(json, out, ReadService); }
Fault ReadLimits(const std::string& json, Limits* out) { return ParseItem(json, out, ReadLimits); }

Fault ReadChange(const std::string& json, Change* out) {
  Document document;
  Object root;
  if (Fault fault = document.Read(json, &root); !fault.empty()) return fault;
  std::map<std::string, size_t> seen;
  auto add_item = [&](std::string_view table, const Object& item, bool dropped) -> Fault {
    messages::Item parsed;
    std::string name;
    Fault fault;
    if (table != kLimits && !(fault = item.Get("name", &name)).empty()) return fault;
    if (table != kLimits && name.empty()) return item.Name("name") + ": must not be empty";
    if (!(fault = ReadVersion(item, &parsed.version)).empty()) return fault;
    if (!dropped && !(fault = CheckItem(table, item)).empty()) return fault;
    parsed.key = KeyOf(table, name);
    parsed.dropped = dropped;
    if (!dropped) parsed.body = item.Text();
    // A call may set or remove the same key more than once. The item with the highest version wins.
    auto [at, inserted] = seen.try_emplace(parsed.key, out->items.size());
    if (inserted) {
      out->items.push_back(std::move(parsed));
    } else if (parsed.version > out->items[at->second].version) {
      out->items[at->second] = std::move(parsed);
    }
    return {};
  };
  bool any = false;
  for (bool dropped : {false, true}) {
    Object part;
    const char* name = dropped ? "remove_items" : "upsert_items";
    bool present = false;
    if (Fault fault = root.Sub(name, &part, &present); !fault.empty()) return fault;
    if (!present) continue;
    any = true;
    for (std::string_view table : {kRoutes, kTenants, kServices, kLimits}) {
      if (table == kLimits) {
        Object limits;
        bool has_limits = false;
        if (Fault fault = part.Sub("limits", &limits, &has_limits); !fault.empty()) return fault;
        if (has_limits) {
          if (Fault fault = add_item(table, limits, dropped); !fault.empty()) return fault;
        }
        continue;
      }
      Fault fault = part.Each(std::string(table).c_str(), false,
                              [&](const Object& item) { return add_item(table, item, dropped); });
      if (!fault.empty()) return fault;
    }
    if (Fault fault = part.Only({kRoutes, kTenants, kServices, kLimits}); !fault.empty()) return fault;
  }
  if (!any) return "upsert_items: missing, and there are no remove_items";
  return {};
}

void Index::ApplyItem(const messages::Item& item) {
  versions_[item.key] = item.version;
  auto [table, name_view] = SplitKey(item.key);
  std::string name(name_view);
  if (table == kServices) {
    if (item.dropped) {
      services_.erase(name);
    } else {
      services_.insert(name);
    }
  }
  if (table != kTenants) return;
  for (const std::string& key : keys_by_tenant_[name]) {
    auto it = tenants_by_key_.find(key);
    it->second.erase(name);
    if (it->second.empty()) tenants_by_key_.erase(it);
  }
  keys_by_tenant_.erase(name);
  Tenant tenant;
  if (item.dropped || !ReadTenant(item.body, &tenant).empty()) return;
  for (const std::string& key : tenant.keys) tenants_by_key_[key].insert(name);
  keys_by_tenant_[name] = std::move(tenant.keys);
  std::sort(keys_by_tenant_[name].begin(), keys_by_tenant_[name].end());
  keys_by_tenant_[name].erase(std::unique(keys_by_tenant_[name].begin(), keys_by_tenant_[name].end()),
                              keys_by_tenant_[name].end());
}

void Index::Erase(const std::string& key) {
  ApplyItem({key, 0, true, ""});
  versions_.erase(key);
}

const std::set<std::string>* Index::Holders(const std::string& api_key) const {
  auto it = tenants_by_key_.find(api_key);
  return it == tenants_by_key_.end() ? nullptr : &it->second;
}

uint64_t Index::VersionOf(const std::string& key) const {
  auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

Fault CheckChange(const Change& change, const Index& committed) {
  // Items that do not replace a committed one, because their version is too low, are checked as well: a call
  // is valid as a whole or not at all.
  std::map<std::string, const messages::Item*> winning;  // items of the call that replace committed ones
  std::set<std::string_view> services, dropped;
  for (const messages::Item& item : change.items) {
    auto [table, name] = SplitKey(item.key);
    bool wins = item.version > committed.VersionOf(item.key);
    if (wins) winning[item.key] = &item;
    if (table == kServices && wins) (item.dropped ? dropped : services).insert(name);
  }
  std::map<std::string, std::string> owner;  // first tenant of the call that has the API key, by API key
  for (const messages::Item& item : change.items) {
    if (item.dropped) continue;
    auto [table, name] = SplitKey(item.key);
    if (table == kTenants) {
      Tenant tenant;
      ReadTenant(item.body, &tenant);
      auto shared_key_fault = [&](const std::string& other) {
        return "tenant_table: api_keys: " + tenant.name + " and " + other + " share a key";
      };
      for (const std::string& api_key : tenant.keys) {
        auto [at, inserted] = owner.try_emplace(api_key, tenant.name);
        if (!inserted && at->second != tenant.name) return shared_key_fault(at->second);
        const std::set<std::string>* holders = committed.Holders(api_key);
        for (const std::string& holder : holders ? *holders : std::set<std::string>()) {
          // A holder that the call also replaces or removes does not conflict by its old keys. Its new keys
          // are checked as part of the call.
          if (holder != tenant.name && !winning.count(KeyOf(kTenants, holder)))
            return shared_key_fault(holder);
        }
      }
    }
    if (table != kRoutes) continue;
    Route route;
    ReadRoute(item.body, &route);
    for (const auto& [service, weight] : route.targets) {
      if (services.count(service) || (committed.Service(service) && !dropped.count(service))) continue;
      return "route_table: " + route.name + ": target_service: " + service + " is no service";
    }
  }
  return {};
}

std::string WriteAll(const std::vector<messages::Item>& items) {
  std::map<std::string_view, std::string> tables;
  for (std::string_view table : {kRoutes, kTenants, kServices}) tables[table];
  std::string limits;
  for (const messages::Item& item : items) {
    if (item.dropped) continue;
    auto [table, name] = SplitKey(item.key);
    if (table == kLimits) {
      limits = item.body;
      continue;
    }
    std::string& list = tables[table];
    if (!list.empty()) list += ',';
    list += item.body;
  }
  std::string out = "{";
  for (const auto& [table, list] : tables)
    out.append("\"").append(table).append("\":[").append(list).append("],");
  if (limits.empty()) {
    out.pop_back();
  } else {
    out += "\"limits\":" + limits;
  }
  return out += "}";
}

}  // namespace ivygw::config_model
