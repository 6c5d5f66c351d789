// The backends: load balancing, outlier ejection, slow start, concurrency limits and load shedding.
#ifndef MICADOCK_POLICY_FLEET_H_
#define MICADOCK_POLICY_FLEET_H_

#include <unordered_map>
#include <vector>

#include "policy/common.h"

namespace micadock {

struct Host {
  Backend info;
  int in_flight = 0;            // this gateway's attempts
  double relative_latency = 1;  // EWMA of answer time over the mean of all backends for such requests
  double latency_ratio = 0;     // EWMA of answer time over the class's latency target
  double failure_rate = 0;      // EWMA
  double ejected_until = 0, ejection_s = 0;
  bool returned_from_drain = false;  // preferred for its first attempt, since its health is not known
  bool on_probation = false;         // after an ejection: one attempt at a time
  double limit = 0;                  // concurrency limit
  double limit_cut_at = 0, latency_at = 0;  // last cut of the limit, last update of latency_ratio
  double cold_since = 0;             // start as listed, or inferred from failed connections; 0: warm
  double budget = 0, budget_at = 0;  // slow start: seconds of work that may be sent now; last refill
  double last_answer_at = 0;
};

struct Attempt {
  uint32_t backend_id;
  double sent_at;
  bool in_flight;
  bool outcome_recorded = false;  // its response has begun, and already counts in the backend's estimates
};

struct ActiveRequest {
  Request request;
  double deadline = 0;
  std::vector<Attempt> attempts;
  int in_flight = 0;
  bool resendable = true;  // the whole request is still held
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
  int EjectedCount(double now) const;  // of the backends listed as ready
  double ExpectedWork(const Request& r) const;  // expected answer time in seconds
  double ClassWork(int cls) const { return work_[cls]; }
  void ObserveTimeLeft(const Request& r) { max_time_left_[r.cls] = std::max(max_time_left_[r.cls], r.left_s); }

  // Admission control: whether to shed the request. Under overload the last capacity is kept for classes with the
  // most worth per second of work, and retries that can't be in time get none. Depends on sound estimates of work.
  bool ShouldShed(const Request& r, bool borrowed);
  // The backend of least cost: latency times attempts in flight, with penalties for failures and for other zones.
  Host* Pick(const ActiveRequest& active, double now);
  void OnSent(Host* host, const Request& r);
  void OnOutcome(Host* host, const ActiveRequest& active, const Attempt& attempt, const Outcome& outcome,
                 double now, Actions* out);
  void OnFault(Host* host, bool may_be_dead, double now, Actions* out);
  // Adjusts the share of requests admitted by one answer's time over the latency target.
  void AdjustAdmitShare(double latency_ratio, double now);

 private:
  // Failure estimate of a zone, 0 to 1: backends that fail together in a zone are one event, not many.
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
  std::vector<double> work_;         // by class: EWMA of answer time, s
  std::vector<double> class_units_;  // by class: EWMA of units
  struct ZoneFailures { double rate = 0, at = 0; };
  std::unordered_map<int, ZoneFailures> zone_failures_;
  std::vector<double> max_time_left_;  // by class: largest left_s of any request; a smaller one marks a retry
  int warm_count_ = 0;                          // ready backends past slow start
  double warm_work_ = 0, warm_at_ = 0;     // decaying sum of work, in s, done by each warm backend
  double admit_share_ = 1, adjusted_at_ = 0;  // share of requests admitted, by the answers of all backends
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_FLEET_H_
