#include "system/control_sim.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>

#include "replication/timing.h"

namespace ivygw::control_sim {
namespace {

using replication::Effects;
using replication::Evaluation;
using replication::StoreBatch;

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kTick = 0.05;
constexpr double kShortPause = 0.1;
constexpr double kDeadLinkTimeout = 1.5;  // after this time without traffic a link is closed
constexpr double kMaxStaleness = 2.0;     // of the copy of a core that is in contact
constexpr double kHeartbeatDelay = 0.3;   // the heartbeat interval plus transmission
constexpr double kMaxLearnerLag = 1.0;    // of the disk of a proposed new member
constexpr double kCommandTimeout = 0.9;
constexpr double kMinLinkDelay = 0.0003, kLinkJitter = 0.002;
constexpr double kRestartDelay = 0.5;  // of a process that has exited by itself
constexpr double kWriteRetry = 0.1;    // of a disk that refuses writes
constexpr double kMinSyncTime = 0.002, kSyncJitter = 0.004, kUnsyncedWriteTime = 0.0002;

// Combines the evaluations of a command's items into that of the command.
void Combine(const replication::ItemEvaluation& one, Evaluation* all) {
  using Kind = Evaluation::Kind;
  if (one.kind == Kind::kRejected || all->kind == Kind::kRejected) {
    all->kind = Kind::kRejected;
  } else if (one.kind == Kind::kIndeterminate || all->kind == Kind::kIndeterminate) {
    all->kind = Kind::kIndeterminate;
  } else if (one.kind == Kind::kApply) {
    all->kind = Kind::kApply;
    all->records.push_back(one.record);
  }
}

}  // namespace

Evaluation SimulatedPolicy::Evaluate(const std::vector<Item>& items,
                                     const replication::TableOverlay& overlay) const {
  Evaluation evaluation;
  for (const Item& item : items) Combine(EvaluateOne(item, overlay.Find(item.key)), &evaluation);
  if (evaluation.kind == Evaluation::Kind::kRejected) {
    evaluation.rejection = {replication::RejectionCode::kConflict, "version",
                            "confirmed with different content"};
  }
  if (evaluation.kind != Evaluation::Kind::kApply) evaluation.records.clear();
  return evaluation;
}

bool SimulatedPolicy::Knows(const replication::Table& table) const {
  if (known_.size() != table.records().size()) return false;
  for (const auto& [key, record] : table.records()) {
    auto it = known_.find(key);
    if (it == known_.end() || it->second != DigestOfRecord(record)) return false;
  }
  return true;
}

World::World(WorldOptions options)
    : options_(std::move(options)),
      traced_(std::getenv("IVYGW_TRACE") != nullptr),
      random_(options_.seed),
      rules_(
          options_.keep_past,
          [this](const Member& member, bool or_last_content) { return FindStore(member, or_last_content); },
          [this](const std::string& core, const Member& member) { return IsResponsive(core, member); }) {
  DiskImage founder;
  founder.state.store_id = replication::kFounderStoreId;
  founder.state.membership.epoch = 1;
  std::vector<std::string> names;
  for (size_t i = 0; i < options_.founders; ++i) {
    names.push_back("10.0.0." + std::to_string(i + 1));
    founder.state.membership.members.push_back({names.back(), replication::kFounderStoreId, ""});
  }
  founders_ = founder.state.membership;
  for (const std::string& name : names) {
    Machine& machine = machines_[name];
    machine.address = name;
    machine.seeds = names;
    machine.disk = SimulatedDisk(founder);
    if (options_.make_store) machine.store = options_.make_store(name);
  }
  for (const std::string& name : names) {
    if (options_.start) Start(name);
  }
  DialAll();
}

void World::ReportViolation(const std::string& what) {
  if (violation_.empty()) violation_ = "at " + std::to_string(now_) + ": " + what;
}

void World::Trace(const std::string& what) const {
  if (traced_) std::printf("\n%.4f %s", now_, what.c_str());
}

void World::TraceMessage(const std::string& from, const std::string& to, const PeerMessage& message) const {
  static const char* const kNames[] = {
      "Prepare", "Promise",   "Accept",         "Accepted",  "Rejected",  "Commit",     "DeltaRequest",
      "Delta",   "Heartbeat", "HeartbeatReply", "ReadQuery", "ReadReply", "EpochNotice"};
  if (!traced_) return;
  Trace("  " + from + " to " + to + ": " + kNames[message.body.index()] + " epoch " +
        std::to_string(message.header.epoch) + " revision " + std::to_string(message.header.revision) +
        " durable " + std::to_string(message.header.durable_revision));
}

void World::RunUntil(double at) {
  while (!ShouldStop() && !events_.empty() && events_.top().at <= at) {
    std::function<void()> run = events_.top().run;
    now_ = events_.top().at;
    events_.pop();
    run();
  }
  now_ = at;
}

// Machines.

std::vector<std::string> World::Machines() const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_) {
    if (!machine.removed) names.push_back(name);
  }
  return names;
}

