#include "control_client/core_connections.h"

#include <algorithm>

#include "base/random_id.h"

namespace ivygw::control_client {

using discovery::Table;

namespace {

constexpr int kLinkMemoryParts = 8;  // one of which is for what connections hold
constexpr auto kListTimeout = std::chrono::milliseconds(400);
// A core without quorum contact is not asked again for so long; it lists by itself once it has contact.
constexpr auto kRefusalMemory = std::chrono::milliseconds(400);
// For how long an address that no core names any more is dialled on.
constexpr auto kForgottenAfter = std::chrono::seconds(60);

}  // namespace

CoreConnections::CoreConnections(asio::io_context& io, const process::Settings& settings, Events events)
    : io_(io),
      settings_(settings),
      events_(std::move(events)),
      incarnation_(RandomId()),
      link_memory_(process::PartOfMemory(settings, kLinkMemoryParts)) {
  for (const std::string& seed : settings.seeds) seeds_.insert(process::HostOf(seed));
  for (const std::string& core : seeds_) Dial(core);
}

messages::Hello CoreConnections::MakeHello() const {
  messages::Hello hello;
  hello.node = settings_.ip;
  hello.role = "proxy";
  hello.zone = settings_.zone;
  hello.incarnation = incarnation_;
  return hello;
}

void CoreConnections::Dial(const std::string& core) {
  named_at_[core] = Clock::now();
  for (Table table : {Table::kBackends, Table::kConfiguration}) Dial(core, table);
}

void CoreConnections::Dial(const std::string& core, Table table) {
  Key key(core, table);
  if (dialers_.count(key)) return;
  error_code bad;
  asio::ip::address ip = asio::ip::make_address(core, bad);
  if (bad) return;
  transport::Dialer::Events events;
  events.up = [this, key] {
    dialers_.at(key)->Send(MakeHello());
    if (key.second == Table::kBackends) events_.registry(key.first, true);
    if (list_requests_[key.second].core.empty()) RequestNextList(key.second);
  };
  events.down = [this, key] {
    if (key.second == Table::kBackends) events_.registry(key.first, false);
    named_by_.erase(key);
    ListRequest& request = list_requests_[key.second];
    request.done.erase(key.first);
    request.refused.erase(key.first);
    if (request.core == key.first) RequestNextList(key.second);
  };
  events.message = [this, key](messages::Message message) {
    if (const auto* push = std::get_if<messages::Push>(&message)) {
      events_.push(key.second, key.first, *push);
      if (push->number != messages::kProvisionalPush) dialers_.at(key)->Send(messages::PushAck{push->number});
    } else if (const auto* state = std::get_if<messages::CoreStatus>(&message)) {
      OnStatus(key, *state);
    } else if (const auto* grants = std::get_if<messages::QuotaGrants>(&message)) {
      events_.grants(key.first, *grants);
    }
  };
  int port = settings_.first_port + (table == Table::kBackends ? 0 : 1);
  dialers_[key] = std::make_unique<transport::Dialer>(
      io_, &link_memory_, tcp::endpoint(ip, static_cast<uint16_t>(port)), std::move(events));
}

void CoreConnections::OnStatus(const Key& key, const messages::CoreStatus& state) {
  if (key.second == Table::kBackends && state.epoch >= epoch_) {
    epoch_ = state.epoch;
    voters_ = {state.voters.begin(), state.voters.end()};
  }
  named_by_[key] = state.cores;
  events_.state(key.second, key.first, state);
  for (const std::string& core : state.cores) Dial(core);
  ListRequest& request = list_requests_[key.second];
  if (state.list_complete) {
    request.done.insert(key.first);
    request.refused.erase(key.first);
  } else {
    request.refused[key.first] = Clock::now();
  }
  if (request.core == key.first) RequestNextList(key.second);
}

// Requests a list from the next core that is connected and has not sent its list yet. The request to a core
// that takes long stands, and another core is asked as well.
void CoreConnections::RequestNextList(Table table) {
  ListRequest& request = list_requests_[table];
  std::string before = request.core;
  request.core.clear();
  bool left = false;  // one that may be asked later
  for (auto& [key, dialer] : dialers_) {
    if (key.second != table || !dialer->up() || request.done.count(key.first)) continue;
    auto refused = request.refused.find(key.first);
    bool lately = refused != request.refused.end() && Clock::now() < refused->second + kRefusalMemory;
    left = true;
    if (lately || key.first == before) continue;
    request.core = key.first;
    dialer->Send(messages::RangeDigests{events_.digests(table)});
    break;
  }
  if (!left) return;
  if (!request.timeout) request.timeout = std::make_unique<asio::steady_timer>(io_);
  request.timeout->expires_after(kListTimeout);
  request.timeout->async_wait([this, table](error_code cancelled) {
    if (!cancelled) RequestNextList(table);
  });
}

std::set<std::string> CoreConnections::NamedCores() const {
  std::set<std::string> named = seeds_;
  for (const auto& [key, cores] : named_by_) named.insert(cores.begin(), cores.end());
  return named;
}

void CoreConnections::OnTime() {
  // While no core is connected nothing shows that an address is no longer that of a core.
  bool in_touch =
      std::any_of(dialers_.begin(), dialers_.end(), [](const auto& entry) { return entry.second->up(); });
  std::set<std::string> named = NamedCores();
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

void CoreConnections::Send(const std::string& core, const messages::Message& message) {
  auto it = dialers_.find({core, Table::kBackends});
  if (it != dialers_.end()) it->second->Send(message);
}

std::vector<std::string> CoreConnections::Allocators() const {
  std::vector<std::string> allocators;
  for (const auto& [key, dialer] : dialers_) {
    bool lends = voters_.empty() || voters_.count(key.first) > 0;
    if (key.second == Table::kBackends && dialer->up() && lends) allocators.push_back(key.first);
  }
  return allocators;
}

}  // namespace ivygw::control_client
