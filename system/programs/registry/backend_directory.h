// The backends: their heartbeats and deregistrations, the expiry of silent ones, and the pruning of old
// tombstones, over the registry's replicated table. One thread, that of the event loop.
#ifndef IVYGW_SYSTEM_REGISTRY_BACKEND_DIRECTORY_H_
#define IVYGW_SYSTEM_REGISTRY_BACKEND_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/steady_time.h"
#include "registry/backend_records.h"
#include "registry/heartbeat_tracker.h"
#include "replicated_table/core_node.h"

namespace ivygw::registry {

// How a call is answered: an HTTP status and a JSON body. Called once.
using Answer = std::function<void(int status, std::string body)>;

inline constexpr char kNoQuorumContact[] = "this core is out of contact with a majority of the core";

class BackendDirectory {
 public:
  // `node` outlives this.
  explicit BackendDirectory(replicated_table::CoreNode* node) : node_(*node) {}

  // A backend's calls. `id` is the backend's, `body` the heartbeat's JSON.
  void Heartbeat(const std::string& id, const std::string& body, Answer answer);
  void Deregister(const std::string& id, Answer answer);

  // Another core has told which backends it has heard.
  void OnBackendsSeen(TimePoint now, const std::string& core, const messages::BackendsSeen& seen) {
    tracker_.OnReport(now, core, seen.backend_ids);
  }
  // For the other cores: the backends heard here since the last call.
  messages::BackendsSeen TakeBackendsSeen() { return {tracker_.TakeReport()}; }
  // Removes backends that no core has heard for HeartbeatTracker::kExpiry. Some times a minute.
  void ExpireSilent(TimePoint now);
  // Prunes tombstones that are old enough that nobody asks for them again. Some times a minute.
  void PruneTombstones(TimePoint now);

 private:
  struct Tombstone {
    uint64_t version = 0;
    TimePoint since;  // when it was first seen here
  };
  const messages::Item* Find(const std::string& key) const;
  void Write(const BackendUpdate& update, Answer answer);

  replicated_table::CoreNode& node_;
  HeartbeatTracker tracker_;
  std::map<std::string, Tombstone> tombstones_;  // by key
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_BACKEND_DIRECTORY_H_
