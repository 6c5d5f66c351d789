// A queue of timers ordered by due time. Timers are not cancelled: the owner skips those that are obsolete,
// which is cheaper than searching the queue.
#ifndef IVYGW_CORE_TIMER_QUEUE_H_
#define IVYGW_CORE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

namespace ivygw::core {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

enum class TimerKind : uint8_t {
  kBalancer,
  kRequestDeadline,
  kConnectTimeout,
  kAttemptTimeout,
  kCounterCallTimeout
};

class TimerQueue {
 public:
  struct Timer {
    double at;
    uint64_t sequence;  // orders timers of the same due time by their insertion
    TimerKind kind;
    uint64_t id;  // by `kind`: the number of a request, exchange or counter call, or the balancer's tag
    bool operator>(const Timer& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void Add(double at, TimerKind kind, uint64_t id) { timers_.push({at, ++last_sequence_, kind, id}); }
  // Removes obsolete timers from the front, so that the driver doesn't wake up for them.
  template <typename IsObsolete>
  void Prune(IsObsolete is_obsolete) {
    while (!timers_.empty() && is_obsolete(timers_.top())) timers_.pop();
  }
  double next() const {
    if (timers_.empty()) return kNever;
    return timers_.top().at;
  }
  size_t size() const { return timers_.size(); }
  // Removes and returns the timers that are due at `now`. Timers that are added while the returned ones are
  // handled wait for the next call.
  std::vector<Timer> TakeExpired(double now) {
    std::vector<Timer> expired;
    while (!timers_.empty() && timers_.top().at <= now) {
      expired.push_back(timers_.top());
      timers_.pop();
    }
    return expired;
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  uint64_t last_sequence_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_TIMER_QUEUE_H_
