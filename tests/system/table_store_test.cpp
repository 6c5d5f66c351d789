// A table on disk: what was told as stored is there again, exactly, whatever the disk refuses and whenever
// the power is lost.
#include "storage/table_store.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "faulty_env.h"
#include "net/clock.h"
#include "table_store_samples.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using replication::LoadedState;
using replication::Record;
using replication::StoreBatch;
using storage::OpenedTable;
using storage::OpenOptions;
using storage::TableStore;
using testing::ByKey;
using testing::FaultyEnv;
using testing::Folder;
using testing::MakeRecord;
using testing::OptionsOn;
using testing::PowerLoss;
using testing::Records;

namespace {

// A store from its opening to its end.
class Life {
 public:
  explicit Life(const std::string& folder, const OpenOptions& options = {}) : store_(io_, folder, options) {
    opened = store_.TakeOpened();
    store_.OnStored([this](uint64_t number) {
      CHECK_EQUAL(stored + 1, number);
      stored = number;
    });
    store_.OnRefused([this](const storage::WriteError& error) {
      ++refused;
      last_error = error;
    });
  }
  uint64_t Store(StoreBatch batch) {
    batch.number = ++given_;
    if (batch.state.store_id == 0) batch.state.store_id = opened.loaded.state.store_id;
    store_.Store(std::move(batch));
    return given_;
  }
  void Await(uint64_t number) {
    while (stored < number) io_.run_one();
  }
  void Poll() { io_.poll(); }

  OpenedTable opened;
  uint64_t stored = 0;
  int refused = 0;
  storage::WriteError last_error;

