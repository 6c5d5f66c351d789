#include "rate_limit/admission.h"

#include <algorithm>
#include <cmath>

namespace ivygw::rate_limit {
namespace {

// Largest share term, as a fraction of the guarantee.
constexpr double kMaxShareTerm = 0.03;
// Time constant over which demand is averaged, in seconds.
constexpr double kDemandAveragingTime = 1.5;
// Bounds of the retry delay reported to rejected clients, in seconds.
constexpr double kMaxRetryAfter = 10;
constexpr double kMinRetryAfter = 0.05;
// Duration of a round in which the pools are asked one after another, in seconds.
constexpr double kDrawRound = 0.05;
// The maximum number of draws in a round.
constexpr int kMaxDrawsPerRound = 3;
// Requested share, as a multiple of the averaged demand.
constexpr double kDemandHeadroom = 1.15;
// Lowest demand, in requests per second, for which a share is requested when the bucket cannot hold a whole
// request.
constexpr double kMinLeasedDemand = 1;
// Interval between reports of an unchanged tenant, in seconds.
constexpr double kUnchangedReportInterval = 1;
// Time for which a tenant requests no extra batches after the pools gave it too few tokens, in seconds.
constexpr double kEmptyPoolsBackoff = 0.05;
// Time within which a requested batch is expected to arrive, in seconds.
constexpr double kBatchTimeout = 0.03;

}  // namespace

double Admission::TotalLeasedShare(double now, const Bucket& bucket) const {
  double sum = 0;
  for (const auto& [core, leased] : bucket.leased) sum += leased.InForce(now);
  return sum;
}

// Ends the current tick, which all tenants share, if it is over. Returns W of the formula in admission.h: the
// number of requests served in the last tick, or 0 if there was an overload.
double Admission::SpareCapacity(double now) {
  if (now >= tick_start_ + options_.tick_s) {
    bool consecutive = now < tick_start_ + 2 * options_.tick_s;
    served_last_tick_ = consecutive ? served_this_tick_ : 0;
    overloaded_last_tick_ = consecutive && overloaded_this_tick_;
    total_requests_last_tick_ = consecutive ? total_requests_this_tick_ : 0;
    served_this_tick_ = total_requests_this_tick_ = 0;
    overloaded_this_tick_ = false;
    for (auto& [name, bucket] : buckets_) {
      bucket.requests_last_tick = consecutive ? bucket.requests_this_tick : 0;
      bucket.requests_this_tick = 0;
    }
    tick_start_ = now - std::fmod(now, options_.tick_s);
  }
  return overloaded_last_tick_ ? 0 : static_cast<double>(served_last_tick_);
}

void Admission::Refill(double now, Bucket* bucket) {
  double spare = SpareCapacity(now);
  double ticks = std::floor((now - bucket->refilled_at) / options_.tick_s);
  if (ticks < 1) return;
  bucket->refilled_at += ticks * options_.tick_s;
  double leased_share = TotalLeasedShare(now, *bucket);
  double guarantee = leased_share * bucket->rate * options_.tick_s;
  double share = 0;
  if (bucket->requests_last_tick > 0 && total_requests_last_tick_ > 0) {
    share = static_cast<double>(bucket->requests_last_tick) / static_cast<double>(total_requests_last_tick_) *
            (spare - bucket->tokens);
  }
  share = std::clamp(share, 0.0, kMaxShareTerm * guarantee);
  double capacity = BucketCapacity(now, *bucket);
  if (bucket->tokens < capacity)
    bucket->tokens = std::min(capacity, bucket->tokens + ticks * guarantee + share);
}

double Admission::Demand(double now, const Bucket& bucket) const {
  return bucket.demand * std::exp(-(now - bucket.demand_at) / kDemandAveragingTime);
}
double Admission::BucketCapacity(double now, const Bucket& bucket) const {
  double fixed = std::min(1.0, options_.slack * kBucketSlackShare / static_cast<double>(gateways_));
  double capacity = fixed + kBucketDemandTime * Demand(now, bucket);
  return IsIsolated(now) ? std::max(1.0, capacity) : capacity;
}
double Admission::Shortfall(double now, const Bucket& bucket) const {
  double target = std::max(1.5 * BucketCapacity(now, bucket), static_cast<double>(bucket.pending));
  return std::max(0.0, target - bucket.tokens);
}

// Ends the counter's window when it is over and updates the store estimate.
void Admission::AdvanceWindow(double now, Bucket* bucket) {
  double length = std::max(bucket->burst, 1.0) / bucket->rate;
  if (now < bucket->window_start + length) return;
  double windows = std::floor((now - bucket->window_start) / length);
  bucket->store_estimate =
      std::clamp(bucket->store_estimate + bucket->rate * length - bucket->window_total, 0.0, bucket->burst);
  if (windows > 1)
    bucket->store_estimate =
        std::min(bucket->burst, bucket->store_estimate + (windows - 1) * bucket->rate * length);
  bucket->window_total = 0;
  bucket->window_start += windows * length;
}

// Estimates when a request that is rejected now may be admitted. Within the limit, that is as soon as the
// bucket has refilled after a burst; above the limit, the delay grows with the excess demand.
double Admission::RetryAfter(double now, const Bucket& bucket) const {
  if (TotalLeasedShare(now, bucket) <= 0)
    return 2 * kMinRetryAfter;  // the tenant is new at this gateway and has no grants yet
  double flow = std::max(
      TotalLeasedShare(now, bucket) / kLeasedRateShare * (kLeasedRateShare + kPooledRateShare) * bucket.rate,
      0.5);
  double excess = bucket.demand - flow;
  if (excess <= 0.3 * flow) return std::clamp((1 - bucket.tokens) / flow, kMinRetryAfter, 1.0);
  return std::clamp(kDemandAveragingTime * excess / flow, 0.2, kMaxRetryAfter);
}

AdmissionDecision Admission::OnRequest(double now, const config_model::Tenant& tenant) {
  if (tenant.rate_per_s <= 0) return {};
  auto [it, inserted] = buckets_.try_emplace(tenant.name);
  Bucket& bucket = it->second;
  if (inserted) {
    bucket.refilled_at = now;
    bucket.window_start = now;
    bucket.store_estimate = tenant.burst;
    bucket.demand_at = now;
    // Until the first grant arrives, the bucket has an even part of the slack, so that all gateways together
    // stay within the slack.
    bucket.tokens = std::min(1.0, options_.slack * kBucketSlackShare / static_cast<double>(gateways_));
  }
  bucket.rate = tenant.rate_per_s + options_.slack * kRateSlackShare / (options_.window_s + 1);
  bucket.burst = tenant.burst;
  bucket.version = tenant.version;
  bucket.store_estimate = std::min(bucket.store_estimate, bucket.burst);
  double elapsed = now - bucket.demand_at;
  bucket.demand = bucket.demand * std::exp(-elapsed / kDemandAveragingTime) + 1 / kDemandAveragingTime;
  bucket.demand_at = now;
  bucket.requested_at = now;
  ++bucket.requests_this_tick;
  ++total_requests_this_tick_;
  return TakeToken(now, &bucket);
}

AdmissionDecision Admission::RetryPending(double now, const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return {false, false, kMinRetryAfter};
  Bucket& bucket = it->second;
  if (bucket.pending > 0) --bucket.pending;
  return TakeToken(now, &bucket);
}

void Admission::CancelPending(const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it != buckets_.end() && it->second.pending > 0) --it->second.pending;
}

