// The paper's ticks of time, as a ring: a book with no decision in it. One thread; `now` in seconds on one
// clock.
#ifndef IVYGW_BASE_TICKS_H_
#define IVYGW_BASE_TICKS_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace micadock {

// What was asked for and served in each, and whether the back end was pressed.
struct Tick {
  double asked = 0, served = 0;
  bool pressed = false;
};
class Ticks {
 public:
  static constexpr double kTickS = 0.1;  // s, the paper's
  static constexpr int kTicks = 16;      // kept, so that a customer of few requests finds its last one

  int64_t Roll(double now) {
    int64_t tick = static_cast<int64_t>(std::floor(now / kTickS));
    for (int64_t t = std::max(tick_ + 1, tick - kTicks + 1); t <= tick; ++t) ticks_[t % kTicks] = Tick();
    return tick_ = tick;
  }
  Tick& At(int64_t tick) { return ticks_[tick % kTicks]; }
  bool Pressed(double now) {
    int64_t tick = Roll(now);
    return At(tick).pressed || At(tick + kTicks - 1).pressed;
  }
  void MarkPressed(double now) { At(Roll(now)).pressed = true; }

 private:
  std::array<Tick, kTicks> ticks_;
  int64_t tick_ = 0;
};

}  // namespace micadock

#endif  // IVYGW_BASE_TICKS_H_
