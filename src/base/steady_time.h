// Points and spans of time on one steady clock, in seconds with fractions.
//
// Pure code is told the time of each event as a TimePoint and never reads a clock itself, so that simulations
// can run it at any speed. Two processes' time points are not comparable.
#ifndef IVYGW_BASE_STEADY_TIME_H_
#define IVYGW_BASE_STEADY_TIME_H_

#include <chrono>

namespace ivygw {

using Duration = std::chrono::duration<double>;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// The point that lies `seconds` after the clock's epoch, and back.
constexpr TimePoint TimePointOf(double seconds) { return TimePoint(Duration(seconds)); }
constexpr double SecondsOf(TimePoint time) { return time.time_since_epoch().count(); }

}  // namespace ivygw

#endif  // IVYGW_BASE_STEADY_TIME_H_
