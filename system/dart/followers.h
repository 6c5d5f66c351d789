// Dart (a gateway's held connections to the cores): one to the registry and one to the store of each core machine that is
// known, by the seeds or by what cores tell. What they push is acknowledged and handed on. One thread.
#ifndef IVYGW_SYSTEM_DART_FOLLOWERS_H_
#define IVYGW_SYSTEM_DART_FOLLOWERS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cascade/copy.h"
#include "heaphy/links.h"
#include "rakiura/settings.h"

namespace ivygw::dart {

class Followers {
 public:
  struct Events {
    std::function<void(cascade::Table, const std::string& core, const heaphy::Push&)> push;
    std::function<void(cascade::Table, const std::string& core, const heaphy::State&)> state;
    std::function<void(const std::string& core, const heaphy::Loans&)> loans;
    std::function<void(const std::string& core, bool up)> registry;  // a registry's connection
    std::function<std::vector<uint64_t>(cascade::Table)> have;       // digests of what this gateway has
  };
  Followers(asio::io_context& io, const rakiura::Settings& settings, Events events);

  void Know(const std::set<std::string>& cores);  // dials those that are new
  // To the registry of that core.
  void Send(const std::string& core, const heaphy::Message& message);
  std::vector<std::string> registries() const;    // those in touch

 private:
  void Dial(const std::string& core, cascade::Table table);
  void AskNext(cascade::Table table);
  asio::io_context& io_;
  const rakiura::Settings settings_;
  Events events_;
  const uint64_t boot_;
  // Lists are asked for from one core at a time, so that the others need tell only what differs.
  struct Asking {
    std::string core;            // that has been asked and has not ended its list; empty: none
    std::set<std::string> done;  // connections that have
    std::unique_ptr<asio::steady_timer> patience;
  };
  std::map<cascade::Table, Asking> asking_;
  std::map<std::pair<std::string, cascade::Table>, std::unique_ptr<heaphy::Dialer>> dialers_;
};

}  // namespace ivygw::dart

#endif  // IVYGW_SYSTEM_DART_FOLLOWERS_H_
