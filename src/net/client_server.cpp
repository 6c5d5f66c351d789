#include "net/client_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstdio>
#include <optional>
#include <vector>

#include "settings/settings.h"

namespace ivygw {
namespace {

// What is read of a client ahead of its answer. Past that nothing is until it is answered, so that clients
// cannot fill the memory.
constexpr size_t kMostAhead = 2 * kMaxHeader;
constexpr auto kLinger = std::chrono::seconds(1);    // for a client to read its last answer
constexpr auto kAnswerRead = std::chrono::seconds(10);  // for an answer to be read
// For a connection's first request to be whole from when it was taken, and for a later one from its first byte.
constexpr auto kRequestWhole = std::chrono::milliseconds(2500);
constexpr size_t kMostBlank = 64;  // bytes of empty lines ahead of a request
constexpr size_t kMostLingerBytes = size_t{1} << 20;
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);

const char* Reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 413: return "Payload Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Error";
  }
}

}  // namespace

class ClientServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientServer* server, uint64_t id, tcp::socket socket)
      : server_(server), id_(id), socket_(std::move(socket)), timer_(server->io_) {}

  bool idle() const { return state_ == State::kReading && !begun_; }

  // Guards against those that connect and say nothing, or never all.
  void Start() {
    Next();
    LimitRequest();
    Read();
  }

  void Reply(Answer answer) {
    if (state_ != State::kHeld) return;
    Write(std::move(answer), keep_ && !server_->asking_to_close_);
  }

  // Between requests only. Bytes that have come meanwhile are a request that is to be served.
  bool CloseIfIdle() {
    if (!idle()) return false;
    char byte;
    error_code error;
    size_t n = socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (n > 0) return false;
    Close();
    return true;
  }

  void Close() {
    if (state_ == State::kClosed) return;
    auto self = shared_from_this();
    bool held = state_ == State::kHeld;
    Busy(false);
    state_ = State::kClosed;
    NotIdle();
    timer_.cancel();
    CloseNow(socket_);
    ClientServer* server = server_;
    server->connections_.erase(id_);
    server->on_closed_(id_, held);
    if (server->paused_ && server->connections_.size() < server->most_ && server->accepting_) {
      server->paused_ = false;
      server->Accept();
    }
  }
  void Detach() {
    state_ = State::kClosed;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  enum class State { kReading, kHeld, kWriting, kLingering, kClosed };

  // Whether a whole request is here whose answer is not out.
  void Busy(bool now) {
    if (busy_ == now) return;
    busy_ = now;
    server_->busy_ += now ? 1 : -1;
  }

  void NotIdle() {
    if (idle_at_.has_value()) server_->idle_.erase(*idle_at_);
    idle_at_.reset();
    if (unfinished_at_.has_value()) server_->unfinished_.erase(*unfinished_at_);
    unfinished_at_.reset();
  }

  // Ready for the next request, of which bytes may have come already.
  void Next() {
    state_ = State::kReading;
    begun_ = continued_ = false;
    blank_ = 0;
    Renew(&parser_, kMaxBody);
    idle_at_ = server_->idle_.insert(server_->idle_.end(), id_);
  }

  void Read() {
    if (reading_ || state_ == State::kClosed || buffer_.size() >= kMostAhead) return;
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadChunk),
                            [self = shared_from_this(), this](error_code error, size_t n) {
                              reading_ = false;
                              if (state_ == State::kClosed) return;
                              // An end in the middle of an answer's last bytes, or while nothing is held,
                              // only ends the connection; while a request is held the client has gone away.
                              if (error) return Close();
                              buffer_.commit(n);
                              if (state_ == State::kLingering) {
                                lingered_ += n;
                                buffer_.clear();
                                if (lingered_ > kMostLingerBytes) return Close();
                              } else if (state_ == State::kReading) {
                                Parse();
                              }
                              Read();
                            });
  }

  void Parse() {
    // Empty lines before a request are passed over (RFC 9112, 2.2).
    while (!begun_ && buffer_.size() > 0 && (Front() == '\r' || Front() == '\n')) {
      buffer_.consume(1);
      if (++blank_ > kMostBlank) return Refuse(http::error::bad_method);
    }
    if (buffer_.size() == 0) return;
    if (!begun_) {
      begun_ = true;
      NotIdle();
      unfinished_at_ = server_->unfinished_.insert(server_->unfinished_.end(), id_);
    }
    if (error_code error = Feed(*parser_, buffer_)) return Refuse(error);
    if (parser_->is_done()) return Whole();
    if (parser_->is_header_done() && !continued_ &&
        boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      continued_ = true;
      static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      error_code ignored;
      socket_.send(asio::buffer(kContinue), 0, ignored);
    }
    LimitRequest();
  }
  void LimitRequest() {
    if (timed_) return;
    timed_ = true;
    timer_.expires_after(kRequestWhole);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && timed_ && state_ == State::kReading) Close();
    });
  }
  char Front() const { return *static_cast<const char*>(buffer_.data().data()); }

  void Whole() {
    if (timed_) timer_.cancel();
    timed_ = false;
    NotIdle();
    keep_ = parser_->keep_alive();
    state_ = State::kHeld;
    Busy(true);
    server_->on_request_(id_, parser_->release());
  }

  // The framing is in doubt: the answer ends the connection.
  void Refuse(error_code error) {
    if (timed_) timer_.cancel();
    Answer answer;
    answer.status = error == http::error::header_limit ? 431 : error == http::error::body_limit ? 413 : 400;
    Write(std::move(answer), false);
  }

  void Write(Answer answer, bool keep) {
    state_ = State::kWriting;
    message_.clear();
    message_.reserve(answer.headers.size() + answer.body.size() + 160);
    char text[96];
    int n = std::snprintf(text, sizeof(text), "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", answer.status,
                          Reason(answer.status), answer.body.size());
    message_.append(text, static_cast<size_t>(n));
    if (answer.retry_after_s > 0) {
      n = std::snprintf(text, sizeof(text), "Retry-After: %.3f\r\n", answer.retry_after_s);
      message_.append(text, static_cast<size_t>(n));
    }
    message_.append(answer.headers);
    if (!keep) message_ += "Connection: close\r\n";
    message_.append("\r\n").append(answer.body);
    WriteAll(socket_, message_, [self = shared_from_this(), this, keep](error_code error) {
      if (state_ == State::kClosed) return;
      timer_.cancel();
      Busy(false);
      if (error) return asio::post(server_->io_, [self, this] { Close(); });
      if (message_.capacity() > kMaxHeader) message_ = std::string();
      if (buffer_.size() == 0 && buffer_.capacity() > kReadChunk) buffer_.shrink_to_fit();
      if (!keep) return Linger();
      Next();
      // Bytes that came ahead are the next request. Posted: the caller may be in the middle of its actions.
      if (buffer_.size() > 0) {
        asio::post(server_->io_, [self, this] {
          if (state_ == State::kReading) Parse();
          Read();
        });
      } else {
        Read();
      }
    });
    LimitWriting();
  }

  // Guards against a client that never reads its answer.
  void LimitWriting() {
    if (state_ != State::kWriting) return;
    timer_.expires_after(kAnswerRead);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && state_ == State::kWriting) Close();
    });
  }

  // The last answer must reach a client that is still sending: a close with unread bytes would reset it away.
  void Linger() {
    state_ = State::kLingering;
    buffer_.clear();
    NotIdle();
    unfinished_at_ = server_->unfinished_.insert(server_->unfinished_.end(), id_);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLinger);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled) Close();
    });
    Read();
  }

  ClientServer* server_;
  const uint64_t id_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // of a request that is not whole, then of lingering
  boost::beast::flat_buffer buffer_{kMostAhead + kReadChunk};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<std::list<uint64_t>::iterator> idle_at_, unfinished_at_;
  std::string message_;
  State state_ = State::kReading;
  size_t lingered_ = 0, blank_ = 0;
  bool begun_ = false, keep_ = true, reading_ = false, timed_ = false, continued_ = false, busy_ = false;
};

