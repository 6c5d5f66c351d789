// Compares the stored formats and the messages with golden data written by an earlier build: a store of
// format 2, a snapshot file and every message. Each field of a sample differs from its default and from its
// neighbours, so that swapping two fields is detected.
#include <leveldb/db.h>

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/backend.h"
#include "messages/codec.h"
#include "registry/backend_records.h"
#include "rig/golden.h"
#include "snapshot/exporter.h"
#include "snapshot/snapshot.h"
#include "storage/store_creation.h"
#include "storage/table_disk.h"
#include "storage/table_format.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw::messages;
namespace discovery = ivygw::discovery;
namespace registry = ivygw::registry;
namespace replication = ivygw::replication;
namespace snapshot = ivygw::snapshot;
namespace storage = ivygw::storage;

namespace {

const std::string kGoldenFolder = IVYGW_GOLDEN;

Item SampleItem() {
  return {.key = "table/sample", .version = 31, .dropped = true, .body = "{\"sample\":32}"};
}
Record SampleRecord() {
  return {.item = SampleItem(),
          .revision = 33,
          .past = {{.version = 34, .digest = 35}, {.version = 36, .digest = 37}}};
}
Membership SampleMembership() {
  return {.epoch = 41,
          .members = {{.address = "10.0.0.1", .store_id = 42, .zone = "zone-a"},
                      {.address = "10.0.0.2", .store_id = 43, .zone = "zone-b"}}};
}
Change SampleChange() {
  return {.revision = 51,
          .commands = {{.incarnation = 52, .number = 53}},
          .records = {SampleRecord()},
          .pruned = {"table/pruned"},
          .membership = SampleMembership()};
}
PeerHeader SampleHeader() {
  return {.epoch = 61,
          .store_id = 62,
          .incarnation = 63,
          .revision = 64,
          .durable_revision = 65,
          .zone = "zone-header"};
}
ProposalNumber SampleNumber(uint64_t number) { return {.counter = number, .proposer = number + 1}; }

// One sample of each alternative of PeerBody, in the order of the variant.
std::vector<std::pair<std::string, PeerBody>> PeerSamples() {
  return {
      {"Prepare", Prepare{.revision = 71, .number = SampleNumber(72)}},
      {"Promise", Promise{.revision = 74,
                          .number = SampleNumber(75),
                          .accepted = AcceptedChange{.number = SampleNumber(77), .change = SampleChange()}}},
      {"Accept", Accept{.revision = 81, .number = SampleNumber(82), .change = SampleChange()}},
      {"Accepted", Accepted{.revision = 84, .number = SampleNumber(85)}},
      {"Rejected", Rejected{.revision = 87, .number = SampleNumber(88), .promised = SampleNumber(90)}},
      {"Commit", Commit{.revision = 92, .number = SampleNumber(93)}},
      {"DeltaRequest", DeltaRequest{.from_revision = 101, .pruned_known = 102}},
      {"Delta", Delta{.from_revision = 103,
                      .to_revision = 104,
                      .end_revision = 105,
                      .reset = true,
                      .membership = SampleMembership(),
                      .records = {SampleRecord()},
                      .pruned = {{.key = "table/ended", .revision = 106}}}},
      {"Heartbeat", Heartbeat{.number = 111}},
      {"HeartbeatReply", HeartbeatReply{.number = 112}},
      {"ReadQuery", ReadQuery{.number = 113}},
      {"ReadReply", ReadReply{.number = 114, .undecided = true}},
      {"EpochNotice", EpochNotice{.membership = SampleMembership()}}};
}

// One sample of each alternative of Message except PeerMessage, in the order of the variant. The names are
// those of the golden file.
std::vector<std::pair<std::string, Message>> ControlSamples() {
  TenantUsage usage{.tenant = "tenant-1",
                    .rate = 152.5F,
                    .burst = 153.5F,
                    .version = 154,
                    .wanted_share = 155.5F,
                    .held_share = 156.5F,
                    .shortfall = 157.5F,
                    .admitted = 158};
  QuotaGrant grant{.tenant = "tenant-2", .share = 162.5F, .tokens = 163.5F, .total = 164};
  return {{"Hello", Hello{.protocol_version = 120,
                          .node = "node",
                          .role = "role",
                          .zone = "zone",
                          .incarnation = 122,
                          .cores = {"10.0.0.3", "10.0.0.4"}}},
          {"Heard", BackendsSeen{.backend_ids = {"backend-1", "backend-2"}}},
          {"Have", RangeDigests{.digests = {131, 132}}},
          {"Push", Push{.number = 133,
                        .list_part = true,
                        .revision = 134,
                        .items = {SampleItem()},
                        .removed_keys = {"table/removed"}}},
          {"PushAck", PushAck{.number = 135}},
          {"State", CoreStatus{.gateway_count = 141,
                               .list_complete = true,
                               .cores = {"10.0.0.5"},
                               .gateways = {{.node = "member-node", .zone = "member-zone"}},
                               .epoch = 142,
                               .voters = {"10.0.0.6"},
                               .list_revision = 143,
                               .listed_ranges = {144, 145}}},
          {"Report", UsageReport{.number = 151, .tenants = {usage}}},
          {"Loans", QuotaGrants{.number = 161, .grants = {grant}}},
          {"Ping", Ping{.number = 171}},
          {"Pong", Pong{.number = 172}},
          {"Call", ForwardedCall{.number = 173, .name = "call-name", .body = "call-body"}},
          {"CallDone", ForwardedCallResult{.number = 174, .status = 175, .body = "answer-body"}}};
}

std::vector<std::pair<std::string, Message>> AllSamples() {
  std::vector<std::pair<std::string, Message>> samples = ControlSamples();
  for (auto& [name, body] : PeerSamples()) {
    samples.emplace_back("Peer." + name, PeerMessage{SampleHeader(), body});
  }
  return samples;
}

replication::LoadedState SampleStore() {
  replication::LoadedState store;
  store.state = {
      .store_id = 201, .membership = SampleMembership(), .revision = 202, .promised = SampleNumber(203)};
  store.accepted = AcceptedChange{.number = SampleNumber(205), .change = SampleChange()};
  store.records = {{.item = {.key = "backend/one", .version = 207, .dropped = false, .body = "{}"},
                    .revision = 208,
                    .past = {}},
                   SampleRecord()};
  return store;
}

snapshot::Snapshot SampleSnapshot() {
  Record second{.item = {.key = "table/two", .version = 212, .dropped = false, .body = ""},
                .revision = 213,
                .past = {}};
  return {.table = "config_store",
          .membership = SampleMembership(),
          .revision = 214,
          .records = {SampleRecord(), second}};
}

// Returns all key-value pairs of the LevelDB database in this folder.
std::vector<std::pair<std::string, std::string>> StoredPairs(const std::string& folder) {
  leveldb::DB* opened = nullptr;
  leveldb::Status status = leveldb::DB::Open(leveldb::Options(), folder, &opened);
  CHECK_TRUE_TEXT(status.ok(), status.ToString().c_str());
  std::unique_ptr<leveldb::DB> database(opened);
  std::unique_ptr<leveldb::Iterator> it(database->NewIterator(leveldb::ReadOptions()));
  std::vector<std::pair<std::string, std::string>> pairs;
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    pairs.emplace_back(it->key().ToString(), it->value().ToString());
  }
  return pairs;
}

}  // namespace

