// Events of the gateway core: plain structs that a driver passes to GatewayCore::Handle. They can be queued,
// recorded and replayed; the order of the variant's alternatives and of the fields is part of the trace
// format.
#ifndef IVYGW_CORE_EVENTS_H_
#define IVYGW_CORE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/backend_table.h"
#include "policy/balance.h"

namespace ivygw::core {

// A valid request of a client.
struct RequestArrived {
  uint64_t client = 0;  // chosen by the driver; a client has one request at a time
  std::string id;       // chosen by the client; no open request may have it (GatewayCore::IsOpen)
  int cls = 0, plan = 0;
  uint64_t customer = 0;
  double units = 0, entries = 1;
  double timeout_s = 0;  // the client's timeout, which starts now or when the body is complete
  double body_s = 0;     // how long the body may still take to arrive; 0 if it is complete
  // Each attempt needs a durable write-ahead record, its intent, before its first byte is sent: the core asks
  // for it with RecordIntent and waits for IntentResolved.
  bool recorded = false;
  // `resumed`: the request was taken over from another gateway. `may_have_run` and the fields below say what
  // is known of its attempts there.
  bool resumed = false, may_have_run = false;
  double ran_age_s = 0;  // time since the first attempt that may have run
  int ran_zone = 0, ran_cell = 0;
};
// The client's connection has ended, whether or not a request of it is open.
struct ClientDisconnected {
  uint64_t client = 0;
};
struct ConnectionOpened {
  uint64_t connection = 0;
};
// The last byte of the request has been written.
struct RequestWritten {
  uint64_t connection = 0;
};
// A complete response has been read.
struct ResponseReceived {
  uint64_t connection = 0;
  micadock::Result result = micadock::Result::kOk;
  double true_units = 0;
  bool reusable = false;  // the connection can carry another request
};
// The connection was refused, reset or closed, or its framing is broken.
struct ConnectionLost {
  uint64_t connection = 0;
};
// The backend had closed a pooled connection before the request was written to it.
struct ConnectionStale {
  uint64_t connection = 0;
};
struct BackendListUpdated {
  micadock::ListKind kind = micadock::ListKind::kFull;
  std::vector<ListedBackend> entries;
};
struct DiscoveryFailed {};
struct CounterCallWritten {
  uint64_t call = 0;
};
struct CounterResponseReceived {
  uint64_t call = 0;
  micadock::Result result = micadock::Result::kOk;
  double total = 0;
};
struct CounterCallLost {
  uint64_t call = 0;
};
struct TimerExpired {};
struct ShutdownRequested {};
// An operator bans a backend or lifts its ban.
struct BackendBanChanged {
  uint32_t backend = 0;
  bool banned = false;
};
// The start of the request's body is no longer buffered, so the request can't be sent again.
struct BodyDiscarded {
  uint32_t request = 0;
};
// The request's body is complete: the client's timeout starts.
struct BodyCompleted {
  uint32_t request = 0;
};
// Restores what the previous process of this gateway had learned about the backends.
struct LearnedStateRestored {
  micadock::LearnedState learned;
};
// A successful response has started and is streamed to the client; ResponseReceived or ConnectionLost
// follows.
struct ResponseStarted {
  uint64_t connection = 0;
};
// An operator starts or ends the gateway's drain.
struct DrainChanged {
  bool on = false;
};

// Reply to RecordIntent. `ok`: the attempt may be sent, since its intent is durable or the request needs none
// any more. Otherwise the attempt must not be made.
struct IntentResolved {
  uint32_t request = 0;
  int attempt = 0;
  bool ok = false;
};
// The client's request now belongs to another gateway or is answered without the core: the core sends nothing
// more for it to backends or to the client.
struct RequestWithdrawn {
  uint64_t client = 0;
};
// The number of gateways in the fleet, and whether this one is among them.
struct FleetSizeChanged {
  int gateways = 0;
  bool counted = true;
};

// Grants this gateway `share`, from 0 to 1, of the part of the customer's ceiling (its hard rate limit) that
// gateways hold by lease. The grant is valid for `seconds` from now and replaces the previous one.
struct QuotaShareGranted {
  uint64_t customer = 0;
  double share = 0, seconds = 0;
};

using Event =
    std::variant<RequestArrived, ClientDisconnected, ConnectionOpened, RequestWritten, ResponseReceived,
                 ConnectionLost, ConnectionStale, BackendListUpdated, DiscoveryFailed, CounterCallWritten,
                 CounterResponseReceived, CounterCallLost, TimerExpired, ShutdownRequested, BackendBanChanged,
                 DrainChanged, BodyDiscarded, BodyCompleted, ResponseStarted, LearnedStateRestored,
                 IntentResolved, RequestWithdrawn, FleetSizeChanged, QuotaShareGranted>;

}  // namespace ivygw::core

#endif  // IVYGW_CORE_EVENTS_H_
