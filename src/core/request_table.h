// Open requests. A request is open from its arrival until its only final response has been sent and its last
// attempt has ended. Does no I/O, has no clock, and decides nothing about backends.
#ifndef IVYGW_CORE_REQUEST_TABLE_H_
#define IVYGW_CORE_REQUEST_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "policy/balance.h"

namespace ivygw::core {

// Whether an attempt with this result may have taken effect at the backend.
inline bool MayHaveRun(micadock::Result result) {
  return result != micadock::Result::kFull && result != micadock::Result::kConnectFailed &&
         result != micadock::Result::kNeverSent;
}

struct Attempt {
  uint32_t backend = 0;
  uint64_t exchange = 0;  // number in the backend table; 0 if no exchange was started
  double started_at = 0;
  bool in_flight = true;         // its outcome has not been reported yet
  bool cancelled = false;        // by the balancer
  bool awaiting_intent = false;  // nothing is sent until its intent, a write-ahead record, is durable
  double timeout_s = 0;          // while it awaits its intent: its timeout, counted from `started_at`
};

struct RequestState {
  uint64_t client = 0;
  std::string id;  // chosen by the client
  int cls = 0;
  // When the core itself responds if no response has been sent by then, on the core's clock.
  double deadline = 0;
  bool side_effect_free = false;  // according to its class
  std::vector<Attempt> attempts;
  double timeout_s = 0;  // the client's timeout, counted from when the body is complete
  bool body_complete = true;
  bool body_discarded = false;  // the start of its body is no longer buffered
  bool recorded = false;        // the intent of each attempt is made durable before the attempt is sent
  bool answered = false, may_have_run = false;
  bool streaming = false;  // the final response has started and is not complete
  int stream_attempt = 0;  // the attempt whose response is streamed
  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
};

class RequestTable {
 public:
  // Numbers are unique among open requests, also after they have wrapped around. `last_number`: the number
  // before the first one.
  explicit RequestTable(uint32_t last_number = 0) : last_number_(last_number) {}

  // Whether a request with this id is open or has an attempt in flight. A second request with the same id
  // could not be told apart from it.
  bool IsOpen(const std::string& id) const { return ids_.count(id) != 0; }
  uint32_t Add(uint64_t client, std::string id, int cls, double deadline, bool side_effect_free);
  RequestState* Find(uint32_t request);
  const RequestState* Find(uint32_t request) const { return const_cast<RequestTable*>(this)->Find(request); }
  std::vector<uint32_t> Numbers() const;  // of all open requests, sorted
  // The unanswered request of a client, or 0.
  uint32_t UnansweredOf(uint64_t client) const;

  // The final response has been sent, or the client has gone. Returns false if the request was answered
  // before.
  bool MarkAnswered(uint32_t request);
  // Starts the final response as a stream, which lasts until EndStream. Returns false if the request was
  // answered before.
  bool BeginStream(uint32_t request, int attempt);
  void EndStream(uint32_t request);             // whether or not the response was complete
  uint32_t StreamingTo(uint64_t client) const;  // the request whose response is streamed to the client, or 0
  // The status to respond with at the deadline: 503 if the client can safely repeat the request, since it has
  // no side effects or can't have run; 504 if it may have run.
  static int TimeoutStatus(const RequestState& state) {
    return state.side_effect_free || (!state.may_have_run && !state.HasAttemptInFlight()) ? 503 : 504;
  }
  // Removes the request if it is answered and has no attempt in flight.
  bool RemoveIfFinished(uint32_t request);

  size_t size() const { return requests_.size(); }
  size_t unanswered() const { return by_client_.size(); }
  size_t streaming() const { return streaming_.size(); }
  size_t id_count() const { return ids_.size(); }

 private:
  std::unordered_map<uint32_t, RequestState> requests_;
  std::unordered_map<uint64_t, uint32_t> by_client_;  // unanswered requests
  std::unordered_map<uint64_t, uint32_t> streaming_;  // requests with a streamed response, by client
  std::unordered_set<std::string> ids_;               // clients' ids of all open requests
  uint32_t last_number_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_REQUEST_TABLE_H_
