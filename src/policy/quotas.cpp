#include "policy/quotas.h"

namespace micadock {
namespace {

constexpr double kReportBatchShare = 0.25;  // share of an even part of the tokens left that may stay unreported
constexpr double kMaxReportDelayWindows = 0.25;
constexpr double kInFlightEpochS = 4;  // shared attempt counts restart each epoch, which drops those of dead gateways
constexpr double kIdleTimeoutWindows = 3, kIdleTimeoutS = 10;  // idle customers are dropped after the longer one
constexpr double kCongestedCallGapS = 0.3;    // least gap between one gateway's calls to a fully congested counter
constexpr double kMaxCallsPerS = 100;   // most calls per second of all gateways together to a fully congested counter
constexpr int kCounterFailureLimit = 4;       // failed calls in a row after which the counter counts as unavailable
constexpr double kOthersRateDecayWindows = 1;  // age at which the last reported rate of others has decayed to 1/e
constexpr double kPartMeanWindows = 8;        // time constant of the mean rates that set the local part
constexpr double kCorrectionBurstShare = 0.25;  // share of the burst by which others' corrections may lower a total
constexpr double kSlowAnswerTimeouts = 1.6;   // an answer later than this many counter time-outs shows congestion
constexpr double kCongestionGrow = 0.1, kCongestionShrink = 0.1;  // EWMA weights of failed or slow, of quick answers
constexpr double kUnreportedSharePerCost = 5, kMaxUnreportedShare = 0.8;  // share of requests per call cost; its cap
constexpr double kCallsPerHold = 1.5;         // calls for a hold: one reads and adds, at times another corrects
constexpr double kMinTimeLeftTimeouts = 4;    // counter time-outs that a request must have left to be held
constexpr double kFreshReportShare = 0.9;  // a report is taken as exact while this share of its attempts is in flight
constexpr double kInFlightMeanS = 5;          // time constant of own_in_flight_mean, and of reports growing stale
constexpr double kCapCongestionShare = 0.1;   // share of congestion charged to a hold for a cap, as guesses cost more
constexpr double kReportShareFactor = 1.5;    // share of attempts reported, divided by the share of the cap in use
constexpr double kMinReportShare = 0.1;       // least share of attempts reported: far below the cap a sample suffices
constexpr double kTrustedQuotaShare = 0.9;  // within_quota_share from which a customer with no total yet is trusted
constexpr double kTrustCongestion = 0.2;  // congestion above which first reads are rare: kTrustedQuotaShare applies
constexpr double kPriorWithinQuotaShare = 0.7;  // within_quota_share of a plan before any held request
constexpr double kPlanShareWeight = 0.05, kCustomerShareWeight = 0.3;  // EWMA weights of one held request

}  // namespace

Quotas::Quotas(const Settings& s, Dice* dice, Ticks* ticks, double now)
    : s_(s), dice_(dice), ticks_(ticks), start_(now), within_quota_shares_(s.plans.size(), kPriorWithinQuotaShare) {}

ivygw::parts::CeilingParams Quotas::AllowanceOf(const Customer& c) const {
  auto allowance = PlanCeiling(s_, PlanOf(c), s_.counted ? c.entries : 1e9);
  if (s_.lend_ceilings && c.refilled_at < c.lent_share_until) allowance.leased_share = c.lent_share;
  return allowance;
}

Customer& Quotas::FindOrCreate(const Request& r, double now) {
  auto [it, created] = customers_.try_emplace(r.customer);
  Customer& c = it->second;
  if (created) {
    const PlanSettings& p = s_.plans[r.plan];
    c.plan = r.plan;
    c.within_quota_share = within_quota_shares_[r.plan];
    c.stated_entries = std::clamp(r.entries, 1.0, static_cast<double>(std::max(1, s_.gateways)));
    c.entries = EntryGateways(c);
    c.refilled_at = c.first_seen = now;
    c.tokens = p.burst;
    c.others_rate = p.rate * (c.entries - 1) / c.entries;
    c.own_rate_mean = 0.5 * p.rate / c.entries;  // before any total: half the rate is used, evenly
    c.others_rate_mean = 0.5 * c.others_rate;
    c.ceiling.Initialize(AllowanceOf(c), now - start_);
    if (p.rate > 0) c.window = Window(p, now);
  }
  c.entries = EntryGateways(c);
  c.last_seen = now;
  c.total_units_asked += r.units;
  return c;
}

void Quotas::OnShare(uint64_t id, double share, double now, double seconds) {
  Customer* c = Lookup(id);
  if (c == nullptr) return;
  Refill(c, now);  // at the old share; the new one adds no tokens by itself
  c->lent_share = share;
  c->lent_share_until = now + seconds;
}

double Quotas::IdleTimeoutS(const PlanSettings& p) const {
  double idle = std::max(kIdleTimeoutS, p.rate > 0 ? kIdleTimeoutWindows * WindowS(p) : 0);
  if (p.ceiling_rate > 0) idle = std::max(idle, 2 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate);
  return idle;
}

void Quotas::ExpireIdle(double now) {
  if (now - expired_at_ < kIdleTimeoutS / 10) return;
  expired_at_ = now;
  std::erase_if(customers_, [&](const auto& entry) {
    const Customer& c = entry.second;
    return now > c.last_seen + IdleTimeoutS(PlanOf(c)) && !c.units_call && !c.in_flight_call &&
           !c.ceiling.reserving() && c.in_flight == 0;
  });
}

void Quotas::Refill(Customer* c, double now) {
  const PlanSettings& p = PlanOf(*c);
  double dt = now - c->refilled_at;
  if (dt <= 0) return;
  c->refilled_at = now;
  c->own_in_flight_mean += (1 - std::exp(-dt / kInFlightMeanS)) * (c->in_flight - c->own_in_flight_mean);
  c->ceiling.Refill(AllowanceOf(*c), dt);
  if (p.rate <= 0) return;
  // Others are assumed to go on at their estimated rate, also while the counter is down, frozen or new.
  c->tokens = std::min(p.burst, c->tokens + (p.rate - OthersRate(*c)) * dt);
  int64_t window = Window(p, now);
  if (window != c->window) {
    double width = WindowS(p);
    bool lost = window > c->window + 1 && c->entries > 1 && !UsesLocalPart(*c);  // others' use in between is unknown
    double over = c->window_used - p.rate * width * static_cast<double>(window - c->window);
    // Without a sound total in the window the estimated bucket is carried over, which includes unreported units.
    if (c->total_known && !c->window_read && !lost) { over = p.burst - c->tokens; c->unreported = 0; }
    c->window_used = c->carried_debt = lost ? 0 : std::clamp(over, 0.0, p.burst);
    if (lost) c->total_known = false, c->sent_unread = 0;
    c->window_read = false;
    c->window = window;
    c->unreported = std::min(c->unreported, p.burst);  // a long outage leaves a debt of at most one burst
    c->min_total = 0;
  }
}

// Grants the paper's share term V_i / sum V * (W - mu_i): of the units W served in the last tick in which it asked,
// less its tokens mu_i, the customer gets the part that the units it asked for (V_i) are of those of all (sum V).
void Quotas::GrantShare(Customer* c, double units, double now) {
  int64_t tick = ticks_->Roll(now);
  if (c->asked_tick != tick) {
    if (c->asked_tick >= 0 && tick - c->asked_tick < Ticks::kTicks) {
      const Tick& t = ticks_->At(c->asked_tick);
      double mu = std::max(0.0, c->tokens), room = std::max(0.0, PlanOf(*c).burst - c->tokens);
      if (!t.pressed && t.asked > 0 && t.served > mu) {
        c->granted = std::min(room, c->granted + c->asked / t.asked * (t.served - mu));
      }
    }
    c->asked_tick = tick;
    c->asked = 0;
  }
  c->asked += units;
  ticks_->At(tick).asked += units;
}

// Share of requests admitted without a hold that sampling leaves unreported; others are reported with more weight.
double Quotas::UnreportedShare() const {
  return std::min(kMaxUnreportedShare, kUnreportedSharePerCost * (congestion_ + s_.count_price));
}

void Quotas::MaybeReportUnits(uint64_t id, Customer* c, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  if (!s_.may_count || p.rate <= 0 || c->units_call || now < next_call_at_) return;
  double age = now - c->answered_at, left = std::max(0.0, c->tokens);
  double batch = std::max(1.0, kReportBatchShare * left / c->entries);
  bool due = (!c->total_known && c->unsound_answers == 0 && UnreportedShare() < 0.5) ||
             std::fabs(c->unreported) >= batch || c->held_for_quota > 0;
  if (c->unreported > 0 && age > kMaxReportDelayWindows * WindowS(p)) due = true;
  if (!due || !CallCounter({id, c->window, c->unreported, Call::kUnits, now}, 3 * WindowS(p), out)) return;
  c->units_call = true;
  c->unreported = 0;
}

bool Quotas::CallCounter(const Call& call, double expiry, Actions* out) {
  uint64_t window = static_cast<uint64_t>(call.kind == Call::kInFlight ? ~call.window : call.window);
  uint64_t name = Mix(call.customer * 0x100000001b3ULL + Mix(window)) + (call.kind == Call::kPool ? 1 : 0);
  if (!calls_.try_emplace(name, call).second) return false;
  next_call_at_ = call.sent + congestion_ * congestion_ * std::max(kCongestedCallGapS, s_.gateways / kMaxCallsPerS);
  Action& a = AddAction(out, ActionKind::kCount);
  a.tag = name;
  a.amount = call.amount;
  a.seconds = std::min(60.0, expiry);
  return true;
}

Quotas::CountResult Quotas::OnCount(double now, const CountAnswer& answer, Actions* out) {
  auto it = calls_.find(answer.name);
  if (it == calls_.end()) return {};
  Call call = it->second;
  calls_.erase(it);
  auto found = customers_.find(call.customer);
  if (found == customers_.end()) return {};
  Customer* c = &found->second;
  Refill(c, now);
  if (call.kind != Call::kPool) (call.kind == Call::kInFlight ? c->in_flight_call : c->units_call) = false;
  // A failed or slow answer raises the price of calls and spaces them out; quick ones undo both without a burst.
  bool ok = answer.result == Result::kOk, was_unavailable = CounterUnavailable();
  bool quick = ok && now - call.sent < kSlowAnswerTimeouts * s_.count_timeout_s;
  consecutive_failures_ = ok ? 0 : consecutive_failures_ + 1;
  congestion_ += quick ? -kCongestionShrink * congestion_ : kCongestionGrow * (1 - congestion_);
  if (was_unavailable && !CounterUnavailable()) Log(out, "counter available again");
  if (!was_unavailable && CounterUnavailable()) Log(out, "counter unavailable: enforcing local parts of quotas");
  if (call.kind == Call::kPool) {
    if (!c->ceiling.CompleteReservation(AllowanceOf(*c), {call.window, call.amount}, ok, answer.total))
      c->unsound_answers += kUnsoundAnswerLimit;
    Reserve(call.customer, c, 0, now, out);
  } else if (call.kind == Call::kInFlight) {
    ApplyInFlight(c, call, answer, now);
  } else if (ok) {
    if (call.window == c->window) ApplyTotal(call.customer, c, call.amount, answer.total, now, out);
    double overspent = std::clamp(answer.total - PlanOf(*c).burst, 0.0, PlanOf(*c).burst);  // burst is rate x window
    if (call.window + 1 == c->window && call.amount == 0) Charge(c, overspent, 1);
  } else {
    ++c->unsound_answers;
    if (answer.result != Result::kTimeout) c->unreported += call.amount;
  }
  return {call.customer, c, ok};
}

bool Quotas::CounterUnavailable() const { return consecutive_failures_ >= kCounterFailureLimit; }

// Whether the customer's totals can't be relied on, so that this gateway enforces its own part of the quota.
bool Quotas::UsesLocalPart(const Customer& c) const {
  return c.entries > 1 && (CounterUnavailable() || c.unsound_answers >= kUnsoundAnswerLimit);
}

// Estimated units per second that others send: the last report, decaying to the quota's rate minus this gateway's
// part. That is its own rate plus kUnusedShareFactor even shares of the unused rate or, where none is unused, its
// share of what all use. Parts of all gateways add up to the rate, except for that factor and kMinPartShare.
double Quotas::OthersRate(const Customer& c) const {
  if (c.entries < 2) return 0;
  double rate = PlanOf(c).rate, sum = c.own_rate_mean + c.others_rate_mean,
         age = (c.refilled_at - c.sound_total_at) / WindowS(PlanOf(c));
  // Known shares decay to even ones: traffic moves, and stale shares of several gateways don't add up.
  double own = sum / c.entries + std::exp(-age / kShareDecayWindows) * (c.own_rate_mean - sum / c.entries);
  double part = sum < rate ? own + (rate - sum) * kUnusedShareFactor / c.entries : rate * own / sum;
  part = std::clamp(part, rate * kMinPartShare / c.entries, rate);
  double keep = UsesLocalPart(c) || !c.total_known ? 0 : std::exp(-age / kOthersRateDecayWindows);
  return keep * c.others_rate + (1 - keep) * (rate - part);
}

void Quotas::ApplyTotal(uint64_t id, Customer* c, double amount, double total, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  double width = WindowS(p), in_window = now - static_cast<double>(c->window) * width;
  double min_total = c->min_total + amount, others = total - min_total, span = now - c->answered_at;
  c->answered_at = now;
  c->min_total = std::max(total, min_total);
  if (others < -kCorrectionBurstShare * std::min(p.burst, 4 * s_.max_units)) {
    // A sound total never falls below the last one plus the units added since, but for others' corrections. This one
    // is discarded, others are assumed to go on at their rate, and the next total is compared with this one.
    if (now - loss_logged_at_ > 5) Log(out, "counter total went backwards: keeping the local count");
    loss_logged_at_ = now;
    c->min_total = total;
    c->window_used += OthersRate(*c) * std::min(span, in_window);
    c->unsound_answers += kUnsoundAnswerLimit;
    return;
  }
  // After an unsound answer, a slightly short total is discarded, and so is an unchanged one, which proves nothing.
  if (c->unsound_answers > 0 && (others < -1e-6 || (amount <= 0 && others < 1e-6))) return;
  if (others > -1e-6 && amount > 0) c->unsound_answers = 0;
  c->window_read = true;
  c->sound_total_at = now;
  // The first gateway to report in a window also reports the debt carried into it. If it doesn't know that, it reads
  // the count of the window before, where that is worth a call; else the bucket is taken as full.
  bool first = others < 1e-3 && total > 0 && total - amount < 1e-3;
  // A gateway that carries more debt than others reported adds the rest, so that all settle on the largest debt.
  if (c->total_known) c->unreported += std::max(0.0, c->carried_debt - std::max(0.0, others));
  if (first && !c->total_known && (1 - c->within_quota_share) * ExcessLoss(p) >
      kCallsPerHold * s_.count_price + congestion_) {
    c->units_call = CallCounter({id, c->window - 1, 0, Call::kUnits, now}, 2 * width, out);
  }
  others = std::max(0.0, others) - std::min(c->carried_debt, std::max(0.0, others));
  c->carried_debt = 0;
  c->window_used += others;
  double weight = c->total_known ? 1 - std::exp(-span / (0.5 * width)) : 1;
  span = c->total_known ? std::max(span, 1e-3) : std::max(in_window, 0.5 * width);
  c->others_rate += weight * (std::min(2 * p.rate, others / span) - c->others_rate);
  c->others_rate = std::min(c->others_rate, p.rate);
  double slow = 1 - std::exp(-span / (kPartMeanWindows * width));
  c->others_rate_mean += slow * (std::min(2 * p.rate, others / span) - c->others_rate_mean);
  c->own_rate_mean += slow * (std::max(0.0, amount) / span - c->own_rate_mean);
  c->tokens = std::min(p.burst, p.burst + p.rate * in_window - c->window_used);
  c->total_known = true;
}

Verdict Quotas::Check(Customer* c, const Request& r, double work_s, double now, double* chance) {
  const PlanSettings& p = PlanOf(*c);
  Refill(c, now);
  GrantShare(c, r.units, now);
  *chance = 0;
  bool fits = p.ceiling_rate <= 0 || c->ceiling.AvailableUnits(AllowanceOf(*c), now) >= r.units;
  bool may_reserve = s_.may_count && !UsesLocalPart(*c) && r.left_s > kMinTimeLeftTimeouts * s_.count_timeout_s;
  if (!fits && !(may_reserve && c->ceiling.CanReserve(AllowanceOf(*c), r.units, now))) return Verdict::kOverQuota;
  bool excess_pays = ExcessPays(p), alone = c->entries < 2;
  double loss = ExcessLoss(p), cap_free = 1;
  if (p.parallel > 0) {
    cap_free = CapFreeProbability(*c, p, work_s, now);
    if (p.rate <= 0) {
      double keep = alone ? 1 : c->others_in_flight_at < 0 ? 0
                    : CounterUnavailable() ? 1 : std::exp(-(now - c->others_in_flight_at) / kInFlightMeanS);
      *chance = c->in_flight >= p.parallel ? 0 :
                keep * cap_free + (1 - keep) * std::min(cap_free, c->within_quota_share);
      if (*chance * (1 + loss) >= loss) return Verdict::kWithinQuota;
      return excess_pays && !ticks_->Pressed(now) ? Verdict::kBorrowed : Verdict::kOverQuota;
    }
  }
  bool room = c->tokens >= r.units && cap_free * (1 + loss) >= loss;
  double first_part = (p.burst + p.rate * (now - c->first_seen)) / c->entries;
  if (c->window_used + r.units > p.burst + p.rate * WindowS(p)) room = false;
  double repeats = (c->total_units_asked - r.units) * c->entries / (now - c->first_seen + kIdleTimeoutS);
  double prior = c->within_quota_share / (1 + (CounterUnavailable() ? 0 : std::max(0.0, repeats / p.rate - 0.5)));
  // Where first reads are rare or unreliable, a new customer is judged by what held requests of its plan showed.
  bool trusted = (congestion_ > kTrustCongestion || UsesLocalPart(*c)) && c->within_quota_share >= kTrustedQuotaShare;
  if (!c->total_known && c->sent_unread > 0 && c->sent_unread + r.units > first_part && !trusted) room = false;
  if (!c->total_known && !alone && prior * (1 + loss) < loss) room = false;
  double age = now - c->answered_at,
         keep = !c->total_known ? 0 : alone || CounterUnavailable() ? 1 : std::exp(-age / WindowS(p));
  double spread = std::sqrt(0.01 + 0.5 * s_.max_units * (alone ? 0 : c->others_rate) * age);
  double z = (c->tokens - r.units) / spread;
  *chance = (keep / (1 + std::exp(-1.7 * z)) + (1 - keep) * prior) * std::min(1.0, cap_free);
  if (room) return fits ? Verdict::kWithinQuota : Verdict::kReserve;
  if (excess_pays && fits && c->tokens + c->granted >= r.units && !ticks_->Pressed(now)) return Verdict::kBorrowed;
  return Verdict::kOverQuota;
}

void Quotas::Reserve(uint64_t id, Customer* c, double units, double now, Actions* out) {
  auto made = c->ceiling.Reserve(AllowanceOf(*c), units, now);
  if (made) CallCounter({id, made->window, made->units, Call::kPool, now}, 2 * AllowanceOf(*c).WindowSeconds(), out);
}

bool Quotas::ShouldHold(const Customer& c, const Request& r, Verdict verdict, double chance, double now) {
  const PlanSettings& p = PlanOf(c);
  if (!s_.may_count || ExcessPays(p) || c.entries < 2) return false;
  if (r.left_s < kMinTimeLeftTimeouts * s_.count_timeout_s) return false;
  double gain = (verdict == Verdict::kOverQuota ? chance : std::min(chance, (1 - chance) * ExcessLoss(p))) *
                (0.5 + dice_->Unit());
  double congestion = p.rate <= 0 ? kCapCongestionShare * congestion_ : congestion_;
  if (gain < kCallsPerHold * s_.count_price + congestion) return false;
  return now >= next_call_at_ || c.units_call || c.in_flight_call;
}

// Poisson probability that others have fewer attempts in flight than the cap leaves free. Its mean starts at the last
// report and decays to the long-term mean. If the report is stale, that is at least this gateway's own mean times the
// number of other gateways, so that without reports all gateways together come out near the cap.
double Quotas::CapFreeProbability(const Customer& c, const PlanSettings& p, double span, double now) const {
  int free = p.parallel - c.in_flight;
  double still_out = c.others_in_flight_at < 0 ? 0 : std::exp(-(now - c.others_in_flight_at) / span);
  if (free <= 0 || still_out > kFreshReportShare) return free > c.others_in_flight ? 1 : 0;
  double freshness = c.others_in_flight_at < 0 ? 0 : std::exp(-(now - c.others_in_flight_at) / kInFlightMeanS);
  double long_term = std::max(c.others_in_flight_mean, (1 - freshness) * c.own_in_flight_mean * (c.entries - 1));
  double mean = still_out * c.others_in_flight + (1 - still_out) * long_term, term = std::exp(-mean), sum = 0;
  for (int k = 0; k < free; term *= mean / ++k) sum += term;
  return sum;
}

void Quotas::ReportInFlight(uint64_t id, Customer* c, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  if (!s_.may_count || p.parallel <= 0 || c->entries < 2 || c->in_flight_call) return;
  int64_t epoch = static_cast<int64_t>(std::floor(now / kInFlightEpochS));
  if (epoch != c->epoch) { c->epoch = epoch; c->reported_in_flight = 0; }
  double amount = c->in_flight * c->report_weight - c->reported_in_flight;
  if (amount == 0 && c->held.empty()) return;
  if (now < next_call_at_) return DeferReport(id, c, now, out);
  c->in_flight_call = CallCounter({id, epoch, amount, Call::kInFlight, now}, 2 * kInFlightEpochS, out);
}

void Quotas::DeferReport(uint64_t id, Customer* c, double now, Actions* out) {
  if (c->report_deferred) return;
  c->report_deferred = true;
  deferred_reports_.push_back(id);
  if (deferred_reports_.size() == 1) SetTimer(out, next_call_at_ - now, kReportTimerTag);
}

void Quotas::SendDeferredReports(double now, Actions* out) {
  while (!deferred_reports_.empty() && now >= next_call_at_) {
    uint64_t id = deferred_reports_.front();
    deferred_reports_.pop_front();
    Customer* c = Lookup(id);
    if (c == nullptr) continue;
    c->report_deferred = false;
    ReportInFlight(id, c, now, out);
  }
  if (!deferred_reports_.empty()) SetTimer(out, next_call_at_ - now, kReportTimerTag);
}

void Quotas::ApplyInFlight(Customer* c, const Call& call, const CountAnswer& answer, double now) {
  if (call.window != c->epoch) return;
  if (answer.result == Result::kOk || answer.result == Result::kTimeout) c->reported_in_flight += call.amount;
  if (answer.result != Result::kOk) return;
  double weight = c->others_in_flight_at < 0 ? 1 : 1 - std::exp(-(now - c->others_in_flight_at) / 1.0);
  c->others_in_flight = std::max(0.0, answer.total - c->reported_in_flight);
  c->others_in_flight_mean += weight * (c->others_in_flight - c->others_in_flight_mean);
  c->others_in_flight_at = now;
}

void Quotas::Charge(Customer* c, double units, double sign) {
  const PlanSettings& p = PlanOf(*c);
  if (p.rate <= 0) {
    if (sign > 0 && c->in_flight == 0) c->report_weight = 1;
    return void(c->in_flight += sign > 0 ? 1 : -1);
  }
  c->tokens = std::min(p.burst, c->tokens - sign * units);
  c->window_used += sign * units;
  c->unreported += sign * units;
  if (!c->total_known) c->sent_unread += sign * units;
}

void Quotas::Admit(Customer* c, const Request& r, bool within_quota, bool held) {
  const PlanSettings& p = PlanOf(*c);
  if (p.ceiling_rate > 0) c->ceiling.Spend(AllowanceOf(*c), r.units, c->refilled_at);
  if (p.rate > 0 && within_quota) Charge(c, r.units, 1);
  if (p.rate > 0 && within_quota && !held && c->entries > 1) {
    double reported = 1 - UnreportedShare() * (1 - 1 / c->entries);
    c->unreported += r.units * ((dice_->Unit() < reported ? 1 / reported : 0) - 1);
  }
  if (p.rate > 0 && !within_quota) c->granted -= std::max(0.0, r.units - std::max(0.0, c->tokens));
}

Customer* Quotas::Lookup(uint64_t id) {
  auto it = customers_.find(id);
  return it == customers_.end() ? nullptr : &it->second;
}

void Quotas::OnAttemptStarted(uint64_t id, Customer* c, double now, Actions* out) {
  if (c->in_flight == 0 && c->reported_in_flight == 0 && !c->in_flight_call) {
    double used = c->others_in_flight_at < 0 ? 1 : (c->others_in_flight_mean + 1) / std::max(1, PlanOf(*c).parallel);
    double reported = std::clamp(kReportShareFactor * used, kMinReportShare, 1.0);
    c->report_weight = c->entries < 3 ? 1 : dice_->Unit() < reported ? 1 / reported : 0;
  }
  ++c->in_flight;
  ReportInFlight(id, c, now, out);
}

void Quotas::OnAttemptEnded(uint64_t id, Customer* c, double now, Actions* out) {
  Refill(c, now);
  c->in_flight = std::max(0, c->in_flight - 1);
  ReportInFlight(id, c, now, out);
}

void Quotas::CorrectUnits(Customer* c, double difference) { if (PlanOf(*c).rate > 0) Charge(c, difference, 1); }

void Quotas::LearnWithinQuota(Customer* c, bool within_quota) {
  double value = within_quota;
  within_quota_shares_[c->plan] += kPlanShareWeight * (value - within_quota_shares_[c->plan]);
  c->within_quota_share += kCustomerShareWeight * (value - c->within_quota_share);
}

}  // namespace micadock
