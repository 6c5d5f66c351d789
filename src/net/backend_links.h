// Connections to backends: sockets and HTTP, by the core's numbers. Keeps no book: what happens is told, and
// what is done with it is the core's word. Answers that are long come in pieces, each when it is asked for;
// so do messages.
#ifndef IVYGW_NET_BACKEND_LINKS_H_
#define IVYGW_NET_BACKEND_LINKS_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "bodies/body_memory.h"
#include "net/clock.h"
#include "net/http.h"
#include "policy/balance.h"

namespace ivygw {

// An answer of a backend: whole, or the beginning of a long one.
struct BackendAnswer {
  micadock::Result result = micadock::Result::kOk;  // kOk, kFull or kError
  double true_units = 0;                            // 0: not told
  bool keep = false;               // the connection is fit for another request; of a whole one
  std::string headers;             // end-to-end header lines of a good answer
  std::string body;                // as far as it has come
  std::optional<uint64_t> length;  // of the whole body, where the head tells it
  // Of AnswerStyle::kEvery, for which every whole answer is kOk, whatever its status.
  unsigned status = 0;
  std::string attempt_id;                // as the backend tells it
  bool not_executed = false;             // the backend says that it has not run the request
  bool sealed = false, encoded = false;  // has a Server-Seal; has a Content-Encoding
  double keep_alive_s = 0;               // for which it keeps an idle connection; 0: not told
};

// kPlatform: the platform's backends, whose answers other than 200 tell no more than kFull or kError. kEvery:
// the whole system's backends: each answer is passed on with its status, headers and body, and one whose end
// only the connection's end would tell is lost, as nobody can tell whether it is whole.
enum class AnswerStyle { kPlatform, kEvery };

// Told of each connection that has not been closed. Any of it may come while a call of BackendLinks is
// running.
class BackendEvents {
 public:
  virtual ~BackendEvents() = default;
  virtual void OnConnected(uint64_t connection) = 0;
  virtual void OnWritten(uint64_t connection) = 0;  // the message's last byte has gone to the system
  virtual void OnAnswer(uint64_t connection, BackendAnswer answer) = 0;
  virtual void OnLost(uint64_t connection) = 0;  // could not connect, or it ended, or what came is no answer
  // Before anything of the message was written, the connection was found ended, or with bytes that nobody
  // asked for.
  virtual void OnStale(uint64_t connection) = 0;
  // Of messages and answers that are not whole at once.
  virtual void OnDrained(uint64_t /*connection*/) {
  }  // what was written so far has gone: there is room for more
  // NOLINTNEXTLINE(performance-unnecessary-value-param): who overrides it takes the answer over.
  virtual void OnAnswerBegun(uint64_t /*connection*/, BackendAnswer /*answer*/) {}
  // NOLINTNEXTLINE(performance-unnecessary-value-param): who overrides it takes the bytes over.
  virtual void OnAnswerPart(uint64_t /*connection*/, std::string /*bytes*/) {}  // after ReadMore
  virtual void OnAnswerEnded(uint64_t /*connection*/, bool /*keep*/) {}         // after ReadMore
};

class BackendLinks {
 public:
  // `memory` is told of what answers and messages take up, and outlives this. Answers of up to `whole` bytes
  // are told whole, longer ones begun.
  BackendLinks(asio::io_context& io, bodies::BodyMemory* memory, BackendEvents* events,
               AnswerStyle style = AnswerStyle::kPlatform);
  ~BackendLinks();

  void Connect(uint64_t connection, const tcp::endpoint& address);
  // `kept`: it is looked at first whether the backend has ended it, or has sent what nobody asked for.
  // `more`: the rest follows by WriteMore, one part after OnDrained.
  void Write(uint64_t connection, std::string message, bool kept, bool more = false);
  void WriteMore(uint64_t connection, std::string bytes, bool last);
  void ReadMore(uint64_t connection);  // of a begun answer: the next part
  void Close(uint64_t connection);

  // Whether the system may have taken a byte of the connection's last message. False is certain: the first
  // write of it failed with nothing taken. True where the connection has been closed.
  bool AnyWritten(uint64_t connection) const;
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  std::shared_ptr<Connection> Find(uint64_t connection) const;

  asio::io_context& io_;
  bodies::BodyMemory* memory_;
  BackendEvents* events_;
  const AnswerStyle style_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
};

}  // namespace ivygw

#endif  // IVYGW_NET_BACKEND_LINKS_H_