 private:
  asio::io_context io_{1};
  TableStore store_;
  uint64_t given_ = 0;
};

// LevelDB may be removing files meanwhile: those that are gone take no room.
size_t BytesIn(const std::string& folder) {
  size_t bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::error_code gone;
    size_t size = std::filesystem::file_size(entry.path(), gone);
    if (!gone) bytes += size;
  }
  return bytes;
}
void WriteDirectly(const std::string& folder, const std::map<std::string, std::string>& entries) {
  leveldb::Options options;
  options.create_if_missing = true;
  leveldb::DB* opened = nullptr;
  CHECK(leveldb::DB::Open(options, folder, &opened).ok());
  std::unique_ptr<leveldb::DB> database(opened);
  for (const auto& [key, value] : entries) {
    bool written = value == "ERASE" ? database->Delete({}, key).ok() : database->Put({}, key, value).ok();
    CHECK(written);
  }
}
std::string OpeningError(const std::string& folder) {
  try {
    Life life(folder);
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_GROUP(TableStoreTest) { Folder folder; };

TEST(TableStoreTest, ANewStoreIsAFoundersOrALearnersFromItsFirstMomentOn) {
  OpenOptions founder;
  founder.founder = true;
  founder.first_membership = {1, {{"10.0.0.1", 1, "a"}, {"10.0.0.2", 1, "b"}}};
  for (int life = 0; life < 2; ++life) {
    OpenedTable opened = Life(folder.table(), founder).opened;
    CHECK(opened.created == (life == 0));
    CHECK_EQUAL(replication::kFounderStoreId, opened.loaded.state.store_id);
    CHECK(opened.loaded.state.membership == founder.first_membership);
  }
  uint64_t first = Life(folder.other(1)).opened.loaded.state.store_id;
  OpenedTable again = Life(folder.other(1), founder).opened;
  CHECK(first > replication::kFounderStoreId);
  CHECK_EQUAL(first, again.loaded.state.store_id);
  CHECK_EQUAL(0u, again.loaded.state.membership.epoch);
  CHECK(Life(folder.other(2)).opened.loaded.state.store_id != first);
}

TEST(TableStoreTest, WhatWasStoredIsThereInTheNextLife) {
  Record a = MakeRecord("t/a", 4), b = MakeRecord("t/b", 6);
  replication::AcceptedChange accepted{
      {3, 9}, {8, {{5, 1}}, {a}, {"t/z"}, replication::Membership{2, {{"10.0.0.9", 5, "c"}}}}};
  {
    Life life(folder.table());
    life.Store(Records({a, MakeRecord("t/b", 5), MakeRecord("t/c", 5)}));
    StoreBatch batch = Records({b});
    batch.erased = {"t/c"};
    batch.accepted_changed = true;
    batch.accepted = accepted;
    batch.state = {12, {3, {{"10.0.0.3", 4, "z"}}}, 7, {2, 8}};
    life.Store(batch);
    batch = StoreBatch();
    batch.state = {12, {3, {{"10.0.0.3", 4, "z"}}}, 7, {2, 9}};
    life.Await(life.Store(batch));  // wants no sync, and leaves what stands accepted
  }
  LoadedState loaded = Life(folder.table()).opened.loaded;
  CHECK_EQUAL(12u, loaded.state.store_id);
  CHECK(loaded.state.membership == (replication::Membership{3, {{"10.0.0.3", 4, "z"}}}));
  CHECK_EQUAL(7u, loaded.state.revision);
  CHECK(loaded.state.promised == (replication::ProposalNumber{2, 9}));
  CHECK(loaded.accepted && loaded.accepted->number == accepted.number &&
        loaded.accepted->change == accepted.change);
  CHECK(ByKey(loaded.records) == (std::map<std::string, Record>{{"t/a", a}, {"t/b", b}}));
  {
    Life life(folder.table());
    StoreBatch batch = Records({MakeRecord("t/new", 9)});
    batch.replace_all = batch.accepted_changed = true;
    life.Store(Records({MakeRecord("t/just before", 8)}));
    life.Await(life.Store(batch));
  }
  loaded = Life(folder.table()).opened.loaded;
  CHECK(!loaded.accepted);
  CHECK(ByKey(loaded.records) == (std::map<std::string, Record>{{"t/new", MakeRecord("t/new", 9)}}));
}

TEST(TableStoreTest, AnotherFormatIsRefusedWithOneLineAndLeftAsItIs) {
  WriteDirectly(folder.table(), {{"!counts", "1"}, {"!cores", "x"}, {"backends/1", "item"}});
  std::string error = OpeningError(folder.table());
  STRCMP_CONTAINS(folder.table().c_str(), error.c_str());
  STRCMP_CONTAINS("format 1, and format 2 is wanted", error.c_str());
  CHECK(error.find('\n') == std::string::npos);
  STRCMP_EQUAL(error.c_str(), OpeningError(folder.table()).c_str());
  WriteDirectly(folder.other(1), {{"!format", "3"}, {"!state", "of the future"}});
  STRCMP_CONTAINS("format 3, and format 2 is wanted", OpeningError(folder.other(1)).c_str());
}

TEST(TableStoreTest, ADamagedStoreIsPutAsideAndTheNewOneIsNoFounders) {
  OpenOptions founder;
  founder.founder = true;
  founder.first_membership = {1, {{"10.0.0.1", 1, "a"}}};
  auto break_current = [](const std::string& path) { std::ofstream(path + "/CURRENT") << "nonsense"; };
  auto lose_current = [](const std::string& path) { std::filesystem::remove(path + "/CURRENT"); };
  auto break_record = [](const std::string& path) { WriteDirectly(path, {{"r/t/a", "nonsense"}}); };
  auto swap_record = [](const std::string& path) {
    leveldb::DB* database = nullptr;
    CHECK(leveldb::DB::Open({}, path, &database).ok());
    std::string value;
    CHECK(database->Get({}, "r/t/a", &value).ok());
    delete database;
    WriteDirectly(path, {{"r/t/b", value}});
  };
  auto lose_state = [](const std::string& path) { WriteDirectly(path, {{"!state", "ERASE"}}); };
  auto lose_format = [](const std::string& path) { WriteDirectly(path, {{"!format", "ERASE"}}); };
  auto break_format = [](const std::string& path) { WriteDirectly(path, {{"!format", "2x"}}); };
  auto break_log = [](const std::string& path) {
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      if (entry.path().extension() != ".log" || entry.file_size() == 0) continue;
      std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(20).put('#');
    }
  };
  std::vector<std::function<void(const std::string&)>> damages = {break_current, lose_current, break_record,
                                                                  swap_record,   lose_state,   lose_format,
                                                                  break_format,  break_log};
  for (size_t n = 0; n < damages.size(); ++n) {
    std::string path = folder.other(static_cast<int>(n));
    {
      Life life(path, founder);
      life.Await(life.Store(Records({MakeRecord("t/a", 4)})));
    }
    damages[n](path);
    OpenedTable opened = Life(path, founder).opened;
    CHECK_TEXT(!opened.unreadable.empty(), std::to_string(n).c_str());
    CHECK(opened.created && opened.loaded.records.empty());
    CHECK(opened.loaded.state.store_id > replication::kFounderStoreId);
    CHECK_EQUAL(0u, opened.loaded.state.membership.epoch);
    CHECK(std::filesystem::exists(path + ".unreadable"));
    OpenedTable again = Life(path, founder).opened;
    CHECK(again.unreadable.empty() && !again.created);
    CHECK_EQUAL(opened.loaded.state.store_id, again.loaded.state.store_id);
  }
}

TEST(TableStoreTest, AWriteThatIsRefusedIsTriedAgainBeforeAnythingLater) {
  FaultyEnv env(1, folder.table());
  OpenOptions options = OptionsOn(&env);
  {
    Life life(folder.table(), options);
    env.Refuse(40, 0);
    for (uint64_t n = 1; n <= 20; ++n) life.Store(Records({MakeRecord("t/" + std::to_string(n % 7), n)}));
    life.Await(20);
    CHECK_EQUAL(1, life.refused);
    CHECK(env.refusals() >= 40);
  }
  CHECK_EQUAL(7u, Life(folder.table()).opened.loaded.records.size());
}

TEST(TableStoreTest, ADiskThatRefusesForGoodDoesNotHoldUpTheEnd) {
  FaultyEnv env(1, folder.table());
  OpenOptions options = OptionsOn(&env);
  options.retry_pause_ms = 3600 * 1000;
  Life life(folder.table(), options);
  env.Refuse(1 << 30, 0);
  life.Store(Records({MakeRecord("t/a", 1)}));
  while (life.refused == 0) life.Poll();
  CHECK_EQUAL(0u, life.stored);
}

// Guards against: only the first error of a write was told, so a store that was damaged meanwhile was tried
// again without end and without a line.
TEST(TableStoreTest, AStoreThatIsDamagedWhileItIsRefusedIsTold) {
  FaultyEnv env(1, folder.table());
  Life life(folder.table(), OptionsOn(&env));
  constexpr int kForGood = 1 << 30;
  env.Refuse(kForGood, 0);
  life.Store(Records({MakeRecord("t/a", 1)}));
  while (life.refused == 0) life.Poll();
  CHECK(life.last_error.kind == storage::WriteError::Kind::kRefused);
  std::ofstream(folder.table() + "/CURRENT") << "nonsense";
  env.Refuse(0, 0);
  while (life.refused == 1) life.Poll();
  CHECK(life.last_error.kind == storage::WriteError::Kind::kDamaged);
  STRCMP_CONTAINS("CURRENT", life.last_error.reason.c_str());
  CHECK_EQUAL(0u, life.stored);
}

namespace {

// What the disk must hold after each batch, by its revision: batch n of a run brings revision n.
struct Expected {
  std::map<std::string, Record> records;
  std::optional<uint64_t> accepted_round;
};

StoreBatch DrawBatch(std::mt19937_64& random, uint64_t revision, Expected* expected) {
  auto one_in = [&](uint64_t n) { return random() % n == 0; };
  StoreBatch batch;
  batch.sync = !one_in(3);
  batch.replace_all = one_in(12);
  batch.state.store_id = 5;
  batch.state.revision = revision;
  if (batch.replace_all) expected->records.clear();
  for (uint64_t n = random() % 5; n > 0; --n) {
    Record record =
        MakeRecord("t/" + std::to_string(random() % 10), revision, one_in(20) ? 400'000 : random() % 300);
    expected->records[record.item.key] = record;
    batch.records.push_back(record);
  }
  if (!batch.replace_all && one_in(3) && !expected->records.empty()) {
    batch.erased = {expected->records.begin()->first};
    expected->records.erase(expected->records.begin());
  }
  batch.accepted_changed = one_in(2);
  if (batch.accepted_changed) {
    expected->accepted_round.reset();
    if (one_in(2)) {
      batch.accepted = replication::AcceptedChange{{revision, 1}, {}};
      expected->accepted_round = revision;
    }
  }
  return batch;
}

void CheckLoaded(const LoadedState& loaded, const std::deque<Expected>& history, uint64_t at_least) {
  uint64_t revision = loaded.state.revision;
  CHECK(revision >= at_least);
  CHECK(revision < history.size());
  CHECK(ByKey(loaded.records) == history[revision].records);
  CHECK_EQUAL(history[revision].records.size(), loaded.records.size());
  CHECK(loaded.accepted.has_value() == history[revision].accepted_round.has_value());
  if (loaded.accepted) CHECK_EQUAL(*history[revision].accepted_round, loaded.accepted->number.counter);
}

// A loss of power takes nothing that was synced, so the store stays the one that it was.
void CheckIntact(const OpenedTable& opened, uint64_t seed, int life_number) {
  std::string where = "seed " + std::to_string(seed) + ", life " + std::to_string(life_number) + ": ";
  CHECK_TEXT(opened.unreadable.empty(), (where + opened.unreadable).c_str());
  CHECK_TEXT(opened.created == (life_number == 0), (where + "made anew").c_str());
}

// Some lives of one table, each ended by a loss of power. Returns how many acts of the disk were refused.
int RunWithFaults(const Folder& folder, uint64_t seed, const PowerLoss& loss) {
  std::mt19937_64 random(seed);
  std::deque<Expected> history = {Expected{}};
  int refusals = 0;
  uint64_t told = 0;
  for (int life_number = 0; life_number < 3; ++life_number) {
    std::string path = folder.other(life_number), next = folder.other(life_number + 1);
    FaultyEnv env(seed * 8 + static_cast<uint64_t>(life_number), path);
    env.ForgetOnRefusedSync(random() % 2 == 0);
    Life life(path, OptionsOn(&env));
    CheckIntact(life.opened, seed, life_number);
    CheckLoaded(life.opened.loaded, history, told);
    uint64_t before = life.opened.loaded.state.revision;
    history.resize(before + 1);
    uint64_t given = 0;
    for (uint64_t steps = 10 + random() % 30; steps > 0; --steps) {
      if (random() % 6 == 0) env.Refuse(1 + static_cast<int>(random() % 8), static_cast<int>(random() % 6));
      Expected expected = history.back();
      StoreBatch batch = DrawBatch(random, history.size(), &expected);
      history.push_back(std::move(expected));
      given = life.Store(std::move(batch));
      if (random() % 3 == 0) life.Await(1 + random() % given);
      life.Poll();
    }
    if (random() % 3 == 0) life.Await(given);
    told = before + life.stored;
    env.CopyAsAfterPowerLoss(next, loss);
    refusals += env.refusals();
  }
  OpenedTable last = Life(folder.other(3)).opened;
  CheckIntact(last, seed, 3);
  CheckLoaded(last.loaded, history, told);
  return refusals;
}

void RunSeedsWithFaults(const PowerLoss& loss) {
  const char* told = std::getenv("IVYGW_STORE_SEEDS");
  uint64_t seeds = told ? std::strtoull(told, nullptr, 10) : 200;
  int refusals = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Folder of_run;
    refusals += RunWithFaults(of_run, seed, loss);
  }
  std::printf("table store: %d seeds, %d refusals\n", static_cast<int>(seeds), refusals);
  CHECK(refusals > static_cast<int>(seeds));
}

}  // namespace

TEST(TableStoreTest, AfterRefusalsAndLossesOfPowerThereIsAPrefixOfTheBatches) { RunSeedsWithFaults({}); }

TEST_GROUP(TableStoreNamesTest){};

TEST(TableStoreNamesTest, NamesThatWereNotSyncedMayBeKeptOrLostEachByItself) {
  RunSeedsWithFaults({.loses_names = true});
}

// Of a disk that refuses at the start, whichever act is the first that it refuses: the store is not taken for
// damaged, and is there once the disk takes writes again.
TEST(TableStoreTest, ADiskThatRefusesAtTheStartIsUnavailableAndNothingIsPutAside) {
  constexpr int kForGood = 1 << 30, kActsOfAStart = 14;
  for (int refused_after = 0; refused_after < kActsOfAStart; ++refused_after) {
    Folder of_run;
    FaultyEnv env(1, of_run.table());
    { Life(of_run.table(), OptionsOn(&env)).Await(0); }
    uint64_t store_id = Life(of_run.table(), OptionsOn(&env)).opened.loaded.state.store_id;
    env.Refuse(kForGood, refused_after);
    bool opened = true;
    try {
      Life life(of_run.table(), OptionsOn(&env));
    } catch (const storage::StoreUnavailable&) {
      opened = false;
    }
    CHECK_FALSE(opened && refused_after == 0);
    env.Refuse(0, 0);
    OpenedTable later = Life(of_run.table(), OptionsOn(&env)).opened;
    CHECK_EQUAL(store_id, later.loaded.state.store_id);
    CHECK_FALSE(later.created);
    CHECK(later.unreadable.empty());
  }
}

// A damaged store is put aside, and the disk refuses the new one: the start after that tells so, too, and
// never takes the empty folder for that of a first start.
TEST(TableStoreTest, AStoreThatWasPutAsideIsToldOnceTheNewOneIsThere) {
  Folder of_run;
  OpenOptions founder;
  founder.founder = true;
  { Life(of_run.table(), founder).Await(0); }
  std::filesystem::remove(of_run.table() + "/CURRENT");
  FaultyEnv env(1, of_run.table());
  OpenOptions refused = OptionsOn(&env);
  refused.founder = true;
  constexpr int kForGood = 1 << 30;
  env.Refuse(kForGood, 0);
  bool opened = true;
  try {
    Life life(of_run.table(), refused);
  } catch (const storage::StoreUnavailable&) {
    opened = false;
  }
  CHECK_FALSE(opened);
  OpenedTable later = Life(of_run.table(), founder).opened;
  CHECK(later.created);
  CHECK_FALSE(later.unreadable.empty());
  CHECK(later.loaded.state.store_id != replication::kFounderStoreId);
  CHECK(Life(of_run.table(), founder).opened.unreadable.empty());
}

// A process ends between a write and its sync; the next one reads that write and builds on it, then the power
// is lost. What the first process was told as stored, and all that the second one has read, must be there.
TEST(TableStoreNamesTest, WhatARestartHasReadSurvivesALossOfPower) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    Folder of_run;
    FaultyEnv env(seed, of_run.table());
    OpenOptions options = OptionsOn(&env);
    {
      Life life(of_run.table(), options);
      life.Await(life.Store(Records({MakeRecord("t/synced", 1)})));
      constexpr int kForGood = 1 << 30;
      env.Refuse(kForGood, 3);  // a record is appended and flushed by the first three acts, then synced
      life.Store(Records({MakeRecord("t/not synced", 2)}));
      while (life.refused == 0) life.Poll();
    }
    env.Refuse(0, 0);
    std::map<std::string, Record> read;
    {
      Life life(of_run.table(), options);
      CheckIntact(life.opened, seed, 1);
      read = ByKey(life.opened.loaded.records);
      life.Await(life.Store(Records({MakeRecord("t/later", 3)})));
      env.CopyAsAfterPowerLoss(of_run.other(1), {.loses_names = true});
    }
    OpenedTable last = Life(of_run.other(1)).opened;
    CheckIntact(last, seed, 2);
    read["t/later"] = MakeRecord("t/later", 3);
    CHECK(ByKey(last.loaded.records) == read);
  }
}

