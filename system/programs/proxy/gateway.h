// The proxy. One gateway of the whole system. It serves clients by what the cores have told it, and goes on
// with what it knows when they are silent. One thread, one event loop.
#ifndef IVYGW_SYSTEM_PROXY_GATEWAY_H_
#define IVYGW_SYSTEM_PROXY_GATEWAY_H_

#include <functional>
#include <memory>

#include "control_client/core_connections.h"
#include "discovery/table_cache.h"
#include "drain/drain_manager.h"
#include "process/settings.h"
#include "proxy/exchanges.h"
#include "rate_limit/admission.h"

namespace ivygw::proxy {

class Gateway {
 public:
  // Throws boost::system::system_error where it can't listen.
  Gateway(asio::io_context& io, const process::Settings& settings, std::function<void()> ended);

  // On SIGTERM: no longer ready, then closing connections, then refusing what is new; `ended` once nothing is
  // held, or the grace is nearly over.
  void Stop();

 private:
  double Now() const;
  void OnUpdate();  // folds what came, and looks whether it is ready
  void Tick();
  void ReportTo(const std::string& core, bool all, bool draw);
  void RequestTokens();  // from the next lender's pool, for tenants whose buckets have run low
  bool ready() const { return open_ && !drain_.begun(); }
  bool DrainOnTime();

  asio::io_context& io_;
  const process::Settings settings_;
  std::function<void()> ended_;
  bodies::BodyMemory memory_;
  discovery::Journal<discovery::ItemChange> journal_;
  discovery::TableCache configuration_, backends_;
  routing::Routes routes_;
  rate_limit::Admission admission_;
  load_balancing::Pool pool_;
  load_balancing::RetryBudget budget_;
  drain::DrainManager drain_;
  Exchanges exchanges_;
  std::unique_ptr<ClientServer> front_, readiness_;
  std::unique_ptr<control_client::CoreConnections> cores_;
  asio::steady_timer timer_;
  uint64_t ticks_ = 0, token_requests_ = 0;
  bool token_request_scheduled_ = false;
  bool open_ = false;
};

}  // namespace ivygw::proxy

#endif  // IVYGW_SYSTEM_PROXY_GATEWAY_H_
