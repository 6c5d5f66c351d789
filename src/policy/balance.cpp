// The life cycle of a request: admission, attempts, retries, one final answer. Quotas and backends are independent.
#include "policy/balance.h"

#include <tuple>
#include <unordered_map>

#include "policy/fleet.h"
#include "policy/quotas.h"

namespace micadock {
namespace {

constexpr double kSilenceAimShare = 0.5;  // a silent attempt is given at least this share of the latency target
constexpr double kSilenceWorkTimes = 6;   // expected answer times a silent attempt is given; chance seldom takes more
constexpr double kRetryTokensPerRequest = 0.1, kMaxRetryTokens = 20;  // tokens earned per first attempt; most held
constexpr uint64_t kDiscoveryTimerTag = 1ULL << 40;  // timer for the next request to discovery

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& s, uint64_t seed, double now, Actions* out)
      : s_(s), dice_(seed), quotas_(s_, &dice_, &ticks_, now), backends_(s_, &dice_, &ticks_) {
    if (!s_.push_discovery) AddAction(out, ActionKind::kSubscribe);
  }

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out) {
    if (kind == ListKind::kFailed && !s_.push_discovery)
      SetTimer(out, std::min(1.0, s_.max_discovery_retry_s), kDiscoveryTimerTag);
    if (kind != ListKind::kFailed) backends_.OnList(now, kind, entries);
  }

  void OnCount(double now, const CountAnswer& answer, Actions* out) {
    Quotas::CountResult result = quotas_.OnCount(now, answer, out);
    Customer* c = result.customer;
    if (c == nullptr) return;
    if (!c->units_call && !c->in_flight_call && !c->ceiling.reserving()) AdmitHeld(result.id, c, result.ok, now, out);
    if (result.ok) quotas_.MaybeReportUnits(result.id, c, now, out);
  }

  // Admits or refuses requests held for the counter's answer, by what is known now. `answered`: the call succeeded.
  void AdmitHeld(uint64_t id, Customer* c, bool answered, double now, Actions* out) {
    std::vector<HeldRequest> held_requests = std::exchange(c->held, {});
    double wanted = c->held_for_quota = 0;
    for (const HeldRequest& held : held_requests) {
      auto it = requests_.find(held.request);
      bool live = it != requests_.end() && !it->second.answered;
      double chance = 0;
      if (held.charged) quotas_.Charge(c, held.units, -1);
      Verdict verdict = live ? CheckQuota(c, it->second.request, now, &chance) : Verdict::kOverQuota;
      bool admit = verdict == Verdict::kWithinQuota, reserve = verdict == Verdict::kReserve && !held.reserving;
      if (live && answered && !held.reserving) quotas_.LearnWithinQuota(c, admit || reserve);
      if (reserve) {
        quotas_.Charge(c, held.units, 1);
        wanted += held.units;
        c->held.push_back({held.request, held.units, true, true});
        continue;
      }
      Host* host = admit ? backends_.Pick(it->second, now) : nullptr;
      if (host != nullptr) {
        Admit(&it->second, c, verdict, host, true, now, out);
      } else if (live) {
        Refuse(held.request, verdict == Verdict::kOverQuota ? s_.max_retry_after_s : 0, out);
        requests_.erase(it);
      }
    }
    if (wanted > 0) quotas_.Reserve(id, c, wanted, now, out);
    quotas_.ReportInFlight(id, c, now, out);
  }

  Verdict CheckQuota(Customer* c, const Request& r, double now, double* chance) {
    return quotas_.Check(c, r, backends_.ClassWork(r.cls), now, chance);
  }

  void Admit(ActiveRequest* active, Customer* c, Verdict verdict, Host* host, bool held, double now, Actions* out) {
    active->within_quota = verdict == Verdict::kWithinQuota;
    quotas_.Admit(c, active->request, active->within_quota, held);
    retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetryTokensPerRequest);
    Send(active, host, now, out);
    ArmTimer(*active, now, out);
  }

  void OnRequest(double now, const Request& r, Actions* out) {
    quotas_.ExpireIdle(now);
    bool valid = r.cls >= 0 && r.cls < static_cast<int>(s_.classes.size()) && r.plan >= 0 &&
                 r.plan < static_cast<int>(s_.plans.size()) && std::isfinite(r.units) && r.units > 0 &&
                 std::isfinite(r.left_s) && r.left_s > 2 * s_.resolution_s && std::isfinite(r.entries);
    if (requests_.count(r.id) != 0) return;
    if (!valid) return Refuse(r.id, 0, out);
    if (r.resumed) return Resume(r, now, out);
    Customer& c = quotas_.FindOrCreate(r, now);
    if (c.plan != r.plan) return Refuse(r.id, 0, out);
    double chance;
    Verdict verdict = CheckQuota(&c, r, now, &chance);
    ActiveRequest live;
    live.request = r;
    live.deadline = now + r.body_s + r.left_s;
    backends_.ObserveTimeLeft(r);
    bool hold = quotas_.ShouldHold(c, r, verdict, chance, now), reserve = !hold && verdict == Verdict::kReserve;
    if (hold || reserve) {
      if (backends_.ShouldShed(r, false)) return Refuse(r.id, 0, out);
      c.held.push_back({r.id, r.units, reserve || chance >= 0.5, reserve});
      if (c.held.back().charged) quotas_.Charge(&c, r.units, 1);
      ArmTimer(requests_[r.id] = std::move(live), now, out);
      c.held_for_quota += hold;
      if (hold) quotas_.MaybeReportUnits(r.customer, &c, now, out);
      if (hold && quotas_.PlanOf(c).rate <= 0) quotas_.ReportInFlight(r.customer, &c, now, out);
      if (reserve) quotas_.Reserve(r.customer, &c, r.units, now, out);
      if (!c.units_call && !c.in_flight_call && !c.ceiling.reserving()) AdmitHeld(r.customer, &c, false, now, out);
      return;
    }
    if (verdict == Verdict::kOverQuota) return Refuse(r.id, s_.max_retry_after_s, out);
    Host* host = backends_.ShouldShed(r, verdict != Verdict::kWithinQuota) ? nullptr : backends_.Pick(live, now);
    if (host == nullptr) {
      if (verdict == Verdict::kWithinQuota) ticks_.MarkPressed(now);
      return Refuse(r.id, 0, out);
    }
    ActiveRequest& kept = requests_[r.id] = std::move(live);
    Admit(&kept, &c, verdict, host, false, now, out);
    quotas_.MaybeReportUnits(r.customer, &c, now, out);
  }

  // Takes over a request from another gateway, which has charged its units. Attempts made there limit retries here.
  void Resume(const Request& r, double now, Actions* out) {
    ActiveRequest& active = requests_[r.id];
    active.request = r;
    active.deadline = now + r.left_s;
    std::tie(active.may_have_run, active.ran_at, active.ran_zone, active.ran_cell) =
        std::tuple(r.may_have_run, now - r.ran_age_s, r.ran_zone, r.ran_cell);
    Host* host = MayResend(active, now) ? backends_.Pick(active, now) : nullptr;
    if (host == nullptr) return RefuseOrFail(&active, out);
    Send(&active, host, now, out);
    ArmTimer(active, now, out);
  }

  void OnShare(double now, uint64_t customer, double share, double s) { quotas_.OnShare(customer, share, now, s); }
  void OnFleet(int gateways, bool counted) { s_.gateways = std::max(1, gateways), s_.counted = counted; }

  void Send(ActiveRequest* active, Host* host, double now, Actions* out) {
    active->attempts.push_back({host->info.id, now, true});
    ++active->in_flight;
    backends_.OnSent(host, active->request);
    if (Customer* c = quotas_.Lookup(active->request.customer))
      quotas_.OnAttemptStarted(active->request.customer, c, now, out);
    Action& a = AddAction(out, ActionKind::kSend, active->request.id);
    a.backend = host->info.id;
    a.seconds = std::max(s_.resolution_s, active->deadline - now);
  }

  void ArmTimer(const ActiveRequest& active, double now, Actions* out) {
    const Host* last = active.attempts.empty() ? nullptr : backends_.Find(active.attempts.back().backend_id);
    double work_s =
        backends_.ExpectedWork(active.request) * (last != nullptr ? std::max(1.0, last->relative_latency) : 1);
    double check_s = std::max(kSilenceAimShare * s_.classes[active.request.cls].aim_s, kSilenceWorkTimes * work_s);
    SetTimer(out, std::max(0.0, std::min(active.deadline - 2 * s_.resolution_s - now, check_s)), active.request.id);
  }

  bool MayResend(const ActiveRequest& active, double now) const {
    const ClassSettings& c = s_.classes[active.request.cls];
    if (static_cast<int>(active.attempts.size()) >= s_.try_limit || !active.resendable) return false;
    if (!active.may_have_run || c.effect == Effect::kFree) return true;
    if (c.effect == Effect::kSingleShot) return false;
    return now < active.ran_at + c.window_s - 2 * s_.resolution_s;
  }

  bool Retry(ActiveRequest* active, double now, Actions* out) {
    if (!MayResend(*active, now) || retry_tokens_ < 1 ||
        active->deadline - now < backends_.ExpectedWork(active->request)) return false;
    Host* host = backends_.Pick(*active, now);
    if (host == nullptr) return false;
    retry_tokens_ -= 1;
    Send(active, host, now, out);
    return true;
  }

  void RefuseOrFail(ActiveRequest* active, Actions* out) {
    const ClassSettings& c = s_.classes[active->request.cls];
    bool not_executed = c.effect == Effect::kFree || (!active->may_have_run && active->in_flight == 0);
    bool may_refuse = not_executed || (c.effect == Effect::kGuarded && c.scope == Scope::kAll);
    AddAction(out, may_refuse ? ActionKind::kRefuse : ActionKind::kFail, active->request.id);
    Complete(active, out);
  }

  void Complete(ActiveRequest* active, Actions* out) {
    active->answered = true;
    for (size_t i = 0; i < active->attempts.size(); ++i) {
      if (active->attempts[i].in_flight && s_.cancel && !active->streaming) {
        AddAction(out, ActionKind::kCancel, active->request.id).attempt = static_cast<int>(i);
      }
    }
    if (active->in_flight == 0) requests_.erase(active->request.id);
  }

  void OnOutcome(double now, const Outcome& outcome, Actions* out) {
    auto it = requests_.find(outcome.request);
    if (it == requests_.end()) return;
    ActiveRequest& active = it->second;
    if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(active.attempts.size()) ||
        !active.attempts[outcome.attempt].in_flight) return;
    Attempt& attempt = active.attempts[outcome.attempt];
    attempt.in_flight = false;
    --active.in_flight;
    Customer* customer = quotas_.Lookup(active.request.customer);
    if (customer != nullptr) quotas_.OnAttemptEnded(active.request.customer, customer, now, out);
    Host* host = backends_.Find(attempt.backend_id);
    if (host != nullptr && !attempt.outcome_recorded) {
      --host->in_flight;
      backends_.OnOutcome(host, active, attempt, outcome, now, out);
    }
    active.resendable = active.resendable && outcome.resendable;
    bool ran = outcome.result == Result::kError || outcome.result == Result::kTimeout ||
               outcome.result == Result::kReset || outcome.result == Result::kCancelled;
    if (ran && !active.may_have_run) {
      active.may_have_run = true;
      active.ran_at = attempt.sent_at;
      active.ran_zone = host != nullptr ? host->info.zone : -1;
      active.ran_cell = host != nullptr ? host->info.cell : -1;
    }
    if (outcome.result == Result::kOk && !active.answered) {
      ticks_.At(ticks_.Roll(now)).served += active.request.units;
      if (outcome.true_units > 0 && active.within_quota && customer != nullptr) {
        quotas_.CorrectUnits(customer, outcome.true_units - active.request.units);
      }
    }
    if (outcome.finished || (outcome.result == Result::kOk && !active.answered)) {
      Complete(&active, out);
    } else if (active.answered) {
      if (active.in_flight == 0) requests_.erase(it);
    } else if (active.in_flight == 0 && !Retry(&active, now, out)) {
      RefuseOrFail(&active, out);
    }
  }

  void OnAbandoned(uint32_t request, Actions* out) {
    auto it = requests_.find(request);
    if (it != requests_.end() && !it->second.answered) Complete(&it->second, out);
  }

  void OnBodyEnded(double now, uint32_t request, Actions* out) {
    auto it = requests_.find(request);
    if (it == requests_.end() || it->second.answered || it->second.streaming) return;
    ActiveRequest& active = it->second;
    active.deadline = now + active.request.left_s;
    for (Attempt& attempt : active.attempts) {
      if (attempt.in_flight) attempt.sent_at = now;  // the backend's answer time counts from here too
    }
    ArmTimer(active, now, out);
  }

  // The time until the response starts is the backend's; how long the stream then lasts depends on the client.
  void OnStreamBegun(double now, uint32_t request, Actions* out) {
    auto it = requests_.find(request);
    if (it == requests_.end() || it->second.streaming) return;
    ActiveRequest& active = it->second;
    active.streaming = true;
    for (Attempt& attempt : active.attempts) {
      Host* host = attempt.in_flight ? backends_.Find(attempt.backend_id) : nullptr;
      if (host == nullptr) continue;
      attempt.outcome_recorded = true;
      --host->in_flight;
      backends_.OnOutcome(host, active, attempt, {request, 0, 0, Result::kOk}, now, out);
    }
  }

  void OnTimer(double now, uint64_t tag, Actions* out) {
    if (tag == kDiscoveryTimerTag) return void(AddAction(out, ActionKind::kSubscribe));
    if (tag == kReportTimerTag) return quotas_.SendDeferredReports(now, out);
    auto it = requests_.find(static_cast<uint32_t>(tag));
    if (it == requests_.end() || it->second.answered || it->second.streaming) return;
    ActiveRequest& active = it->second;
    if (now >= active.deadline - 3 * s_.resolution_s) {  // answers just before the client gives up
      backends_.AdjustAdmitShare(2, now);
      return RefuseOrFail(&active, out);
    }
    if (active.attempts.empty()) return ArmTimer(active, now, out);  // held until the counter answers
    const Attempt& attempt = active.attempts.back();
    Host* host = backends_.Find(attempt.backend_id);
    bool silent = attempt.in_flight && host != nullptr && host->last_answer_at <= attempt.sent_at;
    if (silent && active.in_flight == 1 && retry_tokens_ >= 1 &&
        s_.classes[active.request.cls].effect == Effect::kFree && MayResend(active, now)) {
      if (s_.hedging) {
        if (host->in_flight > 1) backends_.OnFault(host, false, now, out);
        Retry(&active, now, out);
      } else if (s_.cancel) {
        AddAction(out, ActionKind::kCancel, active.request.id).attempt = static_cast<int>(active.attempts.size()) - 1;
      }
    }
    ArmTimer(active, now, out);
  }


  BackendPool& backends() { return backends_; }

 private:
  void Refuse(uint32_t id, double retry_after_s, Actions* out) {
    AddAction(out, ActionKind::kRefuse, id).seconds = s_.retry_after ? retry_after_s : 0;
  }

  Settings s_;
  Dice dice_;
  Ticks ticks_;
  Quotas quotas_;
  BackendPool backends_;
  std::unordered_map<uint32_t, ActiveRequest> requests_;
  double retry_tokens_ = kMaxRetryTokens;
};

