// The interface of the balancing policy: one gateway's decisions on admission, load balancing, retries and quotas.
// It does no I/O and has no clock: settings and events go in, actions come out. Durations and times are in seconds.
#ifndef MICADOCK_POLICY_BALANCE_H_
#define MICADOCK_POLICY_BALANCE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace micadock {

// Whether a request may be executed more than once: always (idempotent), within a deduplication window and scope, or
// never.
enum class Effect { kFree, kGuarded, kSingleShot };
// The backends that share deduplication records, among which a kGuarded request may be repeated.
enum class Scope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  double aim_s = 0;       // latency target: an answer within it earns the full worth
  double deadline_s = 0;  // time for which a client waits for the answer
  double window_s = 0;    // kGuarded: time after the first attempt that may have run, in which repeats are dropped
  double worth = 0;
  double late_share = 0;  // share of the worth that an answer after aim_s and before deadline_s earns
  Effect effect = Effect::kFree;
  Scope scope = Scope::kAll;
};

// One plan. Its limits hold for each customer over all gateways together, in units and units per second.
struct PlanSettings {
  double rate = 0;  // 0: no rate quota
  double burst = 0;
  double ceiling_rate = 0;  // hard limit on the rate (the ceiling); 0: none
  double ceiling_burst = 0;
  double ceiling_slack = 0;  // units tolerated beyond ceiling_burst
  double excess_worth = 0;   // share of its worth that a request beyond the quota earns
  double over_cost = 0;      // share of its worth that serving a request beyond the quota costs
  double price = 0;
  int parallel = 0;  // cap on attempts in flight; 0: none
};

struct Settings {
  int gateway = 0;              // this gateway's index
  int gateways = 0;             // current number of gateways
  int configured_gateways = 0;  // number of gateways as configured; 0: unknown
  bool counted = true;          // `gateways` includes this one; else it gets no share of limits that are split evenly
  bool lend_ceilings = false;   // shares of ceilings are assigned by OnShare, not split evenly
  int zone = 0;
  double resolution_s = 0;  // resolution of timers
  bool push_discovery = false;  // lists of backends are pushed; else they are subscribed to
  double max_units = 0;    // units of the largest request
  bool may_count = false;  // there is a shared counter
  double count_timeout_s = 0;
  double count_price = 0;  // price of one call to the counter, as a share of a request's worth
  double cross_zone_price = 0;
  bool cancel = false;       // attempts can be cancelled
  bool hedging = false;      // a request may have several attempts in flight
  bool retry_after = false;  // refusals carry a Retry-After time
  double max_retry_after_s = 0;
  int try_limit = 0;          // most attempts for each request
  double cold_from = 0;       // slow start: share of its capacity that a backend has right after a start
  double warm_after_s = 0;    // slow start: time over which that share rises to 1
  double tip_multiple = 0;    // a cold backend that is sent this multiple of its capacity fails for good
  double tip_after_s = 0;     // time for which it must be sent tip_multiple to fail
  double max_discovery_retry_s = 0;  // longest wait before a failed request to discovery is repeated
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
  double started_s = 0;  // time of its last start; 0: long ago
};

enum class ListKind { kDelta, kFull, kCached, kFailed };

struct Request {
  uint32_t id = 0;
  int cls = 0;
  int plan = 0;
  uint64_t customer = 0;
  double left_s = 0;  // time left to answer it, counted from the end of its body
  double body_s = 0;  // time for which its body may still arrive; 0: the body is complete
  double units = 0;
  double entries = 1;  // number of gateways through which this customer may arrive
  // `resumed`: the request was taken over from another gateway, which has already charged its units. The other fields
  // hold what that gateway knows of earlier attempts: whether one may have run, and where and when the first did.
  bool resumed = false, may_have_run = false;
  double ran_age_s = 0;  // time since the first attempt that may have run was sent
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
  double true_units = 0;  // units that the response reported; 0: none reported
  bool resendable = true;  // the gateway still holds the whole request, so that it can be sent again
};

// The counter's answer to an action of kind kCount.
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
  uint64_t tag = 0;    // kTimer: passed back to OnTimer; kCount: name of the count
  double seconds = 0;  // kSend: time-out; kTimer: wait; kRefuse: Retry-After; kCount: expiry
  double amount = 0;   // kCount: added to the count
  std::string text;
};
using Actions = std::vector<Action>;

// Estimates of a gateway's backends, handed over to the process that replaces it in an upgrade.
struct LearnedState {
  struct BackendEstimate {
    uint32_t id = 0;
    // relative_latency, latency_ratio: EWMAs of the answer time divided by the mean of all backends, and divided by
    // the latency target. limit: concurrency limit. failure_rate: EWMA of failures.
    double relative_latency = 1, latency_ratio = 0, limit = 0, failure_rate = 0;
    double cold_since = 0;  // start of its slow start, on the clock of `now`; 0: warm
  };
  std::vector<BackendEstimate> backends;
  std::vector<double> work, units;  // by class: mean answer time in seconds, mean units
  double admit_share = 1, warm_work = 0;  // share of requests admitted; decaying sum of a warm backend's work, in s
};

// The policy of one gateway. Every call gets the current time and appends its actions in order. Not thread-safe.
class Balancer {
 public:
  Balancer(const Settings& settings, uint64_t seed, double now, Actions* out);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries, Actions* out);
  void OnRequest(double now, const Request& request, Actions* out);
  // The request's body is complete: its time to answer starts.
  void OnBodyEnded(double now, uint32_t request, Actions* out);
  // A successful response has begun and is streamed to the client: its time limits end here. OnOutcome follows later.
  void OnStreamBegun(double now, uint32_t request, Actions* out);
  void OnOutcome(double now, const Outcome& outcome, Actions* out);
  void OnAbandoned(double now, uint32_t request, Actions* out);
  void OnTimer(double now, uint64_t tag, Actions* out);
  // Replaces Settings::gateways and Settings::counted.
  void OnFleet(int gateways, bool counted);
  // Sets this gateway's share of the customer's lent ceiling for the next `seconds`, replacing the share set before.
  void OnShare(double now, uint64_t customer, double share, double seconds);
  void OnCount(double now, const CountAnswer& answer, Actions* out);
  LearnedState ExportLearned(double now) const;
  // Ignores values that are out of range and backends that are not listed.
  void ImportLearned(double now, const LearnedState& from);
  int EjectedCount(double now) const;  // ready backends that are ejected as outliers

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_BALANCE_H_
