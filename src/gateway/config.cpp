#include "gateway/config.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "net/discovery_client.h"

namespace ivygw {
namespace {

using micadock::PlainName;
using micadock::WireError;
using nlohmann::json;

void FlattenInto(const std::string& path, const json& value, std::string* out) {
  auto line = [&](const std::string& key, const std::string& text) { *out += key + "=" + text + "\n"; };
  auto plain = [](const json& v) { return v.is_string() ? PlainName(v.get<std::string>()) : v.dump(); };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      FlattenInto(path.empty() ? key : std::string(path).append(".").append(key), inner, out);
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

// "counter_access": {"kind": "redis", "username": ..., "password": ..., "database": 0, "prefix": ...}
CounterAccess ReadAccess(const json& all) {
  CounterAccess access;
  auto it = all.find("counter_access");
  if (it == all.end() || it->is_null()) return access;
  if (!it->is_object()) throw WireError("setting is unreadable: counter_access");
  for (const auto& [key, value] : it->items()) {
    std::string name = "counter_access." + key;
    if (key == "database") {
      if (!value.is_number_integer() || value < 0 || value > 1000000)
        throw WireError("setting is unreadable: " + name);
      access.database = value.get<int>();
      continue;
    }
    if (!value.is_string()) throw WireError("setting is unreadable: " + name);
    std::string text = value.get<std::string>();
    if (key == "kind") {
      if (text != "tally" && text != "redis")
        throw WireError(std::string("setting is unreadable: ").append(name).append("=").append(text));
      access.kind = text == "redis" ? CounterKind::kRedis : CounterKind::kTally;
    } else if (key == "username") {
      access.username = text;
    } else if (key == "password") {
      access.password = text;
    } else if (key == "prefix") {
      if (text.size() > 48) throw WireError("setting is unreadable: " + name + " (48 bytes at most)");
      access.prefix = text;
    } else {
      throw WireError("unknown setting: " + name);
    }
  }
  bool redis = access.kind == CounterKind::kRedis;
  if (!redis && (!access.username.empty() || !access.password.empty() || access.database != 0)) {
    throw WireError("counter_access.kind=tally takes no username, password or database");
  }
  if (!access.username.empty() && access.password.empty()) {
    throw WireError("setting is missing: counter_access.password");
  }
  return access;
}

}  // namespace

std::string Flatten(const json& settings) {
  std::string out;
  FlattenInto("", settings, &out);
  return out;
}

Config ParseConfig(const std::string& text, std::vector<std::string>* faults) {
  json all = json::parse(text, nullptr, false);
  if (!all.is_object()) throw WireError("the configuration is not a JSON object");
  Config config;
  // One part after another, so that a fault in one hides none in the next.
  auto part = [&](auto read) {
    if (faults == nullptr) return read();
    try {
      read();
    } catch (const WireError& error) {
      faults->push_back(error.what());
    }
  };
  part([&] { config.name = Text(all, "name"); });
  part([&] { config.listen = ParseAddress("listen", Text(all, "listen")); });
  part([&] { config.discovery = ParseAddress("discovery", Text(all, "discovery")); });
  part([&] {
    if (!all.contains("counter") || all["counter"].is_null()) return;
    config.has_counter = true;
    config.counter = ParseAddress("counter", Text(all, "counter"));
  });
  part([&] { config.counter_access = ReadAccess(all); });
  part([&] {
    if (all.contains("admin") && !all["admin"].is_null())
      config.admin = ParseAddress("admin", Text(all, "admin"));
  });
  part([&] {
    std::string seed = Text(all, "seed");
    auto [end, bad] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
    if (bad != std::errc() || end != seed.data() + seed.size()) {
      throw WireError("setting is unreadable: seed=" + seed);
    }
  });
  if (auto limits = all.find("limits"); limits != all.end()) {
    auto read = [&](const char* key, int least, int* value) {
      auto it = limits->find(key);
      if (it == limits->end()) return;
      if (!it->is_number_integer() || *it < least || *it > 1000000) {
        throw WireError(std::string("setting is unreadable: limits.") + key);
      }
      *value = it->get<int>();
    };
    part([&] {
      if (!limits->is_object()) throw WireError("setting is unreadable: limits");
      read("sockets", 64, &config.sockets);
    });
    part([&] {
      if (limits->is_object()) read("memory_mb", 16, &config.memory_mb);
    });
  }
  part([&] {
    if (auto section = all.find("fleet"); section != all.end() && !section->is_null())
      config.fleet = fleet::ReadSettings(*section, faults);
  });
  if (auto known = all.find("known"); known != all.end()) config.known = *known;
  part([&] {
    auto settings = all.find("settings");
    if (settings == all.end()) throw WireError("setting is missing: settings");
    if (!settings->is_object()) throw WireError("setting is unreadable: settings");
    std::string flat = Flatten(*settings);
    config.settings = micadock::ParseSettings(flat, faults);
    config.settings.lend_ceilings = config.fleet && config.fleet->lending.enabled;
    config.site = micadock::ParseSite(flat, faults);
  });
  part([&] {
    if (config.settings.may_count && !config.has_counter) throw WireError("setting is missing: counter");
  });
  part([&] {  // read as it will be, with ids that nobody keeps
    if (config.known.is_null()) return;
    BackendIds ids;
    try {
      ParseList(config.known, config.site, &ids);
    } catch (const WireError& error) {
      throw WireError(std::string("setting is unreadable: known: ") + error.what());
    }
  });
  return config;
}

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) throw WireError("cannot read the configuration " + path);
  return text.str();
}

}  // namespace

Config LoadConfig(const std::string& path) { return ParseConfig(ReadFile(path)); }

void ReadEnvironment(const std::function<const char*(const char*)>& get, Config* config) {
  auto value = [&](const char* name) { return std::string_view(get(name) != nullptr ? get(name) : ""); };
  if (std::string_view admin = value("LB_ADMIN"); !config->admin && !admin.empty()) {
    config->admin = ParseAddress("LB_ADMIN", std::string(admin));
  }
  if (std::string_view fd = value("LB_LISTEN_FD"); !fd.empty()) {
    int number = -1;
    auto [end, bad] = std::from_chars(fd.data(), fd.data() + fd.size(), number);
    if (bad != std::errc() || end != fd.data() + fd.size() || number < 3) {
      throw WireError("LB_LISTEN_FD is no descriptor: " + std::string(fd));
    }
    config->listen_fd = number;
  }
  config->shared_directory = value("TMPDIR");
}

std::vector<std::string> Faults(const std::string& path) {
  std::vector<std::string> faults;
  try {
    ParseConfig(ReadFile(path), &faults);
  } catch (const WireError& error) {
    faults.push_back(error.what());
  }
  return faults;
}

}  // namespace ivygw
