// Snapshot files: every damage is found, and a store made of one is whole.
#include "snapshot/snapshot.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "storage/store_creation.h"
#include "storage/table_disk.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using snapshot::ImportPlan;
using snapshot::ReadResult;
using snapshot::Snapshot;
using snapshot::SnapshotErrorCode;

namespace {

Snapshot Sample() {
  Snapshot sample;
  sample.table = "config_store";
  sample.membership = {4, {{"10.0.0.1", 7, "a"}, {"10.0.0.2", 8, "b"}}};
  sample.revision = 12;
  sample.records = {{{"routes/a", 3, false, "{}"}, 12, {{1, 5}, {2, 6}}}, {{"routes/b", 2, true, ""}, 9, {}}};
  return sample;
}
std::string BytesOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
void SetBytes(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

}  // namespace

TEST_GROUP(SnapshotTest) {
  std::string folder, path;
  void setup() override {
    char name[] = "/tmp/ivygw_snapshot.XXXXXX";
    folder = mkdtemp(name);
    path = folder + "/file";
  }
  void teardown() override { std::filesystem::remove_all(folder); }
  SnapshotErrorCode CodeOf(const std::string& bytes) {
    SetBytes(path, bytes);
    ReadResult read = snapshot::ReadSnapshot(path);
    CHECK(read.snapshot.has_value() == (read.error.code == SnapshotErrorCode::kNone));
    CHECK(read.error.message.find('\n') == std::string::npos);
    return read.error.code;
  }
};

TEST(SnapshotTest, IsReadAsItWasWritten) {
  CHECK(!snapshot::WriteSnapshot(path, Sample()));
  CHECK(!snapshot::WriteSnapshot(path, Sample()));  // in the place of the one before
  ReadResult read = snapshot::ReadSnapshot(path);
  CHECK(read.snapshot && *read.snapshot == Sample());
  CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 1);
  CHECK(snapshot::WriteSnapshot(folder + "/none/file", Sample()).code == SnapshotErrorCode::kUnwritable);
  CHECK(snapshot::ReadSnapshot(folder + "/none").error.code == SnapshotErrorCode::kUnreadable);
  CHECK(snapshot::ReadSnapshot(folder).error.code == SnapshotErrorCode::kUnreadable);
}

TEST(SnapshotTest, EveryBitThatIsNotAsWrittenIsFound) {
  CHECK(!snapshot::WriteSnapshot(path, Sample()));
  const std::string good = BytesOf(path);
  for (size_t at = 0; at < good.size(); ++at) {
    for (int flip : {1, 2, 4, 8, 16, 32, 64, 128, 255}) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ flip);
      SnapshotErrorCode expected = at < 8    ? SnapshotErrorCode::kForeign
                                   : at < 12 ? SnapshotErrorCode::kOtherFormat
                                   : at < 20 ? SnapshotErrorCode::kTruncated
                                             : SnapshotErrorCode::kDamaged;
      CHECK_TEXT(CodeOf(bad) == expected, std::to_string(at).c_str());
    }
  }
  CHECK(CodeOf(good) == SnapshotErrorCode::kNone);
}

TEST(SnapshotTest, EveryLengthThatIsNotAsWrittenIsFound) {
  CHECK(!snapshot::WriteSnapshot(path, Sample()));
  const std::string good = BytesOf(path);
  for (size_t length = 1; length < good.size(); ++length) {
    CHECK_TEXT(CodeOf(good.substr(0, length)) == SnapshotErrorCode::kTruncated,
               std::to_string(length).c_str());
  }
  CHECK(CodeOf(good + '\0') == SnapshotErrorCode::kTruncated);
  CHECK(CodeOf("") == SnapshotErrorCode::kForeign);
  CHECK(CodeOf("{\"routes\": []}") == SnapshotErrorCode::kForeign);
}

