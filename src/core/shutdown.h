// The stages of a graceful shutdown: clients may still connect for a while, then idle client connections are
// closed, then open requests may finish until a time limit. Does no I/O.
#ifndef IVYGW_CORE_SHUTDOWN_H_
#define IVYGW_CORE_SHUTDOWN_H_

#include "core/limits.h"
#include "core/timer_queue.h"

namespace ivygw::core {

class Shutdown {
 public:
  // Returns false if the shutdown has already begun. `max_request_s` is the longest that a request may stay
  // open.
  bool Begin(double now, double max_request_s) {
    if (begun()) return false;
    close_idle_at_ = now + kShutdownIdleCloseDelayS;
    stop_at_ = now + max_request_s + kShutdownMarginS;
    return true;
  }
  bool begun() const { return close_idle_at_ != kNever; }
  // Whether idle client connections are to be closed. This assumes that clients have stopped opening
  // connections by then (kShutdownIdleCloseDelayS); nothing here refuses new ones.
  bool closing_idle(double now) const { return now >= close_idle_at_; }
  // Whether the end of the shutdown may cut off a request with this deadline.
  bool CutsOff(double deadline) const { return begun() && deadline > stop_at_; }
  bool expired(double now) const { return now >= stop_at_; }  // the gateway stops even if requests are open
  double next(double now) const { return closing_idle(now) ? stop_at_ : close_idle_at_; }

 private:
  double close_idle_at_ = kNever, stop_at_ = kNever;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_SHUTDOWN_H_
