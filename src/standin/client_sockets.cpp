#include "standin/client_sockets.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace ivygw::standin {
namespace {

constexpr uint64_t kForeignToken = ~0ULL;  // of a body that is not this request's
constexpr size_t kPadding = 64;            // bytes of a POST's body

// "REQUEST:TOKEN", as the emulated nodes write it.
uint64_t TokenOf(const std::string& body, uint64_t request) {
  uint64_t id = 0, token = 0;
  const char* end = body.data() + body.size();
  auto [colon, bad] = std::from_chars(body.data(), end, id);
  if (bad != std::errc() || colon == end || *colon != ':' || id != request) return kForeignToken;
  auto [stop, wrong] = std::from_chars(colon + 1, end, token);
  return wrong == std::errc() && stop == end ? token : kForeignToken;
}

}  // namespace

class ClientSockets::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientSockets* owner, int gateway) : owner_(owner), gateway_(gateway), socket_(owner->io_) {}

  int gateway() const { return gateway_; }
  bool Usable() { return open_ && !Stale(socket_); }

  void Send(uint64_t id, std::string message) {
    id_ = id;
    message_ = std::move(message);
    got_any_ = false;
    Renew(&parser_, kMaxBody);
    if (open_) {
      reused_ = true;
      return Write();
    }
    const tcp::endpoint& address = owner_->addresses_[static_cast<size_t>(gateway_)];
    error_code error = Open(socket_, address);
    if (error) {
      ++owner_->own_failures_;
      return asio::post(owner_->io_, [self = shared_from_this(), this] { NotTaken(); });
    }
    socket_.async_connect(address, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return NotTaken();
      open_ = true;
      Write();
    });
  }

  void Close() {
    closed_ = true;
    open_ = false;
    CloseNow(socket_);
  }

 private:
  void Write() {
    if (!reading_) Read();
    WriteAll(socket_, message_, [self = shared_from_this(), this](error_code error) {
      if (closed_ || id_ == 0) return;
      if (!error) return owner_->clients_->OnWritten(id_);
      asio::post(owner_->io_, [self, this] { Failed(); });
    });
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadChunk),
                            [self = shared_from_this(), this](error_code error, size_t n) {
                              reading_ = false;
                              if (closed_) return;
                              buffer_.commit(n);
                              if (error) return Failed();
                              if (id_ == 0) return Leave();  // bytes that nobody asked for
                              got_any_ = true;
                              if (Feed(*parser_, buffer_)) return Failed();
                              if (parser_->is_done()) return Answered();
                              Read();
                            });
  }

  void Answered() {
    auto& answer = parser_->get();
    double retry_after = 0;
    std::string_view text = View(answer["Retry-After"]);
    std::from_chars(text.data(), text.data() + text.size(), retry_after);
    int status = static_cast<int>(answer.result_int());
    uint64_t id = id_, token = status == 200 ? TokenOf(answer.body(), id_) : 0;
    bool keep = parser_->keep_alive() && buffer_.size() == 0;
    auto self = shared_from_this();
    id_ = 0;
    owner_->busy_.erase(id);
    if (keep) {
      owner_->idle_[static_cast<size_t>(gateway_)].push_back(self);
      Read();
    } else {
      Close();
    }
    owner_->clients_->OnAnswer(id, status, retry_after, token);
  }

  void Leave() {
    auto& idle = owner_->idle_[static_cast<size_t>(gateway_)];
    std::erase_if(idle, [this](const auto& c) { return c.get() == this; });
    Close();
  }

  // The connection ended. One that was kept may have been closed by the gateway just as the request was
  // written: that is sent once more, on a new one.
  void Failed() {
    if (closed_) return;
    auto self = shared_from_this();
    if (id_ == 0) return Leave();
    uint64_t id = std::exchange(id_, 0);
    owner_->busy_.erase(id);
    Close();
    if (owner_->ending_) return;
    if (reused_ && !got_any_) {
      auto fresh = owner_->Take(gateway_, true);
      owner_->busy_[id] = fresh;
      return fresh->Send(id, std::move(message_));
    }
    owner_->clients_->OnEnded(id);
  }
  void NotTaken() {
    if (closed_) return;
    auto self = shared_from_this();
    uint64_t id = std::exchange(id_, 0);
    owner_->busy_.erase(id);
    Close();
    if (!owner_->ending_) owner_->clients_->OnNotTaken(id);
  }

  ClientSockets* owner_;
  const int gateway_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string message_;
  uint64_t id_ = 0;  // 0: none
  bool open_ = false, closed_ = false, reading_ = false, reused_ = false, got_any_ = false;
};

ClientSockets::ClientSockets(asio::io_context& io, const scenario::Scenario& scenario,
                             emulator::Clients* clients)
    : io_(io), scenario_(scenario), clients_(clients) {
  addresses_.resize(static_cast<size_t>(scenario.gateways));
  idle_.resize(static_cast<size_t>(scenario.gateways));
}

ClientSockets::~ClientSockets() {
  ending_ = true;
  auto busy = std::move(busy_);
  for (auto& [id, connection] : busy) connection->Close();
  CloseIdle();
}

void ClientSockets::CloseIdle() {
  for (auto& list : idle_) {
    for (auto& connection : list) connection->Close();
    list.clear();
  }
}

void ClientSockets::SetAddress(int gateway, tcp::endpoint address) {
  addresses_[static_cast<size_t>(gateway)] = std::move(address);
}

std::shared_ptr<ClientSockets::Connection> ClientSockets::Take(int gateway, bool fresh) {
  auto& idle = idle_[static_cast<size_t>(gateway)];
  while (!fresh && !idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Usable()) return connection;
    connection->Close();
  }
  return std::make_shared<Connection>(this, gateway);
}

std::string ClientSockets::Message(const emulator::ClientCall& call) const {
  const scenario::RequestClass& cls = scenario_.classes[static_cast<size_t>(call.cls)];
  bool safe = cls.effect == scenario::Effect::kSafe;
  char text[512];
  int n = std::snprintf(text, sizeof(text),
                        "%s /%s HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %llu\r\nX-Tier: %s\r\n"
                        "Cookie: client=%016llx\r\nRequest-Timeout-Ms: %ld\r\n"
                        "X-Call-Terms: units=%g,spread=%d,first=%d\r\n",
                        safe ? "GET" : "POST", cls.name.c_str(), static_cast<unsigned long long>(call.id),
                        scenario_.plans[static_cast<size_t>(call.plan)].name.c_str(),
                        static_cast<unsigned long long>(call.customer),
                        std::max(1L, static_cast<long>(std::floor(call.patience_s * 1000))), call.units,
                        call.spread, call.first);
  std::string message(text, static_cast<size_t>(n));
  if (!call.key.empty()) message += "Idempotency-Key: " + call.key + "\r\n";
  if (call.tries > 0 && scenario_.clients.mark_retries) message += "Client-Retry: 1\r\n";
  if (safe) return message + "\r\n";
  return message + "Content-Length: " + std::to_string(kPadding) + "\r\n\r\n" + std::string(kPadding, 'b');
}

void ClientSockets::Ask(int gateway, const emulator::ClientCall& call) {
  auto connection = Take(gateway, false);
  busy_[call.id] = connection;
  connection->Send(call.id, Message(call));
}

void ClientSockets::Drop(uint64_t id) {
  auto it = busy_.find(id);
  if (it == busy_.end()) return;
  auto connection = it->second;
  busy_.erase(it);
  connection->Close();
}

}  // namespace ivygw::standin
