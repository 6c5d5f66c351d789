#include "emulator/world.h"

#include <algorithm>
#include <cmath>

namespace ivygw::emulator {
namespace {

using eventlog::Event;
using eventlog::EventKind;
using scenario::Fault;
using scenario::FaultKind;

constexpr double kSampleS = 0.25;     // between two looks at each node's load
constexpr double kVanishNoticeS = 2;  // after which discovery has noticed that a machine is gone
constexpr double kLongAgoS = -1e6;

const char* StatusName(NodeStatus status) {
  switch (status) {
    case NodeStatus::kActive: return "active";
    case NodeStatus::kLeaving: return "leaving";
    case NodeStatus::kLeft: return "left";
  }
  return "";
}

const char* ReplyName(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kServed: return "served";
    case ReplyKind::kError: return "error";
    case ReplyKind::kNotStarted: return "not_started";
    case ReplyKind::kResetEarly: return "reset_early";
    case ReplyKind::kReset: return "reset";
    case ReplyKind::kSpoilt: return "spoilt";
    case ReplyKind::kCut: return "cut";
    case ReplyKind::kEndless: return "endless";
  }
  return "";
}

CounterSpec CounterOf(const scenario::Scenario& s) {
  CounterSpec spec;
  spec.parts = s.counter.parts;
  spec.calls_per_s = s.counter.calls_per_s;
  return spec;
}

double LongestWindow(const scenario::Scenario& s) {
  double longest = 0;
  for (const auto& c : s.classes) longest = std::max(longest, c.window_s);
  return longest;
}

}  // namespace

World::World(const scenario::Scenario& scenario, uint64_t seed, Scheduler* scheduler, const Clients* clients,
             std::vector<Event>* log)
    : scenario_(scenario),
      random_(Random(seed).Fork("world")),
      scheduler_(scheduler),
      clients_(clients),
      log_(log),
      memory_(LongestWindow(scenario)),
      counter_(CounterOf(scenario), Random(seed).Fork("counter").Next()),
      discovery_({scenario.discovery.least_late_s, scenario.discovery.most_late_s}, scenario.gateways,
                 Random(seed).Fork("discovery").Next()) {
  Random speeds = random_.Fork("speed");
  for (const scenario::NodeGroup& group : scenario.nodes) {
    for (int i = 0; i < group.count; ++i)
      groups_.push_back({group, speeds.Between(group.speed_from, group.speed_to)});
  }
  addresses_.resize(groups_.size());
}

Event& World::Log(EventKind kind) {
  Event& e = log_->emplace_back();
  e.t = scheduler_->Now();
  e.kind = kind;
  return e;
}

NodeSpec World::SpecAt(int address) const {
  const Group& group = groups_[static_cast<size_t>(address)];
  NodeSpec spec;
  spec.cores = group.spec.cores;
  spec.speed = group.speed;
  spec.slots = group.spec.slots;
  spec.queue = group.spec.queue;
  spec.thrash = group.spec.thrash;
  spec.thrash_at = group.spec.thrash_at;
  spec.connections = group.spec.connections;
  spec.handshake_work_s = group.spec.handshake_work_s;
  spec.cold_from = scenario_.rules.cold_from;
  spec.warm_s = scenario_.rules.warm_s;
  spec.tip_multiple = scenario_.rules.tip_multiple;
  spec.tip_s = scenario_.rules.tip_s;
  return spec;
}

int World::Spawn(int address, const std::string& name, bool cold) {
  // A process that starts again under its name is the same node; a replacement is another.
  int number = -1;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].name == name) number = static_cast<int>(i);
  }
  if (number < 0) {
    number = static_cast<int>(nodes_.size());
    nodes_.emplace_back();
  }
  Node& node = nodes_[static_cast<size_t>(number)];
  const Group& group = groups_[static_cast<size_t>(address)];
  double now = scheduler_->Now();
  node.address = address;
  node.name = name;
  NodeSpec spec = SpecAt(address);
  node.model = std::make_unique<NodeModel>(
      spec, random_.Fork(name, static_cast<uint64_t>(std::llround((now + 1000) * 1000))).Next(), now, cold,
      &memory_);
  node.entry = NodeEntry{number,
                         name,
                         address % 2 == 0 ? "hall-a" : "hall-b",
                         group.spec.type,
                         0,
                         NodeStatus::kActive,
                         cold ? now : kLongAgoS};
  Address& at = addresses_[static_cast<size_t>(address)];
  at.node = number;
  at.state = AddressState::kUp;
  node.model->SetFaults(at.faults);
  Event& e = Log(EventKind::kNodeUp);
  e.node = number;
  e.address = address;
  e.work = spec.cores * spec.speed;
  e.flag = cold;
  e.text = name;
  return number;
}