std::string World::AnyMachine() {
  std::vector<std::string> names = Machines();
  return names[Pick(names.size())];
}

std::string World::AddMachine(std::vector<std::string> seeds) {
  std::string name = "10.0.0." + std::to_string(machines_.size() + 1);
  Machine& machine = machines_[name];
  machine.address = name;
  machine.seeds = std::move(seeds);
  machine.disk = SimulatedDisk(DiskImage{{RandomId(), {}, 0, {}}, {}, {}});
  if (options_.make_store) machine.store = options_.make_store(name);
  return name;
}

std::optional<Membership> World::FoundersOf(const Machine& machine) const {
  bool founder = std::any_of(founders_.members.begin(), founders_.members.end(),
                             [&](const Member& member) { return member.address == machine.address; });
  return founder && !machine.booted ? std::optional<Membership>(founders_) : std::nullopt;
}

std::optional<DiskImage> World::LoadImage(Machine* machine) {
  if (!machine->store) return machine->disk.Open();
  if (machine->disk_blocked_until > now_) return std::nullopt;
  std::optional<replication::LoadedState> loaded = machine->store->Open(FoundersOf(*machine));
  if (!loaded) {
    Trace(machine->address + " can't open its store: " + machine->store->opening_error());
    return std::nullopt;
  }
  machine->booted = true;
  DiskImage image{loaded->state, loaded->accepted, {}};
  for (const Record& record : loaded->records) image.records[record.item.key] = record;
  machine->disk = SimulatedDisk(image);
  return image;
}

void World::Start(const std::string& name) {
  Machine& machine = machines_.at(name);
  if (machine.replica || machine.removed) return;
  Trace("start " + name);
  ++machine.process_number;
  std::optional<DiskImage> image = LoadImage(&machine);
  if (!image) {
    Schedule(kRestartDelay, [this, name, process_number = machine.process_number] {
      if (machines_.at(name).process_number == process_number) Start(name);
    });
    return;
  }
  machine.policy = options_.make_policy
                       ? options_.make_policy()
                       : std::make_unique<SimulatedPolicy>(options_.keep_past, options_.keep_past ? 1 : 64);
  replication::ReplicaOptions options;
  options.address = name;
  options.zone = "zone" + std::to_string(name.back() % 3);
  options.incarnation = RandomId();
  options.voters = options_.voters;
  options.command_timeout = Duration(kCommandTimeout);
  machine.replica = std::make_unique<Replica>(options, image->Load(), machine.policy.get());
  machine.reachable_until.clear();
  machine.clock_offset = 1000 * Chance();  // uptime of the machine
  rules_.OnStarted(name, *image);
  UpdateContact();
  Tick(name, machine.process_number);
}

void World::EndProcess(Machine* machine, double notice_delay) {
  if (!machine->replica) {
    ++machine->process_number;  // cancels a pending start
    return;
  }
  machine->replica.reset();
  ++machine->process_number;
  machine->tickets.clear();  // callers never learn the outcome: each call may have been done
  machine->connected_before.clear();
  machine->writing = false;
  machine->paused_until = -1;
  if (machine->store) {
    const std::deque<StoreBatch>& unwritten = machine->disk.queued_batches();
    machine->store->OnProcessEnd({unwritten.begin(), unwritten.end()});
    machine->disk.OnProcessEnd(0);
  } else {
    machine->disk.OnProcessEnd(Pick(machine->disk.queued() + 1));
  }
  for (const auto& [name, other] : machines_) {
    if (name != machine->address) Disconnect(machine->address, name, notice_delay);
  }
  UpdateContact();
}

