// Allocation of tenants' rate limits to gateways by one core: answers their usage reports with grants, and
// keeps durable records of who may hold something, so that a later incarnation of this core knows whom to
// wait for before it allocates the same share again. One thread, that of the event loop.
//
// Durable items of the registry's table: "holder/CORE/GATEWAY" (GATEWAY may hold a grant of CORE; with the
// body "retained": no more than what is retained of one) and "lender/CORE" (its version is the last epoch
// under which CORE has allocated).
#ifndef IVYGW_SYSTEM_REGISTRY_QUOTA_LEASES_H_
#define IVYGW_SYSTEM_REGISTRY_QUOTA_LEASES_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/steady_time.h"
#include "rate_limit/quota_allocator.h"
#include "registry/allocation_right.h"
#include "replicated_table/core_node.h"

namespace ivygw::registry {

class QuotaLeases {
 public:
  // `node` outlives this. `address`: IP of this core. `first_boot`: the whole system starts for the first
  // time, so nothing can have been granted before.
  QuotaLeases(replicated_table::CoreNode* node, std::string address, bool first_boot);

  // A gateway's report, from the connection `peer`. It is answered with grants unless this core may not
  // allocate, or the gateway has yet to be recorded as a holder.
  void OnUsageReport(uint64_t peer, const messages::UsageReport& report);
  void OnMembershipChanged();
  // Some ten times a second.
  void OnTime(TimePoint now);

 private:
  bool MayAllocate(TimePoint now) const {
    return right_.MayAllocate(now) && node_.HasQuorumContact() && !AwaitsMembers(now);
  }
  // At the first start of the whole system spare cores become members first, so that each allocates its part
  // from the beginning.
  bool AwaitsMembers(TimePoint now) const;
  bool NothingIsGranted() const;
  uint64_t RecordedEpoch() const;
  void RecordAllocation();
  std::string HolderKey(const std::string& gateway) const;
  std::string AllocatorKey() const;
  const messages::Item* Find(const std::string& key) const;
  bool IsRecordedHolder(const std::string& gateway) const;
  void RecordHolder(const std::string& gateway);
  void ReadHolders();
  void ReleaseExpiredHolders(TimePoint now);
  // What is to be written once a gateway has been silent so long; none: its record stands.
  std::optional<messages::Item> NextHolderItem(const messages::Item& standing, Duration silence) const;

  replicated_table::CoreNode& node_;
  const std::string address_;
  const bool first_boot_;
  const TimePoint started_at_;
  rate_limit::QuotaAllocator allocator_;
  AllocationRight right_;
  std::set<std::string> writing_;                  // gateways whose holder record is being written
  std::map<std::string, TimePoint> reported_at_;   // by gateway, its last report here
  std::map<std::string, uint64_t> least_version_;  // by gateway: an older holder record may be released
  bool recording_allocation_ = false;
  bool holders_known_ = false, reading_holders_ = false;
  bool allocating_ = false;  // as logged last
  uint64_t ticks_ = 0;
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_QUOTA_LEASES_H_
