// Admission. Whether a tenant's request may pass at this gateway, on arrival, before any backend is chosen.
// Pure: the time of each event is told (seconds of one steady clock of this gateway). One thread.
//
// Each tenant has a bucket here. Every tick it is refilled by
//     u_i = u_g_i + V_i / sum(V) * (W - mu_i), capped at T_i - mu_i
// with the guarantee u_g_i from the shares of the tenant's limit that the cores have granted to this gateway,
// V_i its requests of the last tick, W what this gateway served in it (nought after a backend without room,
// or latencies past the aim) and mu_i what is in the bucket. The share term lifts a tenant by kLift of its
// guarantee at most, so that all gateways together stay within what the limit's stated overrun allows. What
// the guarantee leaves wanting, as requests come in clumps, is drawn from the cores' pools in small batches
// ahead of need. Beside that stands the counter check: in windows of burst / rate, the store estimate S =
// clip(S + rate * window - last total, 0, burst); refused is what passes S + rate * window by the counter's
// total and this gateway's newer count. A gateway that is cut off goes on with what it was granted, and then
// with what it retains of that (lease_terms.h).
#ifndef IVYGW_SYSTEM_RATE_LIMIT_ADMISSION_H_
#define IVYGW_SYSTEM_RATE_LIMIT_ADMISSION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config_model/model.h"
#include "messages/control.h"
#include "rate_limit/lease_terms.h"

namespace ivygw::rate_limit {

// Whether a request may pass.
struct AdmissionDecision {
  bool admitted = true;
  // Its token has been requested from a core's pool: RetryPending decides once grants have come, at the
  // latest after kTokenTimeout.
  bool pending = false;
  double retry_after_s = 0;  // of a rejected one
};

struct AdmissionOptions {
  double tick_s = 0.1;
  double slack = 20;  // requests over the limit that the operators allow in a window, over all gateways
  double window_s = 5;
  double idle_s = 30;  // a bucket that nobody has asked for so long is dropped
};

class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options_(options) {}

  // A request of this tenant has arrived.
  AdmissionDecision OnRequest(double now, const config_model::Tenant& tenant);
  // Decides once more on a request that was pending.
  AdmissionDecision RetryPending(double now, const std::string& tenant);
  // A request that was pending waits no longer.
  void CancelPending(const std::string& tenant);
  // A backend has served a request.
  void OnServed() { ++served_; }
  // A backend had no room, or latencies are past their target.
  void OnOverload() { overloaded_ = true; }

  // How many gateways there are.
  void SetGatewayCount(size_t gateways) { gateways_ = gateways; }
  // How many cores that allocate are connected.
  void SetAllocatorCount(size_t connected) { no_allocator_ = connected == 0; }
  // The report to a core. `all`: of all tenants, else of those alone that are short of tokens now. `draw`:
  // requests tokens from this core's pool.
  messages::UsageReport BuildReport(double now, const std::string& core, size_t allocators, bool all,
                                    bool draw);
  void OnGrants(double now, const std::string& core, const messages::QuotaGrants& grants);
  // Notices that no core answers any more. Some ten times a second.
  void OnTime(double now);
  // A tenant's bucket has run low, and nothing has been asked for it yet.
  bool needs_tokens() const { return needs_tokens_; }

  struct Counters {
    uint64_t admitted = 0;
    // Refused: by the bucket while cores answer, by the bucket while none does, by the counter.
    uint64_t rejected_by_bucket = 0, rejected_by_isolation = 0, rejected_by_counter = 0;
  };
  Counters counters() const;

 private:
  struct LeasedShare {
    double share = 0;
    double reported_for_it_at = -kRetentionTerm;  // when the report was sent that the grant answers
    double InForce(double now) const { return ShareInForce(share, now - reported_for_it_at + kLeaseMargin); }
    uint64_t total = 0;  // the counter's, at its last word
    bool counted = false;
    double reported_at = -1, reported_wanted = 0;  // by this gateway's last report
    uint64_t reported_admitted = 0;
  };
  struct Bucket {
    double rate = 0, burst = 0;  // the limit, with this gateway's part of the slack
    uint64_t version = 0;
    double tokens = 0, refilled = 0;
    double requested_at = 0;           // when, last
    double demand = 0, demand_at = 0;  // requests a second, of late
    size_t pending = 0;                // requests that are pending
    double pools_empty_until = -1;     // all pools were empty
    double batch_requested_at = -1;    // when a batch was asked for that hasn't come
    double draw_round_at = -1;         // when pools began to be asked one after the other
    int draws = 0;
    uint64_t requests_now = 0, requests_before = 0;  // of this tick and the last
    uint64_t admitted = 0;                           // in all
    std::map<std::string, LeasedShare> leased;       // by core
    double store = 0, window_from = 0;               // S; when the window began
    double window_total = 0,
           newer = 0;  // the counter's total of the window; own requests that it does not know yet
    bool counting = false;
    std::string counter;       // the core whose totals count
    double counter_until = 0;  // without a word of it, another's do
  };
  void Refill(double now, Bucket* bucket);
  AdmissionDecision Take(double now, Bucket* bucket);
  bool IsIsolated(double now) const {
    return core_answered_at_ < 0 || no_allocator_ || now > core_answered_at_ + kCoreTimeout;
  }
  void Window(double now, Bucket* bucket);
  double LeasedShareOf(double now, const Bucket& bucket) const;
  double Free(double now);
  double RetryAfter(double now, const Bucket& bucket) const;
  double Demand(double now, const Bucket& bucket) const;
  double Store(double now, const Bucket& bucket) const;  // T_i
  double Shortfall(double now, const Bucket& bucket) const;

  const AdmissionOptions options_;
  std::map<std::string, Bucket> buckets_;
  struct OutstandingReport {
    std::string core;
    double at = 0;
    std::map<std::string, uint64_t> admitted;  // that the report told
    std::set<std::string> drawn_tenants;       // tenants for whom it asked for a batch
  };
  std::map<uint64_t, OutstandingReport> reports_;
  uint64_t last_report_ = 0;
  double core_answered_at_ = -1,
         isolated_at_ =
             -1;  // when a core answered last; when this gateway last added what is for times without
  size_t gateways_ = 1;
  uint64_t served_ = 0, served_before_ = 0, requests_sum_ = 0, requests_sum_before_ = 0;
  double tick_ = 0;
  bool no_allocator_ = false;
  bool overloaded_ = false, overloaded_before_ = false, needs_tokens_ = false;
  Counters counters_;
};

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_ADMISSION_H_
