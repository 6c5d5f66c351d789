#include "ledger/record.h"

#include <sodium.h>

#include <cmath>
#include <nlohmann/json.hpp>

namespace ivygw::ledger {

using nlohmann::json;

namespace {

std::string Hex(const std::string& bytes) {
  static const char* digits = "0123456789abcdef";
  std::string out;
  for (unsigned char c : bytes) out += {digits[c >> 4], digits[c & 15]};
  return out;
}
std::optional<std::string> Unhex(const std::string& text) {
  auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  if (text.size() % 2 != 0) return std::nullopt;
  std::string out;
  for (size_t i = 0; i < text.size(); i += 2) {
    int high = digit(text[i]), low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    out += static_cast<char>(high * 16 + low);
  }
  return out;
}

}  // namespace

std::string HashOf(const std::string& bytes) {
  unsigned char out[16];
  crypto_generichash(out, sizeof(out), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                     nullptr, 0);
  return Hex(std::string(reinterpret_cast<const char*>(out), sizeof(out)));
}

std::string NameOf(uint64_t customer, const std::string& cls, const std::string& key) {
  return HashOf(std::to_string(customer) + "/" + std::to_string(cls.size()) + "/" + cls + "/" + key);
}

std::string Write(const Record& r) {
  json intents = json::array();
  for (const Intent& i : r.intents) {
    intents.push_back({{"backend", i.backend},
                       {"zone", i.zone},
                       {"cell", i.cell},
                       {"age", i.age_s},
                       {"not_run", i.not_run}});
  }
  json j = {{"form", kForm},     {"standing", static_cast<int>(r.standing)},
            {"owner", r.owner},  {"boot", r.boot},
            {"fence", r.fence},  {"claims", r.claims},
            {"body", r.body},    {"charged", r.charged},
            {"left", r.left_s},  {"lease", r.lease_s},
            {"intents", intents}};
  if (r.standing == Standing::kDone) {
    j["status"] = r.status;
    j["type"] = r.type;
    j["answer"] = Hex(r.answer);
    j["too_long"] = r.too_long;
  }
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Outline(const Record& r) {
  std::string text = std::to_string(static_cast<int>(r.standing)) + r.boot + "f@" + std::to_string(r.fence) +
                     "c" + std::to_string(r.claims);
  for (const Intent& i : r.intents) text += " " + i.backend + (i.not_run ? "-" : "+");
  return text + (r.standing == Standing::kDone ? " " + std::to_string(r.status) + r.answer : "");
}

std::optional<Record> Read(const std::string& text) {
  json j = json::parse(text, nullptr, false);
  if (!j.is_object() || j.value("form", json(0)) != kForm) return std::nullopt;
  Record r;
  try {
    int standing = j.at("standing").get<int>();
    if (standing < 0 || standing > 2) return std::nullopt;
    r.standing = static_cast<Standing>(standing);
    r.owner = j.at("owner").get<std::string>();
    r.boot = j.at("boot").get<std::string>();
    r.fence = j.at("fence").get<uint64_t>();
    r.claims = j.at("claims").get<uint64_t>();
    r.body = j.at("body").get<std::string>();
    r.charged = j.at("charged").get<bool>();
    r.left_s = j.at("left").get<double>();
    r.lease_s = j.at("lease").get<double>();
    for (const json& i : j.at("intents")) {
      if (r.intents.size() >= kMostIntents) return std::nullopt;
      r.intents.push_back({i.at("backend").get<std::string>(), i.at("zone").get<int>(),
                           i.at("cell").get<int>(), i.at("age").get<double>(), i.at("not_run").get<bool>()});
      if (!std::isfinite(r.intents.back().age_s) || r.intents.back().age_s < 0) return std::nullopt;
    }
    if (!std::isfinite(r.left_s) || !std::isfinite(r.lease_s)) return std::nullopt;
    if (r.standing == Standing::kDone) {
      r.status = j.at("status").get<int>();
      r.type = j.at("type").get<std::string>();
      auto answer = Unhex(j.at("answer").get<std::string>());
      if (!answer || r.status < 200 || r.status > 599 || r.type.find_first_of("\r\n") != std::string::npos)
        return std::nullopt;
      r.answer = *answer;
      r.too_long = j.at("too_long").get<bool>();
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return r;
}

}  // namespace ivygw::ledger
