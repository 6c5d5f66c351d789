#include "emulator/clients.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivygw::emulator {
namespace {

using eventlog::Event;
using eventlog::EventKind;
using scenario::FaultKind;
using scenario::Scenario;

constexpr double kShiftS = 10;               // after which a customer's traffic favours another gateway
constexpr double kLatePatienceS = 0.05;      // beyond its patience, for which a client still hears an answer
constexpr uint64_t kRetryStep = 1ULL << 32;  // between the ids of one chain

double RateTimes(const Scenario& s, double t) {
  double times = 1;
  for (const scenario::Fault& f : s.faults) {
    if (f.kind == FaultKind::kJump && t >= f.at_s && t < f.at_s + f.for_s) times *= f.times;
  }
  return times;
}

// Index by weight.
template <typename List, typename Weight>
size_t Pick(const List& list, double draw, Weight weight) {
  double sum = 0;
  for (const auto& x : list) sum += weight(x);
  double at = draw * sum;
  for (size_t i = 0; i < list.size(); ++i) {
    at -= weight(list[i]);
    if (at < 0) return i;
  }
  return list.size() - 1;
}

}  // namespace

Clients::Clients(const Scenario& scenario, uint64_t seed, Scheduler* scheduler, std::vector<Event>* log)
    : scenario_(scenario),
      scheduler_(scheduler),
      log_(log),
      random_(Random(seed).Fork("clients")),
      alive_(static_cast<size_t>(scenario.gateways), true) {
  Draw(seed);
}

void Clients::Draw(uint64_t) {
  const Scenario& s = scenario_;
  Random when = random_.Fork("when"), what = random_.Fork("what");
  std::vector<uint64_t> sets;
  auto finish = [&](ClientCall call) {
    const scenario::RequestClass& cls = s.classes[static_cast<size_t>(call.cls)];
    const scenario::Plan& plan = s.plans[static_cast<size_t>(call.plan)];
    call.spread = plan.spread > 0 ? plan.spread : s.gateways;
    call.first =
        static_cast<int>(random_.Fork("set", call.customer).Below(static_cast<uint64_t>(s.gateways)));
    call.draw = what.Unit();
    call.honours = what.Chance(s.clients.honour);
    if (cls.effect == scenario::Effect::kKeyed) {
      char key[40];
      std::snprintf(key, sizeof(key), "%016llx", static_cast<unsigned long long>(what.Next()));
      call.key = key;
    }
    arrivals_.push_back(std::move(call));
  };
  if (s.load.rate > 0) {
    double most = 1;
    for (const scenario::Fault& f : s.faults) {
      if (f.kind == FaultKind::kJump) most *= std::max(1.0, f.times);
    }
    for (double t = when.Exponential(1 / (s.load.rate * most)); t < s.duration_s;
         t += when.Exponential(1 / (s.load.rate * most))) {
      if (!when.Chance(RateTimes(s, t) / most)) continue;
      ClientCall call;
      call.due = t;
      call.plan = static_cast<int>(Pick(s.plans, what.Unit(), [](const auto& p) { return p.share; }));
      call.cls = static_cast<int>(Pick(s.classes, what.Unit(), [](const auto& c) { return c.share; }));
      const scenario::Plan& plan = s.plans[static_cast<size_t>(call.plan)];
      const scenario::RequestClass& cls = s.classes[static_cast<size_t>(call.cls)];
      int heavy = static_cast<int>(std::lround(plan.heavy_share * plan.customers));
      double heavy_weight = heavy * plan.heavy_times, light_weight = plan.customers - heavy;
      bool is_heavy = what.Unit() * (heavy_weight + light_weight) < heavy_weight;
      uint64_t among = static_cast<uint64_t>(is_heavy ? heavy : plan.customers - heavy);
      uint64_t which = what.Below(among) + (is_heavy ? 0 : static_cast<uint64_t>(heavy));
      call.customer = static_cast<uint64_t>(call.plan + 1) * 1000000 + which;
      double p = 1 / s.load.units_mean;  // geometric from 1, of the mean asked for, cut at the top
      double u = what.Unit();
      double size = p >= 1 ? 1 : 1 + std::floor(std::log1p(-u) / std::log1p(-p));
      call.true_units = std::clamp(size, 1.0, std::floor(s.load.units_top));
      call.units = call.true_units;
      if (what.Chance(s.load.guess_error)) {
        call.units = std::clamp(call.units + (what.Chance(0.5) ? 1 : -1), 1.0, std::floor(s.load.units_top));
      }
      call.work_s = what.LogNormal(cls.work_s * call.true_units / s.load.units_mean, cls.work_cv);
      call.patience_s = cls.deadline_s * what.Between(s.clients.least_patience, 1);
      finish(std::move(call));
    }
  }
  for (size_t i = 0; i < s.streams.size(); ++i) {
    const scenario::Stream& stream = s.streams[i];
    auto position = [](const auto& list, const std::string& name) {
      size_t at = 0;
      while (list[at].name != name) ++at;
      return static_cast<int>(at);
    };
    ClientCall call;
    call.plan = position(s.plans, stream.plan);
    call.cls = position(s.classes, stream.request_class);
    const scenario::RequestClass& cls = s.classes[static_cast<size_t>(call.cls)];
    call.customer = static_cast<uint64_t>(call.plan + 1) * 1000000 + 500000 + i;
    call.units = call.true_units = s.load.units_mean;
    call.work_s = cls.work_s;
    call.patience_s = cls.deadline_s;
    double end = stream.for_s > 0 ? std::min(s.duration_s, stream.at_s + stream.for_s) : s.duration_s;
    for (int n = 0; stream.at_s + n * stream.every_s < end; ++n) {
      call.due = stream.at_s + n * stream.every_s;
      for (int k = 0; k < stream.batch; ++k) finish(call);
    }
  }
  std::stable_sort(arrivals_.begin(), arrivals_.end(),
                   [](const ClientCall& a, const ClientCall& b) { return a.due < b.due; });
  for (size_t i = 0; i < arrivals_.size(); ++i) arrivals_[i].id = i + 1;
}

