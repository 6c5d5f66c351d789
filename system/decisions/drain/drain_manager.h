// Graceful shutdown of a gateway in phases, as in Envoy's drain manager. The drain is announced while
// requests are still served; then idle connections are closed; then new requests are refused while active
// ones complete. A request is served only if it can end before the process does, so that none is interrupted.
//
// Pure; one thread. Times are seconds of one steady clock.
#ifndef IVYGW_SYSTEM_DRAIN_DRAIN_MANAGER_H_
#define IVYGW_SYSTEM_DRAIN_DRAIN_MANAGER_H_

#include <algorithm>
#include <optional>

namespace ivygw::drain {

// Start of each phase, in seconds after the start of the drain, in non-decreasing order.
struct DrainSchedule {
  double close_idle = 0;  // by this time, failing readiness checks are assumed to have been noticed
  double refuse_new = 0;
  double end = 0;  // the process exits at this time even if requests are active

  // `grace`: seconds between SIGTERM and SIGKILL; above 0.
  static DrainSchedule ForGrace(double grace) {
    constexpr double kReadinessSeenAfter = 2.5;
    constexpr double kEndMargin = 0.4;
    double refuse_new = grace / 2;
    return {.close_idle = std::min(kReadinessSeenAfter, refuse_new),
            .refuse_new = refuse_new,
            .end = grace - std::min(kEndMargin, grace / 10)};
  }
};

enum class DrainPhase {
  kServing,    // no drain is in progress
  kAnnounced,  // not ready; each connection is closed after its answer
  kClosing,    // also, connections without a request are closed
  kRefusing,   // also, new requests are refused
  kEnded,      // the process exits now
};

class DrainManager {
 public:
  explicit DrainManager(const DrainSchedule& schedule) : schedule_(schedule) {}

  // Returns false and changes nothing if the drain has already begun.
  bool Begin(double now) {
    if (begun_at_) return false;
    begun_at_ = now;
    return true;
  }
  bool begun() const { return begun_at_.has_value(); }

  // Whether a request may be served that ends at `deadline` at the latest.
  bool MayServe(double now, double deadline) const {
    if (!begun_at_) return true;
    return now < *begun_at_ + schedule_.refuse_new && deadline <= *begun_at_ + schedule_.end;
  }

  // `requests_active`: some request has no complete answer yet. `connections_open`: some client is connected.
  DrainPhase PhaseAt(double now, bool requests_active, bool connections_open) const {
    if (!begun_at_) return DrainPhase::kServing;
    double elapsed = now - *begun_at_;
    if (elapsed >= schedule_.end) return DrainPhase::kEnded;
    if (elapsed >= schedule_.refuse_new) return requests_active ? DrainPhase::kRefusing : DrainPhase::kEnded;
    if (elapsed < schedule_.close_idle) return DrainPhase::kAnnounced;
    return requests_active || connections_open ? DrainPhase::kClosing : DrainPhase::kEnded;
  }

 private:
  const DrainSchedule schedule_;
  std::optional<double> begun_at_;
};

}  // namespace ivygw::drain

#endif  // IVYGW_SYSTEM_DRAIN_DRAIN_MANAGER_H_
