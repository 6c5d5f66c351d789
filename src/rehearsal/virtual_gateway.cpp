#include "rehearsal/virtual_gateway.h"

#include <algorithm>
#include <cstdio>

#include "gateway/limits.h"
#include "net/limits.h"
#include "emulator/installation.h"

namespace ivygw::rehearsal {

using emulator::AddressState;
using emulator::DiscoveryList;
using emulator::CounterReply;
using emulator::CounterResult;
using emulator::ReplyKind;
using micadock::Action;
using micadock::ActionKind;
using micadock::ListKind;
using micadock::Result;

namespace {

constexpr double kWatchFailsS = 2;  // after which a silent watch is noticed

Result ResultOf(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kServed: return Result::kOk;
    case ReplyKind::kError: return Result::kError;
    case ReplyKind::kNotStarted: return Result::kFull;
    case ReplyKind::kResetEarly: return Result::kConnectFailed;
    case ReplyKind::kReset:
    case ReplyKind::kSpoilt:
    case ReplyKind::kCut:
    case ReplyKind::kEndless: return Result::kReset;
  }
  return Result::kReset;
}

}  // namespace

struct VirtualGateway::Attempt {
  uint32_t request = 0;
  uint64_t call = 0;
  int number = 0;
  uint32_t backend = 0;
  int node = -1, address = -1;
  double sent = 0, patience = 0;
  bool out = true;         // its outcome is not told yet
  bool ended = false;      // nothing more is heard of it
  bool connected = false;  // holds a connection of the node
  bool written = false;
  uint64_t at_node = 0;
};

VirtualGateway::VirtualGateway(int number, const Config& config, const scenario::Network& network,
                               emulator::Scheduler* scheduler, emulator::World* world, emulator::Clients* clients)
    : number_(number), config_(config), network_(network), scheduler_(scheduler), world_(world), clients_(clients) {
  kept_.resize(static_cast<size_t>(world->addresses()));
  balancer_.emplace(config.settings, config.seed, kVirtualEpochS + Now(), &actions_);
  OnNews(world_->discovery().Whole(Now(), number_));
  Watch();
}

VirtualGateway::~VirtualGateway() {
  *alive_ = false;
  for (const auto& weak : out_) {
    auto attempt = weak.lock();
    if (attempt != nullptr && !attempt->ended) CloseConnection(attempt);
  }
  for (size_t a = 0; a < kept_.size(); ++a) {
    for (const Kept& kept : kept_[a]) world_->Disconnect(static_cast<int>(a), kept.node);
  }
  std::vector<uint64_t> calls;
  for (const auto& [call, id] : by_call_) calls.push_back(call);
  std::sort(calls.begin(), calls.end());
  for (uint64_t call : calls) {
    scheduler_->After(network_.client_s, [clients = clients_, call] { clients->OnEnded(call); });
  }
}

void VirtualGateway::After(double wait, std::function<void()> task) {
  scheduler_->After(wait, [alive = alive_, task = std::move(task)] {
    if (*alive) task();
  });
}

template <typename Call>
void VirtualGateway::Tell(Call call) {
  call(*balancer_, kVirtualEpochS + Now(), &actions_);
  acting_.swap(actions_);
  for (Action& action : acting_) Act(action);
  acting_.clear();
}

void VirtualGateway::Act(Action& action) {
  switch (action.kind) {
    case ActionKind::kSend: return Send(action);
    case ActionKind::kCancel: return Cancel(action);
    case ActionKind::kRefuse: return Finish(action.request, action.seconds > 0 ? 429 : 503, action.seconds, 0);
    case ActionKind::kFail: return Finish(action.request, 502, 0, 0);
    case ActionKind::kTimer:
      return After(std::max(0.0, action.seconds), [this, tag = action.tag] {
        Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnTimer(now, tag, out); });
      });
    case ActionKind::kCount: return Count(action);
    case ActionKind::kLog:
    case ActionKind::kSubscribe: return;
  }
}

