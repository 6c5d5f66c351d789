// Calls that were forwarded to another process and wait for its answer. Each answer goes to the caller of its
// call, or is dropped. Pure: the caller passes the time (seconds of one steady clock). One thread.
#ifndef IVYGW_SYSTEM_CALL_ROUTING_PENDING_CALLS_H_
#define IVYGW_SYSTEM_CALL_ROUTING_PENDING_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ivygw::call_routing {

// Identifies a caller's connection. Never reused within one incarnation of the process.
using CallerId = uint64_t;
// Identifies a call among those of all incarnations of the process. The upper 32 bits are the incarnation,
// the lower 32 bits a counter.
using CallNumber = uint64_t;

class PendingCalls {
 public:
  // `incarnation`: identifies this run of the process. It must differ at every start, so that answers to
  // calls of an earlier run are dropped.
  explicit PendingCalls(uint32_t incarnation) : incarnation_(incarnation) {}

  // Adds a call that expires at `deadline`.
  CallNumber Add(CallerId caller, double deadline);
  // Removes an answered call and returns its caller. Returns none, and counts the answer as dropped, if the
  // call is not pending: it belongs to another incarnation, or was already answered, cancelled by Forget or
  // removed by TakeExpired or TakeAll.
  std::optional<CallerId> Complete(CallNumber number);
  // Cancels the calls of a caller whose connection was closed.
  void Forget(CallerId caller);
  // Removes the calls whose deadline has passed, and returns their callers. The calls may have been executed.
  std::vector<CallerId> TakeExpired(double now);
  // Removes all calls because the connection to the other process was closed, and returns their callers. The
  // calls may have been executed.
  std::vector<CallerId> TakeAll();

  size_t size() const { return pending_.size(); }
  uint64_t dropped_answers() const { return dropped_answers_; }

 private:
  struct PendingCall {
    CallerId caller = 0;
    double deadline = 0;
  };
  const uint32_t incarnation_;
  uint32_t last_number_ = 0;
  std::map<CallNumber, PendingCall> pending_;
  uint64_t dropped_answers_ = 0;
};

}  // namespace ivygw::call_routing

#endif  // IVYGW_SYSTEM_CALL_ROUTING_PENDING_CALLS_H_
