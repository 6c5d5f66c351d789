// Gathers the parts of what a copy has missed, from one sender or several in turn, until they make up one
// revision. Pure.
#ifndef IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_
#define IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_

#include <map>
#include <string>

#include "messages/replication.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

class CatchUp {
 public:
  bool Active() const { return active_; }
  const std::string& sender() const { return sender_; }
  // When the outstanding request was sent.
  double asked_at() const { return asked_at_; }

  // Asks `sender` to go on, or to begin for a copy at `revision`.
  messages::DeltaRequest Ask(double now, const std::string& sender, uint64_t revision);
  enum class Step {
    kIgnored,   // not what was asked for
    kAskOn,     // more is to come from this sender
    kComplete,  // what was gathered makes up revision `end`
  };
  Step OnDelta(const std::string& from, const messages::Delta& delta);
  // The connection to the sender has ended: another may go on.
  void OnSenderLost() { sender_.clear(); }
  void Finish() { *this = CatchUp(); }

  // Of kComplete.
  uint64_t end() const { return end_; }
  bool reset() const { return reset_; }
  const Membership& membership() const { return membership_; }
  const std::map<std::string, Record>& records() const { return records_; }
  const std::map<std::string, uint64_t>& pruned() const { return pruned_; }

 private:
  void Gather(const Record& record);
  void GatherPruned(const messages::PrunedKey& pruned);

  bool active_ = false, reset_ = false;
  std::string sender_;
  double asked_at_ = 0;
  uint64_t cursor_ = 0;        // all changes up to here have been gathered
  uint64_t pruned_known_ = 0;  // ends of tombstones up to here don't matter
  uint64_t end_ = 0, furthest_end_ = 0;
  Membership membership_;
  std::map<std::string, Record> records_;
  std::map<std::string, uint64_t> pruned_;  // key, revision
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_CATCH_UP_H_
