// What the gateway's core asks its driver to do: a closed set of plain structs, run in order once the core's
// call has returned. No effect calls the core; what it brings about comes as an event of its own.
#ifndef IVYGW_CORE_EFFECTS_H_
#define IVYGW_CORE_EFFECTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ivygw::core {

// The request that has just come from `client` is held under this number.
struct RegisterRequest {
  uint32_t request = 0;
  uint64_t client = 0;
};
// The one final answer to `client`. With status 200 it is what the exchange on `connection`, told of last,
// brought.
struct SendResponse {
  uint64_t client = 0;
  uint32_t request = 0;
  int status = 0;            // 200, 429 or 503 (refused), 502 (given up), 503 or 504 (its time is up)
  double retry_after_s = 0;  // 0: none
  uint64_t connection = 0;   // 0: none
};
// The one final answer to `client` begins: it is what the exchange on `connection` brings, from what it has
// brought on.
struct StartResponse {
  uint64_t client = 0;
  uint32_t request = 0;
  uint64_t connection = 0;
};
// That answer can't be finished: its client must be able to tell that it is not whole.
struct AbortResponse {
  uint64_t client = 0;
  uint32_t request = 0;
};
// Nothing of the request is open any more: what the driver keeps of it (its body) is of no further use.
struct ReleaseRequest {
  uint32_t request = 0;
};

// To a backend. `address` is the driver's own word for where it listens.
struct OpenConnection {
  uint64_t connection = 0;
  uint64_t address = 0;
};
// The whole request, to be told that it is waited for `timeout_s`. On a `kept` connection the driver looks
// first whether the backend has ended it, and tells of it (`OnStale`) instead of writing.
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

// A call to the shared counter: adds `amount` to `name`, which lives for `ttl_s`.
struct CallCounter {
  uint64_t call = 0, name = 0;
  double amount = 0, ttl_s = 0;
};
// The call has been told as never added: it must not go out any more.
struct CancelCounterCall {
  uint64_t call = 0;
};

// Of a recorded request: an attempt is to be made durable, and waits for IntentTold.
struct RecordIntent {
  uint32_t request = 0;
  int attempt = 0;
  uint32_t backend = 0;
};
// What came of one that was.
struct RecordAttemptEnd {
  uint32_t request = 0;
  int attempt = 0;
  bool may_have_run = false;
};

struct Log {
  std::string text;
};
struct SubscribeToDiscovery {};        // discovery is to be followed
struct DisableClientKeepAlive {};      // from now on each answer ends its connection
struct EnableClientKeepAlive {};       // AskClientsToClose no longer holds
struct CloseIdleClientConnections {};  // connections on which nothing has begun
struct StopIfIdle {};                  // end the program if no client is connected or waits to be
struct Stop {};                        // end the program

using Effect =
    std::variant<RegisterRequest, SendResponse, ReleaseRequest, OpenConnection, WriteRequest, CloseConnection,
                 CallCounter, CancelCounterCall, Log, SubscribeToDiscovery, DisableClientKeepAlive,
                 CloseIdleClientConnections, StopIfIdle, Stop, EnableClientKeepAlive, StartResponse,
                 AbortResponse, RecordIntent, RecordAttemptEnd>;
using Effects = std::vector<Effect>;

}  // namespace ivygw::core

#endif  // IVYGW_CORE_EFFECTS_H_
