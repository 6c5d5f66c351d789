#include "membership/member.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace ivygw::membership {

using nlohmann::json;

const char* StateName(State state) {
  switch (state) {
    case State::kJoining: return "joining";
    case State::kServing: return "serving";
    case State::kLeaving: return "leaving";
  }
  return "";
}

std::string Write(const Member& m) {
  json text = {
      {"form", kForm},  {"boot", m.boot},         {"address", m.address}, {"version", m.version},
      {"zone", m.zone}, {"capacity", m.capacity}, {"slot", m.slot},       {"state", StateName(m.state)}};
  if (m.heir) text["heir"] = true;
  return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

Member Read(const std::string& name, const std::string& text) {
  Member m;
  m.name = name;
  m.known = false;
  json j = json::parse(text, nullptr, false);
  if (!j.is_object()) return m;
  auto word = [&](const char* key) {
    return j.contains(key) && j[key].is_string() ? j[key].get<std::string>() : std::string();
  };
  m.boot = word("boot");
  if (!j.contains("form") || j["form"] != kForm) return m;
  auto number = [&](const char* key, double otherwise) {
    return j.contains(key) && j[key].is_number() && std::isfinite(j[key].get<double>()) ? j[key].get<double>()
                                                                                        : otherwise;
  };
  m.address = word("address");
  m.version = word("version");
  auto whole = [&](const char* key, int otherwise) {
    double n = number(key, otherwise);
    return n >= -1 && n <= 1e6 ? static_cast<int>(n) : otherwise;
  };
  m.zone = whole("zone", 0);
  m.capacity = number("capacity", 1);
  m.slot = whole("slot", -1);
  m.heir = j.contains("heir") && j["heir"] == true;
  std::string state = word("state");
  m.state = state == "serving" ? State::kServing : state == "leaving" ? State::kLeaving : State::kJoining;
  m.known = !m.boot.empty();
  return m;
}

}  // namespace ivygw::membership
