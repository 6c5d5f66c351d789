// A simulated network of cores. Runs the real Replica objects on machines whose disks may be slow, hang, lose
// power or be lost, and whose links may be slow, cut in one or both directions, or reset. Deterministic for a
// seed, in simulated time. The rules are checked after each event.
#ifndef IVYGW_TESTS_SYSTEM_CONTROL_SIM_H_
#define IVYGW_TESTS_SYSTEM_CONTROL_SIM_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replication/replica.h"
#include "system/control_rules.h"
#include "system/simulated_disk.h"

namespace ivygw::control_sim {

using replication::PeerMessage;

// A table's owner that tracks the records reported to it.
class SimulatedPolicy : public replication::CommandPolicy {
 public:
  SimulatedPolicy(bool keep_past, size_t max_commands) : keep_past_(keep_past), max_commands_(max_commands) {}
  void OnRecord(const Record& record) override { known_[record.item.key] = DigestOfRecord(record); }
  void OnErased(const std::string& key) override { known_.erase(key); }
  void OnReset() override { known_.clear(); }
  replication::Evaluation Evaluate(const std::vector<Item>& items,
                                   const replication::TableOverlay& overlay) const override;
  size_t MaxCommandsInChange() const override { return max_commands_; }

  // Whether exactly the records of the table have been reported.
  bool Knows(const replication::Table& table) const;

 protected:
  virtual replication::ItemEvaluation EvaluateOne(const Item& item, const Record* current) const {
    return replication::EvaluateItem(item, current, keep_past_);
  }

 private:
  const bool keep_past_;
  const size_t max_commands_;
  std::map<std::string, uint64_t> known_;
};

using StoreFactory = std::function<std::unique_ptr<StoreOnDisk>(const std::string& machine)>;

struct WorldOptions {
  uint64_t seed = 1;
  size_t founders = 3;
  size_t voters = 3;
  // true: as the configuration store, which remembers confirmed versions and decides one command per change.
  // false: as the registry.
  bool keep_past = true;
  std::function<std::unique_ptr<SimulatedPolicy>()> make_policy;  // default: as `keep_past` says
  size_t content_size = 0;                                        // minimum size of an item's body, bytes
  bool start = true;                                              // start all founders at once
  // Faults injected between the components, to test the rules.
  std::function<void(const std::string& from, const std::string& to, PeerMessage* message)> tamper;
  std::function<bool(const replication::StoreBatch& batch)> reported_before_sync;
  bool wiped_keeps_store_id = false;
  bool stop_on_violation = true;  // else the run continues, to show its final state
  // Makes a real store for a machine's disk; default: the model only. The store IDs that real stores draw
  // don't depend on the seed.
  StoreFactory make_store;
};

class World {
 public:
  explicit World(WorldOptions options);

  // The first violation; empty if there is none.
  const std::string& violation() const { return violation_; }
  bool ShouldStop() const { return options_.stop_on_violation && !violation_.empty(); }
  Rules& rules() { return rules_; }
  double now() const { return now_; }
  void RunUntil(double at);
  void RunFor(double duration) { RunUntil(now_ + duration); }
  void Schedule(double after, std::function<void()> run) {
    events_.push({now_ + after, last_event_++, std::move(run)});
  }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool Chance(double probability) { return Chance() < probability; }
  size_t Pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }

  // Machines.
  std::vector<std::string> Machines() const;  // that have not been removed
  std::string AnyMachine();
  bool HasQuorumContact(const std::string& machine) const { return HasQuorumContact(machines_.at(machine)); }
  bool Runs(const std::string& machine) const { return machines_.at(machine).replica != nullptr; }
  const Replica& replica(const std::string& machine) const { return *machines_.at(machine).replica; }
  size_t MembersAlive(const std::string& machine) const {
    const Machine& target = machines_.at(machine);
    return target.replica->MembersAlive(TimePointOf(Clock(target)));
  }
  // Adds a machine with an empty disk, without starting it.
  std::string AddMachine(std::vector<std::string> seeds);
  void SetSeeds(const std::string& machine, std::vector<std::string> seeds) {
    machines_.at(machine).seeds = std::move(seeds);
  }
  void Start(const std::string& machine);
  void Kill(const std::string& machine);
  void PowerOff(const std::string& machine);
  // The machine loses power, and its disk is replaced by an empty one.
  void Wipe(const std::string& machine);
  void Remove(const std::string& machine);
  // The process is suspended for this time.
  void Pause(const std::string& machine, double duration);

