// Publishes a table to the gateways that subscribe to it: a list of what each lacks once it asks, then every
// change as it comes. Messages are numbered and their acknowledgements counted. One thread, that of the event
// loop.
//
// A list proves that nothing which was decided before the gateway asked is missing from it: it begins only
// after a read that was started later than the request, and ends only while this core has quorum contact.
#ifndef IVYGW_SYSTEM_REPLICATED_TABLE_PUBLISHER_H_
#define IVYGW_SYSTEM_REPLICATED_TABLE_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "messages/control.h"
#include "net/clock.h"
#include "net/http.h"
#include "replication/replica.h"

namespace ivygw::replicated_table {

// A gateway that subscribes to the table.
struct Subscriber {
  std::string node, zone;
  uint64_t incarnation = 0;
  uint64_t pushed = 0, acknowledged = 0;  // numbers of messages
  bool listed = false;                    // has been given a list, and so is pushed every change
  enum class List { kNone, kRequested, kInProgress };
  List list = List::kNone;
  uint64_t request_number = 0;          // the number of its last question
  std::vector<uint64_t> known_digests;  // digests by range, as it told; empty: not known
  std::vector<bool> differing_ranges;   // by range: what the list under way is of
  std::string cursor;                   // the last key that has been listed
  uint64_t list_revision = 0;           // of the table, when the list began
  uint64_t part = 0;                    // the number of the part that is out
};

class Publisher {
 public:
  struct Events {
    std::function<void(uint64_t peer, const messages::Message&)> send;
    std::function<void(uint64_t peer, const std::string& frame)> send_frame;
    // Ends with true once the table holds all that was decided before the call.
    std::function<void(std::function<void(bool fresh)> then)> read;
    std::function<bool()> has_quorum_contact;
  };
  // `published_prefix`: of the keys that gateways are shown; empty: all. `replica` outlives this.
  Publisher(asio::io_context& io, const replication::Replica& replica, std::string published_prefix,
            Events events);

  ~Publisher() { *alive_ = false; }
  Publisher(const Publisher&) = delete;
  Publisher& operator=(const Publisher&) = delete;

  // `peer`: a number for the connection.
  const Subscriber& OnSubscriberUp(uint64_t peer, const messages::Hello& hello);
  void OnSubscriberDown(uint64_t peer) { subscribers_.erase(peer); }
  void OnRangeDigests(uint64_t peer, const messages::RangeDigests& known_digests);
  void OnPushAck(uint64_t peer, const messages::PushAck& ack);

  // Of Replica's effects.
  void OnChanged(const std::vector<std::string>& keys, bool reset);
  // Pushes an item that isn't decided yet to subscribers that have their list, or are being given it. It is
  // not kept here.
  void PushProvisional(const messages::Item& item);
  // The gateways that hold a lease.
  void SetGateways(std::vector<messages::GatewayInfo> gateways) { gateways_ = std::move(gateways); }
  // All cores that gateways should hold connections to.
  void SetCores(std::vector<std::string> cores) { cores_ = std::move(cores); }
  // Some ten times a second: lists that wait for contact, and news of the state.
  void OnTime();

  const std::map<uint64_t, Subscriber>& subscribers() const { return subscribers_; }
  uint64_t pushed() const { return last_push_; }

 private:
  bool IsPublished(const std::string& key) const;
  const std::vector<uint64_t>& PublishedDigests();
  void ScheduleBatch();
  void PushChanges();
  void PushDecided(const std::set<std::string>& keys);
  void PushUndecided(const std::map<std::string, messages::Item>& provisional);
  messages::Push ChangesFor(const std::set<std::string>& keys, const Subscriber* listing) const;
  void AnswerRequests();
  void BeginList(uint64_t peer, Subscriber* subscriber);
  void ContinueList(uint64_t peer, Subscriber* subscriber);
  void EndList(uint64_t peer, Subscriber* subscriber);
  messages::CoreStatus CurrentStatus() const;
  void SendStatusIfChanged();

  const replication::Replica& replica_;
  const std::string published_prefix_;
  Events events_;
  std::map<uint64_t, Subscriber> subscribers_;
  std::vector<messages::GatewayInfo> gateways_;
  std::vector<std::string> cores_;
  messages::CoreStatus sent_status_;

  // What came within a short time goes out in one message, the same bytes to all.
  std::set<std::string> changed_keys_;
  std::map<std::string, messages::Item> provisional_;
  asio::steady_timer batch_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  uint64_t last_push_ = 0;

  std::vector<uint64_t> published_digests_;  // empty: to be computed anew
  uint64_t last_request_ = 0;
  uint64_t confirmed_request_ = 0;  // the table holds all that was decided before this one
  bool reading_ = false;
};

}  // namespace ivygw::replicated_table

#endif  // IVYGW_SYSTEM_REPLICATED_TABLE_PUBLISHER_H_
