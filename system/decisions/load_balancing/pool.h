// Choice of backends. The backends of each service as one gateway sees them, and which one a request goes to.
// Folded from the registry's items and from what this gateway's own requests met. Pure: the time of each
// event is told (seconds of one steady clock), chance is a generator's. One thread.
//
// How choices of gateways that know nothing of each other add up: the slots of each service are dealt out to
// the gateways, so that each has some of its own which it takes first; only past these does it take a place
// at another's backend.
#ifndef IVYGW_SYSTEM_LOAD_BALANCING_POOL_H_
#define IVYGW_SYSTEM_LOAD_BALANCING_POOL_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "discovery/backend.h"
#include "messages/control.h"

namespace ivygw::load_balancing {

// How an attempt ended, as far as its backend is concerned.
enum class AttemptResult {
  kServed,
  kErrorStatus,
  kOverloaded,
  kMisdirected,
  kConnectionRefused,
  kTimedOut,
  kBroken,
  kCancelled
};

struct BackendState {
  discovery::Backend backend;
  int active_requests = 0;  // attempts of this gateway
  double warm_until = 0;
  double avoid_until = 0;  // after failures
  double full_until = 0;   // it said that it had no room
  int failures = 0;        // in a row
  bool gone = false;       // another backend answers at its address, or none
  int own = 0;             // slots dealt to this gateway
};

class Pool {
 public:
  explicit Pool(uint64_t seed, std::string zone) : zone_(std::move(zone)), dice_(seed) {}

  void ApplyItem(double now, const messages::Item& item);
  // The gateways that there are, this one by its place among them.
  void SetGateways(const std::vector<messages::GatewayInfo>& members, const std::string& self);

  // Where a request for the service should go now; empty where nobody can take it. `tried` are left out.
  std::string Choose(double now, const std::string& service, const std::set<std::string>& tried);
  void OnAttemptStarted(const std::string& id);
  void OnAttemptEnded(double now, const std::string& id, AttemptResult result);

  const BackendState* Find(const std::string& id) const;
  // Those that are no longer sent anything, with nothing out: their connections may go.
  bool IsDrained(const std::string& id) const;

 private:
  void Deal();
  double Cost(double now, const BackendState& seen) const;
  const std::string zone_;
  std::mt19937_64 dice_;
  std::map<std::string, BackendState> seen_;               // by id
  std::map<std::string, std::set<std::string>> services_;  // ids of each
  std::vector<messages::GatewayInfo> members_;
  std::string self_;
  bool dealt_ = true;
};

}  // namespace ivygw::load_balancing

#endif  // IVYGW_SYSTEM_LOAD_BALANCING_POOL_H_
