// The only interface of the decision module (balance.cpp): settings, events in, actions out.
#ifndef MICADOCK_POLICY_BALANCE_H_
#define MICADOCK_POLICY_BALANCE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace micadock {

enum class Effect { kFree, kGuarded, kSingleShot };
enum class Scope { kAll, kZone, kCell };

// One class of request. Times in seconds.
struct ClassSettings {
  double aim_s = 0;       // an answer within this earns the full worth
  double deadline_s = 0;  // a client's whole patience
  double window_s = 0;    // guarded: how long repeats are dropped, from the first attempt that may have run
  double worth = 0;
  double late_share = 0;  // share of the worth earned between aim and deadline
  Effect effect = Effect::kFree;
  Scope scope = Scope::kAll;
};

// One plan; quotas hold for each customer over all gateways together. Units and units a second.
struct PlanSettings {
  double rate = 0;  // 0: no rate quota
  double burst = 0;
  double ceiling_rate = 0;  // 0: no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  double excess_worth = 0;  // share of worth earned beyond the quota
  double over_cost = 0;     // share of worth charged beyond the quota
  double price = 0;
  int parallel = 0;  // 0: no cap on attempts out at once
};

struct Settings {
  int gateway = 0;             // this gateway's number
  int gateways = 0;            // how many there are
  int configured_gateways = 0;       // as the settings say; 0: as `gateways` at the start
  bool counted = true;         // this one is among them
  bool lend_ceilings = false;  // parts of ceilings are told (OnShare), not cut evenly
  int zone = 0;
  double resolution_s = 0;
  bool push_discovery = false;
  double max_units = 0;
  bool may_count = false;
  double count_timeout_s = 0;
  double count_price = 0;
  double cross_zone_price = 0;
  bool cancel = false;
  bool hedging = false;
  bool retry_after = false;
  double max_retry_after_s = 0;
  int try_limit = 0;
  double cold_from = 0;
  double warm_after_s = 0;
  double tip_multiple = 0;
  double tip_after_s = 0;
  double max_discovery_retry_s = 0;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
};

enum class BackendState { kGone, kReady, kDraining };
struct Backend {
  uint32_t id = 0;
  BackendState state = BackendState::kReady;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  double weight = 0;
  double started_s = 0;  // clock of its last start; 0: long ago
};

enum class ListKind { kDelta, kFull, kCached, kFailed };

struct Request {
  uint32_t id = 0;
  int cls = 0;
  int plan = 0;
  uint64_t customer = 0;
  double left_s = 0;  // from now, or from its body's end where that is still coming
  double body_s = 0;  // for which its body may still come; 0: it is whole
  double units = 0;
  double entries = 1;  // gateways this customer may arrive through
  // A work that another gateway had begun: its units are counted there. What it had tried, and when first.
  bool resumed = false, may_have_run = false;
  double ran_age_s = 0;  // since the first attempt that may have run
  int ran_zone = 0, ran_cell = 0;
};

enum class Result { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNeverSent };

struct Outcome {
  uint32_t request = 0;
  int attempt = 0;
  double took_s = 0;
  Result result = Result::kOk;
  bool finished = false;
  uint32_t backend = 0;
  double true_units = 0;  // 0: not told
  bool resendable = true;      // the whole request is still held, so that it can be sent again
};

struct CountAnswer {
  uint64_t name = 0;
  double total = 0;
  Result result = Result::kOk;
};

enum class ActionKind { kSend, kCancel, kRefuse, kFail, kTimer, kCount, kLog, kSubscribe };
struct Action {
  ActionKind kind = ActionKind::kLog;
  uint32_t request = 0;
  uint32_t backend = 0;
  int attempt = 0;
  uint64_t tag = 0;    // timer's tag, or the name of a count
  double seconds = 0;  // patience, wait, stay-away or expiry
  double amount = 0;   // added to the count
  std::string text;
};
using Actions = std::vector<Action>;

// What a gateway has learned of its servers, for the process that takes its place. Times on the module's
// clock.
struct LearnedState {
  struct BackendEstimate {
    uint32_t id = 0;
    double relative_latency = 1, latency_ratio = 0, limit = 0, failure_rate = 0;
    double cold_since = 0;  // 0: warm
  };
  std::vector<BackendEstimate> backends;
  std::vector<double> work, units;  // by class: s of an answer, mean units
  double admit_share = 1, warm_work = 0;
};

// One gateway's decisions. Every call gets the clock, in seconds, and appends actions in order.
class Balancer {
 public:
  Balancer(const Settings& settings, uint64_t seed, double now, Actions* out);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out);
  void OnRequest(double now, const Request& request, Actions* out);
  // The request's body is whole: its time begins.
  void OnBodyEnded(double now, uint32_t request, Actions* out);
  // A good answer has begun, which the client is given as it comes: no time limit holds any more. Its outcome
  // follows.
  void OnStreamBegun(double now, uint32_t request, Actions* out);
  void OnOutcome(double now, const Outcome& outcome, Actions* out);
  void OnAbandoned(double now, uint32_t request, Actions* out);
  void OnTimer(double now, uint64_t tag, Actions* out);
  // How many gateways are there now, in place of the number in the settings; and whether this one is counted
  // among them: otherwise it has no part of what is cut by that number.
  void OnFleet(int gateways, bool counted);
  // The share of the customer's lent part that is this gateway's for so many seconds, in place of the one
  // before.
  void OnShare(double now, uint64_t customer, double share, double seconds);
  void OnCount(double now, const CountAnswer& answer, Actions* out);
  LearnedState ExportLearned(double now) const;
  // Takes it over; what is out of range, or of backends that are not listed, is passed over.
  void ImportLearned(double now, const LearnedState& learned);
  int EjectedCount(double now) const;  // ready backends that get nothing now, by the module's own choice

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_BALANCE_H_
