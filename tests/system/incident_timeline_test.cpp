// The timeline of docs/incidents/2026-12-02-quorum-lost-for-good.md on the simulated network, with the real
// store on disks that lose names and tear writes, are full or hang: no table may be without a quorum once its
// cores are back.

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

#include "system/control_operators.h"
#include "system/quorum_diagnosis.h"
#include "system/stored_disk.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using namespace ivygw::control_sim;

namespace {

constexpr double kRecovery = 5;  // s, for all members to be back in contact; the operators allow 15
constexpr double kSettled = 5;
constexpr double kAllowedRecovery = 15;

const char kBrest[] = "10.0.0.1", kLorient[] = "10.0.0.2", kRoscoff[] = "10.0.0.3";

size_t IncidentSeeds() {
  const char* told = std::getenv("IVYGW_INCIDENT_SEEDS");
  return told ? std::strtoul(told, nullptr, 10) : 60;
}

WorldOptions OptionsWithStores(uint64_t seed, bool keep_past, testing::PowerLoss loss) {
  WorldOptions options;
  options.seed = seed;
  options.keep_past = keep_past;
  options.make_store = StoredDisks(seed, loss);
  return options;
}

// Until a change is acknowledged, which is when the troubles of that day struck.
void AwaitAcknowledgement(World* world) {
  size_t before = world->rules().confirmed;
  double deadline = world->now() + 2;
  while (!world->Stops() && world->rules().confirmed == before && world->now() < deadline) world->For(0.001);
}

bool AllInContact(const World& world) {
  for (const std::string& name : world.Machines()) {
    if (!world.Runs(name) || !world.HasQuorumContact(name)) return false;
  }
  return true;
}

void CheckQuorum(World* world, const std::string& when) {
  double deadline = world->now() + kRecovery;
  while (!world->Stops() && !AllInContact(*world) && world->now() < deadline) world->For(0.05);
  if (world->Stops() || AllInContact(*world)) return;
  world->rules().Broken(when + ": no quorum contact everywhere after " + std::to_string(kRecovery) + " s, " +
                        NameOf(DiagnoseQuorumLoss(*world)) + FiguresOfCores(*world));
  world->For(0.1);  // it is taken up with the next event
}

// A core misses changes; one of the others loses its disk right after an acknowledgement and is back at once,
// the last one loses its power then, for 9 s, and the cut is over.
void CutThenLoseADiskAndPower(World* world, const std::string& behind, const std::string& wiped,
                              const std::string& dark, double cut_for) {
  world->Isolate(behind);
  world->For(cut_for);
  AwaitAcknowledgement(world);
  world->Wipe(wiped);
  world->PowerOff(dark);
  world->Rejoin(behind);
  world->For(0.1);
  world->Start(wiped);
  world->For(9);
  world->Start(dark);
  CheckQuorum(world, "after " + dark + " is back");
}

// The day as it was recorded, from 2 s to 92 s; the calm between is shorter, drawn.
void PlayTimeline(World* world) {
  world->For(2);
  CutThenLoseADiskAndPower(world, kBrest, kLorient, kRoscoff, 6);
  world->For(4 + 6 * world->Chance());
  CutThenLoseADiskAndPower(world, kLorient, kBrest, kRoscoff, 6);
  world->For(4 + 6 * world->Chance());
  AwaitAcknowledgement(world);
  for (const std::string& name : world->Machines()) world->PowerOff(name);
  world->For(0.5);
  for (const std::string& name : world->Machines()) world->Start(name);
  CheckQuorum(world, "after all lost power");
}

// Disks that are full or hang for seconds, one at a time.
class DiskTroubles {
 public:
  explicit DiskTroubles(World* world) : world_(world) { Next(); }
  void Stop() {
    stopped_ = true;
    if (!full_.empty()) world_->RefuseWrites(full_, false);
  }

