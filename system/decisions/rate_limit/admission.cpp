#include "rate_limit/admission.h"

#include <algorithm>
#include <cmath>

namespace ivygw::rate_limit {
namespace {

constexpr double kLift = 0.03;       // of the guarantee, by the share term
constexpr double kSpread = 1.5;      // s over which demand is taken
constexpr double kLongestWait = 10;  // s, of what a refused client is reported
constexpr double kComeBack = 0.05;   // s, at the least
constexpr double kRound = 0.05;      // s, in which pools are asked one after the other
constexpr int kDraws = 3;            // at most
constexpr double kHeadroom = 1.15;   // of the demand, as it is asked for
constexpr double kWorthLending = 1;  // requests a second
constexpr double kStill = 1;         // s
constexpr double kDry = 0.05;       // s, for which pools that were empty are not asked for more than is usual
constexpr double kAnswered = 0.03;  // s, within which a batch that was asked for has come

}  // namespace

double Admission::LeasedShareOf(double now, const Bucket& bucket) const {
  double sum = 0;
  for (const auto& [core, leased] : bucket.leased) sum += leased.InForce(now);
  return sum;
}

// W, and the ends of ticks that all tenants share.
double Admission::Free(double now) {
  if (now >= tick_ + options_.tick_s) {
    bool next = now < tick_ + 2 * options_.tick_s;
    served_before_ = next ? served_ : 0;
    overloaded_before_ = next && overloaded_;
    requests_sum_before_ = next ? requests_sum_ : 0;
    served_ = requests_sum_ = 0;
    overloaded_ = false;
    for (auto& [name, bucket] : buckets_) {
      bucket.requests_before = next ? bucket.requests_now : 0;
      bucket.requests_now = 0;
    }
    tick_ = now - std::fmod(now, options_.tick_s);
  }
  return overloaded_before_ ? 0 : static_cast<double>(served_before_);
}

void Admission::Refill(double now, Bucket* bucket) {
  double free = Free(now);
  double ticks = std::floor((now - bucket->refilled) / options_.tick_s);
  if (ticks < 1) return;
  bucket->refilled += ticks * options_.tick_s;
  double leased_share = LeasedShareOf(now, *bucket);
  double guarantee = leased_share * bucket->rate * options_.tick_s;
  double share = 0;
  if (bucket->requests_before > 0 && requests_sum_before_ > 0) {
    share = static_cast<double>(bucket->requests_before) / static_cast<double>(requests_sum_before_) *
            (free - bucket->tokens);
  }
  share = std::clamp(share, 0.0, kLift * guarantee);
  double maximum = Store(now, *bucket);
  if (bucket->tokens < maximum)
    bucket->tokens = std::min(maximum, bucket->tokens + ticks * guarantee + share);
}

double Admission::Demand(double now, const Bucket& bucket) const {
  return bucket.demand * std::exp(-(now - bucket.demand_at) / kSpread);
}
double Admission::Store(double now, const Bucket& bucket) const {
  double each = std::min(1.0, options_.slack * kBucketSlackShare / static_cast<double>(gateways_));
  double store = each + kBucketDemandTime * Demand(now, bucket);
  return IsIsolated(now) ? std::max(1.0, store) : store;
}
double Admission::Shortfall(double now, const Bucket& bucket) const {
  double want = std::max(1.5 * Store(now, bucket), static_cast<double>(bucket.pending));
  return std::max(0.0, want - bucket.tokens);
}

// Ends of the counter's windows.
void Admission::Window(double now, Bucket* bucket) {
  double length = std::max(bucket->burst, 1.0) / bucket->rate;
  if (now < bucket->window_from + length) return;
  double windows = std::floor((now - bucket->window_from) / length);
  bucket->store =
      std::clamp(bucket->store + bucket->rate * length - bucket->window_total, 0.0, bucket->burst);
  if (windows > 1)
    bucket->store = std::min(bucket->burst, bucket->store + (windows - 1) * bucket->rate * length);
  bucket->window_total = 0;
  bucket->window_from += windows * length;
}

// When a request that is refused now may be served: at once where requests come in a clump; where more are
// asked than the limit lets pass, after all those that were refused before it.
double Admission::RetryAfter(double now, const Bucket& bucket) const {
  if (LeasedShareOf(now, bucket) <= 0) return 2 * kComeBack;  // new here: its grants are on their way
  double flow = std::max(
      LeasedShareOf(now, bucket) / kLeasedRateShare * (kLeasedRateShare + kPooledRateShare) * bucket.rate,
      0.5);
  double behind = bucket.demand - flow;
  if (behind <= 0.3 * flow) return std::clamp((1 - bucket.tokens) / flow, kComeBack, 1.0);
  return std::clamp(kSpread * behind / flow, 0.2, kLongestWait);
}

AdmissionDecision Admission::OnRequest(double now, const config_model::Tenant& tenant) {
  if (tenant.rate_per_s <= 0) return {};
  auto [it, fresh] = buckets_.try_emplace(tenant.name);
  Bucket& bucket = it->second;
  if (fresh) {
    bucket.refilled = now;
    bucket.window_from = now;
    bucket.store = tenant.burst;
    bucket.demand_at = now;
    // Before the first grant: an even part of the slack, which all gateways together never pass.
    bucket.tokens = std::min(1.0, options_.slack * kBucketSlackShare / static_cast<double>(gateways_));
  }
  bucket.rate = tenant.rate_per_s + options_.slack * kRateSlackShare / (options_.window_s + 1);
  bucket.burst = tenant.burst;
  bucket.version = tenant.version;
  bucket.store = std::min(bucket.store, bucket.burst);
  double since = now - bucket.demand_at;
  bucket.demand = bucket.demand * std::exp(-since / kSpread) + 1 / kSpread;
  bucket.demand_at = now;
  bucket.requested_at = now;
  ++bucket.requests_now;
  ++requests_sum_;
  return Take(now, &bucket);
}

AdmissionDecision Admission::RetryPending(double now, const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return {false, false, kComeBack};
  Bucket& bucket = it->second;
  if (bucket.pending > 0) --bucket.pending;
  return Take(now, &bucket);
}

void Admission::CancelPending(const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it != buckets_.end() && it->second.pending > 0) --it->second.pending;
}

