#include "parts/ceiling.h"

#include <algorithm>
#include <cmath>

namespace ivygw::parts {
namespace {
constexpr double kRoundingTolerance = 1e-6;  // units, when totals are compared
constexpr double kMinWindowS = 1e-3;         // lower bound of a window's length, whatever the rate and burst
}  // namespace

double CeilingParams::LocalFraction() const {
  double burst_per_gateway = burst / std::max(1.0, gateway_count);
  if (!has_counter || (gateway_count <= 1 && leased_share < 0)) return 1;
  return leased_share >= 0 || burst_per_gateway >= 0.5 * max_request_units ? 0.5 : 0;
}
double CeilingParams::GatewayShare() const {
  return leased_share >= 0 ? leased_share : 1 / std::max(1.0, gateway_count);
}
double CeilingParams::WindowSeconds() const { return std::max(kMinWindowS, burst / (2 * rate)); }
double CeilingParams::WindowLimit() const { return (1 - LocalFraction()) * burst / 2; }
int64_t CeilingParams::WindowIndex(double now) const {
  return static_cast<int64_t>(std::floor(now / WindowSeconds()));
}

void CeilingLimiter::Initialize(const CeilingParams& params, double uptime_s) {
  double share = params.LocalFraction() * params.GatewayShare();
  local_units_ = std::min(share * params.burst, share * params.rate * std::max(0.0, uptime_s));
}

void CeilingLimiter::Refill(const CeilingParams& params, double seconds) {
  double share = params.LocalFraction() * params.GatewayShare();
  local_units_ = std::min(share * params.burst, local_units_ + share * params.rate * seconds);
}

double CeilingLimiter::AvailableUnits(const CeilingParams& params, double now) const {
  return local_units_ + (params.WindowIndex(now) == window_ ? granted_ : 0);
}

bool CeilingLimiter::CanReserve(const CeilingParams& params, double units, double now) const {
  double total = params.WindowIndex(now) == window_ ? window_total_ : 0;
  return units <= params.WindowLimit() - total;
}

std::optional<CeilingLimiter::Reservation> CeilingLimiter::Reserve(const CeilingParams& params, double units,
                                                                   double now) {
  requested_units_ += units;
  if (reserving_ || requested_units_ <= 0) return std::nullopt;
  if (int64_t window = params.WindowIndex(now); window != window_) {
    window_ = window;
    window_total_ = granted_ = 0;
  }
  reserving_ = true;
  Reservation reservation{window_, requested_units_};
  requested_units_ = 0;
  return reservation;
}

bool CeilingLimiter::CompleteReservation(const CeilingParams& params, const Reservation& reservation,
                                         bool confirmed, double total) {
  reserving_ = false;
  if (!confirmed || reservation.window != window_) return true;
  double before = total - reservation.units;
  bool consistent = before > window_total_ - kRoundingTolerance;
  if (consistent) granted_ += std::clamp(params.WindowLimit() - before, 0.0, reservation.units);
  window_total_ = std::max(window_total_, total);
  return consistent;
}

void CeilingLimiter::Spend(const CeilingParams& params, double units, double now) {
  double reserved = params.WindowIndex(now) == window_ ? std::min(granted_, units) : 0;
  granted_ -= reserved;
  local_units_ -= units - reserved;
}

}  // namespace ivygw::parts
