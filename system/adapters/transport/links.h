// Held connections between the system's processes. Frames of messages over TCP, dialled again with a pause
// that grows and is drawn by chance, watched by pings so that silence ends them. One thread, that of the
// event loop.
#ifndef IVYGW_SYSTEM_TRANSPORT_LINKS_H_
#define IVYGW_SYSTEM_TRANSPORT_LINKS_H_

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "messages/codec.h"
#include "net/clock.h"
#include "net/http.h"
#include "transport/link_memory.h"

namespace ivygw::transport {

using messages::Encode;
using messages::FrameReader;
using messages::Hello;
using messages::Message;

// For which a peer may say nothing before the connection counts as dead; each side pings three times in it.
inline constexpr double kSilenceTimeout = 1.5;  // s
// Bytes; a peer that leaves more unread loses its connection.
inline constexpr size_t kMaxUnsentBytes = size_t{64} << 20;
// Of a frame before the peer has said who it is.
inline constexpr size_t kMaxHelloBytes = size_t{16} * 1024;

class Link : public std::enable_shared_from_this<Link>, private LinkMemory::Holder {
 public:
  using OnMessage = std::function<void(Message)>;
  using OnClosed = std::function<void()>;
  // `memory` must not end before Close or `closed`.
  Link(asio::io_context& io, LinkMemory* memory, tcp::socket socket)
      : memory_(*memory), socket_(std::move(socket)), timer_(io) {}

  // Neither is called any more after Close or after `closed`.
  void Start(OnMessage message, OnClosed closed);
  void Send(const Message& message) { SendFrame(Encode(message)); }
  void SendFrame(const std::string& frame);  // of Encode
  void Close();
  // A frame that is longer ends the connection.
  void LimitFrames(size_t bytes) { reader_.LimitFrames(bytes); }
  bool open() const { return open_; }

 private:
  void Evict() override;
  std::string Peer() const override;
  void CountMemory();
  void Read();
  bool HandleFrames();
  void Write();
  void Watch();
  void Lost();

  LinkMemory& memory_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  OnMessage message_;
  OnClosed closed_;
  FrameReader reader_;
  std::string out_, writing_;
  Clock::time_point last_received_{};
  bool open_ = true, sending_ = false, flushing_ = false;
  bool evicted_ = false;  // and about to be closed
};

// Keeps one connection to one address open, and dials anew when it ends, until this is destroyed.
class Dialer {
 public:
  struct Events {
    std::function<void()> up;
    std::function<void(Message)> message;
    std::function<void()> down;
  };
  // `memory` outlives this.
  Dialer(asio::io_context& io, LinkMemory* memory, tcp::endpoint address, Events events);
  ~Dialer();
  Dialer(const Dialer&) = delete;
  Dialer& operator=(const Dialer&) = delete;
  // Lost without a word where the connection isn't up.
  void Send(const Message& message) {
    if (link_) link_->Send(message);
  }
  bool up() const { return link_ != nullptr; }

 private:
  void Dial();
  void Retry();
  asio::io_context& io_;
  LinkMemory& memory_;
  const tcp::endpoint address_;
  Events events_;
  asio::steady_timer timer_;
  std::shared_ptr<tcp::socket> dialing_;
  std::shared_ptr<Link> link_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mt19937_64 random_;
  double backoff_ = 0;
};

// Connections that others dial. Each is named by a number; it counts once its Hello of this form has come.
class Host {
 public:
  struct Events {
    std::function<void(uint64_t, const Hello&)> up;
    std::function<void(uint64_t, Message)> message;
    std::function<void(uint64_t)> down;
  };
  // `memory` outlives this.
  Host(asio::io_context& io, LinkMemory* memory, Events events)
      : io_(io), memory_(*memory), acceptor_(io), retry_(io), events_(std::move(events)) {}
  ~Host();
  void Listen(const tcp::endpoint& address);  // throws boost::system::system_error
  void Send(uint64_t peer, const Message& message);
  void SendFrame(uint64_t peer, const std::string& frame);
  void Close(uint64_t peer);

 private:
  void Accept();
  void OnMessage(uint64_t id, Message message);
  void OnClosed(uint64_t id);
  asio::io_context& io_;
  LinkMemory& memory_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  Events events_;
  uint64_t last_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  struct Peer {
    std::shared_ptr<Link> link;
    bool greeted = false;
  };
  std::unordered_map<uint64_t, Peer> links_;
};

}  // namespace ivygw::transport

#endif  // IVYGW_SYSTEM_TRANSPORT_LINKS_H_
