#include "rate_limit/admission.h"

#include <algorithm>
#include <cmath>

namespace ivygw::rate_limit {
namespace {

constexpr double kLift = 0.03;       // of the guarantee, by the share term
constexpr double kSpread = 1.5;      // s over which demand is taken
constexpr double kLongestWait = 10;  // s, of what a refused client is told
constexpr double kComeBack = 0.05;   // s, at the least
constexpr double kRound = 0.05;      // s, in which pools are asked one after the other
constexpr int kDraws = 3;            // at most
constexpr double kHeadroom = 1.15;   // of the demand, as it is asked for
constexpr double kWorthLending = 1;  // requests a second
constexpr double kStill = 1;         // s
constexpr double kDry = 0.05;       // s, for which pools that were empty are not asked for more than is usual
constexpr double kAnswered = 0.03;  // s, within which a batch that was asked for has come

}  // namespace

double Admission::Fraction(double now, const Bucket& bucket) const {
  double sum = 0;
  for (const auto& [core, lent] : bucket.lent) {
    if (now < lent.until) sum += lent.fraction;
  }
  return sum;
}

// W, and the ends of ticks that all tenants share.
double Admission::Free(double now) {
  if (now >= tick_ + options_.tick_s) {
    bool next = now < tick_ + 2 * options_.tick_s;
    served_before_ = next ? served_ : 0;
    crowded_before_ = next && crowded_;
    asks_sum_before_ = next ? asks_sum_ : 0;
    served_ = asks_sum_ = 0;
    crowded_ = false;
    for (auto& [name, bucket] : buckets_) {
      bucket.asks_before = next ? bucket.asks_now : 0;
      bucket.asks_now = 0;
    }
    tick_ = now - std::fmod(now, options_.tick_s);
  }
  return crowded_before_ ? 0 : static_cast<double>(served_before_);
}

void Admission::Refill(double now, Bucket* bucket) {
  double free = Free(now);
  double ticks = std::floor((now - bucket->refilled) / options_.tick_s);
  if (ticks < 1) return;
  bucket->refilled += ticks * options_.tick_s;
  double fraction = Fraction(now, *bucket);
  double guarantee = fraction * bucket->rate * options_.tick_s;
  double share = 0;
  if (bucket->asks_before > 0 && asks_sum_before_ > 0) {
    share = static_cast<double>(bucket->asks_before) / static_cast<double>(asks_sum_before_) *
            (free - bucket->tokens);
  }
  share = std::clamp(share, 0.0, kLift * guarantee);
  double most = Store(now, *bucket);
  if (bucket->tokens < most) bucket->tokens = std::min(most, bucket->tokens + ticks * guarantee + share);
}

double Admission::Demand(double now, const Bucket& bucket) const {
  return bucket.demand * std::exp(-(now - bucket.demand_at) / kSpread);
}
double Admission::Store(double now, const Bucket& bucket) const {
  double each = std::min(1.0, options_.slack * kSlackOfBuckets / static_cast<double>(gateways_));
  double store = each + kAhead * Demand(now, bucket);
  return Alone(now) ? std::max(1.0, store) : store;
}
double Admission::Lacking(double now, const Bucket& bucket) const {
  double want = std::max(1.5 * Store(now, bucket), static_cast<double>(bucket.wanting));
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
double Admission::ComeBack(double now, const Bucket& bucket) const {
  if (Fraction(now, bucket) <= 0) return 2 * kComeBack;  // new here: what it is lent is on its way
  double flow = std::max(Fraction(now, bucket) / kLent * (kLent + kPool) * bucket.rate, 0.5);
  double behind = bucket.demand - flow;
  if (behind <= 0.3 * flow) return std::clamp((1 - bucket.tokens) / flow, kComeBack, 1.0);
  return std::clamp(kSpread * behind / flow, 0.2, kLongestWait);
}

Verdict Admission::Ask(double now, const config_model::Tenant& tenant) {
  if (tenant.rate_per_s <= 0) return {};
  auto [it, fresh] = buckets_.try_emplace(tenant.name);
  Bucket& bucket = it->second;
  if (fresh) {
    bucket.refilled = now;
    bucket.window_from = now;
    bucket.store = tenant.burst;
    bucket.demand_at = now;
    // Before the first loan: an even part of the slack, which all gateways together never pass.
    bucket.tokens = std::min(1.0, options_.slack * kSlackOfBuckets / static_cast<double>(gateways_));
  }
  bucket.rate = tenant.rate_per_s + options_.slack * kSlackOfRate / (options_.window_s + 1);
  bucket.burst = tenant.burst;
  bucket.version = tenant.version;
  bucket.store = std::min(bucket.store, bucket.burst);
  double since = now - bucket.demand_at;
  bucket.demand = bucket.demand * std::exp(-since / kSpread) + 1 / kSpread;
  bucket.demand_at = now;
  bucket.asked = now;
  ++bucket.asks_now;
  ++asks_sum_;
  return Take(now, &bucket);
}

Verdict Admission::Again(double now, const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return {false, false, kComeBack};
  Bucket& bucket = it->second;
  if (bucket.wanting > 0) --bucket.wanting;
  return Take(now, &bucket);
}

void Admission::GiveUp(const std::string& tenant) {
  auto it = buckets_.find(tenant);
  if (it != buckets_.end() && it->second.wanting > 0) --it->second.wanting;
}

Verdict Admission::Take(double now, Bucket* bucket) {
  Refill(now, bucket);
  Window(now, bucket);
  double length = std::max(bucket->burst, 1.0) / bucket->rate;
  double left = bucket->store + bucket->rate * length - bucket->window_total - bucket->newer;
  if (bucket->counting && left < 1) {
    ++figures_.by_counter;
    return {false, false, std::max(kComeBack, bucket->window_from + length - now)};
  }
  bool drawn = now <= bucket->drawn_at + kAnswered;
  if (bucket->tokens < 1) {
    // The pools may have what is wanted: their word is a few milliseconds away. Where they were empty just
    // now it is no.
    if (!Alone(now) && now >= bucket->dry_until) {
      ++bucket->wanting;
      urgent_ = urgent_ || !drawn;
      return {false, true, 0};
    }
    ++figures_.by_bucket;
    return {false, false, ComeBack(now, *bucket)};
  }
  bucket->tokens -= 1;
  if (Lacking(now, *bucket) > 0.5 * Store(now, *bucket) && !drawn && now >= bucket->dry_until) urgent_ = true;
  bucket->newer += 1;
  ++bucket->sent;
  ++figures_.admitted;
  return {};
}

messages::Report Admission::Report(double now, const std::string& core, size_t lenders, bool all, bool draw) {
  if (draw) urgent_ = false;
  messages::Report report;
  report.number = ++last_report_;
  Out& out = reports_[report.number];
  out.core = core;
  out.at = now;
  double parts = static_cast<double>(std::max<size_t>(lenders, 1));
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    Bucket& bucket = it->second;
    if (now - bucket.asked > options_.idle_s) {
      it = buckets_.erase(it);
      continue;
    }
    double lacking = draw && now > bucket.drawn_at + kAnswered ? Lacking(now, bucket) : 0;
    // A bucket that can't hold a request wastes a small part: what it needs comes from the pools.
    double demand = Demand(now, bucket);
    bool pays = options_.slack * kSlackOfBuckets >= static_cast<double>(gateways_) || demand >= kWorthLending;
    double wanted = pays ? kHeadroom * demand / bucket.rate / parts : 0;
    LentPart& told = bucket.lent[core];
    // What has not moved is told once a second.
    bool still = now < told.told_at + kStill && bucket.sent == told.told_sent &&
                 std::abs(wanted - told.told_wanted) <= 0.3 * told.told_wanted;
    if (lacking == 0 && (!all || still)) {
      ++it;
      continue;
    }
    told.told_at = now;
    told.told_sent = bucket.sent;
    told.told_wanted = wanted;
    messages::Use use;
    use.tenant = it->first;
    use.rate = static_cast<float>(bucket.rate);
    use.burst = static_cast<float>(bucket.burst);
    use.version = bucket.version;
    use.wanted = static_cast<float>(wanted);
    use.sent = bucket.sent;
    use.lacking = static_cast<float>(lacking);
    if (lacking > 0) {
      bucket.drawn_at = now;
      out.drawn.insert(it->first);
    }
    auto lent = bucket.lent.find(core);
    if (lent != bucket.lent.end() && now < lent->second.until)
      use.held = static_cast<float>(lent->second.fraction);
    out.sent[it->first] = bucket.sent;
    report.uses.push_back(std::move(use));
    ++it;
  }
  while (reports_.size() > 64) reports_.erase(reports_.begin());
  return report;
}

void Admission::OnLoans(double now, const std::string& core, const messages::Loans& loans) {
  auto out = reports_.find(loans.number);
  if (out == reports_.end() || out->second.core != core) return;
  Out report = std::move(out->second);
  reports_.erase(out);
  heard_ = now;
  for (const messages::Loan& loan : loans.loans) {
    auto it = buckets_.find(loan.tenant);
    if (it == buckets_.end()) continue;
    Bucket& bucket = it->second;
    Refill(now, &bucket);  // what came before came by the old part
    bucket.tokens += std::max(0.0f, loan.tokens);
    // A pool that gives less than a request: the next one is asked at once, each once in a while.
    if (report.drawn.count(loan.tenant)) {
      bucket.drawn_at = -1;
      if (now > bucket.round_at + kRound) {
        bucket.round_at = now;
        bucket.draws = 0;
      }
      bool short_of = bucket.tokens < std::max(1.0, static_cast<double>(bucket.wanting));
      if (short_of && ++bucket.draws < kDraws) {
        urgent_ = true;
      } else if (short_of) {
        bucket.dry_until = now + kDry;
      }
    }
    LentPart& lent = bucket.lent[core];
    lent.fraction = loan.fraction;
    lent.until = report.at + kTerm - kEarlier;
    // The counter: of several cores, the one that has heard most since.
    Window(now, &bucket);
    if (lent.counted && loan.total >= lent.total) {
      double told = static_cast<double>(loan.total - lent.total);
      double own = static_cast<double>(bucket.sent - report.sent[loan.tenant]);
      if (!bucket.counting || core == bucket.counter || now > bucket.counter_until) {
        bucket.counter = core;
        bucket.counter_until = now + 1;
        bucket.counting = true;
        bucket.window_total += told;
        bucket.newer = own;
      }
    }
    lent.total = loan.total;
    lent.counted = true;
    if (bucket.counting && now > bucket.counter_until) bucket.counting = false;
  }
}

// The pools are out of reach: what is lent for terms is short of what was drawn beside it, for a while.
void Admission::OnTime(double now) {
  if (heard_ < 0 || !Alone(now) || alone_at_ > heard_ || now < alone_at_ + options_.window_s + 1) return;
  alone_at_ = now;
  for (auto& [name, bucket] : buckets_) {
    Refill(now, &bucket);
    bucket.tokens += kAlone * Fraction(now, bucket) * bucket.rate;
  }
}

Admission::Figures Admission::figures() const { return figures_; }

}  // namespace ivygw::rate_limit
