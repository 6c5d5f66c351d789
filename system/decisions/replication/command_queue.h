// The pending commands of one core: writes of callers, removals of tombstones and membership changes. Builds
// the next change from them and reports the outcome of each.
//
// Each command with a ticket ends exactly once, by a Completion that one of these calls returns. No I/O; not
// thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_COMMAND_QUEUE_H_
#define IVYGW_SYSTEM_REPLICATION_COMMAND_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/steady_time.h"
#include "replication/command_policy.h"
#include "replication/durable_state.h"
#include "replication/effects.h"
#include "replication/read_index.h"

namespace ivygw::replication {

class CommandQueue {
 public:
  // `incarnation`, that of this process, makes the command IDs unique. `policy` must outlive the queue.
  CommandQueue(uint64_t incarnation, const CommandPolicy* policy)
      : incarnation_(incarnation), policy_(*policy) {}

  void AddWrite(uint64_t ticket, std::vector<Item> items, TimePoint deadline);
  void AddPrune(std::vector<Item> tombstones, TimePoint deadline);
  void AddMembershipChange(Membership next, TimePoint deadline);

  bool empty() const { return commands_.empty(); }
  // Whether any command is ready to be proposed, that is, not waiting for a confirming read.
  bool AnyToPropose() const;
  bool HasMembershipChange() const;

  struct NextChange {
    std::optional<Change> change;         // none if no pending command changes the table
    std::vector<Completion> completions;  // of commands that ended without a change
    // Commands that the policy rejects. The table may be outdated, so each stays pending until a linearizable
    // read has confirmed the rejection; see BeginConfirmation and OnConfirmingReadEnded.
    std::vector<CommandId> to_confirm;
  };
  // Builds the next change from the pending commands. `table` is at `revision` of `epoch`.
  NextChange BuildChange(const Table& table, uint64_t revision, uint64_t epoch);
  // The rejection of `command` awaits the result of `read`.
  void BeginConfirmation(const CommandId& command, ReadId read);
  enum class Confirmation {
    kNone,      // no command awaits that read, or the read failed: the command is retried later
    kPropose,   // the command is no longer rejected by the newer table
    kRejected,  // the command has ended; `completion` is set
  };
  Confirmation OnConfirmingReadEnded(ReadId read, bool done, const Table& table, Completion* completion);

  // The change has been proposed. From now on, any proposer that finds it accepted may get it decided.
  void OnProposed(const Change& change);
  // The change has been decided and applied. Completes its commands. Others that were proposed for the same
  // revision were not done.
  std::vector<Completion> OnDecided(const Change& change);
  // This copy has caught up past the revision of a proposal. Completes the commands that the table shows as
  // done.
  std::vector<Completion> OnCaughtUp(const Table& table);
  // Ends the commands whose deadline has passed.
  std::vector<Completion> Expire(TimePoint now);

 private:
  struct Command {
    CommandId id;
    uint64_t ticket = 0;  // 0: no caller awaits a completion (tombstone removals, membership changes)
    std::vector<Item> items;
    std::vector<Item> prunes;
    std::optional<Membership> membership;
    TimePoint deadline;
    bool maybe_decided = false;  // part of a proposal that may still be decided
    ReadId confirming_read = 0;  // 0: not awaiting a read
  };
  // What BuildChange does with a command. A command that is part of the change, or is left for a later one,
  // stays pending.
  enum class Disposition { kPending, kEnded };

  Command& Add(TimePoint deadline);
  Disposition AddTo(NextChange* next, TableOverlay* overlay, uint64_t epoch, Command* command) const;
  Disposition AddMembership(Change* change, uint64_t epoch, const Command& command) const;
  Disposition AddPrunes(Change* change, const TableOverlay& overlay, const Command& command) const;
  Disposition AddItems(NextChange* next, TableOverlay* overlay, const Command& command) const;
  void ClearMaybeDecided();
  // Appends the completion of the command, unless it has no ticket.
  static void End(const Command& command, Outcome outcome, Rejection rejection, std::vector<Completion>* out);

  const uint64_t incarnation_;
  const CommandPolicy& policy_;
  uint64_t last_command_ = 0;
  std::deque<Command> commands_;  // in order of arrival
};

// The approximate size of the items in a message.
size_t BytesOf(const std::vector<Item>& items);
size_t BytesOf(const Change& change);

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_COMMAND_QUEUE_H_
