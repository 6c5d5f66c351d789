#include "wire.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace micadock {
namespace {

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Get(const char* what) {
    if (bytes_.size() - at_ < sizeof(T)) {
      throw WireError(std::string("frame ends inside ") + what);
    }
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }

  std::string_view Bytes(size_t n, const char* what) {
    if (bytes_.size() - at_ < n) {
      throw WireError(std::string("frame ends inside ") + what);
    }
    std::string_view part = bytes_.substr(at_, n);
    at_ += n;
    return part;
  }

  std::vector<float> Load() {
    size_t n = Get<uint8_t>("load report length");
    std::vector<float> load;
    load.reserve(n);
    for (size_t i = 0; i < n; ++i) load.push_back(Get<float>("load report"));
    return load;
  }

  size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  size_t at_ = 0;
};

Result ToResult(uint8_t code) {
  switch (code) {
    case 0: return Result::kOk;
    case 255: return Result::kError;
    case 254: return Result::kFull;
    case 253: return Result::kTimeout;
    case 252: return Result::kConnectFailed;
    case 251: return Result::kReset;
    case 250: return Result::kCancelled;
    case 249: return Result::kNeverSent;
    default: throw WireError("unknown outcome code " + std::to_string(code));
  }
}

Backend ReadEntry(Reader* in) {
  Backend b;
  b.kind = in->Get<uint8_t>("entry kind");
  uint8_t mode = in->Get<uint8_t>("entry mode");
  if (mode > 2) throw WireError("unknown backend mode " + std::to_string(mode));
  b.state = mode == 1 ? BackendState::kReady : mode == 2 ? BackendState::kDraining : BackendState::kGone;
  b.zone = in->Get<uint16_t>("entry zone");
  b.id = in->Get<uint32_t>("entry backend");
  b.cell = in->Get<uint16_t>("entry cell");
  b.weight = in->Get<float>("entry weight");
  b.started_s = in->Get<double>("entry start time");
  return b;
}

