// Determines what a backend's call changes in the registry's table, when the call may be acknowledged, and
// which commands the table accepts. Pure.
//
// A backend is one item. Its key is kBackendPrefix followed by its id, its version the sequence number of the
// heartbeat that last wrote it, and its body the output of FormatBackend. A tombstone marks a
// backend that has deregistered or expired.
#ifndef IVYGW_SYSTEM_REGISTRY_BACKEND_RECORDS_H_
#define IVYGW_SYSTEM_REGISTRY_BACKEND_RECORDS_H_

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "discovery/backend.h"
#include "messages/item.h"
#include "replication/command_policy.h"

namespace ivygw::registry {

inline constexpr char kBackendPrefix[] = "backend/";
// The version of a deregistered backend's tombstone. Deregistration is the last call of a backend process, so
// it prevails over every heartbeat, whatever its sequence number and however late it is decided.
inline constexpr uint64_t kDeregisteredVersion = std::numeric_limits<uint64_t>::max();

struct BackendUpdate {
  messages::Item item;           // the record that results from the call
  bool write = false;            // the record must be proposed
  bool wait_for_commit = false;  // others rely on it: acknowledge the call only when it is committed
};

// `committed`: the committed item under the backend's key; null: none.
BackendUpdate OnHeartbeat(const discovery::Backend& reported, const messages::Item* committed);
// Returns the tombstone of a backend that sent no heartbeat for too long. A heartbeat with a
// sequence number above the tombstone's version makes the backend return.
messages::Item OnExpired(const messages::Item& committed);
BackendUpdate OnDeregister(const std::string& id, const messages::Item* committed);

// The higher version wins, for backends and all other records. A draining backend never becomes ready again,
// and a deregistered one never returns, whatever commands are concurrent.
class RegistryPolicy : public replication::CommandPolicy {
 public:
  void OnRecord(const replication::Record&) override {}
  void OnErased(const std::string&) override {}
  void OnReset() override {}
  replication::Evaluation Evaluate(const std::vector<messages::Item>& items,
                                   const replication::TableOverlay& overlay) const override;
  size_t MaxCommandsInChange() const override { return 256; }
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_BACKEND_RECORDS_H_
