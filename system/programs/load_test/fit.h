// Slopes. A straight line through points by least squares, with its spread. Pure.
#ifndef IVYGW_SYSTEM_LOAD_TEST_FIT_H_
#define IVYGW_SYSTEM_LOAD_TEST_FIT_H_

#include <cmath>
#include <utility>
#include <vector>

namespace ivygw::load_test {

struct Fit {
  double base = 0, slope = 0;
  double spread = 0;  // standard error of the slope; 0 with fewer than three points
};
inline Fit LeastSquares(const std::vector<std::pair<double, double>>& points) {
  Fit out;
  double n = static_cast<double>(points.size()), mx = 0, my = 0, xx = 0, xy = 0, rest = 0;
  if (points.empty()) return out;
  for (auto [x, y] : points) mx += x / n, my += y / n;
  for (auto [x, y] : points) xx += (x - mx) * (x - mx), xy += (x - mx) * (y - my);
  if (xx <= 0) return {my, 0, 0};
  out.slope = xy / xx;
  out.base = my - out.slope * mx;
  for (auto [x, y] : points) rest += std::pow(y - out.base - out.slope * x, 2);
  if (n > 2) out.spread = std::sqrt(rest / (n - 2) / xx);
  return out;
}

}  // namespace ivygw::load_test

#endif  // IVYGW_SYSTEM_LOAD_TEST_FIT_H_
