// Allocation of tenants' rate limits at one core: grants gateways a share of each limit for a lease term and
// tokens from a pool, max-min fair by demand, and counts what they have admitted.
//
// Every core allocates its own even part of each limit by itself and never needs to know another's grants:
// all that is granted stays within the limit whichever machines can reach each other. lease_terms.h states
// the bound. What a report costs doesn't grow with the gateways: what all of a tenant's leases come to is
// kept as a sum, and worked out in full only a few times a second. Pure: times are seconds of one steady
// clock. One thread.
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
  // `first_boot`: nothing can have been granted before this start. Otherwise only what gateways report to
  // hold is granted again, until all that may hold something have reported, or a lease term is over. Then
  // what the others may retain is left out, until kRetentionTerm is over.
  QuotaAllocator(double now, bool first_boot);
  // Gateways that may hold a grant of an earlier incarnation, all of it or what is retained of it. May be
  // called more than once.
  void OnLeaseHolders(const std::vector<std::string>& holders,
                      const std::vector<std::string>& retaining = {});
  // This core has taken the place of another, whose holders may retain something until then.
  void OnPredecessor(double retained_until) { predecessor_retained_until_ = retained_until; }

  // The answer to a gateway's report. `incarnation`: of the gateway's process. `allocators`: how many cores
  // allocate; each has an even part.
  messages::QuotaGrants OnReport(double now, const std::string& gateway, uint64_t incarnation,
                                 const messages::UsageReport& report, size_t allocators);
  // Drops leases that have ended. Some times a second.
  void OnTime(double now);

  // Grants only what gateways report to hold already.
  bool Recovering(double now) const;
  // How many that may hold something have not reported since this start.
  size_t awaited_holder_count() const { return awaited_holders_.size(); }

 private:
  struct Lease {
    double share = 0;  // as granted last
    double max_in_use =
        0;  // the most that it may be using: a smaller grant counts once its holder has reported it
    double computed_at = -1;                   // when the share was computed last
    double wanted_share = 0, reported_at = 0;  // of its last report
    uint64_t incarnation = 0, admitted = 0;
    double counted = 0;  // of it in the tenant's sum: never less than what is in use
    // What its holder may use, by what was granted at its last report.
    double InUse(double now) const { return ShareInForce(max_in_use, now - reported_at); }
  };
  struct Tenant {
    std::map<std::string, Lease> leases;  // by gateway
    double rate = 0, burst = 0;           // of the newest limit that any gateway has reported
    uint64_t version = 0;
    double leased = 0;                    // of the limit, to all gateways: the sum of what is counted
    double fair_share = 0;                // the most that a lease has while another wants more than it has
    double refreshed_at = -1;             // when both were worked out in full
    double pool = 0, pool_filled_at = 0;  // requests; when it was filled last
    bool has_pool = false;
    uint64_t total = 0;
  };
  // Works out in full what all leases of a tenant come to, and its fair share, where that is due.
  static void Refresh(double now, double part, Tenant* tenant);
  static double FairShare(const Tenant& tenant, double maximum, double now);
  // Counts what the lease has come to be since its holder's report.
  static void Count(double now, Tenant* tenant, Lease* lease);
  // A report of a holder: counts its requests. Of another incarnation: the leases have ended with the one
  // before.
  static void OnUsage(double now, uint64_t incarnation, const messages::TenantUsage& usage, Tenant* tenant,
                      Lease* lease);
  // The share to grant: within `part` of the limit, and with what others may use.
  double ShareToGrant(const Tenant& tenant, const Lease& lease, double held, double part, double now) const;
  // What of a limit gateways that haven't reported may retain isn't known.
  bool RetainedIsUnknown(double now) const;
  std::map<std::string, Tenant> tenants_;
  void RefillPool(double now, Tenant* tenant, double part) const;
  double recovering_until_ = -1, retained_until_ = -1, predecessor_retained_until_ = -1;
  bool first_boot_ = false, holders_known_ = false;
  std::set<std::string> awaited_holders_, awaited_retaining_, reported_;
};

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_QUOTA_ALLOCATOR_H_
