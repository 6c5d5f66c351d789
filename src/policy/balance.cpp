// The decision module of micadock: every decision, table and tuned value. Its interface is balance.h.
#include "policy/balance.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace micadock {
namespace {

// Tuned values; each is ours unless the paper is named.
constexpr double kTickS = 0.1;          // s, the paper's tick of the share term
constexpr int kTicks = 16;              // ticks kept, so that a customer of few requests finds its last one
constexpr double kBatchShare = 0.25;    // of the tokens left, over the entries: what may be sent untold
constexpr double kFlushWindows = 0.25;  // windows after which untold units are told anyway
constexpr double kSlackShare = 0.95;  // of a ceiling's slack that is used: the rest is for rounding
constexpr double kEpochS = 4;  // s after which attempts out are counted anew: a dead gateway's are gone then
constexpr double kIdleWindows = 3, kIdleS = 10;  // idle customers are dropped after both
constexpr double kGapMaxS = 0.3;      // s between a gateway's calls to a counter that fails, but no more
constexpr double kSilentCalls = 100;  // calls a second than this of all gateways
constexpr int kSilentRun = 4;         // failed calls in a row after which the counter counts as silent
constexpr double kLeastPart = 0.5;  // of an even part, that traffic moving here in silence finds
constexpr double kFailWeight = 0.1;  // of an answer in a backend's share of failures; a failure's is twice
constexpr double kEjectAt = 0.48;    // share of failures at which a backend is set aside: three in a row
constexpr double kEjectMinS = 0.5, kEjectMaxS = 4.0;  // s set aside
constexpr double kDeadS = 1.5;  // s without an answer, after which a failed connection means a dead process
constexpr double kMostEjected = 0.25;  // of the ready backends; beyond that the fault is likely elsewhere
constexpr double kLimitStart = 3, kLimitMax = 200;  // attempts out at one backend
constexpr double kCut = 0.7, kCutEveryS = 0.1;      // share that a sign of a queue leaves; s between cuts
constexpr double kLeastRoom = 0.3;  // of the room, that a class of next to no worth for its work may use
constexpr double kLentRoom = 0.5;   // of its room that a try beyond the quota may use
constexpr double kQueueAt = 0.27, kEasyAt = 0.2;  // of the aim, mean answer: a queue; none worth the name
constexpr double kPaceWeight = 0.15;              // of one answer in that mean, more where answers are rare:
constexpr double kPaceS = 0.7;                    // s after which what was known of the pace is old
constexpr double kColdShare = 0.4;                // of the tip multiple that all gateways use together
constexpr double kWarmShare = 0.8;  // of what a warm backend serves, that a cold one is sent for its fraction
constexpr double kWarmS = 2;        // s over which that is taken
constexpr double kColdSaveS = 0.3;  // s of a cold backend's budget that may be saved up
constexpr double kSteer = 0.02;      // of the share let in, at least, for an answer off by the queue target,
constexpr double kSteerS = 0.8;      // s in which answers off by that change it by its like, if they are rare
constexpr double kSteerBack = 0.05;  // a second, that comes back of itself
constexpr double kLeastLetIn = 0.05;  // share let in at least, so that answers go on telling
constexpr double kCheckShare = 0.5;  // of the aim after which a silent backend may be given up,
constexpr double kCheckTimes = 6;    // and so many times what its answers take: chance alone is rarer
constexpr double kRetryShare = 0.1, kRetryStore = 20;  // further attempts for each first one; most saved
constexpr double kLearn = 0.02;      // weight of one answer in a class's mean time and units
constexpr double kWorkPrior = 0.25;  // of the aim: the time a request takes, until answers tell

constexpr double kSlowCall = 0.8;   // of the counter's time-out, after which an answer is a sign of crowding
constexpr double kCrowdGrow = 0.1, kCrowdShrink = 0.1;  // of the price of crowding, on such a sign; on none
constexpr double kDearCall = 5, kMostUntold = 0.8;  // share of such tries for each price of a call; at most
constexpr double kCallsPerAsk = 1.5;    // one to ask and add, at times one to put that right
constexpr double kAskPatience = 4;      // of the counter's time-out, that a try must have left to be held
constexpr double kJustTold = 0.9;       // of attempts told, still out: too few have ended to guess
constexpr double kOutKeepS = 1;         // s for which a customer's attempts out stay like what was told
constexpr double kInsideAtFirst = 0.7;                   // share of tries inside, until questions tell
constexpr double kLearnInside = 0.05, kLearnOwn = 0.3;  // weight of one for the plan, and for the customer

uint64_t Mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct Waiting {
  uint32_t request;
  double units;
  bool charged;  // counted with the call; else the call only reads
};

struct Customer {
  int plan = 0;
  double entries = 1, born = 0, seen = 0;  // gateways it may come through; first and last request
  double at = 0;                           // refilled up to here
  double tokens = 0;           // the bucket: own sends and what the counter told of others are taken off
  double loan = 0;             // granted by the share term
  double others = 0, own = 0;  // units a second that other gateways send on, and this one
  double ceiling = 0;          // this gateway's part of the ceiling's store
  int64_t window = 0;
  double carried = 0;              // burst less S at this window's start, as known here
  double used = 0;                 // units of this window: burst less S at its start, told and own sends
  double total = 0, read_at = 0;   // last total told in this window, and when
  double pending = 0;              // own units not yet told; a call that timed out counts as told
  double passed = 0;               // before the first read
  bool known = false, calling = false;  // a first read has come; a call is out
  int64_t asked_tick = -1;
  double asked = 0;                                  // V_i: units asked for in asked_tick
  int open = 0;                                      // own attempts out
  int64_t epoch = 0;                                 // of the count of attempts out
  double told = 0;                                   // own attempts out as told in this epoch
  double out_others = 0, out_at = -1, out_mean = 0;  // others' as last told, when, and their mean
  bool out_calling = false;
  double asked_all = 0;  // units
  double inside = 1;             // share of its tries held for the counter that were inside
  std::vector<Waiting> waiting;  // held for the counter's answer, first come first
};

struct Node {
  Backend info;
  int out = 0;
  double speed = 1;  // time an answer takes over the fleet's mean for such requests
  double pace = 0;   // mean of answer time over aim
  double fails = 0;
  double aside_until = 0, aside_wait = 0;
  bool trial = false;  // back from being set aside: one attempt at a time
  double limit = kLimitStart;
  double cut_at = 0, paced_at = 0;
  double cold_since = 0;             // start told by the list or guessed from failures to connect; 0: warm
  double budget = 0, budget_at = 0;  // work, in s, that may be sent while cold
  double heard = 0;                  // last answer
};

struct Try {
  uint32_t node;
  double sent;
  bool out;
};

struct Live {
  Request r;
  double deadline = 0;
  std::vector<Try> tries;
  int out = 0;
  bool done = false, began = false, inside = false, may_have_run = false;
  double ran_at = 0;  // when the first attempt that may have run was sent
  int ran_zone = 0, ran_cell = 0;
};

struct Tick {
  double asked = 0, served = 0;
  bool pressed = false;
};
struct Call {
  uint64_t customer = 0;
  int64_t window = 0;  // or epoch, where it is a count of attempts out and not of units
  double amount = 0;
  bool open = false;
  double sent = 0;
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& s, uint64_t seed, double now, Actions* out) : s_(s), rng_(seed), start_(now) {
    for (const ClassSettings& c : s_.classes) work_.push_back(c.aim_s * kWorkPrior);
    class_units_.assign(s_.classes.size(), 0);
    longest_left_.assign(s_.classes.size(), 0);
    inside_.assign(s_.plans.size(), kInsideAtFirst);
    if (!s_.push_discovery) Emit(out, ActionKind::kSubscribe);
  }

