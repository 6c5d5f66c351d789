// What a driver tells the core: the events of GatewayCore as data, so that they can wait, be recorded and be
// played again. Each stands for the method of GatewayCore with its fields.
#ifndef IVYGW_CORE_EVENTS_H_
#define IVYGW_CORE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/backend_table.h"
#include "policy/balance.h"

namespace ivygw::core {

// A sound request of a client.
struct RequestArrived {
  uint64_t client = 0;  // the driver's word for whom to answer; one request at a time
  std::string id;       // the client's; not open (IsOpen)
  int cls = 0, plan = 0;
  uint64_t customer = 0;
  double units = 0, entries = 1;
  double timeout_s = 0;  // for which the client waits: from now on, or from its body's end
  double body_s = 0;     // for which its body may still come; 0: it is whole
  // A work whose attempts are made durable before their first byte: each is asked for by Intend and waits for
  // IntentTold.
  bool recorded = false;
  // One that another gateway had begun, and what was tried there.
  bool resumed = false, may_have_run = false;
  double ran_age_s = 0;  // since the first attempt that may have run
  int ran_zone = 0, ran_cell = 0;
};
struct ClientDisconnected {  // its connection has ended, held or not
  uint64_t client = 0;
};
struct ConnectionOpened {
  uint64_t connection = 0;
};
struct RequestWritten {  // the message's last byte is out
  uint64_t connection = 0;
};
struct ResponseReceived {
  uint64_t connection = 0;
  micadock::Result result = micadock::Result::kOk;
  double true_units = 0;
  bool reusable = false;
};
struct ConnectionLost {  // refused, reset, ended, spoilt
  uint64_t connection = 0;
};
struct ConnectionStale {  // a kept one had ended before it was written to
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
// Operators' words.
struct BackendBanChanged {  // a backend is to be left out, or put back
  uint32_t backend = 0;
  bool banned = false;
};
// Of requests and answers that are not whole at once.
struct BodyDiscarded {  // the request's body is no longer held from its beginning: it can't be sent again
  uint32_t request = 0;
};
struct BodyCompleted {  // the request's body is whole: its time begins
  uint32_t request = 0;
};
struct LearnedStateRestored {  // what the process before had learned of the backends
  micadock::Learned learned;
};
struct ResponseStarted {  // a good answer that goes to its client as it comes; Answered or Lost follows
  uint64_t connection = 0;
};
struct DrainChanged {  // the gateway is to be emptied, or goes back to work
  bool on = false;
};

// Of works that outlive their gateway.
struct IntentResolved {  // the attempt is durable, or must not be made
  uint32_t request = 0;
  int attempt = 0;
  bool ok = false;
};
struct RequestWithdrawn {  // the client's request is another gateway's now, or has been answered: nothing is
                           // sent or
                           // said here
  uint64_t client = 0;
};
// Of the fleet: how many gateways there are, and whether this one is counted among them.
struct FleetSizeChanged {
  int gateways = 0;
  bool counted = true;
};

// A share of a customer's lent ceiling is this gateway's for so many seconds from now, in place of the one
// before.
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
