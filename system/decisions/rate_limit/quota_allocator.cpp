#include "rate_limit/quota_allocator.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace ivygw::rate_limit {
namespace {

// Interval at which shares are recomputed, in seconds.
constexpr double kShareInterval = 0.2;
// Time without a report after which a gateway counts as having no demand, in seconds. It keeps its lease.
constexpr double kDemandTimeout = 2;
// A silent gateway's lease and its request count are dropped after this time, in seconds.
constexpr double kLeaseExpiry = kRetentionTerm + kLeaseTerm;

}  // namespace

QuotaAllocator::QuotaAllocator(double now, bool first_boot)
    : recovering_until_(first_boot ? -1 : now + kLeaseTerm),
      retained_until_(first_boot ? -1 : now + kRetentionTerm),
      first_boot_(first_boot) {}

void QuotaAllocator::OnLeaseHolders(const std::vector<std::string>& holders,
                                    const std::vector<std::string>& retaining) {
  holders_known_ = true;
  awaited_holders_.clear();
  for (const std::string& holder : holders) {
    if (!reported_.count(holder)) awaited_holders_.insert(holder);
  }
  awaited_retaining_.clear();
  for (const std::string& holder : retaining) {
    if (!reported_.count(holder)) awaited_retaining_.insert(holder);
  }
}

bool QuotaAllocator::Recovering(double now) const {
  return now < recovering_until_ && !(holders_known_ && awaited_holders_.empty());
}

bool QuotaAllocator::RetainedIsUnknown(double now) const {
  if (now < predecessor_retained_until_) return true;
  bool all_known = holders_known_ && awaited_holders_.empty() && awaited_retaining_.empty();
  return now < retained_until_ && !all_known;
}

void QuotaAllocator::RefillPool(double now, Tenant* tenant, double part) const {
  double maximum = kPooledBurstShare * tenant->burst * part;
  // Refills at the rate that is not leased. During recovery, the whole leasable share counts as leased.
  double leasable = kLeasedRateShare * part, leased = tenant->leased;
  if (RetainedIsUnknown(now)) leased = std::min(leasable, leased + kRetainedPart * leasable);
  if (Recovering(now)) leased = leasable;
  double flow = std::max(0.0, (kLeasedRateShare + kPooledRateShare) * part - leased);
  if (!tenant->has_pool) {
    tenant->has_pool = true;
    tenant->pool = first_boot_ ? maximum : 0;
  } else {
    tenant->pool = std::min(maximum, tenant->pool + (now - tenant->pool_filled_at) * flow * tenant->rate);
  }
  tenant->pool_filled_at = now;
}

// Returns the largest share that each gateway may lease, by max-min fairness among the gateways that report:
// no lease exceeds another one that is below its demand. The share that is not demanded stays in the pool.
double QuotaAllocator::FairShare(const Tenant& tenant, double maximum, double now) {
  std::vector<double> demands;
  for (const auto& [gateway, lease] : tenant.leases) {
    if (now - lease.reported_at < kDemandTimeout) demands.push_back(lease.wanted_share);
  }
  std::sort(demands.begin(), demands.end());
  double remaining = maximum;
  size_t count = demands.size();
  for (double demand : demands) {
    double even = remaining / static_cast<double>(count);
    if (demand > even) return even;  // every larger demand gets this much
    remaining -= demand;
    --count;
  }
  return std::numeric_limits<double>::infinity();
}

void QuotaAllocator::Refresh(double now, double part, Tenant* tenant) {
  if (now < tenant->refreshed_at + kShareInterval) return;
  tenant->refreshed_at = now;
  tenant->fair_share = FairShare(*tenant, kLeasedRateShare * part, now);
  tenant->leased = 0;
  for (auto& [gateway, lease] : tenant->leases) {
    lease.counted = lease.InUse(now);
    tenant->leased += lease.counted;
  }
}

void QuotaAllocator::UpdateCountedShare(double now, Tenant* tenant, Lease* lease) {
  double in_use = lease->InUse(now);
  tenant->leased += in_use - lease->counted;
  lease->counted = in_use;
}