AdmissionDecision Admission::TakeToken(double now, Bucket* bucket) {
  Refill(now, bucket);
  AdvanceWindow(now, bucket);
  double length = std::max(bucket->burst, 1.0) / bucket->rate;
  double remaining =
      bucket->store_estimate + bucket->rate * length - bucket->window_total - bucket->uncounted;
  if (bucket->counting && remaining < 1) {
    ++counters_.rejected_by_counter;
    return {false, false, std::max(kMinRetryAfter, bucket->window_start + length - now)};
  }
  bool batch_outstanding = now <= bucket->batch_requested_at + kBatchTimeout;
  if (bucket->tokens < 1) {
    // The pools may have tokens and answer within a few milliseconds, so the request waits. It is rejected at
    // once if the pools were empty a moment ago.
    if (!IsIsolated(now) && now >= bucket->pools_empty_until) {
      ++bucket->pending;
      needs_tokens_ = needs_tokens_ || !batch_outstanding;
      return {false, true, 0};
    }
    ++(IsIsolated(now) ? counters_.rejected_by_isolation : counters_.rejected_by_bucket);
    return {false, false, RetryAfter(now, *bucket)};
  }
  bucket->tokens -= 1;
  if (Shortfall(now, *bucket) > 0.5 * BucketCapacity(now, *bucket) && !batch_outstanding &&
      now >= bucket->pools_empty_until)
    needs_tokens_ = true;
  bucket->uncounted += 1;
  ++bucket->admitted;
  ++counters_.admitted;
  return {};
}

