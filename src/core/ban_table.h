// Operators' bans over discovery's list: what the module and the book of connections are told of each
// backend, whatever discovery says while a ban is in force. A banned backend drains; after the ban it is met
// as one that has just started, since it may have been started again meanwhile and discovery tells that
// seconds late. Pure.
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
  // Discovery's word goes in, and what is to be told instead comes out, in the same order.
  std::vector<ListedBackend> Told(bool whole, const std::vector<ListedBackend>& entries);

  // A ban begins or ends. What is to be told of the backend now; nothing where that has not changed (it is
  // not listed, drains anyway, or the ban was or was not there before). A backend that was never listed may
  // be banned too.
  std::optional<ListedBackend> Ban(uint32_t backend, double now);
  std::optional<ListedBackend> Lift(uint32_t backend, double now);

  bool Banned(uint32_t backend) const { return banned_.count(backend) != 0; }
  size_t listed() const { return listed_.size(); }  // backends in discovery's list, draining ones too
  size_t listed_and_banned() const;                 // of those that discovery would have used

 private:
  std::unordered_map<uint32_t, ListedBackend> listed_;  // as discovery told last; none of them gone
  std::unordered_map<uint32_t, double> banned_;         // with the time each began
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_BAN_TABLE_H_
