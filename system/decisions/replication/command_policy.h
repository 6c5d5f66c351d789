// Evaluation of commands: what a command changes in a table, or why it is rejected. Each owner of a table
// implements CommandPolicy, the part of the state machine that depends on the meaning of the items. No I/O;
// not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_COMMAND_POLICY_H_
#define IVYGW_SYSTEM_REPLICATION_COMMAND_POLICY_H_

#include <string>
#include <vector>

#include "replication/table.h"

namespace ivygw::replication {

enum class RejectionCode {
  kNone,
  kInvalid,   // invalid in the current state of the table
  kConflict,  // its version of an item was acknowledged with different content
};

struct Rejection {
  RejectionCode code = RejectionCode::kNone;
  std::string field;    // the invalid field
  std::string message;  // for the caller
};

struct Evaluation {
  enum class Kind {
    kApply,           // `records` are to be written
    kAlreadyApplied,  // nothing is to be written: the command was acknowledged before
    kRejected,
    kIndeterminate,  // its version is too old to know whether it was acknowledged
  };
  Kind kind = Kind::kAlreadyApplied;
  std::vector<Record> records;
  Rejection rejection;
};

class CommandPolicy {
 public:
  virtual ~CommandPolicy() = default;
  // Called for each record at startup and for each later write, before a command is evaluated against it.
  virtual void OnRecord(const Record& record) = 0;
  virtual void OnErased(const std::string& key) = 0;
  // The whole table is replaced. OnRecord follows for each new record.
  virtual void OnReset() = 0;
  // Evaluates a command against `overlay`: the table with the records of the commands before it in the same
  // change.
  virtual Evaluation Evaluate(const std::vector<Item>& items, const TableOverlay& overlay) const = 0;
  // The maximum number of commands in one change.
  virtual size_t MaxCommandsInChange() const = 0;
};

// The result of the version rules that all tables share, for one item. `record` is the record to write; it is
// valid for kApply.
struct ItemEvaluation {
  Evaluation::Kind kind = Evaluation::Kind::kAlreadyApplied;
  bool replaces = false;  // the item's content takes effect; otherwise only its version is remembered
  Record record;
};
// `current` is the current record of the item's key, or null. With `keep_past`, callers choose versions
// freely, so acknowledged versions are remembered with digests of their content.
ItemEvaluation EvaluateItem(const Item& item, const Record* current, bool keep_past);

// The maximum number of earlier versions of an item that are remembered.
inline constexpr size_t kMaxPastVersions = 256;

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_COMMAND_POLICY_H_
