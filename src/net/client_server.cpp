#include "net/client_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstdio>
#include <optional>
#include <vector>

#include "net/message_reader.h"
#include "settings/settings.h"

namespace ivygw {
namespace {

// What is read of a client ahead of its answer. Past that nothing is until it is answered, so that clients
// cannot fill the memory.
constexpr size_t kMostAhead = 2 * kMaxHeader;
constexpr auto kLinger = std::chrono::seconds(1);       // for a client to read its last answer
constexpr auto kAnswerRead = std::chrono::seconds(10);  // for an answer, or a part of a long one, to be read
// For a connection's first request to be whole from when it was taken, and for a later one from its first
// byte; and for a long body so much more as it takes at the least rate, in bytes a second.
constexpr auto kRequestWhole = std::chrono::milliseconds(2900);
constexpr auto kBodyBegins = std::chrono::milliseconds(1900);  // at least, from when its head was whole
constexpr double kSlowestBody = 48 * 1024;
constexpr auto kBodyMoves = std::chrono::seconds(5);  // for the next of a body that is passed on in pieces
constexpr size_t kMostBlank = 64;                     // bytes of empty lines ahead of a request
constexpr size_t kMostLingerBytes = size_t{1} << 20;
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);
constexpr size_t kMostTakenAtOnce = 16;  // clients in one turn of the event loop

const char* Reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
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
      : server_(server),
        id_(id),
        socket_(std::move(socket)),
        timer_(server->io_),
        share_(server->memory_),
        reader_(kLongestBody) {}

  bool idle() const { return state_ == State::kReading && !begun_; }

  // Guards against those that connect and say nothing, or never all.
  void Start() {
    Next();
    LimitRequest();
    Read();
  }

  void Reply(const Answer& answer) {
    if (state_ == State::kHeld) Write(answer, keep_ && !more_ && !server_->asking_to_close_);
  }

