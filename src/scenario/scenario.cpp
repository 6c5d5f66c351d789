#include "scenario/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace ivygw::scenario {
namespace {

struct FaultTerms {
  FaultKind kind;
  std::string_view name;
  bool lasts;                             // needs for_s
  std::vector<std::string_view> allowed;  // beside kind and at_s
  std::vector<std::string_view> needed;
};
const std::vector<FaultTerms>& AllFaults() {
  using K = FaultKind;
  static const std::vector<FaultTerms> kAll = {
      {K::kJump, "jump", true, {"for_s", "times"}, {"times"}},
      {K::kFastErrors, "fast_errors", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kTurnAway, "turn_away", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kHang, "hang", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kResetEarly, "reset_early", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kResetLate, "reset_late", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kSpoilt, "spoilt", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kCut, "cut", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kEndless, "endless", true, {"for_s", "nodes", "share"}, {"nodes", "share"}},
      {K::kPause, "pause", true, {"for_s", "nodes"}, {"nodes"}},
      {K::kVanish, "vanish", false, {"nodes"}, {"nodes"}},
      {K::kReplace, "replace", false, {"nodes", "down_s"}, {"nodes"}},
      {K::kRestart, "restart", false, {"nodes", "every_s", "drain_s", "down_s"}, {"nodes", "every_s"}},
      {K::kCounterSilent, "counter_silent", true, {"for_s", "part"}, {}},
      {K::kCounterRefusing, "counter_refusing", true, {"for_s", "part"}, {}},
      {K::kCounterSlow, "counter_slow", true, {"for_s", "part", "times"}, {"times"}},
      {K::kCounterStale, "counter_stale", true, {"for_s", "part"}, {}},
      {K::kCounterLossy, "counter_lossy", true, {"for_s", "part", "share"}, {"share"}},
      {K::kCounterLose, "counter_lose", false, {"share"}, {"share"}},
      {K::kCounterEmpty, "counter_empty", false, {}, {}},
      {K::kCounterSplit, "counter_split", true, {"for_s"}, {}},
      {K::kDiscoverySilent, "discovery_silent", true, {"for_s"}, {}},
      {K::kGatewayKill, "gateway_kill", true, {"for_s", "gateway"}, {}},
      {K::kGatewayPause, "gateway_pause", true, {"for_s", "gateway"}, {}},
      {K::kEngineAway, "engine_away", true, {"for_s"}, {}},
  };
  return kAll;
}

class Reader {
 public:
  Reader(const toml::table& table, std::string file, std::string where)
      : table_(table), file_(std::move(file)), where_(std::move(where)) {}

  [[noreturn]] void Fail(const toml::node* at, const std::string& what) const {
    const toml::source_region& from = at != nullptr ? at->source() : table_.source();
    throw ScenarioError((from.path ? *from.path : file_) + ":" + std::to_string(from.begin.line) + ": " +
                        what);
  }
  std::string Name(std::string_view key) const {
    return where_.empty() ? std::string(key) : where_ + "." + std::string(key);
  }

