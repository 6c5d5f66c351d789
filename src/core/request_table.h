// The requests that are held: from accepted to the one final answer, and on until nothing of them is out.
// Pure: no sockets, no clock. Decides nothing about backends.
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

// Whether an attempt that ended so may have had its effect at the backend.
inline bool MayHaveRun(micadock::Result result) {
  return result != micadock::Result::kFull && result != micadock::Result::kConnectFailed &&
         result != micadock::Result::kNeverSent;
}

struct Attempt {
  uint32_t backend = 0;
  uint64_t exchange = 0;  // the backend book's; 0 where it took none
  double started_at = 0;
  bool in_flight = true;   // its outcome is not told yet
  bool cancelled = false;  // the module took it back
  bool intended = false;   // it waits to be made durable;
  double patience_s = 0;   // and then has so long, from when it was asked for
};

struct RequestState {
  uint64_t client = 0;
  std::string id;  // the client's
  int cls = 0;
  double deadline = 0;  // when the guard answers, on the core's clock
  bool free = false;    // of a class whose requests have no effect
  std::vector<Attempt> attempts;
  double timeout_s = 0;    // for which its client waits once its body is whole
  bool whole = true;       // its body
  bool body_gone = false;  // no longer held from its beginning
  bool recorded = false;   // its attempts are made durable first
  bool answered = false, may_have_run = false;
  bool streaming = false;  // its answer has begun, and is not whole;
  int stream = 0;          // this attempt brings it
  bool Out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
};

class RequestTable {
 public:
  // Numbers differ from those of all that is held, also where they wrap round. `last`: after which they
  // begin.
  explicit RequestTable(uint32_t last = 0) : last_(last) {}

  // Another request of this id is open, or an attempt of it is still out: two of one id would be mixed up.
  bool IsOpen(const std::string& id) const { return ids_.count(id) != 0; }
  uint32_t Take(uint64_t client, std::string id, int cls, double deadline, bool free);
  RequestState* Find(uint32_t request);
  const RequestState* Find(uint32_t request) const { return const_cast<RequestTable*>(this)->Find(request); }
  std::vector<uint32_t> Numbers() const;  // of all that is held, in order
  // The request of a client that is not answered; 0 for none.
  uint32_t OfClient(uint64_t client) const;

  // The final answer is out, or its client has gone. False if that was so before.
  bool Answer(uint32_t request);
  // Its final answer has begun; the client is its until Ended. False if it was answered before.
  bool Begin(uint32_t request, int attempt);
  void Ended(uint32_t request);                 // a begun answer, in whatever way
  uint32_t StreamingTo(uint64_t client) const;  // the request whose begun answer goes there; 0 for none
  // What the guard answers: 503 where nothing can have run, 504 where it may have.
  static int GuardStatus(const RequestState& held) {
    return held.free || (!held.may_have_run && !held.Out()) ? 503 : 504;
  }
  // Drops it if it is answered and nothing of it is out.
  bool ForgetIfOver(uint32_t request);

  size_t size() const { return held_.size(); }
  size_t unanswered() const { return by_client_.size(); }
  size_t streaming() const { return streaming_.size(); }
  size_t id_count() const { return ids_.size(); }

 private:
  std::unordered_map<uint32_t, RequestState> held_;
  std::unordered_map<uint64_t, uint32_t> by_client_;  // those not answered
  std::unordered_map<uint64_t, uint32_t> streaming_;  // by client, those whose answer has begun
  std::unordered_set<std::string> ids_;               // the clients' ids of what is held
  uint32_t last_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_REQUEST_TABLE_H_
