#include "standin/listener.h"

namespace ivygw::standin {

namespace {
constexpr int kBacklog = 4096;
constexpr int kFilling = 4;
constexpr auto kAgain = std::chrono::milliseconds(10);
}  // namespace

Listener::Listener(asio::io_context& io, OnSocket on_socket)
    : io_(io), on_socket_(std::move(on_socket)), acceptor_(io), again_(io) {
  Accept();
}

void Listener::Bind() {
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  filling_.clear();
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind({asio::ip::address_v4::loopback(), port_});
  port_ = acceptor_.local_endpoint().port();
}

void Listener::Refuse() { Bind(); }

void Listener::FallSilent() {
  Bind();
  acceptor_.listen(0);
  for (int i = 0; i < kFilling; ++i) {
    tcp::socket& socket = filling_.emplace_back(io_);
    socket.open(tcp::v4());
    socket.async_connect({asio::ip::address_v4::loopback(), port_}, [](error_code) {});
  }
}

void Listener::Accept() {
  Bind();
  acceptor_.listen(kBacklog);
  Next();
}

void Listener::Next() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {  // out of descriptors: what waits is taken when there is room; never a loop that spins
      again_.expires_after(kAgain);
      again_.async_wait([this](error_code cancelled) {
        if (!cancelled && acceptor_.is_open()) Next();
      });
      return;
    }
    Prepare(socket);
    on_socket_(std::move(socket));
    Next();
  });
}

void ResetConnection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace ivygw::standin
