// Random numbers of the emulator: one seed gives one sequence, on every machine and with every standard
// library. (The distributions of <random> are not the same everywhere.)
#ifndef IVYGW_EMULATOR_RANDOM_H_
#define IVYGW_EMULATOR_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <string_view>

namespace ivygw::emulator {

class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  // A sequence of its own for `name`, so that a draw more in one place moves nothing elsewhere.
  Random Fork(std::string_view name, uint64_t number = 0) const {
    uint64_t hash = 0xcbf29ce484222325ULL ^ state_;
    for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return Random(Mix(hash + number * 0x9e3779b97f4a7c15ULL));
  }
  uint64_t Next() { return Mix(state_ += 0x9e3779b97f4a7c15ULL); }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }  // [0, 1)
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  bool Chance(double share) { return Unit() < share; }
  uint64_t Below(uint64_t n) { return n == 0 ? 0 : Next() % n; }
  double Exponential(double mean) { return -mean * std::log1p(-Unit()); }
  // Of the given mean and coefficient of variation.
  double LogNormal(double mean, double cv) {
    if (cv <= 0) return mean;
    double variance = std::log1p(cv * cv);
    double normal = std::sqrt(-2 * std::log1p(-Unit())) * std::cos(6.283185307179586 * Unit());
    return mean * std::exp(std::sqrt(variance) * normal - variance / 2);
  }

 private:
  static uint64_t Mix(uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  uint64_t state_;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_RANDOM_H_