Balancer::Balancer(const Settings& settings, uint64_t seed, double now, Actions* out)
    : impl_(std::make_unique<Impl>(settings, seed, now, out)) {}
Balancer::~Balancer() = default;
void Balancer::OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out) {
  impl_->OnList(now, kind, entries, out);
}
void Balancer::OnRequest(double t, const Request& r, Actions* out) { impl_->OnRequest(t, r, out); }
void Balancer::OnBodyEnded(double t, uint32_t request, Actions* out) { impl_->OnBodyEnded(t, request, out); }
void Balancer::OnStreamBegun(double t, uint32_t request, Actions* out) { impl_->OnStreamBegun(t, request, out); }
void Balancer::OnOutcome(double t, const Outcome& outcome, Actions* out) { impl_->OnOutcome(t, outcome, out); }
void Balancer::OnAbandoned(double, uint32_t request, Actions* out) { impl_->OnAbandoned(request, out); }
void Balancer::OnFleet(int gateways, bool counted) { impl_->OnFleet(gateways, counted); }
void Balancer::OnShare(double t, uint64_t customer, double share, double s) { impl_->OnShare(t, customer, share, s); }
void Balancer::OnTimer(double t, uint64_t tag, Actions* out) { impl_->OnTimer(t, tag, out); }
LearnedState Balancer::ExportLearned(double now) const { return impl_->backends().ExportLearned(now); }
void Balancer::ImportLearned(double now, const LearnedState& from) { impl_->backends().ImportLearned(now, from); }
int Balancer::EjectedCount(double now) const { return impl_->backends().EjectedCount(now); }
void Balancer::OnCount(double t, const CountAnswer& a, Actions* out) { impl_->OnCount(t, a, out); }

}  // namespace micadock
