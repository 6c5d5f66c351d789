// Decides when a core may allocate shares of tenants' rate limits: only as a member, and not before all
// leases granted by the member that it replaced have expired. Until the retained parts of those leases have
// expired too, it allocates only what they leave. Pure; one thread.
//
// Every member allocates one even part on its own. A core that is added, or that replaces a member at another
// address, therefore waits for a lease term and for the time after which the other members use the new epoch.
// A member that allocates records the epoch durably under its address, so that it knows after a restart
// whether the wait is over. An epoch replaces or adds one member, so a core that is a member of two
// consecutive epochs has kept its part, and a restart before the second one is recorded does not require a
// wait. No wait is needed either while nothing has been granted, as when the first members are added.
#ifndef IVYGW_SYSTEM_REGISTRY_ALLOCATION_RIGHT_H_
#define IVYGW_SYSTEM_REGISTRY_ALLOCATION_RIGHT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "base/steady_time.h"
#include "messages/replication.h"
#include "rate_limit/lease_terms.h"
#include "replication/timing.h"

namespace ivygw::registry {

class AllocationRight {
 public:
  // How long leases of a removed core may be valid after this core has learned of the epoch that removed it.
  // The removed core continues to grant until it loses quorum contact.
  static constexpr Duration kTakeoverDelay =
      Duration(rate_limit::kLeaseTerm) + replication::kContactTimeout + Duration(0.5);
  // Time from the end of kTakeoverDelay until the retained parts of those leases have expired.
  static constexpr Duration kRetentionDelay = Duration(rate_limit::kRetentionTerm - rate_limit::kLeaseTerm);

  // `recorded_epoch`: the last epoch in which this address recorded that it allocates; 0: none.
  AllocationRight(TimePoint now, std::string address, uint64_t store_id, messages::Membership membership,
                  uint64_t recorded_epoch)
      : address_(std::move(address)), store_id_(store_id), membership_(std::move(membership)) {
    if (HasKeptItsShare(recorded_epoch)) {
      allocates_from_ = retained_until_ = now;
    } else {
      AwaitPredecessor(now);
    }
  }

  // `nothing_granted`: no gateway is recorded as a lease holder in a table that has this membership. Holders
  // are recorded before they receive a grant, so no lease of an earlier epoch exists then.
  void OnMembership(TimePoint now, const messages::Membership& membership, uint64_t recorded_epoch,
                    bool nothing_granted) {
    bool was_member = membership_.Contains(address_, store_id_);
    bool same_address =
        std::any_of(membership_.members.begin(), membership_.members.end(),
                    [&](const messages::Member& member) { return member.address == address_; });
    bool takes_own_place = !was_member && same_address && HasKeptItsShare(recorded_epoch);
    // It is unknown who allocated in skipped epochs.
    bool next = membership.epoch == membership_.epoch + 1;
    membership_ = membership;
    if (nothing_granted || (next && takes_own_place)) {
      allocates_from_ = retained_until_ = now;
    } else if (!next || !was_member) {
      AwaitPredecessor(now);
    }
  }

  // The local copy of the table has caught up and holds a later record of this address's epoch than the one
  // that was passed to the constructor.
  void OnRecordedEpoch(TimePoint now, uint64_t recorded_epoch) {
    if (!HasKeptItsShare(recorded_epoch)) return;
    allocates_from_ = std::min(allocates_from_, now);
    retained_until_ = std::min(retained_until_, now);
  }

  bool MayAllocate(TimePoint now) const {
    return membership_.Contains(address_, store_id_) && now >= allocates_from_;
  }
  // Lease holders of the replaced member may retain a part of their grants until this time. This core records
  // its epoch only after this time. A restart before it therefore begins again both the wait until this core
  // may allocate (kTakeoverDelay) and the wait until the retained parts have expired (kRetentionDelay).
  TimePoint predecessor_retained_until() const { return retained_until_; }
  uint64_t epoch() const { return membership_.epoch; }

 private:
  void AwaitPredecessor(TimePoint now) {
    allocates_from_ = now + kTakeoverDelay;
    retained_until_ = allocates_from_ + kRetentionDelay;
  }
  // Whether this address has recorded that it allocates in this epoch or in the one before. Always true in
  // epoch 1, the first one, and false while the membership is not known (epoch 0).
  bool HasKeptItsShare(uint64_t recorded_epoch) const {
    if (membership_.epoch <= 1) return membership_.epoch == 1;
    bool in_this_epoch = recorded_epoch == membership_.epoch;
    bool in_epoch_before = recorded_epoch > 0 && recorded_epoch + 1 == membership_.epoch;
    return in_this_epoch || in_epoch_before;
  }

  const std::string address_;
  const uint64_t store_id_;
  messages::Membership membership_;
  TimePoint allocates_from_, retained_until_;
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_ALLOCATION_RIGHT_H_
