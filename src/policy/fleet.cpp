#include "policy/fleet.h"

namespace micadock {
namespace {

constexpr double kFailureRateWeight = 0.1;  // EWMA weight of a success; a failure weighs twice as much
constexpr double kEjectFailureRate = 0.48;  // failure rate that ejects a backend; three failures in a row exceed it
constexpr double kMinEjectionS = 0.5, kMaxEjectionS = 4.0;  // length of an ejection; doubles with each one in a row
constexpr double kDeadAfterSilenceS = 1.5;  // a connection lost this long after the last answer means a dead process
constexpr double kMaxEjectedShare = 0.25;  // above this share of ready backends ejected the fault is likely elsewhere
constexpr double kReturnedCostFactor = 1e-3;  // cost factor of a backend back from a drain, until its first attempt
constexpr double kEjectedCostFactor = 10;   // cost factor of ejected backends, which serve above kMaxEjectedShare
constexpr double kInitialLimit = 3, kMaxLimit = 200;  // concurrency limit: most attempts in flight at one backend
constexpr double kLimitCutFactor = 0.7, kMinLimitCutIntervalS = 0.1;
constexpr double kMinCapacityShare = 0.3;  // share of the capacity open to requests of least worth per second of work
constexpr double kBorrowedCapacityShare = 0.5;  // share of its class's capacity open to a request beyond its quota
constexpr double kQueueLatencyRatio = 0.27, kRaiseLatencyRatio = 0.2;  // latency_ratio: cut limit above, raise below
constexpr double kMinLatencyWeight = 0.15;  // least EWMA weight of one answer in latency_ratio
constexpr double kLatencyDecayS = 0.7;      // time constant of latency_ratio: after a long gap one answer weighs more
constexpr double kColdTipShare = 0.4;       // share of tip_multiple that all gateways together send a cold core
constexpr double kColdRateShare = 0.8;      // share of a warm backend's work rate that a cold one's rate rises to
constexpr double kWarmWorkDecayS = 2;       // time constant of a warm backend's rate of work
constexpr double kMaxColdBudgetS = 0.3;     // most budget that a cold backend saves up, in seconds of its rate
constexpr double kMinAdmitStep = 0.02;      // least step of the admit share at one answer
constexpr double kAdmitStepS = 0.8;  // the admit share's step is the time since the last answer divided by this
constexpr double kMaxAdmitStep = 0.4;       // largest step of the admit share, since one answer tells little
constexpr double kAdmitHeadroomSteps = 2;   // steps the admit share may rise above 1, so that chance refuses nobody
constexpr double kAdmitRecoveryPerS = 0.05;
constexpr double kMinAdmitShare = 0.05;     // lets some requests through: without answers the share can't recover
constexpr double kClassMeanWeight = 0.02;   // EWMA weight of one answer in a class's mean time and units
constexpr double kZoneFailureWeight = 0.3, kZoneFailureDecayS = 4;  // EWMA weight of one outcome; decay time constant
constexpr double kInitialWorkAimShare = 0.25;  // share of the latency target taken as answer time before any answer

}  // namespace

BackendPool::BackendPool(const Settings& s, Dice* dice, Ticks* ticks) : s_(s), dice_(dice), ticks_(ticks) {
  for (const ClassSettings& c : s_.classes) work_.push_back(c.aim_s * kInitialWorkAimShare);
  class_units_.assign(s_.classes.size(), 0);
  max_time_left_.assign(s_.classes.size(), 0);
}

double BackendPool::ExpectedWork(const Request& r) const {
  double mean_units = class_units_[r.cls];
  return work_[r.cls] * (mean_units > 0 ? r.units / mean_units : 1);
}

// Slow start: refills a token bucket of work. Its rate is the warmed-up fraction of what this gateway sends a warm
// backend (times kColdRateShare) or, if that is less, of this gateway's even part of what one core can take
// (kColdTipShare), so that all gateways together can't overrun a cold backend.
bool BackendPool::HasColdBudget(Host* host, double now) {
  double warmed = std::max(0.0, now - host->cold_since) / std::max(1e-3, s_.warm_after_s);
  if (warmed >= 1) host->cold_since = 0;
  if (warmed >= 1) return true;
  double fraction = s_.cold_from + (1 - s_.cold_from) * warmed;
  double one_core = s_.tip_multiple * kColdTipShare / std::max(1, s_.gateways);
  double warm_work = warm_work_ * std::exp(-(now - warm_at_) / kWarmWorkDecayS);
  double rate = fraction * std::max(one_core, kColdRateShare * warm_work / kWarmWorkDecayS);
  host->budget = std::min(kMaxColdBudgetS * rate, host->budget + rate * (now - host->budget_at));
  host->budget_at = now;
  return host->budget > 0;
}

// The budget starts at a random debt of up to one request. Any budget above 0 lets a whole request through, so
// without the debt each of hundreds of gateways would send one at once.
void BackendPool::StartWarmup(Host* host, double since, double now) {
  host->cold_since = since;
  host->budget_at = now;
  host->budget = -dice_->Unit() * *std::max_element(work_.begin(), work_.end());
}

bool BackendPool::InRetryScope(const ActiveRequest& active, const Host& host) const {
  if (!active.may_have_run || s_.classes[active.request.cls].effect == Effect::kFree) return true;
  Scope scope = s_.classes[active.request.cls].scope;
  return scope == Scope::kAll || (scope == Scope::kZone && host.info.zone == active.ran_zone) ||
         (scope == Scope::kCell && host.info.cell == active.ran_cell);
}

bool BackendPool::ShouldShed(const Request& r, bool borrowed) {
  double in_flight = 0, limit = 0, max_worth = 0;
  for (const Host& host : backends_) {
    if (host.info.state != BackendState::kReady) continue;
    in_flight += std::min<double>(host.in_flight, std::max(1.0, host.limit));
    limit += host.limit;
  }
  for (size_t i = 0; i < s_.classes.size(); ++i) max_worth = std::max(max_worth, s_.classes[i].worth / work_[i]);
  const ClassSettings& cls = s_.classes[r.cls];
  double relative_worth = max_worth > 0 ? cls.worth / work_[r.cls] / max_worth : 1;
  bool late_retry = r.left_s < max_time_left_[r.cls] - s_.resolution_s && cls.deadline_s - r.left_s > cls.aim_s;
  if (late_retry) relative_worth *= cls.late_share;
  // Limits tell little where few attempts are in flight at each backend; the admit share is set by all answers.
  if (dice_->Unit() > std::pow(std::min(1.0, admit_share_),
               (borrowed ? 2 : 1) / (kMinCapacityShare + (1 - kMinCapacityShare) * relative_worth))) return true;
  double capacity_share = kMinCapacityShare + (1 - kMinCapacityShare) * relative_worth;
  return in_flight >= limit * capacity_share * (borrowed ? kBorrowedCapacityShare : 1);
}

Host* BackendPool::Pick(const ActiveRequest& active, double now) {
  int ready = 0, ejected = 0;
  warm_count_ = 0;
  for (const Host& host : backends_) {
    ready += host.info.state == BackendState::kReady;
    warm_count_ += host.info.state == BackendState::kReady && host.cold_since <= 0;
    ejected += host.info.state == BackendState::kReady && host.ejected_until > now;
  }
  Host* best = nullptr;
  double best_cost = 0;
  for (Host& host : backends_) {
    if (host.info.state != BackendState::kReady || !InRetryScope(active, host)) continue;
    if (host.ejected_until > now && ejected <= kMaxEjectedShare * ready) continue;
    if (host.on_probation && host.in_flight > 0) continue;
    if (host.in_flight >= host.limit) continue;
    if (host.cold_since > 0 && !HasColdBudget(&host, now)) continue;
    double failure_rate = std::max(host.failure_rate, ZoneFailureRate(host.info.zone, now));
    double cost = host.relative_latency * (host.in_flight + 1) * (1 + 10 * failure_rate * failure_rate) *
                  (0.95 + 0.1 * dice_->Unit());
    if (host.info.zone != s_.zone) cost *= 1.5;
    if (host.returned_from_drain) cost *= kReturnedCostFactor;
    if (host.ejected_until > now) cost *= kEjectedCostFactor;  // backends that are not ejected come first
    for (const Attempt& attempt : active.attempts) { if (attempt.backend_id == host.info.id) cost += 100; }
    if (best == nullptr || cost < best_cost) { best = &host; best_cost = cost; }
  }
  return best;
}

LearnedState BackendPool::ExportLearned(double now) const {
  LearnedState out{{}, work_, class_units_, admit_share_, warm_work_ * std::exp(-(now - warm_at_) / kWarmWorkDecayS)};
  for (const Host& b : backends_)
    out.backends.push_back({b.info.id, b.relative_latency, b.latency_ratio, b.limit, b.failure_rate, b.cold_since});
  return out;
}

// The budget of a cold backend is not imported: the process that exported it may still be spending it.
void BackendPool::ImportLearned(double now, const LearnedState& from) {
  auto within = [](double value, double min, double max) { return value >= min && value <= max; };
  for (size_t i = 0; i < work_.size() && from.work.size() == work_.size() && from.units.size() == work_.size(); ++i) {
    if (within(from.work[i], 1e-4, s_.classes[i].aim_s)) work_[i] = from.work[i];
    if (within(from.units[i], 0, 1e6)) class_units_[i] = from.units[i];
  }
  if (within(from.admit_share, kMinAdmitShare, 2)) admit_share_ = from.admit_share;
  if (within(from.warm_work, 0, 1e6)) warm_work_ = from.warm_work, warm_at_ = now;
  for (const LearnedState::BackendEstimate& entry : from.backends) {
    Host* host = Find(entry.id);
    if (host == nullptr || !within(entry.relative_latency, 1e-3, 10) ||
        !within(entry.latency_ratio, 0, 2) || !within(entry.limit, 1, kMaxLimit)) continue;
    host->relative_latency = entry.relative_latency;
    host->latency_ratio = entry.latency_ratio;
    host->limit = entry.limit;
    if (within(entry.failure_rate, 0, 1)) host->failure_rate = entry.failure_rate;
    if (entry.cold_since > host->cold_since && entry.cold_since <= now) StartWarmup(host, entry.cold_since, now);
  }
}

int BackendPool::EjectedCount(double now) const {
  auto ejected = [&](const Host& b) { return b.info.state == BackendState::kReady && b.ejected_until > now; };
  return static_cast<int>(std::count_if(backends_.begin(), backends_.end(), ejected));
}

double BackendPool::ZoneFailureRate(int zone, double now) const {
  auto it = zone_failures_.find(zone);
  return it == zone_failures_.end() ? 0 : it->second.rate * std::exp(-(now - it->second.at) / kZoneFailureDecayS);
}

void BackendPool::ObserveZone(int zone, bool failed, double now) {
  double rate = ZoneFailureRate(zone, now);
  if (failed || rate > 0) zone_failures_[zone] = {rate + kZoneFailureWeight * (failed - rate), now};
}

void BackendPool::OnFault(Host* host, bool may_be_dead, double now, Actions* out) {
  host->failure_rate += kFailureRateWeight * 2 * (1 - host->failure_rate);
  // A process that takes no connections and has not answered for a while may be restarting, so it gets a slow start.
  if (may_be_dead && now - host->last_answer_at > kDeadAfterSilenceS) StartWarmup(host, now, now);
  if (host->ejected_until > now) return;
  if (host->on_probation || host->failure_rate > kEjectFailureRate) {
    host->ejection_s = std::clamp(host->ejection_s * 2, kMinEjectionS, kMaxEjectionS);
    host->ejected_until = now + host->ejection_s;
    host->on_probation = true;
    Log(out, "backend ejected: " + std::to_string(host->info.id));
  }
}

void BackendPool::OnList(double now, ListKind kind, const std::vector<Backend>& entries) {
  for (Host& b : backends_) b.info.state = kind == ListKind::kDelta ? b.info.state : BackendState::kGone;
  for (const Backend& entry : entries) {
    Host* host = Find(entry.id);
    if (host == nullptr) {
      if (entry.state == BackendState::kGone) continue;
      backends_.emplace_back();
      host = &backends_.back();
      host->limit = kInitialLimit;
      host->last_answer_at = now;
    }
    bool restarted = entry.started_s > 0 && entry.started_s != host->info.started_s;
    host->returned_from_drain = entry.state == BackendState::kReady &&
        (host->returned_from_drain || host->info.state == BackendState::kDraining);
    host->info = entry;
    if (restarted && now - entry.started_s < s_.warm_after_s) {
      StartWarmup(host, std::max(host->cold_since, entry.started_s), now);
      host->ejected_until = host->failure_rate = 0;
    }
  }
  std::erase_if(backends_, [](const Host& b) { return b.info.state == BackendState::kGone && b.in_flight == 0; });
}

void BackendPool::OnOutcome(Host* host, const ActiveRequest& active, const Attempt& attempt,
                            const Outcome& outcome, double now, Actions* out) {
  const ClassSettings& cls = s_.classes[active.request.cls];
  double took_s = now - attempt.sent_at;
  bool silent = host->last_answer_at <= attempt.sent_at;
  bool replied = outcome.result == Result::kOk || outcome.result == Result::kFull || outcome.result == Result::kError;
  bool no_fault = outcome.result == Result::kNeverSent || (outcome.result == Result::kCancelled && active.answered);
  if (replied) host->last_answer_at = now;
  if (replied || (silent && !no_fault)) ObserveZone(host->info.zone, !replied, now);
  switch (outcome.result) {
    case Result::kOk: {
      if (host->cold_since <= 0) {  // successes only: rejected attempts don't show what a warm backend can do
        warm_work_ = warm_work_ * std::exp(-(now - warm_at_) / kWarmWorkDecayS) +
                     ExpectedWork(active.request) / std::max(1, warm_count_);
        warm_at_ = now;
      }
      host->failure_rate -= kFailureRateWeight * host->failure_rate;
      if (host->on_probation) Log(out, "backend readmitted: " + std::to_string(host->info.id));
      host->on_probation = false;
      if (host->failure_rate < 0.1) host->ejection_s = 0;
      double units = outcome.true_units > 0 ? outcome.true_units : active.request.units,
             &mean = class_units_[active.request.cls];
      mean += (mean > 0 ? kClassMeanWeight : 1) * (units - mean);
      double size_ratio = units / mean, mean_s = work_[active.request.cls];
      host->relative_latency += 0.05 * (std::min(took_s / (mean_s * size_ratio), 5.0) - host->relative_latency);
      work_[active.request.cls] += kClassMeanWeight * (std::min(took_s, cls.aim_s) - mean_s);
      // Holding the mean latency well below the target keeps queues short, whatever their cause.
      double weight = std::max(kMinLatencyWeight, 1 - std::exp(-(now - host->latency_at) / kLatencyDecayS));
      host->latency_at = now;
      double size_adjusted_s = took_s - mean_s * (size_ratio - 1);  // the request's own size is no sign of a queue
      host->latency_ratio += weight * (std::clamp(size_adjusted_s / cls.aim_s, 0.0, 2.0) - host->latency_ratio);
      AdjustAdmitShare(size_adjusted_s / cls.aim_s, now);
      if (took_s > cls.aim_s) ticks_->MarkPressed(now);
      if (host->latency_ratio > kQueueLatencyRatio) {
        CutLimit(host, now);
      } else if (host->latency_ratio < kRaiseLatencyRatio && host->in_flight + 1 >= host->limit / 2) {
        host->limit = std::min(kMaxLimit, host->limit + std::min(1.0, 1 / host->limit));
      }
      break;
    }
    case Result::kError: OnFault(host, false, now, out); break;
    case Result::kTimeout:
      if (silent) return OnFault(host, false, now, out);
      [[fallthrough]];
    case Result::kFull:
      AdjustAdmitShare(1, now);
      ticks_->MarkPressed(now);
      CutLimit(host, now);
      break;
    case Result::kConnectFailed:
    case Result::kReset: OnFault(host, true, now, out); break;
    case Result::kCancelled:
      if (!active.answered && host->in_flight > 0 && silent) OnFault(host, false, now, out);
      break;
    case Result::kNeverSent: break;
  }
}

// Integral control in log space of the error of latency_ratio relative to kQueueLatencyRatio. The step grows with the
// time between answers, which keeps the loop as stable at few answers per second as at many.
void BackendPool::AdjustAdmitShare(double latency_ratio, double now) {
  double elapsed_s = std::min(1.0, now - adjusted_at_),
         step = std::clamp(elapsed_s / kAdmitStepS, kMinAdmitStep, kMaxAdmitStep);
  admit_share_ *= std::exp(-step * std::clamp(latency_ratio / kQueueLatencyRatio - 1, -1.0, 2.0));
  admit_share_ = std::clamp(admit_share_ + kAdmitRecoveryPerS * elapsed_s, kMinAdmitShare,
                            std::exp(kAdmitHeadroomSteps * step));
  adjusted_at_ = now;
}

void BackendPool::CutLimit(Host* host, double now) {
  if (now - host->limit_cut_at < kMinLimitCutIntervalS) return;
  host->limit_cut_at = now;
  host->limit = std::max(1.0, std::min<double>(host->limit, host->in_flight + 1) * kLimitCutFactor);
}

Host* BackendPool::Find(uint32_t id) {
  auto it = std::find_if(backends_.begin(), backends_.end(), [id](const Host& b) { return b.info.id == id; });
  return it == backends_.end() ? nullptr : &*it;
}

void BackendPool::OnSent(Host* host, const Request& r) {
  host->returned_from_drain = false;
  ++host->in_flight;
  if (host->cold_since > 0) host->budget -= ExpectedWork(r);
}

}  // namespace micadock
