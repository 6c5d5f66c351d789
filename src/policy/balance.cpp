// Requests from their arrival to their one final answer. Quotas (quotas.h) and servers (fleet.h) don't know each other.
#include "policy/balance.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

#include "policy/fleet.h"
#include "policy/quotas.h"

namespace micadock {
namespace {

// Tuned values; each is ours.
constexpr double kCheckShare = 0.5;  // of the aim after which a silent backend may be given up,
constexpr double kCheckTimes = 6;    // and so many times what its answers take: chance alone is rarer
constexpr double kRetryShare = 0.1, kRetryStore = 20;  // further attempts for each first one; most saved
constexpr uint64_t kAskTag = 1ULL << 40;  // of the timer after which discovery is asked again

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& s, uint64_t seed, double now, Actions* out)
      : s_(s), dice_(seed), quotas_(s_, &dice_, &ticks_, now), fleet_(s_, &dice_, &ticks_) {
    if (!s_.push_discovery) Emit(out, ActionKind::kSubscribe);
  }

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out) {
    if (kind == ListKind::kFailed && !s_.push_discovery) Timer(out, std::min(1.0, s_.max_discovery_retry_s), kAskTag);
    if (kind != ListKind::kFailed) fleet_.OnList(now, kind, entries);
  }

  void OnCount(double now, const CountAnswer& answer, Actions* out) {
    Quotas::Heard heard = quotas_.OnCount(now, answer, out);
    Customer* c = heard.customer;
    if (c == nullptr) return;
    if (!c->calling && !c->out_calling && !c->ceiling.reserving()) Settle(heard.id, c, heard.ok, now, out);
    if (heard.ok) quotas_.MaybeCount(heard.id, c, now, out);
  }

  // What waited for the counter is decided by what is known now.
  void Settle(uint64_t id, Customer* c, bool told, double now, Actions* out) {
    std::vector<Waiting> waiting = std::exchange(c->waiting, {});
    double wanted = c->asks = 0;
    for (const Waiting& w : waiting) {
      auto it = lives_.find(w.request);
      bool live = it != lives_.end() && !it->second.done;
      double chance = 0;
      if (w.charged) quotas_.Charge(c, w.units, -1);
      Verdict verdict = live ? Judge(c, it->second.r, now, &chance) : Verdict::kOver;
      bool in = verdict == Verdict::kInside, reserve = verdict == Verdict::kReserve && !w.reserving;
      if (live && told && !w.reserving) quotas_.LearnInside(c, in || reserve);
      if (reserve) {
        quotas_.Charge(c, w.units, 1);
        wanted += w.units;
        c->waiting.push_back({w.request, w.units, true, true});
        continue;
      }
      Node* node = in ? fleet_.Pick(it->second, now) : nullptr;
      if (node != nullptr) {
        Admit(&it->second, c, verdict, node, true, now, out);
      } else if (live) {
        Refuse(w.request, verdict == Verdict::kOver ? s_.max_retry_after_s : 0, out);
        lives_.erase(it);
      }
    }
    if (wanted > 0) quotas_.Reserve(id, c, wanted, now, out);
    quotas_.TellOpen(id, c, now, out);
  }

  Verdict Judge(Customer* c, const Request& r, double now, double* chance) {
    return quotas_.Judge(c, r, fleet_.Work(r.cls), now, chance);
  }

  void Admit(Live* l, Customer* c, Verdict verdict, Node* node, bool asked, double now, Actions* out) {
    l->inside = verdict == Verdict::kInside;
    quotas_.Admit(c, l->r, l->inside, asked);
    retry_store_ = std::min(kRetryStore, retry_store_ + kRetryShare);
    Send(l, node, now, out);
    Arm(*l, now, out);
  }

  void OnRequest(double now, const Request& r, Actions* out) {
    quotas_.Expire(now);
    bool sound = r.cls >= 0 && r.cls < static_cast<int>(s_.classes.size()) && r.plan >= 0 &&
                 r.plan < static_cast<int>(s_.plans.size()) && std::isfinite(r.units) && r.units > 0 &&
                 std::isfinite(r.left_s) && r.left_s > 2 * s_.resolution_s && std::isfinite(r.entries);
    if (lives_.count(r.id) != 0) return;
    if (!sound) return Refuse(r.id, 0, out);
    if (r.resumed) return Resume(r, now, out);
    Customer& c = quotas_.Find(r, now);
    if (c.plan != r.plan) return Refuse(r.id, 0, out);
    double chance;
    Verdict verdict = Judge(&c, r, now, &chance);
    Live live;
    live.r = r;
    live.deadline = now + r.body_s + r.left_s;
    fleet_.Seen(r);
    bool ask = quotas_.WorthAsking(c, r, verdict, chance, now), reserve = !ask && verdict == Verdict::kReserve;
    if (ask || reserve) {
      if (fleet_.Crowded(r, false)) return Refuse(r.id, 0, out);
      c.waiting.push_back({r.id, r.units, reserve || chance >= 0.5, reserve});
      if (c.waiting.back().charged) quotas_.Charge(&c, r.units, 1);
      Arm(lives_[r.id] = std::move(live), now, out);
      c.asks += ask;
      if (ask) quotas_.MaybeCount(r.customer, &c, now, out);
      if (ask && quotas_.PlanOf(c).rate <= 0) quotas_.TellOpen(r.customer, &c, now, out);
      if (reserve) quotas_.Reserve(r.customer, &c, r.units, now, out);
      if (!c.calling && !c.out_calling && !c.ceiling.reserving()) Settle(r.customer, &c, false, now, out);
      return;
    }
    if (verdict == Verdict::kOver) return Refuse(r.id, s_.max_retry_after_s, out);
    Node* node = fleet_.Crowded(r, verdict != Verdict::kInside) ? nullptr : fleet_.Pick(live, now);
    if (node == nullptr) {
      if (verdict == Verdict::kInside) ticks_.MarkPressed(now);
      return Refuse(r.id, 0, out);
    }
    Live& kept = lives_[r.id] = std::move(live);
    Admit(&kept, &c, verdict, node, false, now, out);
    quotas_.MaybeCount(r.customer, &c, now, out);
  }

  // A work that another gateway had: its units are counted, and what was tried there binds.
  void Resume(const Request& r, double now, Actions* out) {
    Live& l = lives_[r.id];
    l.r = r;
    l.deadline = now + r.left_s;
    std::tie(l.may_have_run, l.ran_at, l.ran_zone, l.ran_cell) = std::tuple(r.may_have_run, now - r.ran_age_s, r.ran_zone, r.ran_cell);
    Node* node = MayResend(l, now) ? fleet_.Pick(l, now) : nullptr;
    if (node == nullptr) return Finish(&l, out);
    Send(&l, node, now, out);
    Arm(l, now, out);
  }

  void OnShare(double now, uint64_t customer, double share, double seconds) { quotas_.OnShare(customer, share, now, seconds); }
  void OnFleet(int gateways, bool counted) { s_.gateways = std::max(1, gateways), s_.counted = counted; }

  void Send(Live* l, Node* node, double now, Actions* out) {
    l->tries.push_back({node->info.id, now, true});
    ++l->out;
    fleet_.Sent(node, l->r);
    if (Customer* c = quotas_.Peek(l->r.customer)) quotas_.Opened(l->r.customer, c, now, out);
    Action& a = Emit(out, ActionKind::kSend, l->r.id);
    a.backend = node->info.id;
    a.seconds = std::max(s_.resolution_s, l->deadline - now);
  }

  void Arm(const Live& l, double now, Actions* out) {
    const Node* n = l.tries.empty() ? nullptr : fleet_.Find(l.tries.back().node);
    double usual = fleet_.WorkOf(l.r) * (n != nullptr ? std::max(1.0, n->speed) : 1);
    double check = std::max(kCheckShare * s_.classes[l.r.cls].aim_s, kCheckTimes * usual);
    Timer(out, std::max(0.0, std::min(l.deadline - 2 * s_.resolution_s - now, check)), l.r.id);
  }

  bool MayResend(const Live& l, double now) const {
    const ClassSettings& c = s_.classes[l.r.cls];
    if (static_cast<int>(l.tries.size()) >= s_.try_limit || !l.again) return false;
    if (!l.may_have_run || c.effect == Effect::kFree) return true;
    if (c.effect == Effect::kSingleShot) return false;
    return now < l.ran_at + c.window_s - 2 * s_.resolution_s;
  }

  bool TryAgain(Live* l, double now, Actions* out) {
    if (!MayResend(*l, now) || retry_store_ < 1 || l->deadline - now < fleet_.WorkOf(l->r)) return false;
    Node* node = fleet_.Pick(*l, now);
    if (node == nullptr) return false;
    retry_store_ -= 1;
    Send(l, node, now, out);
    return true;
  }

  void Finish(Live* l, Actions* out) {
    const ClassSettings& c = s_.classes[l->r.cls];
    bool untouched = c.effect == Effect::kFree || (!l->may_have_run && l->out == 0);
    bool may_refuse = untouched || (c.effect == Effect::kGuarded && c.scope == Scope::kAll);
    Emit(out, may_refuse ? ActionKind::kRefuse : ActionKind::kFail, l->r.id);
    End(l, out);
  }

  void End(Live* l, Actions* out) {
    l->done = true;
    for (size_t i = 0; i < l->tries.size(); ++i) {
      if (l->tries[i].out && s_.cancel && !l->began) {
        Emit(out, ActionKind::kCancel, l->r.id).attempt = static_cast<int>(i);
      }
    }
    if (l->out == 0) lives_.erase(l->r.id);
  }

  void OnOutcome(double now, const Outcome& o, Actions* out) {
    auto it = lives_.find(o.request);
    if (it == lives_.end()) return;
    Live& l = it->second;
    if (o.attempt < 0 || o.attempt >= static_cast<int>(l.tries.size()) || !l.tries[o.attempt].out) return;
    Try& t = l.tries[o.attempt];
    t.out = false;
    --l.out;
    Customer* customer = quotas_.Peek(l.r.customer);
    if (customer != nullptr) quotas_.Closed(l.r.customer, customer, now, out);
    Node* n = fleet_.Find(t.node);
    if (n != nullptr && !t.begun) {
      --n->out;
      fleet_.Learn(n, l, t, o, now, out);
    }
    l.again = l.again && o.resendable;
    bool ran = o.result == Result::kError || o.result == Result::kTimeout || o.result == Result::kReset ||
               o.result == Result::kCancelled;
    if (ran && !l.may_have_run) {
      l.may_have_run = true;
      l.ran_at = t.sent;
      l.ran_zone = n != nullptr ? n->info.zone : -1;
      l.ran_cell = n != nullptr ? n->info.cell : -1;
    }
    if (o.result == Result::kOk && !l.done) {
      ticks_.At(ticks_.Roll(now)).served += l.r.units;
      if (o.true_units > 0 && l.inside && customer != nullptr) {
        quotas_.TrueUnits(customer, o.true_units - l.r.units);
      }
    }
    if (o.finished || (o.result == Result::kOk && !l.done)) {
      End(&l, out);
    } else if (l.done) {
      if (l.out == 0) lives_.erase(it);
    } else if (l.out == 0 && !TryAgain(&l, now, out)) {
      Finish(&l, out);
    }
  }

  void OnAbandoned(uint32_t request, Actions* out) {
    auto it = lives_.find(request);
    if (it != lives_.end() && !it->second.done) End(&it->second, out);
  }

  void OnBodyEnded(double now, uint32_t request, Actions* out) {
    auto it = lives_.find(request);
    if (it == lives_.end() || it->second.done || it->second.began) return;
    Live& l = it->second;
    l.deadline = now + l.r.left_s;
    for (Try& t : l.tries) {
      if (t.out) t.sent = now;  // the backend's own time begins too
    }
    Arm(l, now, out);
  }

  // How soon the answer began tells of the backend; how long it goes on tells of the client.
  void OnStreamBegun(double now, uint32_t request, Actions* out) {
    auto it = lives_.find(request);
    if (it == lives_.end() || it->second.began) return;
    Live& l = it->second;
    l.began = true;
    for (Try& t : l.tries) {
      Node* n = t.out ? fleet_.Find(t.node) : nullptr;
      if (n == nullptr) continue;
      t.begun = true;
      --n->out;
      fleet_.Learn(n, l, t, {request, 0, 0, Result::kOk}, now, out);
    }
  }

  void OnTimer(double now, uint64_t tag, Actions* out) {
    if (tag == kAskTag) return void(Emit(out, ActionKind::kSubscribe));
    if (tag == kReportTimerTag) return quotas_.TellOwed(now, out);
    auto it = lives_.find(static_cast<uint32_t>(tag));
    if (it == lives_.end() || it->second.done || it->second.began) return;
    Live& l = it->second;
    if (now >= l.deadline - 3 * s_.resolution_s) {  // before the client gives up
      fleet_.Steer(2, now);
      return Finish(&l, out);
    }
    if (l.tries.empty()) return Arm(l, now, out);  // held for the counter
    const Try& t = l.tries.back();
    Node* n = fleet_.Find(t.node);
    bool silent = t.out && n != nullptr && n->heard <= t.sent;
    if (silent && l.out == 1 && retry_store_ >= 1 && s_.classes[l.r.cls].effect == Effect::kFree &&
        MayResend(l, now)) {
      if (s_.hedging) {
        if (n->out > 1) fleet_.Fault(n, false, now, out);
        TryAgain(&l, now, out);
      } else if (s_.cancel) {
        Emit(out, ActionKind::kCancel, l.r.id).attempt = static_cast<int>(l.tries.size()) - 1;
      }
    }
    Arm(l, now, out);
  }


  Fleet& fleet() { return fleet_; }

 private:
  void Refuse(uint32_t id, double stay_away, Actions* out) {
    Emit(out, ActionKind::kRefuse, id).seconds = s_.retry_after ? stay_away : 0;
  }

  Settings s_;
  Dice dice_;
  Ticks ticks_;
  Quotas quotas_;
  Fleet fleet_;
  std::unordered_map<uint32_t, Live> lives_;
  double retry_store_ = kRetryStore;
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
void Balancer::OnOutcome(double t, const Outcome& o, Actions* out) { impl_->OnOutcome(t, o, out); }
void Balancer::OnAbandoned(double, uint32_t request, Actions* out) { impl_->OnAbandoned(request, out); }
void Balancer::OnFleet(int gateways, bool counted) { impl_->OnFleet(gateways, counted); }
void Balancer::OnShare(double t, uint64_t customer, double share, double s) { impl_->OnShare(t, customer, share, s); }
void Balancer::OnTimer(double t, uint64_t tag, Actions* out) { impl_->OnTimer(t, tag, out); }
LearnedState Balancer::ExportLearned(double now) const { return impl_->fleet().ExportLearned(now); }
void Balancer::ImportLearned(double now, const LearnedState& learned) { impl_->fleet().ImportLearned(now, learned); }
int Balancer::EjectedCount(double now) const { return impl_->fleet().EjectedCount(now); }
void Balancer::OnCount(double t, const CountAnswer& a, Actions* out) { impl_->OnCount(t, a, out); }

}  // namespace micadock
