#include "policy/quotas.h"

namespace micadock {
namespace {

// Tuned values; each is ours unless the paper is named.
constexpr double kBatchShare = 0.25;    // of the tokens left, over the entries: what may be sent untold
constexpr double kFlushWindows = 0.25;  // windows after which untold units are told anyway
constexpr double kEpochS = 4;  // s after which attempts out are counted anew: a dead gateway's are gone then
constexpr double kIdleWindows = 3, kIdleS = 10;  // idle customers are dropped after both
constexpr double kGapMaxS = 0.3;      // s between a gateway's calls to a counter that fails, but no more
constexpr double kSilentCalls = 100;  // calls a second than this of all gateways
constexpr int kSilentRun = 4;         // failed calls in a row after which the counter counts as silent
constexpr double kKeepWindows = 1;  // windows for which what was told of others is taken to go on
constexpr double kPartWindows = 8;  // windows over which the parts are taken
constexpr double kShort = 0.25;     // of the burst, by which corrections of others may lower a sound total
constexpr double kSlowCall = 1.6;   // of the counter's time-out, after which an answer is a sign of crowding
constexpr double kCrowdGrow = 0.1, kCrowdShrink = 0.1;  // of the price of crowding, on such a sign; on none
constexpr double kDearCall = 5, kMostUntold = 0.8;  // share of such tries for each price of a call; at most
constexpr double kCallsPerAsk = 1.5;    // one to ask and add, at times one to put that right
constexpr double kAskPatience = 4;      // of the counter's time-out, that a try must have left to be held
constexpr double kJustTold = 0.9;       // of attempts told, still out: too few have ended to guess
constexpr double kOutKeepS = 5;         // s for which a customer's mean of attempts out stays like what was told
constexpr double kCapCrowd = 0.1;       // of the crowding, that counts against a question at a cap: a guess costs more
constexpr double kToldAt = 1.5;         // of the share of the cap in use, that is told of attempts; at least:
constexpr double kLeastTold = 0.1;      // share of attempts told, that stand for the others, of who is far under its cap
constexpr double kSurelyInside = 0.9;  // share inside, from which a customer not yet told of is trusted
constexpr double kDearFirst = 0.2;      // where calls are dearer than this, so that first reads seldom come
constexpr double kInsideAtFirst = 0.7;                   // share of tries inside, until questions tell
constexpr double kLearnInside = 0.05, kLearnOwn = 0.3;  // weight of one for the plan, and for the customer

}  // namespace

Quotas::Quotas(const Settings& s, Dice* dice, Ticks* ticks, double now)
    : s_(s), dice_(dice), ticks_(ticks), start_(now), inside_(s.plans.size(), kInsideAtFirst) {}

ivygw::parts::CeilingParams Quotas::Ceiled(const Customer& c) const {
  auto whole = CeilingOf(s_, PlanOf(c), s_.counted ? c.entries : 1e9);
  if (s_.lend_ceilings && c.at < c.lent_until) whole.leased_share = c.lent;
  return whole;
}

Customer& Quotas::Find(const Request& r, double now) {
  auto [it, fresh] = customers_.try_emplace(r.customer);
  Customer& c = it->second;
  if (fresh) {
    const PlanSettings& p = s_.plans[r.plan];
    c.plan = r.plan;
    c.inside = inside_[r.plan];
    c.spread = std::clamp(r.entries, 1.0, static_cast<double>(std::max(1, s_.gateways)));
    c.entries = Entries(c);
    c.at = c.born = now;
    c.tokens = p.burst;
    c.others = p.rate * (c.entries - 1) / c.entries;
    c.own_mean = 0.5 * p.rate / c.entries;  // half used, evenly, until told
    c.others_mean = 0.5 * c.others;
    c.ceiling.Initialize(Ceiled(c), now - start_);
    if (p.rate > 0) c.window = WindowNow(p, now);
  }
  c.entries = Entries(c);
  c.seen = now;
  c.asked_all += r.units;
  return c;
}

// What it has filled so far is kept at the share before, and the new one brings no store with it.
void Quotas::OnShare(uint64_t id, double share, double now, double seconds) {
  Customer* c = Peek(id);
  if (c == nullptr) return;
  Refill(c, now);
  c->lent = share;
  c->lent_until = now + seconds;
}

double Quotas::IdleS(const PlanSettings& p) const {
  double idle = std::max(kIdleS, p.rate > 0 ? kIdleWindows * WindowS(p) : 0);
  if (p.ceiling_rate > 0) idle = std::max(idle, 2 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate);
  return idle;
}

void Quotas::Expire(double now) {
  if (now - swept_at_ < kIdleS / 10) return;
  swept_at_ = now;
  std::erase_if(customers_, [&](const auto& entry) {
    const Customer& c = entry.second;
    return now > c.seen + IdleS(PlanOf(c)) && !c.calling && !c.out_calling && !c.ceiling.reserving() && c.open == 0;
  });
}

void Quotas::Refill(Customer* c, double now) {
  const PlanSettings& p = PlanOf(*c);
  double dt = now - c->at;
  if (dt <= 0) return;
  c->at = now;
  c->own_out += (1 - std::exp(-dt / kOutKeepS)) * (c->open - c->own_out);
  c->ceiling.Refill(Ceiled(*c), dt);
  if (p.rate <= 0) return;
  // What others send is assumed to go on as last told, also while the counter is silent, frozen or new.
  c->tokens = std::min(p.burst, c->tokens + (p.rate - Others(*c)) * dt);
  int64_t window = WindowNow(p, now);
  if (window != c->window) {
    double width = WindowS(p);
    bool lost = window > c->window + 1 && c->entries > 1 && !Apart(*c);  // others' use since is not known
    double over = c->used - p.rate * width * static_cast<double>(window - c->window);
    // Where no sound total came, the store as assumed goes on; it stands for what is untold too.
    if (c->known && !c->read && !lost) {
      over = p.burst - c->tokens;
      c->pending = 0;
    }
    c->used = c->carried = lost ? 0 : std::clamp(over, 0.0, p.burst);
    if (lost) c->known = false, c->passed = 0;
    c->read = false;
    c->window = window;
    c->pending = std::min(c->pending, p.burst);  // a long silence is not paid back for longer than a burst
    c->total = 0;
  }
}

// The share term V_i / sum V * (W - mu_i) for the last tick in which the customer asked.
void Quotas::Lend(Customer* c, double units, double now) {
  int64_t tick = ticks_->Roll(now);
  if (c->asked_tick != tick) {
    if (c->asked_tick >= 0 && tick - c->asked_tick < Ticks::kTicks) {
      const Tick& t = ticks_->At(c->asked_tick);
      double mu = std::max(0.0, c->tokens), room = std::max(0.0, PlanOf(*c).burst - c->tokens);
      if (!t.pressed && t.asked > 0 && t.served > mu) {
        c->loan = std::min(room, c->loan + c->asked / t.asked * (t.served - mu));
      }
    }
    c->asked_tick = tick;
    c->asked = 0;
  }
  c->asked += units;
  ticks_->At(tick).asked += units;
}

// The share of tries let in without a question that are not told, the others standing for them: calls are dear.
double Quotas::Dear() const { return std::min(kMostUntold, kDearCall * (crowd_ + s_.count_price)); }

void Quotas::MaybeCount(uint64_t id, Customer* c, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  if (!s_.may_count || p.rate <= 0 || c->calling || now < counter_after_) return;
  double age = now - c->read_at, left = std::max(0.0, c->tokens);
  double batch = std::max(1.0, kBatchShare * left / c->entries);
  bool due = (!c->known && c->missed == 0 && Dear() < 0.5) || std::fabs(c->pending) >= batch || c->asks > 0;
  if (c->pending > 0 && age > kFlushWindows * WindowS(p)) due = true;
  if (!due || !Ring({id, c->window, c->pending, Call::kUnits, now}, 3 * WindowS(p), out)) return;
  c->calling = true;
  c->pending = 0;
}

bool Quotas::Ring(const Call& call, double expiry, Actions* out) {
  uint64_t window = static_cast<uint64_t>(call.kind == Call::kOpen ? ~call.window : call.window);
  uint64_t name = Mix(call.customer * 0x100000001b3ULL + Mix(window)) + (call.kind == Call::kPool ? 1 : 0);
  if (!calls_.try_emplace(name, call).second) return false;
  counter_after_ = call.sent + crowd_ * crowd_ * std::max(kGapMaxS, s_.gateways / kSilentCalls);
  Action& a = Emit(out, ActionKind::kCount);
  a.tag = name;
  a.amount = call.amount;
  a.seconds = std::min(60.0, expiry);
  return true;
}

Quotas::Heard Quotas::OnCount(double now, const CountAnswer& answer, Actions* out) {
  auto it = calls_.find(answer.name);
  if (it == calls_.end()) return {};
  Call call = it->second;
  calls_.erase(it);
  auto found = customers_.find(call.customer);
  if (found == customers_.end()) return {};
  Customer* c = &found->second;
  Refill(c, now);
  if (call.kind != Call::kPool) (call.kind == Call::kOpen ? c->out_calling : c->calling) = false;
  // Calls grow dearer and rarer by what fails, in whatever way, and come back answer by answer, without a flood.
  bool ok = answer.result == Result::kOk, was = Quiet();
  bool easy = ok && now - call.sent < kSlowCall * s_.count_timeout_s;
  failed_calls_ = ok ? 0 : failed_calls_ + 1;
  crowd_ += easy ? -kCrowdShrink * crowd_ : kCrowdGrow * (1 - crowd_);
  if (was && !Quiet()) Log(out, "counter answers again");
  if (!was && Quiet()) Log(out, "counter is silent: going by this gateway's part of each quota");
  if (call.kind == Call::kPool) {
    if (!c->ceiling.CompleteReservation(Ceiled(*c), {call.window, call.amount}, ok, answer.total)) c->missed += kApartRun;
    Reserve(call.customer, c, 0, now, out);
  } else if (call.kind == Call::kOpen) {
    TakeOpen(c, call, answer, now);
  } else if (ok) {
    if (call.window == c->window) TakeTotal(call.customer, c, call.amount, answer.total, now, out);
    double debt = std::clamp(answer.total - PlanOf(*c).burst, 0.0, PlanOf(*c).burst);  // rate x window
    if (call.window + 1 == c->window && call.amount == 0) Charge(c, debt, 1);
  } else {
    ++c->missed;
    if (answer.result != Result::kTimeout) c->pending += call.amount;
  }
  return {call.customer, c, ok};
}

bool Quotas::Quiet() const { return failed_calls_ >= kSilentRun; }

// Whether the customer's totals are no guide now, so that this gateway keeps to its part of the quota.
bool Quotas::Apart(const Customer& c) const { return c.entries > 1 && (Quiet() || c.missed >= kApartRun); }

// Units a second that others are taken to send: as last told, fading to what leaves this gateway its part: what it was
// seen to send and an even part of what nobody used, or its share. All parts add up to the quota, but for the least.
double Quotas::Others(const Customer& c) const {
  if (c.entries < 2) return 0;
  double rate = PlanOf(c).rate, sum = c.own_mean + c.others_mean, age = (c.at - c.sound_at) / WindowS(PlanOf(c));
  // What was seen of the shares grows old: traffic moves, and old shares of several gateways don't add up.
  double own = sum / c.entries + std::exp(-age / kShareWindows) * (c.own_mean - sum / c.entries);
  double part = sum < rate ? own + (rate - sum) * kSpare / c.entries : rate * own / sum;
  part = std::clamp(part, rate * kLeastPart / c.entries, rate);
  double keep = Apart(c) || !c.known ? 0 : std::exp(-age / kKeepWindows);
  return keep * c.others + (1 - keep) * (rate - part);
}

void Quotas::TakeTotal(uint64_t id, Customer* c, double amount, double total, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  double width = WindowS(p), in_window = now - static_cast<double>(c->window) * width;
  double least = c->total + amount, others = total - least, span = now - c->read_at;
  c->read_at = now;
  c->total = std::max(total, least);
  if (others < -kShort * std::min(p.burst, 4 * s_.max_units)) {
    // No sound counter tells less than before and what was added since, but for corrections by others. Nothing is
    // learned from it, others are taken to go on, and what it tells next is compared with this.
    if (now - forgot_log_ > 5) Log(out, "counter has lost counts: keeping what was known");
    forgot_log_ = now;
    c->total = total;
    c->used += Others(*c) * std::min(span, in_window);
    c->missed += kApartRun;
    return;
  }
  // In doubt, one that is short by a little is not taken in either, nor one that could not be: it tells of nothing.
  if (c->missed > 0 && (others < -1e-6 || (amount <= 0 && others < 1e-6))) return;
  if (others > -1e-6 && amount > 0) c->missed = 0;
  c->read = true;
  c->sound_at = now;
  // The first told of in a window tells burst less S for all, or reads the window before; else a full store is taken.
  bool first = others < 1e-3 && total > 0 && total - amount < 1e-3;
  // Who carries more than was told adds the rest, so that all come to go by the most that one knows of.
  if (c->known) c->pending += std::max(0.0, c->carried - std::max(0.0, others));
  if (first && !c->known && (1 - c->inside) * Loss(p) > kCallsPerAsk * s_.count_price + crowd_) {
    c->calling = Ring({id, c->window - 1, 0, Call::kUnits, now}, 2 * width, out);
  }
  others = std::max(0.0, others) - std::min(c->carried, std::max(0.0, others));
  c->carried = 0;
  c->used += others;
  double weight = c->known ? 1 - std::exp(-span / (0.5 * width)) : 1;
  span = c->known ? std::max(span, 1e-3) : std::max(in_window, 0.5 * width);
  c->others += weight * (std::min(2 * p.rate, others / span) - c->others);
  c->others = std::min(c->others, p.rate);
  double slow = 1 - std::exp(-span / (kPartWindows * width));
  c->others_mean += slow * (std::min(2 * p.rate, others / span) - c->others_mean);
  c->own_mean += slow * (std::max(0.0, amount) / span - c->own_mean);
  c->tokens = std::min(p.burst, p.burst + p.rate * in_window - c->used);
  c->known = true;
}

Verdict Quotas::Judge(Customer* c, const Request& r, double work_s, double now, double* chance) {
  const PlanSettings& p = PlanOf(*c);
  Refill(c, now);
  Lend(c, r.units, now);
  *chance = 0;
  bool here = p.ceiling_rate <= 0 || c->ceiling.AvailableUnits(Ceiled(*c), now) >= r.units;
  bool may = s_.may_count && !Apart(*c) && r.left_s > kAskPatience * s_.count_timeout_s;
  if (!here && !(may && c->ceiling.CanReserve(Ceiled(*c), r.units, now))) return Verdict::kOver;
  bool soft = Soft(p), alone = c->entries < 2;
  double loss = Loss(p), told = 1;
  if (p.parallel > 0) {
    told = OpenRoom(*c, p, work_s, now);
    if (p.rate <= 0) {
      double keep = alone ? 1 : c->out_at < 0 ? 0 : Quiet() ? 1 : std::exp(-(now - c->out_at) / kOutKeepS);
      *chance = c->open >= p.parallel ? 0 : keep * told + (1 - keep) * std::min(told, c->inside);
      if (*chance * (1 + loss) >= loss) return Verdict::kInside;
      return soft && !ticks_->Pressed(now) ? Verdict::kLent : Verdict::kOver;
    }
  }
  bool room = c->tokens >= r.units && told * (1 + loss) >= loss;
  double first_part = (p.burst + p.rate * (now - c->born)) / c->entries;
  if (c->used + r.units > p.burst + p.rate * WindowS(p)) room = false;
  double repeats = (c->asked_all - r.units) * c->entries / (now - c->born + kIdleS);
  double prior = c->inside / (1 + (Quiet() ? 0 : std::max(0.0, repeats / p.rate - 0.5)));
  // Where first reads seldom come or tell nothing, who is met is taken for what such customers mostly are.
  bool trusted = (crowd_ > kDearFirst || Apart(*c)) && c->inside >= kSurelyInside;
  if (!c->known && c->passed > 0 && c->passed + r.units > first_part && !trusted) room = false;
  if (!c->known && !alone && prior * (1 + loss) < loss) room = false;
  double age = now - c->read_at, keep = !c->known ? 0 : alone || Quiet() ? 1 : std::exp(-age / WindowS(p));
  double spread = std::sqrt(0.01 + 0.5 * s_.max_units * (alone ? 0 : c->others) * age);
  double z = (c->tokens - r.units) / spread;
  *chance = (keep / (1 + std::exp(-1.7 * z)) + (1 - keep) * prior) * std::min(1.0, told);
  if (room) return here ? Verdict::kInside : Verdict::kReserve;
  if (soft && here && c->tokens + c->loan >= r.units && !ticks_->Pressed(now)) return Verdict::kLent;
  return Verdict::kOver;
}

void Quotas::Reserve(uint64_t id, Customer* c, double units, double now, Actions* out) {
  auto made = c->ceiling.Reserve(Ceiled(*c), units, now);
  if (made) Ring({id, made->window, made->units, Call::kPool, now}, 2 * Ceiled(*c).WindowSeconds(), out);
}

bool Quotas::WorthAsking(const Customer& c, const Request& r, Verdict verdict, double chance, double now) {
  const PlanSettings& p = PlanOf(c);
  if (!s_.may_count || Soft(p) || c.entries < 2) return false;
  if (r.left_s < kAskPatience * s_.count_timeout_s) return false;
  double gain = (verdict == Verdict::kOver ? chance : std::min(chance, (1 - chance) * Loss(p))) * (0.5 + dice_->Unit());
  double crowd = p.rate <= 0 ? kCapCrowd * crowd_ : crowd_;
  if (gain < kCallsPerAsk * s_.count_price + crowd) return false;
  return now >= counter_after_ || c.calling || c.out_calling;
}

// Chance that others have fewer attempts out than the cap leaves free: about what was told last, fading to the mean, and as
// that grows old to as many at each gateway as here, so that what all let in comes to the cap where nobody is told.
double Quotas::OpenRoom(const Customer& c, const PlanSettings& p, double span, double now) const {
  int free = p.parallel - c.open;
  double stays = c.out_at < 0 ? 0 : std::exp(-(now - c.out_at) / span);
  if (free <= 0 || stays > kJustTold) return free > c.out_others ? 1 : 0;
  double fresh = c.out_at < 0 ? 0 : std::exp(-(now - c.out_at) / kOutKeepS);
  double usual = std::max(c.out_mean, (1 - fresh) * c.own_out * (c.entries - 1));
  double mean = stays * c.out_others + (1 - stays) * usual, term = std::exp(-mean), sum = 0;
  for (int k = 0; k < free; term *= mean / ++k) sum += term;
  return sum;
}

void Quotas::TellOpen(uint64_t id, Customer* c, double now, Actions* out) {
  const PlanSettings& p = PlanOf(*c);
  if (!s_.may_count || p.parallel <= 0 || c->entries < 2 || c->out_calling) return;
  int64_t epoch = static_cast<int64_t>(std::floor(now / kEpochS));
  if (epoch != c->epoch) {
    c->epoch = epoch;
    c->told = 0;
  }
  double amount = c->open * c->weight - c->told;
  if (amount == 0 && c->waiting.empty()) return;
  if (now < counter_after_) return Owe(id, c, now, out);
  c->out_calling = Ring({id, epoch, amount, Call::kOpen, now}, 2 * kEpochS, out);
}

void Quotas::Owe(uint64_t id, Customer* c, double now, Actions* out) {
  if (c->owed) return;
  c->owed = true;
  owed_.push_back(id);
  if (owed_.size() == 1) Timer(out, counter_after_ - now, kTellTag);
}

void Quotas::TellOwed(double now, Actions* out) {
  while (!owed_.empty() && now >= counter_after_) {
    uint64_t id = owed_.front();
    owed_.pop_front();
    Customer* c = Peek(id);
    if (c == nullptr) continue;
    c->owed = false;
    TellOpen(id, c, now, out);
  }
  if (!owed_.empty()) Timer(out, counter_after_ - now, kTellTag);
}

void Quotas::TakeOpen(Customer* c, const Call& call, const CountAnswer& answer, double now) {
  if (call.window != c->epoch) return;
  if (answer.result == Result::kOk || answer.result == Result::kTimeout) c->told += call.amount;
  if (answer.result != Result::kOk) return;
  double weight = c->out_at < 0 ? 1 : 1 - std::exp(-(now - c->out_at) / 1.0);
  c->out_others = std::max(0.0, answer.total - c->told);
  c->out_mean += weight * (c->out_others - c->out_mean);
  c->out_at = now;
}

void Quotas::Charge(Customer* c, double units, double sign) {
  const PlanSettings& p = PlanOf(*c);
  if (p.rate <= 0) {
    if (sign > 0 && c->open == 0) c->weight = 1;
    return void(c->open += sign > 0 ? 1 : -1);
  }
  c->tokens = std::min(p.burst, c->tokens - sign * units);
  c->used += sign * units;
  c->pending += sign * units;
  if (!c->known) c->passed += sign * units;
}

void Quotas::Admit(Customer* c, const Request& r, bool inside, bool asked) {
  const PlanSettings& p = PlanOf(*c);
  if (p.ceiling_rate > 0) c->ceiling.Spend(Ceiled(*c), r.units, c->at);
  if (p.rate > 0 && inside) Charge(c, r.units, 1);
  if (p.rate > 0 && inside && !asked && c->entries > 1) {
    double told = 1 - Dear() * (1 - 1 / c->entries);
    c->pending += r.units * ((dice_->Unit() < told ? 1 / told : 0) - 1);
  }
  if (p.rate > 0 && !inside) c->loan -= std::max(0.0, r.units - std::max(0.0, c->tokens));
}

Customer* Quotas::Peek(uint64_t id) {
  auto it = customers_.find(id);
  return it == customers_.end() ? nullptr : &it->second;
}

void Quotas::Opened(uint64_t id, Customer* c, double now, Actions* out) {
  if (c->open == 0 && c->told == 0 && !c->out_calling) {
    double used = c->out_at < 0 ? 1 : (c->out_mean + 1) / std::max(1, PlanOf(*c).parallel);
    double told = std::clamp(kToldAt * used, kLeastTold, 1.0);
    c->weight = c->entries < 3 ? 1 : dice_->Unit() < told ? 1 / told : 0;
  }
  ++c->open;
  TellOpen(id, c, now, out);
}

void Quotas::Closed(uint64_t id, Customer* c, double now, Actions* out) {
  Refill(c, now);
  c->open = std::max(0, c->open - 1);
  TellOpen(id, c, now, out);
}

void Quotas::TrueUnits(Customer* c, double difference) {
  if (PlanOf(*c).rate > 0) Charge(c, difference, 1);
}

void Quotas::LearnInside(Customer* c, bool inside) {
  double in = inside;
  inside_[c->plan] += kLearnInside * (in - inside_[c->plan]);
  c->inside += kLearnOwn * (in - c->inside);
}

}  // namespace micadock
