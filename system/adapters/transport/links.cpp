#include "transport/links.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace ivygw::transport {

using messages::Decode;
using messages::kProtocolVersion;
using messages::Ping;
using messages::Pong;

namespace {

constexpr double kFirstPause = 0.05, kLongestPause = 0.25;  // s
constexpr auto kComesUp = std::chrono::milliseconds(300);   // for a connection to come up
constexpr char kInvalidFrame[] = "a frame that is too long, or no message";
constexpr char kUnread[] = "the peer leaves too much unread";

void Guard(tcp::socket& socket) {
  unsigned ms = static_cast<unsigned>(kSilenceTimeout * 1000);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

}  // namespace

void Link::Start(OnMessage message, OnClosed closed) {
  message_ = std::move(message);
  closed_ = std::move(closed);
  last_received_ = Clock::now();
  memory_.Add(this);
  Guard(socket_);
  Read();
  Watch();
}

void Link::Close() {
  if (!open_) return;
  open_ = false;
  memory_.Remove(this);
  timer_.cancel();
  CloseNow(socket_);
  message_ = nullptr;
  closed_ = nullptr;
}

void Link::Lost() {
  if (!open_) return;
  auto self = shared_from_this();
  OnClosed closed = std::move(closed_);
  Close();
  if (closed) closed();
}

// Not at once: whoever sends may be going through its links.
void Link::Evict() {
  evicted_ = true;
  FreeMemory(&out_);
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Lost(); });
}

std::string Link::Peer() const {
  error_code error;
  tcp::endpoint peer = socket_.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string() + ":" + std::to_string(peer.port());
}

void Link::CountMemory() { memory_.Update(this, reader_.held() + out_.capacity() + writing_.capacity()); }

void Link::Read() {
  ReadSome(socket_, kMostRead, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
    if (!open_) return;
    if (error || bytes.empty()) return Lost();
    last_received_ = Clock::now();
    reader_.Add(bytes);
    if (!HandleFrames()) return;
    CountMemory();
    Read();
  });
}

// Returns whether the connection goes on.
bool Link::HandleFrames() {
  while (open_ && !evicted_) {
    std::string_view content;
    FrameReader::ReadStatus got = reader_.Next(&content);
    if (got == FrameReader::ReadStatus::kIncomplete) return true;
    std::optional<Message> message = got == FrameReader::ReadStatus::kFrame ? Decode(content) : std::nullopt;
    if (!message) {
      memory_.LogClosed(kInvalidFrame, Peer(), reader_.held());
      Lost();
    } else if (std::holds_alternative<Ping>(*message)) {
      Send(Pong{std::get<Ping>(*message).number});
    } else if (!std::holds_alternative<Pong>(*message)) {
      OnMessage handler = message_;
      handler(std::move(*message));
    }
  }
  return false;
}

void Link::SendFrame(const std::string& frame) {
  if (!open_ || evicted_) return;
  out_ += frame;
  if (out_.size() > kMaxUnsentBytes) {
    memory_.LogClosed(kUnread, Peer(), out_.size());
    return Evict();
  }
  CountMemory();
  if (evicted_) return;
  if (sending_ || flushing_) return;
  // What one turn of the loop sends goes out in one write.
  flushing_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this(), this] {
    flushing_ = false;
    if (open_ && !sending_) Write();
  });
}

void Link::Write() {
  if (out_.empty()) return;
  sending_ = true;
  writing_ = std::move(out_);
  out_.clear();
  WriteAll(socket_, writing_, [self = shared_from_this(), this](error_code error) {
    sending_ = false;
    if (!open_) return;
    if (error) return asio::post(socket_.get_executor(), [self] { self->Lost(); });
    writing_.capacity() > messages::kMaxIdleBuffer ? FreeMemory(&writing_) : writing_.clear();
    CountMemory();
    if (!out_.empty()) Write();
  });
}

void Link::Watch() {
  timer_.expires_after(Seconds(kSilenceTimeout / 3));
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (cancelled || !open_) return;
    auto silent = Clock::now() - last_received_;
    if (silent > Seconds(kSilenceTimeout)) return Lost();
    if (silent > Seconds(kSilenceTimeout / 4)) Send(Ping{});
    Watch();
  });
}