ClientServer::ClientServer(asio::io_context& io, size_t most_connections, OnRequest on_request,
                           OnClosed on_closed)
    : io_(io),
      acceptor_(io),
      retry_(io),
      most_(most_connections),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)) {}

ClientServer::~ClientServer() {
  for (auto& [id, connection] : connections_) connection->Detach();
}

void ClientServer::Listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));  // started again under the same address
  acceptor_.bind(address);
  acceptor_.listen(1024);
  StartAccepting();
}

void ClientServer::Inherit(int descriptor, const tcp::endpoint& address) {
  std::string name = "LB_LISTEN_FD=" + std::to_string(descriptor);
  int type = 0, listening = 0;
  socklen_t size = sizeof(int);
  if (getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM ||
      getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0) {
    throw micadock::WireError(name + " is no listening socket");
  }
  error_code error;
  acceptor_.assign(address.protocol(), descriptor, error);
  if (error) throw micadock::WireError(name + " cannot be used: " + error.message());
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  tcp::endpoint bound = acceptor_.local_endpoint(error);
  if (error || bound != address) {
    throw micadock::WireError(name + " does not listen on the address in the configuration");
  }
}

void ClientServer::StartAccepting() {
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  Accept();
}

void ClientServer::StopAccepting() {
  accepting_ = false;
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

void ClientServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !accepting_) return;
    if (error) {
      // Out of descriptors or of memory: what waits is taken when there is room. Guards against a spinning
      // loop.
      retry_.expires_after(kAcceptRetry);
      retry_.async_wait([this](error_code cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    Taken(std::move(socket));
    if (connections_.size() >= most_) {
      // One that has been idle longest makes room, as it may be closed between requests; else the one that
      // began first to send what is not whole, or to be read out after its last answer.
      std::vector<uint64_t> oldest(idle_.begin(), idle_.end());
      bool room = false;
      for (size_t i = 0; i < oldest.size() && !room; ++i) {
        room = oldest[i] != last_ && connections_.at(oldest[i])->CloseIfIdle();
      }
      if (!room && !unfinished_.empty()) connections_.at(unfinished_.front())->Close();
    }
    paused_ = connections_.size() >= most_;
    if (!paused_) Accept();
  });
}

void ClientServer::Taken(tcp::socket socket) {
  Prepare(socket);
  uint64_t id = ++last_;
  auto connection = std::make_shared<Connection>(this, id, std::move(socket));
  connections_[id] = connection;
  connection->Start();
}

void ClientServer::Reply(uint64_t connection, Answer answer) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  auto kept = it->second;
  kept->Reply(std::move(answer));
}

bool ClientServer::Quiet() {
  if (!connections_.empty()) return false;
  if (!acceptor_.is_open()) return true;
  pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
  return poll(&waiting, 1, 0) == 0;
}

void ClientServer::CloseIdle() {
  std::vector<uint64_t> ids(idle_.begin(), idle_.end());
  for (uint64_t id : ids) {
    auto it = connections_.find(id);
    if (it != connections_.end()) it->second->CloseIfIdle();
  }
}

}  // namespace ivygw
