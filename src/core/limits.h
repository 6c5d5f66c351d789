// What the gateway takes off the limits that it is told, and what it grants the counter.
#ifndef IVYGW_CORE_LIMITS_H_
#define IVYGW_CORE_LIMITS_H_

#include <algorithm>

namespace ivygw {

// Off a client's time: what the way back and a busy core may take, so that the last byte is out in time.
inline constexpr double kMaxResponseMarginS = 0.01, kResponseMarginShare = 0.1;
inline double ResponseMargin(double timeout_s) {
  return std::min(kMaxResponseMarginS, kResponseMarginShare * timeout_s);
}

// Of the counter's time-out in the settings. A real counter answers when a call has had its turn, however
// late, and what a late answer tells is worth more than the wait: given up, its amount would pass for others'
// use.
inline constexpr double kCounterTimeoutFactor = 3;

// Kept connections are closed this share of the backend's own idle limit after their last answer. Guards
// against a request written just as the backend closes, which would end as a reset.
inline constexpr double kIdleTimeoutShare = 0.7;
inline constexpr double kDefaultIdleTimeoutS = 5;  // where the backend's limit is not told
// Off the drain's grace: the time a write may take to come out on a busy core.
inline constexpr double kDrainWriteMarginS = 0.1;

// After SIGTERM clients go on coming for up to 0.4 s. Then kept connections are closed, and what is held is
// finished within the longest deadline and a margin.
inline constexpr double kShutdownIdleCloseDelayS = 0.5, kShutdownMarginS = 0.6;
// After an operator's drain begins, the front may take this long to notice and to stop bringing new
// connections.
inline constexpr double kDrainIdleCloseDelayS = 0.7;

}  // namespace ivygw

#endif  // IVYGW_CORE_LIMITS_H_
