// Terms of quota leases: the constants shared by the allocator at a core and admission control at a gateway,
// and the bound that follows from them.
//
// Bound. Let a limit be r requests per second with a burst of b, enforced by N gateways over windows of w
// seconds. In any window, all gateways together send at most
//   - (kLeasedRateShare + kPooledRateShare) * r * w from leases and pool refills,
//   - kPooledBurstShare * b from tokens stored in the pools,
//   - the tokens in their buckets at the start of the window, about 1 + kBucketDemandTime * demand each,
//   - kIsolatedAllowance seconds of its grants for each gateway that no core answers, at most once a window.
// This is within (r * w + b) * (1 + overrun) + slack while N is less than kBucketSlackShare of the slack. It
// holds under any network partition, because each core allocates its own even part and knows its lease
// holders.
//
// A grant ends in two steps, so that a gateway can serve while no core may allocate: it is valid in full for
// kLeaseTerm, and kRetainedPart of it until kRetentionTerm. The part that a silent holder may retain counts
// as leased until then, both at the core that granted it and at a core that replaces that one.
#ifndef IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_
#define IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_

namespace ivygw::rate_limit {

// Duration of a full grant, in seconds of the allocator's clock since it received the report.
inline constexpr double kLeaseTerm = 12;
// End of the retained part of a grant, in seconds since the report was received.
inline constexpr double kRetentionTerm = 60;
// Fraction of a grant that its holder retains between the two terms.
inline constexpr double kRetainedPart = 0.75;
// A holder ends either term this much earlier than the allocator does, in seconds.
inline constexpr double kLeaseMargin = 0.5;
// Fraction of a limit's rate that all cores together lease at most.
inline constexpr double kLeasedRateShare = 0.75;
// Fraction of a limit's rate that all cores together give as pool tokens, in addition to unused leasable
// rate.
inline constexpr double kPooledRateShare = 0.33;
// Fraction of a limit's burst that all pools together hold.
inline constexpr double kPooledBurstShare = 0.3;
// Demand that a gateway's bucket holds, in seconds.
inline constexpr double kBucketDemandTime = 0.9;
// Extra tokens that a gateway adds once when no core answers, in seconds of its grants.
inline constexpr double kIsolatedAllowance = 0.5;
// Longest time that a request waits for a token, in seconds.
inline constexpr double kTokenTimeout = 0.03;
// Time within which a core answers a report, in seconds.
inline constexpr double kCoreTimeout = 0.6;
// Fractions of the allowed slack that are used for buckets and for the rate.
inline constexpr double kBucketSlackShare = 0.7;
inline constexpr double kRateSlackShare = 0.2;

// Returns the part of a granted share that is valid at this age, in seconds.
inline constexpr double ShareInForce(double share, double age) {
  if (age < kLeaseTerm) return share;
  return age < kRetentionTerm ? kRetainedPart * share : 0;
}

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_LEASE_TERMS_H_