void Clients::Start(ClientPort* port) {
  port_ = port;
  Next();
}

void Clients::Next() {
  if (next_ >= arrivals_.size()) return;
  scheduler_->At(arrivals_[next_].due, [this] {
    // All that are due: a loop that runs late sends them at once, and the record shows how late.
    double now = scheduler_->Now();
    while (next_ < arrivals_.size() && arrivals_[next_].due <= now) Ask(arrivals_[next_++]);
    Next();
  });
}

// Uneven over the customer's set, and the favoured one changes; those that the front takes for dead are left
// out.
int Clients::Choose(const ClientCall& call) {
  std::vector<std::pair<int, double>> among;
  double epoch = std::floor(call.due / kShiftS);
  Random order = random_.Fork("favour", call.customer * 1000 + static_cast<uint64_t>(std::max(0.0, epoch)));
  for (int k = 0; k < call.spread; ++k) {
    int g = (call.first + k) % scenario_.gateways;
    double weight = order.Between(0.2, 1);
    if (alive_[static_cast<size_t>(g)]) among.emplace_back(g, weight);
  }
  if (among.empty()) return call.first;
  return among[Pick(among, call.draw, [](const auto& x) { return x.second; })].first;
}

void Clients::Ask(ClientCall call) {
  int gateway = Choose(call);
  uint64_t id = call.id;
  open_[id] = {gateway, false};
  const ClientCall& kept = calls_[id] = std::move(call);
  port_->Ask(gateway, kept);
}

const ClientCall* Clients::Find(uint64_t id) const {
  auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

Event& Clients::Log(EventKind kind, const ClientCall& call) {
  Event& e = log_->emplace_back();
  e.t = scheduler_->Now();
  e.kind = kind;
  e.request = call.id;
  e.gateway = open_.at(call.id).gateway;
  return e;
}

void Clients::OnWritten(uint64_t id) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.written) return;
  it->second.written = true;
  const ClientCall& call = calls_.at(id);
  Event& e = Log(EventKind::kAsk, call);
  e.customer = call.customer;
  e.plan = call.plan;
  e.cls = call.cls;
  e.units = call.units;
  e.due = call.due;
  e.seconds = call.patience_s;
  e.other = call.retry_of;
  scheduler_->After(call.patience_s + kLatePatienceS, [this, id] {
    if (open_.count(id) == 0) return;
    Log(EventKind::kGaveUp, calls_.at(id));
    port_->Drop(id);
    Over(id, false, 0);
  });
}

void Clients::OnAnswer(uint64_t id, int status, double retry_after_s, uint64_t token) {
  if (open_.count(id) == 0) return;
  Event& e = Log(EventKind::kAnswer, calls_.at(id));
  e.status = status;
  e.seconds = retry_after_s;
  e.token = token;
  bool refused = status == 429 || status == 503;
  ++(status == 200 ? served_ : refused ? refused_ : other_);
  if (status == 200) {
    open_.erase(id);
    return;
  }
  Over(id, refused, retry_after_s);
}

void Clients::OnEnded(uint64_t id) {
  if (open_.count(id) == 0) return;
  Log(EventKind::kEnded, calls_.at(id));
  Over(id, false, 0);
}

void Clients::OnNotTaken(uint64_t id) {
  if (open_.count(id) == 0) return;
  Log(EventKind::kNotTaken, calls_.at(id));
  Over(id, true, 0);
}

// The try is over without being served: the client may make another. One that may have run, and is not safe
// to repeat, it leaves, unless the gateways know each other's work: then its key makes it so.
void Clients::Over(uint64_t id, bool harmless, double retry_after_s) {
  open_.erase(id);
  ClientCall call = calls_.at(id);
  const scenario::RequestClass& cls = scenario_.classes[static_cast<size_t>(call.cls)];
  if (call.tries >= scenario_.clients.retries) return;
  if (!harmless && cls.effect == scenario::Effect::kUnsafe && !scenario_.fleet.on) return;
  if (call.retry_of == 0) call.retry_of = call.id;
  call.id += kRetryStep;
  ++call.tries;
  double wait = scenario_.clients.backoff_s;
  if (call.honours) wait = std::max(wait, retry_after_s);
  call.due = scheduler_->Now() + wait;
  call.draw = random_.Fork("again", call.id).Unit();
  scheduler_->At(call.due, [this, call] { Ask(call); });
}

}  // namespace ivygw::emulator
