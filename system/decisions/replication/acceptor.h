// The acceptor of one core: the highest proposal number that it has promised, and the change that it has
// accepted for the revision after the last one applied (Lamport, "Paxos Made Simple", phases 1b and 2b; one
// instance per revision, as in CASPaxos).
//
// Owns the promise and the accepted change. Replica makes both durable before it sends the reply. No I/O; not
// thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_ACCEPTOR_H_
#define IVYGW_SYSTEM_REPLICATION_ACCEPTOR_H_

#include <optional>
#include <string>

#include "base/steady_time.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

class Acceptor {
 public:
  // Restores the state loaded from disk; `revision` is the last one applied. An accepted change for any
  // revision other than the next one is dropped.
  Acceptor(const ProposalNumber& promised, std::optional<AcceptedChange> accepted, uint64_t revision);

  const ProposalNumber& promised() const { return promised_; }
  const std::optional<AcceptedChange>& accepted() const { return accepted_; }
  // When the undecided change was first accepted. Returns nullopt if there is none, or if it was loaded from
  // disk and OnTime has not been called yet.
  std::optional<TimePoint> undecided_since() const;

  // Promises to accept no proposal below this number. Returns false, and changes nothing, if the revision has
  // been applied already or a higher number has been promised.
  bool OnPrepare(const messages::Prepare& prepare, uint64_t revision);
  // Accepts the change in place of an earlier one. Returns false under the same conditions as OnPrepare.
  bool OnAccept(TimePoint now, const messages::Accept& accept, uint64_t revision);
  void OnTime(TimePoint now);
  // Discards the accepted change: its revision has been applied.
  void OnApplied();

  struct DeferredAccept {
    std::string from;  // the proposer's address
    messages::Accept accept;
  };
  // Keeps an Accept for a revision beyond the next one, in place of an earlier one, until this copy has
  // caught up.
  void Defer(const std::string& from, const messages::Accept& accept) { deferred_ = {from, accept}; }
  // Returns the deferred Accept once it is for the revision after `revision`. Drops it if it is older.
  std::optional<DeferredAccept> TakeDeferred(uint64_t revision);

 private:
  bool IsOutdated(uint64_t proposal_revision, const ProposalNumber& number, uint64_t revision) const {
    return proposal_revision <= revision || number < promised_;
  }

  ProposalNumber promised_;
  std::optional<AcceptedChange> accepted_;
  std::optional<TimePoint> accepted_since_;
  std::optional<DeferredAccept> deferred_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_ACCEPTOR_H_