  const PlanSettings& PlanOf(const Customer& c) const { return s_.plans[c.plan]; }
  static double WindowS(const PlanSettings& p) { return p.burst / p.rate; }
  static bool Soft(const PlanSettings& p) { return p.excess_worth > p.over_cost; }
  static int64_t WindowNow(const PlanSettings& p, double now) {
    return static_cast<int64_t>(std::floor(now / WindowS(p)));
  }
  static double Cap(const PlanSettings& p) { return p.ceiling_burst + kSlackShare * p.ceiling_slack; }

  Customer& Find(const Request& r, double now) {
    auto [it, fresh] = customers_.try_emplace(r.customer);
    Customer& c = it->second;
    if (fresh) {
      const PlanSettings& p = s_.plans[r.plan];
      c.plan = r.plan;
      c.inside = inside_[r.plan];
      c.entries = std::clamp(r.entries, 1.0, static_cast<double>(std::max(1, s_.gateways)));
      c.at = c.born = now;
      c.tokens = p.burst;
      c.others = p.rate * (c.entries - 1) / c.entries;
      // The ceiling's part is held alone: nothing tells a started gateway what was spent before, so its store
      // fills from nought since the start. Guards against restarts and a counter that forgets.
      c.ceiling = std::min(Cap(p) / c.entries, p.ceiling_rate / c.entries * (now - start_));
      if (p.rate > 0) c.window = WindowNow(p, now);
    }
    c.seen = now;
    c.asked_all += r.units;
    return c;
  }

  double IdleS(const PlanSettings& p) const {
    double idle = std::max(kIdleS, p.rate > 0 ? kIdleWindows * WindowS(p) : 0);
    if (p.ceiling_rate > 0) idle = std::max(idle, 2 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate);
    return idle;
  }

  void Expire(double now) {
    if (now - swept_at_ < kIdleS / 10) return;
    swept_at_ = now;
    std::erase_if(customers_, [&](const auto& entry) {
      const Customer& c = entry.second;
      return now > c.seen + IdleS(PlanOf(c)) && !c.calling && !c.out_calling && c.open == 0;
    });
  }

  void Refill(Customer* c, double now) {
    const PlanSettings& p = PlanOf(*c);
    double dt = now - c->at;
    if (dt <= 0) return;
    c->at = now;
    c->ceiling = std::min(Cap(p) / c->entries, c->ceiling + p.ceiling_rate / c->entries * dt);
    if (p.rate <= 0) return;
    // What others send is assumed to go on as last told, until the counter tells; this also holds the quota
    // to this gateway's part of it while the counter is silent, frozen or new.
    c->tokens = std::min(p.burst, c->tokens + (p.rate - Others(*c)) * dt);
    int64_t window = WindowNow(p, now);
    if (window != c->window) {
      double width = WindowS(p);
      bool lost = window > c->window + 1 && c->entries > 1 && !Quiet();  // others' use since is not known
      double over = c->used - p.rate * width * static_cast<double>(window - c->window);
      c->used = c->carried = lost ? 0 : std::clamp(over, 0.0, p.burst);
      if (lost) c->known = false;
      c->window = window;
      c->pending = std::min(c->pending, p.burst);  // a long silence is not paid back for longer than a burst
      c->total = 0;
    }
  }

