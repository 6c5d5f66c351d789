// The clients and the front before the gateways: arrivals are drawn ahead of the run and wait for no answer;
// a client's retry belongs to its first try. Sends through a Port, which is virtual or made of sockets.
#ifndef IVYGW_EMULATOR_CLIENTS_H_
#define IVYGW_EMULATOR_CLIENTS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/random.h"
#include "emulator/scheduler.h"
#include "eventlog/event_log.h"
#include "scenario/scenario.h"

namespace ivygw::emulator {

struct ClientCall {
  uint64_t id = 0;        // new with every try
  uint64_t retry_of = 0;  // the first try; 0 for one
  uint64_t customer = 0;
  int plan = 0, cls = 0;
  double units = 1, true_units = 1;  // guessed; as the answer tells
  double work_s = 0;                 // at a core of speed 1
  int spread = 1, first = 0;         // the customer's set of gateways
  double due = 0;                    // when it is meant to be sent
  double patience_s = 0;
  std::string key;       // of a keyed class; the same for all tries of a chain
  double draw = 0;       // for the choice of a gateway, drawn ahead
  bool honours = false;  // waits as long as it is told to before it tries again
  int tries = 0;         // before this one
};

class ClientPort {
 public:
  virtual ~ClientPort() = default;
  // Sends the call to a gateway; what becomes of it is told to Clients.
  virtual void Ask(int gateway, const ClientCall& call) = 0;
  // The client has gone: its connection is closed. Nothing more is told of the call.
  virtual void Drop(uint64_t id) = 0;
};

class Clients {
 public:
  // Draws the whole day. `scenario`, `scheduler` and `log` outlive the object.
  Clients(const scenario::Scenario& scenario, uint64_t seed, Scheduler* scheduler,
          std::vector<eventlog::Event>* log);

  void Start(ClientPort* port);
  // Of a gateway: whether the front sends to it.
  void SetAlive(int gateway, bool alive) { alive_[static_cast<size_t>(gateway)] = alive; }

  // From the port.
  void OnWritten(uint64_t id);
  void OnAnswer(uint64_t id, int status, double retry_after_s, uint64_t token);
  void OnEnded(uint64_t id);     // the connection ended with no whole answer
  void OnNotTaken(uint64_t id);  // could not connect

  const ClientCall* Find(uint64_t id) const;  // any try that was made, also one that is over
  size_t arrivals() const { return arrivals_.size(); }
  uint64_t open() const { return open_.size(); }
  uint64_t served() const { return served_; }
  uint64_t refused() const { return refused_; }
  uint64_t other() const { return other_; }

 private:
  void Draw(uint64_t seed);
  void Next();
  void Ask(ClientCall call);
  int Choose(const ClientCall& call);
  void Over(uint64_t id, bool harmless, double retry_after_s);
  eventlog::Event& Log(eventlog::EventKind kind, const ClientCall& call);

  struct Open {
    int gateway = 0;
    bool written = false;
  };
  const scenario::Scenario& scenario_;
  Scheduler* scheduler_;
  std::vector<eventlog::Event>* log_;
  ClientPort* port_ = nullptr;
  const Random random_;
  std::vector<ClientCall> arrivals_;
  size_t next_ = 0;
  std::unordered_map<uint64_t, ClientCall> calls_;
  std::unordered_map<uint64_t, Open> open_;
  std::vector<bool> alive_;
  uint64_t served_ = 0, refused_ = 0, other_ = 0;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_CLIENTS_H_
