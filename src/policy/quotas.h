// Customers' quotas, ceilings and concurrency caps over all gateways, kept in step through a shared counter.
#ifndef MICADOCK_POLICY_QUOTAS_H_
#define MICADOCK_POLICY_QUOTAS_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "parts/ceiling.h"
#include "policy/common.h"

namespace micadock {

// The stated bound on what passes beyond a quota (gateway/quota_bound.cpp) depends on these, except kReportTimerTag.
inline constexpr double kCeilingSlackShare = 0.95;  // share of a ceiling's slack in use; the rest covers rounding
inline constexpr double kMinPartShare = 0.5;  // share of an even part kept for traffic that moves here in an outage
inline constexpr double kUnusedShareFactor = 1.5;  // even shares of the unused rate added to a gateway's own rate
inline constexpr double kShareDecayWindows = 4;  // time constant of decay of rate shares to even ones
inline constexpr uint64_t kReportTimerTag = 1ULL << 41;  // timer for reports deferred by the gap between calls
inline constexpr int kUnsoundAnswerLimit = 2;  // failed or unsound answers in a row at which the local part applies

// kReserve: within quota, provided that the counter reserves ceiling units for the request.
enum class Verdict { kWithinQuota, kBorrowed, kOverQuota, kReserve };

struct HeldRequest {  // a request that waits for the counter's answer
  uint32_t request;
  double units;
  bool charged;  // its units are already charged, and the call to the counter adds them; else the call only reads
  bool reserving = false;  // waits for a reservation of ceiling units, not for the quota's total
};

// A plan's ceiling, shared by `gateways` gateways.
inline ivygw::parts::CeilingParams PlanCeiling(const Settings& s, const PlanSettings& p, double gateways) {
  return {p.ceiling_rate, p.ceiling_burst + kCeilingSlackShare * p.ceiling_slack, gateways, s.max_units, s.may_count,
          s.lend_ceilings ? 0.0 : -1.0};
}

// One customer as this gateway knows it. The shared counter counts its units by windows of burst / rate seconds.
struct Customer {
  int plan = 0;
  // Gateways through which it may arrive, now and as its first request stated; times of its first and last request.
  double entries = 1, stated_entries = 1, first_seen = 0, last_seen = 0;
  double refilled_at = 0;
  double tokens = 0;       // token bucket of the quota; own sends and those that others reported are taken from it
  double granted = 0;      // tokens beyond the quota, granted by the share term (see GrantShare)
  double others_rate = 0;  // EWMA of the units per second that other gateways send
  double others_rate_mean = 0, own_rate_mean = 0;  // EWMAs over several windows of sound totals: set the local part
  int unsound_answers = 0;  // failed calls in a row; an impossible total counts as kUnsoundAnswerLimit of them
  ivygw::parts::CeilingLimiter ceiling;
  double lent_share = 0, lent_share_until = 0;  // this gateway's share of the lent ceiling, and when it ends
  int64_t window = 0;
  double carried_debt = 0;  // tokens short of a full bucket when this window started, as far as known here
  double window_used = 0;   // carried_debt plus the units of this window, own ones and those that others reported
  double min_total = 0, answered_at = 0;  // least total a sound counter can return in this window; last answer's time
  double sound_total_at = 0;    // time of the last accepted total
  bool window_read = false;     // a total of this window was accepted
  double unreported = 0;        // own units not yet sent to the counter; those of a call that timed out count as sent
  double sent_unread = 0;       // units charged before a first total was accepted
  bool total_known = false, units_call = false;  // a first total was accepted; a call for units is in progress
  int64_t asked_tick = -1; double asked = 0;  // last tick with a request; units asked for in it (V_i in GrantShare)
  int in_flight = 0; int64_t epoch = 0;  // this gateway's attempts; epoch of the count of all gateways' attempts
  double report_weight = 1;       // weight of each own attempt in reports, sampled: 1/p with probability p, else 0
  double reported_in_flight = 0;  // own weighted attempts in flight, as reported in this epoch
  double others_in_flight = 0, others_in_flight_at = -1, others_in_flight_mean = 0;  // last reported, when, EWMA
  double own_in_flight_mean = 0;  // EWMA of in_flight
  bool in_flight_call = false;
  bool report_deferred = false;  // a change of in_flight waits for the gap between calls to end
  double total_units_asked = 0;
  double within_quota_share = 1;  // EWMA: share of its held requests that were within quota
  std::vector<HeldRequest> held;  // requests that wait for the counter's answer, in order of arrival
  int held_for_quota = 0;         // number in `held` that wait for the quota's total, not for a reservation
};

class Quotas {
 public:
  Quotas(const Settings& s, Dice* dice, Ticks* ticks, double now);