void World::Kill(const std::string& name) {
  Trace("kill " + name);
  EndProcess(&machines_.at(name), 0.0005);
}

void World::Pause(const std::string& name, double duration) {
  Trace("pause " + name + " for " + std::to_string(duration));
  machines_.at(name).paused_until = now_ + duration;
}

void World::PowerOff(const std::string& name) {
  Trace("power off " + name);
  Machine& machine = machines_.at(name);
  EndProcess(&machine, kDeadLinkTimeout);
  if (machine.store) machine.store->OnPowerLoss();
  machine.disk.OnPowerLoss(Pick(machine.disk.not_durable() + 1));
}

void World::Wipe(const std::string& name) {
  Trace("wipe " + name);
  Machine& machine = machines_.at(name);
  EndProcess(&machine, kDeadLinkTimeout);
  DiskImage empty;
  empty.state.store_id = RandomId();
  if (options_.wiped_keeps_store_id) {
    empty.state.store_id = machine.disk.durable().state.store_id;
    empty.state.membership = machine.disk.durable().state.membership;
  }
  const DiskImage& held = machine.disk.durable();
  lost_stores_[{name, held.state.store_id}] = held;
  machine.disk = SimulatedDisk(empty);
  if (machine.store) machine.store->Lose();
  if (!options_.wiped_keeps_store_id) rules_.OnDiskChanged();
}

void World::Remove(const std::string& name) {
  Wipe(name);
  machines_.at(name).removed = true;
}

const DiskImage* World::FindStore(const Member& member, bool or_last_content) const {
  auto it = machines_.find(member.address);
  if (it == machines_.end()) return nullptr;
  const DiskImage& image = it->second.disk.durable();
  if (image.state.store_id == member.store_id) return &image;
  auto lost = lost_stores_.find({member.address, member.store_id});
  return or_last_content && lost != lost_stores_.end() ? &lost->second : nullptr;
}

// Processes.

void World::Run(const std::string& name, const ProcessEvent& event) {
  Machine& machine = machines_.at(name);
  if (machine.paused_until > now_) return RunLater(machine.paused_until - now_, name, event);
  Effects effects;
  event(machine.replica.get(), TimePointOf(Clock(machine)), &effects);
  ApplyEffects(&machine, std::move(effects));
}

void World::RunLater(double after, const std::string& name, ProcessEvent event) {
  Schedule(after, [this, name, process_number = machines_.at(name).process_number, event = std::move(event)] {
    Machine& machine = machines_.at(name);
    if (machine.replica && machine.process_number == process_number) Run(name, event);
  });
}

void World::Tick(const std::string& name, uint64_t process_number) {
  Schedule(kTick, [this, name, process_number] {
    if (machines_.at(name).process_number != process_number) return;
    Run(name, [](Replica* replica, TimePoint clock, Effects* out) { replica->OnTime(clock, out); });
    Tick(name, process_number);
  });
}

void World::ApplyEffects(Machine* machine, Effects effects) {
  rules_.OnEvent(machine->address, *machine->replica, effects);
  for (StoreBatch& batch : effects.stores) {
    if (options_.reported_before_sync && options_.reported_before_sync(batch)) {
      RunLater(0, machine->address, [number = batch.number](Replica* replica, TimePoint clock, Effects* out) {
        replica->OnStored(clock, number, out);
      });
    }
    machine->disk.Enqueue(std::move(batch));
  }
  BeginWriting(machine);
  for (auto& [to, message] : effects.sends) Send(machine->address, to, std::move(message));
  for (const replication::Completion& ended : effects.completions) CompleteTicket(machine, ended);
  CheckMachine(machine);
  WakeLater(machine);
  if (!rules_.violation().empty()) ReportViolation(rules_.violation());
}

