// Customers' quotas over all gateways together, and the talk with the counter. Knows no servers: it can be asked alone.
#ifndef MICADOCK_POLICY_QUOTAS_H_
#define MICADOCK_POLICY_QUOTAS_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "parts/ceiling.h"
#include "policy/common.h"

namespace micadock {

// What the stated bound on a quota's excess is made of; tuned, ours.
inline constexpr double kSlackShare = 0.95;  // of a ceiling's slack that is used: the rest is for rounding
inline constexpr double kLeastPart = 0.5;    // of an even part, that traffic moving here in silence finds
inline constexpr double kSpare = 1.5;        // even parts of what nobody used, that a gateway takes into its own
inline constexpr double kShareWindows = 4;   // windows in which shares as last told fade to even ones
inline constexpr uint64_t kTellTag = 1ULL << 41;  // of the timer after which what is owed to the counter is told
inline constexpr int kApartRun = 2;  // failed or unsound answers in a row, from which a customer's part is held to

enum class Verdict { kInside, kLent, kOver, kReserve };  // the last: inside, if the counter has ceiling left

struct Waiting {
  uint32_t request;
  double units;
  bool charged;  // counted with the call; else the call only reads
  bool reserving = false;  // inside its quota: its ceiling's units are asked for
};

// A plan's ceiling as it is shared: the store with the slack that is used.
inline ivygw::parts::CeilingParams CeilingOf(const Settings& s, const PlanSettings& p, double gateways) {
  return {p.ceiling_rate, p.ceiling_burst + kSlackShare * p.ceiling_slack, gateways, s.max_units, s.may_count, s.lend_ceilings ? 0.0 : -1.0};
}

struct Customer {
  int plan = 0;
  double entries = 1, spread = 1, born = 0, seen = 0;  // gateways it may come through, now and told; first, last request
  double at = 0;                           // refilled up to here
  double tokens = 0;           // the bucket: own sends and what the counter told of others are taken off
  double loan = 0;             // granted by the share term
  double others = 0;  // units a second that other gateways send on
  double others_mean = 0, own_mean = 0;  // theirs and its own over several windows, from sound totals: its parts
  int missed = 0;              // calls in a row that failed, or told a total that can't be
  ivygw::parts::CeilingLimiter ceiling;
  double lent = 0, lent_until = 0;  // its share, and until when
  int64_t window = 0;
  double carried = 0;              // burst less S at this window's start, as known here
  double used = 0;                 // units of this window: burst less S at its start, told and own sends
  double total = 0, read_at = 0;   // least that a sound counter tells in this window now; last answer
  double sound_at = 0;             // last total that was taken in
  bool read = false;               // one has come in this window
  double pending = 0;              // own units not yet told; a call that timed out counts as told
  double passed = 0;               // before the first read
  bool known = false, calling = false;  // a first read has come; a call is out
  int64_t asked_tick = -1;
  double asked = 0;                                  // V_i: units asked for in asked_tick
  int open = 0;                                      // own attempts out
  int64_t epoch = 0;                                 // of the count of attempts out
  double weight = 1;                                 // that each attempt out is told with
  double told = 0;                                   // own attempts out as told in this epoch
  double out_others = 0, out_at = -1, out_mean = 0;  // others' as last told, when, and their mean
  double own_out = 0;  // mean of own ones, of late
  bool out_calling = false;
  bool owed = false;  // attempts out have changed while the counter was not to be called
  double asked_all = 0;  // units
  double inside = 1;             // share of its tries held for the counter that were inside
  std::vector<Waiting> waiting;  // held for the counter's answer, first come first;
  int asks = 0;                  // so many for the quota's
};

class Quotas {
 public:
  Quotas(const Settings& s, Dice* dice, Ticks* ticks, double now);

  const PlanSettings& PlanOf(const Customer& c) const { return s_.plans[c.plan]; }
  // The request's customer, met for the first time or again.
  Customer& Find(const Request& r, double now);
  Customer* Peek(uint64_t id);  // null where it is not known
  void Expire(double now);

