// Default settings for tests of the balancing policy.
#ifndef IVYGW_TESTS_RIG_POLICY_SITE_H_
#define IVYGW_TESTS_RIG_POLICY_SITE_H_

#include "policy/balance.h"

namespace micadock {

// One plan and three classes, one for each Effect.
inline Settings Site() {
  Settings s;
  s.gateways = 3;
  s.resolution_s = 0.002;
  s.push_discovery = true;
  s.max_units = 4;
  s.may_count = true;
  s.count_timeout_s = 0.3;  // too long for a request to be held; tests of holding shorten it
  s.cancel = true;
  s.retry_after = true;
  s.max_retry_after_s = 2;
  s.try_limit = 5;
  s.cold_from = 0.2;
  s.warm_after_s = 16;
  s.tip_multiple = 2;
  s.tip_after_s = 1;
  s.max_discovery_retry_s = 10;
  for (Effect effect : {Effect::kFree, Effect::kGuarded, Effect::kSingleShot}) {
    ClassSettings c;
    c.aim_s = 0.6;
    c.deadline_s = 1.5;
    c.window_s = 1.2;
    c.worth = 1;
    c.effect = effect;
    c.scope = effect == Effect::kGuarded ? Scope::kCell : Scope::kAll;
    s.classes.push_back(c);
  }
  PlanSettings p;
  p.rate = 2;
  p.burst = 10;
  p.over_cost = 1;
  p.price = 1;
  s.plans.push_back(p);
  return s;
}

}  // namespace micadock

#endif  // IVYGW_TESTS_RIG_POLICY_SITE_H_
