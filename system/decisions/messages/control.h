// Messages between the processes of the system, as plain structs serialized by cereal. Every change that an
// older program can't read increments the protocol version; tests/golden/system.txt holds the expected bytes.
// No I/O.
#ifndef IVYGW_SYSTEM_MESSAGES_CONTROL_H_
#define IVYGW_SYSTEM_MESSAGES_CONTROL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "messages/item.h"
#include "messages/replication.h"

namespace ivygw::messages {

using messages::Item;
using messages::PeerMessage;

inline constexpr uint16_t kProtocolVersion = 2;

// The first message that each side of a connection sends.
struct Hello {
  uint16_t protocol_version = kProtocolVersion;
  std::string node, role, zone;
  uint64_t incarnation = 0;        // random ID of this run of the process
  std::vector<std::string> cores;  // sent by cores: IP addresses of the members and of connected cores
};

// Core to core: the backends whose heartbeats this registry has received since it last sent this message.
// Messages of the replication protocol are PeerMessage (messages/replication.h).
struct BackendsSeen {
  std::vector<std::string> backend_ids;
};

// Gateway to core, after its Hello: requests a list of the items that differ from the gateway's. The core
// answers with Push messages and then a CoreStatus with `list_complete` set. A CoreStatus without it means
// that the core can't serve a list at present.
struct RangeDigests {
  std::vector<uint64_t> digests;  // of the gateway's items, one per key range, without tombstones
};

// The number of a Push whose items are not decided yet. It is not acknowledged.
inline constexpr uint64_t kProvisionalPush = 0;
// Core to gateway: changed items, or one part of a list.
struct Push {
  uint64_t number = 0;     // acknowledged by PushAck; kProvisionalPush: the items are not decided yet
  bool list_part = false;  // part of a requested list, not an update
  uint64_t revision = 0;   // of the sender's table
  std::vector<Item> items;
  std::vector<std::string> removed_keys;  // keys whose items are no longer in the table
};
struct PushAck {
  uint64_t number = 0;
};
// A gateway that holds a lease: it is connected to a core, or was until recently.
struct GatewayInfo {
  std::string node, zone;
  bool operator==(const GatewayInfo&) const = default;
};
// Core to gateway: what this core knows of the other cores and the gateways. Also marks the end of a list.
struct CoreStatus {
  uint32_t gateway_count = 0;  // gateways that hold a lease
  // The gateway has been sent everything decided before its request and all later changes so far.
  bool list_complete = false;
  std::vector<std::string> cores;     // addresses of all core machines that the gateway should connect to
  std::vector<GatewayInfo> gateways;  // that hold a lease; empty if there are too many to list
  uint64_t epoch = 0;
  std::vector<std::string> voters;      // addresses of the members of `epoch`
  uint64_t list_revision = 0;           // at the end of a list: the table's revision when the list began
  std::vector<uint32_t> listed_ranges;  // at the end of a list: key ranges that were sent in full
  bool operator==(const CoreStatus&) const = default;
};
// A gateway's use of one tenant's rate limit.
struct TenantUsage {
  std::string tenant;
  float rate = 0;          // of the limit, requests per second
  float burst = 0;         // of the limit, requests
  uint64_t version = 0;    // of the item that defines the limit
  float wanted_share = 0;  // fraction of the limit that the gateway requests from this core
  float held_share = 0;    // fraction of the limit that this core has granted and that is still valid
  float shortfall = 0;     // requests for which the gateway lacks tokens now
  uint64_t admitted = 0;   // requests admitted since the gateway started
};
// Gateway to registry; answered by QuotaGrants with the same number.
struct UsageReport {
  uint64_t number = 0;
  std::vector<TenantUsage> tenants;
};
struct QuotaGrant {
  std::string tenant;
  float share = 0;     // fraction of the limit, granted for one lease term
  float tokens = 0;    // requests, granted without expiry
  uint64_t total = 0;  // requests that all gateways have admitted, to this core's knowledge
};
struct QuotaGrants {
  uint64_t number = 0;
  std::vector<QuotaGrant> grants;
};
struct Ping {
  uint64_t number = 0;
};
struct Pong {
  uint64_t number = 0;
};

// Between the processes of one core machine: an external call that is forwarded, and its result.
struct ForwardedCall {
  uint64_t number = 0;
  std::string name, body;
};
struct ForwardedCallResult {
  uint64_t number = 0;
  uint32_t status = 0;
  std::string body;
};

using Message = std::variant<Hello, PeerMessage, BackendsSeen, RangeDigests, Push, PushAck, CoreStatus,
                             UsageReport, QuotaGrants, Ping, Pong, ForwardedCall, ForwardedCallResult>;

template <class A>
void serialize(A& a, Hello& m) {
  a(m.protocol_version, m.node, m.role, m.zone, m.incarnation, m.cores);
}
template <class A>
void serialize(A& a, BackendsSeen& m) {
  a(m.backend_ids);
}
template <class A>
void serialize(A& a, RangeDigests& m) {
  a(m.digests);
}
template <class A>
void serialize(A& a, Push& m) {
  a(m.number, m.list_part, m.revision, m.items, m.removed_keys);
}
template <class A>
void serialize(A& a, PushAck& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, GatewayInfo& m) {
  a(m.node, m.zone);
}
template <class A>
void serialize(A& a, CoreStatus& m) {
  a(m.gateway_count, m.list_complete, m.cores, m.gateways, m.epoch, m.voters, m.list_revision,
    m.listed_ranges);
}
template <class A>
void serialize(A& a, TenantUsage& m) {
  a(m.tenant, m.rate, m.burst, m.version, m.wanted_share, m.held_share, m.shortfall, m.admitted);
}
template <class A>
void serialize(A& a, UsageReport& m) {
  a(m.number, m.tenants);
}
template <class A>
void serialize(A& a, QuotaGrant& m) {
  a(m.tenant, m.share, m.tokens, m.total);
}
template <class A>
void serialize(A& a, QuotaGrants& m) {
  a(m.number, m.grants);
}
template <class A>
void serialize(A& a, Ping& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, Pong& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, ForwardedCall& m) {
  a(m.number, m.name, m.body);
}
template <class A>
void serialize(A& a, ForwardedCallResult& m) {
  a(m.number, m.status, m.body);
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_CONTROL_H_