void VirtualGateway::OnRequest(const emulator::ClientCall& call) {
  do ++last_id_;
  while (held_.count(last_id_) != 0);
  uint32_t id = last_id_;
  Held& held = held_[id];
  held.call = call.id;
  by_call_[call.id] = id;
  const micadock::ClassSettings& cls = config_.settings.classes[static_cast<size_t>(call.cls)];
  double timeout = std::min(std::max(0.001, call.patience_s), cls.deadline_s), margin = AnswerMargin(timeout);
  held.deadline = Now() + timeout - margin / 2;
  held.free = cls.effect == micadock::Effect::kFree;
  micadock::Request request;
  request.id = id;
  request.cls = call.cls;
  request.plan = call.plan;
  request.customer = call.customer;
  request.left_s = timeout - margin;
  request.units = call.units;
  request.entries = call.spread;
  After(timeout - margin / 2, [this, id] { Guard(id); });
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnRequest(now, request, out); });
}

bool VirtualGateway::MaySend(const Backend& b) const {
  return !b.gone && !(b.no_send_after && Now() >= *b.no_send_after);
}

void VirtualGateway::Send(const Action& action) {
  auto it = held_.find(action.request);
  if (it == held_.end()) return;
  Held& held = it->second;
  auto attempt = std::make_shared<Attempt>();
  attempt->request = action.request;
  attempt->call = held.call;
  attempt->number = static_cast<int>(held.attempts.size());
  attempt->backend = action.backend;
  attempt->sent = Now();
  bool two = std::any_of(held.attempts.begin(), held.attempts.end(), [](const auto& a) { return a->out; });
  held.attempts.push_back(attempt);
  double left = held.deadline - Now();
  attempt->patience = action.seconds == 0 ? left : std::min(action.seconds, left);
  if (held.answered || attempt->patience <= 0 || (two && !config_.settings.parallel_tries) ||
      attempt->number >= config_.settings.try_limit) {
    return After(0, [this, attempt] { End(attempt, Result::kNeverSent, false, 0, 0); });
  }
  std::erase_if(out_, [](const auto& weak) { return weak.expired(); });
  out_.push_back(attempt);
  auto backend = backends_.find(action.backend);
  if (backend == backends_.end() || !MaySend(backend->second)) {
    return After(0, [this, attempt] { End(attempt, Result::kConnectFailed, false, 0, 0); });
  }
  attempt->node = backend->second.node;
  attempt->address = backend->second.address;
  After(attempt->patience, [this, attempt] {
    End(attempt, attempt->written ? Result::kTimeout : Result::kConnectFailed, false, 0, 0);
  });
  auto& kept = kept_[static_cast<size_t>(attempt->address)];
  double oldest = Now() - config_.site.conn_idle_s * kIdleShare;
  while (!kept.empty() && (kept.front().since < oldest || kept.front().node != attempt->node)) {
    world_->Disconnect(attempt->address, kept.front().node);
    kept.pop_front();
  }
  if (!kept.empty()) {
    kept.pop_back();
    attempt->connected = true;
    return Write(attempt);
  }
  After(network_.node_s, [this, attempt] {
    if (attempt->ended) return;
    AddressState state = world_->address_state(attempt->address);
    if (state == AddressState::kSilent) {
      double rest = std::max(0.0, config_.site.connect_timeout_s - network_.node_s);
      return After(rest, [this, attempt] { End(attempt, Result::kConnectFailed, false, 0, 0); });
    }
    attempt->connected = world_->Connect(attempt->address);
    After(network_.node_s, [this, attempt] {
      if (attempt->ended) return;
      auto now_known = backends_.find(attempt->backend);
      bool late = now_known == backends_.end() || !MaySend(now_known->second);
      if (!attempt->connected || late) return End(attempt, Result::kConnectFailed, false, 0, 0);
      Write(attempt);
    });
  });
}

