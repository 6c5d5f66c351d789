// The backends: load balancing, outlier ejection, slow start, concurrency limits and load shedding.
#ifndef MICADOCK_POLICY_FLEET_H_
#define MICADOCK_POLICY_FLEET_H_

#include <unordered_map>
#include <vector>

#include "policy/common.h"

namespace micadock {

struct Host {
  Backend info;
  int in_flight = 0;            // attempts of this gateway in flight at the backend
  double relative_latency = 1;  // EWMA of answer time divided by the mean of all backends for the class and size
  double latency_ratio = 0;     // EWMA of answer time, adjusted for size, divided by the class's latency target
  double failure_rate = 0;      // EWMA of failures (1) and successes (0)
  double ejected_until = 0, ejection_s = 0;
  bool returned_from_drain = false;  // back from a drain, its health unknown: preferred until it is sent an attempt
  bool on_probation = false;         // from an ejection until the next success: one attempt at a time
  double limit = 0;                  // concurrency limit
  double limit_cut_at = 0, latency_at = 0;  // times of the last cut of limit and of the last update of latency_ratio
  double cold_since = 0;             // time of its start, as listed or inferred from failed connections; 0: warm
  double budget = 0, budget_at = 0;  // slow start: seconds of work that may be sent now; time of the last refill
  double last_answer_at = 0;
};

struct Attempt {
  uint32_t backend_id;
  double sent_at;
  bool in_flight;
  bool outcome_recorded = false;  // its response has begun and is already counted in the backend's estimates
};

struct ActiveRequest {
  Request request;
  double deadline = 0;
  std::vector<Attempt> attempts;
  int in_flight = 0;
  bool resendable = true;  // the gateway still holds the whole request, so that it can be sent again
  bool answered = false, streaming = false, within_quota = false, may_have_run = false;
  double ran_at = 0;  // when the first attempt that may have run was sent
  int ran_zone = 0, ran_cell = 0;
};

class BackendPool {
 public:
  BackendPool(const Settings& s, Dice* dice, Ticks* ticks);

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries);
  Host* Find(uint32_t id);
  LearnedState ExportLearned(double now) const;
  void ImportLearned(double now, const LearnedState& from);
  int EjectedCount(double now) const;  // number of backends listed as ready that are ejected
  double ExpectedWork(const Request& r) const;  // expected answer time in seconds
  double ClassWork(int cls) const { return work_[cls]; }
  void ObserveTimeLeft(const Request& r) { max_time_left_[r.cls] = std::max(max_time_left_[r.cls], r.left_s); }

  // Admission control: whether to shed the request. Under overload the last capacity is kept for classes with most
  // worth per second of work, which depends on sound estimates of work; a retry that is past its latency target
  // counts with late_share of its worth. `borrowed`: the request is beyond its quota.
  bool ShouldShed(const Request& r, bool borrowed);
  // The backend of least cost, or null: latency times attempts in flight, penalized for failures and other zones.
  Host* Pick(const ActiveRequest& active, double now);
  void OnSent(Host* host, const Request& r);
  void OnOutcome(Host* host, const ActiveRequest& active, const Attempt& attempt, const Outcome& outcome,
                 double now, Actions* out);
  void OnFault(Host* host, bool may_be_dead, double now, Actions* out);
  // Adjusts the share of requests admitted after one answer. `latency_ratio`: its time divided by the latency target.
  void AdjustAdmitShare(double latency_ratio, double now);

 private:
  // Estimated failure rate of a zone, 0 to 1: backends that fail together in a zone are one event, not many.
  double ZoneFailureRate(int zone, double now) const;
  void ObserveZone(int zone, bool failed, double now);
  bool HasColdBudget(Host* host, double now);
  void StartWarmup(Host* host, double since, double now);
  bool InRetryScope(const ActiveRequest& active, const Host& host) const;
  void CutLimit(Host* host, double now);

  const Settings& s_;
  Dice* dice_;
  Ticks* ticks_;
  std::vector<Host> backends_;
  std::vector<double> work_;         // by class: EWMA of answer time in seconds
  std::vector<double> class_units_;  // by class: EWMA of units
  struct ZoneFailures { double rate = 0, at = 0; };
  std::unordered_map<int, ZoneFailures> zone_failures_;
  std::vector<double> max_time_left_;  // by class: largest left_s of any request; one with less counts as a retry
  int warm_count_ = 0;                          // ready backends past slow start
  double warm_work_ = 0, warm_at_ = 0;     // decaying sum of work, in s, done by each warm backend; last update
  double admit_share_ = 1, adjusted_at_ = 0;  // share of requests admitted, set by all backends' answers; last change
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_FLEET_H_
