#include "admin/server.h"

#include <array>
#include <utility>

namespace ivygw::admin {
namespace {

constexpr auto kCallWhole = std::chrono::seconds(6);   // from when a caller connected
constexpr auto kAnswerRead = std::chrono::seconds(2);  // for its answer to be read
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);

}  // namespace

class Server::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Server* server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server->io_) {}

  void Start(std::list<std::shared_ptr<Caller>>::iterator at) {
    at_ = at;
    Limit(kCallWhole);
    Read();
  }
  void Close() {
    if (closed_) return;
    auto self = shared_from_this();
    Detach();
    server_->callers_.erase(at_);
  }
  void Detach() {
    closed_ = true;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  void Limit(Clock::duration time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) self->Close();
    });
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(part_), [self = shared_from_this(), this](error_code error, size_t n) {
          if (closed_) return;
          if (answered_) return error ? Close() : Read();  // what comes after the call is of no interest
          line_.append(part_.data(), n);
          size_t end = line_.find('\n');
          if (end != std::string::npos) return Answer(std::string_view(line_).substr(0, end));
          if (line_.size() > kMostLine + 2) return Answer(line_);
          // A last line without its end is a call, as long as its caller can still read the answer.
          if (error == asio::error::eof && !line_.empty()) return Answer(line_);
          if (error) return Close();
          Read();
        });
  }

  void Answer(std::string_view line) {
    answered_ = true;
    Parsed parsed = ParseCall(line);
    text_ = parsed.fault.empty() ? server_->answer_(parsed.call) : No(parsed.fault);
    Limit(kAnswerRead);
    WriteAll(socket_, text_, [self = shared_from_this(), this](error_code error) {
      if (closed_) return;
      if (error) return Close();
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      Read();  // until the caller has ended too: a close with unread bytes would reset the answer away
    });
  }

  Server* server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::list<std::shared_ptr<Caller>>::iterator at_;
  std::array<char, kMostLine> part_;
  std::string line_, text_;
  bool answered_ = false, closed_ = false;
};

Server::Server(asio::io_context& io, Answer answer)
    : io_(io), acceptor_(io), retry_(io), answer_(std::move(answer)) {}

Server::~Server() {
  for (const auto& caller : callers_) caller->Detach();
}

void Server::Listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(128);
  Accept();
}

void Server::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {  // out of descriptors or of memory: guards against a spinning loop
      retry_.expires_after(kAcceptRetry);
      retry_.async_wait([this](error_code cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    if (callers_.size() >= kMostCallers) callers_.front()->Close();
    if (!Prepare(socket)) {
      auto caller = std::make_shared<Caller>(this, std::move(socket));
      caller->Start(callers_.insert(callers_.end(), caller));
    }
    Accept();
  });
}

}  // namespace ivygw::admin
