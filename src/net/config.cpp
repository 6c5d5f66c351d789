#include "net/config.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace ivygw {
namespace {

using micadock::WireError;
using nlohmann::json;

void FlattenInto(const std::string& path, const json& value, std::string* out) {
  auto line = [&](const std::string& key, const std::string& text) { *out += key + "=" + text + "\n"; };
  auto plain = [](const json& v) { return v.is_string() ? PlainName(v.get<std::string>()) : v.dump(); };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      FlattenInto(path.empty() ? key : path + "." + key, inner, out);
    }
  } else if (value.is_array()) {
    bool objects = !value.empty() && value.front().is_object();
    if (objects || value.empty()) line(path + ".count", std::to_string(value.size()));
    if (objects) {
      for (size_t i = 0; i < value.size(); ++i) FlattenInto(path + "." + std::to_string(i), value[i], out);
      return;
    }
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + plain(item);
    line(path, joined);
  } else {
    line(path, plain(value));
  }
}

std::string Text(const json& from, const char* key) {
  auto it = from.find(key);
  if (it == from.end()) throw WireError(std::string("setting is missing: ") + key);
  if (!it->is_string()) throw WireError(std::string("setting is unreadable: ") + key);
  return it->get<std::string>();
}

}  // namespace

std::string PlainName(std::string_view name) {
  std::string plain(name);
  for (char& c : plain) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return plain;
}

std::string Flatten(const json& settings) {
  std::string out;
  FlattenInto("", settings, &out);
  return out;
}

tcp::endpoint ParseAddress(const std::string& key, const std::string& text) {
  size_t colon = text.rfind(':');
  uint16_t port = 0;
  boost::system::error_code error;
  boost::asio::ip::address address;
  bool good = colon != std::string::npos;
  if (good) {
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    address = boost::asio::ip::make_address(host, error);
    auto [end, bad] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    good = !error && bad == std::errc() && end == text.data() + text.size();
  }
  if (!good) throw WireError("setting is unreadable: " + key + "=" + text);
  return {address, port};
}

Config ParseConfig(const std::string& text) {
  json all = json::parse(text, nullptr, false);
  if (!all.is_object()) throw WireError("the configuration is not a JSON object");
  Config config;
  config.name = Text(all, "name");
  config.listen = ParseAddress("listen", Text(all, "listen"));
  config.discovery = ParseAddress("discovery", Text(all, "discovery"));
  if (all.contains("counter") && !all["counter"].is_null()) {
    config.counter = ParseAddress("counter", Text(all, "counter"));
    config.has_counter = true;
  }
  std::string seed = Text(all, "seed");
  auto [end, bad] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (bad != std::errc() || end != seed.data() + seed.size()) {
    throw WireError("setting is unreadable: seed=" + seed);
  }
  if (auto limits = all.find("limits"); limits != all.end()) {
    if (!limits->is_object()) throw WireError("setting is unreadable: limits");
    auto read = [&](const char* key, int least, int* value) {
      auto it = limits->find(key);
      if (it == limits->end()) return;
      if (!it->is_number_integer() || *it < least || *it > 1000000) {
        throw WireError(std::string("setting is unreadable: limits.") + key);
      }
      *value = it->get<int>();
    };
    read("sockets", 64, &config.sockets);
    read("memory_mb", 16, &config.memory_mb);
  }
  if (auto known = all.find("known"); known != all.end()) config.known = *known;
  auto settings = all.find("settings");
  if (settings == all.end()) throw WireError("setting is missing: settings");
  if (!settings->is_object()) throw WireError("setting is unreadable: settings");
  std::string flat = Flatten(*settings);
  config.settings = micadock::ParseSettings(flat);
  config.site = micadock::ParseSite(flat);
  if (config.settings.may_count && !config.has_counter) throw WireError("setting is missing: counter");
  return config;
}

Config LoadConfig(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) throw WireError("cannot read the configuration " + path);
  return ParseConfig(text.str());
}

}  // namespace ivygw
