// Where operators call: a listener of its own on the gateway's event loop. One call to a connection; its
// answer ends it. Callers that say nothing, or half a call, hold a place for a while and crowd out nobody:
// past the bound the one that has been silent longest makes room.
#ifndef IVYGW_ADMIN_SERVER_H_
#define IVYGW_ADMIN_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "admin/call.h"
#include "net/clock.h"
#include "net/http.h"

namespace ivygw::admin {

inline constexpr size_t kMostCallers = 16;  // connections at once

class Server {
 public:
  // Gives the whole answer to a sound call, at once.
  using Answer = std::function<std::string(const Call&)>;
  Server(asio::io_context& io, Answer answer);
  ~Server();

  void Listen(const tcp::endpoint& address);  // throws boost::system::system_error
  tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;
  void Accept();

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  Answer answer_;
  std::list<std::shared_ptr<Caller>> callers_;  // the first to come first
};

}  // namespace ivygw::admin

#endif  // IVYGW_ADMIN_SERVER_H_
