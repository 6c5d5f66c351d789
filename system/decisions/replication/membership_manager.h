// Membership changes: which change of the voting cores is due, judging by the peers that this core sees, and
// when this core proposes it. One member is replaced or added at a time, as in Raft's single-server changes
// (Ongaro's thesis, section 4.1).
//
// No I/O; not thread-safe.
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

// A learner that could become a member.
struct Candidate {
  Member member;
  bool caught_up = false;  // its disk holds everything decided
};

// A member as this core sees it.
struct MemberView {
  Member member;
  Duration silent_for{0};  // since the last heartbeat that it has answered; 0 for this core
};

inline constexpr size_t kMinVoters = 3;
// The number of members needed so that a majority survives when `failures` of them lose their disks at once.
constexpr size_t VotersToTolerate(size_t failures) { return std::max(kMinVoters, 2 * failures + 1); }

// Returns the next membership, with one member replaced or added, or nullopt if no change is due. `voters` is
// the intended number of members.
std::optional<Membership> NextMembership(uint64_t epoch, const std::vector<MemberView>& members,
                                         const std::vector<Candidate>& candidates, size_t voters);

class MembershipManager {
 public:
  MembershipManager(std::string address, size_t voters) : address_(std::move(address)), voters_(voters) {}

  // The input of a check. All references must outlive the call.
  struct View {
    const Membership& membership;
    uint64_t revision;  // the last one applied by this core
    uint64_t store_id;
    const PeerTable& peers;
    const FailureDetector& detector;
    const QuorumContact& contact;
  };

  // To be called while this core doesn't serve or isn't a member. Discards its recorded revisions, which may
  // be outdated.
  void OnNotServing() { revisions_.clear(); }
  bool CheckDue(TimePoint now) const { return now >= check_due_; }
  // Returns the membership that this core should propose now, if any. `change_pending`: a membership change
  // that this core has queued or proposed has not ended yet. REQUIRES: CheckDue(now), and this core serves
  // and is a member.
  std::optional<Membership> Check(TimePoint now, const View& view, bool change_pending);

  // A membership change has been proposed for `revision`.
  void OnProposed(TimePoint now, uint64_t revision);
  // Whether the change may be decided although this joining member has not accepted it: a silent member, or
  // one whose disk hangs, must not block the others.
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
  std::optional<TimePoint> due_since_;                    // when the current change became due
  std::deque<std::pair<TimePoint, uint64_t>> revisions_;  // recent revisions of this copy, with times
  uint64_t proposed_revision_ = 0;                        // of the last proposed membership change
  TimePoint proposed_at_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_MANAGER_H_
