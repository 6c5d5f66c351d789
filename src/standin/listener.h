// A loopback listener on a port of its own that can go down and come back, as a process or a machine does.
#ifndef IVYGW_STANDIN_LISTENER_H_
#define IVYGW_STANDIN_LISTENER_H_

#include <functional>
#include <string>
#include <vector>

#include "net/http.h"

namespace ivygw::standin {

class Listener {
 public:
  using OnSocket = std::function<void(tcp::socket)>;
  Listener(asio::io_context& io, OnSocket on_socket);

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  uint16_t port() const { return port_; }
  void Refuse();  // the port stays bound, and nothing listens: connections are refused
  // As a machine that has vanished: a connection never comes up. The backlog is made full, so that the kernel
  // drops what asks for one.
  void FallSilent();
  void Accept();  // listens (again)

 private:
  void Bind();
  void Next();
  asio::io_context& io_;
  OnSocket on_socket_;
  tcp::acceptor acceptor_;
  asio::steady_timer again_;
  std::vector<tcp::socket> filling_;
  uint16_t port_ = 0;
};

// Ends a connection as a process that dies does, with a reset.
void ResetConnection(tcp::socket& socket);

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_LISTENER_H_
