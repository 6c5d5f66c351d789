#include "gateway/core_settings.h"

#include <algorithm>

namespace ivygw {

namespace {

// Descriptors that are neither a client's nor a backend's: log, epoll, timer, listener, counter, discovery.
constexpr int kOwnSockets = 48;
constexpr double kClientShare = 0.6;  // of the rest

// Bounded by both limits: what a client's exchange may keep in memory at most is its body, the copy that goes
// to a backend, and the answer.
constexpr double kOwnMb = 8, kExchangeMb = 3.0 * (kMaxBody + kMaxHeader) / (1 << 20);

}  // namespace

size_t MostClients(const Config& config) {
  double by_sockets = (config.sockets - kOwnSockets) * kClientShare;
  double by_memory = (config.memory_mb - kOwnMb) / kExchangeMb;
  return static_cast<size_t>(std::max(1.0, std::min(by_sockets, by_memory)));
}

core::CoreSettings CoreSettingsOf(const Config& config) {
  core::CoreSettings settings;
  settings.module = config.settings;
  settings.connections.idle_s = config.site.conn_idle_s;
  settings.connections.connect_timeout_s = config.site.connect_timeout_s;
  settings.connections.drain_grace_s = config.site.drain_grace_s;
  settings.connections.most = static_cast<size_t>(std::max(1.0, (config.sockets - kOwnSockets) * (1 - kClientShare)));
  settings.seed = config.seed;
  settings.has_counter = config.has_counter;
  return settings;
}

core::Arrival ArrivalOf(const ClientCall& call, uint64_t client) {
  core::Arrival arrival;
  arrival.client = client;
  arrival.id = std::string(call.id);
  arrival.cls = call.request.cls;
  arrival.plan = call.request.plan;
  arrival.customer = call.request.customer;
  arrival.units = call.request.units;
  arrival.entries = call.request.entries;
  arrival.timeout_s = call.timeout_s;
  return arrival;
}

}  // namespace ivygw
