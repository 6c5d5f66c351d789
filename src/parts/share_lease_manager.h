// What one gateway borrows of all customers' ceilings: the demand that it sees of each, and the loans that
// follow (lending.h). Pure: the time of each event is told (seconds of one monotonic clock of this gateway),
// calls to the engine come out with the customer and a number. Bounded: no more than `most` customers at a
// time; who comes beyond that has no share here. One thread.
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
  std::string boot_id;  // of this gateway's start, unique for ever
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
    double share = 0,
           valid_until =
               0;  // of the customer's lent part; until when it may be used, on this gateway's clock
  };

  ShareLeaseManager(ShareLeaseManagerOptions options, ShareLeaseClient::MembershipCheck membership)
      : options_(std::move(options)), membership_check_(std::move(membership)) {}

  // A request of so many units has come. `whole`: the customer's ceiling, with `lent` at nought or over.
  void OnRequest(double now, uint64_t customer, double units, const CeilingParams& ceiling,
                 OutgoingCalls* out);
  void OnTimer(double now, OutgoingCalls* out);
  void OnReply(double now, uint64_t customer, uint64_t id, const shared::Reply& reply, OutgoingCalls* out);
  void ReleaseAll(double now, OutgoingCalls* out);  // all, for good
  // Shares that have changed since this was asked last. To be told before any call that came out since is
  // made: what is given back must not be used any more when the engine hears of it.
  std::vector<ShareUpdate> TakeUpdates(double now);
  double NextDue() const;

  struct Stats {
    size_t customers = 0, held = 0, waiting = 0;
    double shares = 0;  // held, added up
    uint64_t conflicts = 0, rejected = 0;
  };
  Stats stats() const;
  size_t pending_calls() const { return pending_calls_; }
  uint64_t calls_made() const { return calls_made_; }

 private:
  struct CustomerLease {
    std::unique_ptr<ShareLeaseClient> client;
    double demand_rate = 0, last_request_at = 0;  // units a second, of late; when that was
    double reported_share = 0, reported_until = -1;
  };
  double DemandWindowS() const {
    return 2 * options_.lease_s;
  }  // s over which demand is taken, and without which a share is given back
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
