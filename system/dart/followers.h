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

  // To the registry of that core.
  void Send(const std::string& core, const heaphy::Message& message);
  // The cores that lend parts of limits, as far as their registries are in touch: the members of the newest epoch that
  // a registry has told.
  std::vector<std::string> Lenders() const;
  // Some times a second: lets go of addresses that no core has named for a while.
  void OnTime();

 private:
  // Of a connection to one core for one table.
  using Key = std::pair<std::string, cascade::Table>;
  void Dial(const std::string& core);
  void Dial(const std::string& core, cascade::Table table);
  void OnState(const Key& key, const heaphy::State& state);
  void AskNext(cascade::Table table);
  std::set<std::string> Named() const;
  heaphy::Hello Greeting() const;

  asio::io_context& io_;
  const rakiura::Settings settings_;
  Events events_;
  const uint64_t boot_;
  std::set<std::string> seeds_;
  // Lists are asked for from one core at a time, so that the others need tell only what differs.
  struct Asking {
    std::string core;            // that has been asked and has not ended its list; empty: none
    std::set<std::string> done;  // connections that have
    std::map<std::string, Clock::time_point> refused;  // out of contact with a majority; when it said so
    std::unique_ptr<asio::steady_timer> patience;
  };
  std::map<cascade::Table, Asking> asking_;
  std::map<Key, std::unique_ptr<heaphy::Dialer>> dialers_;
  std::map<Key, std::vector<std::string>> named_by_;       // the cores that each connection's core names
  std::map<std::string, Clock::time_point> named_at_;      // when an address was last a seed or named
  uint64_t epoch_ = 0;
  std::set<std::string> voters_;  // of that epoch of the registry
};

}  // namespace ivygw::dart

#endif  // IVYGW_SYSTEM_DART_FOLLOWERS_H_
