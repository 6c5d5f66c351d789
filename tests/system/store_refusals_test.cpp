// Each act of the disk refused, by itself: once, twice and for good, not done or done all the same, then
// perhaps a loss of power. A sound store stays the one that it was, with all that was told as stored.
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "faulty_env.h"
#include "storage/table_disk.h"
#include "table_store_samples.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using storage::OpenedTable;
using storage::TableDisk;
using testing::ByKey;
using testing::FaultyEnv;
using testing::Folder;
using testing::MakeRecord;
using testing::PowerLoss;

namespace {

constexpr int kForGood = 1 << 30;
constexpr int kDrawsOfLostNames = 24;
constexpr int kTries = 4;  // more than a disk that comes back refuses

// What the disk refuses from an act on.
struct Refusals {
  int times = 1;
  bool any = true;    // reading and removing are acts, too
  bool done = false;  // told as refused, though it was done

  bool Pass() const { return times < kTries; }
};

struct Fault {
  int act = 0;  // the first one that is refused
  Refusals refusals = {};
  std::optional<PowerLoss> loss = {};
  uint64_t seed = 1;
};

// A machine with one store on a faulty disk, from process to process.
class Machine {
 public:
  explicit Machine(uint64_t seed) : folder_(root_.table()) { UseFolder(seed); }

  FaultyEnv& env() { return *env_; }
  const std::string& folder() const { return folder_; }
  const std::optional<OpenedTable>& opened() const { return opened_; }

  // False where the disk refuses; a disk that is damaged instead fails the test.
  bool Open() {
    storage::OpenOptions options = testing::OptionsOn(env_.get());
    options.founder = true;
    options.first_membership = {1, {{"10.0.0.1", replication::kFounderStoreId, ""}}};
    try {
      disk_ = std::make_unique<TableDisk>(folder_, options);
    } catch (const storage::StoreUnavailable&) {
      return false;
    }
    env_->AwaitBackgroundWork();
    opened_ = disk_->TakeOpened();
    return true;
  }
  bool Write(const std::string& key, uint64_t version, size_t size = 10) {
    replication::Record record = MakeRecord(key, version, size);
    tried_[key].insert(version);
    replication::StoreBatch batch = testing::Records({record});
    batch.state = opened_->loaded.state;
    last_error_ = disk_->Write({batch}).reason;
    env_->AwaitBackgroundWork();
    if (last_error_.empty()) told_[key] = version;
    return last_error_.empty();
  }
  bool OpenWithTries() {
    for (int i = 0; i < kTries; ++i) {
      if (Open()) return true;
    }
    return false;
  }
  bool WriteWithTries(const std::string& key, uint64_t version) {
    for (int i = 0; i < kTries; ++i) {
      if (Write(key, version)) return true;
    }
    return false;
  }
  void End() { disk_.reset(); }
  void Refuse(const Fault& fault) {
    env_->RefusedActsAreDone(fault.refusals.done);
    env_->ForgetOnRefusedSync(fault.seed % 2 == 0);
    refused_before_ = env_->refusals();
    if (fault.refusals.any) {
      env_->RefuseAnyAct(fault.refusals.times, fault.act);
    } else {
      env_->Refuse(fault.refusals.times, fault.act);
    }
  }
  void RefuseNothing() {
    env_->RefusedActsAreDone(false);
    env_->RefuseAnyAct(0, 0);
    env_->Refuse(0, 0);
  }
  bool AnythingRefused() const { return env_->refusals() > refused_before_; }
  // What is left is drawn this many times.
  void CheckAfterLossesOfPower(const PowerLoss& loss, int draws, const std::string& where) {
    for (int i = 0; i < draws; ++i) env_->CopyAsAfterPowerLoss(root_.other(i), loss);
    for (int i = 0; i < draws; ++i) {
      End();
      folder_ = root_.other(i);
      UseFolder(1);
      CheckNextProcess(where);
    }
  }