WireEvent ReadEvent(Reader* in) {
  uint16_t code = in->Get<uint16_t>("event code");
  WireEvent event;
  if (code == 1110) {
    WireTable table;
    table.bank = in->Get<uint8_t>("table number");
    if (table.bank > 15) throw WireError("table number " + std::to_string(table.bank) + " is above 15");
    uint32_t n = in->Get<uint32_t>("table length");
    if (n > in->left() / 22) throw WireError("table holds fewer entries than it says");
    table.entries.reserve(n);
    for (uint32_t i = 0; i < n; ++i) table.entries.push_back(ReadEntry(in));
    event.body = std::move(table);
    return event;
  }
  if (code < 1000 || code > 1100 || code % 10 != 0) {
    throw WireError("unknown event code " + std::to_string(code));
  }
  event.instance = in->Get<uint32_t>("instance");
  switch (code) {
    case 1000: {
      WireUp up;
      up.seed = in->Get<uint64_t>("seed");
      uint32_t n = in->Get<uint32_t>("settings length");
      up.settings = std::string(in->Bytes(n, "settings"));
      event.body = std::move(up);
      break;
    }
    case 1010: {
      WireView view;
      uint8_t scope = in->Get<uint8_t>("view scope");
      if (scope > 3) throw WireError("unknown view scope " + std::to_string(scope));
      view.kind = static_cast<ListKind>(scope);
      view.version = in->Get<uint64_t>("view version");
      view.bank = in->Get<uint8_t>("view table number");
      event.body = view;
      break;
    }
    case 1020: {
      Request r;
      r.id = in->Get<uint32_t>("request id");
      r.cls = in->Get<uint8_t>("request class");
      r.plan = in->Get<uint16_t>("request plan");
      r.customer = in->Get<uint64_t>("request customer");
      r.left_s = in->Get<double>("request time left");
      r.units = in->Get<float>("request units");
      r.entries = in->Get<float>("request entries");
      in->Get<float>("request first gateway");
      in->Get<uint16_t>("request attributes");
      event.body = r;
      break;
    }
    case 1030: {
      WireBegun begun;
      begun.request = in->Get<uint32_t>("request id");
      in->Get<uint8_t>("attempt");
      in->Get<uint32_t>("backend");
      in->Get<double>("time taken");
      event.body = begun;
      break;
    }
    case 1040: {
      Outcome o;
      o.request = in->Get<uint32_t>("request id");
      in->Get<uint16_t>("fleet use");
      o.attempt = in->Get<uint8_t>("attempt");
      o.took_s = in->Get<double>("time taken");
      o.result = ToResult(in->Get<uint8_t>("outcome"));
      o.finished = in->Get<uint8_t>("done flag") != 0;
      o.backend = in->Get<uint32_t>("backend");
      o.true_units = in->Get<uint16_t>("true units");
      in->Load();
      event.body = o;
      break;
    }
    case 1050: event.body = WireAbandoned{in->Get<uint32_t>("request id")}; break;
    case 1060: event.body = WireTick{in->Get<uint64_t>("timer tag")}; break;
    case 1070: {
      WireProbed p;
      p.took_s = in->Get<double>("time taken");
      p.result = ToResult(in->Get<uint8_t>("probe result"));
      p.backend = in->Get<uint32_t>("backend");
      p.load = in->Load();
      event.body = std::move(p);
      break;
    }
    case 1080: {
      WireMessage m;
      m.sender = in->Get<uint16_t>("sender");
      uint16_t n = in->Get<uint16_t>("message length");
      m.bytes = std::string(in->Bytes(n, "message"));
      event.body = std::move(m);
      break;
    }
    case 1090: event.body = WireExit{}; break;
    case 1100: {
      CountAnswer c;
      in->Get<double>("time taken");
      c.total = in->Get<float>("count total");
      c.result = ToResult(in->Get<uint8_t>("count result"));
      c.name = in->Get<uint64_t>("count name");
      event.body = c;
      break;
    }
    default: throw WireError("unknown event code " + std::to_string(code));
  }
  return event;
}

template <typename T>
void Put(std::string* out, T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  out->append(raw, sizeof(T));
}

void PutText(std::string* out, uint16_t code, uint32_t instance, std::string_view text) {
  text = text.substr(0, 65535);
  Put<uint16_t>(out, code);
  Put<uint32_t>(out, instance);
  Put<uint16_t>(out, static_cast<uint16_t>(text.size()));
  out->append(text);
}

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      size_t eq = line.find('=');
      if (eq == std::string_view::npos) throw WireError("setting without '=': " + std::string(line));
      values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
    }
  }

  const std::string& Text(const std::string& key) const {
    auto it = values_.find(key);
    if (it == values_.end()) throw WireError("setting is missing: " + key);
    return it->second;
  }

  double Number(const std::string& key) const {
    const std::string& text = Text(key);
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
      Unreadable(key, text);
    return value;
  }

  int Whole(const std::string& key) const {
    double value = Number(key);
    if (value != std::floor(value) || value < 0 || value > 1e9) Unreadable(key, Text(key));
    return static_cast<int>(value);
  }

  bool Flag(const std::string& key) const {
    const std::string& text = Text(key);
    if (text != "true" && text != "false") Unreadable(key, text);
    return text == "true";
  }

  template <typename T>
  T Choice(const std::string& key, std::initializer_list<std::pair<const char*, T>> choices) const {
    const std::string& text = Text(key);
    for (const auto& [word, value] : choices) {
      if (text == word) return value;
    }
    Unreadable(key, text);
  }

 private:
  [[noreturn]] static void Unreadable(const std::string& key, const std::string& text) {
    throw WireError("setting is unreadable: " + key + "=" + text);
  }

  std::unordered_map<std::string, std::string> values_;
};

}  // namespace

