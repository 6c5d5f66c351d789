#include "rehearsal/virtual_run.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "emulator/clients.h"
#include "emulator/engine_model.h"
#include "emulator/installation.h"
#include "emulator/scheduler.h"
#include "emulator/world.h"
#include "gateway/config.h"
#include "rehearsal/virtual_gateway.h"

namespace ivygw::rehearsal {
namespace {

constexpr double kBeforeS = 1;   // from the gateways' start to the first arrival
constexpr double kStartS = 0.1;  // from a gateway's start to the first request that it takes

class VirtualSite : public emulator::ClientPort, public emulator::Links {
 public:
  VirtualSite(const scenario::Scenario& s, uint64_t seed, emulator::VirtualScheduler* scheduler,
              emulator::Clients* clients, emulator::World* world)
      : scenario_(s), scheduler_(scheduler), clients_(clients), world_(world) {
    if (s.fleet.on) {
      engine_.emplace(scheduler, seed, s.fleet.engine_s);
      for (int g = 0; g < s.gateways; ++g) engine_->link(g).lost = s.fleet.engine_lost;
    }
    for (int g = 0; g < s.gateways; ++g) {
      configs_.push_back(std::make_unique<Config>(
          ParseConfig(emulator::GatewayConfig(s, g, seed, emulator::GatewayAddresses(), nullptr).dump())));
    }
    gateways_.resize(static_cast<size_t>(s.gateways));
  }
  void StartAll() {
    for (int g = 0; g < scenario_.gateways; ++g) Up(g);
  }

  void Ask(int gateway, const emulator::ClientCall& call) override {
    auto& g = gateways_[static_cast<size_t>(gateway)];
    if (g == nullptr) {
      return scheduler_->After(2 * scenario_.network.client_s,
                               [this, id = call.id] { clients_->OnNotTaken(id); });
    }
    clients_->OnWritten(call.id);
    scheduler_->After(scenario_.network.client_s, [this, gateway, id = call.id, life = lives_[g.get()]] {
      auto& to = gateways_[static_cast<size_t>(gateway)];
      if (to == nullptr || lives_[to.get()] != life) return clients_->OnEnded(id);  // it died meanwhile
      to->OnRequest(*clients_->Find(id));
    });
    asked_[call.id] = gateway;
  }
  void Drop(uint64_t id) override {
    scheduler_->After(scenario_.network.client_s, [this, id] {
      auto& g = gateways_[static_cast<size_t>(asked_[id])];
      if (g != nullptr) g->OnClientGone(id);
    });
  }
  void AddressDown(int address) override {
    for (auto& g : gateways_) {
      if (g != nullptr) g->AddressDown(address);
    }
  }
  void AddressSilent(int) override {}
  void AddressUp(int) override {}
  void DiscoveryChanged() override {
    for (auto& g : gateways_) {
      if (g != nullptr) g->DiscoveryChanged();
    }
  }
  void CounterRefuses(bool) override {}
  void KillGateway(int gateway) override {
    world_->GatewayDown(gateway, "killed", 9);
    gateways_[static_cast<size_t>(gateway)].reset();
    scheduler_->After(scenario_.clients.notice_s, [this, gateway] {
      if (gateways_[static_cast<size_t>(gateway)] == nullptr) clients_->SetAlive(gateway, false);
    });
  }
  void PauseGateway(int gateway, bool on) override {
    if (auto& g = gateways_[static_cast<size_t>(gateway)]; g != nullptr) g->Pause(on);
  }
  void EngineAway(bool away) override {
    if (engine_) engine_->away = away;
  }
  void StartGateway(int gateway) override {
    scheduler_->After(kStartS, [this, gateway] {
      Up(gateway);
      clients_->SetAlive(gateway, true);
    });
  }

 private:
  void Up(int gateway) {
    auto& g = gateways_[static_cast<size_t>(gateway)];
    ++last_life_;
    g = std::make_unique<VirtualGateway>(gateway, *configs_[static_cast<size_t>(gateway)], scenario_.network,
                                         scheduler_, world_, clients_, engine_ ? &*engine_ : nullptr,
                                         last_life_);
    lives_[g.get()] = last_life_;
    world_->GatewayUp(gateway);
  }

  const scenario::Scenario& scenario_;
  emulator::VirtualScheduler* scheduler_;
  emulator::Clients* clients_;
  emulator::World* world_;
  std::optional<emulator::EngineModel> engine_;
  std::vector<std::unique_ptr<Config>> configs_;
  std::vector<std::unique_ptr<VirtualGateway>> gateways_;
  std::unordered_map<const VirtualGateway*, uint64_t> lives_;
  uint64_t last_life_ = 0;
  std::unordered_map<uint64_t, int> asked_;
};

}  // namespace

eventlog::Record PlayVirtual(const scenario::Scenario& scenario, uint64_t seed,
                             const OnProgress& on_progress) {
  eventlog::Record record;
  record.facts = emulator::FactsOf(scenario, seed, "virtual");
  emulator::VirtualScheduler scheduler(-kBeforeS);
  emulator::Clients clients(scenario, seed, &scheduler, &record.events);
  emulator::World world(scenario, seed, &scheduler, &clients, &record.events);
  VirtualSite site(scenario, seed, &scheduler, &clients, &world);
  world.Start(&site);
  site.StartAll();
  clients.Start(&site);
  auto each = [&](double now) {
    if (on_progress) on_progress(now, record);
  };
  scheduler.RunUntil(scenario.duration_s, each);
  // Until all is answered: the longest deadline, a retry's wait and the retry.
  double longest = 0;
  for (const auto& c : scenario.classes) longest = std::max(longest, c.deadline_s);
  double rest =
      (longest + 0.2) * (1 + scenario.clients.retries) +
      scenario.clients.retries * std::max(scenario.clients.backoff_s, scenario.rules.max_retry_after_s);
  double end = scenario.duration_s;
  while (clients.open() > 0 && end < scenario.duration_s + rest) {
    end += 0.1;
    scheduler.RunUntil(end, each);
  }
  world.Finish();
  return record;
}

}  // namespace ivygw::rehearsal
