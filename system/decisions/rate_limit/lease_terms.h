// The terms of quota leases: constants that the allocator at a core and the admission at a gateway share, and
// the bound that follows from them.
//
// Bound. With a limit of r requests a second and a burst of b, N gateways and windows of w seconds, all
// gateways together send in any window at most (kLeasedRateShare + kPooledRateShare) * r * w by flow,
// kPooledBurstShare * b from the pools' stores, and what their buckets held when it began, some 1 +
// kBucketDemandTime * demand each, and kIsolatedAllowance seconds of what each was granted, once a window at
// most, by those that no core answers: within (r * w + b) * (1 + overrun) + slack as long as N stays under
// kBucketSlackShare of the slack. Whichever machines can reach each other: each core allocates its own even
// part, and knows its holders.
//
// A grant ends in two steps, so that a gateway goes on serving while no core may allocate: all of it stands
// for kLeaseTerm, kRetainedPart of it until kRetentionTerm. What a silent holder may retain counts as leased
// until then, at the core that has granted it and at whoever takes that core's place.
#ifndef IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_
#define IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_

namespace ivygw::rate_limit {

// Of a grant, s, by the allocator's clock from when the report came.
inline constexpr double kLeaseTerm = 12;
// Of a grant, s likewise, in which kRetainedPart of it stands once its term is over.
inline constexpr double kRetentionTerm = 60;
inline constexpr double kRetainedPart = 0.75;
// s before either, at which its holder goes by that.
inline constexpr double kLeaseMargin = 0.5;
// Of a limit's rate: granted for lease terms by all cores together, at most.
inline constexpr double kLeasedRateShare = 0.75;
// Of a limit's rate: given as tokens by all cores together; and what of kLeasedRateShare nobody wants.
inline constexpr double kPooledRateShare = 0.33;
// Of a limit's burst: held by all pools together.
inline constexpr double kPooledBurstShare = 0.3;
// s of its demand that a gateway's bucket holds.
inline constexpr double kBucketDemandTime = 0.9;
// s of its grants that a gateway adds once when no core answers it.
inline constexpr double kIsolatedAllowance = 0.5;
// s, for which a request waits for its token.
inline constexpr double kTokenTimeout = 0.03;
// s, within which a core answers a report.
inline constexpr double kCoreTimeout = 0.6;
// Parts of the slack that the operators allow.
inline constexpr double kBucketSlackShare = 0.7;
inline constexpr double kRateSlackShare = 0.2;

// What stands of a granted share at this age, in s.
inline constexpr double ShareInForce(double share, double age) {
  if (age < kLeaseTerm) return share;
  return age < kRetentionTerm ? kRetainedPart * share : 0;
}

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_