  // Links.
  void CutOneWay(const std::string& from, const std::string& to);
  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  void Isolate(const std::string& machine);
  void Rejoin(const std::string& machine);
  void Reset(const std::string& a, const std::string& b);
  void Slow(const std::string& a, const std::string& b, double delay);
  void HealAll();

  // Disks.
  void HangDisk(const std::string& machine, double duration);
  void SlowDisk(const std::string& machine, double factor) { machines_.at(machine).disk_factor = factor; }
  const SimulatedDisk& disk(const std::string& machine) const { return machines_.at(machine).disk; }
  // Makes the disk refuse writes, or accept them again. REQUIRES: a real store.
  void RefuseWrites(const std::string& machine, bool refuses) {
    machines_.at(machine).store->Refuse(refuses);
  }
  // Null if there is only the model.
  const StoreOnDisk* store(const std::string& machine) const { return machines_.at(machine).store.get(); }

  // Callers. The contents of commands are unique; `Resend` sends the same command again.
  size_t Write(const std::string& machine, const std::string& key, uint64_t version, bool dropped = false);
  size_t WriteMany(const std::string& machine, const std::vector<std::pair<std::string, uint64_t>>& keys);
  void Resend(size_t command, const std::string& machine);
  void Read(const std::string& machine);
  void Prune(const std::string& machine, const std::vector<Item>& tombstones);

  // Whether all running cores are in contact and have the same revision and records, also on disk.
  bool CopiesAreEqual() const;
  // Whether there are as many members as intended, and all of them run.
  bool MembersAreRunning() const;
  // Checks that within `timeout` all copies are equal and all members run, and that each core then serves a
  // write and a read.
  void CheckConverges(double timeout);

  // Called with each command that completes, its core and its outcome.
  std::function<void(size_t command, const std::string& machine, Outcome outcome)> on_command_completed;

 private:
  struct Event {
    double at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct Ticket {
    bool read = false;
    size_t command = 0;
    uint64_t decided = 0;  // when the call was made
    double called_at = 0;
    bool called_without_contact = false;
  };
  using Store = std::pair<std::string, uint64_t>;  // address and store id
  struct Machine {
    std::string address;
    std::vector<std::string> seeds;
    SimulatedDisk disk;
    std::unique_ptr<StoreOnDisk> store;
    bool booted = false;  // has opened its store before
    std::unique_ptr<SimulatedPolicy> policy;
    std::unique_ptr<Replica> replica;
    uint64_t process_number = 0;
    bool removed = false, writing = false;
    double clock_offset = 0;  // of its steady clock from the world's
    double disk_blocked_until = 0, disk_factor = 1, writing_since = 0, paused_until = -1;
    std::map<Store, double> reachable_until;  // kNever: reachable now
    double wakes_at = -1;                     // for which an additional OnTime is already scheduled
    std::set<std::string> connected_before;   // cores that have connected since the process started
    std::map<uint64_t, Ticket> tickets;
  };
  struct Connection {
    uint64_t generation = 0;
    double since = 0;
    std::set<std::string> ends;  // that consider it to be up
    uint64_t cut_number = 0;     // incremented when a cut is healed
    bool Up() const { return ends.size() == 2; }
  };
  struct Direction {
    bool cut = false;
    double delay = 0, free_at = 0, healed_at = -1;
    std::deque<std::shared_ptr<const PeerMessage>> held;
  };

  void ReportViolation(const std::string& what);
  // Printed if IVYGW_TRACE is set, to investigate a seed.
  void Trace(const std::string& what) const;
  void TraceMessage(const std::string& from, const std::string& to, const PeerMessage& message) const;
  const DiskImage* FindStore(const Member& member, bool or_last_content) const;
  uint64_t RandomId() { return random_() | 1; }

