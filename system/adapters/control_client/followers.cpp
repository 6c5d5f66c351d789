#include "control_client/followers.h"

#include <algorithm>
#include <random>

namespace ivygw::control_client {

using discovery::Table;

namespace {

constexpr auto kListPatience = std::chrono::milliseconds(400);
// For which a core that is out of contact is not asked again; it lists by itself once it is back.
constexpr auto kRefusedFor = std::chrono::milliseconds(400);
// For how long an address that no core names any more is dialled on.
constexpr auto kForgottenAfter = std::chrono::seconds(60);

uint64_t Draw() {
  std::random_device source;
  return uint64_t{source()} << 32 | source();
}

}  // namespace

Followers::Followers(asio::io_context& io, const process::Settings& settings, Events events)
    : io_(io), settings_(settings), events_(std::move(events)), boot_(Draw()) {
  for (const std::string& seed : settings.seeds) seeds_.insert(process::HostOf(seed));
  for (const std::string& core : seeds_) Dial(core);
}

messages::Hello Followers::Greeting() const {
  messages::Hello hello;
  hello.node = settings_.ip;
  hello.role = "proxy";
  hello.zone = settings_.zone;
  hello.boot = boot_;
  return hello;
}

void Followers::Dial(const std::string& core) {
  named_at_[core] = Clock::now();
  for (Table table : {Table::kBackends, Table::kConfiguration}) Dial(core, table);
}

void Followers::Dial(const std::string& core, Table table) {
  Key key(core, table);
  if (dialers_.count(key)) return;
  error_code bad;
  asio::ip::address ip = asio::ip::make_address(core, bad);
  if (bad) return;
  transport::Dialer::Events events;
  events.up = [this, key] {
    dialers_.at(key)->Send(Greeting());
    if (key.second == Table::kBackends) events_.registry(key.first, true);
    if (asking_[key.second].core.empty()) AskNext(key.second);
  };
  events.down = [this, key] {
    if (key.second == Table::kBackends) events_.registry(key.first, false);
    named_by_.erase(key);
    Asking& asking = asking_[key.second];
    asking.done.erase(key.first);
    asking.refused.erase(key.first);
    if (asking.core == key.first) AskNext(key.second);
  };
  events.message = [this, key](messages::Message message) {
    if (const auto* push = std::get_if<messages::Push>(&message)) {
      events_.push(key.second, key.first, *push);
      dialers_.at(key)->Send(messages::PushAck{push->number});
    } else if (const auto* state = std::get_if<messages::State>(&message)) {
      OnState(key, *state);
    } else if (const auto* loans = std::get_if<messages::Loans>(&message)) {
      events_.loans(key.first, *loans);
    }
  };
  int port = settings_.first_port + (table == Table::kBackends ? 0 : 1);
  dialers_[key] = std::make_unique<transport::Dialer>(io_, tcp::endpoint(ip, static_cast<uint16_t>(port)),
                                                      std::move(events));
}

void Followers::OnState(const Key& key, const messages::State& state) {
  if (key.second == Table::kBackends && state.epoch >= epoch_) {
    epoch_ = state.epoch;
    voters_ = {state.voters.begin(), state.voters.end()};
  }
  named_by_[key] = state.cores;
  events_.state(key.second, key.first, state);
  for (const std::string& core : state.cores) Dial(core);
  Asking& asking = asking_[key.second];
  if (state.complete) {
    asking.done.insert(key.first);
    asking.refused.erase(key.first);
  } else {
    asking.refused[key.first] = Clock::now();
  }
  if (asking.core == key.first) AskNext(key.second);
}

// The next that is in touch and has not given its list. One that takes long stays asked, and another is asked
// beside it.
void Followers::AskNext(Table table) {
  Asking& asking = asking_[table];
  std::string before = asking.core;
  asking.core.clear();
  bool left = false;  // one that may be asked later
  for (auto& [key, dialer] : dialers_) {
    if (key.second != table || !dialer->up() || asking.done.count(key.first)) continue;
    auto refused = asking.refused.find(key.first);
    bool lately = refused != asking.refused.end() && Clock::now() < refused->second + kRefusedFor;
    left = true;
    if (lately || key.first == before) continue;
    asking.core = key.first;
    dialer->Send(messages::Have{events_.have(table)});
    break;
  }
  if (!left) return;
  if (!asking.patience) asking.patience = std::make_unique<asio::steady_timer>(io_);
  asking.patience->expires_after(kListPatience);
  asking.patience->async_wait([this, table](error_code cancelled) {
    if (!cancelled) AskNext(table);
  });
}

std::set<std::string> Followers::Named() const {
  std::set<std::string> named = seeds_;
  for (const auto& [key, cores] : named_by_) named.insert(cores.begin(), cores.end());
  return named;
}

void Followers::OnTime() {
  // While no core is in touch nothing tells that an address has lost its meaning.
  bool in_touch =
      std::any_of(dialers_.begin(), dialers_.end(), [](const auto& entry) { return entry.second->up(); });
  std::set<std::string> named = Named();
  for (auto& [core, at] : named_at_) {
    if (!in_touch || named.count(core) > 0) at = Clock::now();
  }
  for (auto it = named_at_.begin(); it != named_at_.end();) {
    if (Clock::now() < it->second + kForgottenAfter) {
      ++it;
      continue;
    }
    for (Table table : {Table::kBackends, Table::kConfiguration}) dialers_.erase(Key(it->first, table));
    it = named_at_.erase(it);
  }
}

void Followers::Send(const std::string& core, const messages::Message& message) {
  auto it = dialers_.find({core, Table::kBackends});
  if (it != dialers_.end()) it->second->Send(message);
}

std::vector<std::string> Followers::Lenders() const {
  std::vector<std::string> lenders;
  for (const auto& [key, dialer] : dialers_) {
    bool lends = voters_.empty() || voters_.count(key.first) > 0;
    if (key.second == Table::kBackends && dialer->up() && lends) lenders.push_back(key.first);
  }
  return lenders;
}

}  // namespace ivygw::control_client