  void ReplyBegin(const Answer& answer, std::optional<uint64_t> length) {
    if (state_ != State::kHeld) return;
    state_ = State::kReplying;
    chunked_ = !length && minor_ > 0;
    // To a client of HTTP/1.0 only the end of the connection can end a body of unknown length.
    keep_ = keep_ && !more_ && !server_->asking_to_close_ && (length || chunked_);
    std::string text = HeadOf(answer, length, keep_);
    AppendPart(answer.body, &text);
    Send(std::move(text), [this] { Drained(); });
    if (more_) Read();
  }
  void ReplyPart(std::string bytes, bool last) {
    if (state_ != State::kReplying) return;
    std::string text;
    if (chunked_) {
      text.reserve(bytes.size() + 24);
      AppendPart(bytes, &text);
      if (last) text += "0\r\n\r\n";
    } else {
      text = std::move(bytes);
    }
    if (last) state_ = State::kWriting;
    Send(std::move(text), [this, last] { last ? Answered(keep_) : Drained(); });
  }
  void Abort() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0),
                       ignored);  // a reset: no end that could pass for the body's
    Close();
  }

  void ReadBody() {
    if (state_ != State::kHeld || !more_ || wanted_) return;
    wanted_ = true;
    GiveBody();
    Read();
  }

  // No memory is left, and this request is not whole: nothing of it has been sent on.
  void RefuseForMemory() {
    if (state_ != State::kReading) return Close();
    FreeMemory(&body_);
    reader_.Drop();
    Refuse(503);
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
    bool held = state_ == State::kHeld || state_ == State::kReplying;
    Busy(false);
    state_ = State::kClosed;
    AnswerRead();
    timer_.cancel();
    CloseNow(socket_);
    ClientServer* server = server_;
    server->connections_.erase(id_);
    server->slots_.Remove(id_);
    server->events_.on_closed(id_, held);
    server->AcceptIfPaused();
  }
  void Detach() {
    state_ = State::kClosed;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  // kHeld: given on, not answered. kReplying: the answer is on its way in pieces. kWriting: its last is.
  enum class State { kReading, kHeld, kReplying, kWriting, kLingering, kClosed };

  // Whether a whole request is here whose answer is not out.
  void Busy(bool now) {
    if (busy_ == now) return;
    busy_ = now;
    server_->busy_ += now ? 1 : -1;
  }

  void SetSlot(ConnectionSlots::State state) {
    server_->slots_.Set(id_, state);
    server_->AcceptIfPaused();
  }
  void AnswerRead() {
    if (unread_at_.has_value()) server_->unread_.erase(*unread_at_);
    unread_at_.reset();
  }
  // What strings have set aside counts, not what they hold of it: they grow by doubling.
  void Account() { share_.Hold(reader_.unread() + body_.capacity() + message_.capacity()); }

  // Ready for the next request, of which bytes may have come already.
  void Next() {
    state_ = State::kReading;
    begun_ = continued_ = more_ = wanted_ = false;
    blank_ = 0;
    reader_.Next();
    FreeMemory(&body_);
    SetSlot(ConnectionSlots::State::kIdle);
  }

  bool WantsBytes() const {
    switch (state_) {
      case State::kReading:
      case State::kLingering: return true;
      case State::kHeld: return more_ ? wanted_ : reader_.unread() < kMostAhead;
      case State::kReplying:
      case State::kWriting: return more_ || reader_.unread() < kMostAhead;
      case State::kClosed: return false;
    }
    return false;
  }

  void Read() {
    if (reading_ || !WantsBytes()) return;
    reading_ = true;
    size_t most = state_ == State::kReading || more_ ? kMostRead : kReadChunk;
    ReadSome(socket_, most, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
      reading_ = false;
      if (state_ == State::kClosed) return;
      // An end in the middle of an answer's last bytes, or while nothing is held, only ends the connection;
      // while a request is held the client has gone away.
      if (error) return Close();
      Took(bytes);
      Read();
    });
  }

  void Took(std::string_view bytes) {
    if (state_ == State::kLingering) {
      lingered_ += bytes.size();
      if (lingered_ > (more_ ? kLongestBody : kMostLingerBytes)) return Close();
      if (more_) LimitLinger();  // the rest of a body that is not wanted: as long as it moves
      return;
    }
    bool answered = state_ == State::kReplying || state_ == State::kWriting;
    if (answered && more_) return;  // of a body that is not wanted any more
    reader_.Add(bytes);
    Account();
    if (state_ == State::kReading) return Parse();
    if (state_ == State::kHeld && more_ && wanted_) GiveBody();
  }

  void Parse() {
    // Empty lines before a request are passed over (RFC 9112, 2.2).
    while (!begun_ && reader_.unread() > 0 && (reader_.front() == '\r' || reader_.front() == '\n')) {
      reader_.Skip();
      if (++blank_ > kMostBlank) return Refuse(400);
    }
    if (reader_.unread() == 0 && !begun_) return server_->AcceptIfPaused();
    if (!begun_) {
      begun_ = true;
      if (timed_) first_ = Clock::now();  // what it was silent before does not count
      SetSlot(ConnectionSlots::State::kUnfinished);
    }
    size_t limit = server_->memory_->HoldLimit();
    error_code error = reader_.Parse(&body_, limit);
    Account();
    if (error)
      return Refuse(error == http::error::header_limit ? 431 : error == http::error::body_limit ? 413 : 400);
    if (reader_.done()) return Given(false);
    if (reader_.head_done()) {
      if (!head_) head_ = Clock::now();
      // Nothing of it has been sent on, so turning it away is harmless.
      bool is_long = reader_.length().value_or(0) > bodies::BodyMemory::kWhole ||
                     body_.size() >= bodies::BodyMemory::kWhole;
      if (is_long && server_->memory_->Crowded()) {
        ++server_->memory_refusals_;
        return RefuseForMemory();
      }
      if (!continued_ && boost::beast::iequals(reader_.head()[http::field::expect], "100-continue")) {
        continued_ = true;
        static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        socket_.send(asio::buffer(kContinue), 0, ignored);
      }
      if (body_.size() >= limit) return Given(true);
    }
    LimitRequest();
    if (server_->memory_->Full()) server_->MakeRoom();
  }

  // A body may come as slowly as kSlowestBody once its head is here; what comes more slowly than that never
  // ends.
  void LimitRequest() {
    if (timed_) return;
    timed_ = true;
    first_ = Clock::now();
    head_.reset();
    AwaitRequest();
  }
  void AwaitRequest() {
    timer_.expires_at(WholeBy());
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (cancelled || !timed_ || state_ != State::kReading) return;
      if (Clock::now() < WholeBy()) return AwaitRequest();
      Close();
    });
  }
  Clock::time_point WholeBy() const {
    Clock::time_point by = first_ + kRequestWhole;
    if (head_) by = std::max(by, *head_ + kBodyBegins);
    return by + Seconds(static_cast<double>(body_.size()) / kSlowestBody);
  }

  void Given(bool more) {
    if (timed_) timer_.cancel();
    timed_ = false;
    SetSlot(ConnectionSlots::State::kBusy);
    keep_ = reader_.keep_alive();
    minor_ = reader_.head().version() % 10;
    state_ = State::kHeld;
    more_ = more;
    ClientMessage message;
    message.more = more;
    message.length = reader_.length();
    if (more) {
      message.head =
          reader_.head();  // what is left of the body may have trailers, which go into the reader's own
    } else {
      message.head = std::move(reader_.head());
      Busy(true);
    }
    message.body = std::move(body_);
    FreeMemory(&body_);
    Account();
    server_->events_.on_request(id_, std::move(message));
  }

  void GiveBody() {
    body_.clear();
    error_code error = reader_.Parse(&body_, server_->memory_->Window());
    Account();
    if (error) return Close();  // it can't be made whole: what has gone on is given up with its client
    if (body_.empty() && !reader_.done()) return LimitBody();
    if (timed_) timer_.cancel();
    timed_ = wanted_ = false;
    more_ = !reader_.done();
    if (!more_) Busy(true);
    std::string bytes = std::move(body_);
    FreeMemory(&body_);
    Account();
    server_->events_.on_body(id_, std::move(bytes), !more_);
  }
  // Guards against a body that stops in the middle.
  void LimitBody() {
    timed_ = true;
    timer_.expires_after(kBodyMoves);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && timed_ && state_ == State::kHeld && more_) Close();
    });
  }

  // The framing is in doubt, or the rest is not wanted: the answer ends the connection.
  void Refuse(int status) {
    if (timed_) timer_.cancel();
    timed_ = false;
    more_ = status == 503;  // a sound one, of which the rest is read and dropped
    Answer answer;
    answer.status = status;
    Write(answer, false);
  }

  std::string HeadOf(const Answer& answer, std::optional<uint64_t> length, bool keep) const {
    std::string out;
    out.reserve(answer.headers.size() + answer.body.size() + 160);
    char text[96];
    int n = std::snprintf(text, sizeof(text), "HTTP/1.1 %d %s\r\n", answer.status, Reason(answer.status));
    out.append(text, static_cast<size_t>(n));
    if (length) {
      n = std::snprintf(text, sizeof(text), "Content-Length: %llu\r\n",
                        static_cast<unsigned long long>(*length));
      out.append(text, static_cast<size_t>(n));
    } else if (chunked_) {
      out += "Transfer-Encoding: chunked\r\n";
    }
    if (answer.retry_after_s > 0) {
      n = std::snprintf(text, sizeof(text), "Retry-After: %.3f\r\n", answer.retry_after_s);
      out.append(text, static_cast<size_t>(n));
    }
    out.append(answer.headers);
    if (!keep) {
      out += "Connection: close\r\n";
    } else if (minor_ == 0) {
      out += "Connection: keep-alive\r\n";
    }
    return out += "\r\n";
  }
  void AppendPart(const std::string& bytes, std::string* out) const {
    if (bytes.empty()) return;
    if (chunked_) {
      char text[24];
      out->append(text, static_cast<size_t>(std::snprintf(text, sizeof(text), "%zx\r\n", bytes.size())));
    }
    out->append(bytes);
    if (chunked_) out->append("\r\n");
  }

  void Write(const Answer& answer, bool keep) {
    state_ = State::kWriting;
    std::string text = HeadOf(answer, answer.body.size(), keep);
    text.append(answer.body);
    Send(std::move(text), [this, keep] { Answered(keep); });
    if (more_) Read();
  }

  // Then `done`, unless the connection has ended by then.
  template <typename Done>
  void Send(std::string text, Done done) {
    message_ = std::move(text);
    Account();
    sending_ = true;
    WriteAll(socket_, message_, [self = shared_from_this(), this, done](error_code error) {
      if (state_ == State::kClosed) return;
      timer_.cancel();
      sending_ = false;
      AnswerRead();
      if (error) return asio::post(server_->io_, [self, this] { Close(); });
      if (message_.capacity() > kMaxHeader) {
        FreeMemory(&message_);
      } else {
        message_.clear();
      }
      Account();
      done();
    });
    LimitWriting();
    if (sending_ && server_->memory_->Full())
      asio::post(server_->io_, [self = shared_from_this(), this] {
        if (state_ != State::kClosed) server_->MakeRoom();
      });
  }
  void Drained() { server_->events_.on_drained(id_); }

  void Answered(bool keep) {
    Busy(false);
    if (!keep) return Linger();
    Next();
    // Bytes that came ahead are the next request. Posted: the caller may be in the middle of its actions.
    if (reader_.unread() > 0) {
      asio::post(server_->io_, [self = shared_from_this(), this] {
        if (state_ == State::kReading) Parse();
        Read();
      });
    } else {
      Read();
    }
  }

  // Guards against a client that never reads its answer.
  void LimitWriting() {
    if (!sending_) return;
    AnswerRead();  // of the part before, whose `done` has sent this one
    unread_at_ = server_->unread_.insert(server_->unread_.end(), id_);
    timer_.expires_after(kAnswerRead);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && sending_) Close();
    });
  }

  // The last answer must reach a client that is still sending: a close with unread bytes would reset it away.
  void Linger() {
    state_ = State::kLingering;
    reader_.Drop();
    Account();
    SetSlot(ConnectionSlots::State::kUnfinished);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    LimitLinger();
    Read();
  }
  void LimitLinger() {
    timer_.expires_after(kLinger);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled) Close();
    });
  }

  ClientServer* server_;
  const uint64_t id_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // of a request that is not whole, of an answer that is not out, of lingering
  bodies::BodyShare share_;
  MessageReader<true> reader_;
  std::string body_, message_;
  std::optional<std::list<uint64_t>::iterator> unread_at_;
  Clock::time_point first_;                // from which the request that is not whole is timed
  std::optional<Clock::time_point> head_;  // when its head was whole
  State state_ = State::kReading;
  uint64_t lingered_ = 0;
  size_t blank_ = 0;
  unsigned minor_ = 1;
  bool begun_ = false, keep_ = true, reading_ = false, timed_ = false, continued_ = false, busy_ = false;
  bool more_ = false;    // the request's body is not all here
  bool wanted_ = false;  // the next of it has been asked for
  bool chunked_ = false, sending_ = false;
};

