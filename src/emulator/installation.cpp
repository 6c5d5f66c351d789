#include "emulator/installation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "emulator/random.h"

namespace ivygw::emulator {

using nlohmann::json;

namespace {

constexpr double kToleranceS = 0.05;  // the platform's: by which each time limit is longer on sockets
constexpr double kConnectTimeoutS = 0.25, kConnectionIdleS = 30;

const char* EffectName(scenario::Effect effect) {
  switch (effect) {
    case scenario::Effect::kSafe: return "free";
    case scenario::Effect::kKeyed: return "guarded";
    case scenario::Effect::kUnsafe: return "single_shot";
  }
  return "";
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
json GatewayConfig(const scenario::Scenario& s, int gateway, uint64_t seed, const GatewayAddresses& addresses,
                   const json& known) {
  json classes = json::array(), plans = json::array(), kinds = json::array();
  for (const auto& c : s.classes) {
    classes.push_back({{"name", c.name},
                       {"effect", EffectName(c.effect)},
                       {"aim-s", c.aim_s},
                       {"hard-limit-s", c.deadline_s},
                       {"window-s", c.window_s},
                       {"importance", c.worth},
                       {"late-share", 0.0},
                       {"dedup-scope", "all"},
                       {"streamed", false}});
  }
  for (const auto& p : s.plans) {
    plans.push_back({{"name", p.name},
                     {"units-per-s", p.rate},
                     {"store-size", p.burst},
                     {"never-over-rate", p.ceiling_rate},
                     {"ceiling-burst", p.ceiling_burst},
                     {"cap-slack", p.ceiling_slack},
                     {"excess-worth", p.excess_worth},
                     {"over-cost", p.over_cost},
                     {"value-factor", p.price},
                     {"parallel", p.parallel}});
  }
  for (const auto& n : s.nodes) {
    if (std::find(kinds.begin(), kinds.end(), json(n.type)) == kinds.end()) kinds.push_back(n.type);
  }
  char text[20];
  uint64_t own = Random(seed).Fork("gateway", static_cast<uint64_t>(gateway)).Next();
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(own));
  json config = {{"name", "n" + std::to_string(gateway)},
                 {"listen", addresses.listen},
                 {"discovery", addresses.discovery},
                 {"seed", text},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                 {"known", known},
                 {"settings",
                  {{"me", gateway},
                   {"peers-total", s.gateways},
                   {"zone", 0},
                   {"zones", {"hall-a", "hall-b"}},
                   {"kinds", kinds},
                   {"resolution-s", 0.002},
                   {"discovery", "pushed"},
                   {"specifics",
                    {{"units-top", s.load.units_top},
                     {"may-count", s.counter.present},
                     {"counter-timeout-s", s.counter.timeout_s},
                     {"counter-price", 0.005}}},
                   {"prices", {{"cross-zone", 0.02}}},
                   {"limits",
                    {{"cancel", true},
                     {"parallel-tries", false},
                     {"retry-after", true},
                     {"max-retry-after-s", s.rules.max_retry_after_s},
                     {"try-limit", s.rules.try_limit},
                     {"conn-idle-s", kConnectionIdleS},
                     {"connect-timeout-s", kConnectTimeoutS}}},
                   {"invariants",
                    {{"cold-from", s.rules.cold_from},
                     {"warm-after-s", s.rules.warm_s},
                     {"tip-multiple", s.rules.tip_multiple},
                     {"tip-after-s", s.rules.tip_s},
                     {"ask-within-s", 10.0},
                     {"drain-grace-s", s.rules.drain_grace_s}}},
                   {"request-classes", classes},
                   {"tiers-of-service", plans}}}};
  if (s.counter.present) config["counter"] = addresses.counter;
  if (s.fleet.on) {
    config["fleet"] = {{"engine", "sqlite"},
                       {"path", "none"},
                       {"lease_s", s.fleet.lease_s},
                       {"hold_s", s.fleet.hold_s},
                       {"ledger", {{"key_header", "Work-Key"}, {"life_s", s.fleet.life_s}}}};
    if (s.fleet.lending) config["fleet"]["lending"] = nlohmann::json::object();
  }
  if (s.counter.present && s.counter.redis) {
    config["counter_access"] = {
        {"kind", "redis"}, {"password", "rehearsal"}, {"database", 1}, {"prefix", "ivygw:"}};
  }
  return config;
}

json DiscoveryList(const DiscoveryNews& news, double epoch_s,
                   const std::function<std::string(int node)>& address_of) {
  json entries = json::array();
  for (const NodeEntry& e : news.entries) {
    const char* status = e.status == NodeStatus::kActive    ? "active"
                         : e.status == NodeStatus::kLeaving ? "leaving"
                                                            : "left";
    double since = e.started < -1000 ? 0 : std::round((epoch_s + e.started) * 1000);
    entries.push_back({{"name", e.name},
                       {"address", address_of(e.node)},
                       {"zone", e.zone},
                       {"type", e.type},
                       {"group", e.group},
                       {"status", status},
                       {"weight", 1.0},
                       {"since_ms", since}});
  }
  return {{"index", news.index}, {"snapshot", news.snapshot}, {"endpoints", entries}};
}

eventlog::RunFacts FactsOf(const scenario::Scenario& s, uint64_t seed, const std::string& mode) {
  eventlog::RunFacts f;
  f.scenario = s.name;
  f.mode = mode;
  f.seed = seed;
  f.gateways = s.gateways;
  f.duration_s = s.duration_s;
  f.drain_grace_s = s.rules.drain_grace_s;
  f.tip_multiple = s.rules.tip_multiple;
  f.tip_s = s.rules.tip_s;
  f.cold_from = s.rules.cold_from;
  f.warm_s = s.rules.warm_s;
  f.tolerance_s = kToleranceS;
  f.works = s.fleet.on;
  for (const auto& c : s.classes) {
    f.classes.push_back({c.name, static_cast<eventlog::Effect>(c.effect), c.aim_s, c.window_s, c.worth});
  }
  for (const auto& p : s.plans) {
    f.plans.push_back(
        {p.name, p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack, p.price, p.excess_worth});
  }
  for (const auto& p : s.Phases()) f.phases.push_back({p.name, p.from_s, p.to_s});
  return f;
}

}  // namespace ivygw::emulator
