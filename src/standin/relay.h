// A relay of bytes between two sides, with faults between them: what one gateway's link to the engine, the
// counter, discovery or a backend runs through in tests. Knows no protocol. One thread.
#ifndef IVYGW_STANDIN_RELAY_H_
#define IVYGW_STANDIN_RELAY_H_

#include <cstdint>
#include <memory>
#include <unordered_set>

#include "net/clock.h"
#include "standin/listener.h"

namespace ivygw::standin {

class Relay {
 public:
  struct Way {
    bool passes =
        true;  // else bytes are taken and held: they come when it passes again, if the connection lives then
    bool swallows = false;  // bytes are taken, and never come
    double delay_s = 0;     // more, for each piece
    uint64_t stall_after =
        UINT64_MAX;  // bytes of a connection, after which nothing more comes: in the middle of a message
    uint64_t reset_after =
        UINT64_MAX;  // bytes of a connection passed on, after which it is reset on both sides
  };
  Relay(asio::io_context& io, tcp::endpoint to);
  ~Relay();

  uint16_t port() const { return listener_.port(); }
  tcp::endpoint address() const { return {asio::ip::address_v4::loopback(), listener_.port()}; }

  Way there, back;  // take effect at once, also for connections that are up, once Changed is called
  void Changed();
  void Cut();       // both ways, and new connections are refused
  void Mend();      // all as at the start
  void ResetAll();  // connections end, and new ones are taken
  uint64_t connections() const { return taken_; }
  uint64_t bytes_there() const { return bytes_there_; }

 private:
  class Link;
  asio::io_context& io_;
  const tcp::endpoint to_;
  std::unordered_set<std::shared_ptr<Link>> links_;
  uint64_t taken_ = 0, bytes_there_ = 0;
  Listener listener_;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_RELAY_H_
