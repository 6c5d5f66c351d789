#include "standin/discovery_servers.h"

#include <algorithm>
#include <cstdlib>

#include "emulator/installation.h"

namespace ivygw::standin {

DiscoveryServers::DiscoveryServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world,
                                   int gateways, double epoch_s, AddressOf address_of)
    : scheduler_(scheduler), world_(world), epoch_s_(epoch_s), address_of_(std::move(address_of)) {
  for (int g = 0; g < gateways; ++g) {
    listeners_.push_back(std::make_unique<Listener>(io, [this, g](tcp::socket socket) {
      auto peer = std::make_shared<HttpPeer>(
          std::move(socket),
          [this, g](HttpPeer& p, const ServerRequest& request, Clock::time_point) {
            OnRequest(p, g, request);
          },
          [this](HttpPeer& p) {
            if (!ending_) peers_.erase(&p);
          });
      peers_[peer.get()] = peer;
      peer->Start();
    }));
  }
}

DiscoveryServers::~DiscoveryServers() {
  ending_ = true;
  for (auto& [raw, peer] : peers_) peer->Reset();
}

void DiscoveryServers::OnRequest(HttpPeer& peer, int gateway, const ServerRequest& request) {
  std::string target(View(request.target()));
  if (target.rfind("/api/targets", 0) != 0) return peer.Write(HttpAnswer(404, ""));
  Waiting waiting{peer.weak_from_this(), gateway, true, 0, scheduler_->Now()};
  size_t after = target.find("after="), wait = target.find("wait_ms=");
  if (after != std::string::npos) {
    waiting.whole = false;
    waiting.after = std::strtoull(target.c_str() + after + 6, nullptr, 10);
  }
  if (wait != std::string::npos) {
    waiting.until += std::min(60000.0, std::strtod(target.c_str() + wait + 8, nullptr)) / 1000;
  }
  if (Try(waiting)) return;
  waiting_.push_back(waiting);
  Look();
}

bool DiscoveryServers::Try(const Waiting& w) {
  auto peer = w.peer.lock();
  if (peer == nullptr || !peer->open()) return true;
  emulator::DiscoveryModel& discovery = world_->discovery();
  if (discovery.silent()) return false;
  double now = scheduler_->Now();
  if (!w.whole && discovery.Newer(w.gateway, w.after) > now && now < w.until) return false;
  emulator::DiscoveryNews news =
      w.whole ? discovery.Whole(now, w.gateway) : discovery.Since(now, w.gateway, w.after);
  auto list = emulator::DiscoveryList(news, epoch_s_, [&](int node) { return address_of_(node, w.gateway); });
  peer->Write(HttpAnswer(200, list.dump(), "Content-Type: application/json\r\n"));
  world_->Told(w.gateway, news);
  return true;
}

void DiscoveryServers::Changed() {
  waiting_.remove_if([this](const Waiting& w) { return Try(w); });
  Look();
}

// Looks again when the first that waits may be answered.
void DiscoveryServers::Look() {
  uint64_t mine = ++look_;
  if (waiting_.empty() || world_->discovery().silent()) return;
  double next = emulator::kNever;
  for (const Waiting& w : waiting_) {
    next = std::min({next, w.until, world_->discovery().Newer(w.gateway, w.after)});
  }
  scheduler_->At(next, [this, mine] {
    if (mine == look_) Changed();
  });
}

}  // namespace ivygw::standin