// From here on it may have run. It comes to the node even if the gateway gives it up meanwhile.
void VirtualGateway::Write(const std::shared_ptr<Attempt>& attempt) {
  attempt->written = true;
  double patience = attempt->patience - (Now() - attempt->sent);
  auto alive = alive_;
  scheduler_->After(network_.node_s, [this, alive, attempt, patience, world = world_, gateway = number_] {
    if (world->address_state(attempt->address) != AddressState::kUp) {
      // Nothing listens there any more: the write is answered with a reset, or by a vanished machine with nothing.
      if (world->address_state(attempt->address) == AddressState::kDown && *alive) {
        After(network_.node_s, [this, attempt] { End(attempt, Result::kReset, false, 0, 0); });
      }
      return;
    }
    attempt->at_node =
        world->Arrive(attempt->address, gateway, attempt->call, scheduler_->Now(), patience,
                      [this, alive, attempt](ReplyKind kind, uint64_t token) {
                        if (!*alive) return;
                        After(network_.node_s, [this, attempt, kind, token] {
                          const emulator::ClientCall* call = clients_->Find(attempt->call);
                          bool kept = kind == ReplyKind::kServed || kind == ReplyKind::kError ||
                                      kind == ReplyKind::kNotStarted;
                          End(attempt, ResultOf(kind), kept,
                              kind == ReplyKind::kServed && call != nullptr ? call->true_units : 0, token);
                        });
                      });
    if (attempt->ended) world->Cancel(attempt->at_node);
  });
}

// What is still out at the node hears of the end one way later.
void VirtualGateway::CloseConnection(const std::shared_ptr<Attempt>& attempt) {
  attempt->ended = true;
  if (!attempt->connected) return;
  attempt->connected = false;
  scheduler_->After(network_.node_s, [attempt, world = world_] {
    if (attempt->at_node != 0) world->Cancel(attempt->at_node);
    world->Disconnect(attempt->address, attempt->node);
  });
}

void VirtualGateway::Cancel(const Action& action) {
  auto it = held_.find(action.request);
  if (it == held_.end()) return;
  size_t number = static_cast<size_t>(action.attempt);
  if (number >= it->second.attempts.size()) return;
  auto attempt = it->second.attempts[number];
  if (!attempt->out || attempt->ended) return;
  CloseConnection(attempt);
  After(0, [this, attempt] {
    attempt->ended = false;  // its outcome is this one
    End(attempt, attempt->written ? Result::kCancelled : Result::kNeverSent, false, 0, 0);
  });
}

void VirtualGateway::End(const std::shared_ptr<Attempt>& attempt, Result result, bool keep, double true_units,
                         uint64_t token) {
  if (attempt->ended) return;
  attempt->ended = true;
  if (attempt->connected) {
    auto backend = backends_.find(attempt->backend);
    bool known = backend != backends_.end() && !backend->second.gone && !backend->second.no_send_after;
    if (keep && known && world_->NodeAt(attempt->address) == attempt->node) {
      attempt->connected = false;
      kept_[static_cast<size_t>(attempt->address)].push_back({attempt->node, Now()});
    } else {
      CloseConnection(attempt);
    }
  }
  auto it = held_.find(attempt->request);
  if (it == held_.end()) return;
  Held& held = it->second;
  attempt->out = false;
  uint32_t id = attempt->request;
  reporting_ = id;
  if (result != Result::kFull && result != Result::kConnectFailed && result != Result::kNeverSent) {
    held.may_have_run = true;
  }
  if (result == Result::kOk && !held.answered) Finish(id, 200, 0, token);
  micadock::Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt->number;
  outcome.took_s = Now() - attempt->sent;
  outcome.result = result;
  outcome.finished = held_.at(id).answered;
  outcome.backend = attempt->backend;
  outcome.true_units = true_units;
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnOutcome(now, outcome, out); });
  reporting_ = 0;
  Forget(id);
}

void VirtualGateway::Finish(uint32_t id, int status, double retry_after_s, uint64_t token) {
  auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  it->second.answered = true;
  uint64_t call = it->second.call;
  by_call_.erase(call);
  scheduler_->After(network_.client_s, [clients = clients_, call, status, retry_after_s, token] {
    clients->OnAnswer(call, status, retry_after_s, token);
  });
  Forget(id);
}

void VirtualGateway::Forget(uint32_t id) {
  auto it = held_.find(id);
  if (it == held_.end() || !it->second.answered || reporting_ == id) return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const auto& a) { return a->out; })) held_.erase(it);
}

