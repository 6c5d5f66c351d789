#include "replicated_table/core_node.h"

#include <algorithm>
#include <sstream>

#include "base/random_id.h"
#include "process/log.h"

namespace ivygw::replicated_table {

using messages::Member;
using process::Log;
using replication::Effects;

namespace {

constexpr char kSnapshotRole[] = "snapshot";  // of a Hello; its node names the table
constexpr size_t kExportPartBytes = size_t{256} * 1024;
constexpr int kLinkMemoryParts = 4;  // one of which is for what connections hold
constexpr auto kTick = std::chrono::milliseconds(50);
constexpr uint64_t kOwnerTickInterval = 2;  // ticks
constexpr uint64_t kFiguresInterval = 100;  // ticks

std::set<std::string> SeedHosts(const process::Settings& settings) {
  std::set<std::string> hosts;
  for (const std::string& seed : settings.seeds) hosts.insert(process::HostOf(seed));
  return hosts;
}

// The identity of a store as logs show it.
std::string StoreName(uint64_t store_id) {
  std::ostringstream name;
  name << std::hex << store_id;
  return name.str();
}

}  // namespace

CoreNode::CoreNode(asio::io_context& io, const process::Settings& settings, Options options,
                   replication::CommandPolicy* policy, Events events)
    : io_(io),
      settings_(settings),
      options_(std::move(options)),
      events_(std::move(events)),
      incarnation_(RandomId()),
      voters_(replication::VotersToTolerate(static_cast<size_t>(settings.machine_failures))),
      link_memory_(process::PartOfMemory(settings, kLinkMemoryParts)),
      host_(io, &link_memory_, HostEvents()),
      known_(settings.ip, SeedHosts(settings)),
      tick_timer_(io),
      wake_timer_(io) {
  replication::ReplicaOptions own;
  own.address = settings.ip;
  own.zone = settings.zone;
  own.incarnation = incarnation_;
  own.voters = voters_;
  replica_ = std::make_unique<replication::Replica>(std::move(own), OpenStore(), policy);
  publisher_ = std::make_unique<Publisher>(io, *replica_, options_.published_prefix, PublisherEvents());
  known_.SetMembers(replica_->membership());
  host_.Listen({asio::ip::make_address(settings.ip), static_cast<uint16_t>(options_.port)});
  DialMissing();
  asio::post(io_, [this, alive = alive_] {
    if (*alive) Tick();
  });
}

// The seeds are the first epoch where the whole system starts for the first time; every other new store is a
// learner's.
storage::OpenOptions CoreNode::FirstState() const {
  std::set<std::string> seeds = SeedHosts(settings_);
  storage::OpenOptions first;
  first.founder = settings_.initial_boot && seeds.count(settings_.ip) > 0;
  if (!first.founder) return first;
  first.first_membership.epoch = 1;
  for (const std::string& seed : seeds)
    first.first_membership.members.push_back({seed, replication::kFounderStoreId, ""});
  return first;
}

replication::LoadedState CoreNode::OpenStore() {
  if (settings_.data_directory.empty()) return WithoutDisk();
  store_ = std::make_unique<storage::TableStore>(io_, settings_.data_directory + "/" + options_.role,
                                                 FirstState());
  store_->OnStored([this](uint64_t batch) { OnStored(batch); });
  store_->OnRefused([](const storage::WriteError& error) {
    bool damaged = error.kind == storage::WriteError::Kind::kDamaged;
    Log(damaged ? "store_damaged" : "disk_refused").Add("reason", error.reason);
  });
  storage::OpenedTable opened = store_->TakeOpened();
  const replication::DurableState& state = opened.loaded.state;
  Log("loaded")
      .Add("role", options_.role)
      .Add("records", opened.loaded.records.size())
      .Add("created", opened.created)
      .Add("epoch", state.membership.epoch)
      .Add("revision", state.revision)
      .Add("store", StoreName(state.store_id))
      .Add("undecided", opened.loaded.accepted.has_value())
      .Add("files", opened.files);
  for (const storage::DroppedTail& tail : opened.dropped_tails)
    Log("store_tail_dropped").Add("role", options_.role).Add("file", tail.file).Add("bytes", tail.bytes);
  if (!opened.unreadable.empty()) Log("store_put_aside").Add("reason", opened.unreadable);
  return std::move(opened.loaded);
}

replication::LoadedState CoreNode::WithoutDisk() const {
  storage::OpenOptions first = FirstState();
  replication::LoadedState loaded;
  loaded.state.store_id = first.founder ? replication::kFounderStoreId : RandomId();
  loaded.state.membership = first.first_membership;
  return loaded;
}

// --- Connections ---

transport::Host::Events CoreNode::HostEvents() {
  transport::Host::Events events;
  events.up = [this](uint64_t peer, const messages::Hello& hello) { OnHello(peer, hello); };
  events.message = [this](uint64_t peer, messages::Message message) {
    OnPeerMessage(peer, std::move(message));
  };
  events.down = [this](uint64_t peer) { OnPeerDisconnected(peer); };
  return events;
}

void CoreNode::OnHello(uint64_t peer, const messages::Hello& hello) {
  if (hello.role == "proxy") return events_.subscriber_up(peer, publisher_->OnSubscriberUp(peer, hello));
  if (hello.role == kSnapshotRole && hello.node == options_.role) exports_.insert(peer);
  if (hello.role != options_.role) return;
  // Messages that an older connection of that core may still deliver are outdated, perhaps of an earlier
  // incarnation.
  std::vector<uint64_t> earlier;
  for (const auto& [other, core] : inbound_cores_) {
    if (core == hello.node) earlier.push_back(other);
  }
  for (uint64_t other : earlier) host_.Close(other);
  inbound_cores_[peer] = hello.node;
  known_.OnSeen(Now(), hello.node);
  for (const std::string& core : hello.cores) known_.OnSeen(Now(), core);
  DialMissing();
}

void CoreNode::OnPeerMessage(uint64_t peer, messages::Message message) {
  auto core = inbound_cores_.find(peer);
  if (core != inbound_cores_.end()) {
    const auto* own = std::get_if<messages::PeerMessage>(&message);
    if (!own) return events_.core_message(core->second, std::move(message));
    Effects effects;
    replica_->OnMessage(Now(), core->second, *own, &effects);
    return Run(std::move(effects));
  }
  if (exports_.count(peer) > 0) return OnExportMessage(peer, message);
  if (const auto* ack = std::get_if<messages::PushAck>(&message)) return publisher_->OnPushAck(peer, *ack);
  if (const auto* known_digests = std::get_if<messages::RangeDigests>(&message))
    return publisher_->OnRangeDigests(peer, *known_digests);
  events_.message(peer, std::move(message));
}

// An operator's tool copies the table; it is no core, and the replica isn't told of it.
// docs/operate/snapshots.md
void CoreNode::OnExportMessage(uint64_t peer, const messages::Message& message) {
  const auto* asked = std::get_if<messages::PeerMessage>(&message);
  const auto* request = asked ? std::get_if<messages::DeltaRequest>(&asked->body) : nullptr;
  if (!request) return;
  messages::Delta delta = replica_->table().DeltaFor(*request, replica_->revision(), kExportPartBytes);
  delta.membership = replica_->membership();
  messages::PeerMessage answer;
  answer.header.epoch = delta.membership.epoch;
  answer.header.revision = replica_->revision();
  answer.body = std::move(delta);
  host_.Send(peer, answer);
}

void CoreNode::OnPeerDisconnected(uint64_t peer) {
  inbound_cores_.erase(peer);
  exports_.erase(peer);
  auto it = subscribers().find(peer);
  if (it == subscribers().end()) return;
  Subscriber gone = it->second;
  publisher_->OnSubscriberDown(peer);
  events_.subscriber_down(peer, gone);
}

messages::Hello CoreNode::MakeHello() const {
  messages::Hello hello;
  hello.node = settings_.ip;
  hello.role = options_.role;
  hello.zone = settings_.zone;
  hello.incarnation = incarnation_;
  std::set<std::string> cores;
  for (const Member& member : replica_->membership().members) cores.insert(member.address);
  for (const auto& [peer, core] : inbound_cores_) cores.insert(core);
  hello.cores.assign(cores.begin(), cores.end());
  return hello;
}

void CoreNode::DialMissing() {
  for (const std::string& core : known_.DialTargets(Now())) {
    if (dialers_.count(core) == 0) Dial(core);
  }
}

void CoreNode::Dial(const std::string& core) {
  error_code bad;
  asio::ip::address ip = asio::ip::make_address(core, bad);
  if (bad) return;
  transport::Dialer::Events events;
  events.up = [this, core] {
    dialers_.at(core)->Send(MakeHello());
    Effects effects;
    replica_->OnConnection(Now(), core, true, &effects);
    Run(std::move(effects));
  };
  events.down = [this, core] {
    Effects effects;
    replica_->OnConnection(Now(), core, false, &effects);
    Run(std::move(effects));
  };
  events.message = [](const messages::Message&) {};
  tcp::endpoint address(ip, static_cast<uint16_t>(options_.port));
  dialers_[core] = std::make_unique<transport::Dialer>(io_, &link_memory_, address, std::move(events));
}

void CoreNode::CloseUnneeded() {
  for (const auto& [peer, core] : inbound_cores_) known_.OnSeen(Now(), core);
  std::set<std::string> needed = known_.DialTargets(Now());
  for (auto it = dialers_.begin(); it != dialers_.end();) {
    if (needed.count(it->first) > 0) {
      ++it;
      continue;
    }
    std::string core = it->first;
    it = dialers_.erase(it);
    Effects effects;
    replica_->OnConnection(Now(), core, false, &effects);
    Run(std::move(effects));
  }
}

void CoreNode::SendToCores(const messages::Message& message) {
  for (auto& [core, dialer] : dialers_) dialer->Send(message);
}

std::set<std::string> CoreNode::OtherCores() const {
  std::set<std::string> cores;
  for (const Member& member : replica_->membership().members) cores.insert(member.address);
  for (const std::string& learner : replica_->Learners(Now())) cores.insert(learner);
  cores.erase(settings_.ip);
  return cores;
}

bool CoreNode::IsFirstReachableMember() const {
  if (!replica_->IsMember() || !HasQuorumContact()) return false;
  const auto& members = replica_->membership().members;
  return std::none_of(members.begin(), members.end(), [&](const Member& member) {
    auto dialer = dialers_.find(member.address);
    return member.address < settings_.ip && dialer != dialers_.end() && dialer->second->up();
  });
}

// --- The replica ---

void CoreNode::Write(std::vector<messages::Item> items, OnCompletion then) {
  uint64_t ticket = ++last_ticket_;
  waiting_[ticket] = std::move(then);
  Effects effects;
  replica_->Write(Now(), ticket, std::move(items), &effects);
  Run(std::move(effects));
}

void CoreNode::Read(OnCompletion then) {
  uint64_t ticket = ++last_ticket_;
  waiting_[ticket] = std::move(then);
  Effects effects;
  replica_->Read(Now(), ticket, &effects);
  Run(std::move(effects));
}

void CoreNode::Prune(const std::vector<messages::Item>& tombstones) {
  Effects effects;
  replica_->Prune(Now(), tombstones, &effects);
  Run(std::move(effects));
}

// Effects are performed when the replica's call has returned; what they bring about comes after.
void CoreNode::Run(Effects effects) {
  effects_.push_back(std::move(effects));
  if (running_) return;
  running_ = true;
  while (!effects_.empty()) {
    Effects next = std::move(effects_.front());
    effects_.pop_front();
    Perform(&next);
  }
  running_ = false;
  ArmWake();
}

void CoreNode::Perform(Effects* effects) {
  for (auto& [core, message] : effects->sends) {
    auto it = dialers_.find(core);
    if (it != dialers_.end()) it->second->Send(std::move(message));
  }
  for (replication::StoreBatch& batch : effects->stores) Store(std::move(batch));
  if (effects->reset || !effects->changed.empty()) publisher_->OnChanged(effects->changed, effects->reset);
  if (effects->membership_changed) OnMembershipChanged();
  for (const replication::Completion& ended : effects->completions) {
    auto it = waiting_.find(ended.ticket);
    if (it == waiting_.end()) continue;
    OnCompletion then = std::move(it->second);
    waiting_.erase(it);
    then(ended);
  }
}

void CoreNode::Store(replication::StoreBatch batch) {
  if (store_) return store_->Store(std::move(batch));
  asio::post(io_, [this, alive = alive_, number = batch.number] {
    if (*alive) OnStored(number);
  });
}

void CoreNode::OnStored(uint64_t batch) {
  Effects effects;
  replica_->OnStored(Now(), batch, &effects);
  Run(std::move(effects));
}

void CoreNode::OnMembershipChanged() {
  const messages::Membership& membership = replica_->membership();
  std::string members;
  for (const Member& member : membership.members) members += (members.empty() ? "" : " ") + member.address;
  Log("epoch")
      .Add("role", options_.role)
      .Add("number", membership.epoch)
      .Add("members", members)
      .Add("member", replica_->IsMember());
  known_.SetMembers(membership);
  DialMissing();
  events_.membership_changed();
}

Publisher::Events CoreNode::PublisherEvents() {
  Publisher::Events events;
  events.send = [this](uint64_t peer, const messages::Message& message) { host_.Send(peer, message); };
  events.send_frame = [this](uint64_t peer, const std::string& frame) { host_.SendFrame(peer, frame); };
  events.read = [this](std::function<void(bool)> then) {
    Read([then = std::move(then)](const replication::Completion& ended) {
      then(ended.outcome == replication::Outcome::kDone);
    });
  };
  events.has_quorum_contact = [this] { return HasQuorumContact(); };
  return events;
}

// --- Time ---

void CoreNode::Tick() {
  Effects effects;
  replica_->OnTime(Now(), &effects);
  Run(std::move(effects));
  if (++ticks_ % kOwnerTickInterval == 0) {
    CloseUnneeded();
    std::set<std::string> cores = OtherCores();
    cores.insert(settings_.ip);
    publisher_->SetCores({cores.begin(), cores.end()});
    events_.tick();
    publisher_->OnTime();
  }
  if (ticks_ % kFiguresInterval == 0) LogFigures();
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) Tick();
  });
}