ClientServer::ClientServer(asio::io_context& io, size_t most_connections, bodies::BodyMemory* memory,
                           Events events)
    : io_(io),
      acceptor_(io),
      retry_(io),
      memory_(memory),
      events_(std::move(events)),
      slots_(most_connections) {}

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
  acceptor_.non_blocking(true);
  Accept();
}

void ClientServer::StopAccepting() {
  accepting_ = false;
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

// Frees memory: first of the answer that has waited longest for its client to read it, then of the request
// that began first and is not whole.
void ClientServer::MakeRoom() {
  while (memory_->Full()) {
    std::optional<uint64_t> unfinished = slots_.OldestUnfinished();
    if (!unread_.empty()) {
      Find(unread_.front())->Close();
    } else if (unfinished) {
      Find(*unfinished)->RefuseForMemory();
    } else {
      return;
    }
    ++memory_refusals_;
  }
}

void ClientServer::Accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || !accepting_) return;
    TakeWaiting();
  });
}

void ClientServer::AcceptIfPaused() {
  if (accepting_ && slots_.ShouldResume()) Accept();
}

// Takes clients that wait, until there are none or all slots are taken. Where all were taken before, room is
// made for one, but not for nobody: another process may have taken a client from an inherited socket.
void ClientServer::TakeWaiting() {
  bool room = !slots_.Full() || !ClientWaits() ||
              slots_.MakeRoom([this](uint64_t id) { return Find(id)->CloseIfIdle(); },
                              [this](uint64_t id) { Find(id)->Close(); });
  if (!room) return;
  for (size_t taken = 0; taken < kMostTakenAtOnce && !slots_.Full(); ++taken) {
    tcp::socket socket(io_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) break;
    if (error) return AcceptLater();
    Taken(std::move(socket));
  }
  Accept();
}