  // The share term V_i / sum V * (W - mu_i) for the last tick in which the customer asked.
  void Lend(Customer* c, double units, double now) {
    int64_t tick = RollTick(now);
    if (c->asked_tick != tick) {
      if (c->asked_tick >= 0 && tick - c->asked_tick < kTicks) {
        const Tick& t = ticks_[c->asked_tick % kTicks];
        double mu = std::max(0.0, c->tokens), room = std::max(0.0, PlanOf(*c).burst - c->tokens);
        if (!t.pressed && t.asked > 0 && t.served > mu) {
          c->loan = std::min(room, c->loan + c->asked / t.asked * (t.served - mu));
        }
      }
      c->asked_tick = tick;
      c->asked = 0;
    }
    c->asked += units;
    ticks_[tick % kTicks].asked += units;
  }

  int64_t RollTick(double now) {
    int64_t tick = static_cast<int64_t>(std::floor(now / kTickS));
    for (int64_t t = std::max(tick_ + 1, tick - kTicks + 1); t <= tick; ++t) ticks_[t % kTicks] = Tick();
    return tick_ = tick;
  }

  // The share of tries let in without a question that are not told, the others standing for them: a customer
  // seen by each of many gateways once would otherwise go untold, or take a call each time.
  double Dear() const { return std::min(kMostUntold, kDearCall * (crowd_ + s_.count_price)); }

  void MaybeCount(uint64_t id, Customer* c, double now, Actions* out) {
    const PlanSettings& p = PlanOf(*c);
    if (!s_.may_count || p.rate <= 0 || c->calling || now < counter_after_) return;
    double age = now - c->read_at, left = std::max(0.0, c->tokens);
    double batch = std::max(1.0, kBatchShare * left / c->entries);
    bool due = (!c->known && Dear() < 0.5) || std::fabs(c->pending) >= batch || !c->waiting.empty();
    if (c->pending > 0 && age > kFlushWindows * WindowS(p)) due = true;
    if (!due || !Ring({id, c->window, c->pending, false, now}, 3 * WindowS(p), out)) return;
    c->calling = true;
    c->pending = 0;
  }

  bool Ring(const Call& call, double expiry, Actions* out) {
    uint64_t window = static_cast<uint64_t>(call.open ? ~call.window : call.window);
    uint64_t name = Mix(call.customer * 0x100000001b3ULL + Mix(window));
    if (!calls_.try_emplace(name, call).second) return false;
    counter_after_ = call.sent + crowd_ * crowd_ * std::max(kGapMaxS, s_.gateways / kSilentCalls);
    Action& a = Emit(out, ActionKind::kCount);
    a.tag = name;
    a.amount = call.amount;
    a.seconds = std::min(60.0, expiry);
    return true;
  }

  void OnCount(double now, const CountAnswer& answer, Actions* out) {
    auto it = calls_.find(answer.name);
    if (it == calls_.end()) return;
    Call call = it->second;
    calls_.erase(it);
    auto found = customers_.find(call.customer);
    if (found == customers_.end()) return;
    Customer* c = &found->second;
    Refill(c, now);
    (call.open ? c->out_calling : c->calling) = false;
    // Calls grow dearer and rarer by what fails, whether the counter is silent, refuses, is slow or crowded,
    // and come back answer by answer, without a flood. Harms by older totals where chance alone loses calls.
    bool ok = answer.result == Result::kOk, was = Quiet();
    bool easy = ok && now - call.sent < kSlowCall * s_.count_timeout_s;
    failed_calls_ = ok ? 0 : failed_calls_ + 1;
    crowd_ += easy ? -kCrowdShrink * crowd_ : kCrowdGrow * (1 - crowd_);
    if (was && !Quiet()) Log(out, "counter answers again");
    if (!was && Quiet()) Log(out, "counter is silent: going by this gateway's part of each quota");
    if (call.open) {
      TakeOpen(c, call, answer, now);
    } else if (ok) {
      if (call.window == c->window) TakeTotal(call.customer, c, call.amount, answer.total, now, out);
      double debt = std::clamp(answer.total - PlanOf(*c).burst, 0.0, PlanOf(*c).burst);  // rate x window
      if (call.window + 1 == c->window && call.amount == 0) Charge(c, debt, 1);
    } else if (answer.result != Result::kTimeout) {
      c->pending += call.amount;
    }
    if (!c->calling && !c->out_calling) Settle(call.customer, c, ok, now, out);
    if (ok) MaybeCount(call.customer, c, now, out);
  }

  // What waited for the counter is decided by what is known now.
  void Settle(uint64_t id, Customer* c, bool told, double now, Actions* out) {
    std::vector<Waiting> waiting;
    waiting.swap(c->waiting);
    for (const Waiting& w : waiting) {
      auto it = lives_.find(w.request);
      bool live = it != lives_.end() && !it->second.done;
      double chance = 0;
      if (w.charged) Charge(c, w.units, -1);
      Verdict verdict = live ? Judge(c, it->second.r, now, &chance) : Verdict::kOver;
      double in = verdict == Verdict::kInside, weight = live && told ? 1 : 0;
      inside_[c->plan] += weight * kLearnInside * (in - inside_[c->plan]);
      c->inside += weight * kLearnOwn * (in - c->inside);
      Node* node = verdict == Verdict::kInside ? Pick(it->second, now) : nullptr;
      if (node != nullptr) {
        Admit(&it->second, c, verdict, node, true, now, out);
      } else if (live) {
        Refuse(w.request, verdict == Verdict::kOver ? s_.max_retry_after_s : 0, out);
        lives_.erase(it);
      }
    }
    TellOpen(id, c, now, out);
  }

  bool Quiet() const { return failed_calls_ >= kSilentRun; }

  // Units a second that others are taken to send. While the counter is silent, this gateway keeps to its part
  // of the use as last told, so that a rise everywhere does not make each pass what the others left before.
  double Others(const Customer& c) const {
    if (!Quiet() || !c.known || c.own + c.others <= 0) return c.others;
    double part = std::max(c.own / (c.own + c.others), kLeastPart / c.entries);
    return std::max(c.others, PlanOf(c).rate * (1 - part));
  }

