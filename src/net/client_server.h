// The side towards clients: the listener, their connections, parsing and answers.
#ifndef IVYGW_NET_CLIENT_SERVER_H_
#define IVYGW_NET_CLIENT_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "net/clock.h"
#include "net/http.h"

namespace ivygw {

using ClientMessage = http::request<http::string_body>;

struct Answer {
  int status = 500;
  double retry_after_s = 0;  // 0: none
  std::string headers;       // further header lines
  std::string body;
};

class ClientServer {
 public:
  // Takes a whole request that came on `connection`; it is answered by Answer, once, now or later.
  using OnRequest = std::function<void(uint64_t connection, ClientMessage)>;
  // The connection has ended; `held`: with a request on it that was not answered, so its client has gone.
  using OnClosed = std::function<void(uint64_t connection, bool held)>;

  ClientServer(asio::io_context& io, size_t most_connections, OnRequest on_request, OnClosed on_closed);
  ~ClientServer();

  void Listen(const tcp::endpoint& address);  // throws boost::system::system_error
  // Takes over a listening socket that other processes hold too: it is closed here, never shut down, and clients that
  // it has not handed out are left to them. Throws micadock::WireError where it is none at that address. Nobody is
  // taken until StartAccepting.
  void Inherit(int descriptor, const tcp::endpoint& address);
  void StartAccepting();
  bool accepting() const { return accepting_; }
  void StopAccepting();  // for good; of an inherited socket
  tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  void Reply(uint64_t connection, Answer answer);

  void AskToClose(bool on) { asking_to_close_ = on; }  // while it is so, each answer ends its connection
  void CloseIdle();                               // those on which nothing has begun
  bool Quiet();                                   // no connection is open, and none waits that is this process's to take
  size_t busy() const { return busy_; }           // connections with a whole request whose answer is not out

 private:
  class Connection;

  void Accept();
  void Taken(tcp::socket socket);

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  const size_t most_;
  OnRequest on_request_;
  OnClosed on_closed_;
  uint64_t last_ = 0;
  size_t busy_ = 0;
  bool asking_to_close_ = false, paused_ = false, accepting_ = false;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  std::list<uint64_t> idle_;        // longest idle first
  std::list<uint64_t> unfinished_;  // begun but not whole, or lingering: the first to begin first
};

}  // namespace ivygw

#endif  // IVYGW_NET_CLIENT_SERVER_H_
