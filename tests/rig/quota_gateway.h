// One gateway's quotas asked alone, without servers, and the counter's calls that it makes.
#ifndef IVYGW_TESTS_RIG_QUOTA_GATEWAY_H_
#define IVYGW_TESTS_RIG_QUOTA_GATEWAY_H_

#include <map>
#include <string>
#include <vector>

#include "policy/quotas.h"
#include "rig/policy_site.h"

namespace micadock {

inline constexpr uint64_t kCustomer = 7;
inline constexpr double kRate = 4, kBurst = 8, kWindow = kBurst / kRate;

// One plan that lends nothing.
inline Settings QuotaSite(int gateways) {
  Settings s = Site();
  s.gateways = gateways;
  s.max_units = 8;
  s.count_timeout_s = 0.03;
  s.plans[0].rate = kRate;
  s.plans[0].burst = kBurst;
  return s;
}

// One gateway's quotas, with the calls that are out.
class QuotaGateway {
 public:
  QuotaGateway(const Settings& settings, uint64_t seed, double start)
      : settings_(settings), dice_(seed), quotas_(settings_, &dice_, &ticks_, start) {}

  // Whether a try is sent on at once; a try that would be held for the counter is refused here.
  bool Ask(double now, double units, uint64_t customer = kCustomer) {
    Request r;
    r.customer = customer;
    r.units = units;
    r.left_s = 1;
    r.entries = settings_.gateways;
    Customer& c = quotas_.Find(r, now);
    double chance = 0;
    bool in = quotas_.Judge(&c, r, 0.02, now, &chance) == Verdict::kInside;
    if (in) quotas_.Admit(&c, r, true, false);
    Count(now, customer);
    return in;
  }
  // A customer of the plan was found to be inside when the counter was asked.
  void LearnInside(uint64_t customer) { quotas_.LearnInside(quotas_.Peek(customer), true); }
  // Charges without asking, so that what is told is exactly what was charged.
  void Charge(double now, double units) {
    Request r;
    r.customer = kCustomer;
    r.units = units;
    r.entries = settings_.gateways;
    Customer& c = quotas_.Find(r, now);
    double chance = 0;
    quotas_.Judge(&c, r, 0.02, now, &chance);  // brings the books to this time
    quotas_.Charge(&c, units, 1);
    Count(now);
  }
  void Count(double now, uint64_t customer = kCustomer) {
    if (Customer* c = quotas_.Peek(customer)) quotas_.MaybeCount(customer, c, now, &actions_);
    Gather();
  }
  void Answer(double now, const Action& call, Result result, double total) {
    quotas_.OnCount(now, {call.tag, total, result}, &actions_);
    Gather();
  }
  const Customer& customer() { return *quotas_.Peek(kCustomer); }
  std::vector<Action> calls;  // out, in the order of their making
  std::vector<std::string> log;

 private:
  void Gather() {
    for (Action& a : actions_) {
      if (a.kind == ActionKind::kCount) calls.push_back(a);
      if (a.kind == ActionKind::kLog) log.push_back(a.text);
    }
    actions_.clear();
  }
  const Settings settings_;
  Dice dice_;
  Ticks ticks_;
  Quotas quotas_;
  Actions actions_;
};

// The counter as it truly is: names that live for ever, with the sum of what was added to each.
using Counter = std::map<uint64_t, double>;

}  // namespace micadock

#endif  // IVYGW_TESTS_RIG_QUOTA_GATEWAY_H_
