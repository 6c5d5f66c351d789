// Applies operators' bans to the backend list from discovery: computes, for each backend, the state that the
// balancer and the backend table see. A banned backend that discovery lists as ready is passed on as
// draining. When its ban is lifted it counts as just started, because it may have been restarted during the
// ban and discovery reports a restart seconds late. Does no I/O.
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

  // Ban begins a ban and Lift ends it. Both return the backend with its new state, or nothing if the state
  // hasn't changed: the backend is not listed, is draining by discovery's list, was banned before (Ban), or
  // was not banned (Lift). A backend that was never listed may be banned too.
  std::optional<ListedBackend> Ban(uint32_t backend, double now);
  std::optional<ListedBackend> Lift(uint32_t backend, double now);

  bool IsBanned(uint32_t backend) const { return banned_.count(backend) != 0; }
  size_t listed() const { return listed_.size(); }  // including draining backends
  size_t listed_and_banned() const;                 // only backends that discovery lists as ready

 private:
  // Backends as discovery last reported them, without those that are gone.
  std::unordered_map<uint32_t, ListedBackend> listed_;
  std::unordered_map<uint32_t, double> banned_;  // start time of each ban
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_BAN_TABLE_H_