// The replica may want to go on between two ticks. What is due already has been tried, and waits for
// something else.
void CoreNode::ArmWake() {
  std::optional<TimePoint> at = replica_->WakeAt();
  if (at && *at <= Now()) at.reset();
  if (at == wake_at_) return;
  wake_at_ = at;
  if (!at) {
    wake_timer_.cancel();
    return;
  }
  wake_timer_.expires_after(std::chrono::ceil<Clock::duration>(*at - Now()));
  wake_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (cancelled || !*alive) return;
    wake_at_.reset();
    Effects effects;
    replica_->OnTime(Now(), &effects);
    Run(std::move(effects));
  });
}

// How far gateways are with what was pushed to them, by their acknowledgements.
void CoreNode::LogFigures() const {
  size_t behind = 0;
  for (const auto& [peer, subscriber] : subscribers()) behind += subscriber.acknowledged < subscriber.pushed;
  Log("figures")
      .Add("role", options_.role)
      .Add("records", replica_->table().records().size())
      .Add("revision", replica_->revision())
      .Add("epoch", replica_->membership().epoch)
      .Add("contact", HasQuorumContact())
      .Add("member", replica_->IsMember())
      .Add("members_alive", replica_->MembersAlive(Now()))
      .Add("undecided", replica_->HoldsUndecidedChange())
      .Add("abandoned", replica_->AbandonedProposals())
      .Add("write_delay_s", store_ ? store_->WriteDelay().count() : 0.0)
      .Add("cores", inbound_cores_.size() + 1)
      .Add("gateways", subscribers().size())
      .Add("pushed", publisher_->pushed())
      .Add("behind", behind);
}

}  // namespace ivygw::replicated_table
