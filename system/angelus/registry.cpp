#include "angelus/registry.h"

#include "kepler/json.h"
#include "net/address.h"
#include "rakiura/log.h"

namespace ivygw::angelus {

using cascade::Backend;
using kepler::ErrorBody;
using luxmore::Item;
using luxmore::Replica;
using rakiura::Log;

namespace {

constexpr double kLease = 3;       // s, for which a gateway counts as a member after its connection has ended
constexpr double kKeepGone = 60;   // s, for which it is known that a backend has gone
constexpr double kPassed = 1.5;    // s, for the store to answer

// The parts of a target: its path's segments and its query.
struct Target {
  std::vector<std::string> segments;
  std::map<std::string, std::string> query;
};
Target Split(std::string_view text) {
  Target out;
  size_t mark = text.find('?');
  std::string_view path = text.substr(0, mark);
  while (!path.empty()) {
    size_t slash = path.find('/');
    if (slash != 0 && !path.substr(0, slash).empty()) out.segments.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) break;
    path.remove_prefix(slash + 1);
  }
  std::string_view query = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
  while (!query.empty()) {
    size_t end = std::min(query.find('&'), query.size());
    std::string_view part = query.substr(0, end);
    size_t is = std::min(part.find('='), part.size());
    out.query[std::string(part.substr(0, is))] = std::string(part.substr(std::min(is + 1, part.size())));
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return out;
}

}  // namespace

Registry::Registry(asio::io_context& io, const rakiura::Settings& settings)
    : io_(io),
      self_(settings.ip),
      node_(io, settings, {"angelus", settings.first_port, false, kBackends}, [this] {
        rees::CoreNode::Events events;
        events.follower_up = [this](uint64_t, const rees::CoreNode::Follower& follower) { members_[follower.node] = {follower.zone, 1e300}; };
        events.follower_down = [this](uint64_t, const rees::CoreNode::Follower& gone) {
          for (const auto& [peer, follower] : node_.followers()) {
            if (follower.node == gone.node) return;
          }
          members_[gone.node] = {gone.zone, node_.Now() + kLease};
        };
        events.message = [this](uint64_t peer, heaphy::Message message) {
          const auto* report = std::get_if<heaphy::Report>(&message);
          if (report) Lend(peer, *report);
        };
        events.core_message = [this](const std::string& core, heaphy::Message message) {
          if (const auto* heard = std::get_if<heaphy::Heard>(&message)) heard_.OnTold(node_.Now(), core, heard->ids);
        };
        events.tick = [this] { Tick(); };
        return events;
      }()),
      memory_(size_t{32} << 20),
      lender_(node_.Now(), settings.initial_boot),
      server_(io, static_cast<size_t>(std::clamp((settings.descriptors - 250) * 6 / 10, 64, 20000)), &memory_,
              {[this](uint64_t connection, ClientMessage message) { OnCall(connection, std::move(message)); },
               [this](uint64_t connection, bool) {
                 reading_.erase(connection);
                 passed_.Forget(connection);
               },
               [this](uint64_t connection, std::string bytes, bool last) {
                 auto it = reading_.find(connection);
                 if (it == reading_.end()) return;
                 it->second.body += bytes;
                 if (!last) return server_.ReadBody(connection);
                 ClientMessage message = std::move(it->second);
                 reading_.erase(it);
                 Dispatch(connection, message);
               }}) {
  heaphy::Dialer::Events events;
  events.up = [this, settings] {
    heaphy::Hello hello;
    hello.node = settings.ip;
    hello.role = "angelus";
    store_->Send(hello);
  };
  events.down = [this] {
    // What was passed on may have been taken.
    for (uint64_t connection : passed_.TakeAll()) Reply(connection, 503, ErrorBody("may have been taken: the store has gone"));
  };
  events.message = [this](heaphy::Message message) {
    const auto* done = std::get_if<heaphy::CallDone>(&message);
    if (!done) return;
    if (auto connection = passed_.Complete(done->number)) Reply(*connection, static_cast<int>(done->status), done->body);
  };
  tcp::endpoint store(asio::ip::make_address(settings.ip), static_cast<uint16_t>(settings.first_port + 1));
  store_ = std::make_unique<heaphy::Dialer>(io, store, std::move(events));
  if (!settings.control_plane.empty()) server_.Listen(ParseAddress("listen_addresses.control_plane", settings.control_plane));
}

void Registry::Stop() {
  server_.StopAccepting();
  server_.AskToClose(true);
  server_.CloseIdle();
}

void Registry::OnCall(uint64_t connection, ClientMessage message) {
  if (!message.more) return Dispatch(connection, message);
  reading_[connection] = std::move(message);
  server_.ReadBody(connection);
}

void Registry::Reply(uint64_t connection, int status, std::string body) {
  Answer answer;
  answer.status = status;
  answer.headers = "Content-Type: application/json\r\n";
  answer.body = std::move(body);
  server_.Reply(connection, std::move(answer));
}

void Registry::Dispatch(uint64_t connection, const ClientMessage& message) {
  Target target = Split(View(message.head.target()));
  if (target.segments != std::vector<std::string>{"ivygw", "rpc"}) return Reply(connection, 404, ErrorBody("path: is not known"));
  if (message.head.method() != http::verb::post) return Reply(connection, 405, ErrorBody("method: POST is wanted"));
  const std::string& call = target.query["call"];
  const std::string& id = target.query["of"];
  bool of_backend = call == "backends.heartbeat" || call == "backends.deregister";
  if (of_backend && id.empty()) return Reply(connection, 400, ErrorBody("of: missing"));
  if (call == "backends.heartbeat") return Beat(connection, id, message.body);
  if (call == "backends.deregister") return Deregister(connection, id, message.body);
  if (call == "configuration.modify" || call == "configuration.show") return Pass(connection, call, message.body);
  Reply(connection, 404, ErrorBody("call: is not known"));
}

void Registry::Beat(uint64_t connection, const std::string& id, const std::string& body) {
  Backend told;
  told.id = id;
  if (std::string fault = cascade::ReadBeat(body, &told); !fault.empty()) {
    Log("beat_refused").Add("backend", id).Add("fault", fault);
    return Reply(connection, 400, ErrorBody(fault));
  }
  heard_.OnBeat(node_.Now(), id);
  const Replica::Entry* known = Find(kBackends + id);
  Entry entry = OnBeat(told, known ? &known->item : nullptr, known && known->safe);
  if (entry.write && !(known && known->item == entry.item)) {
    Log("backend").Add("id", id).Add("service", told.service).Add("address", told.address).Add("draining", told.draining).Add("warm_ms", told.warm_ms);
  }
  Settle(connection, entry);
}

void Registry::Deregister(uint64_t connection, const std::string& id, const std::string& body) {
  Backend told;
  uint64_t sequence = cascade::ReadBeat(body, &told).empty() ? told.sequence : 0;
  const Replica::Entry* known = Find(kBackends + id);
  Log("backend_gone").Add("id", id);
  Settle(connection, OnDeregister(id, sequence, known ? &known->item : nullptr, known && known->safe));
}

const Replica::Entry* Registry::Find(const std::string& key) const {
  auto it = node_.replica().entries().find(key);
  return it == node_.replica().entries().end() ? nullptr : &it->second;
}

void Registry::Settle(uint64_t connection, const Entry& entry) {
  if (!entry.write || !entry.wait) Reply(connection, 200, "{}");
  if (!entry.write) return;
  node_.Write({entry.item}, [this, connection, wait = entry.wait](Replica::Outcome outcome) {
    if (!wait) return;
    if (outcome == Replica::Outcome::kDone) return Reply(connection, 200, "{}");
    Reply(connection, 503, ErrorBody("not yet on a majority of the core"));
  });
}

void Registry::Pass(uint64_t connection, const std::string& name, const std::string& body) {
  if (!store_->up()) return Reply(connection, 503, ErrorBody("the store is not there"));
  store_->Send(heaphy::Call{passed_.Add(connection, node_.Now() + kPassed), name, body});
}

std::string Registry::HolderKey(const std::string& gateway) const { return "holder/" + self_ + "/" + gateway; }

// Whoever is lent something is known as a holder on a majority's disks before, so that a later life of this core, with its
// disk or without, knows whom to wait for.
void Registry::Lend(uint64_t peer, const heaphy::Report& report) {
  auto follower = node_.followers().find(peer);
  if (follower == node_.followers().end() || !node_.replica().complete()) return;
  std::string gateway = follower->second.node, key = HolderKey(gateway);
  auto it = node_.replica().entries().find(key);
  if (it != node_.replica().entries().end() && it->second.safe) {
    if (!holders_told_) {
      holders_told_ = true;
      std::vector<std::string> holders;
      std::string prefix = HolderKey("");
      for (const auto& [other, entry] : node_.replica().entries()) {
        if (other.compare(0, prefix.size(), prefix) == 0) holders.push_back(other.substr(prefix.size()));
      }
      lender_.OnHolders(holders);
    }
    node_.Send(peer, lender_.OnReport(node_.Now(), gateway, follower->second.boot, report, node_.replica().cores().size()));
    return;
  }
  if (!noting_.insert(gateway).second) return;
  Item item;
  item.key = key;
  item.version = 1;
  node_.Write({item}, [this, gateway](Replica::Outcome) { noting_.erase(gateway); });
}

void Registry::DropSilent(double now) {
  std::vector<std::string> ids;
  for (const auto& [key, entry] : node_.replica().entries()) {
    if (key.rfind(kBackends, 0) == 0 && !entry.item.dropped) ids.push_back(key.substr(sizeof(kBackends) - 1));
  }
  std::set<std::string> others = node_.replica().cores();
  others.erase(self_);
  for (const std::string& id : heard_.Silent(now, ids, others)) {
    const Replica::Entry* known = Find(kBackends + id);
    Log("backend_silent").Add("id", id);
    heard_.Forget(id);
    node_.Write({OnSilent(known->item)}, [](Replica::Outcome) {});
  }
}

void Registry::Tick() {
  double now = node_.Now();
  lender_.OnTime(now);
  if (++ticks_ % 5 == 0) node_.SendCores(heaphy::Heard{heard_.News()});
  if (ticks_ % 20 == 0) DropSilent(now);
  if (lending_ != !lender_.Closed(now)) {
    lending_ = !lending_;
    Log(lending_ ? "lending" : "lending_closed").Add("awaited", lender_.awaited()).Add("complete", node_.replica().complete());
  }
  for (uint64_t connection : passed_.TakeOverdue(now)) Reply(connection, 503, ErrorBody("may have been taken: the store is silent"));
  for (auto it = members_.begin(); it != members_.end();) {
    it = now >= it->second.until ? members_.erase(it) : std::next(it);
  }
  std::vector<heaphy::Member> members;
  for (const auto& [member, lease] : members_) members.push_back({member, lease.zone});
  node_.Tell(std::move(members));
  for (const auto& [key, entry] : node_.replica().entries()) {
    if (entry.item.dropped) gone_.try_emplace(key, now);
  }
  for (auto it = gone_.begin(); it != gone_.end();) {
    if (now < it->second + kKeepGone) {
      ++it;
      continue;
    }
    node_.Forget(it->first);
    it = gone_.erase(it);
  }
}

}  // namespace ivygw::angelus
