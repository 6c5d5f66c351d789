#include "dart/followers.h"

#include <random>

namespace ivygw::dart {

using cascade::Table;

namespace {

constexpr auto kListPatience = std::chrono::milliseconds(400);

uint64_t Draw() {
  std::random_device source;
  return uint64_t{source()} << 32 | source();
}

}  // namespace

Followers::Followers(asio::io_context& io, const rakiura::Settings& settings, Events events)
    : io_(io), settings_(settings), events_(std::move(events)), boot_(Draw()) {
  std::set<std::string> cores;
  for (const std::string& seed : settings.seeds) cores.insert(rakiura::HostOf(seed));
  Know(cores);
}

void Followers::Know(const std::set<std::string>& cores) {
  for (const std::string& core : cores) {
    for (Table table : {Table::kBackends, Table::kConfiguration}) Dial(core, table);
  }
}

void Followers::Dial(const std::string& core, Table table) {
  auto key = std::make_pair(core, table);
  if (dialers_.count(key)) return;
  error_code bad;
  asio::ip::address ip = asio::ip::make_address(core, bad);
  if (bad) return;
  heaphy::Dialer::Events events;
  events.up = [this, key] {
    heaphy::Hello hello;
    hello.node = settings_.ip;
    hello.role = "milford";
    hello.zone = settings_.zone;
    hello.boot = boot_;
    dialers_.at(key)->Send(hello);
    if (key.second == Table::kBackends) events_.registry(key.first, true);
    if (asking_[key.second].core.empty()) AskNext(key.second);
  };
  events.down = [this, key] {
    if (key.second == Table::kBackends) events_.registry(key.first, false);
    Asking& asking = asking_[key.second];
    asking.done.erase(key.first);
    if (asking.core == key.first) AskNext(key.second);
  };
  events.message = [this, key](heaphy::Message message) {
    if (const auto* push = std::get_if<heaphy::Push>(&message)) {
      events_.push(key.second, key.first, *push);
      dialers_.at(key)->Send(heaphy::PushAck{push->number});
    } else if (const auto* state = std::get_if<heaphy::State>(&message)) {
      events_.state(key.second, key.first, *state);
      Asking& asking = asking_[key.second];
      asking.done.insert(key.first);
      if (asking.core == key.first) AskNext(key.second);
    } else if (const auto* loans = std::get_if<heaphy::Loans>(&message)) {
      events_.loans(key.first, *loans);
    }
  };
  int port = settings_.first_port + (table == Table::kBackends ? 0 : 1);
  dialers_[key] = std::make_unique<heaphy::Dialer>(io_, tcp::endpoint(ip, static_cast<uint16_t>(port)), std::move(events));
}

// The next that is in touch and has not given its list. One that takes long stays asked, and another is asked beside it.
void Followers::AskNext(Table table) {
  Asking& asking = asking_[table];
  std::string before = asking.core;
  asking.core.clear();
  for (auto& [key, dialer] : dialers_) {
    if (key.second != table || !dialer->up() || asking.done.count(key.first) || key.first == before) continue;
    asking.core = key.first;
    dialer->Send(heaphy::Have{events_.have(table)});
    break;
  }
  if (asking.core.empty()) return;
  if (!asking.patience) asking.patience = std::make_unique<asio::steady_timer>(io_);
  asking.patience->expires_after(kListPatience);
  asking.patience->async_wait([this, table](error_code cancelled) {
    if (!cancelled) AskNext(table);
  });
}

void Followers::Send(const std::string& core, const heaphy::Message& message) {
  auto it = dialers_.find({core, Table::kBackends});
  if (it != dialers_.end()) it->second->Send(message);
}

std::vector<std::string> Followers::registries() const {
  std::vector<std::string> out;
  for (const auto& [key, dialer] : dialers_) {
    if (key.second == Table::kBackends && dialer->up()) out.push_back(key.first);
  }
  return out;
}

}  // namespace ivygw::dart
