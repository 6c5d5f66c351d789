#include "replication/membership.h"

#include <algorithm>

#include "replication/timing.h"

namespace ivygw::replication {
namespace {

// Of the learners that could be a member, the one whose zone holds fewest of the members that stay; then by
// address.
const Candidate* Best(const std::vector<Candidate>& candidates, const std::vector<Member>& staying) {
  auto in_zone = [&](const std::string& zone) {
    return std::count_if(staying.begin(), staying.end(),
                         [&](const Member& member) { return member.zone == zone; });
  };
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (!candidate.caught_up) continue;
    bool address_taken = std::any_of(staying.begin(), staying.end(), [&](const Member& member) {
      return member.address == candidate.member.address;
    });
    if (address_taken) continue;
    if (!best || in_zone(candidate.member.zone) < in_zone(best->member.zone)) best = &candidate;
  }
  return best;
}

Membership Make(uint64_t epoch, std::vector<Member> members) {
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  return {epoch + 1, std::move(members)};
}

std::vector<Member> Without(const std::vector<MemberView>& members, size_t left_out) {
  std::vector<Member> staying;
  for (size_t i = 0; i < members.size(); ++i) {
    if (i != left_out) staying.push_back(members[i].member);
  }
  return staying;
}

}  // namespace

std::optional<Membership> NextMembership(uint64_t epoch, const std::vector<MemberView>& members,
                                         const std::vector<Candidate>& candidates, size_t voters) {
  // A machine that is back without its disk takes its own place.
  for (size_t i = 0; i < members.size(); ++i) {
    for (const Candidate& candidate : candidates) {
      if (!candidate.caught_up || candidate.member.address != members[i].member.address) continue;
      std::vector<Member> next = Without(members, i);
      next.push_back(candidate.member);
      return Make(epoch, std::move(next));
    }
  }
  for (size_t i = 0; i < members.size(); ++i) {
    if (members[i].silent_for < kGoneAfter) continue;
    std::vector<Member> next = Without(members, i);
    const Candidate* successor = Best(candidates, next);
    if (!successor) continue;
    next.push_back(successor->member);
    return Make(epoch, std::move(next));
  }
  // A core of one is meant to be one: two would be stopped by the loss of either.
  if (members.size() < 2 || members.size() >= voters) return std::nullopt;
  std::vector<Member> next = Without(members, members.size());
  const Candidate* added = Best(candidates, next);
  if (!added) return std::nullopt;
  next.push_back(added->member);
  return Make(epoch, std::move(next));
}

}  // namespace ivygw::replication