// Like the real driver, calls OnTime not only at ticks but also when the replica requests it.
void World::WakeLater(Machine* machine) {
  std::optional<TimePoint> wake_at = machine->replica->WakeAt();
  std::optional<double> at;
  if (wake_at) at = SecondsOf(*wake_at);
  double now = Clock(*machine);
  if (!at || *at <= now || *at > now + kTick || *at == machine->wakes_at) return;
  machine->wakes_at = *at;
  RunLater(*at - now, machine->address,
           [](Replica* replica, TimePoint clock, Effects* out) { replica->OnTime(clock, out); });
}

void World::CheckMachine(Machine* machine) {
  if (HasQuorumContact(*machine) && LacksQuorumContact(*machine)) {
    ReportViolation(machine->address + " reports quorum contact but has had none for " +
                    std::to_string(replication::kContactTimeout.count()) + " s");
  }
  CheckNotStale(*machine);
  for (const auto& [number, ticket] : machine->tickets) {
    if (machine->paused_until > now_ - 1 || now_ <= ticket.called_at + kCommandTimeout + 2 * kTick) continue;
    ReportViolation("a call at " + machine->address + " doesn't end");
  }
}

void World::CheckNotStale(const Machine& machine) {
  if (decided_at_.empty() || decided_at_.back().second < rules_.decided())
    decided_at_.push_back({now_, rules_.decided()});
  while (decided_at_.size() > 1 && decided_at_[1].first < now_ - kMaxStaleness) decided_at_.pop_front();
  const auto& [at, revision] = decided_at_.front();
  if (at >= now_ - kMaxStaleness || machine.replica->revision() >= revision || !HasQuorumContact(machine))
    return;
  ReportViolation(machine.address + " is in contact but lacks revision " + std::to_string(revision) +
                  ", decided at " + std::to_string(at));
}

void World::CompleteTicket(Machine* machine, const replication::Completion& ended) {
  auto it = machine->tickets.find(ended.ticket);
  if (it == machine->tickets.end())
    return ReportViolation("a call at " + machine->address + " ended twice, or was never made");
  Ticket ticket = it->second;
  machine->tickets.erase(it);
  if (ended.outcome == Outcome::kDone && ticket.called_without_contact) {
    ReportViolation(machine->address + " completed a call that it received while out of contact");
  }
  if (!ticket.read) {
    rules_.OnCommandCompleted(ticket.command, machine->address, *machine->replica, ended);
    if (on_command_completed) on_command_completed(ticket.command, machine->address, ended.outcome);
  } else if (ended.outcome == Outcome::kDone) {
    rules_.OnReadEnded(ticket.decided, machine->address, *machine->replica);
  } else if (ended.outcome == Outcome::kRejected) {
    ReportViolation("a read was rejected");
  }
}

// Disks.

void World::HangDisk(const std::string& name, double duration) {
  Trace("disk of " + name + " hangs for " + std::to_string(duration));
  machines_.at(name).disk_blocked_until = now_ + duration;
}

void World::BeginWriting(Machine* machine) {
  if (machine->writing || machine->disk.queued() == 0) return;
  machine->writing = true;
  machine->writing_since = now_;
  double least = machine->disk.SyncIsQueued() ? kMinSyncTime + kSyncJitter * Chance() : kUnsyncedWriteTime;
  double done = now_ + least * machine->disk_factor;
  Schedule(done - now_, [this, name = machine->address, process_number = machine->process_number,
                         count = machine->disk.queued()] { FinishWriting(name, process_number, count); });
}

