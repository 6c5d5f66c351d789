#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace micadock {
namespace {

class Pairs {
 public:
  // With `faults` all that is wrong is gathered there; without, the first fault throws.
  Pairs(std::string_view text, std::vector<std::string>* faults) : faults_(faults) {
    while (!text.empty()) {
      size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      size_t eq = line.find('=');
      if (eq == std::string_view::npos) {
        Fault("setting without '=': " + std::string(line));
        continue;
      }
      values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
    }
  }

  const std::string& Text(const std::string& key) const {
    auto it = values_.find(key);
    if (it != values_.end()) return it->second;
    Fault("setting is missing: " + key);
    static const std::string kNone;
    return kNone;
  }

  double Number(const std::string& key) const {
    const std::string& text = Text(key);
    double value = 0;
    if (Missing(key)) return value;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size() && std::isfinite(value)) return value;
    Unreadable(key, text);
    return 0;
  }

  int Whole(const std::string& key) const {
    double value = Number(key);
    if (value == std::floor(value) && value >= 0 && value <= 1e9) return static_cast<int>(value);
    Unreadable(key, Text(key));
    return 0;
  }

  bool Flag(const std::string& key) const {
    const std::string& text = Text(key);
    if (text != "true" && text != "false" && !Missing(key)) Unreadable(key, text);
    return text == "true";
  }

  template <typename T>
  T Choice(const std::string& key, std::initializer_list<std::pair<const char*, T>> choices) const {
    const std::string& text = Text(key);
    for (const auto& [word, value] : choices) {
      if (text == word) return value;
    }
    if (!Missing(key)) Unreadable(key, text);
    return choices.begin()->second;
  }

 private:
  bool Missing(const std::string& key) const { return values_.count(key) == 0; }
  void Fault(const std::string& what) const {
    if (faults_ == nullptr) throw WireError(what);
    if (std::find(faults_->begin(), faults_->end(), what) == faults_->end()) faults_->push_back(what);
  }
  void Unreadable(const std::string& key, const std::string& text) const {
    Fault("setting is unreadable: " + key + "=" + text);
  }

  std::vector<std::string>* faults_;
  std::unordered_map<std::string, std::string> values_;
};

}  // namespace

Settings ParseSettings(std::string_view text, std::vector<std::string>* faults) {
  Pairs in(text, faults);
  Settings s;
  s.gateway = in.Whole("me");
  s.gateways = s.configured_gateways = in.Whole("peers-total");
  s.zone = in.Whole("zone");
  s.resolution_s = in.Number("resolution-s");
  s.push_discovery = in.Choice<bool>("discovery", {{"pushed", true}, {"on_request", false}});
  s.max_units = in.Number("specifics.units-top");
  s.may_count = in.Flag("specifics.may-count");
  s.count_timeout_s = in.Number("specifics.counter-timeout-s");
  s.count_price = in.Number("specifics.counter-price");
  s.cross_zone_price = in.Number("prices.cross-zone");
  s.cancel = in.Flag("limits.cancel");
  s.hedging = in.Flag("limits.parallel-tries");
  s.retry_after = in.Flag("limits.retry-after");
  s.max_retry_after_s = in.Number("limits.max-retry-after-s");
  s.try_limit = in.Whole("limits.try-limit");
  s.cold_from = in.Number("invariants.cold-from");
  s.warm_after_s = in.Number("invariants.warm-after-s");
  s.tip_multiple = in.Number("invariants.tip-multiple");
  s.tip_after_s = in.Number("invariants.tip-after-s");
  s.max_discovery_retry_s = in.Number("invariants.ask-within-s");
  int classes = in.Whole("request-classes.count");
  for (int i = 0; i < classes; ++i) {
    std::string at = "request-classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.aim_s = in.Number(at + "aim-s");
    c.deadline_s = in.Number(at + "hard-limit-s");
    c.window_s = in.Number(at + "window-s");
    c.worth = in.Number(at + "importance");
    c.late_share = in.Number(at + "late-share");
    c.effect = in.Choice<Effect>(
        at + "effect",
        {{"free", Effect::kFree}, {"guarded", Effect::kGuarded}, {"single_shot", Effect::kSingleShot}});
    c.scope = in.Choice<Scope>(at + "dedup-scope",
                               {{"all", Scope::kAll}, {"zone", Scope::kZone}, {"cell", Scope::kCell}});
    s.classes.push_back(c);
  }
  int plans = in.Whole("tiers-of-service.count");
  for (int i = 0; i < plans; ++i) {
    std::string at = "tiers-of-service." + std::to_string(i) + ".";
    PlanSettings p;
    p.rate = in.Number(at + "units-per-s");
    p.burst = in.Number(at + "store-size");
    p.ceiling_rate = in.Number(at + "never-over-rate");
    p.ceiling_burst = in.Number(at + "ceiling-burst");
    p.ceiling_slack = in.Number(at + "cap-slack");
    p.excess_worth = in.Number(at + "excess-worth");
    p.over_cost = in.Number(at + "over-cost");
    p.price = in.Number(at + "value-factor");
    p.parallel = in.Whole(at + "parallel");
    s.plans.push_back(p);
  }
  return s;
}

SiteSettings ParseSite(std::string_view text, std::vector<std::string>* faults) {
  Pairs in(text, faults);
  SiteSettings s;
  auto names = [&](const std::string& list) {
    std::vector<std::string> out;
    for (int i = 0; i < in.Whole(list + ".count"); ++i) {
      out.push_back(in.Text(list + "." + std::to_string(i) + ".name"));
    }
    return out;
  };
  auto split = [&](const std::string& key) {
    std::vector<std::string> out;
    std::string_view rest = in.Text(key);
    while (!rest.empty()) {
      size_t end = std::min(rest.find(','), rest.size());
      out.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
  };
  s.classes = names("request-classes");
  s.plans = names("tiers-of-service");
  s.zones = split("zones");
  s.kinds = split("kinds");
  s.conn_idle_s = in.Number("limits.conn-idle-s");
  s.connect_timeout_s = in.Number("limits.connect-timeout-s");
  s.drain_grace_s = in.Number("invariants.drain-grace-s");
  return s;
}

std::string PlainName(std::string_view name) {
  std::string plain(name);
  for (char& c : plain) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return plain;
}

}  // namespace micadock
