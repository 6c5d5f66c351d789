// Share leases of one gateway over all customers: tracks the demand of each customer at this gateway and
// drives one ShareLeaseClient for each customer. No clock and no I/O: each event carries its time (seconds of
// a monotonic clock of this gateway), and calls to the shared engine (shared/engine.h), a key-value store
// that all gateways use, are returned with the customer and an id. At most `max_customers` customers have a
// lease at a time; further ones get no share in this gateway. Not thread-safe.
#ifndef IVYGW_PARTS_SHARE_LEASE_MANAGER_H_
#define IVYGW_PARTS_SHARE_LEASE_MANAGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "parts/ceiling.h"
#include "parts/share_lease.h"

namespace ivygw::parts {

struct ShareLeaseManagerOptions {
  std::string boot_id;  // globally unique id of this run of the gateway's process
  double lease_s = 3, clock_margin = 0.1;
  double turn_s = 6;
  size_t max_customers = 256;
};

class ShareLeaseManager {
 public:
  struct OutgoingCall {
    uint64_t customer = 0, id = 0;
    shared::Call call;
  };
  using OutgoingCalls = std::vector<OutgoingCall>;
  struct ShareUpdate {
    uint64_t customer = 0;
    double share = 0;        // of the local fraction of the customer's ceiling
    double valid_until = 0;  // by this gateway's clock
  };

  ShareLeaseManager(ShareLeaseManagerOptions options, ShareLeaseClient::MembershipCheck membership)
      : options_(std::move(options)), membership_check_(std::move(membership)) {}

  // Records the demand of a request of `units`. `ceiling` must have a `leased_share` of 0 or more.
  void OnRequest(double now, uint64_t customer, double units, const CeilingParams& ceiling,
                 OutgoingCalls* out);
  void OnTimer(double now, OutgoingCalls* out);
  void OnReply(double now, uint64_t customer, uint64_t id, const shared::Reply& reply, OutgoingCalls* out);
  // Gives up the shares of all customers at once and asks the engine to remove their lease records. No share
  // is requested afterwards: OnRequest does nothing.
  void ReleaseAll(double now, OutgoingCalls* out);
  // Returns the shares that changed since the previous call. The caller must apply them before it makes any
  // engine call returned since: a released share must no longer be used when the engine learns of it.
  std::vector<ShareUpdate> TakeUpdates(double now);
  double NextDue() const;

  struct Stats {
    size_t customers = 0, held = 0, waiting = 0;
    double shares = 0;  // sum of the shares held
    uint64_t conflicts = 0, rejected = 0;
  };
  Stats stats() const;
  size_t pending_calls() const { return pending_calls_; }
  uint64_t calls_made() const { return calls_made_; }

 private:
  struct CustomerLease {
    std::unique_ptr<ShareLeaseClient> client;
    double demand_rate = 0, last_request_at = 0;  // demand_rate: recent units per second
    double reported_share = 0, reported_until = -1;
  };
  // The time over which the demand is averaged, and the time without demand after which a share is released.
  double DemandWindowS() const { return 2 * options_.lease_s; }
  void CollectCalls(uint64_t customer, ShareLeaseClient::OutgoingCalls* calls, OutgoingCalls* out);

  const ShareLeaseManagerOptions options_;
  const ShareLeaseClient::MembershipCheck membership_check_;
  std::map<uint64_t, CustomerLease> customers_;
  std::vector<ShareUpdate> removed_;
  uint64_t rejected_ = 0, conflicts_ = 0, calls_made_ = 0;
  size_t pending_calls_ = 0;
  bool released_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_SHARE_LEASE_MANAGER_H_
