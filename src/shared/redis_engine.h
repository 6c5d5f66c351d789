// The shared engine over Redis 7 or Valkey: one connection of the event loop's own, calls pipelined on it in
// their order. One thread.
#ifndef IVYGW_SHARED_REDIS_ENGINE_H_
#define IVYGW_SHARED_REDIS_ENGINE_H_

#include <deque>
#include <memory>
#include <string>

#include "net/clock.h"
#include "net/http.h"
#include "shared/engine.h"

namespace ivygw::shared {

struct RedisOptions {
  tcp::endpoint address;
  std::string username, password;  // empty: none
  int database = 0;
  std::string prefix = "ivygw";  // of all keys
  std::string generation;        // drawn by the caller, for a store that is new
  double connect_s = 1;          // for which a connection may take to come up
  double silence_s = 2;          // without a byte while calls are out, a connection counts as dead
  size_t most_out = 4096;        // calls that are out or wait; more are not done (kBusy)
};

class RedisEngine : public Engine {
 public:
  RedisEngine(asio::io_context& io, RedisOptions options);
  ~RedisEngine() override;
  RedisEngine(const RedisEngine&) = delete;
  RedisEngine& operator=(const RedisEngine&) = delete;

  void Ask(Call call, Done done) override;

 private:
  class Connection;
  struct Waiting {
    Call call;
    Done done;
    bool whole_script = false;  // sent again with the script itself
  };
  void Tell(Waiting waiting, Reply reply);  // later
  void Lost(Connection* connection, std::deque<Waiting> unsent, const std::string& why);

  asio::io_context& io_;
  const RedisOptions options_;
  std::shared_ptr<Connection> connection_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Clock::duration backoff_{};
  Clock::time_point not_before_{};
};

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_REDIS_ENGINE_H_