  void TakeTotal(uint64_t id, Customer* c, double amount, double total, double now, Actions* out) {
    const PlanSettings& p = PlanOf(*c);
    double width = WindowS(p), in_window = now - static_cast<double>(c->window) * width;
    double others = total - c->total - amount, span = now - c->read_at;
    c->read_at = now;
    c->total = total;
    if (others < -s_.max_units) {
      // Totals hardly fall in a window, so the counter has forgotten: what was assumed stands, the bucket and
      // the window's own memory go on. Guards against lost, emptied and restarted counters alike.
      if (now - forgot_log_ > 5) Log(out, "counter has lost counts: keeping what was known");
      forgot_log_ = now;
      return;
    }
    // The first told of in a window tells burst less S for all, most of whom see a customer too seldom to
    // know it, or reads the window before. Where both fail a full store is taken.
    bool first = others < 1e-3 && total > 0 && total - amount < 1e-3;
    if (first && c->known) c->pending += c->carried;
    if (first && !c->known && (1 - c->inside) * Loss(p) > kCallsPerAsk * s_.count_price + crowd_) {
      c->calling = Ring({id, c->window - 1, 0, false, now}, 2 * width, out);
    }
    others = std::max(0.0, others) - std::min(c->carried, std::max(0.0, others));
    c->carried = 0;
    c->used += others;
    double weight = c->known ? 1 - std::exp(-span / (0.5 * width)) : 1;
    span = c->known ? std::max(span, 1e-3) : std::max(in_window, 0.5 * width);
    c->others += weight * (std::min(2 * p.rate, others / span) - c->others);
    c->others = std::min(c->others, p.rate);
    c->own += weight * (std::max(0.0, amount) / span - c->own);
    c->tokens = std::min(p.burst, p.burst + p.rate * in_window - c->used);
    c->known = true;
  }

  enum class Verdict { kInside, kLent, kOver };

  static double Loss(const PlanSettings& p) { return p.over_cost - p.excess_worth; }

  // Whether a try is let in, and the chance that it is inside, fading from what was told to what came of
  // questions before. While the counter is silent, this gateway's part, as told or even, is held to.
  Verdict Judge(Customer* c, const Request& r, double now, double* chance) {
    const PlanSettings& p = PlanOf(*c);
    Refill(c, now);
    Lend(c, r.units, now);
    *chance = 0;
    if (p.ceiling_rate > 0 && c->ceiling < r.units) return Verdict::kOver;
    bool soft = Soft(p), alone = c->entries < 2;
    double loss = Loss(p), told = 1;
    if (p.parallel > 0) {
      told = OpenRoom(*c, p, work_[r.cls], now);
      if (p.rate <= 0) {
        double keep = alone ? 1 : c->out_at < 0 ? 0 : Quiet() ? 1 : std::exp(-(now - c->out_at) / kOutKeepS);
        *chance = c->open >= p.parallel ? 0 : keep * told + (1 - keep) * c->inside;
        if (*chance * (1 + loss) >= loss) return Verdict::kInside;
        return soft && !Pressed(now) ? Verdict::kLent : Verdict::kOver;
      }
    }
    bool room = c->tokens >= r.units && told * (1 + loss) >= loss;
    double first_part = (p.burst + p.rate * (now - c->born)) / c->entries;
    if (!c->known && c->passed > 0 && c->passed + r.units > first_part) room = false;
    if (c->used + r.units > p.burst + p.rate * WindowS(p)) room = false;
    double repeats = (c->asked_all - r.units) * c->entries / (now - c->born + kIdleS);
    double prior = c->inside / (1 + (Quiet() ? 0 : std::max(0.0, repeats / p.rate - 0.5)));
    if (!c->known && !alone && prior * (1 + loss) < loss) room = false;
    double age = now - c->read_at, keep = !c->known ? 0 : alone || Quiet() ? 1 : std::exp(-age / WindowS(p));
    double spread = std::sqrt(0.01 + 0.5 * s_.max_units * (alone ? 0 : c->others) * age);
    double z = (c->tokens - r.units) / spread;
    *chance = (keep / (1 + std::exp(-1.7 * z)) + (1 - keep) * prior) * std::min(1.0, told);
    if (room) return Verdict::kInside;
    if (soft && c->tokens + c->loan >= r.units && !Pressed(now)) return Verdict::kLent;
    return Verdict::kOver;
  }

  // A try is held for the counter's answer, for milliseconds, when that could change the verdict and is worth
  // more than the call's price and crowding: near the allowance, and where the customer is seen seldom.
  bool WorthAsking(const Customer& c, const Request& r, double chance, double now) {
    const PlanSettings& p = PlanOf(c);
    if (!s_.may_count || Soft(p) || c.entries < 2) return false;
    if (r.left_s < kAskPatience * s_.count_timeout_s) return false;
    double gain = std::min(chance, (1 - chance) * Loss(p)) * (0.5 + Random());
    if (gain < kCallsPerAsk * s_.count_price + crowd_) return false;
    return now >= counter_after_ || c.calling || c.out_calling;
  }

  // Chance that fewer attempts of other gateways are out than the cap leaves free: at random about what was
  // told last, fading to the mean told; exactly what was told where that has just come.
  double OpenRoom(const Customer& c, const PlanSettings& p, double span, double now) const {
    int free = p.parallel - c.open;
    double stays = c.out_at < 0 ? 0 : std::exp(-(now - c.out_at) / span);
    if (free <= 0 || stays > kJustTold) return free > c.out_others ? 1 : 0;
    double mean = stays * c.out_others + (1 - stays) * c.out_mean, term = std::exp(-mean), sum = 0;
    for (int k = 0; k < free; term *= mean / ++k) sum += term;
    return sum;
  }