void World::FinishWriting(const std::string& name, uint64_t process_number, size_t count) {
  Machine& machine = machines_.at(name);
  if (machine.process_number != process_number) return;
  if (machine.disk_blocked_until > now_) {
    // Checked repeatedly, as the hang may end early.
    Schedule(0.02, [this, name, process_number, count] { FinishWriting(name, process_number, count); });
    return;
  }
  if (machine.store && !WriteToStore(&machine, count)) {
    Schedule(kWriteRetry,
             [this, name, process_number, count] { FinishWriting(name, process_number, count); });
    return;
  }
  std::set<uint64_t> already_reported;
  for (size_t i = 0; i < count; ++i) {
    const StoreBatch& batch = machine.disk.queued_batches()[i];
    if (options_.reported_before_sync && options_.reported_before_sync(batch))
      already_reported.insert(batch.number);
  }
  std::vector<uint64_t> numbers = machine.disk.Write(count);
  if (machine.store) machine.disk.SyncAll();
  rules_.OnDiskChanged();
  machine.writing = false;
  for (uint64_t number : numbers) {
    if (already_reported.contains(number)) continue;
    RunLater(0, name, [number](Replica* replica, TimePoint clock, Effects* out) {
      replica->OnStored(clock, number, out);
    });
  }
  BeginWriting(&machine);
}

bool World::WriteToStore(Machine* machine, size_t count) {
  const std::deque<StoreBatch>& queued = machine->disk.queued_batches();
  auto end = queued.begin() + static_cast<std::ptrdiff_t>(count);
  return machine->store->Write({queued.begin(), end});
}

// Links.

bool World::IsCut(const std::string& a, const std::string& b) const {
  for (const auto& ends : {std::make_pair(a, b), std::make_pair(b, a)}) {
    auto it = directions_.find(ends);
    if (it != directions_.end() && it->second.cut) return true;
  }
  return false;
}

bool World::Dials(const Machine& from, const std::string& to) const {
  if (from.connected_before.contains(to)) return true;
  if (std::find(from.seeds.begin(), from.seeds.end(), to) != from.seeds.end()) return true;
  for (const Member& member : from.replica->membership().members) {
    if (member.address == to) return true;
  }
  return false;
}

void World::DialAll() {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_) {
    // A process that is suspended only briefly is connected and notices when it runs again.
    if (machine.replica && machine.paused_until <= now_ + kShortPause) names.push_back(name);
  }
  for (size_t i = 0; i < names.size(); ++i) {
    for (size_t j = i + 1; j < names.size(); ++j) {
      if (ConnectionOf(names[i], names[j]).Up() || IsCut(names[i], names[j])) continue;
      bool dialled = Dials(machines_.at(names[i]), names[j]) || Dials(machines_.at(names[j]), names[i]);
      if (dialled && Chance(0.6)) Connect(names[i], names[j]);
    }
  }
  Schedule(kTick, [this] { DialAll(); });
}

void World::Connect(const std::string& a, const std::string& b) {
  Connection& connection = ConnectionOf(a, b);
  ++connection.generation;
  for (auto [end, peer] : {std::make_pair(a, b), std::make_pair(b, a)}) {
    directions_[{end, peer}].held.clear();
    directions_[{end, peer}].free_at = now_;
    machines_.at(end).connected_before.insert(peer);
    if (connection.ends.contains(end)) {
      RunLater(0, end, [peer = peer](Replica* replica, TimePoint clock, Effects* out) {
        replica->OnConnection(clock, peer, false, out);
      });
    }
    RunLater(0, end, [peer = peer](Replica* replica, TimePoint clock, Effects* out) {
      replica->OnConnection(clock, peer, true, out);
    });
  }
  connection.ends = {a, b};
  connection.since = now_;
}

// Lets `machine` notice that its connection to `peer` has ended, unless a new one exists by then.
void World::NotifyDisconnected(const std::string& machine, const std::string& peer, double after) {
  RunLater(after, machine,
           [this, machine, peer, generation = ConnectionOf(machine, peer).generation](
               Replica* replica, TimePoint clock, Effects* out) {
             Connection& connection = ConnectionOf(machine, peer);
             if (connection.generation != generation || !connection.ends.erase(machine)) return;
             replica->OnConnection(clock, peer, false, out);
           });
}

void World::Disconnect(const std::string& a, const std::string& b, double after) {
  Connection& connection = ConnectionOf(a, b);
  if (connection.ends.empty()) return;
  ++connection.generation;
  for (auto [end, peer] : {std::make_pair(a, b), std::make_pair(b, a)}) {
    directions_[{end, peer}].held.clear();
    if (machines_.at(end).replica) {
      NotifyDisconnected(end, peer, after);
    } else {
      connection.ends.erase(end);
    }
  }
}