void World::Start(Links* links) {
  links_ = links;
  for (int a = 0; a < addresses(); ++a) {
    int node = Spawn(a, AddressName(a), groups_[static_cast<size_t>(a)].spec.cold);
    discovery_.Add(nodes_[static_cast<size_t>(node)].entry);
  }
  for (size_t i = 0; i < scenario_.faults.size(); ++i) SetOut(scenario_.faults[i], i);
  Sample();
}

bool World::Connect(int address) {
  const Address& at = addresses_[static_cast<size_t>(address)];
  if (at.state != AddressState::kUp || at.node < 0) return false;
  return nodes_[static_cast<size_t>(at.node)].model->Connect(scheduler_->Now());
}

void World::Disconnect(int address, int node) {
  if (node >= 0 && NodeAt(address) == node) nodes_[static_cast<size_t>(node)].model->Disconnect();
}

uint64_t World::Arrive(int address, int gateway, uint64_t request, double first_byte, double patience_s,
                       OnReply on_reply) {
  const ClientCall* call = clients_->Find(request);
  Address& at = addresses_[static_cast<size_t>(address)];
  if (call == nullptr || at.node < 0) return 0;
  uint64_t attempt = ++last_attempt_;
  Event& e = Log(EventKind::kArrive);
  e.request = request;
  e.gateway = gateway;
  e.node = at.node;
  e.attempt = attempt;
  e.due = first_byte;
  e.units = call->units;
  e.work = call->work_s;
  int number = at.node;
  out_[attempt] = {number, request, std::move(on_reply)};
  double now = scheduler_->Now();
  Node& node = nodes_[static_cast<size_t>(number)];
  NodeRequest sent;
  sent.attempt = attempt;
  sent.work_s = call->work_s;
  sent.over_at = patience_s > 0 ? now + patience_s : kNever;
  sent.key = call->key;
  std::vector<Reply> replies;
  node.model->Begin(now, std::move(sent), &replies);
  Deliver(number, &replies);
  if (node.model->fallen() && at.state == AddressState::kUp) {
    Log(EventKind::kFell).node = number;
    Down(address, "fell");
  }
  return attempt;
}

void World::Cancel(uint64_t attempt) {
  auto it = out_.find(attempt);
  if (it == out_.end()) return;
  int number = it->second.node;
  Event& e = Log(EventKind::kCancelled);
  e.attempt = attempt;
  e.request = it->second.request;
  e.node = number;
  out_.erase(it);
  std::vector<Reply> replies;
  nodes_[static_cast<size_t>(number)].model->Cancel(scheduler_->Now(), attempt, &replies);
  Deliver(number, &replies);
}

void World::Reply1(int number, const Reply& reply) {
  auto it = out_.find(reply.attempt);
  uint64_t request = it != out_.end() ? it->second.request : 0;
  if (it == out_.end()) return;
  ++replies_;
  if (reply.ran) {
    Event& e = Log(EventKind::kEffect);
    e.request = request;
    e.node = number;
    e.attempt = reply.attempt;
    const ClientCall* call = clients_->Find(request);
    if (call != nullptr) e.text = call->key;
  }
  Event& e = Log(EventKind::kReply);
  e.attempt = reply.attempt;
  e.request = request;
  e.node = number;
  e.text = ReplyName(reply.kind);
  e.flag = reply.ran;
  uint64_t token = reply.kind == ReplyKind::kServed ? reply.attempt : 0;
  e.token = token;
  OnReply on_reply = std::move(it->second.on_reply);
  out_.erase(it);
  // Not within the call that brought the request: as on a socket, the answer comes as an event of its own.
  scheduler_->After(0, [on_reply = std::move(on_reply), kind = reply.kind, token] { on_reply(kind, token); });
}

