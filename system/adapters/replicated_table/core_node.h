// The driver of a replicated table: runs a Replica on its disk, connects it to the other cores, and publishes
// it to the gateways. What the items mean is up to the table's owner. One thread, that of the event loop.
#ifndef IVYGW_SYSTEM_REPLICATED_TABLE_CORE_NODE_H_
#define IVYGW_SYSTEM_REPLICATED_TABLE_CORE_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/settings.h"
#include "replicated_table/known_cores.h"
#include "replicated_table/publisher.h"
#include "replication/replica.h"
#include "storage/table_store.h"
#include "transport/links.h"

namespace ivygw::replicated_table {

class CoreNode {
 public:
  struct Options {
    std::string role;              // the name of the table's owner, which peers must share
    int port = 0;                  // internal; the same on every core machine
    std::string published_prefix;  // of the keys that gateways are shown; empty: all
  };
  struct Events {
    std::function<void(uint64_t peer, const Subscriber&)> subscriber_up = [](uint64_t, const auto&) {};
    std::function<void(uint64_t peer, const Subscriber&)> subscriber_down = [](uint64_t, const auto&) {};
    // What isn't the table's own: of gateways, of the other process of this machine, of other cores.
    std::function<void(uint64_t peer, messages::Message)> message = [](uint64_t, const messages::Message&) {};
    std::function<void(const std::string& core, messages::Message)> core_message =
        [](const std::string&, const messages::Message&) {};
    std::function<void()> membership_changed = [] {};
    std::function<void()> tick = [] {};  // some ten times a second
  };
  // `policy` outlives this. Throws as TableDisk's constructor (storage::StoreUnavailable: to be tried again),
  // and boost::system::system_error where nothing can be listened on.
  CoreNode(asio::io_context& io, const process::Settings& settings, Options options,
           replication::CommandPolicy* policy, Events events);

  // The loop may go on: what it still holds of this does nothing any more.
  ~CoreNode() { *alive_ = false; }
  CoreNode(const CoreNode&) = delete;
  CoreNode& operator=(const CoreNode&) = delete;

  using OnCompletion = std::function<void(const replication::Completion&)>;
  // A command to write these items, all or none.
  void Write(std::vector<messages::Item> items, OnCompletion then);
  // Ends kDone once this copy holds all that was decided before the call.
  void Read(OnCompletion then);
  void Prune(const std::vector<messages::Item>& tombstones);
  // Calls may be taken.
  bool HasQuorumContact() const { return replica_->HasQuorumContact(Now()); }
  // Fewer members than there should be: spare cores are still to be added, or there are none.
  bool LacksMembers() const {
    size_t members = replica_->membership().members.size();
    return members > 1 && members < voters_;
  }
  // Whether this core is, of the members that it is connected to, the first by address. What only one member
  // should do falls to it.
  bool IsFirstReachableMember() const;

  const replication::Replica& replica() const { return *replica_; }
  const std::map<uint64_t, Subscriber>& subscribers() const { return publisher_->subscribers(); }
  // The members and the learners, without this core.
  std::set<std::string> OtherCores() const;
  void Send(uint64_t peer, const messages::Message& message) { host_.Send(peer, message); }
  void SendToCores(const messages::Message& message);
  // Of all connections of this process to others.
  transport::LinkMemory* link_memory() { return &link_memory_; }
  // Tells gateways that follow an item that isn't decided yet.
  void PushProvisional(const messages::Item& item) { publisher_->PushProvisional(item); }
  // The gateways that hold a lease, as gateways are told.
  void SetGateways(std::vector<messages::GatewayInfo> gateways) {
    publisher_->SetGateways(std::move(gateways));
  }
  // This process's steady clock.
  TimePoint Now() const { return Clock::now(); }

 private:
  replication::LoadedState OpenStore();
  replication::LoadedState WithoutDisk() const;
  storage::OpenOptions FirstState() const;
  transport::Host::Events HostEvents();
  Publisher::Events PublisherEvents();
  void OnHello(uint64_t peer, const messages::Hello& hello);
  void OnPeerMessage(uint64_t peer, messages::Message message);
  void OnExportMessage(uint64_t peer, const messages::Message& message);
  void OnPeerDisconnected(uint64_t peer);
  void Run(replication::Effects effects);
  void Perform(replication::Effects* effects);
  void Store(replication::StoreBatch batch);
  void OnStored(uint64_t batch);
  void OnMembershipChanged();
  void DialMissing();
  void Dial(const std::string& core);
  void CloseUnneeded();
  messages::Hello MakeHello() const;
  void Tick();
  void ArmWake();
  void LogFigures() const;

  asio::io_context& io_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  const process::Settings settings_;
  const Options options_;
  Events events_;
  const uint64_t incarnation_;
  const size_t voters_;                         // how many members there should be
  std::unique_ptr<storage::TableStore> store_;  // null without a data directory
  std::unique_ptr<replication::Replica> replica_;
  std::unique_ptr<Publisher> publisher_;
  transport::LinkMemory link_memory_;
  transport::Host host_;
  KnownCores known_;
  std::map<std::string, std::unique_ptr<transport::Dialer>>
      dialers_;                                    // what is sent to a core goes over these
  std::map<uint64_t, std::string> inbound_cores_;  // connections that other cores have dialled
  std::set<uint64_t> exports_;                     // peers that copy the table for an operator
  std::map<uint64_t, OnCompletion> waiting_;       // by ticket
  std::deque<replication::Effects> effects_;
  bool running_ = false;
  uint64_t last_ticket_ = 0, ticks_ = 0;
  asio::steady_timer tick_timer_, wake_timer_;
  std::optional<TimePoint> wake_at_;
};

}  // namespace ivygw::replicated_table

#endif  // IVYGW_SYSTEM_REPLICATED_TABLE_CORE_NODE_H_
