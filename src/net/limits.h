// What the socket side takes off the limits that it is told.
#ifndef IVYGW_NET_LIMITS_H_
#define IVYGW_NET_LIMITS_H_

namespace ivygw {

// Kept connections are closed this share of the backend's own idle limit after their last answer. Guards
// against a request written just as the backend closes, which would end as a reset.
inline constexpr double kIdleShare = 0.7;
// Off the drain's grace: the time a write may take to come out on a busy core.
inline constexpr double kGraceMarginS = 0.1;

}  // namespace ivygw

#endif  // IVYGW_NET_LIMITS_H_
