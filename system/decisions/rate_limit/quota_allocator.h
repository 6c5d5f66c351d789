// Quota allocation at one core: grants gateways a max-min fair share of each tenant's rate limit for a lease
// term, and tokens from a pool, and counts the requests that they have admitted.
//
// Every core allocates its own even part of each limit and does not need to know the other cores' grants, so
// that the sum of all grants stays within the limit under any network partition. lease_terms.h states the
// bound. The cost of a report does not grow with the number of gateways: the sum of a tenant's leases is
// updated incrementally and recomputed in full only a few times a second. Pure: times are seconds of one
// steady clock. One thread.
#ifndef IVYGW_SYSTEM_RATE_LIMIT_QUOTA_ALLOCATOR_H_
#define IVYGW_SYSTEM_RATE_LIMIT_QUOTA_ALLOCATOR_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "messages/control.h"
#include "rate_limit/lease_terms.h"

namespace ivygw::rate_limit {

class QuotaAllocator {
 public:
  // `first_boot`: nothing can have been granted before this start. Otherwise the allocator recovers: it only
  // renews the shares that gateways report to hold, until every possible holder has reported or a lease term
  // has passed. After that, and until kRetentionTerm has passed, it withholds what the others may retain.
  QuotaAllocator(double now, bool first_boot);
  // Sets the gateways that may hold a grant of an earlier incarnation of this core, in full (`holders`) or
  // the retained part of it (`retaining`). May be called more than once.
  void OnLeaseHolders(const std::vector<std::string>& holders,
                      const std::vector<std::string>& retaining = {});
  // This core has replaced another, whose lease holders may retain a part of their grants until
  // `retained_until`.
  void OnPredecessor(double retained_until) { predecessor_retained_until_ = retained_until; }

  // Returns the grants that answer a gateway's report. `incarnation`: of the gateway's process. `allocators`:
  // number of allocating cores, each of which has an even part of the limits.
  messages::QuotaGrants OnReport(double now, const std::string& gateway, uint64_t incarnation,
                                 const messages::UsageReport& report, size_t allocators);
  // Drops leases that have ended. To be called a few times a second.
  void OnTime(double now);

  // Whether only shares that gateways report to hold are granted.
  bool Recovering(double now) const;
  // Number of possible lease holders that have not reported since this start.
  size_t awaited_holder_count() const { return awaited_holders_.size(); }

 private:
  struct Lease {
    double share = 0;  // last granted
    // Upper bound of the share in use: a smaller grant counts only when its holder has reported it.
    double max_in_use = 0;
    double computed_at = -1;                   // when the share was last computed
    double wanted_share = 0, reported_at = 0;  // share requested by the holder's last report, and its time
    uint64_t incarnation = 0, admitted = 0;
    double counted = 0;  // part of the tenant's `leased`; never less than the share in use
    // The share that its holder may use, according to the grant at its last report.
    double InUse(double now) const { return ShareInForce(max_in_use, now - reported_at); }
  };
  struct Tenant {
    std::map<std::string, Lease> leases;  // by gateway
    double rate = 0, burst = 0;           // of the newest limit that any gateway has reported
    uint64_t version = 0;
    double leased = 0;                    // sum of the leases' counted shares
    double fair_share = 0;                // upper bound of each new grant; infinite if all demands fit
    double refreshed_at = -1;             // when `leased` and `fair_share` were last recomputed in full
    double pool = 0, pool_filled_at = 0;  // in requests; time of the last refill
    bool has_pool = false;
    uint64_t total = 0;  // admitted requests reported by all gateways
  };
  // Recomputes the sum of a tenant's leases and its fair share, if kShareInterval has passed.
  static void Refresh(double now, double part, Tenant* tenant);
  static double FairShare(const Tenant& tenant, double maximum, double now);
  // Adjusts the tenant's sum to the share now in use by the lease.
  static void UpdateCountedShare(double now, Tenant* tenant, Lease* lease);
  // Counts the requests that a holder reports. A lease of an earlier incarnation of the holder has ended.
  static void OnUsage(double now, uint64_t incarnation, const messages::TenantUsage& usage, Tenant* tenant,
                      Lease* lease);
  // Returns the share to grant: within `part` of the limit together with the shares that others may use.
  double ShareToGrant(const Tenant& tenant, const Lease& lease, double held, double part, double now) const;
  // Whether gateways that have not reported may retain an unknown share.
  bool RetainedIsUnknown(double now) const;
  std::map<std::string, Tenant> tenants_;
  void RefillPool(double now, Tenant* tenant, double part) const;
  double recovering_until_ = -1, retained_until_ = -1, predecessor_retained_until_ = -1;
  bool first_boot_ = false, holders_known_ = false;
  std::set<std::string> awaited_holders_, awaited_retaining_, reported_;
};

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_QUOTA_ALLOCATOR_H_