TEST_GROUP(TableStoreTornWriteTest){};

TEST(TableStoreTornWriteTest, WritesThatWereNotSyncedMayBeThereMissingOrTorn) {
  RunSeedsWithFaults({.tears_writes = true});
}

TEST(TableStoreTest, AFirstCallOfManyTenantsIsOneBatch) {
  std::vector<Record> records;
  for (uint64_t n = 0; n < 38'000; ++n) records.push_back(MakeRecord("tenants/" + std::to_string(n), 1, 400));
  Clock::time_point begun = Clock::now();
  {
    Life life(folder.table());
    life.Await(life.Store(Records(records)));
  }
  double written = std::chrono::duration<double>(Clock::now() - begun).count();
  begun = Clock::now();
  LoadedState loaded = Life(folder.table()).opened.loaded;
  double read = std::chrono::duration<double>(Clock::now() - begun).count();
  std::printf("table store: 38000 records written in %.2f s, read in %.2f s\n", written, read);
  CHECK(ByKey(loaded.records) == ByKey(records));
}

TEST(TableStoreTest, DiskUseIsBoundedByWhatStands) {
  constexpr uint64_t kChanges = 100'000, kKeys = 300;
  Life life(folder.table());
  size_t most = 0;
  for (uint64_t n = 1; n <= kChanges; ++n) {
    StoreBatch batch = Records({MakeRecord("t/" + std::to_string(n % kKeys), n, 300)});
    life.Store(std::move(batch));
    if (n % 200 != 0) continue;
    life.Await(n);
    if (n % 10'000 == 0) most = std::max(most, BytesIn(folder.table()));
  }
  std::printf("table store: %.1f MB on disk at most in 100000 changes of 300 keys\n",
              static_cast<double>(most) / 1e6);
  CHECK(most < 16'000'000);
}