  // Attempts out are counted as changes to one number; each gateway tells its own when it changes.
  void TellOpen(uint64_t id, Customer* c, double now, Actions* out) {
    const PlanSettings& p = PlanOf(*c);
    if (!s_.may_count || p.parallel <= 0 || c->entries < 2 || c->out_calling || now < counter_after_) return;
    int64_t epoch = static_cast<int64_t>(std::floor(now / kEpochS));
    if (epoch != c->epoch) {
      c->epoch = epoch;
      c->told = 0;
    }
    double amount = c->open - c->told;
    if (amount == 0 && c->waiting.empty()) return;
    c->out_calling = Ring({id, epoch, amount, true, now}, 2 * kEpochS, out);
  }

  void TakeOpen(Customer* c, const Call& call, const CountAnswer& answer, double now) {
    if (call.window != c->epoch) return;
    if (answer.result == Result::kOk || answer.result == Result::kTimeout) c->told += call.amount;
    if (answer.result != Result::kOk) return;
    double weight = c->out_at < 0 ? 1 : 1 - std::exp(-(now - c->out_at) / 1.0);
    c->out_others = std::max(0.0, answer.total - c->told);
    c->out_mean += weight * (c->out_others - c->out_mean);
    c->out_at = now;
  }

  bool Pressed(double now) {
    int64_t tick = RollTick(now);
    return ticks_[tick % kTicks].pressed || ticks_[(tick + kTicks - 1) % kTicks].pressed;
  }

  void MarkPressed(double now) {
    ticks_[RollTick(now) % kTicks].pressed = true;
  }

  void Charge(Customer* c, double units, double sign) {
    const PlanSettings& p = PlanOf(*c);
    if (p.rate <= 0) return void(c->open += sign > 0 ? 1 : -1);
    c->tokens = std::min(p.burst, c->tokens - sign * units);
    c->used += sign * units;
    c->pending += sign * units;
    if (!c->known) c->passed += sign * units;
  }

  void Admit(Live* l, Customer* c, Verdict verdict, Node* node, bool asked, double now, Actions* out) {
    const PlanSettings& p = PlanOf(*c);
    l->inside = verdict == Verdict::kInside;
    if (p.ceiling_rate > 0) c->ceiling -= l->r.units;
    if (p.rate > 0 && l->inside) Charge(c, l->r.units, 1);
    if (p.rate > 0 && l->inside && !asked && c->entries > 1) {
      double told = 1 - Dear() * (1 - 1 / c->entries);
      c->pending += l->r.units * ((Random() < told ? 1 / told : 0) - 1);
    }
    if (p.rate > 0 && !l->inside) c->loan -= std::max(0.0, l->r.units - std::max(0.0, c->tokens));
    retry_store_ = std::min(kRetryStore, retry_store_ + kRetryShare);
    Send(l, node, now, out);
    Arm(*l, now, out);
  }

  void OnRequest(double now, const Request& r, Actions* out) {
    Expire(now);
    bool sound = r.cls >= 0 && r.cls < static_cast<int>(s_.classes.size()) && r.plan >= 0 &&
                 r.plan < static_cast<int>(s_.plans.size()) && std::isfinite(r.units) && r.units > 0 &&
                 std::isfinite(r.left_s) && r.left_s > 2 * s_.resolution_s && std::isfinite(r.entries);
    if (lives_.count(r.id) != 0) return;
    if (!sound) return Refuse(r.id, 0, out);
    Customer& c = Find(r, now);
    if (c.plan != r.plan) return Refuse(r.id, 0, out);
    double chance;
    Verdict verdict = Judge(&c, r, now, &chance);
    Live live;
    live.r = r;
    live.deadline = now + r.left_s;
    longest_left_[r.cls] = std::max(longest_left_[r.cls], r.left_s);
    if (WorthAsking(c, r, chance, now)) {
      if (Crowded(r, false)) return Refuse(r.id, 0, out);
      if (chance >= 0.5) Charge(&c, r.units, 1);
      Arm(lives_[r.id] = std::move(live), now, out);
      c.waiting.push_back({r.id, r.units, chance >= 0.5});
      MaybeCount(r.customer, &c, now, out);
      if (PlanOf(c).rate <= 0) TellOpen(r.customer, &c, now, out);
      if (!c.calling && !c.out_calling) Settle(r.customer, &c, false, now, out);
      return;
    }
    if (verdict == Verdict::kOver) return Refuse(r.id, s_.max_retry_after_s, out);
    Node* node = Crowded(r, verdict != Verdict::kInside) ? nullptr : Pick(live, now);
    if (node == nullptr) {
      if (verdict == Verdict::kInside) MarkPressed(now);
      return Refuse(r.id, 0, out);
    }
    Live& kept = lives_[r.id] = std::move(live);
    Admit(&kept, &c, verdict, node, false, now, out);
    MaybeCount(r.customer, &c, now, out);
  }

  double WorkOf(const Request& r) const {
    double mean_units = class_units_[r.cls];
    return work_[r.cls] * (mean_units > 0 ? r.units / mean_units : 1);
  }

