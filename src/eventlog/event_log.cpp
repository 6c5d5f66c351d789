#include "eventlog/event_log.h"

#include <array>
#include <charconv>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace ivygw::eventlog {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 18> kKinds = {
    "ask",  "answer",  "ended",     "not_taken", "gave_up",    "arrive",       "reply", "cancelled", "effect",
    "told", "node_up", "node_down", "fell",      "gateway_up", "gateway_down", "count", "fault",     "load"};
constexpr std::array<const char*, 3> kEffects = {"safe", "keyed", "unsafe"};

template <typename T>
void Put(std::string* out, const char* key, T value, T usual) {
  if (value == usual) return;
  char text[40];
  auto end = std::to_chars(text, text + sizeof(text), value).ptr;
  out->append(",\"").append(key).append("\":").append(text, static_cast<size_t>(end - text));
}

json FactsToJson(const RunFacts& f) {
  json classes = json::array(), plans = json::array(), phases = json::array();
  for (const auto& c : f.classes) {
    classes.push_back({{"name", c.name},
                       {"effect", kEffects[static_cast<size_t>(c.effect)]},
                       {"aim_s", c.aim_s},
                       {"window_s", c.window_s},
                       {"worth", c.worth}});
  }
  for (const auto& p : f.plans) {
    plans.push_back({{"name", p.name},
                     {"rate", p.rate},
                     {"burst", p.burst},
                     {"ceiling_rate", p.ceiling_rate},
                     {"ceiling_burst", p.ceiling_burst},
                     {"ceiling_slack", p.ceiling_slack},
                     {"price", p.price},
                     {"excess_worth", p.excess_worth}});
  }
  for (const auto& p : f.phases) phases.push_back({{"name", p.name}, {"from_s", p.from_s}, {"to_s", p.to_s}});
  json j = {{"scenario", f.scenario},
            {"mode", f.mode},
            {"seed", f.seed},
            {"gateways", f.gateways},
            {"duration_s", f.duration_s},
            {"drain_grace_s", f.drain_grace_s},
            {"tip_multiple", f.tip_multiple},
            {"tip_s", f.tip_s},
            {"cold_from", f.cold_from},
            {"warm_s", f.warm_s},
            {"tolerance_s", f.tolerance_s},
            {"classes", classes},
            {"plans", plans},
            {"phases", phases}};
  if (f.works) j["works"] = true;
  return j;
}

RunFacts FactsFromJson(const json& j) {
  RunFacts f;
  j.at("scenario").get_to(f.scenario);
  j.at("mode").get_to(f.mode);
  j.at("seed").get_to(f.seed);
  j.at("gateways").get_to(f.gateways);
  j.at("duration_s").get_to(f.duration_s);
  j.at("drain_grace_s").get_to(f.drain_grace_s);
  j.at("tip_multiple").get_to(f.tip_multiple);
  j.at("tip_s").get_to(f.tip_s);
  j.at("cold_from").get_to(f.cold_from);
  j.at("warm_s").get_to(f.warm_s);
  j.at("tolerance_s").get_to(f.tolerance_s);
  f.works = j.value("works", false);
  for (const json& c : j.at("classes")) {
    ClassFacts facts{c.at("name"), Effect::kSafe, c.at("aim_s"), c.at("window_s"), c.at("worth")};
    std::string effect = c.at("effect");
    size_t i = 0;
    while (i < kEffects.size() && effect != kEffects[i]) ++i;
    if (i == kEffects.size()) throw RecordError("unknown effect " + effect);
    facts.effect = static_cast<Effect>(i);
    f.classes.push_back(facts);
  }
  for (const json& p : j.at("plans")) {
    f.plans.push_back({p.at("name"), p.at("rate"), p.at("burst"), p.at("ceiling_rate"), p.at("ceiling_burst"),
                       p.at("ceiling_slack"), p.at("price"), p.at("excess_worth")});
  }
  for (const json& p : j.at("phases")) f.phases.push_back({p.at("name"), p.at("from_s"), p.at("to_s")});
  return f;
}

Event EventFromJson(const json& j) {
  Event e;
  std::string kind = j.at("kind");
  size_t k = 0;
  while (k < kKinds.size() && kind != kKinds[k]) ++k;
  if (k == kKinds.size()) throw RecordError("unknown kind " + kind);
  e.kind = static_cast<EventKind>(k);
  e.t = j.at("t");
  auto get = [&](const char* key, auto* value) {
    if (auto it = j.find(key); it != j.end()) it->get_to(*value);
  };
  get("request", &e.request);
  get("other", &e.other);
  get("attempt", &e.attempt);
  get("customer", &e.customer);
  get("token", &e.token);
  get("gateway", &e.gateway);
  get("node", &e.node);
  get("address", &e.address);
  get("plan", &e.plan);
  get("cls", &e.cls);
  get("status", &e.status);
  get("due", &e.due);
  get("units", &e.units);
  get("work", &e.work);
  get("seconds", &e.seconds);
  get("flag", &e.flag);
  get("text", &e.text);
  return e;
}

}  // namespace

std::string_view KindName(EventKind kind) { return kKinds[static_cast<size_t>(kind)]; }

void Write(const Record& record, std::ostream& out) {
  out << FactsToJson(record.facts).dump() << "\n";
  std::string line;
  for (const Event& e : record.events) {
    line = "{\"kind\":\"";
    line.append(KindName(e.kind)).append("\"");
    char text[40];
    auto end = std::to_chars(text, text + sizeof(text), e.t).ptr;
    line.append(",\"t\":").append(text, static_cast<size_t>(end - text));
    Put<uint64_t>(&line, "request", e.request, 0);
    Put<uint64_t>(&line, "other", e.other, 0);
    Put<uint64_t>(&line, "attempt", e.attempt, 0);
    Put<uint64_t>(&line, "customer", e.customer, 0);
    Put<uint64_t>(&line, "token", e.token, 0);
    Put(&line, "gateway", e.gateway, -1);
    Put(&line, "node", e.node, -1);
    Put(&line, "address", e.address, -1);
    Put(&line, "plan", e.plan, -1);
    Put(&line, "cls", e.cls, -1);
    Put(&line, "status", e.status, 0);
    Put(&line, "due", e.due, 0.0);
    Put(&line, "units", e.units, 0.0);
    Put(&line, "work", e.work, 0.0);
    Put(&line, "seconds", e.seconds, 0.0);
    if (e.flag) line += ",\"flag\":true";
    if (!e.text.empty()) line += ",\"text\":" + json(e.text).dump();
    line += "}\n";
    out.write(line.data(), static_cast<std::streamsize>(line.size()));
  }
}

Record Read(std::istream& in) {
  Record record;
  std::string line;
  for (size_t number = 1; std::getline(in, line); ++number) {
    try {
      json j = json::parse(line);
      if (number == 1) {
        record.facts = FactsFromJson(j);
      } else {
        record.events.push_back(EventFromJson(j));
      }
    } catch (const std::exception& error) {
      throw RecordError("record line " + std::to_string(number) + ": " + error.what());
    }
  }
  if (record.facts.classes.empty()) throw RecordError("record line 1: no facts of a run");
  return record;
}

}  // namespace ivygw::eventlog
