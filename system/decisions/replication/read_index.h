// Linearizable reads without a log entry (the read index of Raft, section 6.4 of Ongaro's thesis, without a
// leader): a majority is asked for its revision, and a read may be served once this copy has reached the
// highest revision in the replies. If a member has accepted a change after that revision, the change may have
// been decided; the read then waits until it is known to be decided, or not to be.
//
// Owns the pending reads and the current round of queries. No I/O; not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_READ_INDEX_H_
#define IVYGW_SYSTEM_REPLICATION_READ_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/steady_time.h"
#include "messages/replication.h"

namespace ivygw::replication {

using ReadId = uint64_t;  // chosen by the caller, never reused

class ReadIndex {
 public:
  void Add(ReadId id, TimePoint deadline) { reads_[id] = PendingRead(deadline); }
  // Returns false if there is no such read.
  bool Remove(ReadId id) { return reads_.erase(id) > 0; }
  bool Contains(ReadId id) const { return reads_.count(id) > 0; }

  // Begins a round and returns the query for every member. The round determines the index of all reads that
  // were added before and don't have one yet.
  messages::ReadQuery BeginRound(TimePoint now);
  bool round_open() const { return round_.open; }
  uint64_t round_number() const { return round_.number; }
  // Ignores further replies of the round, as the membership has changed.
  void CancelRound() { round_.open = false; }
  // A member has replied to the open round. Returns true once `quorum` members have replied; the round is
  // then closed and its reads have an index.
  bool OnReply(TimePoint now, const std::string& from, uint64_t revision, bool undecided, size_t quorum);
  // The highest revision in the replies of the last round.
  uint64_t highest_revision() const { return round_.highest; }

  // The reads that a copy at `revision` may serve.
  std::vector<ReadId> Ready(uint64_t revision) const;
  bool AnyWithoutIndex() const;
  // A phase 1 that began at `prepared_at` has shown that nothing was decided after `revision`.
  void OnNothingUndecided(uint64_t revision, TimePoint prepared_at);

  struct Overdue {
    std::vector<ReadId> expired;       // past their deadline
    bool waits_for_undecided = false;  // a read has waited for an undecided change for too long
    bool waits_for_index = false;      // some read, possibly an expired one, has no index
  };
  Overdue CheckDeadlines(TimePoint now, uint64_t revision) const;
  // Whether the open round has taken too long.
  bool RoundTimedOut(TimePoint now) const;

 private:
  struct PendingRead {
    PendingRead() = default;
    explicit PendingRead(TimePoint end) : deadline(end) {}

    TimePoint deadline;
    uint64_t round = 0;             // the first round that began after the call; 0: none yet
    std::optional<uint64_t> index;  // the revision that this copy must reach
    bool undecided = false;         // the index is the revision of a change that may not be decided
    TimePoint index_known_at;
  };
  struct Round {
    uint64_t number = 0;
    TimePoint started;
    bool open = false;
    std::set<std::string> answered;
    uint64_t highest = 0;
    std::set<uint64_t> undecided_after;  // revisions of members that have accepted a later change
  };
  bool WaitsForUndecided(const PendingRead& read, uint64_t revision) const {
    return read.index && read.undecided && *read.index == revision + 1;
  }
  void CloseRound(TimePoint now);

  std::map<ReadId, PendingRead> reads_;
  Round round_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_READ_INDEX_H_
