// The messages between the system's processes. What they tell each other, as values. Serialised by cereal;
// the form number goes up with every change that an older program can't read. No I/O.
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

inline constexpr uint16_t kForm = 2;

// The first message of each side of a connection. `boot` is drawn anew at each start.
struct Hello {
  uint16_t form = kForm;
  std::string node, role, zone;
  uint64_t boot = 0;
  std::vector<std::string> cores;  // IP addresses: a core names the members and those it is connected to
};

// Core to core: PeerMessage of the table (messages/replication.h), and of the registry:
struct Heard {
  std::vector<std::string> ids;
};  // registry: backends whose beats came here since the last of these

// Gateway to core, after its Hello: digests by range of what it has of the table, tombstones left out; the
// core lists what differs, or says by a State that isn't complete that it can't.
struct Have {
  std::vector<uint64_t> ranges;
};

// Core to gateway.
// `full`: a part of a list. `revision`: of the sender's table. `ended`: keys under which the table holds
// nothing any more.
struct Push {
  uint64_t number = 0;
  bool full = false;
  uint64_t revision = 0;
  std::vector<Item> items;
  std::vector<std::string> ended;
};
struct PushAck {
  uint64_t number = 0;
};
// A gateway that holds a lease.
// `members`: the gateways that hold a lease, where they are few enough to be named. `voters`: addresses of
// the members of the core, of that epoch. `cores`: all core machines to hold connections to. `complete`: this
// gateway has been told all that was decided before it asked, and what came since. Where a list ends with it,
// `list_revision` is the table's when that began, and `listed_ranges` are those of which all that the table
// held then, and what came since, has been told.
struct GatewayMember {
  std::string node, zone;
  bool operator==(const GatewayMember&) const = default;
};
struct State {
  uint32_t gateways = 0;
  bool complete = false;
  std::vector<std::string> cores;
  std::vector<GatewayMember> members;
  uint64_t epoch = 0;
  std::vector<std::string> voters;
  uint64_t list_revision = 0;
  std::vector<uint32_t> listed_ranges;
  bool operator==(const State&) const = default;
};
// A gateway's word on a tenant: its limit (requests a second, requests; of which version of its item), the
// part of the limit that it wants to be lent and that it still holds of this lender, the requests that it
// lacks now, and all that it has sent.
struct Use {
  std::string tenant;
  float rate = 0, burst = 0;
  uint64_t version = 0;
  float wanted = 0, held = 0, lacking = 0;
  uint64_t sent = 0;
};
struct Report {
  uint64_t number = 0;
  std::vector<Use> uses;
};
// `fraction`: of the limit, lent for a term. `tokens`: requests, given for good. `total`: what all gateways
// have sent.
struct Loan {
  std::string tenant;
  float fraction = 0, tokens = 0;
  uint64_t total = 0;
};
struct Loans {
  uint64_t number = 0;
  std::vector<Loan> loans;
};
struct Ping {
  uint64_t number = 0;
};
struct Pong {
  uint64_t number = 0;
};

// Between the processes of one core machine: an outside call passed on, and its answer.
struct Call {
  uint64_t number = 0;
  std::string name, body;
};
struct CallDone {
  uint64_t number = 0;
  uint32_t status = 0;
  std::string body;
};

using Message = std::variant<Hello, PeerMessage, Heard, Have, Push, PushAck, State, Report, Loans, Ping, Pong,
                             Call, CallDone>;

template <class A>
void serialize(A& a, Hello& m) {
  a(m.form, m.node, m.role, m.zone, m.boot, m.cores);
}
template <class A>
void serialize(A& a, Heard& m) {
  a(m.ids);
}
template <class A>
void serialize(A& a, Have& m) {
  a(m.ranges);
}
template <class A>
void serialize(A& a, Push& m) {
  a(m.number, m.full, m.revision, m.items, m.ended);
}
template <class A>
void serialize(A& a, PushAck& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, GatewayMember& m) {
  a(m.node, m.zone);
}
template <class A>
void serialize(A& a, State& m) {
  a(m.gateways, m.complete, m.cores, m.members, m.epoch, m.voters, m.list_revision, m.listed_ranges);
}
template <class A>
void serialize(A& a, Use& m) {
  a(m.tenant, m.rate, m.burst, m.version, m.wanted, m.held, m.lacking, m.sent);
}
template <class A>
void serialize(A& a, Report& m) {
  a(m.number, m.uses);
}
template <class A>
void serialize(A& a, Loan& m) {
  a(m.tenant, m.fraction, m.tokens, m.total);
}
template <class A>
void serialize(A& a, Loans& m) {
  a(m.number, m.loans);
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
void serialize(A& a, Call& m) {
  a(m.number, m.name, m.body);
}
template <class A>
void serialize(A& a, CallDone& m) {
  a(m.number, m.status, m.body);
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_CONTROL_H_
