// The proxy's running code (exchanges, links, server of clients) in a test's event loop, with a configuration
// and backends that stand from the start.
#ifndef IVYGW_TESTS_SYSTEM_PROXY_RIG_H_
#define IVYGW_TESTS_SYSTEM_PROXY_RIG_H_

#include <string>
#include <utility>
#include <vector>

#include "config_model/model.h"
#include "proxy/exchanges.h"

namespace ivygw {

inline tcp::endpoint Loopback() { return {asio::ip::address_v4::loopback(), 0}; }

struct ProxyRig {
  // `configuration`: a call's JSON. The backends, at these addresses, are of the service "s".
  ProxyRig(asio::io_context& io, bodies::BodyMemory* memory, uint64_t seed, const char* configuration,
           const std::vector<std::string>& addresses, int slots)
      : admission(rate_limit::AdmissionOptions{}),
        pool(seed, "z"),
        budget(1, 10, 1000),
        exchanges(io, memory, &routes, &admission, &pool, &budget, &drain),
        front(io, 100, memory,
              {[this](uint64_t client, ClientMessage message) {
                 exchanges.OnRequest(client, std::move(message));
               },
               [this](uint64_t client, bool held) { exchanges.OnClientClosed(client, held); },
               [this](uint64_t client, std::string bytes, bool last) {
                 exchanges.OnClientBody(client, std::move(bytes), last);
               },
               [this](uint64_t client) { exchanges.OnClientDrained(client); }}) {
    config_model::Change change;
    config_model::ReadChange(configuration, &change);
    for (const auto& item : change.items) routes.ApplyItem(item);
    for (size_t i = 0; i < addresses.size(); ++i) {
      discovery::Backend backend;
      backend.service = "s";
      backend.address = addresses[i];
      backend.zone = "z";
      backend.slot_count = slots;
      pool.ApplyItem(0, {"backend/b" + std::to_string(i), 1, false, discovery::FormatBackend(backend)});
    }
    exchanges.Serve(&front);
    exchanges.Open(true);
    front.Listen(Loopback());
  }
  routing::Routes routes;
  rate_limit::Admission admission;
  load_balancing::Pool pool;
  load_balancing::RetryBudget budget;
  drain::DrainManager drain{drain::DrainSchedule::ForGrace(6)};
  proxy::Exchanges exchanges;
  ClientServer front;
};

}  // namespace ivygw

#endif  // IVYGW_TESTS_SYSTEM_PROXY_RIG_H_
