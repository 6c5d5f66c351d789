// Replays the timeline of docs/incidents/2026-12-02-quorum-lost-for-good.md on the simulated network, with
// the real store on disks that lose file names, tear writes, are full or hang. Every table must regain its
// quorum once its cores are back.

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

#include "system/control_operators.h"
#include "system/quorum_diagnosis.h"
#include "system/stored_disk.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::control_sim;

namespace {

constexpr double kRecovery = 5;  // s, for all members to regain contact; the operators allow 15
constexpr double kConvergenceTimeout = 5;
constexpr double kAllowedRecovery = 15;

const char kBrest[] = "10.0.0.1", kLorient[] = "10.0.0.2", kRoscoff[] = "10.0.0.3";

size_t IncidentSeeds() {
  const char* value = std::getenv("IVYGW_INCIDENT_SEEDS");
  return value ? std::strtoul(value, nullptr, 10) : 60;
}

WorldOptions OptionsWithStores(uint64_t seed, bool keep_past, testing::PowerLoss loss) {
  WorldOptions options;
  options.seed = seed;
  options.keep_past = keep_past;
  options.make_store = StoredDiskFactory(seed, loss);
  return options;
}

// Waits for the acknowledgement of a change, the moment at which the faults of the incident occurred.
void AwaitAcknowledgement(World* world) {
  size_t before = world->rules().confirmed;
  double deadline = world->now() + 2;
  while (!world->ShouldStop() && world->rules().confirmed == before && world->now() < deadline)
    world->RunFor(0.001);
}

bool AllInContact(const World& world) {
  for (const std::string& name : world.Machines()) {
    if (!world.Runs(name) || !world.HasQuorumContact(name)) return false;
  }
  return true;
}

void CheckQuorum(World* world, const std::string& when) {
  double deadline = world->now() + kRecovery;
  while (!world->ShouldStop() && !AllInContact(*world) && world->now() < deadline) world->RunFor(0.05);
  if (world->ShouldStop() || AllInContact(*world)) return;
  world->rules().ReportViolation(when + ": no quorum contact everywhere after " + std::to_string(kRecovery) +
                                 " s, " + NameOf(DiagnoseQuorumLoss(*world)) + FiguresOfCores(*world));
  world->RunFor(0.1);  // the violation is picked up with the next event
}

// One core is cut off and misses changes. Right after an acknowledgement another loses its disk and restarts
// at once, the third loses power for 9 s, and the cut heals.
void CutThenLoseADiskAndPower(World* world, const std::string& behind, const std::string& wiped,
                              const std::string& powered_off, double cut_for) {
  world->Isolate(behind);
  world->RunFor(cut_for);
  AwaitAcknowledgement(world);
  world->Wipe(wiped);
  world->PowerOff(powered_off);
  world->Rejoin(behind);
  world->RunFor(0.1);
  world->Start(wiped);
  world->RunFor(9);
  world->Start(powered_off);
  CheckQuorum(world, "after " + powered_off + " is back");
}

// The incident as recorded, from 2 s to 92 s, with shorter, random pauses between the faults.
void RunIncident(World* world) {
  world->RunFor(2);
  CutThenLoseADiskAndPower(world, kBrest, kLorient, kRoscoff, 6);
  world->RunFor(4 + 6 * world->Chance());
  CutThenLoseADiskAndPower(world, kLorient, kBrest, kRoscoff, 6);
  world->RunFor(4 + 6 * world->Chance());
  AwaitAcknowledgement(world);
  for (const std::string& name : world->Machines()) world->PowerOff(name);
  world->RunFor(0.5);
  for (const std::string& name : world->Machines()) world->Start(name);
  CheckQuorum(world, "after all lost power");
}

// Makes disks full or hang for seconds, one at a time.
class DiskFaults {
 public:
  explicit DiskFaults(World* world) : world_(world) { Next(); }
  void Stop() {
    stopped_ = true;
    if (!full_.empty()) world_->RefuseWrites(full_, false);
  }

 private:
  void Next() {
    world_->Schedule(1 + 4 * world_->Chance(), [this] {
      if (!stopped_) Begin(world_->AnyMachine(), 0.3 + 2.5 * world_->Chance());
    });
  }
  void Begin(const std::string& machine, double duration) {
    if (world_->Chance(0.5)) {
      world_->HangDisk(machine, duration);
    } else {
      full_ = machine;
      world_->RefuseWrites(machine, true);
    }
    world_->Schedule(duration, [this] { End(); });
  }
  void End() {
    if (stopped_) return;
    if (!full_.empty()) world_->RefuseWrites(full_, false);
    full_.clear();
    Next();
  }

