// Applies operators' bans to the backend list from discovery: computes the state of each backend that the
// balancer and the backend table see, whatever discovery reports during a ban. A banned backend is draining.
// After its ban it counts as just started, because it may have been restarted meanwhile and discovery reports
// that seconds late. Does no I/O.
#ifndef IVYGW_CORE_BAN_TABLE_H_
#define IVYGW_CORE_BAN_TABLE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/backend_table.h"

namespace ivygw::core {

class BanTable {
 public:
  // Takes a list from discovery and returns its entries, in the same order, with bans applied. `full`:
  // backends that are not in the list are gone.
  std::vector<ListedBackend> ApplyList(bool full, const std::vector<ListedBackend>& entries);

  // Begin or end a ban. Return the backend's new state, or nothing if it hasn't changed: the backend is not
  // listed, is draining anyway, or was already (or was not) banned. A backend that was never listed may be
  // banned too.
  std::optional<ListedBackend> Ban(uint32_t backend, double now);
  std::optional<ListedBackend> Lift(uint32_t backend, double now);

  bool IsBanned(uint32_t backend) const { return banned_.count(backend) != 0; }
  size_t listed() const { return listed_.size(); }  // including draining backends
  size_t listed_and_banned() const;                 // only backends that discovery lists as ready

 private:
  std::unordered_map<uint32_t, ListedBackend> listed_;  // as last reported by discovery, without those gone
  std::unordered_map<uint32_t, double> banned_;         // start time of each ban
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_BAN_TABLE_H_