// Out of descriptors or of memory: what waits is taken when there is room. Guards against a spinning loop.
void ClientServer::AcceptLater() {
  retry_.expires_after(kAcceptRetry);
  retry_.async_wait([this](error_code cancelled) {
    if (!cancelled) Accept();
  });
}

bool ClientServer::ClientWaits() {
  pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
  return poll(&waiting, 1, 0) != 0;
}

void ClientServer::Taken(tcp::socket socket) {
  Prepare(socket);
  uint64_t id = ++last_;
  auto connection = std::make_shared<Connection>(this, id, std::move(socket));
  connections_[id] = connection;
  connection->Start();
}

std::shared_ptr<ClientServer::Connection> ClientServer::Find(uint64_t connection) const {
  auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : it->second;
}
void ClientServer::ReadBody(uint64_t connection) {
  if (auto c = Find(connection)) c->ReadBody();
}
void ClientServer::Reply(uint64_t connection, const Answer& answer) {
  if (auto c = Find(connection)) c->Reply(answer);
}
void ClientServer::ReplyBegin(uint64_t connection, const Answer& answer, std::optional<uint64_t> length) {
  if (auto c = Find(connection)) c->ReplyBegin(answer, length);
}
void ClientServer::ReplyPart(uint64_t connection, std::string bytes, bool last) {
  if (auto c = Find(connection)) c->ReplyPart(std::move(bytes), last);
}
void ClientServer::Abort(uint64_t connection) {
  if (auto c = Find(connection)) c->Abort();
}

bool ClientServer::Quiet() {
  if (!connections_.empty()) return false;
  return !acceptor_.is_open() || !ClientWaits();
}

void ClientServer::CloseIdle() {
  for (uint64_t id : slots_.Idle()) {
    if (auto connection = Find(id)) connection->CloseIfIdle();
  }
}

}  // namespace ivygw
