#include "gateway/core_settings.h"

#include <algorithm>

namespace ivygw {

namespace {

// Descriptors that are neither a client's nor a backend's: log, epoll, timer, listener, counter, discovery.
constexpr int kOwnSockets = 48;
constexpr double kClientShare = 0.6;  // of the rest

// Bounded by both limits: what a client's exchange takes at most beside the bodies' budget, which shrinks as
// it is used: a body that is held until it is whole, heads, and the copies that are on their way.
constexpr double kOwnMb = 8, kExchangeMb = 1.5 * (kMaxBody + kMaxHeader) / (1 << 20);
constexpr double kBodyShare = 0.5;  // of what the program itself leaves

}  // namespace

size_t BodyBudget(const Config& config) {
  double mb = std::max(2.0, (config.memory_mb - kOwnMb) * kBodyShare);
  if (config.listen_fd) mb /= 2;  // two processes may be one gateway
  return static_cast<size_t>(mb * (1 << 20));
}

size_t MostClients(const Config& config) {
  double by_sockets = (config.sockets - kOwnSockets) * kClientShare;
  double by_memory = (config.memory_mb - kOwnMb) * (1 - kBodyShare) / kExchangeMb;
  return static_cast<size_t>(std::max(1.0, std::min(by_sockets, by_memory)));
}

core::CoreSettings CoreSettingsOf(const Config& config) {
  core::CoreSettings settings;
  settings.policy = config.settings;
  settings.connections.idle_timeout_s = config.site.conn_idle_s;
  settings.connections.connect_timeout_s = config.site.connect_timeout_s;
  settings.connections.drain_grace_s = config.site.drain_grace_s;
  settings.connections.max_connections =
      static_cast<size_t>(std::max(1.0, (config.sockets - kOwnSockets) * (1 - kClientShare)));
  settings.seed = config.seed;
  settings.has_counter = config.has_counter;
  return settings;
}

core::RequestArrived ArrivalOf(const ClientCall& call, uint64_t client) {
  core::RequestArrived arrival;
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
