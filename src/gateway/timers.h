// Many timers on one of the event loop's. What is due together is run in one turn of the loop.
#ifndef IVYGW_GATEWAY_TIMERS_H_
#define IVYGW_GATEWAY_TIMERS_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/http.h"

namespace ivygw {

// `Kind` and `tag` are the owner's. There is no way to take a timer back: the owner passes over what has become
// void, which is cheaper than a search.
template <typename Kind>
class Timers {
 public:
  using OnDue = std::function<void(Kind, uint64_t tag)>;
  // `after_turn` runs once all that was due has run.
  Timers(asio::io_context& io, OnDue on_due, std::function<void()> after_turn)
      : timer_(io), on_due_(std::move(on_due)), after_turn_(std::move(after_turn)) {}

  void Add(Clock::time_point at, Kind kind, uint64_t tag) {
    waiting_.push({at, kind, tag});
    if (!armed_ || at < *armed_) Arm();
  }

 private:
  struct Timer {
    Clock::time_point at;
    Kind kind;
    uint64_t tag;
    bool operator>(const Timer& other) const { return at > other.at; }
  };

  void Arm() {
    if (waiting_.empty()) return;
    armed_ = waiting_.top().at;
    timer_.expires_at(*armed_);
    timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      armed_.reset();
      auto now = Clock::now();
      std::vector<Timer> due;
      while (!waiting_.empty() && waiting_.top().at <= now) {
        due.push_back(waiting_.top());
        waiting_.pop();
      }
      for (const Timer& timer : due) on_due_(timer.kind, timer.tag);
      if (!armed_) Arm();
      after_turn_();
    });
  }

  asio::steady_timer timer_;
  OnDue on_due_;
  std::function<void()> after_turn_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> waiting_;
  std::optional<Clock::time_point> armed_;
};

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_TIMERS_H_
