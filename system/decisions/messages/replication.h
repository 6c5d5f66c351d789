// Messages between the cores that replicate one table, and the values that they carry: plain structs
// serialized by cereal. docs/design/control-state.md describes the protocol.
#ifndef IVYGW_SYSTEM_MESSAGES_REPLICATION_H_
#define IVYGW_SYSTEM_MESSAGES_REPLICATION_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "messages/item.h"

namespace ivygw::messages {

// A proposal number, in the terms of "Paxos Made Simple" (ballot number in CASPaxos): a total order over all
// proposals for one revision. `proposer` is the proposer's incarnation, drawn at random at each process
// start, so that no two proposals share a number.
struct ProposalNumber {
  uint64_t counter = 0;
  uint64_t proposer = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of version 14 on the generated comparison.
  auto operator<=>(const ProposalNumber&) const = default;
};

// One voting core. `store_id` is drawn at random when the store on disk is created, so a machine that lost
// its disk counts as a different member.
struct Member {
  std::string address;  // IP
  uint64_t store_id = 0;
  std::string zone;
  bool SameStore(const Member& other) const { return address == other.address && store_id == other.store_id; }
  bool operator==(const Member&) const = default;
};

// The voting cores of an epoch. Epoch 0 means that the membership is not known yet.
struct Membership {
  uint64_t epoch = 0;
  std::vector<Member> members;
  size_t Quorum() const { return members.size() / 2 + 1; }
  // Whether the core at this address, with this store, is a voting member.
  bool Contains(const std::string& address, uint64_t store_id) const {
    return std::any_of(members.begin(), members.end(), [&](const Member& member) {
      return member.address == address && member.store_id == store_id;
    });
  }
  bool operator==(const Membership&) const = default;
};

// An earlier version of an item that was acknowledged to a caller.
struct PastVersion {
  uint64_t version = 0;
  uint64_t digest = 0;
  bool operator==(const PastVersion&) const = default;
};

// An item in a table, with the revision that last changed it.
struct Record {
  Item item;
  uint64_t revision = 0;  // of the change that last wrote it
  std::vector<PastVersion>
      past;  // by version, lowest first; only in tables whose callers choose versions freely
  bool operator==(const Record&) const = default;
};

// Globally unique ID of a command: the incarnation of the core that received it, and a sequence number.
struct CommandId {
  uint64_t incarnation = 0;
  uint64_t number = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): as above.
  auto operator<=>(const CommandId&) const = default;
};

// The value decided for one revision of a table. Applied atomically.
struct Change {
  uint64_t revision = 0;
  std::vector<CommandId> commands;  // the commands that this change carries out
  std::vector<Record> records;
  std::vector<std::string> pruned;       // keys of the tombstones to remove
  std::optional<Membership> membership;  // of the epoch that begins after this revision
  bool operator==(const Change&) const = default;
};

// A change that an acceptor has accepted and does not know to be decided.
struct AcceptedChange {
  ProposalNumber number;
  Change change;
};

// The header of every message between cores.
struct PeerHeader {
  uint64_t epoch = 0;  // of the sender's membership
  uint64_t store_id = 0;
  uint64_t incarnation = 0;       // of the sender's process
  uint64_t revision = 0;          // the last one that the sender has applied
  uint64_t durable_revision = 0;  // the last one that is durable on the sender's disk
  std::string zone;
};

// Phase 1a: requests a promise to accept no proposal below `number`, for `revision` and all later ones of
// this epoch.
struct Prepare {
  uint64_t revision = 0;
  ProposalNumber number;
};
// Phase 1b: the promise that Prepare requests. `accepted`: the change that the acceptor has accepted and does
// not know to be decided; none if there is none.
struct Promise {
  uint64_t revision = 0;
  ProposalNumber number;
  std::optional<AcceptedChange> accepted;
};
// Phase 2a: requests the acceptor to accept `change` for `revision`.
struct Accept {
  uint64_t revision = 0;
  ProposalNumber number;
  Change change;
};
// Phase 2b: the acceptor has accepted the change proposed under `number`.
struct Accepted {
  uint64_t revision = 0;
  ProposalNumber number;
};
// Negative reply to Prepare or Accept: the acceptor has promised a higher number.
struct Rejected {
  uint64_t revision = 0;
  ProposalNumber number, promised;
};
// Notifies every peer that the change proposed under this number is decided.
struct Commit {
  uint64_t revision = 0;
  ProposalNumber number;
};