void World::Reset(const std::string& a, const std::string& b) {
  Trace("reset " + a + " and " + b);
  if (a != b) Disconnect(a, b, 0.0005);
}

void World::CutOneWay(const std::string& from, const std::string& to) {
  Trace("cut " + from + " to " + to);
  if (from == to || directions_[{from, to}].cut) return;
  directions_[{from, to}].cut = true;
  UpdateContact();
  Connection& connection = ConnectionOf(from, to);
  Schedule(kDeadLinkTimeout,
           [this, from, to, generation = connection.generation, number = connection.cut_number] {
             Connection& now = ConnectionOf(from, to);
             if (now.generation == generation && now.cut_number == number && IsCut(from, to))
               Disconnect(from, to, 0);
           });
}

void World::Cut(const std::string& a, const std::string& b) {
  CutOneWay(a, b);
  CutOneWay(b, a);
}

void World::Heal(const std::string& a, const std::string& b) {
  if (a == b) return;
  Trace("heal " + a + " and " + b);
  ++ConnectionOf(a, b).cut_number;
  for (auto [from, to] : {std::make_pair(a, b), std::make_pair(b, a)}) {
    Direction& direction = directions_[{from, to}];
    if (direction.cut) direction.healed_at = now_;
    direction.cut = false;
    direction.delay = 0;
    auto held = std::move(direction.held);
    direction.held.clear();
    for (auto& message : held) {
      direction.free_at = std::max(direction.free_at, now_ + kMinLinkDelay);
      Schedule(direction.free_at - now_,
               [this, from = from, to = to, generation = ConnectionOf(a, b).generation, message] {
                 Deliver(from, to, generation, message);
               });
    }
  }
  UpdateContact();
}

void World::Isolate(const std::string& name) {
  for (const auto& [other, machine] : machines_) Cut(name, other);
}

void World::Rejoin(const std::string& name) {
  for (const auto& [other, machine] : machines_) Heal(name, other);
}

void World::HealAll() {
  for (auto& [name, machine] : machines_) {
    Rejoin(name);
    machine.disk_blocked_until = 0;
    machine.disk_factor = 1;
    if (!machine.removed) Start(name);
  }
}

void World::Slow(const std::string& a, const std::string& b, double delay) {
  for (const auto& ends : {std::make_pair(a, b), std::make_pair(b, a)}) directions_[ends].delay = delay;
}

void World::Send(const std::string& from, const std::string& to, PeerMessage message) {
  if (!machines_.contains(to) || from == to) return ReportViolation(from + " sends to " + to);
  Connection& connection = ConnectionOf(from, to);
  if (!connection.Up()) return;
  if (options_.tamper) options_.tamper(from, to, &message);
  const auto* accept = std::get_if<messages::Accept>(&message.body);
  bool first =
      accept && accept->change.membership && joins_proposed_.try_emplace(accept->revision, now_).second;
  if (first) CheckCaughtUp(from, *accept->change.membership);
  Direction& direction = directions_[{from, to}];
  direction.free_at =
      std::max(direction.free_at, now_ + kMinLinkDelay + kLinkJitter * Chance() * Chance() + direction.delay);
  auto shared = std::make_shared<const PeerMessage>(std::move(message));
  Schedule(direction.free_at - now_, [this, from, to, generation = connection.generation, shared] {
    Deliver(from, to, generation, shared);
  });
}

void World::Deliver(const std::string& from, const std::string& to, uint64_t generation,
                    std::shared_ptr<const PeerMessage> message) {
  if (ConnectionOf(from, to).generation != generation || !machines_.at(to).replica) return;
  Direction& direction = directions_[{from, to}];
  if (direction.cut || !direction.held.empty()) {
    direction.held.push_back(std::move(message));
    return;
  }
  TraceMessage(from, to, *message);
  Run(to, [from, message](Replica* replica, TimePoint clock, Effects* out) {
    replica->OnMessage(clock, from, *message, out);
  });
}

// Reachability, as the simulation knows it.