AdmissionDecision Admission::Take(double now, Bucket* bucket) {
  Refill(now, bucket);
  Window(now, bucket);
  double length = std::max(bucket->burst, 1.0) / bucket->rate;
  double left = bucket->store + bucket->rate * length - bucket->window_total - bucket->newer;
  if (bucket->counting && left < 1) {
    ++counters_.rejected_by_counter;
    return {false, false, std::max(kComeBack, bucket->window_from + length - now)};
  }
  bool drawn_tenants = now <= bucket->batch_requested_at + kAnswered;
  if (bucket->tokens < 1) {
    // The pools may have what is wanted: their word is a few milliseconds away. Where they were empty just
    // now it is no.
    if (!IsIsolated(now) && now >= bucket->pools_empty_until) {
      ++bucket->pending;
      needs_tokens_ = needs_tokens_ || !drawn_tenants;
      return {false, true, 0};
    }
    ++(IsIsolated(now) ? counters_.rejected_by_isolation : counters_.rejected_by_bucket);
    return {false, false, RetryAfter(now, *bucket)};
  }
  bucket->tokens -= 1;
  if (Shortfall(now, *bucket) > 0.5 * Store(now, *bucket) && !drawn_tenants &&
      now >= bucket->pools_empty_until)
    needs_tokens_ = true;
  bucket->newer += 1;
  ++bucket->admitted;
  ++counters_.admitted;
  return {};
}