  void Number(std::string_view key, double* value, double least, double most) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    auto number = node->value<double>();
    if (!number || node->is_boolean() || node->is_string())
      Fail(node, Name(key) + " is to be a number" + Unit(key));
    if (!std::isfinite(*number) || *number < least || *number > most) {
      Fail(node, Name(key) + " is out of range: " + Plain(least) + " to " + Plain(most) + Unit(key));
    }
    *value = *number;
  }
  void Whole(std::string_view key, int* value, int least, int most) {
    double number = *value;
    const toml::node* node = table_.get(key);
    Number(key, &number, least, most);
    if (number != std::floor(number)) Fail(node, Name(key) + " is to be a whole number");
    *value = static_cast<int>(number);
  }
  void Flag(std::string_view key, bool* value) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) Fail(node, Name(key) + " is to be true or false");
    *value = *node->value<bool>();
  }
  void Text(std::string_view key, std::string* value, bool needed) {
    const toml::node* node = Take(key);
    if (node == nullptr) {
      if (needed) Fail(nullptr, Name(key) + " is missing");
      return;
    }
    if (!node->is_string()) Fail(node, Name(key) + " is to be a text");
    *value = *node->value<std::string>();
    if (value->empty()) Fail(node, Name(key) + " is empty");
  }
  // One number for both, or [low, high].
  void Range(std::string_view key, double* low, double* high, double least, double most) {
    const toml::node* node = table_.get(key);
    if (node == nullptr || !node->is_array()) {
      double one = *low;
      Number(key, &one, least, most);
      if (node != nullptr) *low = *high = one;
      return;
    }
    Take(key);
    const toml::array& pair = *node->as_array();
    auto a = pair.size() == 2 ? pair[0].value<double>() : std::nullopt;
    auto b = pair.size() == 2 ? pair[1].value<double>() : std::nullopt;
    if (!a || !b || *a > *b || *a < least || *b > most) {
      Fail(node, Name(key) + " is to be [low, high] within " + Plain(least) + " to " + Plain(most));
    }
    *low = *a;
    *high = *b;
  }
  const toml::table* Table(std::string_view key) {
    const toml::node* node = Take(key);
    if (node != nullptr && !node->is_table())
      Fail(node, Name(key) + " is to be a table [" + std::string(key) + "]");
    return node == nullptr ? nullptr : node->as_table();
  }
  const toml::array* Tables(std::string_view key) {
    const toml::node* node = Take(key);
    if (node == nullptr) return nullptr;
    if (!node->is_array_of_tables()) Fail(node, Name(key) + " is to be tables [[" + std::string(key) + "]]");
    return node->as_array();
  }
  // Whatever was not asked for is a mistake.
  void End() const {
    for (const auto& [key, node] : table_) {
      if (taken_.count(std::string(key.str())) != 0) continue;
      Fail(&node, "unknown key " + Name(key.str()));
    }
  }
  const toml::node* Peek(std::string_view key) const { return table_.get(key); }
  const std::string& file() const { return file_; }

 private:
  const toml::node* Take(std::string_view key) {
    taken_.insert(std::string(key));
    return table_.get(key);
  }
  static std::string Unit(std::string_view key) {
    return key.size() > 2 && key.substr(key.size() - 2) == "_s" ? " of seconds" : "";
  }
  static std::string Plain(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
  }
  const toml::table& table_;
  const std::string file_, where_;
  std::set<std::string> taken_;
};

constexpr double kDay = 86400, kMany = 1e6;

RequestClass ReadClass(Reader in) {
  RequestClass c;
  in.Text("name", &c.name, true);
  std::string effect = "safe";
  in.Text("effect", &effect, false);
  if (effect != "safe" && effect != "keyed" && effect != "unsafe") {
    in.Fail(in.Peek("effect"), in.Name("effect") + " is to be safe, keyed or unsafe");
  }
  c.effect = effect == "safe" ? Effect::kSafe : effect == "keyed" ? Effect::kKeyed : Effect::kUnsafe;
  in.Number("share", &c.share, 0, kMany);
  in.Number("work_s", &c.work_s, 1e-6, 100);
  in.Number("work_cv", &c.work_cv, 0, 5);
  in.Number("aim_s", &c.aim_s, 0.001, 60);
  in.Number("deadline_s", &c.deadline_s, 0.001, 60);
  in.Number("window_s", &c.window_s, 0, 600);
  in.Number("worth", &c.worth, 0, kMany);
  if (c.aim_s > c.deadline_s) in.Fail(in.Peek("aim_s"), in.Name("aim_s") + " is beyond deadline_s");
  in.End();
  return c;
}

