// A simulated network of cores: the very Replica objects on machines whose disks are slow, hang, lose power
// or are lost, and whose links are slow, cut one way or both, or reset. Seeded; no clock, no sleep. Rules are
// checked after each event.
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

// An owner of a table, and what it has been told of the records.
class SimulatedPolicy : public replication::CommandPolicy {
 public:
  SimulatedPolicy(bool keep_past, size_t max_commands) : keep_past_(keep_past), max_commands_(max_commands) {}
  void OnRecord(const Record& record) override { known_[record.item.key] = DigestOfRecord(record); }
  void OnErased(const std::string& key) override { known_.erase(key); }
  void OnReset() override { known_.clear(); }
  replication::Evaluation Evaluate(const std::vector<Item>& items,
                                   const replication::TableOverlay& overlay) const override;
  size_t MaxCommandsInChange() const override { return max_commands_; }

  // Whether it has been told of all that stands in the table.
  bool Knows(const replication::Table& table) const;

 protected:
  virtual replication::ItemEvaluation EvaluateOne(const Item& item, const Record* standing) const {
    return replication::EvaluateItem(item, standing, keep_past_);
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
  // The store of configuration: confirmed numbers are remembered, one order a change. Else the registry.
  bool keep_past = true;
  std::function<std::unique_ptr<SimulatedPolicy>()> make_policy;  // none: as above
  size_t content_size = 0;                                        // at least
  bool start = true;                                              // all founders at once
  // Mistakes planted between the parts.
  std::function<void(const std::string& from, const std::string& to, PeerMessage* message)> tamper;
  std::function<bool(const replication::StoreBatch& batch)> told_before_sync;
  bool wiped_keeps_store_id = false;
  bool stops_when_broken = true;  // else the day goes on, to show where it ends
  // A real store for a machine's disk; none: the model alone. A store id that it draws is not the seed's.
  StoreFactory make_store;
};

class World {
 public:
  explicit World(WorldOptions options);

  // What was broken first; empty while all holds.
  const std::string& broken() const { return broken_; }
  bool Stops() const { return options_.stops_when_broken && !broken_.empty(); }
  Rules& rules() { return rules_; }
  double now() const { return now_; }
  void Until(double at);
  void For(double duration) { Until(now_ + duration); }
  void At(double after, std::function<void()> run) {
    events_.push({now_ + after, last_event_++, std::move(run)});
  }
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool Chance(double probability) { return Chance() < probability; }
  size_t Pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }

  // Machines.
  std::vector<std::string> Machines() const;  // that haven't been removed
  std::string Any();
  bool HasQuorumContact(const std::string& machine) const { return HasQuorumContact(machines_.at(machine)); }
  bool Runs(const std::string& machine) const { return machines_.at(machine).replica != nullptr; }
  const Replica& replica(const std::string& machine) const { return *machines_.at(machine).replica; }
  size_t MembersAlive(const std::string& machine) const {
    const Machine& asked = machines_.at(machine);
    return asked.replica->MembersAlive(TimePointOf(Clock(asked)));
  }
  // A machine with an empty disk, not started.
  std::string AddMachine(std::vector<std::string> seeds);
  void SetSeeds(const std::string& machine, std::vector<std::string> seeds) {
    machines_.at(machine).seeds = std::move(seeds);
  }
  void Start(const std::string& machine);
  void Kill(const std::string& machine);
  void PowerOff(const std::string& machine);
  // Power and disk are lost.
  void Wipe(const std::string& machine);
  void Remove(const std::string& machine);
  // The process does nothing for a while.
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
  // The disk refuses writes, or takes them again. REQUIRES: a real store.
  void RefuseWrites(const std::string& machine, bool refuses) {
    machines_.at(machine).store->Refuse(refuses);
  }
  // Null where there is the model alone.
  const StoreOnDisk* store(const std::string& machine) const { return machines_.at(machine).store.get(); }

  // Callers. Contents of orders are unique; `Resend` sends the same order again.
  size_t Write(const std::string& machine, const std::string& key, uint64_t version, bool dropped = false);
  size_t WriteMany(const std::string& machine, const std::vector<std::pair<std::string, uint64_t>>& keys);
  void Resend(size_t command, const std::string& machine);
  void Read(const std::string& machine);
  void Prune(const std::string& machine, const std::vector<Item>& tombstones);

  // All that run hold the same at one revision, on disk, in contact.
  bool Even() const;
  // As many members as there should be, each of which runs.
  bool MembersRun() const;
  // That all are even and the members are all there within `patience` and then each takes a write and a read;
  // else what is broken.
  void CheckSettles(double patience);

