// What the gateway takes off a client's time, and what it grants the counter.
#ifndef IVYGW_GATEWAY_LIMITS_H_
#define IVYGW_GATEWAY_LIMITS_H_

#include <algorithm>

namespace ivygw {

// Off a client's time: what the way back and a busy core may take, so that the last byte is out in time.
inline constexpr double kMarginS = 0.01, kMarginShare = 0.1;
inline double AnswerMargin(double timeout_s) { return std::min(kMarginS, kMarginShare * timeout_s); }

// Of the counter's time-out in the settings. A real counter answers when a call has had its turn, however late,
// and what a late answer tells is worth more than the wait: given up, its amount would pass for others' use.
inline constexpr double kCountPatience = 3;

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_LIMITS_H_
