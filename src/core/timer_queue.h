// Due times in order. There is no way to take one back: the owner passes over what has become void, which is
// cheaper than a search.
#ifndef IVYGW_CORE_TIMER_QUEUE_H_
#define IVYGW_CORE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

namespace ivygw::core {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

enum class TimerKind : uint8_t { kModule, kGuard, kConnect, kPatience, kCount };

class TimerQueue {
 public:
  struct Timer {
    double at;
    uint64_t number;  // those of one time are due in the order in which they were added
    TimerKind due;
    uint64_t tag;
    bool operator>(const Timer& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void Add(double at, TimerKind due, uint64_t tag) { waiting_.push({at, ++last_, due, tag}); }
  // Takes away from the front what `is_void` says can bring nothing about any more, so that nobody wakes for
  // it.
  template <typename IsVoid>
  void Prune(IsVoid is_void) {
    while (!waiting_.empty() && is_void(waiting_.top())) waiting_.pop();
  }
  double next() const {
    if (waiting_.empty()) return kNever;
    return waiting_.top().at;
  }
  size_t size() const { return waiting_.size(); }
  // All that is due at `now`; what is added meanwhile waits for the next turn.
  std::vector<Timer> Take(double now) {
    std::vector<Timer> due;
    while (!waiting_.empty() && waiting_.top().at <= now) {
      due.push_back(waiting_.top());
      waiting_.pop();
    }
    return due;
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> waiting_;
  uint64_t last_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_TIMER_QUEUE_H_
