// Reads a gateway's config.json into settings; holds no decision.
#ifndef IVYGW_NET_CONFIG_H_
#define IVYGW_NET_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "balance.h"
#include "wire.h"

namespace ivygw {

using boost::asio::ip::tcp;

struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  tcp::endpoint counter;
  bool has_counter = false;
  uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  nlohmann::json known;  // null where the gateway has no list yet
  micadock::Settings settings;
  micadock::SiteSettings site;
};

// "10.0.0.4:5000"; throws micadock::WireError naming `key` on anything else.
tcp::endpoint ParseAddress(const std::string& key, const std::string& text);

// The path=value lines that ParseSettings reads, from the nested form of the same settings.
std::string Flatten(const nlohmann::json& settings);

// Spaces and commas in names become '_', as they do in the flat form.
std::string PlainName(std::string_view name);

// Throws micadock::WireError, in plain words, on what is missing or unreadable.
Config ParseConfig(const std::string& text);
Config LoadConfig(const std::string& path);

}  // namespace ivygw

#endif  // IVYGW_NET_CONFIG_H_
