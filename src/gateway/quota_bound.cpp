#include "gateway/quota_bound.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <limits>

#include "core/limits.h"
#include "parts/ceiling.h"
#include "policy/quotas.h"

namespace ivygw {

double QuotaBound::Whatever(double seconds, int restarts) const {
  return std::min(whatever.Over(seconds) + restarts * restart, ceiling_whatever.Over(seconds));
}
double QuotaBound::Silent(double seconds, int restarts) const {
  return std::min(silent.Over(seconds) + restarts * restart_silent,
                  std::min(Whatever(seconds, restarts), ceiling.Over(seconds)));
}
double QuotaBound::Frozen(double seconds, int restarts) const {
  return std::min(frozen.Over(seconds) + restarts * restart,
                  std::min(Whatever(seconds, restarts), ceiling_frozen.Over(seconds)));
}

QuotaBound BoundOf(const micadock::Settings& settings, const micadock::PlanSettings& plan, int gateways) {
  double k = std::max(1, gateways), burst = plan.burst, rate = plan.rate;
  QuotaBound bound;
  // Each gateway by itself keeps to a store of the burst that gains the rate; a second burst passes where a
  // window ends, since a window's total is judged as a whole.
  bound.whatever = {(k - 1) * burst + k * burst, (k - 1) * rate};
  bound.restart = 2 * burst;
  bound.restart_silent = burst;
  // In silence nothing is read, so no window is judged anew: a full store each, then the parts. Shares as
  // last told need not add up while they fade (each passes an even one by 1 - 1/k of the rate at most); even
  // parts of what nobody used add up to kUnusedShareFactor times the rate. Until the failure shows
  // (kUnsoundAnswerLimit calls that nobody answers), others may be taken for idle.
  double notice_s = micadock::kUnsoundAnswerLimit * kCounterTimeoutFactor * settings.count_timeout_s;
  if (k > 1) {
    bound.silent.once = (k - 1) * (1 + micadock::kShareDecayWindows) * burst + (k - 1) * rate * notice_s;
    bound.silent.a_second = (micadock::kUnusedShareFactor - 1) * rate;
    // Frozen totals are found out by what this gateway added itself, at the latest at the end of a window;
    // until then they are judged as whole ones are. After that they count as no answers.
    bound.frozen = {bound.silent.once + k * burst, bound.silent.a_second};
  }
  double endless = std::numeric_limits<double>::infinity();
  bound.ceiling = bound.ceiling_frozen = bound.ceiling_whatever = {endless, 0};
  if (plan.ceiling_rate > 0) {
    parts::CeilingParams a = PlanCeiling(settings, plan, k);
    // Of the part that is reserved each gateway spends a window's limit at most, also where the counter tells
    // it of its own reservations alone; totals that stand still are believed once.
    double times = a.LocalFraction() + k * (1 - a.LocalFraction());
    bound.ceiling = {a.burst - burst, a.rate - rate};
    bound.ceiling_frozen = {a.burst + k * a.WindowLimit() - burst, a.rate - rate};
    bound.ceiling_whatever = {times * a.burst - burst, times * a.rate - rate};
    bound.ceiling_loss = a.WindowLimit();
  }
  return bound;
}

std::vector<std::string> DescribeBounds(const micadock::Settings& settings,
                                        const std::vector<std::string>& names) {
  std::vector<std::string> lines;
  for (size_t i = 0; i < settings.plans.size(); ++i) {
    const micadock::PlanSettings& plan = settings.plans[i];
    std::string name = i < names.size() ? names[i] : std::to_string(i);
    char text[800];
    if (plan.rate <= 0) {
      std::snprintf(text, sizeof(text), "plan %s: no quota on the rate", name.c_str());
    } else if (plan.excess_worth > plan.over_cost) {
      std::snprintf(text, sizeof(text), "plan %s: lent beyond its quota by design", name.c_str());
    } else {
      QuotaBound b = BoundOf(settings, plan, settings.gateways);
      std::snprintf(
          text, sizeof(text),
          "plan %s: over %d gateways at most %.1f units beyond burst and rate in 15 s, %.1f in 60 s with the "
          "counter silent; %.1f and %.1f with its totals frozen; %.1f and %.1f whatever it answers; "
          "%.1f more for each gateway killed and started again%s",
          name.c_str(), settings.gateways, b.Silent(15), b.Silent(60), b.Frozen(15), b.Frozen(60),
          b.Whatever(15), b.Whatever(60), b.restart,
          plan.ceiling_rate > 0 && b.ceiling_loss <= 0 ? "; its ceiling holds in any case" : "");
      if (b.ceiling_loss > 0) {
        std::snprintf(text + std::strlen(text), sizeof(text) - std::strlen(text),
                      "; its ceiling holds while the counter is sound or silent, and may be passed by %.1f "
                      "for each time that "
                      "the counter loses what it held",
                      b.ceiling_loss);
      }
    }
    lines.push_back(text);
  }
  return lines;
}

}  // namespace ivygw
