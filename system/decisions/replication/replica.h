// One core's replica of a table: its copy of the records and its part in the agreement on changes.
//
// Each revision of the table is one instance of Paxos, decided by the members (voting cores) of the current
// epoch, without a log and without a leader (compare CASPaxos, Rystsov 2018). See
// docs/design/control-state.md. Each role is a class with its own state:
//
//   Acceptor           the promised number and the accepted change
//   Proposer           the current proposal of this core, and its pauses
//   CommandQueue       pending commands
//   ReadIndex          the revision that a linearizable read must wait for
//   FailureDetector,   which members are alive, and whether this core may serve
//   QuorumContact
//   MembershipManager  which membership change is due
//   CatchUp            the changes that this copy has missed
//
// Replica passes messages and time to them, applies decided changes to the table, and is the only class that
// sends messages and stores batches. A message that depends on a batch is sent only once that batch is
// durable.
//
// Deterministic: takes events and returns effects; no I/O and no clock. Not thread-safe. Messages to a peer
// must be delivered in order while a connection lasts. They may be lost when it ends, and must never be
// delivered after a restart of either side.
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
  std::string address;            // IP address of this core
  std::string zone;               // its failure domain
  uint64_t incarnation = 0;       // random ID of this run of the process
  size_t voters = kMinVoters;     // the intended number of members
  Duration command_timeout{0.9};  // time limit of a command or a read
};

class Replica {
 public:
  // `loaded` is the state on disk. `policy` must outlive the replica and know no records yet; the constructor
  // passes all loaded records to it.
  Replica(ReplicaOptions options, LoadedState loaded, CommandPolicy* policy);

  // A connection to a core was established or has ended. Messages can be sent only to connected cores.
  void OnConnection(TimePoint now, const std::string& address, bool connected, Effects* out);
  void OnMessage(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out);
  // The batch and all earlier ones have been stored.
  void OnStored(TimePoint now, uint64_t batch, Effects* out);
  // To be called at least every 50 ms, and at the time that WakeAt returns.
  void OnTime(TimePoint now, Effects* out);
  // When a delayed proposal may begin, or nullopt if no proposal is waiting.
  std::optional<TimePoint> WakeAt() const;

  // Writes these items atomically. `ticket` must be greater than 0 and identifies the call in its Completion,
  // which follows within `command_timeout`, plus some time for large items.
  void Write(TimePoint now, uint64_t ticket, std::vector<Item> items, Effects* out);
  // Removes these tombstones from all copies, except those whose version has changed. Best effort: there is
  // no completion.
  void Prune(TimePoint now, const std::vector<Item>& tombstones, Effects* out);
  // Completes with kDone once this copy holds everything decided before the call, or immediately with
  // kNotDone if this core has no quorum contact.
  void Read(TimePoint now, uint64_t ticket, Effects* out);

  // Whether this core may serve calls: a majority of the members has answered heartbeats within
  // kContactTimeout, this copy has caught up since contact began, and no change has been undecided here for
  // longer than kContactTimeout.
  bool HasQuorumContact(TimePoint now) const;
  // Whether this core is a voting member.
  bool IsMember() const { return membership_.Contains(options_.address, store_id_); }
  const Table& table() const { return table_; }
  const Membership& membership() const { return membership_; }
  uint64_t store_id() const { return store_id_; }
  // The revision of the last change applied.
  uint64_t revision() const { return revision_; }
  bool CatchingUp() const { return catch_up_.Active(); }
  // The number of members that are alive and run the store of the membership, including this core if it is
  // one.
  size_t MembersAlive(TimePoint now) const {
    return detector_.MembersAlive(now, membership_, options_.address, store_id_, peers_);
  }
  // Whether this core has accepted a change that is not known to be decided.
  bool HoldsUndecidedChange() const { return acceptor_.accepted().has_value(); }
  // The number of proposals abandoned since the last decided one. A high number while a quorum is alive means
  // that the members reach no decision, or that their disks can't store promises.
  uint64_t AbandonedProposals() const { return proposer_.abandoned(); }
  // Addresses of non-voting cores that have recently sent a message.
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
  // What to do once a batch is durable.
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

  // Messages. Handle is overloaded by the type of the body.
  bool CheckEpoch(TimePoint now, const std::string& from, const PeerMessage& message, Effects* out);
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
  void AddRecords(const CatchUp& completed, StoreBatch* batch, Effects* out);
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
  uint64_t durable_revision_;  // the highest revision that is durable on disk
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
  uint64_t own_reads_ = 0;   // number of reads that this class has begun itself
  ReadId initial_read_ = 0;  // the read that was started when quorum contact began; 0: none
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_REPLICA_H_
