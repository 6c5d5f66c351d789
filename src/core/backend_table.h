// Listed backends, their drains, and the connections to them: which connection an exchange gets, how the
// exchange ends, and which connections are pooled or closed. Does no I/O and gets the time from its caller.
// The balancer alone chooses the backend for a request.
#ifndef IVYGW_CORE_BACKEND_TABLE_H_
#define IVYGW_CORE_BACKEND_TABLE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/effects.h"
#include "core/timer_queue.h"
#include "policy/balance.h"

namespace ivygw::core {

struct ConnectionLimits {
  double idle_timeout_s = 0;  // after which backends close an idle connection; 0: unknown
  double connect_timeout_s = 0;
  double drain_grace_s = 0;  // how long a draining backend may still get new requests
  size_t max_connections = 1;
};

struct ListedBackend {
  micadock::Backend backend;
  uint64_t address = 0;  // a key chosen by the driver
};

// An attempt that has been given a connection.
struct Exchange {
  uint64_t number = 0, connection = 0;
  uint32_t request = 0;
  int attempt = 0;
  uint32_t backend = 0;
  double started_at = 0, deadline = 0;
};
struct ExchangeResult {
  Exchange exchange;
  micadock::Result result = micadock::Result::kOk;
};

class BackendTable {
 public:
  explicit BackendTable(const ConnectionLimits& limits);

  // Applies a list from discovery: changes only, or a full list, in which absent backends are gone.
  void UpdateList(double now, bool full, const std::vector<ListedBackend>& entries, Effects* out);
  // Ends the grace period of a draining backend: it gets no new requests from now on.
  void EndDrainGrace(uint32_t backend, double now);
  bool MaySend(uint32_t backend, double now) const;

  // Starts an exchange on an idle connection or on a new one. Returns its number, or 0 if the backend may not
  // be sent requests or all connections are in use. The exchange ends once, by one of the events below or by
  // Cancel.
  uint64_t StartExchange(double now, uint32_t backend, uint32_t request, int attempt, double timeout_s,
                         TimerQueue* timers, Effects* out);
  // Closes the exchange's connection at once. Returns whether the backend may have run the request, which is
  // so if it was completely written, or nothing if the exchange has ended already.
  std::optional<bool> Cancel(uint64_t exchange, Effects* out);

  // Events of connections. Those of unknown connections are ignored.
  std::optional<ExchangeResult> OnConnectionOpened(double now, uint64_t connection, Effects* out);
  // The connection was lost or could not be opened.
  std::optional<ExchangeResult> OnConnectionLost(double now, uint64_t connection, Effects* out);
  // The backend had closed a reused connection before the request was written to it: moves the exchange to
  // another connection, or ends it if none is available.
  std::optional<ExchangeResult> OnConnectionStale(double now, uint64_t connection, TimerQueue* timers,
                                                  Effects* out);
  // The last byte of the request is written: from now on the backend may have run the request. Returns false
  // if no exchange on this connection is being written.
  bool OnRequestWritten(uint64_t connection);
  // A complete response. `reusable`: the connection can carry another request.
  std::optional<ExchangeResult> OnResponse(double now, uint64_t connection, micadock::Result result,
                                           bool reusable, Effects* out);
  // `kind` is kConnectTimeout or kAttemptTimeout.
  std::optional<ExchangeResult> OnTimeout(double now, TimerKind kind, uint64_t exchange, Effects* out);

  uint32_t RequestOf(uint64_t connection) const;  // the request of the connection's exchange; 0: none
  // A successful response has started: the attempt's timeout no longer applies. Returns the exchange, or
  // nothing if none on this connection waits for a response.
  std::optional<Exchange> OnResponseStarted(uint64_t connection);
  // Replaces the deadline of an exchange. Called when the client's timeout starts because the request's body
  // is complete.
  void SetDeadline(uint64_t exchange, double deadline, TimerQueue* timers);
  bool HasResponseStarted(uint64_t exchange) const;
  bool IsInFlight(uint64_t exchange) const { return in_flight_.count(exchange) != 0; }
  bool IsConnecting(uint64_t exchange) const;
  double NextIdleTimeout() const;  // when the next idle connection has to be closed
  void CloseExpiredIdle(double now, Effects* out);

  // State of a backend, for diagnostics.
  struct Status {
    bool known = false, draining = false;
    size_t idle_connections = 0;
  };
  Status GetStatus(uint32_t backend) const;
  size_t connections() const { return connections_.size(); }
  size_t idle() const { return idle_.size(); }
  size_t in_flight() const { return in_flight_.size(); }
  size_t backends() const { return backends_.size(); }

 private:
  enum class State { kConnecting, kOpen, kIdle };
  struct Connection {
    uint32_t backend = 0;
    uint64_t address = 0;
    State state = State::kConnecting;
    bool written = false;
    bool response_started = false;
    Exchange exchange;
    double idle_since = 0;
    std::list<uint64_t>::iterator idle_position;
  };
  struct Backend {
    uint64_t address = 0;
    bool draining = false;
    double no_send_after = 0;    // while draining: no request is sent from this time on
    std::vector<uint64_t> idle;  // idle connections, the most recently used last
  };

  void SetReady(uint32_t backend, uint64_t address, Effects* out);
  void StartDrain(uint32_t backend, double now, Effects* out);
  void Remove(uint32_t backend, double now, Effects* out);
  Backend* Find(uint32_t backend);
  // Gives the exchange a connection; returns 0 if none is available.
  uint64_t AssignConnection(double now, const Exchange& exchange, TimerQueue* timers, Effects* out);
  bool ReserveConnection(Effects* out);
  void Discard(uint64_t connection, Effects* out);  // closes the connection in any state
  ExchangeResult EndExchange(uint64_t connection, micadock::Result result, Effects* out);

  const ConnectionLimits limits_;
  std::unordered_map<uint32_t, Backend> backends_;  // listed by discovery and not gone
  std::unordered_map<uint64_t, Connection> connections_;
  std::unordered_map<uint64_t, uint64_t> in_flight_;  // from an exchange's number to its connection's
  std::list<uint64_t> idle_;                          // idle connections, the longest idle first
  uint64_t last_connection_ = 0, last_exchange_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_BACKEND_TABLE_H_
