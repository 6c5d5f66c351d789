// Milford (the proxy): one gateway of the whole system. It serves clients by what the cores have told it, and goes on with
// what it knows when they are silent. One thread, one event loop.
#ifndef IVYGW_SYSTEM_MILFORD_GATEWAY_H_
#define IVYGW_SYSTEM_MILFORD_GATEWAY_H_

#include <functional>
#include <memory>

#include "cascade/copy.h"
#include "dart/followers.h"
#include "hollyford/admission.h"
#include "milford/exchanges.h"
#include "rakiura/settings.h"

namespace ivygw::milford {

class Gateway {
 public:
  // Throws boost::system::system_error where it can't listen.
  Gateway(asio::io_context& io, const rakiura::Settings& settings, std::function<void()> ended);

  // On SIGTERM: no longer ready, what is held is served to its end, then `ended`.
  void Stop();

 private:
  double Now() const;
  void Told();       // folds what came, and looks whether it is ready
  void Tick();
  void ReportTo(const std::string& core, bool all, bool draw);
  void Draw();  // from the next lender's pool, for tenants whose buckets have run low
  bool ready() const { return open_ && !stopping_; }

  asio::io_context& io_;
  const rakiura::Settings settings_;
  std::function<void()> ended_;
  bodies::BodyMemory memory_;
  cascade::Journal<cascade::Changed> journal_;
  cascade::Copy configuration_, backends_;
  routeburn::Routes routes_;
  hollyford::Admission admission_;
  tongariro::Pool pool_;
  tongariro::Budget budget_;
  Exchanges exchanges_;
  std::unique_ptr<ClientServer> front_, readiness_;
  std::unique_ptr<dart::Followers> followers_;
  asio::steady_timer timer_;
  uint64_t ticks_ = 0, draws_ = 0;
  bool drawing_ = false;
  bool open_ = false, stopping_ = false;
  double stop_at_ = 0;
};

}  // namespace ivygw::milford

#endif  // IVYGW_SYSTEM_MILFORD_GATEWAY_H_