messages::UsageReport Admission::BuildReport(double now, const std::string& core, size_t allocators, bool all,
                                             bool draw) {
  if (draw) needs_tokens_ = false;
  messages::UsageReport report;
  report.number = ++last_report_;
  OutstandingReport& out = reports_[report.number];
  out.core = core;
  out.at = now;
  double parts = static_cast<double>(std::max<size_t>(allocators, 1));
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    Bucket& bucket = it->second;
    if (now - bucket.requested_at > options_.idle_s) {
      it = buckets_.erase(it);
      continue;
    }
    double shortfall = draw && now > bucket.batch_requested_at + kAnswered ? Shortfall(now, bucket) : 0;
    // A bucket that can't hold a request wastes a small part: what it needs comes from the pools.
    double demand = Demand(now, bucket);
    bool pays =
        options_.slack * kBucketSlackShare >= static_cast<double>(gateways_) || demand >= kWorthLending;
    double wanted_share = pays ? kHeadroom * demand / bucket.rate / parts : 0;
    LeasedShare& reported = bucket.leased[core];
    // What has not moved is reported once a second.
    bool still = now < reported.reported_at + kStill && bucket.admitted == reported.reported_admitted &&
                 std::abs(wanted_share - reported.reported_wanted) <= 0.3 * reported.reported_wanted;
    if (shortfall == 0 && (!all || still)) {
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
      out.drawn_tenants.insert(it->first);
    }
    usage.held_share = static_cast<float>(reported.InForce(now));
    out.admitted[it->first] = bucket.admitted;
    report.tenants.push_back(std::move(usage));
    ++it;
  }
  while (reports_.size() > 64) reports_.erase(reports_.begin());
  return report;
}

void Admission::OnGrants(double now, const std::string& core, const messages::QuotaGrants& grants) {
  auto out = reports_.find(grants.number);
  if (out == reports_.end() || out->second.core != core) return;
  OutstandingReport report = std::move(out->second);
  reports_.erase(out);
  core_answered_at_ = now;
  for (const messages::QuotaGrant& grant : grants.grants) {
    auto it = buckets_.find(grant.tenant);
    if (it == buckets_.end()) continue;
    Bucket& bucket = it->second;
    Refill(now, &bucket);  // what came before came by the old part
    bucket.tokens += std::max(0.0f, grant.tokens);
    // A pool that gives less than a request: the next one is asked at once, each once in a while.
    if (report.drawn_tenants.count(grant.tenant)) {
      bucket.batch_requested_at = -1;
      if (now > bucket.draw_round_at + kRound) {
        bucket.draw_round_at = now;
        bucket.draws = 0;
      }
      bool short_of = bucket.tokens < std::max(1.0, static_cast<double>(bucket.pending));
      if (short_of && ++bucket.draws < kDraws) {
        needs_tokens_ = true;
      } else if (short_of) {
        bucket.pools_empty_until = now + kDry;
      }
    }
    LeasedShare& leased = bucket.leased[core];
    leased.share = grant.share;
    leased.reported_for_it_at = report.at;
    // The counter: of several cores, the one that has heard most since.
    Window(now, &bucket);
    if (leased.counted && grant.total >= leased.total) {
      double reported = static_cast<double>(grant.total - leased.total);
      double own = static_cast<double>(bucket.admitted - report.admitted[grant.tenant]);
      if (!bucket.counting || core == bucket.counter || now > bucket.counter_until) {
        bucket.counter = core;
        bucket.counter_until = now + 1;
        bucket.counting = true;
        bucket.window_total += reported;
        bucket.newer = own;
      }
    }
    leased.total = grant.total;
    leased.counted = true;
    if (bucket.counting && now > bucket.counter_until) bucket.counting = false;
  }
}

// The pools are out of reach: the leased shares alone are less than what was drawn beside them, for a while.
void Admission::OnTime(double now) {
  if (core_answered_at_ < 0 || !IsIsolated(now) || isolated_at_ > core_answered_at_ ||
      now < isolated_at_ + options_.window_s + 1)
    return;
  isolated_at_ = now;
  for (auto& [name, bucket] : buckets_) {
    Refill(now, &bucket);
    bucket.tokens += kIsolatedAllowance * LeasedShareOf(now, bucket) * bucket.rate;
  }
}

Admission::Counters Admission::counters() const { return counters_; }

}  // namespace ivygw::rate_limit
