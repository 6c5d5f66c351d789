// The proposer of one core: proposal numbers, the two phases of a proposal, and the pauses by which several
// proposers keep out of each other's way (Lamport, "Paxos Made Simple", phases 1a and 2a). Phase 1 is skipped
// while the last number that a majority has promised still holds (Multi-Paxos).
//
// Decides what is proposed when; Replica sends it. Pure; one thread.
#ifndef IVYGW_SYSTEM_REPLICATION_PROPOSER_H_
#define IVYGW_SYSTEM_REPLICATION_PROPOSER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/steady_time.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

class Proposer {
 public:
  enum class Phase { kIdle, kPreparing, kAccepting };

  // `incarnation` of this process is part of every number, so that no two proposals share one.
  explicit Proposer(uint64_t incarnation);

  // Any number that this core meets; the next one is above it.
  void OnNumberSeen(const ProposalNumber& number);
  // Another core's proposal has been promised or accepted here: it gets a while to be decided.
  void OnCompetitor(TimePoint now);

  Phase phase() const { return proposal_.phase; }
  // Of the proposal that is under way, or was last.
  const ProposalNumber& number() const { return proposal_.number; }
  uint64_t revision() const { return proposal_.revision; }
  TimePoint started() const { return proposal_.started; }
  const Change& change() const { return proposal_.change; }
  bool HasAnswered(const std::string& address) const { return proposal_.answered.count(address) > 0; }

  // An undecided change was left behind: phase 1 is due, to decide it or to show that it wasn't decided.
  void RequestRecovery() { recovery_requested_ = true; }
  bool recovery_requested() const { return recovery_requested_; }

  // Whether a proposal may begin now, and whether it must begin with phase 1.
  bool MayBegin(TimePoint now) const;
  bool MustPrepare() const { return !prepared_ || recovery_requested_; }
  // When MayBegin will hold, as far as pauses decide it.
  TimePoint resume_at() const;
  // Proposals in a row that came to nothing, since one was decided; counted up to a bound.
  uint64_t abandoned() const { return abandoned_; }

  // Phase 1 for `revision`. The message goes to every member.
  messages::Prepare BeginPrepare(TimePoint now, uint64_t revision);
  // Returns true once `quorum` acceptors have promised: phase 2 is next, with TakeAdopted's change if any.
  bool OnPromise(const std::string& from, const messages::Promise& promise, size_t quorum);
  // The accepted change with the highest number that a promise has told of. It may have been decided.
  std::optional<Change> TakeAdopted();

  // Phase 2. The message goes to every acceptor of the change.
  messages::Accept BeginAccept(TimePoint now, Change change);
  // Returns whether the answer belongs to this proposal.
  bool OnAccepted(const std::string& from, const messages::Accepted& accepted);
  // A majority has accepted. The message goes to every peer; `change` is to be applied here.
  messages::Commit OnDecided(TimePoint now, Change* change);

  // Returns whether the answer belongs to this proposal, which then has to be abandoned.
  bool OnRejected(const messages::Rejected& rejected);
  // Gives the proposal up for a random pause. It may still be decided by whoever finds it accepted.
  void Abandon(TimePoint now);
  // Abandons a phase that has taken too long.
  void OnTime(TimePoint now);

  // This copy has applied everything up to `revision`.
  void OnAdvanced(uint64_t revision);
  // Promises of the members before count no longer.
  void OnEpochBegins() { prepared_ = false; }

 private:
  struct Proposal {
    Phase phase = Phase::kIdle;
    ProposalNumber number;
    uint64_t revision = 0;
    TimePoint started;
    Duration timeout{0};
    std::set<std::string> answered;  // addresses that have promised or accepted
    std::optional<AcceptedChange> adopted;
    Change change;
  };

  const uint64_t incarnation_;
  std::mt19937_64 random_;
  Proposal proposal_;
  bool prepared_ = false;  // a majority of this epoch has promised number()
  bool recovery_requested_ = false;
  uint64_t highest_counter_ = 0;  // of any number seen
  uint64_t abandoned_ = 0;        // proposals in a row, since one was decided
  TimePoint begin_at_;            // no proposal begins before
  Duration backoff_{0};
  TimePoint competitor_until_;  // no phase 1 begins before
  std::optional<TimePoint> competitor_seen_;
  Duration phase_timeout_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_PROPOSER_H_