  const PlanSettings& PlanOf(const Customer& c) const { return s_.plans[c.plan]; }
  Customer& FindOrCreate(const Request& r, double now);
  Customer* Lookup(uint64_t id);  // null if the customer is not known
  void ExpireIdle(double now);

  // Whether the request passes. `chance`: probability that it is within quota, by the last total and, as that grows
  // stale, by what earlier held requests showed. `work_s`: expected answer time.
  Verdict Check(Customer* c, const Request& r, double work_s, double now, double* chance);
  // Whether to hold the request until the counter answers (milliseconds): if the answer could change the verdict and
  // is worth more than the call's price and congestion: near the limit, and for customers seldom seen here.
  bool ShouldHold(const Customer& c, const Request& r, Verdict verdict, double chance, double now);
  void Charge(Customer* c, double units, double sign);
  // Charges the request, which is sent next. `held`: it waited for the counter; its units are reported unsampled.
  void Admit(Customer* c, const Request& r, bool within_quota, bool held);
  void OnAttemptStarted(uint64_t id, Customer* c, double now, Actions* out);
  void OnAttemptEnded(uint64_t id, Customer* c, double now, Actions* out);
  void CorrectUnits(Customer* c, double difference);  // units that the response reported minus units charged
  void LearnWithinQuota(Customer* c, bool within_quota);  // by the counter's answer for a request that was held

  void OnShare(uint64_t id, double share, double now, double seconds);
  void MaybeReportUnits(uint64_t id, Customer* c, double now, Actions* out);
  // Adds the change of this gateway's attempts in flight since its last report to the sum that all gateways share.
  void ReportInFlight(uint64_t id, Customer* c, double now, Actions* out);
  // Sends the reports that the gap between calls deferred: a customer seldom seen here may have no later event.
  void SendDeferredReports(double now, Actions* out);
  void Reserve(uint64_t id, Customer* c, double units, double now, Actions* out);
  struct CountResult { uint64_t id = 0; Customer* customer = nullptr; bool ok = false; };  // null: unknown customer
  CountResult OnCount(double now, const CountAnswer& answer, Actions* out);

 private:
  struct Call {
    uint64_t customer = 0;
    int64_t window = 0;  // kInFlight: the epoch
    double amount = 0;
    enum Kind { kUnits, kInFlight, kPool } kind = kUnits;
    double sent = 0;
  };
  static double WindowS(const PlanSettings& p) { return p.burst / p.rate; }
  static bool ExcessPays(const PlanSettings& p) { return p.excess_worth > p.over_cost; }
  static double ExcessLoss(const PlanSettings& p) { return p.over_cost - p.excess_worth; }
  static int64_t Window(const PlanSettings& p, double t) { return static_cast<int64_t>(std::floor(t / WindowS(p))); }
  ivygw::parts::CeilingParams AllowanceOf(const Customer& c) const;
  // A customer that may arrive through all configured gateways may arrive through all current ones.
  double EntryGateways(const Customer& c) const {
    return s_.configured_gateways > 0 && c.stated_entries >= s_.configured_gateways
               ? s_.gateways : std::min<double>(c.stated_entries, s_.gateways);
  }
  double IdleTimeoutS(const PlanSettings& p) const;
  void Refill(Customer* c, double now);
  void GrantShare(Customer* c, double units, double now);
  double UnreportedShare() const;
  void DeferReport(uint64_t id, Customer* c, double now, Actions* out);
  bool CallCounter(const Call& call, double expiry, Actions* out);
  bool CounterUnavailable() const;
  bool UsesLocalPart(const Customer& c) const;
  double OthersRate(const Customer& c) const;
  void ApplyTotal(uint64_t id, Customer* c, double amount, double total, double now, Actions* out);
  double CapFreeProbability(const Customer& c, const PlanSettings& p, double span, double now) const;
  void ApplyInFlight(Customer* c, const Call& call, const CountAnswer& answer, double now);

  const Settings& s_;
  Dice* dice_;
  Ticks* ticks_;
  const double start_;
  std::unordered_map<uint64_t, Customer> customers_;
  std::unordered_map<uint64_t, Call> calls_;
  std::deque<uint64_t> deferred_reports_;
  std::vector<double> within_quota_shares_;  // by plan: EWMA like Customer::within_quota_share
  // congestion_: congestion of the counter, 0 to 1: an EWMA of failed and slow answers that is a price on each call.
  double next_call_at_ = 0, congestion_ = 0, loss_logged_at_ = -1e9, expired_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_QUOTAS_H_