bool World::Reaches(const Machine& from, const Store& to) const {
  const Machine& target = machines_.at(to.first);
  bool answers = target.replica && target.replica->store_id() == to.second;
  return from.replica && answers && !IsCut(from.address, target.address);
}

void World::UpdateContact() {
  for (auto& [name, machine] : machines_) {
    for (const auto& [other, target] : machines_) {
      if (target.replica) machine.reachable_until.try_emplace({other, target.replica->store_id()}, -kNever);
    }
    for (auto& [store, until] : machine.reachable_until) {
      if (Reaches(machine, store)) {
        until = kNever;
      } else if (until == kNever) {
        until = now_;
      }
    }
  }
}

bool World::IsResponsive(const std::string& core, const Member& member) const {
  const Machine& decider = machines_.at(core);
  const Machine& target = machines_.at(member.address);
  auto proposed = joins_proposed_.find(rules_.decided());
  double since = proposed == joins_proposed_.end() ? now_ : proposed->second;
  bool connected = core == member.address;
  if (auto it = connections_.find(PairOf(core, member.address)); it != connections_.end()) {
    connected = connected || (it->second.Up() && it->second.since < since);
    for (const auto& ends : {std::make_pair(core, member.address), std::make_pair(member.address, core)}) {
      connected = connected && directions_.at(ends).healed_at < since;
    }
  }
  bool hangs = target.writing && now_ > target.writing_since + replication::kContactTimeout.count();
  bool paused = now_ < std::max(target.paused_until, decider.paused_until) + kHeartbeatDelay;
  bool waited = now_ + 1e-6 >= since + replication::kJoinTimeout.count();
  return connected && !hangs && !paused && !waited && Reaches(decider, {member.address, member.store_id});
}

void World::CheckCaughtUp(const std::string& proposer, const Membership& next) {
  uint64_t decided = 0;
  for (const auto& [at, revision] : decided_at_) {
    if (at < now_ - kMaxLearnerLag) decided = revision;
  }
  const std::vector<Member>& current = machines_.at(proposer).replica->membership().members;
  for (const Member& member : next.members) {
    bool stays = std::any_of(current.begin(), current.end(),
                             [&](const Member& other) { return other.SameStore(member); });
    const DiskImage* image = FindStore(member, true);
    if (stays || (image && image->state.revision >= decided)) continue;
    ReportViolation(member.address + " is proposed as a member but lacks revision " +
                    std::to_string(decided) + " on disk");
  }
}

bool World::LacksQuorumContact(const Machine& machine) const {
  const Membership& membership = rules_.newest_membership();
  size_t reached = 0;
  for (const Member& member : membership.members) {
    auto until = machine.reachable_until.find({member.address, member.store_id});
    bool lately = until != machine.reachable_until.end() &&
                  until->second + replication::kContactTimeout.count() + 1e-9 >= now_;
    if (lately) ++reached;
  }
  return reached < membership.Quorum();
}

// Callers.

std::string World::NewContent() {
  std::string content = "content " + std::to_string(++last_content_);
  content.resize(std::max(content.size(), options_.content_size), ' ');
  return content;
}

void World::Call(const std::string& name, Ticket ticket,
                 const std::function<void(Replica*, TimePoint, uint64_t, Effects*)>& call) {
  Machine& machine = machines_.at(name);
  if (!machine.replica) return;
  uint64_t number = ++last_ticket_;
  Run(name, [this, name, ticket, call, number](Replica* replica, TimePoint clock, Effects* out) mutable {
    ticket.called_at = now_;
    ticket.decided = rules_.decided();
    ticket.called_without_contact = LacksQuorumContact(machines_.at(name));
    machines_.at(name).tickets[number] = ticket;
    if (!ticket.read) rules_.OnSent(ticket.command);
    call(replica, clock, number, out);
  });
}

size_t World::WriteMany(const std::string& name, const std::vector<std::pair<std::string, uint64_t>>& keys) {
  std::vector<Item> items;
  for (const auto& [key, version] : keys) items.push_back({key, version, false, NewContent()});
  size_t command = rules_.AddCommand(std::move(items));
  Resend(command, name);
  return command;
}

