#include "replication/failure_detector.h"

#include <algorithm>

#include "replication/timing.h"

namespace ivygw::replication {
namespace {

constexpr Duration kHeartbeatRetention{5};  // replies to older heartbeats are ignored

}  // namespace

messages::Heartbeat FailureDetector::BeginHeartbeat(TimePoint now) {
  heartbeat_due_ = now + kHeartbeatInterval;
  sent_at_[++last_heartbeat_] = now;
  while (!sent_at_.empty() && sent_at_.begin()->second < now - kHeartbeatRetention) {
    sent_at_.erase(sent_at_.begin());
  }
  return {last_heartbeat_};
}

void FailureDetector::OnHeartbeatReply(const std::string& from, const messages::HeartbeatReply& reply) {
  auto sent = sent_at_.find(reply.number);
  if (sent == sent_at_.end()) return;
  auto [contact, added] = last_contact_.try_emplace(from, sent->second);
  if (!added) contact->second = std::max(contact->second, sent->second);
}

std::optional<TimePoint> FailureDetector::last_contact(const std::string& address) const {
  auto it = last_contact_.find(address);
  return it == last_contact_.end() ? std::nullopt : std::optional<TimePoint>(it->second);
}

bool FailureDetector::IsAlive(TimePoint now, const std::string& address) const {
  std::optional<TimePoint> contact = last_contact(address);
  return contact && now < *contact + kContactTimeout;
}

size_t FailureDetector::MembersAlive(TimePoint now, const Membership& membership,
                                     const std::string& self_address, uint64_t self_store_id,
                                     const PeerTable& peers) const {
  auto alive = std::count_if(membership.members.begin(), membership.members.end(), [&](const Member& member) {
    bool self = member.address == self_address && member.store_id == self_store_id;
    return self || (peers.RunsStoreOf(member) && IsAlive(now, member.address));
  });
  return static_cast<size_t>(alive);
}

bool FailureDetector::QuorumIsAlive(TimePoint now, const Membership& membership,
                                    const std::string& self_address, uint64_t self_store_id,
                                    const PeerTable& peers) const {
  if (membership.epoch == 0) return false;
  return MembersAlive(now, membership, self_address, self_store_id, peers) >= membership.Quorum();
}

}  // namespace ivygw::replication