void World::Deliver(int number, std::vector<Reply>* replies) {
  for (const Reply& reply : *replies) Reply1(number, reply);
  replies->clear();
  Arm(number);
}

void World::Arm(int number) {
  Node& node = nodes_[static_cast<size_t>(number)];
  double next = node.model->Next();
  if (next == node.due) return;
  node.due = next;
  if (next == kNever) return;
  uint64_t mine = ++node.timer;
  scheduler_->At(next, [this, number, mine] {
    Node& due = nodes_[static_cast<size_t>(number)];
    if (due.timer != mine) return;
    due.due = kNever;
    std::vector<Reply> replies;
    due.model->Advance(scheduler_->Now(), &replies);
    Deliver(number, &replies);
  });
}

// The process at an address ends. What it had is reset.
void World::Down(int address, const char* why) {
  Address& at = addresses_[static_cast<size_t>(address)];
  int number = at.node;
  if (number < 0 || at.state != AddressState::kUp) return;
  nodes_[static_cast<size_t>(number)].model->Kill();
  Event& e = Log(EventKind::kNodeDown);
  e.node = number;
  e.text = why;
  at.state = AddressState::kDown;
  std::vector<uint64_t> lost;
  for (const auto& [attempt, out] : out_) {
    if (out.node == number) lost.push_back(attempt);
  }
  std::sort(lost.begin(), lost.end());
  for (uint64_t attempt : lost) Reply1(number, {attempt, ReplyKind::kReset, false});
  links_->AddressDown(address);
}

void World::Announce(int number, NodeStatus status) {
  Node& node = nodes_[static_cast<size_t>(number)];
  node.entry.status = status;
  discovery_.Change(scheduler_->Now(), node.entry);
  links_->DiscoveryChanged();
}

void World::Told(int gateway, const DiscoveryNews& news) {
  std::vector<bool> named(nodes_.size(), false);
  auto log = [&](int node, const char* status) {
    Event& e = Log(EventKind::kTold);
    e.gateway = gateway;
    e.node = node;
    e.text = status;
  };
  for (const NodeEntry& entry : news.entries) {
    named[static_cast<size_t>(entry.node)] = true;
    log(entry.node, StatusName(entry.status));
  }
  if (!news.snapshot) return;
  for (size_t i = 0; i < nodes_.size(); ++i) {  // absent from a whole list: gone
    if (!named[i]) log(static_cast<int>(i), "left");
  }
}

CounterReply World::Count(int gateway, const std::string& name, double amount, double life_s) {
  CounterReply reply = counter_.Call(scheduler_->Now(), gateway, name, amount, life_s);
  Event& e = Log(EventKind::kCount);
  e.gateway = gateway;
  e.text = name;
  e.units = amount;
  e.work = reply.total;
  e.flag = reply.result == CounterResult::kTotal;
  return reply;
}

void World::GatewayUp(int gateway) { Log(EventKind::kGatewayUp).gateway = gateway; }

void World::GatewayDown(int gateway, const std::string& how, int status) {
  Event& e = Log(EventKind::kGatewayDown);
  e.gateway = gateway;
  e.text = how;
  e.status = status;
}

void World::Sample() {
  if (finished_) return;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (NodeAt(node.address) != static_cast<int>(i)) continue;
    Event& e = Log(EventKind::kLoad);
    e.node = static_cast<int>(i);
    e.units = static_cast<double>(node.model->in_work());
    e.work = static_cast<double>(node.model->queued());
  }
  scheduler_->After(kSampleS, [this] { Sample(); });
}

void World::Finish() { finished_ = true; }

