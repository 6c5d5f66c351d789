// One core's copy of a replicated table, and its part in agreeing on changes of it.
//
// Every revision of the table is one instance of Paxos; the members (voting cores) of an epoch decide what it
// holds, without a log and without a leader (compare CASPaxos, Rystsov 2018). See
// docs/design/control-state.md. The roles are classes of their own, each with its own state:
//
//   Acceptor           what this core has promised and accepted
//   Proposer           the proposal that this core makes, and its pauses
//   CommandQueue       commands of callers that wait to be proposed
//   ReadIndex          which revision a linearizable read has to wait for
//   FailureDetector,   which members answer heartbeats, and whether this core may serve
//   QuorumContact
//   MembershipManager  which change of the members is due
//   CatchUp            what this copy has missed
//
// This class passes messages and time to them, applies decided changes to the table, and is the only one that
// sends and stores. Nothing that depends on a store leaves before that store is durable.
//
// Pure: events in, effects out; no I/O and no clock. One thread. Messages to one peer are delivered in order
// while a connection stands, and may be lost with it; they never survive a restart of either side.
#ifndef IVYGW_SYSTEM_REPLICATION_REPLICA_H_
#define IVYGW_SYSTEM_REPLICATION_REPLICA_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/steady_time.h"
#include "replication/acceptor.h"
#include "replication/catch_up.h"
#include "replication/command_policy.h"
#include "replication/command_queue.h"
#include "replication/durable_state.h"
#include "replication/effects.h"
#include "replication/failure_detector.h"
#include "replication/membership_manager.h"
#include "replication/peer_table.h"
#include "replication/proposer.h"
#include "replication/read_index.h"
#include "replication/table.h"

namespace ivygw::replication {

struct ReplicaOptions {
  std::string address;            // IP of this core
  std::string zone;               // its failure domain
  uint64_t incarnation = 0;       // random, drawn at each start of the process
  size_t voters = kMinVoters;     // how many members an epoch should have
  Duration command_timeout{0.9};  // for a command or a read to end
};

class Replica {
 public:
  // `loaded`: what the disk holds. `policy` outlives the replica; it has been told of no record yet, and is
  // told of all of them here.
  Replica(ReplicaOptions options, LoadedState loaded, CommandPolicy* policy);

  // A connection to a core has come up, or ended. Without one nothing can be sent there.
  void OnConnection(TimePoint now, const std::string& address, bool connected, Effects* out);
  void OnMessage(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out);
  // A batch, and all before it, is on disk.
  void OnStored(TimePoint now, uint64_t batch, Effects* out);
  // To be called every 50 ms or oftener, and at WakeAt.
  void OnTime(TimePoint now, Effects* out);
  // When a proposal that pauses may begin; none where none does.
  std::optional<TimePoint> WakeAt() const;

  // A command to write these items, all or none. `ticket` (above 0) names the call in its Completion, which
  // comes within `command_timeout`.
  void Write(TimePoint now, uint64_t ticket, std::vector<Item> items, Effects* out);
  // Removes these tombstones from all copies, as far as they still stand at these versions. Best effort: no
  // completion.
  void Prune(TimePoint now, const std::vector<Item>& tombstones, Effects* out);
  // Completes with kDone when this copy holds all that was decided before the call, with kNotDone at once
  // where this core has no quorum contact.
  void Read(TimePoint now, uint64_t ticket, Effects* out);

  // A majority of the members has answered within kContactTimeout, this copy has caught up since, and no
  // change has stood here undecided for longer than that: calls may be taken.
  bool HasQuorumContact(TimePoint now) const;
  // This core votes.
  bool IsMember() const { return membership_.Contains(options_.address, store_id_); }
  const Table& table() const { return table_; }
  const Membership& membership() const { return membership_; }
  uint64_t store_id() const { return store_id_; }
  // Of the last change applied.
  uint64_t revision() const { return revision_; }
  bool CatchingUp() const { return catch_up_.Active(); }
  // Members that answer heartbeats with the store of the epoch, this core included if it is one.
  size_t MembersAlive(TimePoint now) const {
    return detector_.MembersAlive(now, membership_, options_.address, store_id_, peers_);
  }
  // A change has been accepted here and is not known to be decided.
  bool HoldsUndecidedChange() const { return acceptor_.accepted().has_value(); }
  // Proposals of this core in a row that came to nothing: many, beside a quorum that is alive, are members
  // that don't come to a decision, or whose disks don't take what they are to promise.
  uint64_t AbandonedProposals() const { return proposer_.abandoned(); }
  // Addresses of cores that have sent something lately and don't vote.
  std::vector<std::string> Learners(TimePoint now) const;