TEST(SnapshotTest, RecordsThatAreNoTableAreRefused) {
  Snapshot twice = Sample(), beyond = Sample();
  twice.records.push_back(twice.records[0]);
  beyond.records[0].revision = beyond.revision + 1;
  for (const Snapshot& bad : {twice, beyond}) {
    CHECK(!snapshot::WriteSnapshot(path, bad));
    CHECK(snapshot::ReadSnapshot(path).error.code == SnapshotErrorCode::kDamaged);
  }
}

TEST(SnapshotTest, EveryFirstMemberBeginsWithTheSameAndCountsItselfAMember) {
  std::vector<replication::LoadedState> loaded;
  std::vector<std::string> named = {"10.0.0.7", "10.0.0.8", "10.0.0.1"};
  for (const char* address : {"10.0.0.7", "10.0.0.8", "10.0.0.1"}) {
    ImportPlan plan{folder + "/" + address + "/ivygw-config-store", "config_store", named, address};
    CHECK(!snapshot::ImportSnapshot(Sample(), plan));
    std::rotate(named.begin(), named.begin() + 1, named.end());  // the order doesn't matter
    storage::OpenedTable opened = storage::TableDisk(plan.folder, {}).TakeOpened();
    CHECK(!opened.created && opened.unreadable.empty());
    CHECK(opened.loaded.records == Sample().records);
    CHECK_EQUAL(12u, opened.loaded.state.revision);
    CHECK(opened.loaded.state.membership.epoch > Sample().membership.epoch + 1000);
    CHECK_EQUAL(3u, opened.loaded.state.membership.members.size());
    size_t counted = 0;
    for (const replication::Member& member : opened.loaded.state.membership.members) {
      counted += member.address == address && member.store_id == opened.loaded.state.store_id;
      CHECK(member.store_id > replication::kFounderStoreId);
    }
    CHECK_EQUAL(1u, counted);
    loaded.push_back(std::move(opened.loaded));
  }
  CHECK(loaded[0].state.membership == loaded[1].state.membership);
  CHECK(loaded[0].state.membership == loaded[2].state.membership);
}

// Guards against: a store was made and its parent's sync refused, and the next try was told that the folder
// exists.
TEST(SnapshotTest, AStoreWhoseFolderCouldNotBeSyncedIsMadeByTheNextTry) {
  replication::LoadedState content;
  content.state.store_id = 7;
  content.records = Sample().records;
  std::string store = folder + "/member/config_store";
  for (int refused = 0; refused < 2; ++refused) {
    int syncs = 0;
    auto refuse_one = [&](const std::string&) { return syncs++ != refused; };
    CHECK_THROWS(std::runtime_error, storage::CreateStore(store, content, refuse_one));
  }
  storage::CreateStore(store, content);
  CHECK(storage::TableDisk(store, {}).TakeOpened().loaded.records == content.records);
  // It has been opened since: it is another process's now.
  CHECK_THROWS(std::runtime_error, storage::CreateStore(store, content));
}

TEST(SnapshotTest, NothingIsImportedWhereItDoesNotBelong) {
  ImportPlan good{folder + "/ivygw-config-store", "config_store", {"10.0.0.1"}, "10.0.0.1"};
  ImportPlan other_table = good, stranger = good, nobody = good, twice = good;
  other_table.table = "registry";
  stranger.address = "10.0.0.9";
  nobody.members = {};
  twice.members = {"10.0.0.1", "10.0.0.1"};
  CHECK(snapshot::ImportSnapshot(Sample(), other_table).code == SnapshotErrorCode::kWrongTable);
  for (const ImportPlan& plan : {stranger, nobody, twice}) {
    CHECK(snapshot::ImportSnapshot(Sample(), plan).code == SnapshotErrorCode::kBadMembers);
  }
  CHECK(!std::filesystem::exists(good.folder));
  CHECK(!snapshot::ImportSnapshot(Sample(), good));
  Snapshot later = Sample();
  later.revision = 50;
  CHECK(snapshot::ImportSnapshot(later, good).code == SnapshotErrorCode::kUnwritable);
  CHECK_EQUAL(12u, storage::TableDisk(good.folder, {}).TakeOpened().loaded.state.revision);
}