WireBatch ParseBatch(std::string_view frame) {
  Reader in(frame);
  uint32_t size = in.Get<uint32_t>("frame length");
  if (size != frame.size()) throw WireError("frame length does not match its bytes");
  WireBatch batch;
  batch.now = in.Get<double>("clock");
  if (!std::isfinite(batch.now)) throw WireError("clock is not a number");
  uint32_t records = in.Get<uint32_t>("record count");
  if (records > in.left() / 6) throw WireError("frame holds fewer records than it says");
  batch.events.reserve(records);
  for (uint32_t i = 0; i < records; ++i) batch.events.push_back(ReadEvent(&in));
  if (in.left() != 0) throw WireError("frame has bytes after its last record");
  return batch;
}

ReplyWriter::ReplyWriter() { Reset(); }

void ReplyWriter::Reset() { bytes_.assign(4, '\0'); }

const std::string& ReplyWriter::Finish() {
  uint32_t size = static_cast<uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &size, sizeof(size));
  return bytes_;
}

void ReplyWriter::AppendBroken(uint32_t instance, std::string_view text) {
  PutText(&bytes_, 1120, instance, text);
}

void ReplyWriter::Append(uint32_t instance, const Action& a) {
  auto head = [&](uint16_t code) {
    Put<uint16_t>(&bytes_, code);
    Put<uint32_t>(&bytes_, instance);
  };
  switch (a.kind) {
    case ActionKind::kSend:
      head(1050);
      Put<uint32_t>(&bytes_, a.request);
      Put<uint32_t>(&bytes_, a.backend);
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kCancel:
      head(1060);
      Put<uint32_t>(&bytes_, a.request);
      Put<uint8_t>(&bytes_, static_cast<uint8_t>(a.attempt));
      break;
    case ActionKind::kRefuse:
      head(1070);
      Put<uint32_t>(&bytes_, a.request);
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kFail:
      head(1000);
      Put<uint32_t>(&bytes_, a.request);
      break;
    case ActionKind::kTimer:
      head(1030);
      Put<double>(&bytes_, a.seconds);
      Put<uint64_t>(&bytes_, a.tag);
      break;
    case ActionKind::kCount:
      head(1100);
      Put<uint64_t>(&bytes_, a.tag);
      Put<float>(&bytes_, static_cast<float>(a.amount));
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kSubscribe:
      head(1040);
      Put<uint8_t>(&bytes_, 1);
      break;
    case ActionKind::kLog: PutText(&bytes_, 1020, instance, a.text); break;
  }
}

Settings ParseSettings(std::string_view text) {
  Pairs in(text);
  Settings s;
  s.gateway = in.Whole("me");
  s.gateways = in.Whole("peers-total");
  s.zone = in.Whole("zone");
  s.resolution_s = in.Number("resolution-s");
  s.push_discovery = in.Choice<bool>("discovery", {{"pushed", true}, {"on_request", false}});
  s.max_units = in.Number("specifics.units-top");
  s.may_count = in.Flag("specifics.may-count");
  s.count_timeout_s = in.Number("specifics.counter-timeout-s");
  s.count_price = in.Number("specifics.counter-price");
  s.cross_zone_price = in.Number("prices.cross-zone");
  s.cancel = in.Flag("limits.cancel");
  s.parallel_tries = in.Flag("limits.parallel-tries");
  s.retry_after = in.Flag("limits.retry-after");
  s.max_retry_after_s = in.Number("limits.max-retry-after-s");
  s.try_limit = in.Whole("limits.try-limit");
  s.cold_from = in.Number("invariants.cold-from");
  s.warm_after_s = in.Number("invariants.warm-after-s");
  s.tip_multiple = in.Number("invariants.tip-multiple");
  s.tip_after_s = in.Number("invariants.tip-after-s");
  s.ask_within_s = in.Number("invariants.ask-within-s");
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

SiteSettings ParseSite(std::string_view text) {
  Pairs in(text);
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

}  // namespace micadock
