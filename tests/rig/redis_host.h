// The stand-in of Redis on a thread of its own, with a relay before it for each gateway. What is done to it
// is done there.
#ifndef IVYGW_TESTS_REDIS_HOST_H_
#define IVYGW_TESTS_REDIS_HOST_H_

#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "net/mailbox.h"
#include "standin/redis_server.h"
#include "standin/relay.h"

namespace rig {

class RedisHost {
 public:
  RedisHost() : server_(io_), thread_([this] { io_.run(); }) {}
  ~RedisHost() {
    Do([this] {
      relays_.clear();
      server_.Refuse();
    });
    mailbox_.Post([this] { io_.stop(); });
    thread_.join();
  }
  // Runs on the server's thread, and is over when this returns.
  template <typename Task>
  void Do(Task task) {
    std::promise<void> done;
    mailbox_.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }
  template <typename Task>
  void With(Task task) {
    Do([&] { task(server_); });
  }
  // The port of the relay of this name.
  int Link(const std::string& name) {
    int port = 0;
    Do([&] {
      auto& relay = relays_[name];
      if (!relay) {
        relay = std::make_unique<ivygw::standin::Relay>(
            io_, ivygw::tcp::endpoint{ivygw::asio::ip::address_v4::loopback(), server_.port()});
      }
      port = relay->port();
    });
    return port;
  }
  template <typename Task>
  void OnLink(const std::string& name, Task task) {
    Do([&] {
      task(*relays_.at(name));
      relays_.at(name)->Changed();
    });
  }
  void MendAll() {
    Do([&] {
      server_.fate = nullptr;
      server_.write_error.clear();
      for (auto& [name, relay] : relays_) relay->Mend();
    });
  }

 private:
  ivygw::asio::io_context io_;
  ivygw::standin::RedisServer server_;
  std::map<std::string, std::unique_ptr<ivygw::standin::Relay>> relays_;
  ivygw::Mailbox mailbox_{io_};  // keeps the loop running, too
  std::thread thread_;
};

}  // namespace rig

#endif  // IVYGW_TESTS_REDIS_HOST_H_