  // What the next process finds on a disk that is well again.
  void CheckNextProcess(const std::string& where) {
    End();
    RefuseNothing();
    CHECK_TEXT(Open(), (where + "not opened").c_str());
    CHECK_TEXT(opened_->unreadable.empty(), (where + opened_->unreadable).c_str());
    CHECK_TEXT(!opened_->created || told_.empty(), (where + "made anew").c_str());
    CHECK_EQUAL_TEXT(replication::kFounderStoreId, opened_->loaded.state.store_id, where.c_str());
    auto found = ByKey(opened_->loaded.records);
    for (const auto& [key, version] : told_) {
      bool kept = found.count(key) > 0 && found.at(key).item.version >= version;
      CHECK_TEXT(kept, (where + key + " is lost").c_str());
    }
    for (const auto& [key, record] : found) {
      CHECK_TEXT(tried_[key].count(record.item.version) > 0, (where + key + " was never written").c_str());
    }
  }
  const std::string& last_error() const { return last_error_; }

 private:
  void UseFolder(uint64_t seed) {
    std::filesystem::create_directories(folder_);
    env_ = std::make_unique<FaultyEnv>(seed, folder_);
  }

  Folder root_;
  std::string folder_;
  std::unique_ptr<FaultyEnv> env_;
  std::unique_ptr<TableDisk> disk_;
  std::optional<OpenedTable> opened_;
  std::map<std::string, uint64_t> told_;  // as stored: versions by key
  std::map<std::string, std::set<uint64_t>> tried_;
  std::string last_error_;
  int refused_before_ = 0;
};

std::string Where(const Fault& fault, const std::string& refused) {
  return (fault.refusals.any ? "act " : "write ") + std::to_string(fault.act) + " (" + refused + ")" +
         (fault.refusals.done ? ", done," : "") + " refused " +
         (fault.refusals.Pass() ? std::to_string(fault.refusals.times) : "for good") + ", " +
         (fault.loss ? "loss of power, " : "") + "seed " + std::to_string(fault.seed) + ": ";
}

// What a process does on the disk while it refuses.
void StartAndWrite(Machine* machine, const Fault& fault) {
  machine->Refuse(fault);
  bool done = machine->OpenWithTries() && machine->WriteWithTries("t/b", 2);
  std::string where = Where(fault, machine->env().last_refused());
  CHECK_TEXT(done || !fault.refusals.Pass(), (where + "never stored: " + machine->last_error()).c_str());
}

using Scenario = void (*)(Machine* machine, const Fault& fault);

void FirstStart(Machine* machine, const Fault& fault) { StartAndWrite(machine, fault); }

// A process that writes a record, and ends. The next opening writes what the log holds to a table.
void LiveOnce(Machine* machine, const std::string& key, uint64_t version) {
  machine->Open();
  machine->Write(key, version, 1000);
  machine->End();
}

void Start(Machine* machine, const Fault& fault) {
  LiveOnce(machine, "t/table", 1);
  LiveOnce(machine, "t/log", 1);
  StartAndWrite(machine, fault);
}

void Reopening(Machine* machine, const Fault& fault) {
  machine->Open();
  machine->Write("t/a", 1);
  machine->env().Refuse(1, 0);
  CHECK_FALSE(machine->Write("t/b", 2));
  machine->Refuse(fault);
  bool done = machine->WriteWithTries("t/b", 2);
  std::string where = Where(fault, machine->env().last_refused());
  CHECK_TEXT(done || !fault.refusals.Pass(),
             (where + "never stored again: " + machine->last_error()).c_str());
}

size_t TablesIn(const std::string& folder) {
  size_t tables = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".ldb") ++tables;
  }
  return tables;
}

// Four tables are compacted.
void Compaction(Machine* machine, const Fault& fault) {
  constexpr uint64_t kOpenings = 4;
  LiveOnce(machine, "t/first", 1);
  for (uint64_t version = 2; version <= kOpenings; ++version) LiveOnce(machine, "t/a", version);
  StartAndWrite(machine, fault);
  if (!machine->AnythingRefused()) CHECK(TablesIn(machine->folder()) != kOpenings);
}

