// Safety margins that the gateway takes off configured timeouts, and the delays of drain and shutdown.
#ifndef IVYGW_CORE_LIMITS_H_
#define IVYGW_CORE_LIMITS_H_

#include <algorithm>

namespace ivygw {

// Taken off a client's timeout so that the last byte of the response is written in time: covers the
// response's way back to the client and delays on a busy CPU core.
inline constexpr double kMaxResponseMarginS = 0.01, kResponseMarginShare = 0.1;
inline double ResponseMargin(double timeout_s) {
  return std::min(kMaxResponseMarginS, kResponseMarginShare * timeout_s);
}

// Multiplies the configured timeout of counter calls. A real counter answers each call when its turn has
// come, however late, and a late answer is worth the wait: if the gateway gave the call up, it would take the
// call's amount for other gateways' usage.
inline constexpr double kCounterTimeoutFactor = 3;

// Idle connections are closed at this share of the backend's idle timeout, so that no request is written just
// as the backend closes the connection, which would end in a reset.
inline constexpr double kIdleTimeoutShare = 0.7;
inline constexpr double kDefaultIdleTimeoutS = 5;  // if the backend's idle timeout is unknown
// Taken off the drain's grace period: how long a write may be delayed on a busy CPU core.
inline constexpr double kDrainWriteMarginS = 0.1;

// New clients may connect for up to 0.4 s after SIGTERM. Idle client connections are closed after that,
// kShutdownIdleCloseDelayS after SIGTERM. Open requests may finish until the longest deadline of a class plus
// kShutdownMarginS has passed.
inline constexpr double kShutdownIdleCloseDelayS = 0.5, kShutdownMarginS = 0.6;
// How long the load balancer in front may take to notice an operator's drain and stop sending new
// connections.
inline constexpr double kDrainIdleCloseDelayS = 0.7;

}  // namespace ivygw

#endif  // IVYGW_CORE_LIMITS_H_
