#include "replication/membership_manager.h"

#include <algorithm>

#include "replication/timing.h"

namespace ivygw::replication {
namespace {

// Returns the caught-up candidate whose zone has the fewest remaining members, or null. Ties are broken by
// order, that is, by address.
const Candidate* BestCandidate(const std::vector<Candidate>& candidates, const std::vector<Member>& staying) {
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

Membership NextEpoch(uint64_t epoch, std::vector<Member> members) {
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

// A machine that has returned with an empty disk replaces its former self.
std::optional<Membership> ReplaceWipedMember(uint64_t epoch, const std::vector<MemberView>& members,
                                             const std::vector<Candidate>& candidates) {
  for (size_t i = 0; i < members.size(); ++i) {
    for (const Candidate& candidate : candidates) {
      if (!candidate.caught_up || candidate.member.address != members[i].member.address) continue;
      std::vector<Member> next = Without(members, i);
      next.push_back(candidate.member);
      return NextEpoch(epoch, std::move(next));
    }
  }
  return std::nullopt;
}

std::optional<Membership> ReplaceFailedMember(uint64_t epoch, const std::vector<MemberView>& members,
                                              const std::vector<Candidate>& candidates) {
  for (size_t i = 0; i < members.size(); ++i) {
    if (members[i].silent_for < kMemberFailureTimeout) continue;
    std::vector<Member> next = Without(members, i);
    const Candidate* successor = BestCandidate(candidates, next);
    if (!successor) continue;
    next.push_back(successor->member);
    return NextEpoch(epoch, std::move(next));
  }
  return std::nullopt;
}

}  // namespace

std::optional<Membership> NextMembership(uint64_t epoch, const std::vector<MemberView>& members,
                                         const std::vector<Candidate>& candidates, size_t voters) {
  if (auto next = ReplaceWipedMember(epoch, members, candidates)) return next;
  if (auto next = ReplaceFailedMember(epoch, members, candidates)) return next;
  // A single member stays single: with two members the loss of either would stop the system.
  if (members.size() < 2 || members.size() >= voters) return std::nullopt;
  std::vector<Member> next = Without(members, members.size());
  const Candidate* added = BestCandidate(candidates, next);
  if (!added) return std::nullopt;
  next.push_back(added->member);
  return NextEpoch(epoch, std::move(next));
}

std::optional<Membership> MembershipManager::Check(TimePoint now, const View& view, bool change_pending) {
  check_due_ = now + kMembershipCheckInterval;
  uint64_t join_revision = JoinRevision(now, view);
  if (change_pending) return std::nullopt;
  std::optional<Membership> next = DueChange(now, view, join_revision);
  if (!next) {
    due_since_.reset();
    return std::nullopt;
  }
  if (!due_since_) due_since_ = now;
  size_t rank = 0;
  for (const auto& [address, peer] : view.peers.all()) {
    bool alive =
        view.membership.Contains(address, peer.header.store_id) && view.detector.IsAlive(now, address);
    if (alive && address < address_) ++rank;
  }
  if (now < *due_since_ + kMembershipStagger * static_cast<double>(rank)) return std::nullopt;
  return next;
}

// The revision that a learner's disk must hold to join: that of this copy kJoinLag ago, which a learner
// reaches under any load unless its disk hangs.
uint64_t MembershipManager::JoinRevision(TimePoint now, const View& view) {
  revisions_.push_back({now, view.revision});
  while (revisions_.size() > 1 && revisions_[1].first <= now - kJoinLag) revisions_.pop_front();
  // Revisions from before this copy had caught up are too old.
  return std::max(revisions_.front().second, view.contact.caught_up_revision());
}

std::optional<Membership> MembershipManager::DueChange(TimePoint now, const View& view,
                                                       uint64_t join_revision) const {
  std::vector<MemberView> members;
  for (const Member& member : view.membership.members) {
    // A member that has not answered since this core regained contact counts as silent from then on.
    TimePoint contact_since = view.contact.since().value_or(now);
    TimePoint contact = view.detector.last_contact(member.address).value_or(contact_since);
    bool self = IsSelf(member, view.store_id);
    members.push_back({member, self ? Duration(0) : now - std::max(contact, contact_since)});
  }
  std::vector<Candidate> candidates;
  for (const auto& [address, peer] : view.peers.all()) {
    bool alive = peer.connected && peer.last_message && now < *peer.last_message + kLearnerAliveTimeout &&
                 peer.header.store_id != 0;
    if (!alive || view.membership.Contains(address, peer.header.store_id)) continue;
    bool caught_up =
        peer.header.epoch == view.membership.epoch && peer.header.durable_revision >= join_revision;
    candidates.push_back({{address, peer.header.store_id, peer.header.zone}, caught_up});
  }
  return NextMembership(view.membership.epoch, members, candidates, voters_);
}

void MembershipManager::OnProposed(TimePoint now, uint64_t revision) {
  if (revision <= proposed_revision_) return;
  proposed_revision_ = revision;
  proposed_at_ = now;
}

bool MembershipManager::MayDecideWithout(TimePoint now, const Member& joining, const PeerTable& peers) const {
  if (now >= proposed_at_ + kJoinTimeout) return true;
  if (joining.address == address_) return false;
  const Peer* peer = peers.Find(joining.address);
  if (!peer) return true;
  TimePoint last_message = std::max(peer->last_message.value_or(proposed_at_), proposed_at_);
  return now >= last_message + kJoinSilenceTimeout;
}

}  // namespace ivygw::replication
