// The side towards clients: the listener, their connections, parsing and answers. Bodies that are not whole
// when they are given on, and answers that are not, come and go in pieces that the other side asks for.
#ifndef IVYGW_NET_CLIENT_SERVER_H_
#define IVYGW_NET_CLIENT_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

#include "bodies/body_memory.h"
#include "net/clock.h"
#include "net/connection_slots.h"
#include "net/http.h"

namespace ivygw {

struct ClientMessage {
  http::request_header<> head;
  std::string body;                // as far as it has come
  bool more = false;               // the rest is asked for by ReadBody
  std::optional<uint64_t> length;  // of the whole body, where that is told
};

struct Answer {
  int status = 500;
  double retry_after_s = 0;  // 0: none
  std::string headers;       // further header lines
  std::string body;
};

class ClientServer {
 public:
  // Each names the connection. Any but OnRequest's may come while a call of ClientServer is running.
  struct Events {
    // A request, to be answered by Reply or ReplyBegin, once, now or later.
    std::function<void(uint64_t, ClientMessage)> on_request;
    // The connection has ended; `held`: with a request on it whose answer was not out, so its client has
    // gone.
    std::function<void(uint64_t, bool held)> on_closed;
    // The next of a request's body, after ReadBody; `last`: it is whole now.
    std::function<void(uint64_t, std::string bytes, bool last)> on_body = [](uint64_t, const std::string&,
                                                                             bool) {};
    // What was given by ReplyBegin or ReplyPart is out: there is room for more.
    std::function<void(uint64_t)> on_drained = [](uint64_t) {};
  };

  // `memory` is told of what clients' bodies and answers take up, and outlives this.
  ClientServer(asio::io_context& io, size_t most_connections, bodies::BodyMemory* memory, Events events);
  ~ClientServer();

  void Listen(const tcp::endpoint& address);  // throws boost::system::system_error
  // Takes over a listening socket that other processes hold too: it is closed here, never shut down, and
  // clients that it has not handed out are left to them. Throws micadock::WireError where it is none at that
  // address. Nobody is taken until StartAccepting.
  void Inherit(int descriptor, const tcp::endpoint& address);
  void StartAccepting();
  bool accepting() const { return accepting_; }
  void StopAccepting();  // for good; of an inherited socket
  tcp::endpoint local() const { return acceptor_.local_endpoint(); }

  void ReadBody(uint64_t connection);
  // The whole answer. Where the request's body is still coming, the rest of it is dropped and the connection
  // ends.
  void Reply(uint64_t connection, const Answer& answer);
  // An answer of which `answer.body` is the beginning; `length` is the whole body's, where it is known. The
  // rest follows by ReplyPart, one part after on_drained.
  void ReplyBegin(uint64_t connection, const Answer& answer, std::optional<uint64_t> length);
  void ReplyPart(uint64_t connection, std::string bytes, bool last);
  void Abort(
      uint64_t connection);  // a begun answer cannot be finished: its client is to see that it is not whole

  void AskToClose(bool on) { asking_to_close_ = on; }  // while it is so, each answer ends its connection
  void CloseIdle();                                    // those on which nothing has begun
  bool Quiet();  // no connection is open, and none waits that is this process's to take
  // Requests refused, and connections closed, because no memory was left for them.
  uint64_t memory_refusals() const { return memory_refusals_; }
  size_t busy() const { return busy_; }  // connections with a whole request whose answer is not out

 private:
  class Connection;

  void MakeRoom();
  void Accept();
  void AcceptIfPaused();
  void TakeWaiting();
  void AcceptLater();
  bool ClientWaits();
  void Taken(tcp::socket socket);
  std::shared_ptr<Connection> Find(uint64_t connection) const;

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  bodies::BodyMemory* memory_;
  Events events_;
  uint64_t last_ = 0, memory_refusals_ = 0;
  size_t busy_ = 0;
  bool asking_to_close_ = false, accepting_ = false;
  ConnectionSlots slots_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  std::list<uint64_t> unread_;  // whose answer is not read by the client: the first to be sent first
};

}  // namespace ivygw

#endif  // IVYGW_NET_CLIENT_SERVER_H_
