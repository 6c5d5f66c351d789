// Replica: agreement on one change per revision, with this core as acceptor and as proposer.
#include <algorithm>

#include "replication/replica.h"
#include "replication/timing.h"

namespace ivygw::replication {

// --- Acceptor ---

// Makes this core's proposer pause after a proposal of another core, because two concurrent proposals would
// block each other.
void Replica::OnCompetitor(TimePoint now, const std::string& proposer) {
  if (proposer != options_.address) proposer_.OnCompetitor(now);
}

void Replica::Handle(const Incoming& in, const messages::Prepare& prepare) {
  proposer_.OnNumberSeen(prepare.number);
  if (!IsMember()) return;
  if (prepare.revision > revision_ + 1) return RequestDelta(in.now, in.from, in.out);
  if (!acceptor_.OnPrepare(prepare, revision_))
    return Send(in.from, messages::Rejected{prepare.revision, prepare.number, acceptor_.promised()}, in.out);
  OnCompetitor(in.now, in.from);
  AfterStore after;
  after.sends.push_back({in.from, messages::Promise{prepare.revision, prepare.number, acceptor_.accepted()}});
  Store(true, {}, std::move(after), in.out);
}

// A core that joins by a membership change accepts that change, too.
bool Replica::MayAccept(const Change& change) const {
  return IsMember() || (change.membership && change.membership->Contains(options_.address, store_id_));
}

void Replica::Handle(const Incoming& in, const messages::Accept& accept) {
  Accept(in.now, in.from, accept, in.out);
}

void Replica::Accept(TimePoint now, const std::string& from, const messages::Accept& accept, Effects* out) {
  proposer_.OnNumberSeen(accept.number);
  if (!MayAccept(accept.change)) return;
  if (accept.revision > revision_ + 1) {
    acceptor_.Defer(from, accept);
    return RequestDelta(now, from, out);
  }
  if (!acceptor_.OnAccept(now, accept, revision_))
    return Send(from, messages::Rejected{accept.revision, accept.number, acceptor_.promised()}, out);
  OnCompetitor(now, from);
  StoreBatch batch;
  batch.accepted_changed = true;
  batch.accepted = acceptor_.accepted();
  AfterStore after;
  after.durable_revision = revision_;
  after.sends.push_back({from, messages::Accepted{accept.revision, accept.number}});
  Store(true, std::move(batch), std::move(after), out);
}

void Replica::Handle(const Incoming& in, const messages::Commit& commit) {
  if (commit.revision <= revision_) return;
  const std::optional<AcceptedChange>& accepted = acceptor_.accepted();
  bool has_change =
      accepted && accepted->change.revision == commit.revision && accepted->number == commit.number;
  if (!has_change) return RequestDelta(in.now, in.from, in.out);
  Change change = accepted->change;
  Apply(in.now, change, in.out);
}

// --- Proposer ---

void Replica::Write(TimePoint now, uint64_t ticket, std::vector<Item> items, Effects* out) {
  if (!HasQuorumContact(now)) {
    out->completions.push_back({ticket, Outcome::kNotDone, {}});
    return;
  }
  Duration for_size = kTimeoutPerByte * static_cast<double>(BytesOf(items));
  commands_.AddWrite(ticket, std::move(items), now + options_.command_timeout + for_size);
  Propose(now, out);
  DeliverToSelf(now, out);
}

void Replica::Prune(TimePoint now, const std::vector<Item>& tombstones, Effects* out) {
  commands_.AddPrune(tombstones, now + options_.command_timeout);
  Propose(now, out);
  DeliverToSelf(now, out);
}

void Replica::Propose(TimePoint now, Effects* out) {
  bool recovers = proposer_.recovery_requested();
  bool due = recovers || commands_.AnyToPropose();
  // Recovery of undecided changes is part of catching up, so it needs only a quorum that is alive.
  bool allowed = recovers ? QuorumIsAlive(now) : HasQuorumContact(now);
  if (!due || !allowed || !proposer_.MayBegin(now)) return;
  if (!proposer_.MustPrepare()) return ProposeNextChange(now, out);
  SendToMembers(proposer_.BeginPrepare(now, revision_ + 1), out);
}

void Replica::ProposeNextChange(TimePoint now, Effects* out) {
  CommandQueue::NextChange next = commands_.BuildChange(table_, revision_, membership_.epoch);
  Complete(std::move(next.completions), out);
  // A rejection is reported only after a read has confirmed that this copy is up to date.
  for (const CommandId& rejected : next.to_confirm) {
    ReadId read = NextOwnReadId();
    commands_.BeginConfirmation(rejected, read);
    AddRead(now, read, out);
  }
  if (next.change) BeginAccept(now, std::move(*next.change), out);
}

void Replica::Handle(const Incoming& in, const messages::Promise& promise) {
  if (!in.from_member || !proposer_.OnPromise(in.from, promise, membership_.Quorum())) return;
  // A change that may have been decided must be proposed again before any other.
  if (std::optional<Change> adopted = proposer_.TakeAdopted())
    return BeginAccept(in.now, std::move(*adopted), in.out);
  reads_.OnNothingUndecided(revision_, proposer_.started());
  EndReadyReads(in.now, in.out);
  ProposeNextChange(in.now, in.out);
}

std::set<std::string> Replica::AcceptorsOf(const Change& change) const {
  std::set<std::string> acceptors;
  for (const Member& member : membership_.members) acceptors.insert(member.address);
  if (!change.membership) return acceptors;
  for (const Member& member : change.membership->members) acceptors.insert(member.address);
  return acceptors;
}

void Replica::BeginAccept(TimePoint now, Change change, Effects* out) {
  commands_.OnProposed(change);
  if (change.membership) members_.OnProposed(now, change.revision);
  messages::Accept accept = proposer_.BeginAccept(now, std::move(change));
  for (const std::string& address : AcceptorsOf(accept.change)) Send(address, accept, out);
}

void Replica::Handle(const Incoming& in, const messages::Accepted& accepted) {
  if (proposer_.OnAccepted(in.from, accepted)) DecideIfAccepted(in.now, in.out);
}

bool Replica::HasAccepted(const Member& member) const {
  if (!proposer_.HasAnswered(member.address)) return false;
  if (member.address == options_.address) return member.store_id == store_id_;
  return peers_.RunsStoreOf(member);
}

bool Replica::MajorityAccepted(const Membership& membership) const {
  auto count = std::count_if(membership.members.begin(), membership.members.end(),
                             [&](const Member& member) { return HasAccepted(member); });
  return static_cast<size_t>(count) >= membership.Quorum();
}

// Decides the current proposal once a majority has accepted it. A membership change needs a majority of both
// the current and the next membership, and each joining member unless MayDecideWithout exempts it.
void Replica::DecideIfAccepted(TimePoint now, Effects* out) {
  if (!MajorityAccepted(membership_)) return;
  if (const std::optional<Membership>& next = proposer_.change().membership) {
    bool joined = std::all_of(next->members.begin(), next->members.end(), [&](const Member& member) {
      return membership_.Contains(member.address, member.store_id) || HasAccepted(member) ||
             members_.MayDecideWithout(now, member, peers_);
    });
    if (!MajorityAccepted(*next) || !joined) return;
  }
  Change change;
  SendToPeers(proposer_.OnDecided(now, &change), out);
  Apply(now, change, out);
}

void Replica::Handle(const Incoming& in, const messages::Rejected& rejected) {
  if (!proposer_.OnRejected(rejected)) return;
  const Peer* peer = peers_.Find(in.from);
  bool behind = in.from != options_.address && peer && peer->header.revision >= proposer_.revision();
  if (behind) RequestDelta(in.now, in.from, in.out);
  proposer_.Abandon(in.now);
}

void Replica::ProposalOnTime(TimePoint now, Effects* out) {
  bool changes_membership =
      proposer_.phase() == Proposer::Phase::kAccepting && proposer_.change().membership.has_value();
  if (changes_membership) DecideIfAccepted(now, out);
  proposer_.OnTime(now);
  acceptor_.OnTime(now);
  std::optional<TimePoint> undecided_since = acceptor_.undecided_since();
  bool orphaned = undecided_since && proposer_.phase() == Proposer::Phase::kIdle &&
                  now >= *undecided_since + kOrphanedChangeTimeout;
  if (orphaned) proposer_.RequestRecovery();
  Propose(now, out);
}

void Replica::Complete(std::vector<Completion> completions, Effects* out) {
  for (Completion& completion : completions) out->completions.push_back(std::move(completion));
}

}  // namespace ivygw::replication
