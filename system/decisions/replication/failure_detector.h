// Failure detection by heartbeats. A member is alive as long as the last heartbeat that it has answered was
// SENT recently; the time of the reply doesn't count, so a delayed reply can't make a dead member look alive.
// No I/O; not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_FAILURE_DETECTOR_H_
#define IVYGW_SYSTEM_REPLICATION_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/steady_time.h"
#include "replication/peer_table.h"

namespace ivygw::replication {

class FailureDetector {
 public:
  // Makes the next heartbeat due immediately.
  void MakeHeartbeatDue(TimePoint now) { heartbeat_due_ = now; }
  bool HeartbeatDue(TimePoint now) const { return now >= heartbeat_due_; }
  // Returns the heartbeat to send to every peer. REQUIRES: HeartbeatDue(now).
  messages::Heartbeat BeginHeartbeat(TimePoint now);
  // `from` must be the address of a voting member.
  void OnHeartbeatReply(const std::string& from, const messages::HeartbeatReply& reply);

  // The send time of the last heartbeat that the core at this address has answered.
  std::optional<TimePoint> last_contact(const std::string& address) const;
  bool IsAlive(TimePoint now, const std::string& address) const;
  // The number of members that are alive and run the store of the membership. This core counts if it is a
  // member.
  size_t MembersAlive(TimePoint now, const Membership& membership, const std::string& self_address,
                      uint64_t self_store_id, const PeerTable& peers) const;
  // Whether a majority of the members is alive.
  bool QuorumIsAlive(TimePoint now, const Membership& membership, const std::string& self_address,
                     uint64_t self_store_id, const PeerTable& peers) const;

 private:
  uint64_t last_heartbeat_ = 0;
  TimePoint heartbeat_due_;
  std::map<uint64_t, TimePoint> sent_at_;  // by heartbeat number
  std::map<std::string, TimePoint> last_contact_;
};

// Tracks since when a core has been in contact with a quorum, and whether its copy has caught up since then.
// A core serves calls only after its copy has caught up.
class QuorumContact {
 public:
  // A majority of the members is alive.
  void OnQuorum(TimePoint now) {
    if (!since_) since_ = now;
  }
  void OnQuorumLost() {
    since_.reset();
    caught_up_ = false;
  }
  // The read that was started when contact began has ended. `done`: this copy, at `revision`, holds
  // everything decided before the read.
  void OnInitialReadEnded(bool done, uint64_t revision) {
    caught_up_ = done && since_.has_value();
    caught_up_revision_ = revision;
  }

  std::optional<TimePoint> since() const { return since_; }
  bool caught_up() const { return caught_up_; }
  uint64_t caught_up_revision() const { return caught_up_revision_; }

 private:
  std::optional<TimePoint> since_;
  bool caught_up_ = false;
  uint64_t caught_up_revision_ = 0;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_FAILURE_DETECTOR_H_
