// Tracks when any core last received a heartbeat of each backend, and which backends have expired. Pure; one
// thread.
//
// A backend whose heartbeats reach only an unreachable core would seem to be gone. Therefore no backend
// expires unless every known core has reported without a gap for the whole expiry time.
#ifndef IVYGW_SYSTEM_REGISTRY_HEARTBEAT_TRACKER_H_
#define IVYGW_SYSTEM_REGISTRY_HEARTBEAT_TRACKER_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/steady_time.h"

namespace ivygw::registry {

class HeartbeatTracker {
 public:
  static constexpr Duration kExpiry{30};    // a backend expires after this time without a heartbeat
  static constexpr Duration kReportGap{2};  // a longer pause between reports of a core is a gap

  void OnHeartbeat(TimePoint now, const std::string& id) {
    last_heard_[id] = now;
    heard_here_.insert(id);
  }
  // Handles a report of another core. `ids`: the backends whose heartbeats it has received since its last
  // report. A report with empty `ids` counts as a report, too, so that no gap begins.
  void OnReport(TimePoint now, const std::string& core, const std::vector<std::string>& ids) {
    auto [it, first] = cores_.try_emplace(core);
    Reports& reports = it->second;
    if (first || now > reports.last + kReportGap) reports.since = now;
    reports.last = now;
    for (const std::string& id : ids) last_heard_[id] = now;
  }
  // Returns the backends whose heartbeats this core has received since the last call, to be reported to the
  // other cores.
  std::vector<std::string> TakeReport() {
    std::vector<std::string> ids(heard_here_.begin(), heard_here_.end());
    heard_here_.clear();
    return ids;
  }
  // Returns those of the backends that have expired. `others`: every known core but this one.
  std::vector<std::string> Expired(TimePoint now, const std::vector<std::string>& ids,
                                   const std::set<std::string>& others) {
    bool all_report = std::all_of(others.begin(), others.end(), [&](const std::string& core) {
      auto it = cores_.find(core);
      return it != cores_.end() && now <= it->second.last + kReportGap && now >= it->second.since + kExpiry;
    });
    std::vector<std::string> expired;
    for (const std::string& id : ids) {
      // A backend without a known heartbeat, such as one loaded from disk, counts as heard from now.
      TimePoint last = last_heard_.try_emplace(id, now).first->second;
      if (all_report && now > last + kExpiry) expired.push_back(id);
    }
    return expired;
  }
  void Forget(const std::string& id) { last_heard_.erase(id); }

 private:
  struct Reports {
    TimePoint since, last;  // start of the reports without a gap; last report
  };
  std::map<std::string, TimePoint> last_heard_;  // by backend
  std::map<std::string, Reports> cores_;
  std::set<std::string> heard_here_;  // since the last report
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_HEARTBEAT_TRACKER_H_
