// Which change of the members of the core is due, by what one core has seen of the others. Pure.
#ifndef IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_H_
#define IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <vector>

#include "replication/durable_state.h"

namespace ivygw::replication {

// A core that doesn't vote and could.
struct Candidate {
  Member member;
  bool caught_up = false;  // its disk holds all that is decided
};

struct MemberView {
  Member member;
  double silent_for = 0;  // s since it last answered; 0 for oneself
};

// The next membership, one member replaced or added; none where nothing is due.
std::optional<Membership> NextMembership(uint64_t epoch, const std::vector<MemberView>& members,
                                         const std::vector<Candidate>& candidates, size_t voters);

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_MEMBERSHIP_H_
