// The times by which cores go, in seconds of each one's own steady clock.
#ifndef IVYGW_SYSTEM_REPLICATION_TIMING_H_
#define IVYGW_SYSTEM_REPLICATION_TIMING_H_

namespace ivygw::replication {

inline constexpr double kHeartbeatEvery = 0.2;
// A core is out of contact once no majority has answered a heartbeat sent within this time.
inline constexpr double kContactBound = 1.0;
// For how long a member must not have answered before a learner at another address takes its place.
inline constexpr double kGoneAfter = 2.0;
// A learner counts as there for so long after its last message.
inline constexpr double kLearnerHeard = 0.6;
inline constexpr double kLearnerListed = 5.0;
// Within which a phase of a proposal ends, or is given up; and more for each byte of the change.
inline constexpr double kPhasePatience = 0.25;
inline constexpr double kPerByte = 1e-7;
// A change of members waits so long for those that join, once majorities have accepted it.
inline constexpr double kJoinPatience = 0.15;
// Pauses after a proposal that others got ahead of: drawn between a third and the whole of a bound that
// doubles.
inline constexpr double kShortestBackOff = 0.010;
inline constexpr double kLongestBackOff = 0.160;
// A round of questions for a read is asked anew after this.
inline constexpr double kReadRoundPatience = 0.1;
// An undecided change that a read has met is left so long to whoever proposed it.
inline constexpr double kUndecidedPatience = 0.04;
// For a part of what a copy has missed to come, before another sender is asked; doubles up to the longest.
inline constexpr double kDeltaPatience = 0.5;
inline constexpr double kLongestDeltaPatience = 8.0;
// A peer that is ahead for so long has told something that has not come here.
inline constexpr double kBehindFor = 0.05;
inline constexpr double kMembershipEvery = 0.1;
// By which members leave a due change of members to one another, by their order.
inline constexpr double kMembershipStagger = 0.25;

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_TIMING_H_
