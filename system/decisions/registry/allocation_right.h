// When a core may allocate shares of tenants' rate limits: only as a member, and not before the term of all
// that the member whose place it took has granted is over; until their retention is over, too, it allocates
// what is left beside that. Pure; one thread.
//
// Every member allocates one even part by itself. A core that becomes a member at another address than the
// one it replaces, or that is added, therefore waits for a lease term, and for the time after which the other
// members go by the new epoch. A member that allocates records the epoch durably under its address, so that a
// restart knows whether that wait is over. An epoch replaces or adds one member, so a member of one epoch
// that is a member of the next has kept its part: a restart before the next one is recorded need not wait,
// either. Nor does anyone wait where nothing has been granted yet, as while the first members are added.
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
  // The grants of another core may stand so long after this one has learnt of the epoch that removed it: that
  // core goes on until it loses quorum contact.
  static constexpr Duration kTakeoverDelay =
      Duration(rate_limit::kLeaseTerm) + replication::kContactTimeout + Duration(0.5);
  // From then on, until nothing is retained of them.
  static constexpr Duration kRetentionDelay = Duration(rate_limit::kRetentionTerm - rate_limit::kLeaseTerm);

  // `recorded_epoch`: under which this address has recorded last that it allocates; 0: never.
  AllocationRight(TimePoint now, std::string address, uint64_t store_id, messages::Membership membership,
                  uint64_t recorded_epoch)
      : address_(std::move(address)), store_id_(store_id), membership_(std::move(membership)) {
    if (HasKeptItsPart(recorded_epoch)) {
      allocates_from_ = retained_until_ = now;
    } else {
      AwaitPredecessor(now);
    }
  }

  // `nothing_granted`: no gateway stands recorded as a holder in a table that has this membership. As holders
  // are recorded before they are granted anything, nobody holds a grant of an earlier epoch.
  void OnMembership(TimePoint now, const messages::Membership& membership, uint64_t recorded_epoch,
                    bool nothing_granted) {
    bool was_member = membership_.Contains(address_, store_id_);
    bool same_address =
        std::any_of(membership_.members.begin(), membership_.members.end(),
                    [&](const messages::Member& member) { return member.address == address_; });
    bool takes_own_place = !was_member && same_address && HasKeptItsPart(recorded_epoch);
    // Of epochs that were skipped it isn't known who allocated.
    bool next = membership.epoch == membership_.epoch + 1;
    membership_ = membership;
    if (nothing_granted || (next && takes_own_place)) {
      allocates_from_ = retained_until_ = now;
    } else if (!next || !was_member) {
      AwaitPredecessor(now);
    }
  }

  // This copy of the table has caught up, and holds a later record than it was loaded with.
  void OnRecordedEpoch(TimePoint now, uint64_t recorded_epoch) {
    if (!HasKeptItsPart(recorded_epoch)) return;
    allocates_from_ = std::min(allocates_from_, now);
    retained_until_ = std::min(retained_until_, now);
  }

  bool May(TimePoint now) const {
    return membership_.Contains(address_, store_id_) && now >= allocates_from_;
  }
  // Holders of the member whose place this one took may retain something until then. That this core has
  // allocated is recorded after that alone, so that a restart before it begins both waits anew.
  TimePoint predecessor_retained_until() const { return retained_until_; }
  uint64_t epoch() const { return membership_.epoch; }

 private:
  void AwaitPredecessor(TimePoint now) {
    allocates_from_ = now + kTakeoverDelay;
    retained_until_ = allocates_from_ + kRetentionDelay;
  }
  // This address has allocated in this epoch, or in the one before.
  bool HasKeptItsPart(uint64_t recorded_epoch) const {
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
