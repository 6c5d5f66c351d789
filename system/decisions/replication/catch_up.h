// Catch-up of a copy that has missed changes (anti-entropy by revision): collects the parts of a delta, from
// one sender or several in turn, until they complete one revision of the table. No I/O; not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_
#define IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_

#include <map>
#include <string>

#include "base/steady_time.h"
#include "messages/replication.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

class CatchUp {
 public:
  bool Active() const { return active_; }
  // The core whose reply is awaited; empty if the connection to it has ended.
  const std::string& sender() const { return sender_; }
  // Whether the outstanding request was sent `timeout` ago or longer without a reply.
  bool TimedOut(TimePoint now, Duration timeout) const {
    return active_ && !sender_.empty() && now >= requested_at_ + timeout;
  }
  // Whether a request is outstanding and has not timed out.
  bool AwaitsReply(TimePoint now, Duration timeout) const {
    return active_ && !sender_.empty() && now < requested_at_ + timeout;
  }

  // Returns the request for `sender` that continues the catch-up, or begins one for a copy at `revision`.
  messages::DeltaRequest Request(TimePoint now, const std::string& sender, uint64_t revision);
  enum class Step {
    kIgnored,      // not what was requested
    kRequestNext,  // this sender has more parts
    kComplete,     // the collected parts complete revision `end`
  };
  Step OnDelta(const std::string& from, const messages::Delta& delta);
  // The connection to the sender has ended. The next request may go to another core.
  void OnSenderLost() { sender_.clear(); }
  void Finish() { *this = CatchUp(); }

  // Valid after kComplete.
  uint64_t end() const { return end_; }
  // The collected records replace the whole table instead of being merged into it.
  bool reset() const { return reset_; }
  const Membership& membership() const { return membership_; }
  const std::map<std::string, Record>& records() const { return records_; }
  const std::map<std::string, uint64_t>& pruned() const { return pruned_; }

 private:
  void AddRecord(const Record& record);
  void AddPruned(const messages::PrunedKey& pruned);

  bool active_ = false, reset_ = false;
  std::string sender_;
  TimePoint requested_at_;
  uint64_t cursor_ = 0;        // all changes up to this revision have been collected
  uint64_t pruned_known_ = 0;  // tombstone removals up to this revision are known
  uint64_t end_ = 0, furthest_end_ = 0;
  Membership membership_;
  std::map<std::string, Record> records_;
  std::map<std::string, uint64_t> pruned_;  // revision of the removal by key
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_
