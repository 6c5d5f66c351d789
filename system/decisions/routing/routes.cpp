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

config_model::Fault Routes::Fold(const messages::Item& item) {
  auto [table, name_view] = config_model::SplitKey(item.key);
  std::string name(name_view);
  if (table == config_model::kRoutes) {
    config_model::Route route;
    if (!item.dropped) {
      if (config_model::Fault fault = config_model::ReadRoute(item.body, &route); !fault.empty())
        return fault;
    }
    Unlink(name);
    if (item.dropped) return {};
    route.host = Lower(route.host);
    auto made = std::make_shared<const config_model::Route>(std::move(route));
    routes_[name] = made;
    hosts_[made->host][made->prefix][name] = made;
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
        auto held = keys_.find(key);
        if (held == keys_.end()) continue;
        held->second.erase(name);
        if (held->second.empty()) keys_.erase(held);
      }
      tenants_.erase(old);
    }
    if (item.dropped) return {};
    tenant.version = item.version;
    auto made = std::make_shared<const config_model::Tenant>(std::move(tenant));
    tenants_[name] = made;
    for (const std::string& key : made->keys) keys_[key][name] = made;
  } else if (table == config_model::kLimits && !item.dropped) {
    return config_model::ReadLimits(item.body, &limits_);
  }
  return {};
}

void Routes::Unlink(const std::string& name) {
  auto old = routes_.find(name);
  if (old == routes_.end()) return;
  auto host = hosts_.find(old->second->host);
  auto place = host->second.find(old->second->prefix);
  place->second.erase(name);
  if (place->second.empty()) host->second.erase(place);
  if (host->second.empty()) hosts_.erase(host);
  routes_.erase(old);
}

Routes::Route Routes::Find(std::string_view host, std::string_view path) const {
  size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  auto it = hosts_.find(Lower(host));
  if (it == hosts_.end()) return nullptr;
  path = path.substr(0, std::min(path.find('?'), path.find('#')));
  // Prefixes end with a slash: one look for each of the path's, the longest first.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    auto place = it->second.find(std::string(path.substr(0, slash + 1)));
    if (place != it->second.end()) return place->second.begin()->second;
  }
  return nullptr;
}

Routes::Tenant Routes::Owner(const std::string& key) const {
  auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : it->second.begin()->second;
}

const std::string& Routes::Pick(const config_model::Route& route, const std::string& id) {
  double sum = 0;
  for (const auto& [service, weight] : route.targets) sum += weight;
  double at = micadock::Dice(micadock::TextHash(id)).Unit() * sum;
  const std::string* last = &route.targets.front().first;
  for (const auto& [service, weight] : route.targets) {
    if (weight <= 0) continue;
    last = &service;
    if (at < weight) return service;
    at -= weight;
  }
  return *last;
}

}  // namespace ivygw::routing
