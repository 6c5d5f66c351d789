// Taranaki (slopes): a straight line through measured points by least squares, with its spread. Pure.
#ifndef IVYGW_SYSTEM_TARANAKI_FIT_H_
#define IVYGW_SYSTEM_TARANAKI_FIT_H_

#include <cmath>
#include <utility>
#include <vector>

namespace ivygw::taranaki {

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

}  // namespace ivygw::taranaki

#endif  // IVYGW_SYSTEM_TARANAKI_FIT_H_
