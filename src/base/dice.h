// Draws of the decision module: the same seed gives the same draws everywhere.
#ifndef IVYGW_BASE_DICE_H_
#define IVYGW_BASE_DICE_H_

#include <cstdint>

namespace micadock {

// Spreads a number over all 64 bits; one to one.
inline uint64_t Mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

class Dice {
 public:
  explicit Dice(uint64_t seed) : state_(seed) {}
  double Unit() {  // from 0, under 1
    state_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(Mix(state_) >> 11) * 0x1.0p-53;
  }

 private:
  uint64_t state_;
};

}  // namespace micadock

#endif  // IVYGW_BASE_DICE_H_