// Anti-entropy: requests the changes after `from_revision`. The reply is a Delta with one part of them; the
// requester continues from its `to_revision` until that equals `end_revision`. The requester already knows
// all tombstone removals up to revision `pruned_known`.
struct DeltaRequest {
  uint64_t from_revision = 0, pruned_known = 0;
};
struct PrunedKey {
  std::string key;
  uint64_t revision = 0;
};
struct Delta {
  uint64_t from_revision = 0, to_revision = 0;
  uint64_t end_revision = 0;  // the sender's revision
  // The receiver must start over from an empty table: the sender no longer remembers all tombstone removals
  // that the receiver lacks.
  bool reset = false;
  Membership membership;          // at `end_revision`
  std::vector<Record> records;    // in order of revision
  std::vector<PrunedKey> pruned;  // in the last part: all tombstone removals that the receiver lacks
};

struct Heartbeat {
  uint64_t number = 0;
};
struct HeartbeatReply {
  uint64_t number = 0;
};
// Sent for a linearizable read (read index): asks a member for its revision, which is in the header of the
// reply. `undecided`: the member has accepted a change after that revision and does not know whether it is
// decided.
struct ReadQuery {
  uint64_t number = 0;
};
struct ReadReply {
  uint64_t number = 0;
  bool undecided = false;
};
// Reply to a message of an older epoch, which was ignored: the current membership.
struct EpochNotice {
  Membership membership;
};

using PeerBody = std::variant<Prepare, Promise, Accept, Accepted, Rejected, Commit, DeltaRequest, Delta,
                              Heartbeat, HeartbeatReply, ReadQuery, ReadReply, EpochNotice>;
struct PeerMessage {
  PeerHeader header;
  PeerBody body;
};

template <class A>
void serialize(A& a, ProposalNumber& m) {
  a(m.counter, m.proposer);
}
template <class A>
void serialize(A& a, Member& m) {
  a(m.address, m.store_id, m.zone);
}
template <class A>
void serialize(A& a, Membership& m) {
  a(m.epoch, m.members);
}
template <class A>
void serialize(A& a, PastVersion& m) {
  a(m.version, m.digest);
}
template <class A>
void serialize(A& a, Record& m) {
  a(m.item, m.revision, m.past);
}
template <class A>
void serialize(A& a, CommandId& m) {
  a(m.incarnation, m.number);
}
template <class A>
void serialize(A& a, Change& m) {
  a(m.revision, m.commands, m.records, m.pruned, m.membership);
}
template <class A>
void serialize(A& a, AcceptedChange& m) {
  a(m.number, m.change);
}
template <class A>
void serialize(A& a, PeerHeader& m) {
  a(m.epoch, m.store_id, m.incarnation, m.revision, m.durable_revision, m.zone);
}
template <class A>
void serialize(A& a, Prepare& m) {
  a(m.revision, m.number);
}
template <class A>
void serialize(A& a, Promise& m) {
  a(m.revision, m.number, m.accepted);
}
template <class A>
void serialize(A& a, Accept& m) {
  a(m.revision, m.number, m.change);
}
template <class A>
void serialize(A& a, Accepted& m) {
  a(m.revision, m.number);
}
template <class A>
void serialize(A& a, Rejected& m) {
  a(m.revision, m.number, m.promised);
}
template <class A>
void serialize(A& a, Commit& m) {
  a(m.revision, m.number);
}
template <class A>
void serialize(A& a, DeltaRequest& m) {
  a(m.from_revision, m.pruned_known);
}
template <class A>
void serialize(A& a, PrunedKey& m) {
  a(m.key, m.revision);
}
template <class A>
void serialize(A& a, Delta& m) {
  a(m.from_revision, m.to_revision, m.end_revision, m.reset, m.membership, m.records, m.pruned);
}
template <class A>
void serialize(A& a, Heartbeat& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, HeartbeatReply& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, ReadQuery& m) {
  a(m.number);
}
template <class A>
void serialize(A& a, ReadReply& m) {
  a(m.number, m.undecided);
}
template <class A>
void serialize(A& a, EpochNotice& m) {
  a(m.membership);
}
template <class A>
void serialize(A& a, PeerMessage& m) {
  a(m.header, m.body);
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_REPLICATION_H_
