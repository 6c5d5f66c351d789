#include "rees/core_node.h"

#include <random>

#include "rakiura/log.h"

namespace ivygw::rees {

using rakiura::Log;

namespace {

constexpr uint64_t kFiguresEvery = 50;     // ticks
constexpr auto kGather = std::chrono::milliseconds(8);
constexpr size_t kPushBytes = 256 * 1024;  // of a list in one message
constexpr size_t kMostNamed = 200;         // members that are told by name

}  // namespace

CoreNode::CoreNode(asio::io_context& io, const rakiura::Settings& settings, Options options, Events events)
    : io_(io),
      settings_(settings),
      options_(std::move(options)),
      events_(std::move(events)),
      host_(io, {[this](uint64_t peer, const heaphy::Hello& hello) {
                   Replica::Effects effects;
                   if (hello.role == options_.role) {
                     cores_in_[peer] = hello.node;
                     std::vector<std::string> cores = hello.cores;
                     cores.push_back(hello.node);
                     replica_->OnCores(Now(), cores, &effects);
                     Run(std::move(effects));
                   } else if (hello.role == "milford") {
                     Follower& follower = followers_[peer];
                     follower.node = hello.node;
                     follower.zone = hello.zone;
                     follower.boot = hello.boot;
                     events_.follower_up(peer, follower);
                   }
                 },
                 [this](uint64_t peer, heaphy::Message message) {
                   auto core = cores_in_.find(peer);
                   if (core != cores_in_.end()) {
                     if (std::holds_alternative<heaphy::Heard>(message)) return events_.core_message(core->second, std::move(message));
                     Replica::Effects effects;
                     replica_->OnMessage(Now(), core->second, message, &effects);
                     return Run(std::move(effects));
                   }
                   if (const auto* ack = std::get_if<heaphy::PushAck>(&message)) {
                     auto it = followers_.find(peer);
                     if (it == followers_.end()) return;
                     it->second.acknowledged = ack->number;
                     if (it->second.listing && ack->number == it->second.part) List(peer, &it->second);
                     return;
                   }
                   if (const auto* have = std::get_if<heaphy::Have>(&message)) {
                     auto it = followers_.find(peer);
                     if (it == followers_.end() || have->ranges.size() != messages::kListRanges) return;
                     it->second.asked = true;
                     it->second.ranges.assign(messages::kListRanges, false);
                     const std::vector<uint64_t>& sums = ShownSums();
                     for (size_t i = 0; i < sums.size(); ++i) it->second.ranges[i] = sums[i] != have->ranges[i];
                     return List(peer, &it->second);
                   }
                   events_.message(peer, std::move(message));
                 },
                 [this](uint64_t peer) {
                   cores_in_.erase(peer);
                   auto it = followers_.find(peer);
                   if (it == followers_.end()) return;
                   Follower gone = it->second;
                   followers_.erase(it);
                   events_.follower_down(peer, gone);
                 }}),
      boot_(std::random_device{}()),
      gather_(io),
      timer_(io) {
  brewster::Disk::Content content;
  if (!settings.data_directory.empty()) {
    disk_ = std::make_unique<brewster::Disk>(io, settings.data_directory + "/" + options_.role, &content);
    disk_->OnStored([this](uint64_t batch, bool ok) {
      if (!ok) Log("disk_refused").Add("batch", batch);
      Replica::Effects effects;
      replica_->OnStored(Now(), batch, ok, &effects);
      Run(std::move(effects));
    });
  }
  luxmore::ReplicaOptions own;
  own.self = settings.ip;
  own.life = static_cast<uint32_t>(boot_) | 1;
  own.cores = content.cores;
  for (const std::string& seed : settings.seeds) own.cores.insert(rakiura::HostOf(seed));
  own.cores.insert(settings.ip);
  // What can't be read is as good as lost: this copy reads all anew before it counts.
  own.blank = (!content.counts && !settings.initial_boot) || !content.unreadable.empty();
  Log("loaded").Add("role", options_.role).Add("items", content.items.size()).Add("blank", own.blank).Add("cores", own.cores.size());
  if (!content.unreadable.empty()) Log("unreadable_record").Add("key", content.unreadable);
  bool blank = own.blank;
  std::set<std::string> cores = own.cores;
  replica_ = std::make_unique<Replica>(std::move(own), std::move(content.items));
  if (disk_ && !blank && !content.counts) disk_->Store({0, {}, true, cores});
  host_.Listen({asio::ip::make_address(settings.ip), static_cast<uint16_t>(options_.port)});
  for (const std::string& core : cores) Dial(core);
  asio::post(io_, [this] { Tick(); });
}

double CoreNode::Now() const { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }

heaphy::Hello CoreNode::Greeting() const {
  heaphy::Hello hello;
  hello.node = settings_.ip;
  hello.role = options_.role;
  hello.zone = settings_.zone;
  hello.boot = boot_;
  hello.cores.assign(replica_->cores().begin(), replica_->cores().end());
  return hello;
}

void CoreNode::Dial(const std::string& core) {
  if (core == settings_.ip || dialers_.count(core)) return;
  error_code bad;
  asio::ip::address ip = asio::ip::make_address(core, bad);
  if (bad) return;
  heaphy::Dialer::Events events;
  events.up = [this, core] {
    dialers_.at(core)->Send(Greeting());
    Replica::Effects effects;
    replica_->OnPeer(Now(), core, true, &effects);
    Run(std::move(effects));
  };
  events.down = [this, core] {
    Replica::Effects effects;
    replica_->OnPeer(Now(), core, false, &effects);
    Run(std::move(effects));
  };
  events.message = [](heaphy::Message) {};
  dialers_[core] = std::make_unique<heaphy::Dialer>(io_, tcp::endpoint(ip, static_cast<uint16_t>(options_.port)), std::move(events));
}

void CoreNode::SendCores(const heaphy::Message& message) {
  for (auto& [core, dialer] : dialers_) dialer->Send(message);
}

// Effects are run when the copy's call has returned; what they bring about comes after.
void CoreNode::Run(Replica::Effects effects) {
  effects_.push_back(std::move(effects));
  if (running_) return;
  running_ = true;
  while (!effects_.empty()) {
    Replica::Effects now = std::move(effects_.front());
    effects_.pop_front();
    for (auto& [core, message] : now.sends) {
      auto it = dialers_.find(core);
      if (it != dialers_.end()) it->second->Send(message);
    }
    for (auto& store : now.stores) {
      for (const std::string& core : store.cores) Dial(core);
      if (store.counts) Log("counts_again").Add("role", options_.role);
      if (disk_) {
        disk_->Store(std::move(store));
      } else {
        asio::post(io_, [this, batch = store.batch] {
          Replica::Effects more;
          replica_->OnStored(Now(), batch, true, &more);
          Run(std::move(more));
        });
      }
    }
    if (!now.applied.empty()) events_.applied(now.applied);
    if (!now.applied.empty() || !now.safe.empty()) shown_sums_.clear();
    const auto& news = options_.show_safe_only ? now.safe : now.applied;
    if (!news.empty()) News(news);
    for (auto& [ticket, outcome] : now.done) {
      auto it = waiting_.find(ticket);
      if (it == waiting_.end()) continue;
      Outcome then = std::move(it->second);
      waiting_.erase(it);
      then(outcome);
    }
  }
  running_ = false;
}

void CoreNode::Write(const std::vector<luxmore::Item>& items, Outcome then) {
  uint64_t ticket = ++last_ticket_;
  waiting_[ticket] = std::move(then);
  Replica::Effects effects;
  replica_->Write(Now(), ticket, items, &effects);
  Run(std::move(effects));
}

void CoreNode::Fresh(Outcome then) {
  uint64_t ticket = ++last_ticket_;
  waiting_[ticket] = std::move(then);
  Replica::Effects effects;
  replica_->Fresh(Now(), ticket, &effects);
  Run(std::move(effects));
}

void CoreNode::Forget(const std::string& key) {
  replica_->Forget(key);
  if (disk_) disk_->Erase(key);
}

std::optional<luxmore::Item> CoreNode::Shown(const std::string& key) const {
  if (key.compare(0, options_.shown_prefix.size(), options_.shown_prefix) != 0) return std::nullopt;
  auto it = replica_->entries().find(key);
  if (it == replica_->entries().end()) return std::nullopt;
  const Replica::Entry& entry = it->second;
  if (!options_.show_safe_only || entry.safe) return entry.item;
  if (entry.has_shown) return entry.shown;
  return std::nullopt;
}

// What comes at about the same time goes out in one change, the same bytes to all.
void CoreNode::News(const std::vector<std::string>& keys) {
  bool first = news_.empty();
  news_.insert(keys.begin(), keys.end());
  if (!first) return;
  gather_.expires_after(kGather);
  gather_.async_wait([this](error_code cancelled) {
    if (!cancelled) PushNews();
  });
}

void CoreNode::PushNews() {
  std::set<std::string> keys;
  keys.swap(news_);
  auto push_of = [&](const std::string* up_to) {
    heaphy::Push push;
    for (const std::string& key : keys) {
      if (up_to && key > *up_to) continue;  // it comes with the list
      if (auto item = Shown(key)) push.items.push_back(std::move(*item));
    }
    push.number = pushed_;
    return push;
  };
  ++pushed_;
  heaphy::Push push = push_of(nullptr);
  if (push.items.empty()) return;
  std::string frame = heaphy::Encode(push);
  for (auto& [peer, follower] : followers_) {
    if (follower.listed) {
      host_.SendFrame(peer, frame);
    } else if (follower.listing) {
      heaphy::Push part = push_of(&follower.cursor);
      if (part.items.empty()) continue;
      host_.Send(peer, part);
    } else {
      continue;
    }
    follower.pushed = pushed_;
  }
}

const std::vector<uint64_t>& CoreNode::ShownSums() {
  if (shown_sums_.empty()) {
    shown_sums_.assign(messages::kListRanges, 0);
    for (const auto& [key, entry] : replica_->entries()) {
      if (auto item = Shown(key)) shown_sums_[messages::RangeOf(key, shown_sums_.size())] ^= messages::DigestOf(*item);
    }
  }
  return shown_sums_;
}

// What it lacks, once this copy holds all that a majority does.
void CoreNode::List(uint64_t peer, Follower* follower) {
  if (follower->listed || !follower->asked || !replica_->complete()) return;
  follower->listing = true;
  heaphy::Push push;
  size_t bytes = 0;
  const auto& entries = replica_->entries();
  for (auto it = entries.upper_bound(follower->cursor); it != entries.end() && bytes < kPushBytes; ++it) {
    follower->cursor = it->first;
    if (!follower->ranges[messages::RangeOf(it->first, follower->ranges.size())]) continue;
    auto item = Shown(it->first);
    if (!item) continue;
    bytes += it->first.size() + item->body.size() + 32;
    push.items.push_back(std::move(*item));
  }
  if (!push.items.empty()) {
    push.number = follower->pushed = follower->part = ++pushed_;
    push.full = true;
    host_.Send(peer, push);
    if (bytes >= kPushBytes) return;  // on with its acknowledgement
  }
  follower->listing = false;
  follower->listed = true;
  host_.Send(peer, StateNow());
}

heaphy::State CoreNode::StateNow() const {
  heaphy::State state;
  state.gateways = static_cast<uint32_t>(gateways_.size());
  if (gateways_.size() <= kMostNamed) state.members = gateways_;
  state.complete = true;
  state.cores.assign(replica_->cores().begin(), replica_->cores().end());
  return state;
}

void CoreNode::TellState() {
  heaphy::State state = StateNow();
  if (state.gateways == told_.gateways && state.cores == told_.cores && state.members == told_.members) return;
  told_ = state;
  for (auto& [peer, follower] : followers_) {
    if (follower.listed) host_.Send(peer, state);
  }
}

// How far gateways are with what was pushed to them, by their acknowledgements.
void CoreNode::Figures() const {
  size_t behind = 0;
  for (const auto& [peer, follower] : followers_) behind += follower.acknowledged < follower.pushed;
  Log("figures").Add("role", options_.role).Add("items", replica_->entries().size()).Add("cores", cores_in_.size() + 1)
      .Add("gateways", followers_.size()).Add("pushed", pushed_).Add("behind", behind);
}

void CoreNode::Tick() {
  Replica::Effects effects;
  replica_->OnTime(Now(), &effects);
  Run(std::move(effects));
  for (auto& [peer, follower] : followers_) {
    if (!follower.listing) List(peer, &follower);
  }
  events_.tick();
  TellState();
  if (++ticks_ % kFiguresEvery == 0) Figures();
  timer_.expires_after(std::chrono::milliseconds(100));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) Tick();
  });
}

}  // namespace ivygw::rees
