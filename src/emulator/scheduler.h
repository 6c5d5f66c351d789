// A clock and what is to be done at a later time: virtual, or a real event loop's. One thread.
#ifndef IVYGW_EMULATOR_SCHEDULER_H_
#define IVYGW_EMULATOR_SCHEDULER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ivygw::emulator {

// Times are seconds of the run's clock; they may begin below nought.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual double Now() const = 0;
  // Runs `task` at `when`, or as soon as may be after it, never within this call. What is due at one time
  // runs in the order in which it was asked for.
  virtual void At(double when, std::function<void()> task) = 0;
  void After(double wait, std::function<void()> task) { At(Now() + wait, std::move(task)); }
};

class VirtualScheduler : public Scheduler {
 public:
  explicit VirtualScheduler(double begin) : now_(begin) {}
  double Now() const override { return now_; }
  void At(double when, std::function<void()> task) override {
    heap_.push_back({std::max(when, now_), ++last_, std::move(task)});
    std::push_heap(heap_.begin(), heap_.end());
  }
  // Runs what is due up to `end`, which becomes the time; `each` is called now and then with the time.
  template <typename Each>
  void RunUntil(double end, Each each) {
    for (uint64_t n = 0; !heap_.empty() && heap_.front().when <= end; ++n) {
      std::pop_heap(heap_.begin(), heap_.end());
      Task next = std::move(heap_.back());
      heap_.pop_back();
      now_ = next.when;
      next.task();
      if (n % 4096 == 0) each(now_);
    }
    now_ = std::max(now_, end);
  }

 private:
  struct Task {
    double when;
    uint64_t number;
    std::function<void()> task;
    bool operator<(const Task& other) const {  // the heap's top is the earliest
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  double now_;
  uint64_t last_ = 0;
  std::vector<Task> heap_;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_SCHEDULER_H_
