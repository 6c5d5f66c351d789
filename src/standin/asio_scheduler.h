// The emulator's Scheduler on a real event loop and the monotonic clock. One thread.
#ifndef IVYGW_STANDIN_ASIO_SCHEDULER_H_
#define IVYGW_STANDIN_ASIO_SCHEDULER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "emulator/scheduler.h"
#include "net/clock.h"
#include "net/http.h"

namespace ivygw::standin {

class AsioScheduler : public emulator::Scheduler {
 public:
  // The run's nought lies `lead_s` ahead.
  AsioScheduler(asio::io_context& io, double lead_s) : timer_(io), zero_(Clock::now() + Seconds(lead_s)) {}

  double Now() const override { return std::chrono::duration<double>(Clock::now() - zero_).count(); }
  void At(double when, std::function<void()> task) override {
    // A time that never comes within a run would overflow the clock.
    Clock::time_point at = zero_ + Seconds(std::min(when, kFarS));
    heap_.push_back({at, ++last_, std::move(task)});
    std::push_heap(heap_.begin(), heap_.end());
    if (!running_ && (!armed_ || at < armed_at_)) Arm();
  }
  Clock::time_point TimePoint(double when) const { return zero_ + Seconds(when); }

 private:
  static constexpr double kFarS = 1e6;
  struct Task {
    Clock::time_point when;
    uint64_t number;
    std::function<void()> task;
    bool operator<(const Task& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  void Arm() {
    if (heap_.empty()) return;
    armed_ = true;
    armed_at_ = heap_.front().when;
    timer_.expires_at(armed_at_);
    timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      armed_ = false;
      running_ = true;
      auto now = Clock::now();
      // What these ask for at once runs in the next turn, so that sockets are not starved.
      while (!heap_.empty() && heap_.front().when <= now) {
        std::pop_heap(heap_.begin(), heap_.end());
        Task next = std::move(heap_.back());
        heap_.pop_back();
        next.task();
      }
      running_ = false;
      Arm();
    });
  }

  asio::steady_timer timer_;
  const Clock::time_point zero_;
  Clock::time_point armed_at_;
  bool armed_ = false, running_ = false;
  uint64_t last_ = 0;
  std::vector<Task> heap_;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_ASIO_SCHEDULER_H_
