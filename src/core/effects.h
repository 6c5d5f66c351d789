// Effects of the gateway core: commands that the driver executes in order after the core's call has returned.
// Executing an effect never calls the core; its result is reported later as an event. The order of the
// variant's alternatives and of the fields is part of the trace format.
#ifndef IVYGW_CORE_EFFECTS_H_
#define IVYGW_CORE_EFFECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ivygw::core {

// Assigns the number `request` to the request that has just arrived from `client`.
struct RegisterRequest {
  uint32_t request = 0;
  uint64_t client = 0;
};
// Sends the request's only final response to `client`. With status 200 it is the response that the last event
// reported on `connection`.
struct SendResponse {
  uint64_t client = 0;
  uint32_t request = 0;
  int status = 0;            // 200; 429 or 503: refused; 502: failed; 503 or 504: timed out
  double retry_after_s = 0;  // 0: none
  uint64_t connection = 0;   // 0: none
};
// Starts streaming the request's only final response from `connection` to `client`, including the part that
// has been read already.
struct StartResponse {
  uint64_t client = 0;
  uint32_t request = 0;
  uint64_t connection = 0;
};
// Aborts a streamed response so that the client can tell that it is incomplete.
struct AbortResponse {
  uint64_t client = 0;
  uint32_t request = 0;
};
// The request is answered and has no attempt in flight: the driver may free its body.
struct ReleaseRequest {
  uint32_t request = 0;
};

// Opens a connection to a backend at `address`, a key chosen by the driver.
struct OpenConnection {
  uint64_t connection = 0;
  uint64_t address = 0;
};
// Writes the whole request, with `timeout_s` as the time that the backend has for it. On a `reused`
// connection the driver first checks whether the backend has closed it, and reports ConnectionStale instead
// of writing.
struct WriteRequest {
  uint64_t connection = 0;
  uint32_t request = 0;
  int attempt = 0;
  double timeout_s = 0;
  bool reused = false;
};
struct CloseConnection {
  uint64_t connection = 0;
};

// Calls the shared counter: adds `amount` to the key `name`, which expires after `ttl_s`.
struct CallCounter {
  uint64_t call = 0, name = 0;
  double amount = 0, ttl_s = 0;
};
// The balancer has been told that the call's amount was not added: the call must not be sent any more.
struct CancelCounterCall {
  uint64_t call = 0;
};

// Makes the intent of an attempt durable: a write-ahead record that the request is about to be sent to
// `backend`. Nothing of the attempt is sent before IntentResolved.
struct RecordIntent {
  uint32_t request = 0;
  int attempt = 0;
  uint32_t backend = 0;
};
// Records the end of an attempt of a recorded request.
struct RecordAttemptEnd {
  uint32_t request = 0;
  int attempt = 0;
  bool may_have_run = false;
};

struct Log {
  std::string text;
};
struct SubscribeToDiscovery {};        // start to follow the discovery service
struct DisableClientKeepAlive {};      // each further response closes its client's connection
struct EnableClientKeepAlive {};       // ends DisableClientKeepAlive
struct CloseIdleClientConnections {};  // close connections on which no request has begun
struct StopIfIdle {};                  // exit if no client is connected or waiting to connect
struct Stop {};                        // exit

using Effect =
    std::variant<RegisterRequest, SendResponse, ReleaseRequest, OpenConnection, WriteRequest, CloseConnection,
                 CallCounter, CancelCounterCall, Log, SubscribeToDiscovery, DisableClientKeepAlive,
                 CloseIdleClientConnections, StopIfIdle, Stop, EnableClientKeepAlive, StartResponse,
                 AbortResponse, RecordIntent, RecordAttemptEnd>;
using Effects = std::vector<Effect>;

}  // namespace ivygw::core

#endif  // IVYGW_CORE_EFFECTS_H_