  World* const world_;
  std::string full_;
  bool stopped_ = false;
};

// Runs the timeline for one table and returns the first violation. If `lost` is not null, the run continues
// after a violation, all processes are started once more, and `lost` receives the final diagnosis.
std::string RunTable(const WorldOptions& options, bool disk_faults, QuorumLoss* lost) {
  World world(options);
  Operators operators(&world, options.keep_past, 0.2);
  std::unique_ptr<DiskFaults> faults;
  if (disk_faults) faults = std::make_unique<DiskFaults>(&world);
  RunIncident(&world);
  if (faults) faults->Stop();
  operators.Stop();
  world.HealAll();
  if (lost) {
    world.RunFor(kAllowedRecovery);
    *lost = DiagnoseQuorumLoss(world);
    return world.violation() + FiguresOfCores(world);
  }
  world.CheckConverges(kConvergenceTimeout);
  for (const std::string& name : world.Machines()) {
    const std::string& reason = world.store(name)->put_aside();
    if (world.violation().empty() && !reason.empty()) return name + " put its store aside: " + reason;
  }
  return world.violation();
}

// Runs all seeds for both tables, the configuration store and the registry.
void RunSeeds(const char* name, testing::PowerLoss loss, bool disk_faults = false) {
  const char* value = std::getenv("IVYGW_SEED");  // to investigate a single seed
  size_t only = value ? std::strtoul(value, nullptr, 10) : 0;
  size_t failed_runs = 0;
  std::map<std::string, size_t> ends;  // failed runs by the cause of the lost quorum
  std::string first;
  for (size_t seed = std::max<size_t>(only, 1); seed <= (only ? only : IncidentSeeds()); ++seed) {
    for (bool keep_past : {true, false}) {
      WorldOptions options = OptionsWithStores(seed, keep_past, loss);
      if (RunTable(options, disk_faults, nullptr).empty()) continue;
      ++failed_runs;
      options.stop_on_violation = false;
      QuorumLoss lost = QuorumLoss::kNone;
      std::string figures = RunTable(options, disk_faults, &lost);
      ++ends[NameOf(lost)];
      if (first.empty())
        first = "seed " + std::to_string(seed) + (keep_past ? ", configuration " : ", registry ") + figures;
    }
  }
  std::printf("\n%s: %zu seeds of two tables, %zu failed", name, IncidentSeeds(), failed_runs);
  for (const auto& [end, days] : ends) std::printf("; at their end %s: %zu", end.c_str(), days);
  if (failed_runs > 0) FAIL(first.c_str());
}

}  // namespace

TEST_GROUP(IncidentTimeline){};

TEST(IncidentTimeline, OnDisksThatLoseNames) { RunSeeds("names are lost", {.loses_names = true}); }
TEST(IncidentTimeline, OnDisksThatTearWrites) { RunSeeds("writes are torn", {.tears_writes = true}); }
TEST(IncidentTimeline, OnDisksThatDoBothAndAreFullOrHang) {
  RunSeeds("both, and full or hanging disks", {.loses_names = true, .tears_writes = true}, true);
}
TEST(IncidentTimeline, OnDisksThatLoseOnlyUnsyncedTails) { RunSeeds("unsynced tails are lost", {}); }

TEST_GROUP(QuorumDiagnosis){};

// Each cause is produced on faultless disks and must be recognized from what the cores log.
TEST(QuorumDiagnosis, AQuorumThatDecidesNothingIsUndecided) {
  WorldOptions options = OptionsWithStores(1, true, {});
  bool withheld = false;
  options.tamper = [&withheld](const std::string&, const std::string&, PeerMessage* message) {
    bool answer = std::holds_alternative<messages::Accepted>(message->body) ||
                  std::holds_alternative<messages::Promise>(message->body);
    if (withheld && answer) message->body = messages::Heartbeat{};
  };
  World world(options);
  Operators operators(&world, options.keep_past, 0.05);
  world.RunUntil(2);
  withheld = true;
  world.RunFor(4);
  CHECK_EQUAL_TEXT(std::string("undecided"), NameOf(DiagnoseQuorumLoss(world)),
                   FiguresOfCores(world).c_str());
  withheld = false;
  world.RunFor(3);
  CHECK_EQUAL(std::string("none"), NameOf(DiagnoseQuorumLoss(world)));
}

TEST(QuorumDiagnosis, CoresThatDontReachEachOtherAreUnreachable) {
  World world(OptionsWithStores(1, true, {}));
  world.RunUntil(2);
  for (const std::string& name : world.Machines()) world.Isolate(name);
  world.RunFor(4);
  CHECK_EQUAL(std::string("unreachable"), NameOf(DiagnoseQuorumLoss(world)));
}

TEST(QuorumDiagnosis, AStoreThatCantBeOpenedIsUnavailableUntilItsDiskTakesWritesAgain) {
  World world(OptionsWithStores(1, true, {}));
  world.RunUntil(2);
  for (const char* name : {kBrest, kLorient}) {
    world.PowerOff(name);
    world.RefuseWrites(name, true);
    world.Start(name);
  }
  world.RunFor(4);
  CHECK_EQUAL(std::string("store unavailable"), NameOf(DiagnoseQuorumLoss(world)));
  for (const char* name : {kBrest, kLorient}) world.RefuseWrites(name, false);
  CheckQuorum(&world, "after the disks take writes again");
  CHECK_EQUAL(std::string(), world.violation());
}
