// The monotonic clock that every timer of the gateway goes by.
#ifndef IVYGW_NET_CLOCK_H_
#define IVYGW_NET_CLOCK_H_

#include <chrono>

namespace ivygw {

using Clock = std::chrono::steady_clock;

inline Clock::duration Seconds(double s) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(s));
}

}  // namespace ivygw

#endif  // IVYGW_NET_CLOCK_H_