Dialer::Dialer(asio::io_context& io, LinkMemory* memory, tcp::endpoint address, Events events)
    : io_(io),
      memory_(*memory),
      address_(std::move(address)),
      events_(std::move(events)),
      timer_(io),
      random_(std::random_device{}()) {
  asio::post(io_, [this, alive = alive_] {
    if (*alive) Dial();
  });
}

Dialer::~Dialer() {
  *alive_ = false;
  timer_.cancel();
  if (dialing_) CloseNow(*dialing_);
  if (link_) link_->Close();
}

void Dialer::Dial() {
  auto socket = std::make_shared<tcp::socket>(io_);
  dialing_ = socket;
  if (Open(*socket, address_)) return Retry();
  Guard(*socket);
  timer_.expires_after(kComesUp);
  timer_.async_wait([alive = alive_, socket](error_code cancelled) {
    if (!cancelled && *alive) CloseNow(*socket);
  });
  socket->async_connect(address_, [this, alive = alive_, socket](error_code error) {
    if (!*alive || dialing_ != socket) return;
    timer_.cancel();
    dialing_.reset();
    if (error || !socket->is_open()) return Retry();
    backoff_ = 0;
    link_ = std::make_shared<Link>(io_, &memory_, std::move(*socket));
    link_->Start([this](Message message) { events_.message(std::move(message)); },
                 [this] {
                   link_.reset();
                   events_.down();
                   Retry();
                 });
    events_.up();
  });
}

void Dialer::Retry() {
  dialing_.reset();
  backoff_ = std::clamp(backoff_ * 1.7, kFirstPause, kLongestPause);
  std::uniform_real_distribution<double> part(0.5, 1.0);
  timer_.expires_after(Seconds(backoff_ * part(random_)));
  timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) Dial();
  });
}

Host::~Host() {
  *alive_ = false;
  for (auto& [id, peer] : links_) peer.link->Close();
}

void Host::Listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(1024);
  Accept();
}

void Host::Accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (error) {  // out of descriptors or of memory: what waits is taken when there is room
      retry_.expires_after(std::chrono::milliseconds(50));
      return retry_.async_wait([this, alive](error_code cancelled) {
        if (!cancelled && *alive) Accept();
      });
    }
    if (!Prepare(socket)) {
      uint64_t id = ++last_;
      auto link = std::make_shared<Link>(io_, &memory_, std::move(socket));
      links_[id].link = link;
      link->LimitFrames(kMaxHelloBytes);
      link->Start([this, id](Message message) { OnMessage(id, std::move(message)); },
                  [this, id] { OnClosed(id); });
    }
    Accept();
  });
}

void Host::OnMessage(uint64_t id, Message message) {
  auto it = links_.find(id);
  if (it == links_.end()) return;
  if (it->second.greeted) return events_.message(id, std::move(message));
  const Hello* hello = std::get_if<Hello>(&message);
  if (!hello || hello->protocol_version != kProtocolVersion) return Close(id);
  it->second.greeted = true;
  it->second.link->LimitFrames(messages::kMaxFrameBytes);
  events_.up(id, *hello);
}

void Host::OnClosed(uint64_t id) {
  auto it = links_.find(id);
  if (it == links_.end()) return;
  bool greeted = it->second.greeted;
  links_.erase(it);
  if (greeted) events_.down(id);
}

void Host::Send(uint64_t peer, const Message& message) {
  auto it = links_.find(peer);
  if (it != links_.end()) it->second.link->Send(message);
}

void Host::SendFrame(uint64_t peer, const std::string& frame) {
  auto it = links_.find(peer);
  if (it != links_.end()) it->second.link->SendFrame(frame);
}

void Host::Close(uint64_t peer) {
  auto it = links_.find(peer);
  if (it == links_.end()) return;
  it->second.link->Close();
  bool greeted = it->second.greeted;
  links_.erase(it);
  if (greeted) events_.down(peer);
}

}  // namespace ivygw::transport