Plan ReadPlan(Reader in, int gateways) {
  Plan p;
  in.Text("name", &p.name, true);
  in.Whole("customers", &p.customers, 1, 1000000);
  in.Number("share", &p.share, 0, kMany);
  in.Number("rate", &p.rate, 0, kMany);
  in.Number("burst", &p.burst, 0, kMany);
  in.Number("ceiling_rate", &p.ceiling_rate, 0, kMany);
  in.Number("ceiling_burst", &p.ceiling_burst, 0, kMany);
  in.Number("ceiling_slack", &p.ceiling_slack, 0, kMany);
  in.Whole("parallel", &p.parallel, 0, 1000000);
  in.Number("price", &p.price, 0, kMany);
  in.Number("excess_worth", &p.excess_worth, 0, 1);
  in.Number("over_cost", &p.over_cost, 0, kMany);
  in.Number("heavy_share", &p.heavy_share, 0, 1);
  in.Number("heavy_times", &p.heavy_times, 1, 1000);
  in.Whole("spread", &p.spread, 0, 1000);
  if (p.rate > 0 && p.burst <= 0) in.Fail(in.Peek("rate"), in.Name("rate") + " wants a burst");
  if (p.ceiling_rate > 0 && p.ceiling_rate < p.rate) {
    in.Fail(in.Peek("ceiling_rate"), in.Name("ceiling_rate") + " is below the rate");
  }
  if (p.ceiling_rate > 0 && p.ceiling_burst <= 0) {
    in.Fail(in.Peek("ceiling_rate"), in.Name("ceiling_rate") + " wants a ceiling_burst");
  }
  if (p.spread > gateways) in.Fail(in.Peek("spread"), in.Name("spread") + " is more than the gateways");
  in.End();
  return p;
}

NodeGroup ReadNodes(Reader in) {
  NodeGroup n;
  in.Text("type", &n.type, true);
  in.Whole("count", &n.count, 1, 100000);
  in.Number("cores", &n.cores, 0.01, 1024);
  in.Range("speed", &n.speed_from, &n.speed_to, 0.001, 1000);
  in.Whole("slots", &n.slots, 1, 100000);
  in.Whole("queue", &n.queue, 0, 1000000);
  in.Whole("connections", &n.connections, 1, 1000000);
  in.Number("thrash", &n.thrash, 0, 10);
  in.Number("thrash_at", &n.thrash_at, 0.1, 1000);
  in.Number("handshake_work_s", &n.handshake_work_s, 0, 1);
  in.Flag("cold", &n.cold);
  in.End();
  return n;
}

Fault ReadFault(Reader in, double duration, int gateways, int counter_parts) {
  std::string name;
  in.Text("kind", &name, true);
  const FaultTerms* terms = nullptr;
  for (const FaultTerms& t : AllFaults()) {
    if (t.name == name) terms = &t;
  }
  if (terms == nullptr) {
    std::string known;
    for (const FaultTerms& t : AllFaults()) known += (known.empty() ? "" : ", ") + std::string(t.name);
    in.Fail(in.Peek("kind"), "unknown fault " + name + "; known: " + known);
  }
  Fault f;
  f.kind = terms->kind;
  f.line = static_cast<int>(in.Peek("kind")->source().begin.line);
  auto has = [&](std::string_view key) {
    return std::find(terms->allowed.begin(), terms->allowed.end(), key) != terms->allowed.end();
  };
  if (in.Peek("at_s") == nullptr) in.Fail(nullptr, in.Name("at_s") + " is missing");
  in.Number("at_s", &f.at_s, 0, kDay);
  for (std::string_view key : terms->needed) {
    if (in.Peek(key) == nullptr) in.Fail(nullptr, in.Name(key) + " is missing: " + name + " needs it");
  }
  if (terms->lasts && in.Peek("for_s") == nullptr)
    in.Fail(nullptr, in.Name("for_s") + " is missing: " + name + " needs it");
  if (has("for_s")) in.Number("for_s", &f.for_s, 0.001, kDay);
  if (has("nodes")) in.Number("nodes", &f.nodes, 0, 1);
  if (has("share")) in.Number("share", &f.share, 0, 1);
  if (has("times")) in.Number("times", &f.times, f.kind == FaultKind::kJump ? 0 : 1, 1000);
  if (has("every_s")) in.Number("every_s", &f.every_s, 0.001, kDay);
  if (has("drain_s")) in.Number("drain_s", &f.drain_s, 0, kDay);
  if (has("down_s")) in.Number("down_s", &f.down_s, 0.001, kDay);
  if (has("part")) in.Whole("part", &f.part, 0, counter_parts - 1);
  if (has("gateway")) in.Whole("gateway", &f.gateway, 0, gateways - 1);
  if (f.at_s >= duration) in.Fail(in.Peek("at_s"), in.Name("at_s") + " lies beyond duration_s");
  if (f.at_s + f.for_s > duration) in.Fail(in.Peek("for_s"), name + " ends beyond duration_s");
  in.End();
  return f;
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  for (const FaultTerms& t : AllFaults()) {
    if (t.kind == kind) return t.name;
  }
  return "";
}

