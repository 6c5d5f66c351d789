// What is known of whether a request has been executed, and what that knowledge rests on. Pure.
//
// An outcome is one of three types. `NotDone` can be made by OutcomeOf and ExecutionRecord alone, from
// evidence that proves it; whatever promises a client that nothing ran takes a `NotDone` as an argument, so
// `MayHaveBeenDone` can't be passed in its place. docs/design/attempts.md has the table.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <variant>

namespace ivygw::request_lifecycle {

// How an attempt ended, as far as it tells about execution.
enum class Evidence : uint8_t {
  kConnectRefused,      // the connection was never established: refused, reset or no valid address
  kConnectTimedOut,     // the connection was not established in time, or given up before
  kClosedBeforeWrite,   // found ended, or with unasked bytes on it, before a byte of the request was written
  kWriteRefused,        // the system took no byte of the request
  kLostAfterWrite,      // reset, half-closed or malformed after a byte may have left
  kNoAnswer,            // no answer by the deadline, or given up with its client
  kUnidentifiedAnswer,  // an answer without a request id
  kForeignAnswer,       // an answer with the id of another request
  kAlteredAnswer,       // own id, but not the backend's own body: success without a seal, or encoded
  kUnprovenRejection,   // says 421 or Not-Executed without an id, where it may answer an earlier request
  kProvenRejection,     // 421 or Not-Executed that is provably the answer to this request
  kUnprovenPromise,     // 408, 429 or 503 with own id, but without Not-Executed
  kErrorAnswer,         // own failure status (5xx) of the backend
  kAnswer,              // any other status of the backend's own
};

struct Done {};
struct MayHaveBeenDone {};
class NotDone;
using Outcome = std::variant<Done, NotDone, MayHaveBeenDone>;

// Proof that an attempt, or a whole request, has not run and will not run.
class NotDone {
  NotDone() = default;
  friend Outcome OutcomeOf(Evidence evidence);
  friend class ExecutionRecord;
};

Outcome OutcomeOf(Evidence evidence);

// Whether a byte of the request may have reached a backend, so that the attempt counts as an arrival.
bool MayHaveArrived(Evidence evidence);

// The outcomes of all attempts of one request so far.
class ExecutionRecord {
 public:
  void Add(const Outcome& outcome);
  // Holds a value as long as every attempt has provably not run.
  std::optional<NotDone> NothingDone() const;

 private:
  bool nothing_done_ = true;
};

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_
