// Replica: linearizable reads, for callers and for its own use.
#include "replication/replica.h"

namespace ivygw::replication {
namespace {

// IDs of callers' reads are even, those of the replica's own reads are odd.
ReadId ReadOfTicket(uint64_t ticket) { return 2 * ticket; }
bool IsOfTicket(ReadId id) { return id % 2 == 0; }
uint64_t TicketOf(ReadId id) { return id / 2; }

}  // namespace

ReadId Replica::NextOwnReadId() { return 2 * ++own_reads_ + 1; }

void Replica::Read(TimePoint now, uint64_t ticket, Effects* out) {
  if (!HasQuorumContact(now)) {
    out->completions.push_back({ticket, Outcome::kNotDone, {}});
    return;
  }
  AddRead(now, ReadOfTicket(ticket), out);
  DeliverToSelf(now, out);
}

void Replica::AddRead(TimePoint now, ReadId id, Effects* out) {
  reads_.Add(id, now + options_.command_timeout);
  if (!reads_.round_open()) BeginReadRound(now, out);
}

void Replica::BeginReadRound(TimePoint now, Effects* out) { SendToMembers(reads_.BeginRound(now), out); }

void Replica::Handle(const Incoming& in, const messages::ReadQuery& query) {
  Send(in.from, messages::ReadReply{query.number, acceptor_.accepted().has_value()}, in.out);
}

void Replica::Handle(const Incoming& in, const messages::ReadReply& reply) {
  if (!in.from_member || reply.number != reads_.round_number()) return;
  bool closed = reads_.OnReply(in.now, in.from, in.header.revision, reply.undecided, membership_.Quorum());
  if (!closed) return;
  if (reads_.highest_revision() > revision_) {
    for (const auto& [address, peer] : peers_.all()) {
      bool has_revision = peer.connected && peer.header.revision >= reads_.highest_revision();
      if (has_revision) RequestDelta(in.now, address, in.out);
    }
  }
  EndReadyReads(in.now, in.out);
  if (reads_.AnyWithoutIndex() && !reads_.round_open()) BeginReadRound(in.now, in.out);
}

void Replica::EndReadyReads(TimePoint now, Effects* out) {
  for (ReadId id : reads_.Ready(revision_)) EndRead(now, id, Outcome::kDone, out);
}

void Replica::EndRead(TimePoint now, ReadId id, Outcome outcome, Effects* out) {
  if (!reads_.Remove(id)) return;
  if (IsOfTicket(id)) {
    out->completions.push_back({TicketOf(id), outcome, {}});
    return;
  }
  bool done = outcome == Outcome::kDone;
  if (id == initial_read_) {
    contact_.OnInitialReadEnded(done, revision_);
    if (contact_.caught_up()) Propose(now, out);
    return;
  }
  Completion completion;
  switch (commands_.OnConfirmingReadEnded(id, done, table_, &completion)) {
    case CommandQueue::Confirmation::kNone: break;
    case CommandQueue::Confirmation::kPropose: Propose(now, out); break;
    case CommandQueue::Confirmation::kRejected: out->completions.push_back(std::move(completion)); break;
  }
}

void Replica::ReadsOnTime(TimePoint now, Effects* out) {
  ReadIndex::Overdue overdue = reads_.CheckDeadlines(now, revision_);
  for (ReadId id : overdue.expired) EndRead(now, id, Outcome::kNotDone, out);
  if (overdue.waits_for_undecided && !proposer_.recovery_requested()) {
    proposer_.RequestRecovery();
    Propose(now, out);
  }
  if (overdue.waits_for_index && reads_.RoundTimedOut(now)) BeginReadRound(now, out);
}

}  // namespace ivygw::replication