namespace {

toml::table ParseTable(std::string_view text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw ScenarioError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                        std::string(error.description()));
  }
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) throw ScenarioError(path + ":0: cannot be read");
  return text.str();
}

// What `over` leaves unsaid comes from `base`. Moved, so that each value keeps the line that it stands in.
void FillFrom(toml::table* over, toml::table* base) {
  for (auto&& [key, node] : *base) {
    toml::node* own = over->get(key.str());
    if (own != nullptr && own->is_table() && node.is_table()) {
      FillFrom(own->as_table(), node.as_table());
    } else if (own == nullptr) {
      node.visit([&, k = std::string(key.str())](auto& value) { over->insert(k, std::move(value)); });
    }
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
Scenario ParseScenario(std::string_view text, const std::string& file) {
  toml::table root = ParseTable(text, file);
  std::set<std::string> files = {file};
  for (std::string from = file; const toml::node* extends = root.get("extends");) {
    auto name = extends->value<std::string>();
    std::string at = file + ":" + std::to_string(extends->source().begin.line) + ": ";
    if (!extends->is_string()) throw ScenarioError(at + "extends is to be the name of a file");
    size_t slash = from.rfind('/');
    from = slash == std::string::npos ? *name : from.substr(0, slash + 1) + *name;
    if (!files.insert(from).second) throw ScenarioError(at + "extends itself");
    root.erase("extends");
    toml::table base = ParseTable(ReadText(from), from);
    FillFrom(&root, &base);
  }
  Scenario s;
  s.file = file;
  Reader top(root, file, "");
  top.Text("name", &s.name, true);
  top.Text("title", &s.title, false);
  top.Number("duration_s", &s.duration_s, 0.1, kDay);
  top.Whole("gateways", &s.gateways, 1, 1000);
  auto sub = [&](std::string_view key, auto read) {
    if (const toml::table* table = top.Table(key)) {
      Reader in(*table, file, std::string(key));
      read(in);
      in.End();
    }
  };
  sub("load", [&](Reader& in) {
    in.Number("rate", &s.load.rate, 0, kMany);
    in.Number("units_mean", &s.load.units_mean, 1, 1000);
    in.Number("units_top", &s.load.units_top, 1, 1000);
    in.Number("guess_error", &s.load.guess_error, 0, 1);
    if (s.load.units_mean > s.load.units_top) {
      in.Fail(in.Peek("units_mean"), in.Name("units_mean") + " is beyond units_top");
    }
  });
  sub("clients", [&](Reader& in) {
    in.Whole("retries", &s.clients.retries, 0, 10);
    in.Number("backoff_s", &s.clients.backoff_s, 0, 60);
    in.Number("honour", &s.clients.honour, 0, 1);
    in.Flag("mark_retries", &s.clients.mark_retries);
    in.Number("least_patience", &s.clients.least_patience, 0.01, 1);
    in.Number("notice_s", &s.clients.notice_s, 0, 60);
  });
  sub("rules", [&](Reader& in) {
    in.Number("drain_grace_s", &s.rules.drain_grace_s, 0, 60);
    in.Number("cold_from", &s.rules.cold_from, 0.001, 1);
    in.Number("warm_s", &s.rules.warm_s, 0, 3600);
    in.Number("tip_multiple", &s.rules.tip_multiple, 0.1, 100);
    in.Number("tip_s", &s.rules.tip_s, 0.01, 60);
    in.Number("max_retry_after_s", &s.rules.max_retry_after_s, 0, 3600);
    in.Whole("try_limit", &s.rules.try_limit, 1, 100);
  });
  sub("counter", [&](Reader& in) {
    in.Flag("present", &s.counter.present);
    std::string kind = "tally";
    in.Text("kind", &kind, false);
    if (kind != "tally" && kind != "redis")
      in.Fail(in.Peek("kind"), in.Name("kind") + " is to be tally or redis");
    s.counter.redis = kind == "redis";
    in.Number("timeout_s", &s.counter.timeout_s, 0.001, 10);
    in.Whole("parts", &s.counter.parts, 1, 64);
    in.Number("calls_per_s", &s.counter.calls_per_s, 1, kMany);
  });
  sub("discovery",
      [&](Reader& in) { in.Range("late_s", &s.discovery.least_late_s, &s.discovery.most_late_s, 0, 3600); });
  sub("network", [&](Reader& in) {
    in.Number("client_s", &s.network.client_s, 0, 1);
    in.Number("node_s", &s.network.node_s, 0, 1);
    in.Number("counter_s", &s.network.counter_s, 0, 1);
    in.Number("clocks_apart_s", &s.network.clocks_apart_s, 0, 60);
  });
  sub("fleet", [&](Reader& in) {
    s.fleet.on = true;
    in.Number("lease_s", &s.fleet.lease_s, 0.2, 300);
    in.Number("hold_s", &s.fleet.hold_s, 0, 3600);
    in.Number("life_s", &s.fleet.life_s, 1, 86400);
    in.Flag("lending", &s.fleet.lending);
    in.Number("engine_s", &s.fleet.engine_s, 0, 1);
    in.Number("engine_lost", &s.fleet.engine_lost, 0, 1);
  });
  auto each = [&](std::string_view key, bool needed, auto read) {
    const toml::array* tables = top.Tables(key);
    if (tables == nullptr) {
      if (needed)
        top.Fail(nullptr, std::string(key) + " is missing: at least one [[" + std::string(key) + "]]");
      return;
    }
    for (const toml::node& node : *tables) read(Reader(*node.as_table(), file, std::string(key)));
  };
  auto once = [&](const auto& list, const std::string& name, const char* what, const Reader& in) {
    for (const auto& other : list) {
      if (other.name == name) in.Fail(in.Peek("name"), std::string(what) + " " + name + " is there twice");
    }
  };
  each("class", true, [&](const Reader& in) {
    RequestClass c = ReadClass(in);
    once(s.classes, c.name, "class", in);
    s.classes.push_back(c);
  });
  each("plan", true, [&](const Reader& in) {
    Plan p = ReadPlan(in, s.gateways);
    once(s.plans, p.name, "plan", in);
    s.plans.push_back(p);
  });
  each("node", true, [&](Reader in) { s.nodes.push_back(ReadNodes(std::move(in))); });
  each("stream", false, [&](Reader in) {
    Stream stream;
    in.Text("plan", &stream.plan, true);
    in.Text("class", &stream.request_class, true);
    in.Number("every_s", &stream.every_s, 0.0001, kDay);
    in.Whole("batch", &stream.batch, 1, 100000);
    in.Number("at_s", &stream.at_s, 0, s.duration_s);
    in.Number("for_s", &stream.for_s, 0, s.duration_s);
    stream.line = static_cast<int>(in.Peek("plan")->source().begin.line);
    auto named = [&](const auto& list, const std::string& name) {
      return std::any_of(list.begin(), list.end(), [&](const auto& x) { return x.name == name; });
    };
    if (!named(s.plans, stream.plan)) in.Fail(in.Peek("plan"), "stream.plan names no plan: " + stream.plan);
    if (!named(s.classes, stream.request_class)) {
      in.Fail(in.Peek("class"), "stream.class names no class: " + stream.request_class);
    }
    in.End();
    s.streams.push_back(stream);
  });
  if (s.streams.empty() && s.load.rate <= 0) top.Fail(nullptr, "no load: load.rate or [[stream]] is needed");
  auto shared = [](const auto& list) {
    double sum = 0;
    for (const auto& x : list) sum += x.share;
    return sum > 0;
  };
  if (s.load.rate > 0 && (!shared(s.classes) || !shared(s.plans))) {
    top.Fail(nullptr, "every class.share or plan.share is nought");
  }
  each("fault", false, [&](Reader in) {
    s.faults.push_back(ReadFault(std::move(in), s.duration_s, s.gateways, s.counter.parts));
  });
  top.End();
  std::stable_sort(s.faults.begin(), s.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  // Two of one kind at once would end each other.
  for (size_t i = 0; i < s.faults.size(); ++i) {
    for (size_t j = i + 1; j < s.faults.size(); ++j) {
      const Fault &a = s.faults[i], &b = s.faults[j];
      if (a.kind != b.kind || a.for_s <= 0 || b.at_s >= a.at_s + a.for_s) continue;
      if ((a.kind == FaultKind::kGatewayKill || a.kind == FaultKind::kGatewayPause) && a.gateway != b.gateway)
        continue;
      if (a.part >= 0 && b.part >= 0 && a.part != b.part) continue;
      throw ScenarioError(file + ":" + std::to_string(b.line) + ": " + std::string(FaultName(b.kind)) +
                          " begins before the one of line " + std::to_string(a.line) + " has ended");
    }
  }
  if (s.faults.empty()) return s;
  for (const Fault& f : s.faults) {
    bool counter = FaultName(f.kind).substr(0, 8) == "counter_";
    if (counter && !s.counter.present) {
      throw ScenarioError(file + ":" + std::to_string(f.line) + ": " + std::string(FaultName(f.kind)) +
                          " in a scenario without a counter");
    }
    if (f.kind == FaultKind::kCounterSplit && s.gateways < 2) {
      throw ScenarioError(file + ":" + std::to_string(f.line) +
                          ": counter_split wants two gateways at least");
    }
  }
  return s;
}

Scenario LoadScenario(const std::string& path) { return ParseScenario(ReadText(path), path); }

int Scenario::NodeCount() const {
  int n = 0;
  for (const NodeGroup& group : nodes) n += group.count;
  return n;
}

std::vector<Phase> Scenario::Phases() const {
  std::vector<double> cuts = {0, duration_s};
  auto end = [](const Fault& f) { return f.at_s + f.for_s; };
  for (const Fault& f : faults) {
    cuts.push_back(f.at_s);
    if (f.for_s > 0) cuts.push_back(end(f));
  }
  std::sort(cuts.begin(), cuts.end());
  cuts.erase(std::unique(cuts.begin(), cuts.end()), cuts.end());
  std::vector<Phase> phases;
  for (size_t i = 0; i + 1 < cuts.size(); ++i) {
    Phase phase{"", cuts[i], cuts[i + 1]};
    for (const Fault& f : faults) {
      bool holds = f.for_s > 0 ? f.at_s <= phase.from_s && end(f) > phase.from_s : f.at_s == phase.from_s;
      if (holds) phase.name += (phase.name.empty() ? "" : "+") + std::string(FaultName(f.kind));
    }
    if (phase.name.empty()) phase.name = i == 0 ? "before" : "after";
    phases.push_back(phase);
  }
  return phases;
}

Scenario Scenario::Shortened(double share) const {
  Scenario s = *this;
  s.duration_s *= share;
  for (Fault& f : s.faults) {
    f.at_s *= share;
    f.for_s *= share;
    f.every_s *= share;
  }
  return s;
}

}  // namespace ivygw::scenario