  // A cold backend's budget of work is its fraction of what this gateway sends a warm one now, so that all
  // gateways together send no more than that fraction of what the warm ones take; where they are little used,
  // as if it had one core, over all gateways. Guards against toppling, and against a herd onto the first
  // backend back.
  bool ColdRoom(Node* n, double now) {
    double warmed = std::max(0.0, now - n->cold_since) / std::max(1e-3, s_.warm_after_s);
    if (warmed >= 1) n->cold_since = 0;
    if (warmed >= 1) return true;
    double fraction = s_.cold_from + (1 - s_.cold_from) * warmed;
    double one_core = s_.tip_multiple * kColdShare / std::max(1, s_.gateways);
    double faded = warm_work_ * std::exp(-(now - warm_at_) / kWarmS);
    double rate = fraction * std::max(one_core, kWarmShare * faded / kWarmS);
    n->budget = std::min(kColdSaveS * rate, n->budget + rate * (now - n->budget_at));
    n->budget_at = now;
    return n->budget > 0;
  }

  // The budget starts below nought by a random part of a request, so that hundreds of gateways that each see
  // less than one request's worth of room don't all send one at once: together they send what it allows.
  void Chill(Node* n, double since, double now) {
    n->cold_since = since;
    n->budget_at = now;
    n->budget = -Random() * *std::max_element(work_.begin(), work_.end());
  }

  Node* FindNode(uint32_t id) {
    auto it = std::find_if(nodes_.begin(), nodes_.end(), [id](const Node& n) { return n.info.id == id; });
    return it == nodes_.end() ? nullptr : &*it;
  }

  bool InGroup(const Live& l, const Node& n) const {
    if (!l.may_have_run || s_.classes[l.r.cls].effect == Effect::kFree) return true;
    Scope scope = s_.classes[l.r.cls].scope;
    return scope == Scope::kAll || (scope == Scope::kZone && n.info.zone == l.ran_zone) ||
           (scope == Scope::kCell && n.info.cell == l.ran_cell);
  }

  double Random() {
    rng_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(Mix(rng_) >> 11) * 0x1.0p-53;
  }

  // While the back end is pressed, the last of the room is kept for what is worth most for the work it makes,
  // and nothing is left for a retry that can no longer be in time. Acts only when attempts out near the
  // limits: any overload inside quotas, whatever made it. Harms a class whose work is misjudged.
  bool Crowded(const Request& r, bool lent) {
    double out = 0, limit = 0, most = 0;
    for (const Node& n : nodes_) {
      if (n.info.state != BackendState::kReady) continue;
      out += std::min<double>(n.out, std::max(1.0, n.limit));
      limit += n.limit;
    }
    for (size_t i = 0; i < s_.classes.size(); ++i) most = std::max(most, s_.classes[i].worth / work_[i]);
    const ClassSettings& c = s_.classes[r.cls];
    double share = most > 0 ? c.worth / work_[r.cls] / most : 1;
    bool late = r.left_s < longest_left_[r.cls] - s_.resolution_s && c.deadline_s - r.left_s > c.aim_s;
    if (late) share *= c.late_share;
    // Gateways that seldom have an attempt out at a backend go by the answers of all backends together.
    if (Random() > std::pow(let_in_, (lent ? 2 : 1) / (kLeastRoom + (1 - kLeastRoom) * share))) return true;
    double room = kLeastRoom + (1 - kLeastRoom) * share;
    return out >= limit * room * (lent ? kLentRoom : 1);
  }

  // A backend that stays slow with one attempt out is given rests, so that it can work off what it holds.
  // Among the others: least expected time over own attempts out and learned speed; other zones cost more.
  Node* Pick(const Live& l, double now) {
    int ready = 0, aside = 0;
    warm_ = 0;
    for (const Node& n : nodes_) {
      ready += n.info.state == BackendState::kReady;
      warm_ += n.info.state == BackendState::kReady && n.cold_since <= 0;
      aside += n.info.state == BackendState::kReady && n.aside_until > now;
    }
    Node* best = nullptr;
    double best_cost = 0;
    for (Node& n : nodes_) {
      if (n.info.state != BackendState::kReady || !InGroup(l, n)) continue;
      if (n.aside_until > now && aside <= kMostEjected * ready) continue;
      if (n.trial && n.out > 0) continue;
      if (n.out >= n.limit) continue;
      if (n.cold_since > 0 && !ColdRoom(&n, now)) continue;
      double cost = n.speed * (n.out + 1) * (1 + 10 * n.fails * n.fails) * (0.95 + 0.1 * Random());
      if (n.info.zone != s_.zone) cost *= 1.5;
      for (const Try& t : l.tries) {
        if (t.node == n.info.id) cost += 100;
      }
      if (best == nullptr || cost < best_cost) {
        best = &n;
        best_cost = cost;
      }
    }
    return best;
  }