void VirtualGateway::Guard(uint32_t id) {
  auto it = held_.find(id);
  if (it == held_.end() || it->second.answered) return;
  const Held& held = it->second;
  bool out = std::any_of(held.attempts.begin(), held.attempts.end(), [](const auto& a) { return a->out; });
  Finish(id, held.free || (!held.may_have_run && !out) ? 503 : 504, 0, 0);
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* actions) { b.OnAbandoned(now, id, actions); });
}

void VirtualGateway::OnClientGone(uint64_t call) {
  auto it = by_call_.find(call);
  if (it == by_call_.end()) return;
  uint32_t id = it->second;
  by_call_.erase(it);
  held_.at(id).answered = true;
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnAbandoned(now, id, out); });
  Forget(id);
}

void VirtualGateway::Count(const Action& action) {
  struct Call {
    uint64_t name;
    bool ended = false;
  };
  auto call = std::make_shared<Call>(Call{action.tag});
  auto end = [this, call](Result result, double total) {
    if (call->ended) return;
    call->ended = true;
    Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
      b.OnCount(now, {call->name, total, result}, out);
    });
  };
  if (!config_.has_counter) return After(0, [end] { end(Result::kConnectFailed, 0); });
  After(kCountPatience * config_.settings.count_timeout_s, [end] { end(Result::kTimeout, 0); });
  auto alive = alive_;
  scheduler_->After(network_.counter_s, [this, alive, call, end, amount = action.amount, life = action.seconds,
                                         world = world_, gateway = number_] {
    char name[20];
    std::snprintf(name, sizeof(name), "%016llx", static_cast<unsigned long long>(call->name));
    CounterReply reply = world->Count(gateway, name, amount, life);
    if (!*alive || reply.result == CounterResult::kSilent) return;
    Result result = reply.result == CounterResult::kTotal  ? Result::kOk
                    : reply.result == CounterResult::kBusy ? Result::kFull
                                                           : Result::kConnectFailed;
    After(reply.at - Now() + network_.counter_s, [end, result, total = reply.total] { end(result, total); });
  });
}

void VirtualGateway::OnNews(const emulator::DiscoveryNews& news) {
  index_ = news.index;
  world_->Told(number_, news);
  nlohmann::json list = DiscoveryList(news, kVirtualEpochS, [](int) { return std::string("127.0.0.1:1"); });
  BackendList parsed = ParseList(list, config_.site, &ids_);
  std::vector<micadock::Backend> entries;
  if (news.snapshot) {
    for (auto& [id, backend] : backends_) backend.gone = true;
  }
  for (size_t i = 0; i < parsed.entries.size(); ++i) {
    const micadock::Backend& b = parsed.entries[i].backend;
    entries.push_back(b);
    Backend& backend = backends_[b.id];
    backend.node = news.entries[i].node;
    backend.address = world_->AddressOf(backend.node);
    backend.gone = b.state == micadock::BackendState::kGone;
    if (b.state == micadock::BackendState::kReady) backend.no_send_after.reset();
    if (b.state == micadock::BackendState::kDraining && !backend.no_send_after) {
      backend.no_send_after = Now() + std::max(0.0, config_.site.drain_grace_s - kGraceMarginS);
    }
  }
  Tell([&](micadock::Balancer& b, double now, micadock::Actions* out) {
    b.OnList(now, news.snapshot ? ListKind::kFull : ListKind::kDelta, entries, out);
  });
}

void VirtualGateway::Watch() {
  uint64_t mine = ++watch_;
  emulator::DiscoveryModel& discovery = world_->discovery();
  if (discovery.silent()) {
    return After(kWatchFailsS, [this, mine] {
      if (mine != watch_) return;
      Tell([](micadock::Balancer& b, double now, micadock::Actions* out) { b.OnList(now, ListKind::kFailed, {}, out); });
      Watch();
    });
  }
  double next = discovery.Newer(number_, index_);
  if (next == emulator::kNever) return;
  After(std::max(0.0, next - Now()), [this, mine] {
    if (mine != watch_) return;
    OnNews(world_->discovery().Since(Now(), number_, index_));
    Watch();
  });
}

void VirtualGateway::DiscoveryChanged() { Watch(); }

void VirtualGateway::AddressDown(int address) { kept_[static_cast<size_t>(address)].clear(); }

}  // namespace ivygw::rehearsal
