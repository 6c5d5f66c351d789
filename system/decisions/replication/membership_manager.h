// Changes of the members (the voting cores): which one is due, by what one core has seen of the others, and
// which member proposes it when. One member is replaced or added at a time, as in Raft's single-server
// changes (Ongaro's thesis, section 4.1).
//
// Pure; one thread.
#ifndef IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_MANAGER_H_
#define IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_MANAGER_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/steady_time.h"
#include "replication/durable_state.h"
#include "replication/failure_detector.h"
#include "replication/peer_table.h"

namespace ivygw::replication {

// A core that doesn't vote and could.
struct Candidate {
  Member member;
  bool caught_up = false;  // its disk holds all that is decided
};

struct MemberView {
  Member member;
  Duration silent_for{0};  // since the last heartbeat that it has answered; 0 for oneself
};

inline constexpr size_t kMinVoters = 3;
// How many members there should be, so that a majority is left where so many of them lose their disks at
// once.
constexpr size_t VotersToTolerate(size_t failures) { return std::max(kMinVoters, 2 * failures + 1); }

// The next membership, one member replaced or added; none where nothing is due. `voters`: how many members
// there should be.
std::optional<Membership> NextMembership(uint64_t epoch, const std::vector<MemberView>& members,
                                         const std::vector<Candidate>& candidates, size_t voters);

class MembershipManager {
 public:
  MembershipManager(std::string address, size_t voters) : address_(std::move(address)), voters_(voters) {}

  // What a check goes by. All references outlive the call.
  struct View {
    const Membership& membership;
    uint64_t revision;  // the last one applied here
    uint64_t store_id;
    const PeerTable& peers;
    const FailureDetector& detector;
    const QuorumContact& contact;
  };

  // This core doesn't serve, or isn't a member: the revisions that it has stood at count no longer.
  void OnNotServing() { revisions_.clear(); }
  bool CheckDue(TimePoint now) const { return now >= check_due_; }
  // The membership that this core is to propose now. REQUIRES: CheckDue(now), this core serves and is a
  // member. `change_pending`: a change that it has proposed before has not ended.
  std::optional<Membership> Check(TimePoint now, const View& view, bool change_pending);

  // A change of members is proposed for `revision`.
  void OnProposed(TimePoint now, uint64_t revision);
  // Whether the change may be decided without this joining member. One that is silent, or whose disk hangs,
  // doesn't stop the members.
  bool MayDecideWithout(TimePoint now, const Member& joining, const PeerTable& peers) const;

 private:
  uint64_t JoinRevision(TimePoint now, const View& view);
  std::optional<Membership> DueChange(TimePoint now, const View& view, uint64_t join_revision) const;
  bool IsSelf(const Member& member, uint64_t store_id) const {
    return member.address == address_ && member.store_id == store_id;
  }

  const std::string address_;
  const size_t voters_;
  TimePoint check_due_;
  std::optional<TimePoint> due_since_;                    // since when a change has been due
  std::deque<std::pair<TimePoint, uint64_t>> revisions_;  // at which this copy stood lately
  uint64_t proposed_revision_ = 0;                        // of the change proposed last
  TimePoint proposed_at_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_MANAGER_H_
