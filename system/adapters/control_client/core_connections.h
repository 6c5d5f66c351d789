// A gateway's connections to the cores: one to the registry and one to the store of configuration of each
// core machine that is known, from the seeds or from what cores report. Acknowledges what they push and hands
// it on. One thread, that of the event loop.
#ifndef IVYGW_SYSTEM_CONTROL_CLIENT_CORE_CONNECTIONS_H_
#define IVYGW_SYSTEM_CONTROL_CLIENT_CORE_CONNECTIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "discovery/table_cache.h"
#include "process/settings.h"
#include "transport/links.h"

namespace ivygw::control_client {

class CoreConnections {
 public:
  struct Events {
    std::function<void(discovery::Table, const std::string& core, const messages::Push&)> push;
    std::function<void(discovery::Table, const std::string& core, const messages::CoreStatus&)> state;
    std::function<void(const std::string& core, const messages::QuotaGrants&)> grants;
    std::function<void(const std::string& core, bool up)> registry;  // a registry's connection
    std::function<std::vector<uint64_t>(discovery::Table)> digests;  // digests of what this gateway has
  };
  CoreConnections(asio::io_context& io, const process::Settings& settings, Events events);

  // To the registry of that core.
  void Send(const std::string& core, const messages::Message& message);
  // The cores that allocate rate limits, as far as their registries are connected: the members of the newest
  // epoch that a registry has reported.
  std::vector<std::string> Allocators() const;
  // Drops addresses that no core has named for a while. Some times a second.
  void OnTime();

 private:
  // Of a connection to one core for one table.
  using Key = std::pair<std::string, discovery::Table>;
  void Dial(const std::string& core);
  void Dial(const std::string& core, discovery::Table table);
  void OnStatus(const Key& key, const messages::CoreStatus& state);
  void RequestNextList(discovery::Table table);
  std::set<std::string> NamedCores() const;
  messages::Hello MakeHello() const;

  asio::io_context& io_;
  const process::Settings settings_;
  Events events_;
  const uint64_t incarnation_;
  std::set<std::string> seeds_;
  // Lists are asked for from one core at a time, so that the others need tell only what differs.
  struct ListRequest {
    std::string core;            // that has been asked and has not ended its list; empty: none
    std::set<std::string> done;  // connections that have
    std::map<std::string, Clock::time_point> refused;  // out of contact with a majority; when it said so
    std::unique_ptr<asio::steady_timer> timeout;
  };
  std::map<discovery::Table, ListRequest> list_requests_;
  transport::LinkMemory link_memory_;
  std::map<Key, std::unique_ptr<transport::Dialer>> dialers_;
  std::map<Key, std::vector<std::string>> named_by_;   // the cores that each connection's core names
  std::map<std::string, Clock::time_point> named_at_;  // when an address was last a seed or named
  uint64_t epoch_ = 0;
  std::set<std::string> voters_;  // of that epoch of the registry
};

}  // namespace ivygw::control_client

#endif  // IVYGW_SYSTEM_CONTROL_CLIENT_CORE_CONNECTIONS_H_
