// The stages of a drain of the gateway, which an operator starts and may end at any time. When the drain
// begins, the gateway reports that it is not ready and disables keep-alive for its clients. After a delay, in
// which new clients may still connect, idle client connections are closed. Does no I/O.
#ifndef IVYGW_CORE_DRAIN_H_
#define IVYGW_CORE_DRAIN_H_

#include "core/limits.h"
#include "core/timer_queue.h"

namespace ivygw::core {

class Drain {
 public:
  // Begin and End return false if nothing changes; a second Begin doesn't restart the delay.
  bool Begin(double now) {
    if (on()) return false;
    close_idle_at_ = now + kDrainIdleCloseDelayS;
    return true;
  }
  bool End() {
    if (!on()) return false;
    close_idle_at_ = kNever;
    return true;
  }
  bool on() const { return close_idle_at_ != kNever; }
  bool closing_idle(double now) const { return now >= close_idle_at_; }
  double next(double now) const {
    if (closing_idle(now)) return kNever;
    return close_idle_at_;
  }

 private:
  double close_idle_at_ = kNever;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_DRAIN_H_