void LoseCurrentFile(Machine* machine) {
  machine->env().RemoveFile(machine->folder() + "/CURRENT");
  machine->env().SyncFolder(machine->folder());
}

// Returns whether anything was refused.
bool Play(Scenario scenario, const Fault& fault) {
  Machine machine(fault.seed);
  scenario(&machine, fault);
  std::string where = Where(fault, machine.env().last_refused());
  bool refused = machine.AnythingRefused();
  int draws = fault.refusals.any ? 1 : kDrawsOfLostNames;
  if (fault.loss) {
    machine.CheckAfterLossesOfPower(*fault.loss, draws, where);
  } else {
    machine.CheckNextProcess(where);
  }
  return refused;
}

void RefuseEachAct(Scenario scenario, int acts_at_least) {
  const char* told = std::getenv("IVYGW_STORE_SEEDS");
  uint64_t seeds = told ? std::strtoull(told, nullptr, 10) : 1;
  const std::vector<Refusals> refusals = {{.times = 1},
                                          {.times = 1, .done = true},
                                          {.times = 2},
                                          {.times = 2, .done = true},
                                          {.times = kForGood},
                                          {.times = kForGood, .done = true},
                                          {.times = kForGood, .any = false}};
  const std::vector<std::optional<PowerLoss>> losses = {std::nullopt, PowerLoss{},
                                                        PowerLoss{.loses_names = true},
                                                        PowerLoss{.loses_names = true, .tears_writes = true}};
  int plays = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const Refusals& refused : refusals) {
      for (const auto& loss : losses) {
        // What is removed where nothing is synced shows by names that are lost, if at all.
        bool shows = refused.any || (loss && loss->loses_names && !loss->tears_writes);
        if (!shows) continue;
        int act = 0;
        while (Play(scenario, {act, refused, loss, seed})) ++act;
        CHECK(act >= (refused.any ? acts_at_least : acts_at_least / 2));
        plays += act;
      }
    }
  }
  std::printf("store refusals: %d plays\n", plays);
}

}  // namespace

TEST_GROUP(StoreRefusalsTest){};

// The sync of the folder behind the rename of CURRENT was refused: the store was put aside at the next start.
TEST(StoreRefusalsTest, ASoundStoreSurvivesEachRefusedActOfAStart) { RefuseEachAct(Start, 50); }

// The same at a reopening: nothing was ever stored again.
TEST(StoreRefusalsTest, AStoreThatIsReopenedStoresAgainAfterEachRefusedAct) { RefuseEachAct(Reopening, 45); }

TEST(StoreRefusalsTest, ASoundStoreSurvivesEachRefusedActOfACompaction) { RefuseEachAct(Compaction, 80); }

TEST(StoreRefusalsTest, ANewStoreIsTheFoundersAfterEachRefusedActOfItsFirstStart) {
  RefuseEachAct(FirstStart, 50);
}

// Guards against: the new store was made, then the folder's sync refused, and no start ever told that the one
// before had been put aside.
TEST(StoreRefusalsTest, AStoreThatWasPutAsideIsToldByTheFirstStartThatOpensTheNewOne) {
  for (bool done : {false, true}) {
    bool refused = true;
    for (int act = 0; refused; ++act) {
      Machine machine(1);
      machine.Open();
      machine.End();
      LoseCurrentFile(&machine);
      Fault fault = {.act = act, .refusals = {.done = done}};
      machine.Refuse(fault);
      CHECK(machine.OpenWithTries());
      std::string where = Where(fault, machine.env().last_refused());
      CHECK_TEXT(!machine.opened()->unreadable.empty(), (where + "not told").c_str());
      CHECK(machine.opened()->loaded.state.store_id != replication::kFounderStoreId);
      refused = machine.AnythingRefused();
      machine.End();
      machine.RefuseNothing();
      CHECK(machine.Open());
      CHECK(machine.opened()->unreadable.empty());
    }
  }
}
