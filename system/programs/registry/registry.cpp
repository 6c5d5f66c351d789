#include "registry/registry.h"

#include <algorithm>

#include "config_model/json.h"
#include "drain/drain_manager.h"
#include "net/address.h"
#include "process/log.h"
#include "registry/call_target.h"

namespace ivygw::registry {

using config_model::ErrorBody;
using replicated_table::CoreNode;
using replicated_table::Subscriber;

namespace {

constexpr char kRole[] = "registry";
constexpr Duration kForwardTimeout{1.5};  // for the store of configuration to answer
constexpr Duration kStopTimeout = kForwardTimeout + Duration(0.5);  // at most
constexpr size_t kLongestCall = size_t{16} << 20;                   // bytes of a call's body
// One part is for the bodies of calls, the rest for the table, the gateways' connections, and calls on their
// way to the store.
constexpr int kMemoryParts = 8;
constexpr char kTooLong[] = "body: over 16 MiB";
constexpr char kNoMemory[] = "limits.memory_mb: no memory for this call now";
// Ticks, of some 0.1 s.
constexpr uint64_t kSeenInterval = 5;
constexpr uint64_t kExpiryInterval = 20;
constexpr uint64_t kPruneInterval = 20;

tcp::endpoint StoreAddress(const process::Settings& settings) {
  return {asio::ip::make_address(settings.ip), static_cast<uint16_t>(settings.first_port + 1)};
}

}  // namespace

Registry::Registry(asio::io_context& io, const process::Settings& settings)
    : address_(settings.ip),
      node_(io, settings, {kRole, settings.first_port, kBackendPrefix}, &policy_, NodeEvents()),
      backends_(&node_),
      quota_(&node_, settings.ip, settings.initial_boot),
      memory_(process::PartOfMemory(settings, kMemoryParts)),
      server_(io, process::MaxClients(settings), &memory_, ServerEvents()),
      store_(std::make_unique<transport::Dialer>(io, node_.link_memory(), StoreAddress(settings),
                                                 StoreEvents())),
      stop_timeout_(std::min(kStopTimeout, Duration(drain::DrainSchedule::ForGrace(settings.grace_s).end))) {
  if (!settings.control_plane.empty())
    server_.Listen(ParseAddress("listen_addresses.control_plane", settings.control_plane));
}

void Registry::Stop(std::function<void()> ended) {
  if (ended_) return;
  ended_ = std::move(ended);
  stop_deadline_ = node_.Now() + stop_timeout_;
  server_.StopAccepting();
  server_.AskToClose(true);
  server_.CloseIdle();
}

void Registry::EndIfQuiet(TimePoint now) {
  if (ended_ && (server_.Quiet() || now >= stop_deadline_)) ended_();
}

// --- Events ---

CoreNode::Events Registry::NodeEvents() {
  CoreNode::Events events;
  events.subscriber_up = [this](uint64_t, const Subscriber& subscriber) {
    gateways_.OnConnected(subscriber.node, subscriber.zone);
  };
  events.subscriber_down = [this](uint64_t, const Subscriber& gone) { OnSubscriberDown(gone); };
  events.message = [this](uint64_t peer, const messages::Message& message) {
    if (const auto* report = std::get_if<messages::UsageReport>(&message))
      quota_.OnUsageReport(peer, *report);
  };
  events.core_message = [this](const std::string& core, const messages::Message& message) {
    if (const auto* seen = std::get_if<messages::BackendsSeen>(&message))
      backends_.OnBackendsSeen(node_.Now(), core, *seen);
  };
  events.membership_changed = [this] { quota_.OnMembershipChanged(); };
  events.tick = [this] { Tick(); };
  return events;
}

void Registry::OnSubscriberDown(const Subscriber& gone) {
  bool connected = std::any_of(node_.subscribers().begin(), node_.subscribers().end(),
                               [&](const auto& entry) { return entry.second.node == gone.node; });
  if (!connected) gateways_.OnDisconnected(node_.Now(), gone.node, gone.zone);
}

ClientServer::Events Registry::ServerEvents() {
  return {[this](uint64_t connection, ClientMessage message) { OnCall(connection, std::move(message)); },
          [this](uint64_t connection, bool) {
            incomplete_.erase(connection);
            forwarded_.Forget(connection);
          },
          [this](uint64_t connection, const std::string& bytes, bool last) {
            OnCallBody(connection, bytes, last);
          }};
}

transport::Dialer::Events Registry::StoreEvents() {
  transport::Dialer::Events events;
  events.up = [this] {
    messages::Hello hello;
    hello.node = address_;
    hello.role = kRole;
    store_->Send(hello);
  };
  events.down = [this] { OnStoreLost(); };
  events.message = [this](const messages::Message& message) { OnStoreMessage(message); };
  return events;
}

// What was forwarded may have been taken.
void Registry::OnStoreLost() {
  for (uint64_t connection : forwarded_.TakeAll())
    Reply(connection, 503, ErrorBody("may have been taken: the store has gone"));
}

void Registry::OnStoreMessage(const messages::Message& message) {
  const auto* result = std::get_if<messages::ForwardedCallResult>(&message);
  if (!result) return;
  if (std::optional<uint64_t> connection = forwarded_.Complete(result->number))
    Reply(*connection, static_cast<int>(result->status), result->body);
}

void Registry::Tick() {
  TimePoint now = node_.Now();
  ++ticks_;
  quota_.OnTime(now);
  if (ticks_ % kSeenInterval == 0) node_.SendToCores(backends_.TakeBackendsSeen());
  if (ticks_ % kExpiryInterval == 0) backends_.ExpireSilent(now);
  if (ticks_ % kPruneInterval == 0) backends_.PruneTombstones(now);
  ExpireForwardedCalls(now);
  node_.SetGateways(gateways_.Alive(now));
  EndIfQuiet(now);
}

// --- Calls ---

void Registry::OnCall(uint64_t connection, ClientMessage message) {
  if (!message.more) return Dispatch(connection, message);
  if (message.length.value_or(0) > kLongestCall) return Refuse(connection, 413, kTooLong);
  IncompleteCall& call = incomplete_.try_emplace(connection, &memory_).first->second;
  call.message = std::move(message);
  server_.ReadBody(connection);
}

void Registry::OnCallBody(uint64_t connection, const std::string& bytes, bool last) {
  auto it = incomplete_.find(connection);
  if (it == incomplete_.end()) return;
  std::string& body = it->second.message.body;
  body += bytes;
  it->second.share.Hold(body.capacity());
  if (body.size() > kLongestCall) return Refuse(connection, 413, kTooLong);
  if (memory_.Full()) return Refuse(connection, 503, kNoMemory);
  if (!last) return server_.ReadBody(connection);
  ClientMessage message = std::move(it->second.message);
  incomplete_.erase(it);
  Dispatch(connection, message);
}

// Of a call whose body is not whole: nothing of it has been passed on.
void Registry::Refuse(uint64_t connection, int status, const std::string& fault) {
  incomplete_.erase(connection);
  process::Log("call_refused").Add("fault", fault).Add("memory_mb", memory_.used() >> 20);
  Reply(connection, status, ErrorBody(fault));
}

void Registry::Dispatch(uint64_t connection, const ClientMessage& message) {
  CallTarget target = ParseCallTarget(View(message.head.target()));
  if (target.segments != std::vector<std::string>{"ivygw", "rpc"})
    return Reply(connection, 404, ErrorBody("path: is not known"));
  if (message.head.method() != http::verb::post)
    return Reply(connection, 405, ErrorBody("method: POST is wanted"));
  std::string call = target.Parameter("call");
  std::string id = target.Parameter("of");
  bool of_backend = call == "backends.heartbeat" || call == "backends.deregister";
  if (of_backend && id.empty()) return Reply(connection, 400, ErrorBody("of: missing"));
  if (call == "backends.heartbeat") return backends_.Heartbeat(id, message.body, AnswerTo(connection));
  if (call == "backends.deregister") return backends_.Deregister(id, AnswerTo(connection));
  if (call == "configuration.modify" || call == "configuration.show")
    return ForwardToStore(connection, call, message.body);
  Reply(connection, 404, ErrorBody("call: is not known"));
}

Answer Registry::AnswerTo(uint64_t connection) {
  return [this, connection](int status, std::string body) { Reply(connection, status, std::move(body)); };
}

void Registry::Reply(uint64_t connection, int status, std::string body) {
  ivygw::Answer answer;
  answer.status = status;
  answer.headers = "Content-Type: application/json\r\n";
  answer.body = std::move(body);
  server_.Reply(connection, answer);
}

void Registry::ForwardToStore(uint64_t connection, const std::string& name, const std::string& body) {
  if (!store_->up()) return Reply(connection, 503, ErrorBody("the store is not there"));
  double deadline = SecondsOf(node_.Now() + kForwardTimeout);
  store_->Send(messages::ForwardedCall{forwarded_.Add(connection, deadline), name, body});
}

void Registry::ExpireForwardedCalls(TimePoint now) {
  for (uint64_t connection : forwarded_.TakeExpired(SecondsOf(now)))
    Reply(connection, 503, ErrorBody("may have been taken: the store is silent"));
}

}  // namespace ivygw::registry
