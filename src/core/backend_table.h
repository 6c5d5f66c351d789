// Backends as listed, their drains, and the connections to them: which one an exchange takes, how it ends,
// what is kept and what is closed. Pure: sockets are the driver's, time is told. Which backend gets a request
// is the decision module's word alone.
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
  double idle_timeout_s = 0;  // the backends' own; 0: not told
  double connect_timeout_s = 0;
  double drain_grace_s = 0;  // after which a draining backend gets nothing new
  size_t max_connections = 1;
};

struct ListedBackend {
  micadock::Backend backend;
  uint64_t address = 0;  // the driver's word for it
};

// An attempt on a connection.
struct Exchange {
  uint64_t number = 0, connection = 0;
  uint32_t request = 0;
  int attempt = 0;
  uint32_t backend = 0;
  double began = 0, give_up = 0;
};
struct ExchangeResult {
  Exchange exchange;
  micadock::Result result = micadock::Result::kOk;
};

class BackendTable {
 public:
  explicit BackendTable(const ConnectionLimits& limits);

  // The list as told: the changes, or the whole, from which what is absent has gone.
  void TakeList(double now, bool whole, const std::vector<ListedBackend>& entries, Effects* out);
  // Nothing new goes to the backend from now on, without the grace that discovery's word has.
  void Bar(uint32_t backend, double now);
  bool MaySend(uint32_t backend, double now) const;

  // Takes a kept connection, or opens one. Returns the exchange's number, or 0: nothing may be sent there, or
  // all connections are in use. It ends once, by one of the events below or by Cancel.
  uint64_t Begin(double now, uint32_t backend, uint32_t request, int attempt, double patience_s,
                 TimerQueue* timers, Effects* out);
  // Closes the exchange's connection at once; whether it may have run. None if it has ended already.
  std::optional<bool> Cancel(uint64_t exchange, Effects* out);

  // What happens to connections. Those that the book does not know (any more) change nothing.
  std::optional<ExchangeResult> OnConnectionOpened(double now, uint64_t connection, Effects* out);
  std::optional<ExchangeResult> OnConnectionLost(double now, uint64_t connection,
                                                 Effects* out);  // also: could not connect
  std::optional<ExchangeResult> OnConnectionStale(double now, uint64_t connection, TimerQueue* timers,
                                                  Effects* out);
  // Its last byte is out: from here on it may have run. False where the book knows of no such attempt.
  bool OnRequestWritten(uint64_t connection);
  // A whole answer. `keep`: the connection is fit for another.
  std::optional<ExchangeResult> OnResponse(double now, uint64_t connection, micadock::Result result,
                                           bool keep, Effects* out);
  std::optional<ExchangeResult> OnDue(double now, TimerKind due, uint64_t exchange,
                                      Effects* out);  // kConnect or kPatience

  uint32_t RequestOf(uint64_t connection) const;  // whose exchange is on it; 0: none
  // A good answer has begun: patience no longer holds. Its exchange, or none where there is no such attempt.
  std::optional<Exchange> Begin(uint64_t connection);
  // The attempt is waited for until `give_up` and no longer: its request's time has begun.
  void SetGiveUp(uint64_t exchange, double give_up, TimerQueue* timers);
  bool HasBegun(uint64_t exchange) const;
  bool IsOut(uint64_t exchange) const { return out_.count(exchange) != 0; }
  bool IsConnecting(uint64_t exchange) const;
  double NextIdle() const;  // when the next kept connection has been idle for long enough
  void CloseIdle(double now, Effects* out);

  // What is known of a backend, for a person to read.
  struct Status {
    bool known = false, draining = false;
    size_t idle_connections = 0;
  };
  Status GetStatus(uint32_t backend) const;
  size_t connections() const { return connections_.size(); }
  size_t idle() const { return idle_.size(); }
  size_t in_flight() const { return out_.size(); }
  size_t backends() const { return backends_.size(); }

 private:
  enum class State { kConnecting, kOpen, kIdle };
  struct Connection {
    uint32_t backend = 0;
    uint64_t address = 0;
    State state = State::kConnecting;
    bool written = false;
    bool begun = false;  // the answer has
    Exchange exchange;
    double idle_since = 0;
    std::list<uint64_t>::iterator idle_at;
  };
  struct Backend {
    uint64_t address = 0;
    bool draining = false;
    double no_send_after = 0;    // of a draining one
    std::vector<uint64_t> kept;  // idle; the most recently used last
  };

  void Ready(uint32_t backend, uint64_t address, Effects* out);
  void Drain(uint32_t backend, double now, Effects* out);
  void Remove(uint32_t backend, double now, Effects* out);
  Backend* Find(uint32_t backend);
  // Gives the exchange a connection: 0 where none is to be had.
  uint64_t Place(double now, const Exchange& exchange, TimerQueue* timers, Effects* out);
  bool MakeRoom(Effects* out);
  void Drop(uint64_t connection, Effects* out);  // closes it, whatever it does
  ExchangeResult End(uint64_t connection, micadock::Result result, Effects* out);

  const ConnectionLimits limits_;
  std::unordered_map<uint32_t, Backend> backends_;  // named by discovery and not gone
  std::unordered_map<uint64_t, Connection> connections_;
  std::unordered_map<uint64_t, uint64_t> out_;  // connections of exchanges that are out
  std::list<uint64_t> idle_;                    // longest idle first
  uint64_t last_connection_ = 0, last_exchange_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_BACKEND_TABLE_H_