  // Whether a try is let in, and the chance that it is inside, fading from what was told to what came of questions
  // before; this gateway's part where the counter is silent. `work_s`: what such a request takes.
  Verdict Judge(Customer* c, const Request& r, double work_s, double now, double* chance);
  // A try is held for the counter's answer, for milliseconds, when that could change the verdict and is worth
  // more than the call's price and crowding: near the allowance, and where the customer is seen seldom.
  bool WorthAsking(const Customer& c, const Request& r, Verdict verdict, double chance, double now);
  void Charge(Customer* c, double units, double sign);
  // The try is sent on. `asked`: it was held for the counter, and is charged.
  void Admit(Customer* c, const Request& r, bool inside, bool asked);
  // An attempt of the customer went out, or ended.
  void Opened(uint64_t id, Customer* c, double now, Actions* out);
  void Closed(uint64_t id, Customer* c, double now, Actions* out);
  // The answer told the true units of what was guessed: these less the guess.
  void TrueUnits(Customer* c, double difference);
  // What came of a try that was held for the counter.
  void LearnInside(Customer* c, bool inside);

  void OnShare(uint64_t id, double share, double now, double seconds);
  void MaybeCount(uint64_t id, Customer* c, double now, Actions* out);
  // Attempts out are counted as changes to one number; each gateway tells its own when it changes.
  void TellOpen(uint64_t id, Customer* c, double now, Actions* out);
  // Tells what the gap between calls has held up: who is seen seldom has no later event here that would.
  void TellOwed(double now, Actions* out);
  void Reserve(uint64_t id, Customer* c, double units, double now, Actions* out);
  // Takes an answer in. The customer whose it is, where it is still known.
  struct Heard {
    uint64_t id = 0;
    Customer* customer = nullptr;
    bool ok = false;
  };
  Heard OnCount(double now, const CountAnswer& answer, Actions* out);

 private:
  struct Call {
    uint64_t customer = 0;
    int64_t window = 0;  // or epoch, where it is a count of attempts out and not of units
    double amount = 0;
    enum Kind { kUnits, kOpen, kPool } kind = kUnits;
    double sent = 0;
  };
  static double WindowS(const PlanSettings& p) { return p.burst / p.rate; }
  static bool Soft(const PlanSettings& p) { return p.excess_worth > p.over_cost; }
  static double Loss(const PlanSettings& p) { return p.over_cost - p.excess_worth; }
  static int64_t WindowNow(const PlanSettings& p, double now) { return static_cast<int64_t>(std::floor(now / WindowS(p))); }
  ivygw::parts::CeilingParams Ceiled(const Customer& c) const;
  // A set of all that were told is a set of all that are there.
  double Entries(const Customer& c) const {
    return s_.told_gateways > 0 && c.spread >= s_.told_gateways ? s_.gateways : std::min<double>(c.spread, s_.gateways);
  }
  double IdleS(const PlanSettings& p) const;
  void Refill(Customer* c, double now);
  void Lend(Customer* c, double units, double now);
  double Dear() const;
  void Owe(uint64_t id, Customer* c, double now, Actions* out);
  bool Ring(const Call& call, double expiry, Actions* out);
  bool Quiet() const;
  bool Apart(const Customer& c) const;
  double Others(const Customer& c) const;
  void TakeTotal(uint64_t id, Customer* c, double amount, double total, double now, Actions* out);
  double OpenRoom(const Customer& c, const PlanSettings& p, double span, double now) const;
  void TakeOpen(Customer* c, const Call& call, const CountAnswer& answer, double now);

  const Settings& s_;
  Dice* dice_;
  Ticks* ticks_;
  const double start_;
  std::unordered_map<uint64_t, Customer> customers_;
  std::unordered_map<uint64_t, Call> calls_;
  std::deque<uint64_t> owed_;
  std::vector<double> inside_;  // by plan, share of the tries held for the counter that were inside
  double counter_after_ = 0, crowd_ = 0, forgot_log_ = -1e9, swept_at_ = 0;
  int failed_calls_ = 0;
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_QUOTAS_H_
