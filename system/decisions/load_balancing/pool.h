// Load balancing: the backends of each service as one gateway sees them, and the choice of a backend for a
// request. The state is derived from the registry's items and the results of this gateway's own attempts.
// Pure: the caller passes the time of each event (seconds of one steady clock); random numbers come from a
// seeded generator. One thread.
//
// Gateways choose without coordination. To spread their load, the slots of each service are divided among the
// gateways: each uses its own slots first, and slots of other gateways only when its own are taken.
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

// How an attempt at a backend ended.
enum class AttemptResult {
  kServed,
  kErrorStatus,        // 5xx, or 408 or 429, from the backend itself
  kOverloaded,         // rejected by an answer with a Not-Executed header
  kMisdirected,        // 421: another backend answers at the address
  kConnectionRefused,  // it failed, or the deadline passed, before the connection was established
  kTimedOut,           // the connect timeout passed, or no answer arrived by the deadline
  kBroken,             // the connection was lost, or its answer can't be trusted
  kCancelled           // ended by this gateway, or a reused connection was lost before the write
};

struct BackendState {
  discovery::Backend backend;
  int active_requests = 0;      // of this gateway
  double warm_until = 0;        // warms up until this time
  double avoid_until = 0;       // avoided until this time because of failures
  double overloaded_until = 0;  // counts as overloaded until this time because it rejected a request
  int failures = 0;             // number of consecutive failures
  bool gone = false;            // its address belongs to another backend
  int own_slots = 0;            // number of its slots that are assigned to this gateway
};

class Pool {
 public:
  explicit Pool(uint64_t seed, std::string zone) : zone_(std::move(zone)), random_(seed) {}

  void ApplyItem(double now, const messages::Item& item);
  // Sets the gateways of the cluster. `self`: this one among them.
  void SetGateways(const std::vector<messages::GatewayInfo>& gateways, const std::string& self);

  // Returns the backend for a request to the service, never one of `tried`; empty if none is available.
  std::string Choose(double now, const std::string& service, const std::set<std::string>& tried);
  void OnAttemptStarted(const std::string& id);
  void OnAttemptEnded(double now, const std::string& id, AttemptResult result);

  const BackendState* Find(const std::string& id) const;
  // Whether the backend receives no more requests and has none active, so that its connections may be closed.
  bool IsDrained(const std::string& id) const;

 private:
  void AssignSlots();
  double Cost(double now, const BackendState& state) const;
  const std::string zone_;
  std::mt19937_64 random_;
  std::map<std::string, BackendState> backends_;           // by id
  std::map<std::string, std::set<std::string>> services_;  // backend ids by service
  std::vector<messages::GatewayInfo> gateways_;
  std::string self_;
  bool slots_assigned_ = true;
};

}  // namespace ivygw::load_balancing

#endif  // IVYGW_SYSTEM_LOAD_BALANCING_POOL_H_