  // Runs an event in the machine's process and applies its effects. RunLater does nothing if that process has
  // ended by then. `clock` is the machine's own.
  using ProcessEvent = std::function<void(Replica* replica, TimePoint clock, replication::Effects* out)>;
  void Run(const std::string& machine, const ProcessEvent& event);
  void RunLater(double after, const std::string& machine, ProcessEvent event);
  void ApplyEffects(Machine* machine, replication::Effects effects);
  void CompleteTicket(Machine* machine, const replication::Completion& ended);
  void CheckMachine(Machine* machine);
  void WakeLater(Machine* machine);
  // Checks that a core which serves calls and lists has everything decided more than kMaxStaleness ago.
  void CheckNotStale(const Machine& machine);
  void Tick(const std::string& machine, uint64_t process_number);
  std::string NewContent();
  void Call(const std::string& machine, Ticket ticket,
            const std::function<void(Replica*, TimePoint, uint64_t, replication::Effects*)>& call);

  // Returns the content of the disk, or nullopt if its store can't be opened now.
  std::optional<DiskImage> LoadImage(Machine* machine);
  std::optional<Membership> FoundersOf(const Machine& machine) const;
  void BeginWriting(Machine* machine);
  bool WriteToStore(Machine* machine, size_t count);
  void FinishWriting(const std::string& machine, uint64_t process_number, size_t count);

  static std::pair<std::string, std::string> PairOf(const std::string& a, const std::string& b) {
    return std::minmax(a, b);
  }
  Connection& ConnectionOf(const std::string& a, const std::string& b) { return connections_[PairOf(a, b)]; }
  bool IsCut(const std::string& a, const std::string& b) const;
  bool Dials(const Machine& from, const std::string& to) const;
  void DialAll();
  void Connect(const std::string& a, const std::string& b);
  void NotifyDisconnected(const std::string& machine, const std::string& peer, double after);
  void Disconnect(const std::string& a, const std::string& b, double after);
  void NoticeCut(const std::string& a, const std::string& b);
  void Send(const std::string& from, const std::string& to, PeerMessage message);
  void Deliver(const std::string& from, const std::string& to, uint64_t generation,
               std::shared_ptr<const PeerMessage> message);
  void EndProcess(Machine* machine, double notice_delay);

  bool Reaches(const Machine& from, const Store& to) const;
  // Checks that proposed new members have on disk everything decided more than kMaxLearnerLag ago.
  void CheckCaughtUp(const std::string& proposer, const Membership& next);
  // Whether the member has been in contact with the core ever since its joining was proposed, that was less
  // than kJoinTimeout ago, and its disk doesn't hang.
  bool IsResponsive(const std::string& core, const Member& member) const;
  double Clock(const Machine& machine) const { return now_ + machine.clock_offset; }
  bool HasQuorumContact(const Machine& machine) const {
    return machine.replica->HasQuorumContact(TimePointOf(Clock(machine)));
  }
  void UpdateContact();
  // Whether fewer than a majority of the newest epoch's members were reachable within the last
  // kContactTimeout.
  bool LacksQuorumContact(const Machine& machine) const;

  const WorldOptions options_;
  Membership founders_;  // the first epoch
  const bool traced_;
  std::mt19937_64 random_;
  std::map<std::string, Machine> machines_;
  std::deque<std::pair<double, uint64_t>>
      decided_at_;  // times and revisions within the last kMaxStaleness, and one before that
  std::map<uint64_t, double> joins_proposed_;  // when a membership change was first proposed, by revision
  std::map<Store, DiskImage> lost_stores_;     // last content of lost disks
  std::map<std::pair<std::string, std::string>, Connection> connections_;
  std::map<std::pair<std::string, std::string>, Direction> directions_;
  std::priority_queue<Event> events_;
  Rules rules_;
  double now_ = 0;
  uint64_t last_event_ = 0, last_ticket_ = 0, last_content_ = 0;
  std::string violation_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_CONTROL_SIM_H_
