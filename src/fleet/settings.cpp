#include "fleet/settings.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include "net/address.h"
#include "settings/settings.h"

namespace ivygw::fleet {
namespace {

using micadock::WireError;
using nlohmann::json;

std::string InvalidSetting(const std::string& name, const std::string& why) {
  return "setting is unreadable: " + name + " (" + why + ")";
}

// Reads the fields of one JSON object. Each method that reads a field reports an error in that field;
// CheckUnknownFields reports fields that none of them read.
class FieldReader {
 public:
  FieldReader(const json& object, std::string path, std::vector<std::string>* faults)
      : object_(object), path_(std::move(path)), faults_(faults) {}

  void Text(const char* key, std::string* to, size_t max = 200) {
    Read(key, [&](const json& v, const std::string& name) {
      if (!v.is_string() || v.get<std::string>().size() > max)
        return InvalidSetting(name, "a text of " + std::to_string(max) + " bytes at most");
      *to = v.get<std::string>();
      return std::string();
    });
  }
  void Choice(const char* key, const std::map<std::string, std::function<void()>>& choices) {
    Read(key, [&](const json& v, const std::string& name) {
      auto it = v.is_string() ? choices.find(v.get<std::string>()) : choices.end();
      if (it != choices.end()) return it->second(), std::string();
      std::string allowed;
      for (const auto& [choice, set] : choices) allowed += (allowed.empty() ? "" : ", ") + choice;
      return InvalidSetting(name, "one of " + allowed);
    });
  }
  void Number(const char* key, double min, double max, double* to) {
    Read(key, [&](const json& v, const std::string& name) {
      double n = v.is_number() ? v.get<double>() : NAN;
      if (!(n >= min && n <= max))
        return InvalidSetting(name, "a number from " + json(min).dump() + " to " + json(max).dump());
      *to = n;
      return std::string();
    });
  }
  void Integer(const char* key, int min, int max, int* to) {
    Read(key, [&](const json& v, const std::string& name) {
      if (!v.is_number_integer() || v < min || v > max) {
        return InvalidSetting(name,
                              "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
      }
      *to = v.get<int>();
      return std::string();
    });
  }
  void Object(const char* key, const std::function<void(const json&, const std::string&)>& read) {
    Read(key, [&](const json& v, const std::string& name) {
      if (!v.is_object()) return InvalidSetting(name, "an object");
      read(v, name);
      return std::string();
    });
  }
  void CheckUnknownFields() {
    for (const auto& [key, value] : object_.items()) {
      if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end())
        ReportError("unknown setting: " + path_ + "." + key);
    }
  }
  void ReportError(const std::string& text) {
    if (faults_ == nullptr) throw WireError(text);
    faults_->push_back(text);
  }

 private:
  template <typename Reader>
  void Read(const char* key, Reader read) {
    known_keys_.push_back(key);
    auto it = object_.find(key);
    if (it == object_.end()) return;
    std::string fault = read(*it, path_ + "." + key);
    if (!fault.empty()) ReportError(fault);
  }
  const json& object_;
  const std::string path_;
  std::vector<std::string>* faults_;
  std::vector<std::string> known_keys_;
};

}  // namespace

Settings ReadSettings(const json& section, std::vector<std::string>* faults) {
  Settings s;
  if (!section.is_object()) {
    if (faults == nullptr) throw WireError("setting is unreadable: fleet");
    faults->push_back("setting is unreadable: fleet");
    return s;
  }
  FieldReader f(section, "fleet", faults);
  f.Choice("engine", {{"sqlite", [&] { s.engine = Settings::Engine::kSqlite; }},
                      {"redis", [&] { s.engine = Settings::Engine::kRedis; }}});
  f.Text("path", &s.path, 1000);
  f.Choice("durability", {{"power", [&] { s.survive_power_loss = true; }},
                          {"process", [&] { s.survive_power_loss = false; }}});
  f.Integer("most_mb", 1, 1 << 20, &s.max_size_mb);
  f.Text("address", &s.address);
  f.Text("username", &s.username);
  f.Text("password", &s.password);
  f.Text("prefix", &s.prefix, 48);
  f.Integer("database", 0, 1000000, &s.database);
  f.Number("lease_s", 0.2, 300, &s.lease_s);
  f.Number("hold_s", 0, 3600, &s.hold_s);
  f.Number("capacity", 0.001, 1000, &s.capacity);
  f.Object("lending", [&](const json& value, const std::string& path) {
    s.lending.enabled = true;
    FieldReader in(value, path, faults);
    in.Number("turn_s", 0.1, 3600, &s.lending.turn_s);
    in.Integer("most_customers", 1, 100000, &s.lending.max_customers);
    in.CheckUnknownFields();
  });
  f.Object("ledger", [&](const json& value, const std::string& path) {
    Settings::Ledger& l = s.ledger;
    l.enabled = true;
    FieldReader in(value, path, faults);
    in.Text("key_header", &l.key_header, 64);
    in.Number("life_s", 1, 86400, &l.record_ttl_s);
    in.Number("patience_s", 0.005, 10, &l.engine_timeout_s);
    in.Integer("most_answer", 0, 1 << 19, &l.max_answer_bytes);
    in.Integer("most_open", 1, 1000000, &l.max_open_requests);
    in.Object("without", [&](const json& without, const std::string& name) {
      FieldReader w(without, name, faults);
      auto rule = [&](const char* key, bool* serve) {
        w.Choice(key, {{"refuse", [serve] { *serve = false; }}, {"go-on", [serve] { *serve = true; }}});
      };
      rule("safe", &l.serve_safe_unrecorded);
      rule("keyed", &l.serve_keyed_unrecorded);
      rule("unsafe", &l.serve_unsafe_unrecorded);
      w.CheckUnknownFields();
    });
    in.CheckUnknownFields();
    bool token = !l.key_header.empty() &&
                 std::all_of(l.key_header.begin(), l.key_header.end(),
                             [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
    if (!token) in.ReportError("setting is missing or no header's name: fleet.ledger.key_header");
  });
  f.CheckUnknownFields();
  if (s.engine == Settings::Engine::kSqlite && s.path.empty())
    f.ReportError("setting is missing: fleet.path");
  if (s.engine == Settings::Engine::kRedis) {
    try {
      ParseAddress("fleet.address", s.address);
    } catch (const WireError& error) {
      f.ReportError(error.what());
    }
  }
  return s;
}

}  // namespace ivygw::fleet
