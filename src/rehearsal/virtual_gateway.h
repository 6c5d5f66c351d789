// A gateway in virtual time: the core that `ivygw` runs, driven by the emulator's clock, with links of stated
// delays in place of sockets. Keeps links and no book. One thread.
#ifndef IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_
#define IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/driver.h"
#include "emulator/clients.h"
#include "emulator/engine_model.h"
#include "emulator/scheduler.h"
#include "emulator/world.h"
#include "fleet/node_agent.h"
#include "gateway/config.h"
#include "net/discovery_client.h"
#include "scenario/scenario.h"

namespace ivygw::rehearsal {

// Of the module's clock at the run's nought; any time will do, as long as it is one for all gateways.
inline constexpr double kVirtualEpochS = 1800000000;

class VirtualGateway {
 public:
  VirtualGateway(int number, const Config& config, const scenario::Network& network,
                 emulator::Scheduler* scheduler, emulator::World* world, emulator::Clients* clients,
                 emulator::EngineModel* engine = nullptr, uint64_t life = 0);
  ~VirtualGateway();  // as if killed: connections to nodes and clients end

  // Does nothing until it goes on; what comes meanwhile waits. Bytes that it has sent are on their way.
  void Pause(bool on);
  const fleet::NodeAgent* desk() const { return desk_.get(); }
  void OnRequest(const emulator::ClientCall& call);  // its last byte has come
  void OnClientGone(uint64_t call);
  void DiscoveryChanged();        // its agent may get something at another time than was thought
  void AddressDown(int address);  // connections to it have been reset

 private:
  // A connection to a node, as both ends have it.
  struct Link {
    int address = -1, node = -1;
    bool connected = false;  // holds a connection of the node
    bool reset = false;      // by the node's end
    bool closed = false;     // by this gateway
    uint64_t at_node = 0;    // the attempt that is there
  };

  friend class core::Driver<VirtualGateway>;
  double Now() const { return kVirtualEpochS + ahead_s_ + scheduler_->Now(); }  // as this machine has it
  void AfterTurn();
  void After(double wait, std::function<void()> task);  // unless the gateway has gone by then

  void Execute(const core::RegisterRequest& effect) {
    calls_[effect.request] = effect.client;
    if (desk_) desk_->Held(effect.client, effect.request);
  }
  void Execute(const core::RecordIntent& effect);
  void Execute(const core::RecordAttemptEnd& effect) {
    if (desk_) desk_->AttemptOver(effect.request, effect.attempt, effect.may_have_run);
  }
  void Execute(const core::SendResponse& effect);
  void Execute(const core::ReleaseRequest& effect) { calls_.erase(effect.request); }
  void Execute(const core::OpenConnection& effect);
  void Execute(const core::WriteRequest& effect);
  void Execute(const core::CloseConnection& effect);
  void Execute(const core::CallCounter& effect);
  template <typename Other>
  void Execute(const Other&) {}  // logs and the end of the program are not played

  // Of works that outlive their gateway.
  struct Outgoing {
    int status = 0;
    double retry_after_s = 0;
    uint64_t token = 0;
  };
  void StartDesk(emulator::EngineModel* engine, uint64_t life);
  void Send(uint64_t client, const Outgoing& answer);

  void CloseLink(const std::shared_ptr<Link>& link);
  void Lost(uint64_t connection, const std::shared_ptr<Link>& link);
  void Replied(uint64_t connection, const std::shared_ptr<Link>& link, uint64_t call,
               emulator::ReplyKind kind, uint64_t token);
  void OnNews(const emulator::DiscoveryNews& news);
  void Watch();

  const int number_;
  const Config& config_;
  const scenario::Network network_;
  const double ahead_s_;
  emulator::Scheduler* scheduler_;
  emulator::World* world_;
  emulator::Clients* clients_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  BackendIds ids_;
  std::map<uint64_t, std::shared_ptr<Link>> links_;
  std::map<uint32_t, uint64_t> calls_;  // the clients' calls of requests
  std::set<uint64_t> waiting_;          // calls whose connections to clients are open
  uint64_t index_ = 0, watch_ = 0, armed_turn_ = 0;
  double armed_ = core::kNever;
  std::map<uint64_t, uint64_t> tokens_;             // of answers told of in this turn, by connection
  std::map<uint64_t, core::RequestArrived> taken_;  // by call, while the ledger is asked
  std::map<uint64_t, Outgoing> held_answers_;       // by call, until they are recorded
  std::map<uint32_t, std::pair<int, int>> places_;
  bool paused_ = false;
  std::vector<std::function<void()>> waiting_tasks_;
  uint64_t wake_turn_ = 0;
  std::unique_ptr<fleet::NodeAgent> desk_;
  std::optional<core::Driver<VirtualGateway>> driver_;
};

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_
