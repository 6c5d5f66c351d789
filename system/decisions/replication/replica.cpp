// Replica: sends messages and stores batches, dispatches received messages, applies decided changes to the
// table, and checks quorum contact and the membership. The other parts of the class are in
// replica_agreement.cpp, replica_reads.cpp and replica_catch_up.cpp.
#include "replication/replica.h"

#include <algorithm>

#include "replication/timing.h"

namespace ivygw::replication {

using messages::PeerBody;

namespace {

constexpr size_t kDeltaBytes = size_t{256} * 1024;  // approximate size of one part

}  // namespace

Replica::Replica(ReplicaOptions options, LoadedState loaded, CommandPolicy* policy)
    : options_(std::move(options)),
      policy_(policy),
      store_id_(loaded.state.store_id),
      membership_(std::move(loaded.state.membership)),
      revision_(loaded.state.revision),
      durable_revision_(revision_),
      acceptor_(loaded.state.promised, std::move(loaded.accepted), revision_),
      proposer_(options_.incarnation),
      commands_(options_.incarnation, policy),
      members_(options_.address, options_.voters),
      catch_up_timeout_(kCatchUpTimeout) {
  for (const Record& record : loaded.records) {
    table_.Put(record);
    policy_->OnRecord(record);
  }
  table_.ForgetPruned(revision_);
  proposer_.OnNumberSeen(acceptor_.promised());
  if (acceptor_.accepted()) proposer_.OnNumberSeen(acceptor_.accepted()->number);
}

// --- Sending and storing ---

PeerHeader Replica::Header() const {
  return {.epoch = membership_.epoch,
          .store_id = store_id_,
          .incarnation = options_.incarnation,
          .revision = revision_,
          .durable_revision = durable_revision_,
          .zone = options_.zone};
}

void Replica::Send(const std::string& to, PeerBody body, Effects* out) {
  if (to == options_.address) {
    to_self_.push_back(std::move(body));
    return;
  }
  const Peer* peer = peers_.Find(to);
  if (peer && peer->connected) out->sends.push_back({to, {Header(), std::move(body)}});
}

void Replica::SendToPeers(const PeerBody& body, Effects* out) {
  for (const auto& [address, peer] : peers_.all()) {
    if (peer.connected) out->sends.push_back({address, {Header(), body}});
  }
}

void Replica::SendToMembers(const PeerBody& body, Effects* out) {
  for (const Member& member : membership_.members) Send(member.address, body, out);
}

void Replica::DeliverToSelf(TimePoint now, Effects* out) {
  while (!to_self_.empty()) {
    PeerBody body = std::move(to_self_.front());
    to_self_.pop_front();
    Dispatch(now, options_.address, {Header(), std::move(body)}, out);
  }
}

void Replica::Store(bool sync, StoreBatch batch, AfterStore after, Effects* out) {
  batch.number = ++last_batch_;
  batch.sync = sync;
  batch.state = {.store_id = store_id_,
                 .membership = membership_,
                 .revision = revision_,
                 .promised = acceptor_.promised()};
  after_store_[batch.number] = std::move(after);
  out->stores.push_back(std::move(batch));
}

void Replica::OnStored(TimePoint now, uint64_t batch, Effects* out) {
  auto it = after_store_.find(batch);
  if (it == after_store_.end()) return;
  AfterStore after = std::move(it->second);
  after_store_.erase(it);
  if (after.durable_revision) durable_revision_ = std::max(durable_revision_, *after.durable_revision);
  for (auto& [to, body] : after.sends) Send(to, std::move(body), out);
  // A heartbeat reports the durable revision to the members, which wait for caught-up learners.
  if (after.durable_revision && !IsMember()) detector_.MakeHeartbeatDue(now);
  DeliverToSelf(now, out);
  HeartbeatOnTime(now, out);
}

// --- Messages ---

void Replica::OnConnection(TimePoint now, const std::string& address, bool connected, Effects* out) {
  if (address == options_.address) return;
  peers_.SetConnected(address, connected);
  if (!connected) {
    if (catch_up_.sender() == address) catch_up_.OnSenderLost();
    return;
  }
  // Messages sent on the previous connection may have been lost.
  detector_.MakeHeartbeatDue(now);
  bool is_acceptor =
      proposer_.phase() == Proposer::Phase::kAccepting && AcceptorsOf(proposer_.change()).count(address) > 0;
  if (is_acceptor)
    Send(address, messages::Accept{proposer_.revision(), proposer_.number(), proposer_.change()}, out);
  if (proposer_.phase() == Proposer::Phase::kPreparing)
    Send(address, messages::Prepare{proposer_.revision(), proposer_.number()}, out);
  OnTime(now, out);
}

void Replica::OnMessage(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out) {
  peers_.OnMessage(now, from, message.header, revision_);
  if (CheckEpoch(now, from, message, out)) Dispatch(now, from, message, out);
  DeliverToSelf(now, out);
}

// Returns whether to process the message: it is of this epoch, or of a type that is valid in any epoch.
bool Replica::CheckEpoch(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out) {
  const PeerBody& body = message.body;
  bool any_epoch =
      std::holds_alternative<messages::DeltaRequest>(body) || std::holds_alternative<messages::Delta>(body) ||
      std::holds_alternative<messages::Commit>(body) || std::holds_alternative<messages::EpochNotice>(body);
  if (any_epoch || message.header.epoch == membership_.epoch) return true;
  if (message.header.epoch > membership_.epoch) {
    RequestDelta(now, from, out);
  } else {
    Send(from, messages::EpochNotice{membership_}, out);
  }
  return false;
}

void Replica::Dispatch(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out) {
  bool from_member = membership_.Contains(from, message.header.store_id);
  Incoming in{now, from, message.header, from_member, out};
  std::visit([&](const auto& body) { Handle(in, body); }, message.body);
}

void Replica::Handle(const Incoming& in, const messages::DeltaRequest& request) {
  messages::Delta delta = table_.DeltaFor(request, revision_, kDeltaBytes);
  delta.membership = membership_;
  Send(in.from, std::move(delta), in.out);
}

void Replica::Handle(const Incoming& in, const messages::Heartbeat& heartbeat) {
  Send(in.from, messages::HeartbeatReply{heartbeat.number}, in.out);
}

void Replica::Handle(const Incoming& in, const messages::HeartbeatReply& reply) {
  if (in.from_member) detector_.OnHeartbeatReply(in.from, reply);
}

void Replica::Handle(const Incoming& in, const messages::EpochNotice& notice) {
  if (notice.membership.epoch > membership_.epoch) RequestDelta(in.now, in.from, in.out);
}

// --- The table ---

void Replica::Apply(TimePoint now, const Change& change, Effects* out) {
  StoreBatch batch;
  batch.records = change.records;
  batch.erased = change.pruned;
  batch.accepted_changed = acceptor_.accepted().has_value();
  for (const Record& record : change.records) {
    table_.Put(record);
    policy_->OnRecord(record);
    out->changed.push_back(record.item.key);
  }
  for (const std::string& key : change.pruned) {
    table_.Erase(key, change.revision);
    policy_->OnErased(key);
    out->changed.push_back(key);
  }
  revision_ = change.revision;
  acceptor_.OnApplied();
  if (change.membership) BeginEpoch(*change.membership, out);
  // Members have the change on disk as accepted, so no sync is needed. A learner syncs it, to report it to
  // the members as durable.
  bool sync = !IsMember();
  AfterStore after;
  if (sync) after.durable_revision = revision_;
  Store(sync, std::move(batch), std::move(after), out);
  Complete(commands_.OnDecided(change), out);
  AfterAdvance(now, out);
}

// Adopts the membership of a new epoch. Promises and read replies of the previous members become void.
void Replica::BeginEpoch(const Membership& membership, Effects* out) {
  membership_ = membership;
  out->membership_changed = true;
  proposer_.OnEpochBegins();
  reads_.CancelRound();
}

// Called after this copy has reached a later revision.
void Replica::AfterAdvance(TimePoint now, Effects* out) {
  proposer_.OnAdvanced(revision_);
  peers_.OnAdvanced(revision_);
  if (std::optional<Acceptor::DeferredAccept> deferred = acceptor_.TakeDeferred(revision_))
    Accept(now, deferred->from, deferred->accept, out);
  EndReadyReads(now, out);
  Propose(now, out);
}

// --- Contact and members ---

void Replica::HeartbeatOnTime(TimePoint now, Effects* out) {
  if (detector_.HeartbeatDue(now)) SendToPeers(detector_.BeginHeartbeat(now), out);
}

bool Replica::QuorumIsAlive(TimePoint now) const {
  return detector_.QuorumIsAlive(now, membership_, options_.address, store_id_, peers_);
}

// An accepted change that has stayed undecided for long may have been decided elsewhere, so this copy may be
// outdated.
bool Replica::HasQuorumContact(TimePoint now) const {
  std::optional<TimePoint> undecided_since = acceptor_.undecided_since();
  bool undecided = undecided_since && now > *undecided_since + kContactTimeout;
  return contact_.caught_up() && !undecided && QuorumIsAlive(now);
}

// A core that regains contact first catches up, by a linearizable read, and serves calls after that.
void Replica::ContactOnTime(TimePoint now, Effects* out) {
  if (!QuorumIsAlive(now)) {
    contact_.OnQuorumLost();
    reads_.Remove(initial_read_);
    return;
  }
  contact_.OnQuorum(now);
  if (contact_.caught_up() || reads_.Contains(initial_read_)) return;
  initial_read_ = NextOwnReadId();
  AddRead(now, initial_read_, out);
}

std::vector<std::string> Replica::Learners(TimePoint now) const {
  std::vector<std::string> learners;
  for (const auto& [address, peer] : peers_.all()) {
    bool recent = peer.last_message && now < *peer.last_message + kLearnerListedTimeout;
    if (recent && !membership_.Contains(address, peer.header.store_id)) learners.push_back(address);
  }
  return learners;
}

void Replica::MembershipOnTime(TimePoint now, Effects* out) {
  if (!IsMember() || !HasQuorumContact(now)) return members_.OnNotServing();
  if (!members_.CheckDue(now)) return;
  MembershipManager::View view{membership_, revision_, store_id_, peers_, detector_, contact_};
  std::optional<Membership> next = members_.Check(now, view, commands_.HasMembershipChange());
  if (!next) return;
  commands_.AddMembershipChange(std::move(*next), now + options_.command_timeout);
  Propose(now, out);
}

// --- Time ---

std::optional<TimePoint> Replica::WakeAt() const {
  bool paused =
      proposer_.phase() == Proposer::Phase::kIdle && (proposer_.recovery_requested() || !commands_.empty());
  return paused ? std::optional<TimePoint>(proposer_.resume_at()) : std::nullopt;
}

void Replica::OnTime(TimePoint now, Effects* out) {
  ContactOnTime(now, out);
  HeartbeatOnTime(now, out);
  CatchUpOnTime(now, out);
  Complete(commands_.Expire(now), out);
  ProposalOnTime(now, out);
  ReadsOnTime(now, out);
  MembershipOnTime(now, out);
  DeliverToSelf(now, out);
}

}  // namespace ivygw::replication
