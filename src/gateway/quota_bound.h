// How far a customer's quota may be passed when the shared counter fails, from the settings alone: pure
// arithmetic, printed by `ivygw --check`. Derived in docs/design/counter-faults.md; the constants are the
// module's own.
//
// Excess: the most by which the units of a customer's first attempts (by their guesses, which are taken to be
// true), over all its gateways, pass burst + rate x T in a stretch of T seconds. It holds for plans that lend
// nothing (what is sent on beyond the quota costs more than it earns); the others lend by design.
#ifndef IVYGW_GATEWAY_QUOTA_BOUND_H_
#define IVYGW_GATEWAY_QUOTA_BOUND_H_

#include <string>
#include <vector>

#include "policy/balance.h"

namespace ivygw {

struct QuotaBound {
  // Units, as `once` + `a_second` x T.
  struct Line {
    double once = 0, a_second = 0;
    double Over(double seconds) const { return once + a_second * seconds; }
  };
  Line whatever;  // whatever the counter answers, for as long as it likes
  Line silent;    // no call succeeds from before the stretch to its end
  Line frozen;    // every call is answered with the total as it was when the stretch began, added or not
  // What the plan's ceiling lets pass at most; infinite where there is none: while the counter is sound or
  // silent, with frozen totals, and whatever it answers. They differ where a part of the ceiling is reserved
  // at the counter.
  Line ceiling, ceiling_frozen, ceiling_whatever;
  double ceiling_loss = 0;  // more for each time that the counter loses what it held
  // What each gateway that is killed and started again within the stretch adds to the lines above, but for
  // the ceiling: it knows nothing of what it sent before. In silence it has one store, else a second one
  // where a window ends.
  double restart_silent = 0, restart = 0;

  // The least of what holds in any case, and of what holds in silence or with frozen totals. `restarts`: of
  // all gateways together within the stretch.
  double Whatever(double seconds, int restarts = 0) const;
  double Silent(double seconds, int restarts = 0) const;
  double Frozen(double seconds, int restarts = 0) const;
};

// Of a customer that comes through `gateways` of them, 1 or more. The plan has a rate.
QuotaBound BoundOf(const micadock::Settings& settings, const micadock::PlanSettings& plan, int gateways);

// One line for each plan, for a customer that comes through all gateways. `names` are the plans', in their
// order.
std::vector<std::string> DescribeBounds(const micadock::Settings& settings,
                                        const std::vector<std::string>& names);

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_QUOTA_BOUND_H_