  void Fault(Node* n, bool dead, double now, Actions* out) {
    n->fails += kFailWeight * 2 * (1 - n->fails);
    // A process that takes no connection and has said nothing for a while may be starting: it is met as cold
    // when it answers again. One that turns some away and serves others is not.
    if (dead && now - n->heard > kDeadS) Chill(n, now, now);
    if (n->aside_until > now) return;
    if (n->trial || n->fails > kEjectAt) {
      n->aside_wait = std::clamp(n->aside_wait * 2, kEjectMinS, kEjectMaxS);
      n->aside_until = now + n->aside_wait;
      n->trial = true;
      Log(out, "backend set aside: " + std::to_string(n->info.id));
    }
  }

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out) {
    if (kind == ListKind::kFailed && !s_.push_discovery) Timer(out, std::min(1.0, s_.ask_within_s), kAskTag);
    if (kind == ListKind::kFailed) return;
    for (Node& n : nodes_) n.info.state = kind == ListKind::kDelta ? n.info.state : BackendState::kGone;
    for (const Backend& b : entries) {
      Node* n = FindNode(b.id);
      if (n == nullptr) {
        if (b.state == BackendState::kGone) continue;
        nodes_.emplace_back();
        n = &nodes_.back();
        n->heard = now;
      }
      bool restarted = b.started_s > 0 && b.started_s != n->info.started_s;
      n->info = b;
      if (restarted && now - b.started_s < s_.warm_after_s) {
        Chill(n, std::max(n->cold_since, b.started_s), now);
        n->aside_until = n->fails = 0;
      }
    }
    std::erase_if(nodes_, [](const Node& n) { return n.info.state == BackendState::kGone && n.out == 0; });
  }

  void Send(Live* l, Node* node, double now, Actions* out) {
    l->tries.push_back({node->info.id, now, true});
    ++l->out;
    ++node->out;
    if (node->cold_since > 0) node->budget -= WorkOf(l->r);
    auto it = customers_.find(l->r.customer);
    if (it != customers_.end()) {
      ++it->second.open;
      TellOpen(it->first, &it->second, now, out);
    }
    Action& a = Emit(out, ActionKind::kSend, l->r.id);
    a.backend = node->info.id;
    a.seconds = std::max(s_.resolution_s, l->deadline - now);
  }

  void Arm(const Live& l, double now, Actions* out) {
    const Node* n = l.tries.empty() ? nullptr : FindNode(l.tries.back().node);
    double usual = WorkOf(l.r) * (n != nullptr ? std::max(1.0, n->speed) : 1);
    double check = std::max(kCheckShare * s_.classes[l.r.cls].aim_s, kCheckTimes * usual);
    Timer(out, std::max(0.0, std::min(l.deadline - 2 * s_.resolution_s - now, check)), l.r.id);
  }

  // Whether a further attempt is allowed by the rules of effect.
  bool MayResend(const Live& l, double now) const {
    const ClassSettings& c = s_.classes[l.r.cls];
    if (static_cast<int>(l.tries.size()) >= s_.try_limit) return false;
    if (!l.may_have_run || c.effect == Effect::kFree) return true;
    if (c.effect == Effect::kSingleShot) return false;
    return now < l.ran_at + c.window_s - 2 * s_.resolution_s;
  }

  bool TryAgain(Live* l, double now, Actions* out) {
    if (!MayResend(*l, now) || retry_store_ < 1 || l->deadline - now < WorkOf(l->r)) return false;
    Node* node = Pick(*l, now);
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
    auto cust = customers_.find(l.r.customer);
    if (cust != customers_.end()) {
      Refill(&cust->second, now);
      cust->second.open = std::max(0, cust->second.open - 1);
      TellOpen(cust->first, &cust->second, now, out);
    }
    Node* n = FindNode(t.node);
    if (n != nullptr) {
      --n->out;
      Learn(n, l, t, o, now, out);
    }
    bool ran = o.result == Result::kError || o.result == Result::kTimeout || o.result == Result::kReset ||
               o.result == Result::kCancelled;
    if (ran && !l.may_have_run) {
      l.may_have_run = true;
      l.ran_at = t.sent;
      l.ran_zone = n != nullptr ? n->info.zone : -1;
      l.ran_cell = n != nullptr ? n->info.cell : -1;
    }
    if (o.result == Result::kOk && !l.done) {
      Pressed(now);
      ticks_[tick_ % kTicks].served += l.r.units;
      if (o.true_units > 0 && l.inside && cust != customers_.end() && PlanOf(cust->second).rate > 0) {
        Charge(&cust->second, o.true_units - l.r.units, 1);
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

  void Learn(Node* n, const Live& l, const Try& t, const Outcome& o, double now, Actions* out) {
    const ClassSettings& c = s_.classes[l.r.cls];
    double took = now - t.sent;
    bool silent = n->heard <= t.sent;
    if (o.result == Result::kOk || o.result == Result::kFull || o.result == Result::kError) n->heard = now;
    switch (o.result) {
      case Result::kOk: {
        if (n->cold_since <= 0) {  // what is sent and turned away tells nothing of what a warm one can do
          warm_work_ = warm_work_ * std::exp(-(now - warm_at_) / kWarmS) + WorkOf(l.r) / std::max(1, warm_);
          warm_at_ = now;
        }
        n->fails -= kFailWeight * n->fails;
        if (n->trial) Log(out, "backend back: " + std::to_string(n->info.id));
        n->trial = false;
        if (n->fails < 0.1) n->aside_wait = 0;
        double units = o.true_units > 0 ? o.true_units : l.r.units, &mean = class_units_[l.r.cls];
        mean += (mean > 0 ? kLearn : 1) * (units - mean);
        double size = units / mean, usual = work_[l.r.cls];
        n->speed += 0.05 * (std::min(took / (usual * size), 5.0) - n->speed);
        work_[l.r.cls] += kLearn * (std::min(took, c.aim_s) - usual);
        // Holding the mean answer well inside the aim keeps queues short whatever made them: overload, a slow
        // or overdriven backend, a herd. May refuse too much where work alone takes a third of the aim.
        double weight = std::max(kPaceWeight, 1 - std::exp(-(now - n->paced_at) / kPaceS));
        n->paced_at = now;
        double even = took - usual * (size - 1);  // the request's own size is no sign of a queue
        n->pace += weight * (std::clamp(even / c.aim_s, 0.0, 2.0) - n->pace);
        Steer(even / c.aim_s, now);
        if (took > c.aim_s) MarkPressed(now);
        if (n->pace > kQueueAt) {
          Cut(n, now);
        } else if (n->pace < kEasyAt && n->out + 1 >= n->limit / 2) {
          n->limit = std::min(kLimitMax, n->limit + std::min(1.0, 1 / n->limit));
        }
        break;
      }
      case Result::kError: Fault(n, false, now, out); break;
      case Result::kTimeout:
        if (silent) return Fault(n, false, now, out);
        [[fallthrough]];
      case Result::kFull:
        Steer(1, now);
        MarkPressed(now);
        Cut(n, now);
        break;
      case Result::kConnectFailed:
      case Result::kReset: Fault(n, true, now, out); break;
      case Result::kCancelled:
        if (!l.done && n->out > 0 && silent) Fault(n, false, now, out);
        break;
      case Result::kNeverSent: break;
    }
  }

  // The sum of how far answers are off their target: steady at few answers a second as at many.
  void Steer(double pace, double now) {
    double span = std::min(1.0, now - steered_at_), step = std::max(kSteer, span / kSteerS);
    let_in_ *= std::exp(-step * std::clamp(pace / kQueueAt - 1, -1.0, 2.0));
    let_in_ = std::clamp(let_in_ + kSteerBack * span, kLeastLetIn, 1.0);
    steered_at_ = now;
  }

  void Cut(Node* n, double now) {
    if (now - n->cut_at < kCutEveryS) return;
    n->cut_at = now;
    n->limit = std::max(1.0, std::min<double>(n->limit, n->out + 1) * kCut);
  }

  void OnAbandoned(uint32_t request, Actions* out) {
    auto it = lives_.find(request);
    if (it != lives_.end() && !it->second.done) End(&it->second, out);
  }

  void OnStreamBegun(uint32_t request) {
    auto it = lives_.find(request);
    if (it != lives_.end()) it->second.began = true;
  }

  void OnTimer(double now, uint64_t tag, Actions* out) {
    if (tag == kAskTag) return void(Emit(out, ActionKind::kSubscribe));
    auto it = lives_.find(static_cast<uint32_t>(tag));
    if (it == lives_.end() || it->second.done || it->second.began) return;
    Live& l = it->second;
    if (now >= l.deadline - 3 * s_.resolution_s) {  // before the client gives up
      Steer(2, now);
      return Finish(&l, out);
    }
    if (l.tries.empty()) return Arm(l, now, out);  // held for the counter
    // A backend that has said nothing since the attempt went out hangs, where a busy one would answer others.
    const Try& t = l.tries.back();
    Node* n = FindNode(t.node);
    bool silent = t.out && n != nullptr && n->heard <= t.sent;
    if (silent && l.out == 1 && retry_store_ >= 1 && s_.classes[l.r.cls].effect == Effect::kFree &&
        MayResend(l, now)) {
      if (s_.parallel_tries) {
        if (n->out > 1) Fault(n, false, now, out);
        TryAgain(&l, now, out);
      } else if (s_.cancel) {
        Emit(out, ActionKind::kCancel, l.r.id).attempt = static_cast<int>(l.tries.size()) - 1;
      }
    }
    Arm(l, now, out);
  }

 private:
  static constexpr uint64_t kAskTag = 1ULL << 40;

  Action& Emit(Actions* out, ActionKind kind, uint32_t request = 0) {
    out->emplace_back();
    out->back().kind = kind;
    out->back().request = request;
    return out->back();
  }
  void Refuse(uint32_t id, double stay_away, Actions* out) {
    Emit(out, ActionKind::kRefuse, id).seconds = s_.retry_after ? stay_away : 0;
  }
  void Timer(Actions* out, double wait, uint64_t tag) {
    Action& a = Emit(out, ActionKind::kTimer);
    a.seconds = wait;
    a.tag = tag;
  }
  void Log(Actions* out, std::string text) { Emit(out, ActionKind::kLog).text = std::move(text); }

  const Settings s_;
  uint64_t rng_;
  const double start_;
  std::vector<double> work_;          // s, mean time of an answer by class
  std::vector<double> class_units_;   // mean units by class
  std::vector<double> longest_left_;  // s, the most a try of the class had
  std::unordered_map<uint64_t, Customer> customers_;
  std::unordered_map<uint64_t, Call> calls_;
  std::unordered_map<uint32_t, Live> lives_;
  std::vector<Node> nodes_;
  std::array<Tick, kTicks> ticks_;
  int64_t tick_ = 0;
  std::vector<double> inside_;  // by plan, share of the tries held for the counter that were inside
  double counter_after_ = 0, crowd_ = 0, forgot_log_ = -1e9, swept_at_ = 0;
  int failed_calls_ = 0;
  int warm_ = 0;                        // backends warm and ready
  double warm_work_ = 0, warm_at_ = 0;  // s of work served by a warm backend, fading
  double retry_store_ = kRetryStore;
  double let_in_ = 1, steered_at_ = 0;  // share of requests let in, by the answers of all backends
};

Balancer::Balancer(const Settings& settings, uint64_t seed, double now, Actions* out)
    : impl_(std::make_unique<Impl>(settings, seed, now, out)) {}
Balancer::~Balancer() = default;
void Balancer::OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out) {
  impl_->OnList(now, kind, entries, out);
}
void Balancer::OnRequest(double t, const Request& r, Actions* out) { impl_->OnRequest(t, r, out); }
void Balancer::OnStreamBegun(double, uint32_t request, Actions*) { impl_->OnStreamBegun(request); }
void Balancer::OnOutcome(double t, const Outcome& o, Actions* out) { impl_->OnOutcome(t, o, out); }
void Balancer::OnAbandoned(double, uint32_t request, Actions* out) { impl_->OnAbandoned(request, out); }
void Balancer::OnTimer(double t, uint64_t tag, Actions* out) { impl_->OnTimer(t, tag, out); }
void Balancer::OnCount(double t, const CountAnswer& a, Actions* out) { impl_->OnCount(t, a, out); }

}  // namespace micadock
