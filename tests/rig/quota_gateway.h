// Drives the Quotas of one gateway without backends, and collects the calls to the counter that it makes.
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

// One plan whose excess earns nothing.
inline Settings QuotaSite(int gateways) {
  Settings s = Site();
  s.gateways = gateways;
  s.max_units = 8;
  s.count_timeout_s = 0.03;
  s.plans[0].rate = kRate;
  s.plans[0].burst = kBurst;
  return s;
}

// One gateway's quotas, with the calls in progress.
class QuotaGateway {
 public:
  QuotaGateway(const Settings& settings, uint64_t seed, double start)
      : settings_(settings), dice_(seed), quotas_(settings_, &dice_, &ticks_, start) {}

  // Whether a request is admitted at once; requests are never held for the counter here.
  bool TryAdmit(double now, double units, uint64_t customer = kCustomer) {
    Request r;
    r.customer = customer;
    r.units = units;
    r.left_s = 1;
    r.entries = settings_.gateways;
    Customer& c = quotas_.FindOrCreate(r, now);
    double chance = 0;
    bool in = quotas_.Check(&c, r, 0.02, now, &chance) == Verdict::kWithinQuota;
    if (in) quotas_.Admit(&c, r, true, false);
    ReportUnits(now, customer);
    return in;
  }
  // Records that a held request of the customer was within its quota.
  void LearnWithinQuota(uint64_t customer) { quotas_.LearnWithinQuota(quotas_.Lookup(customer), true); }
  // Charges without an admission check, so that what is reported is exactly what was charged.
  void Charge(double now, double units) {
    Request r;
    r.customer = kCustomer;
    r.units = units;
    r.entries = settings_.gateways;
    Customer& c = quotas_.FindOrCreate(r, now);
    double chance = 0;
    quotas_.Check(&c, r, 0.02, now, &chance);  // refills the bucket up to `now`
    quotas_.Charge(&c, units, 1);
    ReportUnits(now);
  }
  void ReportUnits(double now, uint64_t customer = kCustomer) {
    if (Customer* c = quotas_.Lookup(customer)) quotas_.MaybeReportUnits(customer, c, now, &actions_);
    CollectActions();
  }
  void Answer(double now, const Action& call, Result result, double total) {
    quotas_.OnCount(now, {call.tag, total, result}, &actions_);
    CollectActions();
  }
  const Customer& customer() { return *quotas_.Lookup(kCustomer); }
  std::vector<Action> calls;  // in progress, oldest first
  std::vector<std::string> log;

 private:
  void CollectActions() {
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

// A counter without faults: the sum of what was added under each name; names never expire.
using Counter = std::map<uint64_t, double>;

}  // namespace micadock

#endif  // IVYGW_TESTS_RIG_QUOTA_GATEWAY_H_