 private:
  void Next() {
    world_->At(1 + 4 * world_->Chance(), [this] {
      if (!stopped_) Begin(world_->Any(), 0.3 + 2.5 * world_->Chance());
    });
  }
  void Begin(const std::string& machine, double duration) {
    if (world_->Chance(0.5)) {
      world_->HangDisk(machine, duration);
    } else {
      full_ = machine;
      world_->RefuseWrites(machine, true);
    }
    world_->At(duration, [this] { End(); });
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

// One table's day. How it ended is in `lost`, where not null: then it goes on after a rule is broken, and
// all processes are started once more.
std::string PlayDay(const WorldOptions& options, bool disk_troubles, QuorumLoss* lost) {
  World world(options);
  Operators operators(&world, options.keep_past, 0.2);
  std::unique_ptr<DiskTroubles> troubles;
  if (disk_troubles) troubles = std::make_unique<DiskTroubles>(&world);
  PlayTimeline(&world);
  if (troubles) troubles->Stop();
  operators.Stop();
  world.HealAll();
  if (lost) {
    world.For(kAllowedRecovery);
    *lost = DiagnoseQuorumLoss(world);
    return world.broken() + FiguresOfCores(world);
  }
  world.CheckSettles(kSettled);
  for (const std::string& name : world.Machines()) {
    const std::string& reason = world.store(name)->put_aside();
    if (world.broken().empty() && !reason.empty()) return name + " put its store aside: " + reason;
  }
  return world.broken();
}

// Both tables: the store of configuration and the registry.
void PlaySeeds(const char* name, testing::PowerLoss loss, bool disk_troubles = false) {
  const char* told = std::getenv("IVYGW_SEED");  // for whoever looks into one
  size_t only = told ? std::strtoul(told, nullptr, 10) : 0;
  size_t broken_days = 0;
  std::map<std::string, size_t> ends;  // of broken days, by why a quorum was lost
  std::string first;
  for (size_t seed = std::max<size_t>(only, 1); seed <= (only ? only : IncidentSeeds()); ++seed) {
    for (bool keep_past : {true, false}) {
      WorldOptions options = OptionsWithStores(seed, keep_past, loss);
      if (PlayDay(options, disk_troubles, nullptr).empty()) continue;
      ++broken_days;
      options.stops_when_broken = false;
      QuorumLoss lost = QuorumLoss::kNone;
      std::string figures = PlayDay(options, disk_troubles, &lost);
      ++ends[NameOf(lost)];
      if (first.empty())
        first = "seed " + std::to_string(seed) + (keep_past ? ", configuration " : ", registry ") + figures;
    }
  }
  std::printf("\n%s: %zu seeds of two tables, %zu broken", name, IncidentSeeds(), broken_days);
  for (const auto& [end, days] : ends) std::printf("; at their end %s: %zu", end.c_str(), days);
  if (broken_days > 0) FAIL(first.c_str());
}

}  // namespace

TEST_GROUP(IncidentTimeline){};

TEST(IncidentTimeline, OnDisksThatLoseNames) { PlaySeeds("names are lost", {.loses_names = true}); }
TEST(IncidentTimeline, OnDisksThatTearWrites) { PlaySeeds("writes are torn", {.tears_writes = true}); }
TEST(IncidentTimeline, OnDisksThatDoBothAndAreFullOrHang) {
  PlaySeeds("both, and full or hanging disks", {.loses_names = true, .tears_writes = true}, true);
}
TEST(IncidentTimeline, OnDisksThatOnlyForgetEnds) { PlaySeeds("ends are forgotten", {}); }

TEST_GROUP(QuorumDiagnosis){};

// Each cause is planted on sound disks, and told by what the cores log.
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
  world.Until(2);
  withheld = true;
  world.For(4);
  CHECK_EQUAL_TEXT(std::string("undecided"), NameOf(DiagnoseQuorumLoss(world)),
                   FiguresOfCores(world).c_str());
  withheld = false;
  world.For(3);
  CHECK_EQUAL(std::string("none"), NameOf(DiagnoseQuorumLoss(world)));
}

TEST(QuorumDiagnosis, CoresThatDontReachEachOtherAreUnreachable) {
  World world(OptionsWithStores(1, true, {}));
  world.Until(2);
  for (const std::string& name : world.Machines()) world.Isolate(name);
  world.For(4);
  CHECK_EQUAL(std::string("unreachable"), NameOf(DiagnoseQuorumLoss(world)));
}

TEST(QuorumDiagnosis, AStoreThatCantBeOpenedIsUnavailableUntilItsDiskTakesWritesAgain) {
  World world(OptionsWithStores(1, true, {}));
  world.Until(2);
  for (const char* name : {kBrest, kLorient}) {
    world.PowerOff(name);
    world.RefuseWrites(name, true);
    world.Start(name);
  }
  world.For(4);
  CHECK_EQUAL(std::string("store unavailable"), NameOf(DiagnoseQuorumLoss(world)));
  for (const char* name : {kBrest, kLorient}) world.RefuseWrites(name, false);
  CheckQuorum(&world, "after the disks take writes again");
  CHECK_EQUAL(std::string(), world.broken());
}