size_t World::Write(const std::string& name, const std::string& key, uint64_t version, bool dropped) {
  size_t command = rules_.AddCommand({{key, version, dropped, NewContent()}});
  Resend(command, name);
  return command;
}

void World::Resend(size_t command, const std::string& name) {
  Ticket ticket;
  ticket.command = command;
  Call(name, ticket, [this, command](Replica* replica, TimePoint clock, uint64_t number, Effects* out) {
    replica->Write(clock, number, rules_.command(command).items, out);
  });
}

void World::Read(const std::string& name) {
  Ticket ticket;
  ticket.read = true;
  Call(name, ticket, [](Replica* replica, TimePoint clock, uint64_t number, Effects* out) {
    replica->Read(clock, number, out);
  });
}

void World::Prune(const std::string& name, const std::vector<Item>& tombstones) {
  if (!machines_.at(name).replica) return;
  rules_.OnPruneRequested(tombstones);
  Run(name, [tombstones](Replica* replica, TimePoint clock, Effects* out) {
    replica->Prune(clock, tombstones, out);
  });
}

// The end of a run.

bool World::CopiesAreEqual() const {
  const Machine* first = nullptr;
  for (const auto& [name, machine] : machines_) {
    if (!machine.replica) continue;
    if (machine.paused_until > now_) return false;
    if (!first) first = &machine;
    const Replica& replica = *machine.replica;
    if (replica.revision() != first->replica->revision() || replica.CatchingUp() ||
        !HasQuorumContact(machine))
      return false;
    if (!(replica.membership() == first->replica->membership())) return false;
    if (replica.table().records() != first->replica->table().records()) return false;
    DiskImage image = machine.disk.Read();
    if (image.state.revision != replica.revision() || image.records != replica.table().records())
      return false;
  }
  return first != nullptr;
}

bool World::MembersAreRunning() const {
  const Membership& membership = rules_.newest_membership();
  size_t running = 0;
  for (const auto& [name, machine] : machines_) running += machine.replica ? 1 : 0;
  for (const Member& member : membership.members) {
    const Machine& machine = machines_.at(member.address);
    if (!machine.replica || machine.replica->store_id() != member.store_id) return false;
  }
  return membership.members.size() >= std::min(running, options_.voters);
}

void World::CheckConverges(double timeout) {
  double deadline = now_ + timeout;
  while (violation_.empty() && !(CopiesAreEqual() && MembersAreRunning()) && now_ < deadline) RunFor(kTick);
  if (violation_.empty() && !CopiesAreEqual())
    return ReportViolation("the copies still differ " + std::to_string(timeout) + " s after the faults");
  // A core that was suspended shortly before may still lose contact for this long.
  double end_of_settling = now_ + 2 * replication::kContactTimeout.count();
  while (violation_.empty() && (now_ < end_of_settling - replication::kContactTimeout.count() ||
                                (!CopiesAreEqual() && now_ < end_of_settling)))
    RunFor(kTick);
  if (violation_.empty() && !MembersAreRunning())
    return ReportViolation("members are missing " + std::to_string(timeout) + " s after the faults");
  for (const std::string& name : Machines()) {
    if (!Runs(name)) continue;
    size_t confirmed = rules_.confirmed, reads = rules_.reads;
    Write(name, "settled/" + name, 1);
    Read(name);
    double until = now_ + 1;
    while (violation_.empty() && now_ < until && (rules_.confirmed == confirmed || rules_.reads == reads))
      RunFor(0.01);
    if (rules_.confirmed == confirmed) ReportViolation("without faults a core confirms no command: " + name);
    if (rules_.reads == reads) ReportViolation("without faults a core answers no read: " + name);
  }
  RunFor(1);
  if (violation_.empty() && !CopiesAreEqual())
    ReportViolation("the copies differ although all faults are over");
  for (const std::string& name : Machines()) {
    if (!Runs(name)) continue;
    rules_.CheckComplete(name, replica(name));
    if (!machines_.at(name).policy->Knows(replica(name).table()))
      ReportViolation("the table's owner doesn't know all records at " + name);
  }
  if (!rules_.violation().empty()) ReportViolation(rules_.violation());
}

}  // namespace ivygw::control_sim
