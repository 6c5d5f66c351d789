// The stages of a drain that operators begin and may end at any moment: at once the gateway is not ready and
// asks its clients to close; for a while new ones still come, and from then on idle connections are closed.
// Pure.
#ifndef IVYGW_CORE_DRAIN_H_
#define IVYGW_CORE_DRAIN_H_

#include "core/limits.h"
#include "core/timer_queue.h"

namespace ivygw::core {

class Drain {
 public:
  // False if it was so before: a second call does not begin the drain anew.
  bool Begin(double now) {
    if (on()) return false;
    closing_at_ = now + kDrainIdleCloseDelayS;
    return true;
  }
  bool End() {
    if (!on()) return false;
    closing_at_ = kNever;
    return true;
  }
  bool on() const { return closing_at_ != kNever; }
  bool closing(double now) const { return now >= closing_at_; }
  double next(double now) const {
    if (closing(now)) return kNever;
    return closing_at_;
  }

 private:
  double closing_at_ = kNever;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_DRAIN_H_
