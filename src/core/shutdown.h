// The stages of a planned end: clients go on coming for a while, then kept connections are closed, then what
// is held is finished, within a bound. Pure.
#ifndef IVYGW_CORE_SHUTDOWN_H_
#define IVYGW_CORE_SHUTDOWN_H_

#include "core/limits.h"
#include "core/timer_queue.h"

namespace ivygw::core {

class Shutdown {
 public:
  // False if it has begun before. `longest_s`: the longest that a request may be held.
  bool Begin(double now, double longest_s) {
    if (begun()) return false;
    closing_at_ = now + kShutdownIdleCloseDelayS;
    over_at_ = now + longest_s + kShutdownMarginS;
    return true;
  }
  bool begun() const { return closing_at_ != kNever; }
  bool closing(double now) const { return now >= closing_at_; }  // clients no longer come
  // Whether a request that is held until `deadline` may be cut off by the end.
  bool CutsOff(double deadline) const { return begun() && deadline > over_at_; }
  bool over(double now) const { return now >= over_at_; }  // the time for what is held is over too
  double next(double now) const { return closing(now) ? over_at_ : closing_at_; }

 private:
  double closing_at_ = kNever, over_at_ = kNever;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_SHUTDOWN_H_
