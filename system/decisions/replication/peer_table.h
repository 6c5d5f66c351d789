// The state of all peers as one core sees it: whether each is connected, and the header of its last message.
// No I/O; not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_PEER_TABLE_H_
#define IVYGW_SYSTEM_REPLICATION_PEER_TABLE_H_

#include <map>
#include <optional>
#include <string>

#include "base/steady_time.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

struct Peer {
  bool connected = false;  // messages can be sent to it
  PeerHeader header;       // of its last message
  std::optional<TimePoint> last_message;
  std::optional<TimePoint> ahead_since;  // since when its revision has exceeded this copy's
};

class PeerTable {
 public:
  void SetConnected(const std::string& address, bool connected) { peers_[address].connected = connected; }

  // `revision` is the last one applied by this core.
  void OnMessage(TimePoint now, const std::string& from, const PeerHeader& header, uint64_t revision) {
    Peer& peer = peers_[from];
    peer.header = header;
    peer.last_message = now;
    bool ahead = header.revision > revision;
    if (!ahead) peer.ahead_since.reset();
    if (ahead && !peer.ahead_since) peer.ahead_since = now;
  }

  // This copy has applied everything up to `revision`.
  void OnAdvanced(uint64_t revision) {
    for (auto& [address, peer] : peers_) {
      if (peer.header.revision <= revision) peer.ahead_since.reset();
    }
  }

  // Returns null if the address is unknown.
  const Peer* Find(const std::string& address) const {
    auto it = peers_.find(address);
    return it == peers_.end() ? nullptr : &it->second;
  }
  // Whether the last message from the member's address came from the member's store.
  bool RunsStoreOf(const Member& member) const {
    const Peer* peer = Find(member.address);
    return peer && peer->header.store_id == member.store_id;
  }
  const std::map<std::string, Peer>& all() const { return peers_; }

 private:
  std::map<std::string, Peer> peers_;  // by address
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_PEER_TABLE_H_
