// Enforces one customer's hard rate limit (its ceiling) in one gateway, where all gateways of the customer's
// set share that limit: a local bucket holding this gateway's share, spent without coordination, and a pool
// reserved at the shared counter before it is spent. No clock and no I/O; times are seconds of one clock
// common to all gateways, units are the customer's. Not thread-safe.
//
// Local bucket: a token bucket that starts empty, so that a gateway that restarts cannot spend its burst a
// second time. The buckets of all gateways add up to the local fraction of the ceiling, whatever is lost.
//
// Pool: time is divided into fixed windows. A window's count at the counter accepts at most `WindowLimit`
// units, which are reserved (added to the count) before they are sent. The limits of two consecutive windows
// add up to the pool's burst, and the limit of each further window is the pool's rate times the length of a
// window, so that no interval of T seconds passes more than burst + rate * T. Reservations are never
// returned: a window's total never decreases, so a smaller total shows at once that the counter has lost
// writes; what a window leaves unused is less than one request. A reservation without a reply may have been
// added to the count; its units are not spent.
#ifndef IVYGW_PARTS_CEILING_H_
#define IVYGW_PARTS_CEILING_H_

#include <array>
#include <cstdint>
#include <optional>

namespace ivygw::parts {

// A ceiling and the way it is shared among gateways. Derived in docs/design/allowances.md.
struct CeilingParams {
  double rate = 0, burst = 0;  // in units per second (above 0), and in units
  // Gateways in the customer's set, at least 1; the same for all the customer's requests.
  double gateway_count = 1;
  double max_request_units = 1;  // units of the largest request

  bool has_counter = true;   // a shared counter exists, at which the pool is reserved
  double leased_share = -1;  // share of the local fraction leased to this gateway; negative: an equal share

  // Fraction of the ceiling that is split among the gateways and spent without the counter. It is 0.5, so
  // that traffic that arrives through few gateways finds the other half in the pool. It is 0 if an equal
  // share cannot hold half of the largest request, since shares that no request fits into are of no use;
  // leased shares are not affected, since each one holds the largest request. It is 1 if there is no counter
  // at which to reserve, or if there is one gateway and shares are not leased.
  double LocalFraction() const;
  double GatewayShare() const;   // this gateway's share of the local fraction
  double WindowSeconds() const;  // length of a window of the pool
  double WindowLimit() const;    // units per window
  int64_t WindowIndex(double now) const;
};

class CeilingLimiter {
 public:
  // Fills the local bucket with what accrues in `uptime_s`, the time for which this gateway has run.
  void Initialize(const CeilingParams& params, double uptime_s);
  void Refill(const CeilingParams& params, double seconds);

  // Units that may be sent now.
  double AvailableUnits(const CeilingParams& params, double now) const;
  // Whether the current window may still grant this many units.
  bool CanReserve(const CeilingParams& params, double units, double now) const;
  struct Reservation {
    int64_t window = 0;
    double units = 0;
  };
  // Requests units in addition to those already requested. Returns the reservation to make at the counter, or
  // nothing while another is pending. With 0 `units`, requests those that accumulated while another
  // reservation was pending. Each reservation must be followed by CompleteReservation.
  std::optional<Reservation> Reserve(const CeilingParams& params, double units, double now);
  // Takes the counter's reply. If the counter has `confirmed` that it added the units, `total` is the
  // window's new total. Returns false if that total without these units is below an earlier total: the
  // counter has lost writes, and nothing is granted.
  bool CompleteReservation(const CeilingParams& params, const Reservation& reservation, bool confirmed,
                           double total);
  bool reserving() const { return reserving_; }

  // Spends units that `AvailableUnits` allowed, reserved ones first.
  void Spend(const CeilingParams& params, double units, double now);

  // The complete state, for tests that search the state space and skip states already visited.
  std::array<double, 6> State() const {
    return {local_units_,     static_cast<double>(window_),   window_total_, granted_,
            requested_units_, static_cast<double>(reserving_)};
  }

 private:
  double local_units_ = 0;
  int64_t window_ = -1;         // the window that window_total_ and granted_ belong to
  double window_total_ = 0;     // the highest total that the counter has reported for the window
  double granted_ = 0;          // units reserved and not yet spent
  double requested_units_ = 0;  // units waiting for the next reservation
  bool reserving_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_CEILING_H_
