// To which addresses a core holds connections: members and seeds always, others for a while after they were
// last heard of. Pure; one thread.
#ifndef IVYGW_SYSTEM_REPLICATED_TABLE_KNOWN_CORES_H_
#define IVYGW_SYSTEM_REPLICATED_TABLE_KNOWN_CORES_H_

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/steady_time.h"
#include "messages/replication.h"

namespace ivygw::replicated_table {

class KnownCores {
 public:
  // For how long a core that is neither member nor seed is dialled without being heard of.
  static constexpr Duration kForgottenAfter{60};

  KnownCores(std::string self, std::set<std::string> seeds)
      : self_(std::move(self)), seeds_(std::move(seeds)) {}

  void SetMembers(const messages::Membership& membership) {
    members_.clear();
    for (const messages::Member& member : membership.members) members_.insert(member.address);
  }
  // It has said Hello, is connected, or another core has named it.
  void OnSeen(TimePoint now, const std::string& address) { last_seen_[address] = now; }

  // Addresses (IP) to hold a connection to; never one's own.
  std::set<std::string> DialTargets(TimePoint now) {
    std::erase_if(last_seen_, [&](const auto& entry) { return now > entry.second + kForgottenAfter; });
    std::set<std::string> needed = seeds_;
    needed.insert(members_.begin(), members_.end());
    for (const auto& [address, seen_at] : last_seen_) needed.insert(address);
    needed.erase(self_);
    return needed;
  }

 private:
  const std::string self_;
  const std::set<std::string> seeds_;
  std::set<std::string> members_;
  std::map<std::string, TimePoint> last_seen_;
};

}  // namespace ivygw::replicated_table

#endif  // IVYGW_SYSTEM_REPLICATED_TABLE_KNOWN_CORES_H_