  // Told of each outcome: order, core, outcome.
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
    uint64_t decided = 0;  // when it was asked
    double asked = 0;
    bool called_without_contact = false;
  };
  using Store = std::pair<std::string, uint64_t>;  // address and store id
  struct Machine {
    std::string address;
    std::vector<std::string> seeds;
    SimulatedDisk disk;
    std::unique_ptr<StoreOnDisk> store;
    bool booted = false;  // has started with a store of its own
    std::unique_ptr<SimulatedPolicy> policy;
    std::unique_ptr<Replica> replica;
    uint64_t life = 0;
    bool removed = false, writing = false;
    double clock_offset = 0;  // of its steady clock to that of the world
    double disk_blocked_until = 0, disk_factor = 1, writing_since = 0, paused_until = -1;
    std::map<Store, double> reached_until;  // kNever: it is reached now
    double wakes_at = -1;                   // for which OnTime is already due, besides its ticks
    std::set<std::string> met;              // cores that have connected in this life
    std::map<uint64_t, Ticket> tickets;
  };
  struct Connection {
    uint64_t generation = 0;
    double since = 0;
    std::set<std::string> ends;  // that hold it to be up
    uint64_t cut_number = 0;     // grows as cuts are healed
    bool Up() const { return ends.size() == 2; }
  };
  struct Direction {
    bool cut = false;
    double delay = 0, free_at = 0, healed_at = -1;
    std::deque<std::shared_ptr<const PeerMessage>> held;
  };

  void Broken(const std::string& what);
  // Printed where IVYGW_TRACE is set, for whoever looks into a seed.
  void Trace(const std::string& what) const;
  void TraceMessage(const std::string& from, const std::string& to, const PeerMessage& message) const;
  const DiskImage* FindStore(const Member& member, bool or_held) const;
  uint64_t RandomId() { return random_() | 1; }

  // Runs `event` of the machine's process, with its effects, unless that life has ended. `clock`: the
  // machine's own.
  using ProcessEvent = std::function<void(Replica* replica, TimePoint clock, replication::Effects* out)>;
  void Run(const std::string& machine, const ProcessEvent& event);
  void RunLater(double after, const std::string& machine, ProcessEvent event);
  void TakeEffects(Machine* machine, replication::Effects effects);
  void EndTicket(Machine* machine, const replication::Completion& ended);
  void CheckMachine(Machine* machine);
  void WakeLater(Machine* machine);
  // That a core which takes calls and gives lists holds what was decided a while ago.
  void CheckNotStale(const Machine& machine);
  void Tick(const std::string& machine, uint64_t life);
  std::string NewContent();
  void Call(const std::string& machine, Ticket ticket,
            const std::function<void(Replica*, TimePoint, uint64_t, replication::Effects*)>& call);

  // What the disk holds; none where its store can't be opened now.
  std::optional<DiskImage> LoadImage(Machine* machine);
  std::optional<Membership> FoundersOf(const Machine& machine) const;
  void BeginWriting(Machine* machine);
  bool WriteToStore(Machine* machine, size_t count);
  void FinishWriting(const std::string& machine, uint64_t life, size_t count);

  static std::pair<std::string, std::string> PairOf(const std::string& a, const std::string& b) {
    return std::minmax(a, b);
  }
  Connection& ConnectionOf(const std::string& a, const std::string& b) { return connections_[PairOf(a, b)]; }
  bool IsCut(const std::string& a, const std::string& b) const;
  bool Dials(const Machine& from, const std::string& to) const;
  void DialAll();
  void Connect(const std::string& a, const std::string& b);
  void TellEnd(const std::string& machine, const std::string& peer, double after);
  void Disconnect(const std::string& a, const std::string& b, double after);
  void NoticeCut(const std::string& a, const std::string& b);
  void Send(const std::string& from, const std::string& to, PeerMessage message);
  void Deliver(const std::string& from, const std::string& to, uint64_t generation,
               std::shared_ptr<const PeerMessage> message);
  void EndProcess(Machine* machine, double told_after);

  bool Reaches(const Machine& from, const Store& to) const;
  // That whoever is proposed as a member holds, on disk, what was decided a while ago.
  void CheckCaughtUp(const std::string& proposer, const Membership& next);
  // In touch ever since its joining was proposed, not longer ago than the members wait, and its disk takes
  // what it is given.
  bool Answers(const std::string& core, const Member& member) const;
  double Clock(const Machine& machine) const { return now_ + machine.clock_offset; }
  bool HasQuorumContact(const Machine& machine) const {
    return machine.replica->HasQuorumContact(TimePointOf(Clock(machine)));
  }
  void UpdateContact();
  // Fewer than a majority of the newest epoch could be reached at any time of the last second.
  bool LacksQuorumContact(const Machine& machine) const;

  const WorldOptions options_;
  Membership founders_;  // the first epoch
  const bool traced_;
  std::mt19937_64 random_;
  std::map<std::string, Machine> machines_;
  std::deque<std::pair<double, uint64_t>>
      decided_at_;                          // times and revisions, of the last kMostStale and one before
  std::map<uint64_t, double> joins_asked_;  // when a change of members was first proposed, by revision
  std::map<Store, DiskImage> lost_stores_;  // what they held at last
  std::map<std::pair<std::string, std::string>, Connection> connections_;
  std::map<std::pair<std::string, std::string>, Direction> directions_;
  std::priority_queue<Event> events_;
  Rules rules_;
  double now_ = 0;
  uint64_t last_event_ = 0, last_ticket_ = 0, last_content_ = 0;
  std::string broken_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_CONTROL_SIM_H_