messages::UsageReport Admission::BuildReport(double now, const std::string& core, size_t allocators, bool all,
                                             bool draw) {
  if (draw) needs_tokens_ = false;
  messages::UsageReport report;
  report.number = ++last_report_;
  OutstandingReport& outstanding = reports_[report.number];
  outstanding.core = core;
  outstanding.at = now;
  double parts = static_cast<double>(std::max<size_t>(allocators, 1));
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    Bucket& bucket = it->second;
    if (now - bucket.requested_at > options_.idle_s) {
      it = buckets_.erase(it);
      continue;
    }
    double shortfall = draw && now > bucket.batch_requested_at + kBatchTimeout ? Shortfall(now, bucket) : 0;
    // A small share is wasted on a bucket that cannot hold a whole request: it draws from the pools instead.
    double demand = Demand(now, bucket);
    bool requests_share =
        options_.slack * kBucketSlackShare >= static_cast<double>(gateways_) || demand >= kMinLeasedDemand;
    double wanted_share = requests_share ? kDemandHeadroom * demand / bucket.rate / parts : 0;
    LeasedShare& reported = bucket.leased[core];
    // A tenant whose figures have not changed is reported at kUnchangedReportInterval.
    bool unchanged = now < reported.reported_at + kUnchangedReportInterval &&
                     bucket.admitted == reported.reported_admitted &&
                     std::abs(wanted_share - reported.reported_wanted) <= 0.3 * reported.reported_wanted;
    if (shortfall == 0 && (!all || unchanged)) {
      ++it;
      continue;
    }
    reported.reported_at = now;
    reported.reported_admitted = bucket.admitted;
    reported.reported_wanted = wanted_share;
    messages::TenantUsage usage;
    usage.tenant = it->first;
    usage.rate = static_cast<float>(bucket.rate);
    usage.burst = static_cast<float>(bucket.burst);
    usage.version = bucket.version;
    usage.wanted_share = static_cast<float>(wanted_share);
    usage.admitted = bucket.admitted;
    usage.shortfall = static_cast<float>(shortfall);
    if (shortfall > 0) {
      bucket.batch_requested_at = now;
      outstanding.drawn_tenants.insert(it->first);
    }
    usage.held_share = static_cast<float>(reported.InForce(now));
    outstanding.admitted[it->first] = bucket.admitted;
    report.tenants.push_back(std::move(usage));
    ++it;
  }
  while (reports_.size() > 64) reports_.erase(reports_.begin());
  return report;
}

void Admission::OnGrants(double now, const std::string& core, const messages::QuotaGrants& grants) {
  auto outstanding = reports_.find(grants.number);
  if (outstanding == reports_.end() || outstanding->second.core != core) return;
  OutstandingReport report = std::move(outstanding->second);
  reports_.erase(outstanding);
  core_answered_at_ = now;
  for (const messages::QuotaGrant& grant : grants.grants) {
    auto it = buckets_.find(grant.tenant);
    if (it == buckets_.end()) continue;
    Bucket& bucket = it->second;
    Refill(now, &bucket);  // up to now, at the old share
    bucket.tokens += std::max(0.0f, grant.tokens);
    // When a pool gives too little, the next one is asked at once, up to kMaxDrawsPerRound in a round.
    if (report.drawn_tenants.count(grant.tenant)) {
      bucket.batch_requested_at = -1;
      if (now > bucket.draw_round_at + kDrawRound) {
        bucket.draw_round_at = now;
        bucket.draws = 0;
      }
      bool insufficient = bucket.tokens < std::max(1.0, static_cast<double>(bucket.pending));
      if (insufficient && ++bucket.draws < kMaxDrawsPerRound) {
        needs_tokens_ = true;
      } else if (insufficient) {
        bucket.pools_empty_until = now + kEmptyPoolsBackoff;
      }
    }
    LeasedShare& leased = bucket.leased[core];
    leased.share = grant.share;
    leased.granted_report_at = report.at;
    // Each core counts on its own. Follows the totals of one core until it has been silent for a second.
    AdvanceWindow(now, &bucket);
    if (leased.has_total && grant.total >= leased.last_total) {
      double reported = static_cast<double>(grant.total - leased.last_total);
      double own = static_cast<double>(bucket.admitted - report.admitted[grant.tenant]);
      if (!bucket.counting || core == bucket.counting_core || now > bucket.counting_core_until) {
        bucket.counting_core = core;
        bucket.counting_core_until = now + 1;
        bucket.counting = true;
        bucket.window_total += reported;
        bucket.uncounted = own;
      }
    }
    leased.last_total = grant.total;
    leased.has_total = true;
    if (bucket.counting && now > bucket.counting_core_until) bucket.counting = false;
  }
}

// While no core answers, the pools are out of reach and the leased shares alone are less than what the
// gateway used before. A one-time allowance compensates for a while.
void Admission::OnTime(double now) {
  if (core_answered_at_ < 0 || !IsIsolated(now) || isolated_at_ > core_answered_at_ ||
      now < isolated_at_ + options_.window_s + 1)
    return;
  isolated_at_ = now;
  for (auto& [name, bucket] : buckets_) {
    Refill(now, &bucket);
    bucket.tokens += kIsolatedAllowance * TotalLeasedShare(now, bucket) * bucket.rate;
  }
}

Admission::Counters Admission::counters() const { return counters_; }

}  // namespace ivygw::rate_limit
