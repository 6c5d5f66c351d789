// The proposer of one core: proposal numbers, the two phases of a proposal, and the pauses that keep
// concurrent proposers from blocking each other (Lamport, "Paxos Made Simple", phases 1a and 2a). Phase 1 is
// skipped while the promise of a majority for the last number is still valid (Multi-Paxos).
//
// Replica sends the messages. No I/O; not thread-safe.
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

  // `incarnation`, that of this process, is part of every number, so that no two proposals share a number.
  explicit Proposer(uint64_t incarnation);

  // Called for every number that this core sees. Its next number will be higher.
  void OnNumberSeen(const ProposalNumber& number);
  // This core has promised or accepted another core's proposal: waits for a while before competing with it.
  void OnCompetitor(TimePoint now);

  Phase phase() const { return proposal_.phase; }
  // These describe the current proposal, or the last one if there is none.
  const ProposalNumber& number() const { return proposal_.number; }
  uint64_t revision() const { return proposal_.revision; }
  TimePoint started() const { return proposal_.started; }
  const Change& change() const { return proposal_.change; }
  bool HasAnswered(const std::string& address) const { return proposal_.answered.count(address) > 0; }

  // Requests phase 1 because an accepted change has been left undecided. Phase 1 leads to its decision, or
  // shows that it was not decided.
  void RequestRecovery() { recovery_requested_ = true; }
  bool recovery_requested() const { return recovery_requested_; }

  // Whether a proposal may begin now.
  bool MayBegin(TimePoint now) const;
  // Whether the next proposal must begin with phase 1.
  bool MustPrepare() const { return !prepared_ || recovery_requested_; }
  // When the current pause ends.
  TimePoint resume_at() const;
  // The number of abandoned proposals since the last decided one, up to a maximum.
  uint64_t abandoned() const { return abandoned_; }

  // Begins phase 1 for `revision`. Returns the message for every member.
  messages::Prepare BeginPrepare(TimePoint now, uint64_t revision);
  // Returns true once `quorum` acceptors have promised. Phase 2 is next, with the change of TakeAdopted if
  // any.
  bool OnPromise(const std::string& from, const messages::Promise& promise, size_t quorum);
  // Returns the accepted change with the highest number among the promises. It may have been decided.
  std::optional<Change> TakeAdopted();

  // Begins phase 2. Returns the message for every acceptor of the change.
  messages::Accept BeginAccept(TimePoint now, Change change);
  // Returns whether the reply belongs to the current proposal.
  bool OnAccepted(const std::string& from, const messages::Accepted& accepted);
  // A majority has accepted. Returns the message for every peer and sets `change` to the decided change.
  messages::Commit OnDecided(TimePoint now, Change* change);

  // Returns whether the reply belongs to the current proposal, which must then be abandoned.
  bool OnRejected(const messages::Rejected& rejected);
  // Abandons the proposal and pauses for a random time. Other proposers may still get it decided.
  void Abandon(TimePoint now);
  // Abandons a phase that has taken too long.
  void OnTime(TimePoint now);

  // This copy has applied everything up to `revision`.
  void OnAdvanced(uint64_t revision);
  // A new epoch begins: promises of the previous members are void.
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
  uint64_t highest_counter_ = 0;  // highest counter of any number seen
  uint64_t abandoned_ = 0;        // abandoned proposals since the last decided one
  TimePoint begin_at_;            // no proposal begins earlier
  Duration backoff_{0};
  TimePoint competitor_until_;  // no phase 1 begins earlier
  std::optional<TimePoint> competitor_seen_;
  Duration phase_timeout_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_PROPOSER_H_
