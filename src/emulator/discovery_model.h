// Discovery: what is true of the fleet, and what each gateway's agent has been sent of it so far, late and
// never out of order. No I/O and no clock. Times are seconds. One thread.
#ifndef IVYGW_EMULATOR_DISCOVERY_MODEL_H_
#define IVYGW_EMULATOR_DISCOVERY_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/random.h"

namespace ivygw::emulator {

enum class NodeStatus { kActive, kLeaving, kLeft };

struct NodeEntry {
  int node = 0;  // the emulator's number; a replacement has one of its own
  std::string name, zone, type;
  int group = 0;
  NodeStatus status = NodeStatus::kActive;
  double started = 0;  // seconds of the run's clock; negative: long ago
};

struct DiscoverySpec {
  double least_late_s = 0.3, most_late_s = 1.5;
};

struct DiscoveryNews {
  uint64_t index = 0;
  bool snapshot = false;
  std::vector<NodeEntry> entries;
};

class DiscoveryModel {
 public:
  DiscoveryModel(const DiscoverySpec& spec, int gateways, uint64_t seed);

  void Add(const NodeEntry& entry);  // known to all from the start
  void Change(double now, const NodeEntry& entry);
  void SetSilent(double now, bool silent);
  bool silent() const { return silent_; }

  // The newest version that `gateway`'s agent has by `now`.
  uint64_t Index(double now, int gateway) const;
  // When the agent gets a version above `after`, if no more changes; infinity if there is none.
  double Newer(int gateway, uint64_t after) const;
  DiscoveryNews Whole(double now, int gateway) const;
  DiscoveryNews Since(double now, int gateway, uint64_t after) const;

 private:
  struct Version {
    NodeEntry entry;
    std::vector<double> at;  // by gateway
  };
  const DiscoverySpec spec_;
  Random random_;
  size_t gateways_;
  bool silent_ = false;
  std::vector<NodeEntry> first_;
  std::vector<Version> versions_;  // version i has index i + 2; the first list has 1
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_DISCOVERY_MODEL_H_
