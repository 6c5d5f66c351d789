// What is known about whether a request has been executed, and the evidence for it. Pure.
//
// An outcome is one of three types. Only OutcomeOf and ExecutionRecord can create a `NotDone`, from evidence
// that proves it. Any function that promises a client that its request has not run takes a `NotDone` as an
// argument, so that `MayHaveBeenDone` cannot be passed instead. docs/design/attempts.md has the table.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <variant>

namespace ivygw::request_lifecycle {

// How an attempt ended, as far as it shows whether the request was executed.
enum class Evidence : uint8_t {
  kConnectRefused,      // the connection was never established: refused, reset or no valid address
  kConnectTimedOut,     // the connect timeout or the deadline passed before the connection was established
  kClosedBeforeWrite,   // found closed, or with unexpected bytes, before any byte of the request was written
  kWriteRefused,        // the operating system accepted no byte of the request for sending
  kLostAfterWrite,      // reset, half-closed or malformed after a byte may have been sent
  kNoAnswer,            // no answer by the deadline
  kUnidentifiedAnswer,  // an answer without a request id
  kForeignAnswer,       // an answer with the id of another request
  kAlteredAnswer,       // own id, but not the backend's own body: success without a seal, or encoded
  kUnprovenRejection,   // 421 or Not-Executed without an id, which may answer an earlier request
  kProvenRejection,     // 421 or Not-Executed that is provably the answer to this request
  kUnprovenPromise,     // 408, 429 or 503 with own id but without Not-Executed
  kErrorAnswer,         // a 5xx status of the backend itself
  kAnswer,              // any other status of the backend itself
};

struct Done {};
struct MayHaveBeenDone {};
class NotDone;
using Outcome = std::variant<Done, NotDone, MayHaveBeenDone>;

// Proof that an attempt, or a request with all its attempts, has not run and will not run.
class NotDone {
  NotDone() = default;
  friend Outcome OutcomeOf(Evidence evidence);
  friend class ExecutionRecord;
};

Outcome OutcomeOf(Evidence evidence);

// Whether a byte of the request may have reached a backend, so that the attempt counts against max_attempts.
bool MayHaveArrived(Evidence evidence);

// The outcomes of all attempts of one request so far.
class ExecutionRecord {
 public:
  void Add(const Outcome& outcome);
  // Returns a value as long as every attempt has provably not run.
  std::optional<NotDone> NothingDone() const;

 private:
  bool nothing_done_ = true;
};

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_OUTCOME_H_
