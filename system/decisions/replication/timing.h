// Timeouts and intervals of the replication protocol, in seconds. Each core goes by its own steady
// clock; safety does not depend on them.
#ifndef IVYGW_SYSTEM_REPLICATION_TIMING_H_
#define IVYGW_SYSTEM_REPLICATION_TIMING_H_

#include "base/steady_time.h"

namespace ivygw::replication {

// Failure detection.
inline constexpr Duration kHeartbeatInterval{0.2};
// A core loses quorum contact if no majority has answered a heartbeat sent within this time.
inline constexpr Duration kContactTimeout{1.0};
// A member that has not answered for this long may be replaced by a learner at another address.
inline constexpr Duration kMemberFailureTimeout{2.0};
// A learner may join only if its last message is no older than this.
inline constexpr Duration kLearnerAliveTimeout{0.6};
// Gateways are informed of a learner until this long after its last message.
inline constexpr Duration kLearnerListedTimeout{5.0};

// Proposals. A phase that takes longer is abandoned. Large changes get additional time per byte.
inline constexpr Duration kPhaseTimeout{0.25};
inline constexpr Duration kTimeoutPerByte{1e-7};
// After an abandoned proposal the proposer pauses for a random time between a third of a limit and the limit.
// The limit doubles from kMinBackoff to kMaxBackoff with each abandoned proposal.
inline constexpr Duration kMinBackoff{0.010};
inline constexpr Duration kMaxBackoff{0.160};
// A core that has just answered another proposer delays its own phase 1 for this long.
inline constexpr Duration kCompetitorDelay{0.030};
// While another proposer was active within kContentionWindow, a proposer pauses after each decided change.
inline constexpr Duration kContentionWindow{0.300};
inline constexpr Duration kContentionPause{0.006};
// An accepted change that stays undecided for this long is considered abandoned by its proposer; any acceptor
// that has it may propose it again.
inline constexpr Duration kOrphanedChangeTimeout{0.3};

// Reads. A round of queries that no majority has answered within kReadRoundTimeout is repeated.
inline constexpr Duration kReadRoundTimeout{0.1};
// A read that depends on an undecided change waits this long before its core proposes the change itself.
inline constexpr Duration kUndecidedReadTimeout{0.04};

// Catch-up. After a timeout another sender is asked, and the timeout doubles up to the maximum.
inline constexpr Duration kCatchUpTimeout{0.5};
inline constexpr Duration kMaxCatchUpTimeout{8.0};
// If a peer stays ahead for this long, its changes are not arriving here and must be requested.
inline constexpr Duration kBehindTimeout{0.05};

// Membership changes.
inline constexpr Duration kMembershipCheckInterval{0.1};
// Members propose a due change at staggered times, in order of their addresses, so that they don't compete.
inline constexpr Duration kMembershipStagger{0.25};
// A learner has caught up once its disk holds the revision that the member checking it had this long ago.
inline constexpr Duration kJoinLag{0.25};
// A membership change is decided without a joining member that has sent nothing for kJoinSilenceTimeout, or
// has not accepted the change within kJoinTimeout.
inline constexpr Duration kJoinSilenceTimeout{0.3};
inline constexpr Duration kJoinTimeout{1.0};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_TIMING_H_
