// What borrowers and lenders of limits go by.
//
// Bound. With a limit of r requests a second and a burst of b, N gateways and windows of w seconds, all
// gateways together send in any window at most (kLent + kPool) * r * w by flow, kPoolStore * b from the
// pools' stores, and what their buckets held when it began, some 1 + kAhead * demand each, and kAlone seconds
// of what each was lent, once a window at most, by those that no core answers: within (r * w + b) * (1 +
// overrun) + slack as long as N stays under kSlackOfBuckets of the slack. Whoever is in touch with whom: each
// core lends its own even part, and knows its holders.
#ifndef IVYGW_SYSTEM_RATE_LIMIT_TERMS_H_
#define IVYGW_SYSTEM_RATE_LIMIT_TERMS_H_

namespace ivygw::rate_limit {

inline constexpr double kTerm = 12;      // s, of a loan, by its lender's clock from when the report came
inline constexpr double kEarlier = 0.5;  // s, by which its holder ends it before
inline constexpr double kLent = 0.75;    // of a limit's rate, lent for terms by all cores together, at most
inline constexpr double kPool =
    0.33;  // of a limit's rate, given in batches by all cores together; and what of kLent nobody wants
inline constexpr double kPoolStore = 0.3;  // of a burst, that the pools hold together
inline constexpr double kAhead = 0.9;      // s of its demand, that a bucket holds
inline constexpr double kAlone = 0.5;      // s of its loans, that a gateway adds when no core answers it
inline constexpr double kAsked = 0.03;     // s, for which a request waits for its token
inline constexpr double kAnswers = 0.6;    // s, within which one does
inline constexpr double kSlackOfBuckets = 0.7, kSlackOfRate = 0.2;  // parts of the slack

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_TERMS_H_