 private:
  // A message that is being handled.
  struct Incoming {
    TimePoint now;
    const std::string& from;
    const PeerHeader& header;
    bool from_member;
    Effects* out;
  };
  // What happens once a batch is durable.
  struct AfterStore {
    std::vector<std::pair<std::string, messages::PeerBody>> sends;
    std::optional<uint64_t> durable_revision;
  };

  // Sending and storing.
  PeerHeader Header() const;
  void Send(const std::string& to, messages::PeerBody body, Effects* out);
  void SendToPeers(const messages::PeerBody& body, Effects* out);
  void SendToMembers(const messages::PeerBody& body, Effects* out);
  void DeliverToSelf(TimePoint now, Effects* out);
  void Store(bool sync, StoreBatch batch, AfterStore after, Effects* out);

  // Messages. Handlers are found by the type of the body.
  bool PassesEpoch(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out);
  void Dispatch(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out);
  void Handle(const Incoming& in, const messages::Prepare& prepare);
  void Handle(const Incoming& in, const messages::Promise& promise);
  void Handle(const Incoming& in, const messages::Accept& accept);
  void Handle(const Incoming& in, const messages::Accepted& accepted);
  void Handle(const Incoming& in, const messages::Rejected& rejected);
  void Handle(const Incoming& in, const messages::Commit& commit);
  void Handle(const Incoming& in, const messages::DeltaRequest& request);
  void Handle(const Incoming& in, const messages::Delta& delta);
  void Handle(const Incoming& in, const messages::Heartbeat& heartbeat);
  void Handle(const Incoming& in, const messages::HeartbeatReply& reply);
  void Handle(const Incoming& in, const messages::ReadQuery& query);
  void Handle(const Incoming& in, const messages::ReadReply& reply);
  void Handle(const Incoming& in, const messages::EpochNotice& notice);

  // Agreement (replica_agreement.cpp).
  void OnCompetitor(TimePoint now, const std::string& proposer);
  bool MayAccept(const Change& change) const;
  void Accept(TimePoint now, const std::string& from, const messages::Accept& accept, Effects* out);
  void Propose(TimePoint now, Effects* out);
  void ProposeNextChange(TimePoint now, Effects* out);
  void BeginAccept(TimePoint now, Change change, Effects* out);
  std::set<std::string> AcceptorsOf(const Change& change) const;
  bool HasAccepted(const Member& member) const;
  bool MajorityAccepted(const Membership& membership) const;
  void DecideIfAccepted(TimePoint now, Effects* out);
  void ProposalOnTime(TimePoint now, Effects* out);
  void Complete(std::vector<Completion> completions, Effects* out);

  // The table (replica.cpp).
  void Apply(TimePoint now, const Change& change, Effects* out);
  void BeginEpoch(const Membership& membership, Effects* out);
  void AfterAdvance(TimePoint now, Effects* out);

  // Reads (replica_reads.cpp).
  void AddRead(TimePoint now, ReadId id, Effects* out);
  void BeginReadRound(TimePoint now, Effects* out);
  void EndReadyReads(TimePoint now, Effects* out);
  void EndRead(TimePoint now, ReadId id, Outcome outcome, Effects* out);
  void ReadsOnTime(TimePoint now, Effects* out);
  ReadId NextOwnReadId();

  // Catching up (replica_catch_up.cpp).
  void RequestDelta(TimePoint now, const std::string& from, Effects* out);
  void ApplyCaughtUp(TimePoint now, Effects* out);
  void AddRecords(const CatchUp& gathered, StoreBatch* batch, Effects* out);
  void CatchUpOnTime(TimePoint now, Effects* out);

  // Contact and members (replica.cpp).
  void HeartbeatOnTime(TimePoint now, Effects* out);
  bool QuorumIsAlive(TimePoint now) const;
  void ContactOnTime(TimePoint now, Effects* out);
  void MembershipOnTime(TimePoint now, Effects* out);

  const ReplicaOptions options_;
  CommandPolicy* const policy_;
  const uint64_t store_id_;
  Membership membership_;
  uint64_t revision_;          // of the last change applied
  uint64_t durable_revision_;  // the highest that the disk holds
  Table table_;

  PeerTable peers_;
  Acceptor acceptor_;
  Proposer proposer_;
  CommandQueue commands_;
  ReadIndex reads_;
  FailureDetector detector_;
  QuorumContact contact_;
  MembershipManager members_;
  CatchUp catch_up_;
  Duration catch_up_timeout_;

  std::deque<messages::PeerBody> to_self_;
  std::map<uint64_t, AfterStore> after_store_;  // by batch
  uint64_t last_batch_ = 0;
  uint64_t own_reads_ = 0;   // reads begun by this class
  ReadId initial_read_ = 0;  // the one that began with quorum contact; 0: none
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_REPLICA_H_
