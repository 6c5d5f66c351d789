// One gateway's hold on one customer's hard ceiling, which all gateways of its set share: an even part that
// nobody is asked about, and a pool that is reserved at the shared counter before it is spent. Pure: no
// clock, no I/O; times are seconds on one clock of all gateways, units are the customer's. One thread.
//
// The even part: a store that fills from nought, so that a gateway that has just started spends nothing
// twice. Even parts of all gateways add up to their share of the ceiling whatever is lost.
//
// The pool: time is cut into windows; a window's count at the counter takes at most `limit` units, reserved
// (added) before they are sent. Two windows in a row hold the pool's store, and each further one its rate
// over a window, so that no stretch of T seconds passes more than store + rate x T. Nothing is taken back: a
// window's total never goes down, so one that does is a loss, known at once; what is left over of a window is
// less than one request. What no answer came for may have been added and is not spent.
#ifndef IVYGW_PARTS_CEILING_H_
#define IVYGW_PARTS_CEILING_H_

#include <array>
#include <cstdint>
#include <optional>

namespace ivygw::parts {

// What a ceiling is, and among how many it is shared. Derived in docs/design/allowances.md.
struct CeilingParams {
  double rate = 0, burst = 0;    // units a second, units; rate over nought
  double gateway_count = 1;      // of the customer's set, 1 or more; the same in all its requests
  double max_request_units = 1;  // units of the largest request

  bool has_counter = true;   // there is a counter, at which what is not cut evenly is reserved
  double leased_share = -1;  // share of what is cut, that is lent to this gateway; under nought: an even one

  // Share of it that is cut evenly, and may be spent with no counter: half, so that traffic which comes
  // through few gateways finds the other half; nothing where an even part does not hold half of the largest
  // request, since parts that no request fits into serve nobody; all of it where nothing can be reserved.
  // Where parts are lent these hold the largest request.
  double LocalFraction() const;
  double GatewayShare() const;   // this gateway's share of what is cut
  double WindowSeconds() const;  // of the pool
  double WindowLimit() const;    // units a window
  int64_t WindowIndex(double now) const;
};

class CeilingLimiter {
 public:
  // `running_s`: for which this gateway has run; its even part fills for as long.
  void Initialize(const CeilingParams& params, double uptime_s);
  void Refill(const CeilingParams& params, double seconds);

  // Units that may be sent now.
  double AvailableUnits(const CeilingParams& params, double now) const;
  // Whether as many may be had by a reservation.
  bool CanReserve(const CeilingParams& params, double units, double now) const;
  // Asks for so many units beside what is asked for already. A reservation to be made now, or none while one
  // is out; units of 0 ask for what waited for that. `Take` is to follow.
  struct Reservation {
    int64_t window = 0;
    double units = 0;
  };
  std::optional<Reservation> Reserve(const CeilingParams& params, double units, double now);
  // What came of it: the window's total with it, where it is known to have been `added`. False where the
  // total is less than was told before: the counter has lost some, and nothing is granted.
  bool CompleteReservation(const CeilingParams& params, const Reservation& reservation, bool confirmed,
                           double total);
  bool reserving() const { return reserving_; }

  // Units are sent: what was reserved goes first. `Room` held them.
  void Spend(const CeilingParams& params, double units, double now);

  // All of it, for a search that looks for states it has been in.
  std::array<double, 6> State() const {
    return {local_units_,     static_cast<double>(window_),   window_total_, granted_,
            requested_units_, static_cast<double>(reserving_)};
  }

 private:
  double local_units_ = 0;
  int64_t window_ = -1;      // of what follows
  double window_total_ = 0;  // its total
  double granted_ = 0;       // reserved, not spent
  double requested_units_ = 0;
  bool reserving_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_CEILING_H_