void World::SetOut(const Fault& fault, size_t number) {
  scheduler_->At(fault.at_s, [this, &fault, number] {
    std::vector<int> struck;
    if (fault.nodes > 0) {
      std::vector<int> up;
      for (int a = 0; a < addresses(); ++a) {
        if (addresses_[static_cast<size_t>(a)].state == AddressState::kUp) up.push_back(a);
      }
      Random draw = random_.Fork("struck", number);
      size_t most = std::max<size_t>(1, static_cast<size_t>(std::lround(fault.nodes * addresses())));
      while (!up.empty() && struck.size() < most) {
        size_t i = draw.Below(up.size());
        struck.push_back(up[i]);
        up.erase(up.begin() + static_cast<long>(i));
      }
      std::sort(struck.begin(), struck.end());
    }
    Event& e = Log(EventKind::kFault);
    e.text = FaultName(fault.kind);
    e.flag = true;
    if (fault.kind == FaultKind::kGatewayPause) e.gateway = fault.gateway;
    active_.emplace_back(FaultName(fault.kind));
    Begin(fault, struck, number);
    auto over = [this, &fault, struck] {
      Event& ended = Log(EventKind::kFault);
      ended.text = FaultName(fault.kind);
      if (fault.kind == FaultKind::kGatewayPause) ended.gateway = fault.gateway;
      auto at = std::find(active_.begin(), active_.end(), ended.text);
      if (at != active_.end()) active_.erase(at);
      End(fault, struck);
    };
    double lasts = fault.for_s;
    if (fault.kind == FaultKind::kRestart) {
      lasts = fault.every_s * static_cast<double>(struck.size() - 1) + fault.drain_s + fault.down_s;
    }
    if (lasts > 0) {
      scheduler_->After(lasts, over);
    } else {
      over();
    }
  });
}

void World::SetNodeFaults(const Fault& fault, const std::vector<int>& struck, bool on) {
  double share = on ? fault.share : 0;
  for (int a : struck) {
    Address& at = addresses_[static_cast<size_t>(a)];
    switch (fault.kind) {
      case FaultKind::kFastErrors: at.faults.error = share; break;
      case FaultKind::kTurnAway: at.faults.turn_away = share; break;
      case FaultKind::kHang: at.faults.hang = share; break;
      case FaultKind::kResetEarly: at.faults.reset_early = share; break;
      case FaultKind::kResetLate: at.faults.reset_late = share; break;
      case FaultKind::kSpoilt: at.faults.spoilt = share; break;
      case FaultKind::kCut: at.faults.cut = share; break;
      case FaultKind::kEndless: at.faults.endless = share; break;
      default: break;
    }
    if (at.node >= 0) nodes_[static_cast<size_t>(at.node)].model->SetFaults(at.faults);
  }
}

void World::SetCounterFaults(const Fault& fault, bool on) {
  for (int part = 0; part < counter_.parts(); ++part) {
    if (fault.part >= 0 && fault.part != part) continue;
    CounterFaults faults = counter_.faults(part);
    switch (fault.kind) {
      case FaultKind::kCounterSilent: faults.silent = on; break;
      case FaultKind::kCounterRefusing: faults.refusing = on; break;
      case FaultKind::kCounterSlow: faults.slow = on ? fault.times : 1; break;
      case FaultKind::kCounterStale: faults.stale = on; break;
      case FaultKind::kCounterLossy: faults.lost = on ? fault.share : 0; break;
      default: break;
    }
    counter_.SetFaults(part, faults);
  }
  if (fault.kind == FaultKind::kCounterRefusing && fault.part < 0) {
    counter_refuses_ = on;
    links_->CounterRefuses(on);
  }
}

