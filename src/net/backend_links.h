// Connections to backends: sockets and HTTP, by the core's numbers. Keeps no book: what happens is told, and what is
// done with it is the core's word.
#ifndef IVYGW_NET_BACKEND_LINKS_H_
#define IVYGW_NET_BACKEND_LINKS_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "net/clock.h"
#include "net/http.h"
#include "policy/balance.h"

namespace ivygw {

// A whole answer of a backend.
struct BackendAnswer {
  micadock::Result result = micadock::Result::kOk;  // kOk, kFull or kError
  double true_units = 0;  // 0: not told
  bool keep = false;      // the connection is fit for another request
  std::string headers;    // end-to-end header lines of a good answer
  std::string body;
};

// Told of each connection that has not been closed. Any of it may come while a call of BackendLinks is running.
class BackendEvents {
 public:
  virtual ~BackendEvents() = default;
  virtual void OnConnected(uint64_t connection) = 0;
  virtual void OnWritten(uint64_t connection) = 0;  // the message's last byte has gone to the system
  virtual void OnAnswer(uint64_t connection, BackendAnswer answer) = 0;
  virtual void OnLost(uint64_t connection) = 0;   // could not connect, or it ended, or what came is no answer
  virtual void OnStale(uint64_t connection) = 0;  // a kept one had ended before anything was written to it
};

class BackendLinks {
 public:
  BackendLinks(asio::io_context& io, BackendEvents* events);
  ~BackendLinks();

  void Connect(uint64_t connection, const tcp::endpoint& address);
  // `kept`: it is looked at first whether the backend has ended it.
  void Write(uint64_t connection, std::string message, bool kept);
  void Close(uint64_t connection);

  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  Connection* Find(uint64_t connection);

  asio::io_context& io_;
  BackendEvents* events_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
};

}  // namespace ivygw

#endif  // IVYGW_NET_BACKEND_LINKS_H_
