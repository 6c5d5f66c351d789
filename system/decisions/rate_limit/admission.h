// Admission control at a gateway: decides whether a tenant's request may pass, on arrival and before a
// backend is chosen. Pure: the caller passes the time of each event (seconds of one steady clock of this
// gateway). One thread.
//
// Each tenant has a token bucket, which is refilled in every tick by u_i tokens:
//     u_i = u_g_i + V_i / sum(V) * (W - mu_i), capped at T_i - mu_i
// where u_g_i is the guarantee from the shares of the tenant's limit that the cores have granted to this
// gateway, V_i the tenant's requests in the last tick, W the number of requests that this gateway served in
// it (0 after a backend was overloaded or latencies exceeded their target), mu_i the tokens in the bucket,
// and T_i its capacity. The second summand, the share term, is at most kMaxShareTerm of the guarantee, so
// that all gateways together stay within the allowed overrun of the limit. Requests arrive in bursts that the
// guarantee does not cover; the missing tokens are drawn from the cores' pools in small batches ahead of
// need.
//
// In addition, the counter check limits the total over all gateways in windows of burst / rate. The store
// estimate is S = clip(S + rate * window - last total, 0, burst); a request is rejected when the counter's
// total and this gateway's requests not yet included in it exceed S + rate * window. An isolated gateway
// continues with its granted shares, and then with the retained part of them (lease_terms.h).
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

struct AdmissionDecision {
  bool admitted = true;
  // The request waits for a token from a core's pool. RetryPending is to be called when grants have arrived,
  // at the latest after kTokenTimeout, and decides then.
  bool pending = false;
  double retry_after_s = 0;  // of a rejected request
};

struct AdmissionOptions {
  double tick_s = 0.1;
  double slack = 20;  // requests above the limit that are allowed in a window, over all gateways
  double window_s = 5;
  double idle_s = 30;  // buckets without a request for this long are dropped
};

class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options_(options) {}

  // Decides on a request of this tenant that has just arrived.
  AdmissionDecision OnRequest(double now, const config_model::Tenant& tenant);
  // Decides again on a pending request.
  AdmissionDecision RetryPending(double now, const std::string& tenant);
  // A pending request no longer waits for a token.
  void CancelPending(const std::string& tenant);
  // A backend has served a request.
  void OnServed() { ++served_this_tick_; }
  // A backend was overloaded, or latencies exceed their target.
  void OnOverload() { overloaded_this_tick_ = true; }

  // Sets the number of gateways in the cluster.
  void SetGatewayCount(size_t gateways) { gateways_ = gateways; }
  // Sets the number of connected cores that allocate quota.
  void SetAllocatorCount(size_t connected) { no_allocator_ = connected == 0; }
  // Builds the report to a core, of all tenants if `all` is set, otherwise of those that lack tokens now.
  // With `draw`, it requests tokens from the core's pool.
  messages::UsageReport BuildReport(double now, const std::string& core, size_t allocators, bool all,
                                    bool draw);
  void OnGrants(double now, const std::string& core, const messages::QuotaGrants& grants);
  // Detects that no core answers any more. To be called about ten times a second.
  void OnTime(double now);
  // Whether a tenant's bucket has run low and no batch has been requested for it yet.
  bool needs_tokens() const { return needs_tokens_; }

  struct Counters {
    uint64_t admitted = 0;
    // Rejected by the bucket while cores answer, by the bucket while isolated, by the counter check.
    uint64_t rejected_by_bucket = 0, rejected_by_isolation = 0, rejected_by_counter = 0;
  };
  Counters counters() const;

 private:
  struct LeasedShare {
    double share = 0;
    double granted_report_at = -kRetentionTerm;  // when the report that this grant answers was sent
    double InForce(double now) const { return ShareInForce(share, now - granted_report_at + kLeaseMargin); }
    uint64_t last_total = 0;  // the counter's total in the last grant
    bool has_total = false;
    // Time, requested share and admitted requests of this gateway's last report to the core.
    double reported_at = -1, reported_wanted = 0;
    uint64_t reported_admitted = 0;
  };
  struct Bucket {
    double rate = 0, burst = 0;  // the limit; the rate includes kRateSlackShare of the slack
    uint64_t version = 0;
    double tokens = 0, refilled_at = 0;
    double requested_at = 0;           // when the last request arrived
    double demand = 0, demand_at = 0;  // recent requests per second, as averaged at demand_at
    size_t pending = 0;                // requests that wait for a token
    double pools_empty_until = -1;     // the pools count as empty until this time
    double batch_requested_at = -1;    // when the batch that has not arrived was requested; -1: none
    double draw_round_at = -1;         // start of the current round of draws from the pools; -1: none
    int draws = 0;                     // draws in the round of draw_round_at that gave too few tokens
    uint64_t requests_this_tick = 0, requests_last_tick = 0;
    uint64_t admitted = 0;                        // since the bucket was created
    std::map<std::string, LeasedShare> leased;    // by core
    double store_estimate = 0, window_start = 0;  // S and the start of its window
    double window_total = 0,                      // counter's total in this window
        uncounted = 0;                            // own requests not yet in window_total
    bool counting = false;                        // the counter's total is up to date
    std::string counting_core;                    // core whose totals are followed
    double counting_core_until = 0;               // after this time, another core's totals may be followed
  };
  void Refill(double now, Bucket* bucket);
  AdmissionDecision TakeToken(double now, Bucket* bucket);
  bool IsIsolated(double now) const {
    return core_answered_at_ < 0 || no_allocator_ || now > core_answered_at_ + kCoreTimeout;
  }
  void AdvanceWindow(double now, Bucket* bucket);
  double TotalLeasedShare(double now, const Bucket& bucket) const;
  double SpareCapacity(double now);
  double RetryAfter(double now, const Bucket& bucket) const;
  double Demand(double now, const Bucket& bucket) const;
  double BucketCapacity(double now, const Bucket& bucket) const;  // T_i
  double Shortfall(double now, const Bucket& bucket) const;

  const AdmissionOptions options_;
  std::map<std::string, Bucket> buckets_;
  struct OutstandingReport {
    std::string core;
    double at = 0;
    std::map<std::string, uint64_t> admitted;  // as reported, by tenant
    std::set<std::string> drawn_tenants;  // tenants for which the report requested a batch of pool tokens
  };
  std::map<uint64_t, OutstandingReport> reports_;
  uint64_t last_report_ = 0;
  double core_answered_at_ = -1,  // when a core last answered; -1: never
      isolated_at_ = -1;          // when the allowance for isolation was last added
  size_t gateways_ = 1;
  uint64_t served_this_tick_ = 0, served_last_tick_ = 0, total_requests_this_tick_ = 0,
           total_requests_last_tick_ = 0;
  double tick_start_ = 0;
  bool no_allocator_ = false;
  bool overloaded_this_tick_ = false, overloaded_last_tick_ = false, needs_tokens_ = false;
  Counters counters_;
};

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_ADMISSION_H_