TEST_GROUP(GoldenFormats) {
  rig::GoldenFile golden{kGoldenFolder + "/system.txt"};
  rig::TemporaryFolder folder;

  void CheckBytes(const std::string& name, const std::string& written) {
    std::string difference = golden.Difference(name, written);
    CHECK_TRUE_TEXT(difference.empty(), difference.c_str());
  }
  // Reports all differences at once.
  void CheckAll(const std::vector<std::pair<std::string, std::string>>& written) {
    std::string differences;
    for (const auto& [name, bytes] : written) differences += golden.Difference(name, bytes);
    CHECK_TRUE_TEXT(differences.empty(), differences.c_str());
  }
};

TEST(GoldenFormats, EveryMessageHasTheBytesOfTheLandedBuild) {
  LONGS_EQUAL(std::variant_size_v<PeerBody>, PeerSamples().size());
  LONGS_EQUAL(std::variant_size_v<Message>, ControlSamples().size() + 1);
  std::vector<std::pair<std::string, std::string>> written;
  for (const auto& [name, message] : AllSamples()) written.emplace_back(name, Encode(message));
  CheckAll(written);
}

TEST(GoldenFormats, EverySampleIsOfAnotherKind) {
  std::vector<size_t> control_kinds, peer_kinds;
  for (const auto& [name, message] : ControlSamples()) control_kinds.push_back(message.index());
  for (const auto& [name, body] : PeerSamples()) peer_kinds.push_back(body.index());
  for (size_t i = 0; i < peer_kinds.size(); ++i) LONGS_EQUAL(i, peer_kinds[i]);
  LONGS_EQUAL(0, control_kinds[0]);
  for (size_t i = 1; i < control_kinds.size(); ++i) LONGS_EQUAL(i + 1, control_kinds[i]);
}

TEST(GoldenFormats, MessagesOfTheLandedBuildAreReadAndWrittenAgain) {
  for (const auto& [name, sample] : AllSamples()) {
    std::string frame = golden.Bytes(name);
    CHECK_TRUE_TEXT(frame.size() > 4, name.c_str());
    std::optional<Message> read = Decode(std::string_view(frame).substr(4));
    CHECK_TRUE_TEXT(read.has_value(), name.c_str());
    LONGS_EQUAL(sample.index(), read->index());
    CheckBytes(name, Encode(*read));
  }
}

