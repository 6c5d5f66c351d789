// The emulated installation behind the gateways: nodes at their addresses, counter, discovery, and the
// timeline of faults. Runs on any Scheduler; reaches gateways through Links, which are virtual or made of
// sockets. Writes to the record what nodes, counter and discovery see. One thread.
#ifndef IVYGW_EMULATOR_WORLD_H_
#define IVYGW_EMULATOR_WORLD_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/clients.h"
#include "emulator/counter_model.h"
#include "emulator/discovery_model.h"
#include "emulator/node_model.h"
#include "emulator/scheduler.h"
#include "eventlog/event_log.h"
#include "scenario/scenario.h"

namespace ivygw::emulator {

// What the sockets, or their virtual stand-in, must do when the world changes.
class Links {
 public:
  virtual ~Links() = default;
  virtual void AddressDown(
      int address) = 0;  // the process has ended: connections are reset, new ones refused
  virtual void AddressSilent(
      int address) = 0;                     // the machine has vanished: nothing answers, nothing is refused
  virtual void AddressUp(int address) = 0;  // a process listens
  virtual void DiscoveryChanged() = 0;      // watches may have something to tell
  virtual void CounterRefuses(bool refuses) = 0;  // all parts of it: connections end, new ones are refused
  virtual void KillGateway(int gateway) = 0;
  virtual void StartGateway(int gateway) = 0;
  // Where they can be played: a gateway that does nothing for a while, and an engine that says nothing.
  virtual void PauseGateway(int, bool) {}
  virtual void EngineAway(bool) {}
};

enum class AddressState { kUp, kDown, kSilent };

class World {
 public:
  using OnReply = std::function<void(ReplyKind, uint64_t token)>;

  World(const scenario::Scenario& scenario, uint64_t seed, Scheduler* scheduler, const Clients* clients,
        std::vector<eventlog::Event>* log);

  // Brings the fleet up and sets out the timeline. Nodes that are not cold have been up for long.
  void Start(Links* links);

  // Addresses are fixed; which node runs at one changes.
  int addresses() const { return static_cast<int>(addresses_.size()); }
  AddressState address_state(int address) const { return addresses_[static_cast<size_t>(address)].state; }
  int NodeAt(int address) const { return addresses_[static_cast<size_t>(address)].node; }
  int AddressOf(int node) const { return nodes_[static_cast<size_t>(node)].address; }

  // At the node that runs there now. Connect: false if the node holds too many connections, or none runs.
  bool Connect(int address);
  void Disconnect(int address, int node);  // of the node that took the connection
  // An attempt has come whole; `first_byte`: when it began to. Returns its number for Cancel, or 0 where the
  // request is one that no client sent. `on_reply` runs once, never within this call, unless Cancel does.
  uint64_t Arrive(int address, int gateway, uint64_t request, double first_byte, double patience_s,
                  OnReply on_reply);
  void Cancel(uint64_t attempt);  // its connection has ended; no-op once it is answered

  CounterReply Count(int gateway, const std::string& name, double amount, double life_s);
  bool counter_refuses() const { return counter_refuses_; }

  DiscoveryModel& discovery() { return discovery_; }
  void Told(int gateway, const DiscoveryNews& news);  // has been written to the gateway
  std::string AddressName(int address) const { return "s-" + std::to_string(address); }

  void GatewayUp(int gateway);
  void GatewayDown(int gateway, const std::string& how, int status);
  void Finish();  // the end of the run: what is out is left as it is
  const std::vector<std::string>& active_faults() const { return active_; }
  uint64_t replies() const { return replies_; }

 private:
  struct Address {
    AddressState state = AddressState::kUp;
    int node = -1;
    NodeFaults faults;
  };
  struct Node {
    int address = 0;
    std::string name;
    NodeEntry entry;
    std::unique_ptr<NodeModel> model;
    uint64_t timer = 0;  // the newest; older ones do nothing
    double due = kNever;
  };
  struct Out {
    int node = 0;
    uint64_t request = 0;
    OnReply on_reply;
  };
  struct Group {
    scenario::NodeGroup spec;
    double speed = 1;
  };

  NodeSpec SpecAt(int address) const;
  int Spawn(int address, const std::string& name, bool cold);
  void Deliver(int node, std::vector<Reply>* replies);
  void Reply1(int node, const Reply& reply);
  void Arm(int node);
  void Down(int address, const char* why);
  void SetOut(const scenario::Fault& fault, size_t number);
  void Begin(const scenario::Fault& fault, const std::vector<int>& struck, size_t number);
  void End(const scenario::Fault& fault, const std::vector<int>& struck);
  void Restart(const scenario::Fault& fault, int address);
  void Replace(const scenario::Fault& fault, int address, size_t number);
  void SetNodeFaults(const scenario::Fault& fault, const std::vector<int>& struck, bool on);
  void SetCounterFaults(const scenario::Fault& fault, bool on);
  void Announce(int node, NodeStatus status);
  void Sample();
  eventlog::Event& Log(eventlog::EventKind kind);

  const scenario::Scenario& scenario_;
  const Random random_;
  Scheduler* scheduler_;
  const Clients* clients_;
  std::vector<eventlog::Event>* log_;
  Links* links_ = nullptr;
  RepeatMemory memory_;
  CounterModel counter_;
  DiscoveryModel discovery_;
  std::vector<Group> groups_;  // by address
  std::vector<Address> addresses_;
  std::vector<Node> nodes_;
  std::unordered_map<uint64_t, Out> out_;
  uint64_t last_attempt_ = 0, replies_ = 0;
  bool counter_refuses_ = false, finished_ = false;
  std::vector<std::string> active_;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_WORLD_H_