// Grants of an earlier incarnation are known only from their holders' reports. During recovery, a holder
// keeps what it reports and nothing else is granted. Until the retention term is over, a holder still keeps
// its share, and new grants must fit beside the shares that silent gateways may retain.
double QuotaAllocator::ShareToGrant(const Tenant& tenant, const Lease& lease, double held, double part,
                                    double now) const {
  double leasable = kLeasedRateShare * part;
  double others = std::max(0.0, tenant.leased - lease.counted);
  if (Recovering(now)) return std::min({held, std::max(0.0, leasable - others), leasable});
  bool unknown = RetainedIsUnknown(now);
  double maximum = unknown ? (1 - kRetainedPart) * leasable : leasable;
  double available = std::max(unknown ? std::min(held, leasable) : 0.0, maximum - others);
  return std::min({lease.wanted_share, tenant.fair_share, available});
}

void QuotaAllocator::OnUsage(double now, uint64_t incarnation, const messages::TenantUsage& usage,
                             Tenant* tenant, Lease* lease) {
  if (lease->incarnation == incarnation) {
    tenant->total += usage.admitted - std::min(usage.admitted, lease->admitted);
  } else {
    // Requests that a gateway admitted before it first reported to this process were counted, if at all, by
    // an earlier incarnation of this core.
    bool known = lease->incarnation != 0;
    if (known) tenant->total += usage.admitted;
    tenant->leased -= lease->counted;
    *lease = Lease();
    lease->incarnation = incarnation;
  }
  lease->admitted = usage.admitted;
  lease->wanted_share = std::max(0.0f, usage.wanted_share);
  lease->reported_at = now;
}

messages::QuotaGrants QuotaAllocator::OnReport(double now, const std::string& gateway, uint64_t incarnation,
                                               const messages::UsageReport& report, size_t allocators) {
  messages::QuotaGrants out;
  out.number = report.number;
  double part = 1 / static_cast<double>(std::max<size_t>(allocators, 1));
  reported_.insert(gateway);
  awaited_holders_.erase(gateway);
  awaited_retaining_.erase(gateway);
  for (const messages::TenantUsage& usage : report.tenants) {
    Tenant& tenant = tenants_[usage.tenant];
    if (usage.version >= tenant.version) {
      if (tenant.has_pool) RefillPool(now, &tenant, part);
      tenant.version = usage.version;
      tenant.rate = std::max(0.0f, usage.rate);
      tenant.burst = std::max(0.0f, usage.burst);
    }
    RefillPool(now, &tenant, part);
    Lease& lease = tenant.leases[gateway];
    OnUsage(now, incarnation, usage, &tenant, &lease);
    Refresh(now, part, &tenant);
    // Most reports only request a batch of tokens, so the share is recomputed at kShareInterval.
    if (now >= lease.computed_at + kShareInterval) {
      lease.computed_at = now;
      double held = std::max(0.0f, usage.held_share);
      lease.share = ShareToGrant(tenant, lease, held, part, now);
      lease.max_in_use = std::max(lease.share, held);
    }
    UpdateCountedShare(now, &tenant, &lease);
    double share = lease.share;
    double tokens = std::min(tenant.pool, static_cast<double>(std::max(0.0f, usage.shortfall)));
    tenant.pool -= tokens;
    out.grants.push_back({usage.tenant, static_cast<float>(share), static_cast<float>(tokens), tenant.total});
  }
  return out;
}

void QuotaAllocator::OnTime(double now) {
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    auto& leases = it->second.leases;
    for (auto at = leases.begin(); at != leases.end();) {
      bool ended = now - at->second.reported_at > kLeaseExpiry;
      if (ended) it->second.leased -= at->second.counted;
      at = ended ? leases.erase(at) : std::next(at);
    }
    it = leases.empty() ? tenants_.erase(it) : std::next(it);
  }
}

}  // namespace ivygw::rate_limit
