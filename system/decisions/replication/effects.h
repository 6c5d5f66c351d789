// The effects of one call of Replica. The caller carries them out after the call has returned, in the order
// of the fields.
#ifndef IVYGW_SYSTEM_REPLICATION_EFFECTS_H_
#define IVYGW_SYSTEM_REPLICATION_EFFECTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "replication/command_policy.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

// The outcome of a command or a read.
enum class Outcome {
  // A command: it was decided, or had been applied before. A read: this copy holds everything that was
  // decided
  // before the call.
  kDone,
  kRejected,   // not applied anywhere and never will be; see Completion::rejection
  kNotDone,    // never proposed, or another change was decided for its revision
  kMaybeDone,  // unknown: may have been done or may still be
};

struct Completion {
  uint64_t ticket = 0;  // of the call
  Outcome outcome = Outcome::kMaybeDone;
  Rejection rejection;  // of kRejected
};

struct Effects {
  std::vector<std::pair<std::string, PeerMessage>> sends;  // to the core at that address
  std::vector<StoreBatch> stores;                          // in order; OnStored is to follow for each
  std::vector<Completion> completions;                     // at most one per ticket
  std::vector<std::string> changed;  // keys whose records in this copy were written or removed
  bool reset = false;                // all records were replaced; `changed` has the keys of the new ones
  bool membership_changed = false;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_EFFECTS_H_