void World::Begin(const Fault& fault, const std::vector<int>& struck, size_t number) {
  double now = scheduler_->Now();
  switch (fault.kind) {
    case FaultKind::kJump: return;  // drawn ahead with the arrivals
    case FaultKind::kPause:
      for (int a : struck) {
        std::vector<Reply> replies;
        int node = NodeAt(a);
        nodes_[static_cast<size_t>(node)].model->Pause(now, now + fault.for_s, &replies);
        Deliver(node, &replies);
      }
      return;
    case FaultKind::kVanish:
      for (int a : struck) {
        Address& at = addresses_[static_cast<size_t>(a)];
        int node = at.node;
        nodes_[static_cast<size_t>(node)].model->Kill();
        Event& e = Log(EventKind::kNodeDown);
        e.node = node;
        e.text = "vanished";
        at.state = AddressState::kSilent;
        links_->AddressSilent(a);
        scheduler_->After(kVanishNoticeS, [this, node] { Announce(node, NodeStatus::kLeft); });
      }
      return;
    case FaultKind::kReplace:
      for (int a : struck) Replace(fault, a, number);
      return;
    case FaultKind::kRestart:
      for (size_t i = 0; i < struck.size(); ++i) {
        scheduler_->After(fault.every_s * static_cast<double>(i),
                          [this, &fault, address = struck[i]] { Restart(fault, address); });
      }
      return;
    case FaultKind::kCounterLose: return counter_.Lose(now, fault.share);
    case FaultKind::kCounterEmpty: return counter_.Empty();
    case FaultKind::kCounterSplit: return counter_.Split((scenario_.gateways + 1) / 2);
    case FaultKind::kDiscoverySilent: discovery_.SetSilent(now, true); return links_->DiscoveryChanged();
    case FaultKind::kGatewayKill: return links_->KillGateway(fault.gateway);
    case FaultKind::kGatewayPause: return links_->PauseGateway(fault.gateway, true);
    case FaultKind::kEngineAway: return links_->EngineAway(true);
    case FaultKind::kCounterSilent:
    case FaultKind::kCounterRefusing:
    case FaultKind::kCounterSlow:
    case FaultKind::kCounterStale:
    case FaultKind::kCounterLossy: return SetCounterFaults(fault, true);
    case FaultKind::kFastErrors:
    case FaultKind::kTurnAway:
    case FaultKind::kHang:
    case FaultKind::kResetEarly:
    case FaultKind::kResetLate:
    case FaultKind::kSpoilt:
    case FaultKind::kCut:
    case FaultKind::kEndless: return SetNodeFaults(fault, struck, true);
  }
}

void World::End(const Fault& fault, const std::vector<int>& struck) {
  switch (fault.kind) {
    case FaultKind::kCounterSplit: return counter_.Heal();
    case FaultKind::kDiscoverySilent:
      discovery_.SetSilent(scheduler_->Now(), false);
      return links_->DiscoveryChanged();
    case FaultKind::kGatewayKill: return links_->StartGateway(fault.gateway);
    case FaultKind::kGatewayPause: return links_->PauseGateway(fault.gateway, false);
    case FaultKind::kEngineAway: return links_->EngineAway(false);
    case FaultKind::kCounterSilent:
    case FaultKind::kCounterRefusing:
    case FaultKind::kCounterSlow:
    case FaultKind::kCounterStale:
    case FaultKind::kCounterLossy: return SetCounterFaults(fault, false);
    default: return SetNodeFaults(fault, struck, false);
  }
}

// As a rolling deployment does it: leaves, finishes what it has, ends, starts again under its name, cold.
void World::Restart(const Fault& fault, int address) {
  int node = NodeAt(address);
  Announce(node, NodeStatus::kLeaving);
  scheduler_->After(fault.drain_s, [this, &fault, address, node] {
    Down(address, "restarts");
    Announce(node, NodeStatus::kLeft);
    scheduler_->After(fault.down_s, [this, address] {
      int again = Spawn(address, AddressName(address), true);
      links_->AddressUp(address);
      Announce(again, NodeStatus::kActive);
    });
  });
}

// Dies without a word; another machine takes its address, under another name.
void World::Replace(const Fault& fault, int address, size_t number) {
  int node = NodeAt(address);
  Down(address, "replaced");
  scheduler_->After(fault.down_s, [this, address, node, number] {
    int fresh = Spawn(address, AddressName(address) + "-r" + std::to_string(number), true);
    links_->AddressUp(address);
    Announce(node, NodeStatus::kLeft);
    Announce(fresh, NodeStatus::kActive);
  });
}

}  // namespace ivygw::emulator
