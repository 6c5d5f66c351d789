#include "standin/backend_servers.h"

#include <charconv>

namespace ivygw::standin {

using emulator::ReplyKind;

namespace {

constexpr size_t kEndlessBytes = size_t{128} * 1024;

template <typename T>
bool ReadNumber(std::string_view text, T* value) {
  auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return bad == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

BackendServers::BackendServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world,
                               const emulator::Clients* clients, int gateways)
    : io_(io), scheduler_(scheduler), world_(world), clients_(clients), gateways_(gateways) {
  for (int a = 0; a < world->addresses(); ++a) {
    for (int g = 0; g < gateways; ++g) {
      listeners_.push_back(std::make_unique<Listener>(
          io_, [this, a, g](tcp::socket socket) { Taken(a, g, std::move(socket)); }));
    }
  }
}

BackendServers::~BackendServers() {
  ending_ = true;
  std::vector<std::shared_ptr<HttpPeer>> peers;
  for (auto& [peer, connection] : connections_) peers.push_back(connection.peer);
  for (auto& peer : peers) peer->Reset();
}

std::string BackendServers::Address(int address, int gateway) const {
  return listeners_[static_cast<size_t>(address) * static_cast<size_t>(gateways_) +
                    static_cast<size_t>(gateway)]
      ->address();
}

void BackendServers::Taken(int address, int gateway, tcp::socket socket) {
  if (!world_->Connect(address)) return ResetConnection(socket);
  auto peer = std::make_shared<HttpPeer>(
      std::move(socket),
      [this](HttpPeer& p, const ServerRequest& request, Clock::time_point first) {
        OnRequest(p, request, first);
      },
      [this](HttpPeer& p) {
        auto it = connections_.find(&p);
        if (it == connections_.end()) return;
        Connection gone = it->second;
        connections_.erase(it);
        if (ending_) return;
        if (gone.attempt != 0) world_->Cancel(gone.attempt);
        world_->Disconnect(gone.address, gone.node);
      });
  connections_[peer.get()] = {peer, address, gateway, world_->NodeAt(address), 0};
  peer->Start();
}

void BackendServers::OnRequest(HttpPeer& peer, const ServerRequest& request, Clock::time_point first_byte) {
  Connection& connection = connections_.at(&peer);
  if (View(request.target()) == "/-/healthy" || View(request.target()) == "/-/load") {
    return peer.Write(HttpAnswer(404, ""));  // no probes on these days
  }
  std::string_view id_text = View(request["Request-Id"]);
  uint64_t id = 0;
  if (id_text.empty()) return peer.Write(HttpAnswer(404, ""));
  if (!ReadNumber(id_text, &id) || clients_->Find(id) == nullptr) return peer.Write(HttpAnswer(400, ""));
  double patience_ms = 0;
  ReadNumber(View(request["Request-Timeout-Ms"]), &patience_ms);
  double ago = std::chrono::duration<double>(Clock::now() - first_byte).count();
  connection.attempt =
      world_->Arrive(connection.address, connection.gateway, id, scheduler_->Now() - ago, patience_ms / 1000,
                     [this, weak = peer.weak_from_this(), id](ReplyKind kind, uint64_t token) {
                       if (auto kept = weak.lock(); kept != nullptr && kept->open())
                         Answer(kept.get(), id, kind, token);
                     });
}

void BackendServers::Answer(HttpPeer* peer, uint64_t request, ReplyKind kind, uint64_t token) {
  auto it = connections_.find(peer);
  if (it == connections_.end()) return;
  it->second.attempt = 0;
  switch (kind) {
    case ReplyKind::kServed: {
      const emulator::ClientCall* call = clients_->Find(request);
      std::string units =
          "X-Cost-Units: " + std::to_string(std::max(1L, std::lround(call->true_units))) + "\r\n";
      return peer->Write(HttpAnswer(200, std::to_string(request) + ":" + std::to_string(token), units));
    }
    case ReplyKind::kError: return peer->Write(HttpAnswer(500, ""));
    case ReplyKind::kNotStarted: return peer->Write(HttpAnswer(503, "", "Not-Started: 1\r\n"));
    case ReplyKind::kResetEarly:
    case ReplyKind::kReset: return peer->Reset();
    case ReplyKind::kSpoilt:
      return peer->Write(std::string("\x01\x02 this is no answer\r\n\r\n") + std::string(64, '\x7f'));
    case ReplyKind::kCut:
      peer->Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + std::to_string(request) + ":");
      return peer->Close();
    case ReplyKind::kEndless:
      return peer->Write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" +
                         std::string(kEndlessBytes, '.'));
  }
}

void BackendServers::Down(int address) {
  std::vector<std::shared_ptr<HttpPeer>> peers;
  for (auto& [peer, connection] : connections_) {
    if (connection.address == address) peers.push_back(connection.peer);
  }
  for (auto& peer : peers) peer->Reset();
  for (int g = 0; g < gateways_; ++g) At(address, g)->Refuse();
}

void BackendServers::Silent(int address) {
  for (auto& [peer, connection] : connections_) {
    if (connection.address == address) connection.peer->Freeze();
  }
  for (int g = 0; g < gateways_; ++g) At(address, g)->FallSilent();
}

void BackendServers::Up(int address) {
  for (int g = 0; g < gateways_; ++g) At(address, g)->Accept();
}

}  // namespace ivygw::standin
