// Reads a gateway's config.json into settings; holds no decision.
#ifndef IVYGW_GATEWAY_CONFIG_H_
#define IVYGW_GATEWAY_CONFIG_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/settings.h"
#include "net/address.h"
#include "net/counter_protocol.h"
#include "policy/balance.h"
#include "settings/settings.h"

namespace ivygw {

struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  tcp::endpoint counter;
  bool has_counter = false;
  std::optional<tcp::endpoint> admin;  // where operators call; none: nothing listens
  // What the environment adds, for the program that is run: see ReadEnvironment.
  std::optional<int> listen_fd;  // the clients' listening socket, held by the platform
  std::string shared_directory;  // common to the processes of this gateway; empty: none
  CounterAccess counter_access;  // which engine it is, and how to get in
  uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  nlohmann::json known;  // null where the gateway has no list yet
  micadock::Settings settings;
  micadock::SiteSettings site;
  std::optional<fleet::Settings> fleet;  // of gateways that know of each other; none: it stands alone
};

// The path=value lines that ParseSettings reads, from the nested form of the same settings.
std::string Flatten(const nlohmann::json& settings);

// Throws micadock::WireError, in plain words, on what is missing or unreadable. With `faults` it goes on
// after most faults and gathers them there; what is returned is of use only where there is none.
Config ParseConfig(const std::string& text, std::vector<std::string>* faults = nullptr);
Config LoadConfig(const std::string& path);
// Takes in `LB_ADMIN` (where the configuration names no such address), `LB_LISTEN_FD` and `TMPDIR`, as `get`
// (getenv in the program) gives them. Throws micadock::WireError on what is unreadable.
void ReadEnvironment(const std::function<const char*(const char*)>& get, Config* config);
// Everything that is wrong with the file, one text each.
std::vector<std::string> Faults(const std::string& path);

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_CONFIG_H_