TEST(GoldenFormats, AStoreHasTheKeysAndValuesOfTheLandedBuild) {
  std::string store = folder.path() + "/store";
  storage::CreateStore(store, SampleStore());
  std::vector<std::pair<std::string, std::string>> written;
  for (const auto& [key, value] : StoredPairs(store)) written.emplace_back("store:" + key, value);
  LONGS_EQUAL(5, written.size());
  CheckAll(written);
}

TEST(GoldenFormats, ABatchIsWrittenInTheSameForm) {
  std::string store = folder.path() + "/store";
  {
    storage::TableDisk disk(store, {});
    replication::LoadedState sample = SampleStore();
    replication::StoreBatch batch;
    batch.number = 1;
    batch.sync = true;
    batch.records = sample.records;
    batch.state = sample.state;
    batch.accepted_changed = true;
    batch.accepted = sample.accepted;
    STRCMP_EQUAL("", disk.Write({batch}).reason.c_str());
  }
  for (const auto& [key, value] : StoredPairs(store)) CheckBytes("store:" + key, value);
}

TEST(GoldenFormats, AStoreOfTheLandedBuildIsReadAndWrittenAgain) {
  std::string copy = folder.path() + "/copy", again = folder.path() + "/again";
  std::filesystem::copy(kGoldenFolder + "/store_format_2", copy, std::filesystem::copy_options::recursive);
  replication::LoadedState loaded;
  {
    storage::TableDisk disk(copy, {});
    storage::OpenedTable opened = disk.TakeOpened();
    CHECK(!opened.created);
    STRCMP_EQUAL("", opened.unreadable.c_str());
    loaded = opened.loaded;
  }
  replication::LoadedState sample = SampleStore();
  LONGS_EQUAL(sample.state.store_id, loaded.state.store_id);
  LONGS_EQUAL(sample.state.revision, loaded.state.revision);
  CHECK(sample.state.membership == loaded.state.membership);
  CHECK(sample.state.promised == loaded.state.promised);
  CHECK(loaded.accepted && loaded.accepted->number == sample.accepted->number);
  CHECK(loaded.accepted->change == sample.accepted->change);
  CHECK(loaded.records == sample.records);
  storage::CreateStore(again, loaded);
  for (const auto& [key, value] : StoredPairs(again)) CheckBytes("store:" + key, value);
}

TEST(GoldenFormats, ASnapshotHasTheBytesOfTheLandedBuild) {
  std::string path = folder.path() + "/snapshot";
  CHECK(!snapshot::WriteSnapshot(path, SampleSnapshot()));
  CheckBytes("snapshot", rig::FileBytes(path));
}

TEST(GoldenFormats, ASnapshotOfTheLandedBuildIsRead) {
  std::string path = folder.path() + "/snapshot";
  std::ofstream(path, std::ios::binary) << golden.Bytes("snapshot");
  snapshot::ReadResult read = snapshot::ReadSnapshot(path);
  CHECK_TRUE_TEXT(read.snapshot.has_value(), read.error.message.c_str());
  CHECK(*read.snapshot == SampleSnapshot());
}

// The JSON text of a registry item.
TEST(GoldenFormats, ABackendHasTheTextOfTheLandedBuild) {
  discovery::Backend backend{.id = "backend-7",
                             .service = "svc",
                             .address = "10.1.0.7:9000",
                             .zone = "zone-c",
                             .slot_count = 9,
                             .draining = true,
                             .warmup_left_ms = 1500,
                             .sequence = 77};
  const std::string text =
      "{\"target_service\":\"svc\",\"address\":\"10.1.0.7:9000\",\"zone\":\"zone-c\",\"slot_count\":9,"
      "\"oper_state\":\"draining\",\"warmup_left_ms\":1500}";
  STRCMP_EQUAL(text.c_str(), discovery::FormatBackend(backend).c_str());
  discovery::Backend read;
  STRCMP_EQUAL("", discovery::ParseBackend(text, &read).c_str());
  STRCMP_EQUAL(text.c_str(), discovery::FormatBackend(read).c_str());
}

TEST(GoldenFormats, NamesThatAreStoredAndSentStand) {
  STRCMP_EQUAL("backend/", registry::kBackendPrefix);
  STRCMP_EQUAL("snapshot", snapshot::kExporterRole);
  LONGS_EQUAL(2, kProtocolVersion);
  LONGS_EQUAL(2, storage::kFormatVersion);
  LONGS_EQUAL(1, snapshot::kSnapshotFormat);
  LONGS_EQUAL(1, replication::kFounderStoreId);
}

TEST(GoldenFormats, DigestsOfItemsAndTheirRangesStand) {
  CHECK_EQUAL(uint64_t{8584294924459137849u}, DigestOf(SampleItem()));
  LONGS_EQUAL(64, kListRanges);
  LONGS_EQUAL(49, RangeOf("backend/one", kListRanges));
}
