// A gateway in virtual time: the decision module with the books that `gateway` keeps round it, and links of stated
// delays in place of sockets. One thread.
#ifndef IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_
#define IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/clients.h"
#include "emulator/scheduler.h"
#include "emulator/world.h"
#include "gateway/config.h"
#include "net/discovery_client.h"
#include "policy/balance.h"
#include "scenario/scenario.h"

namespace ivygw::rehearsal {

// Of the module's clock at the run's nought; any time will do, as long as it is one for all gateways.
inline constexpr double kVirtualEpochS = 1800000000;

class VirtualGateway {
 public:
  VirtualGateway(int number, const Config& config, const scenario::Network& network, emulator::Scheduler* scheduler,
                 emulator::World* world, emulator::Clients* clients);
  ~VirtualGateway();  // as if killed: connections to nodes and clients end

  void OnRequest(const emulator::ClientCall& call);  // its last byte has come
  void OnClientGone(uint64_t call);
  void DiscoveryChanged();         // its agent may get something at another time than was thought
  void AddressDown(int address);   // kept connections to it have been reset

 private:
  struct Attempt;
  struct Held {
    uint64_t call = 0;
    double deadline = 0;
    std::vector<std::shared_ptr<Attempt>> attempts;
    bool answered = false, may_have_run = false, free = false;
  };
  struct Backend {
    int node = -1, address = -1;
    std::optional<double> no_send_after;  // of a draining one
    bool gone = false;
  };
  struct Kept {
    int node = -1;
    double since = 0;
  };

  template <typename Call>
  void Tell(Call call);
  void Act(micadock::Action& action);
  void After(double wait, std::function<void()> task);  // unless the gateway has gone by then
  void Send(const micadock::Action& action);
  void Cancel(const micadock::Action& action);
  void Write(const std::shared_ptr<Attempt>& attempt);
  void End(const std::shared_ptr<Attempt>& attempt, micadock::Result result, bool keep, double true_units,
           uint64_t token);
  void CloseConnection(const std::shared_ptr<Attempt>& attempt);
  void Finish(uint32_t id, int status, double retry_after_s, uint64_t token);
  void Forget(uint32_t id);
  void Guard(uint32_t id);
  void Count(const micadock::Action& action);
  void OnNews(const emulator::DiscoveryNews& news);
  void Watch();
  bool MaySend(const Backend& backend) const;
  double Now() const { return scheduler_->Now(); }

  const int number_;
  const Config& config_;
  const scenario::Network network_;
  emulator::Scheduler* scheduler_;
  emulator::World* world_;
  emulator::Clients* clients_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  BackendIds ids_;
  std::unordered_map<uint32_t, Backend> backends_;
  std::vector<std::deque<Kept>> kept_;  // idle connections by address, the most recently used last
  std::unordered_map<uint32_t, Held> held_;
  std::unordered_map<uint64_t, uint32_t> by_call_;
  std::vector<std::weak_ptr<Attempt>> out_;
  uint32_t last_id_ = 0, reporting_ = 0;
  uint64_t index_ = 0, watch_ = 0;
  micadock::Actions actions_, acting_;
  std::optional<micadock::Balancer> balancer_;
};

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_VIRTUAL_GATEWAY_H_
