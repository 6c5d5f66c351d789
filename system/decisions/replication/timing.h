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
// A learner is caught up once its disk holds what a member stood at so long before.
inline constexpr double kJoinLag = 0.25;
// A change of members waits for those that join, unless one says nothing for so long, or its disk takes
// nothing for so long.
inline constexpr double kJoinSilence = 0.3;
inline constexpr double kJoinPatience = 1.0;
// Pauses after a proposal that others got ahead of: drawn between a third and the whole of a bound that
// doubles.
inline constexpr double kShortestBackOff = 0.010;
inline constexpr double kLongestBackOff = 0.160;
// Who has just promised or accepted another's proposal leaves it so long to be decided before making one of
// its own.
inline constexpr double kRivalCourtesy = 0.030;
// While others propose, too, a proposer whose change has been decided leaves them so long to go first.
inline constexpr double kRivalSeen = 0.300;
inline constexpr double kYield = 0.006;
// A round of questions for a read is asked anew after this.
inline constexpr double kReadRoundPatience = 0.1;
// An undecided change that a read has met is left so long to whoever proposed it.
inline constexpr double kUndecidedPatience = 0.04;
// One that stands accepted here for so long has been left by whoever proposed it, and is finished by whoever
// holds it.
inline constexpr double kOrphanPatience = 0.3;
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
