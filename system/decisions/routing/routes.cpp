#include "routing/routes.h"

#include <algorithm>

#include "base/text_hash.h"

namespace ivygw::routing {
namespace {

std::string Lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return out;
}

}  // namespace

config_model::Fault Routes::ApplyItem(const messages::Item& item) {
  auto [table, name_view] = config_model::SplitKey(item.key);
  std::string name(name_view);
  if (table == config_model::kRoutes) {
    config_model::Route route;
    if (!item.dropped) {
      if (config_model::Fault fault = config_model::ReadRoute(item.body, &route); !fault.empty())
        return fault;
    }
    RemoveRoute(name);
    if (item.dropped) return {};
    route.host = Lower(route.host);
    auto added = std::make_shared<const config_model::Route>(std::move(route));
    routes_[name] = added;
    routes_by_host_[added->host][added->prefix][name] = added;
  } else if (table == config_model::kTenants) {
    tenants_seen_ = true;
    config_model::Tenant tenant;
    if (!item.dropped) {
      if (config_model::Fault fault = config_model::ReadTenant(item.body, &tenant); !fault.empty())
        return fault;
    }
    auto old = tenants_.find(name);
    if (old != tenants_.end()) {
      for (const std::string& key : old->second->keys) {
        auto holders = tenants_by_key_.find(key);
        if (holders == tenants_by_key_.end()) continue;
        holders->second.erase(name);
        if (holders->second.empty()) tenants_by_key_.erase(holders);
      }
      tenants_.erase(old);
    }
    if (item.dropped) return {};
    tenant.version = item.version;
    auto added = std::make_shared<const config_model::Tenant>(std::move(tenant));
    tenants_[name] = added;
    for (const std::string& key : added->keys) tenants_by_key_[key][name] = added;
  } else if (table == config_model::kLimits && !item.dropped) {
    return config_model::ReadLimits(item.body, &limits_);
  }
  return {};
}

void Routes::RemoveRoute(const std::string& name) {
  auto old = routes_.find(name);
  if (old == routes_.end()) return;
  auto host = routes_by_host_.find(old->second->host);
  auto prefix = host->second.find(old->second->prefix);
  prefix->second.erase(name);
  if (prefix->second.empty()) host->second.erase(prefix);
  if (host->second.empty()) routes_by_host_.erase(host);
  routes_.erase(old);
}

Routes::Route Routes::Find(std::string_view host, std::string_view path) const {
  size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  auto it = routes_by_host_.find(Lower(host));
  if (it == routes_by_host_.end()) return nullptr;
  path = path.substr(0, std::min(path.find('?'), path.find('#')));
  // Prefixes end with a slash, so one lookup for each slash of the path suffices, the longest prefix first.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    auto prefix = it->second.find(std::string(path.substr(0, slash + 1)));
    if (prefix != it->second.end()) return prefix->second.begin()->second;
  }
  return nullptr;
}

Routes::Tenant Routes::FindTenant(const std::string& key) const {
  auto it = tenants_by_key_.find(key);
  return it == tenants_by_key_.end() ? nullptr : it->second.begin()->second;
}

const std::string& Routes::PickService(const config_model::Route& route, const std::string& id) {
  double total_weight = 0;
  for (const auto& [service, weight] : route.targets) total_weight += weight;
  double point = micadock::Dice(micadock::TextHash(id)).Unit() * total_weight;
  const std::string* last = &route.targets.front().first;
  for (const auto& [service, weight] : route.targets) {
    if (weight <= 0) continue;
    last = &service;
    if (point < weight) return service;
    point -= weight;
  }
  return *last;
}

}  // namespace ivygw::routing
