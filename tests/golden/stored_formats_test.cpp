// The form of all that the gateway in service stores, held against golden data of an earlier build: the
// operators' and the learned file, what gateways keep in the shared engine (as text, in an SQLite file, in
// Redis), and trace segments. Each field of a sample differs from its default and from its neighbours.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <memory>
#include <string>
#include <vector>

#include "ledger/book.h"
#include "ledger/record.h"
#include "membership/member.h"
#include "parts/share_lease.h"
#include "rig/golden.h"
#include "shared/redis_engine.h"
#include "shared/sqlite_store.h"
#include "standin/redis_server.h"
#include "state/learned_file.h"
#include "state/operators_file.h"
#include "trace/codec.h"
#include "trace/segments.h"

namespace {

const std::string kGoldenFolder = IVYGW_GOLDEN;

class GoldenForms : public testing::Test {
 protected:
  void Check(const std::string& name, const std::string& written) {
    EXPECT_EQ(golden.Difference(name, written), "");
  }
  // The golden data of `name`, which must be there.
  std::string Golden(const std::string& name) {
    std::string bytes = golden.Bytes(name);
    EXPECT_NE(bytes, "") << name;
    return bytes;
  }
  rig::GoldenFile golden{kGoldenFolder + "/gateway.txt"};
  rig::TemporaryFolder folder;
};

// Files that a gateway's processes share.

TEST_F(GoldenForms, OperatorsFile) {
  const std::string text = "{\"bans\":[\"s-1\",\"s-2\"],\"drained\":true,\"gateway\":\"n0\",\"version\":1}\n";
  ivygw::state::OperatorsWord word{{"s-1", "s-2"}, true};
  EXPECT_EQ(ivygw::state::Format(word, "n0"), text);
  EXPECT_EQ(ivygw::state::Parse(text, "n0"), word);
}

TEST_F(GoldenForms, LearnedFile) {
  micadock::LearnedState learned{.backends = {{.id = 7,
                                               .relative_latency = 1.25,
                                               .latency_ratio = 0.125,
                                               .limit = 12,
                                               .failure_rate = 0.5,
                                               .cold_since = 995.5}},
                                 .work = {0.75, 0.0625},
                                 .units = {2, 3},
                                 .admit_share = 0.875,
                                 .warm_work = 1.75};
  const std::string text =
      "{\"at\":1000.5,\"backends\":[{\"cold_since\":995.5,\"fails\":0.5,\"limit\":12.0,\"name\":\"s-7\","
      "\"pace\":0.125,\"speed\":1.25}],\"gateway\":\"n0\",\"let_in\":0.875,\"units\":[2.0,3.0],\"version\":1,"
      "\"warm_work\":1.75,\"work\":[0.75,0.0625]}\n";
  auto name_of = [](uint32_t) { return std::string("s-7"); };
  auto id_of = [](const std::string&) { return uint32_t{7}; };
  EXPECT_EQ(ivygw::state::FormatLearned(learned, 1000.5, "n0", name_of), text);
  std::optional<micadock::LearnedState> read = ivygw::state::ParseLearned(text, 1001, "n0", id_of);
  ASSERT_TRUE(read);
  EXPECT_EQ(ivygw::state::FormatLearned(*read, 1000.5, "n0", name_of), text);
}

// What gateways keep in the shared engine.

ivygw::ledger::Record SampleWork(ivygw::ledger::Standing standing) {
  ivygw::ledger::Record record;
  record.standing = standing;
  record.owner = "n0";
  record.boot = "boot-1";
  record.fence = 2;
  record.claims = 3;
  record.body = "body-hash";
  record.charged = true;
  record.left_s = 4.5;
  record.lease_s = 5.5;
  record.intents = {{.backend = "s-1", .zone = 6, .cell = 7, .age_s = 8.5, .not_run = true},
                    {.backend = "s-2", .zone = 9, .cell = 10, .age_s = 11.5, .not_run = false}};
  record.status = 201;
  record.type = "text/plain";
  record.answer = "answer";
  record.too_long = true;
  return record;
}

TEST_F(GoldenForms, RecordOfAWork) {
  using ivygw::ledger::Standing;
  const std::string common =
      "\"body\":\"body-hash\",\"boot\":\"boot-1\",\"charged\":true,\"claims\":3,\"fence\":2,\"form\":1,"
      "\"intents\":[{\"age\":8.5,\"backend\":\"s-1\",\"cell\":7,\"not_run\":true,\"zone\":6},"
      "{\"age\":11.5,\"backend\":\"s-2\",\"cell\":10,\"not_run\":false,\"zone\":9}],\"lease\":5.5,\"left\":4."
      "5,"
      "\"owner\":\"n0\",";
  const std::pair<Standing, std::string> cases[] = {
      {Standing::kOpen, "{" + common + "\"standing\":0}"},
      {Standing::kFree, "{" + common + "\"standing\":1}"},
      {Standing::kDone, "{\"answer\":\"616e73776572\"," + common +
                            "\"standing\":2,\"status\":201,\"too_long\":true,\"type\":\"text/plain\"}"}};
  for (const auto& [standing, text] : cases) {
    EXPECT_EQ(ivygw::ledger::Write(SampleWork(standing)), text);
    std::optional<ivygw::ledger::Record> read = ivygw::ledger::Read(text);
    ASSERT_TRUE(read) << text;
    EXPECT_EQ(ivygw::ledger::Write(*read), text);
  }
  EXPECT_EQ(ivygw::ledger::NameOf(7, "send-lead", "key-1"), "f11a3c35d1a111567dea11624c30d841");
  EXPECT_EQ(ivygw::ledger::Book::Key("name"), "work/name");
  EXPECT_EQ(ivygw::ledger::Book::OpenKey("boot-1", "name"), "open/boot-1/name");
}

TEST_F(GoldenForms, MemberAndLoan) {
  using ivygw::membership::State;
  ivygw::membership::Member member{.name = "n0",
                                   .boot = "boot-1",
                                   .address = "10.0.0.1:5000",
                                   .version = "0.9",
                                   .zone = 2,
                                   .capacity = 3.5,
                                   .slot = 4,
                                   .heir = true};
  for (State state : {State::kJoining, State::kServing, State::kLeaving}) {
    const char* names[] = {"joining", "serving", "leaving"};
    const std::string text = std::string("{\"address\":\"10.0.0.1:5000\",\"boot\":\"boot-1\",") +
                             "\"capacity\":3.5,\"form\":1,\"heir\":true,\"slot\":4,\"state\":\"" +
                             names[static_cast<int>(state)] + "\",\"version\":\"0.9\",\"zone\":2}";
    member.state = state;
    EXPECT_EQ(ivygw::membership::Write(member), text);
    EXPECT_EQ(ivygw::membership::Write(ivygw::membership::Read("n0", text)), text);
  }
  EXPECT_EQ(ivygw::parts::SerializeShareLease({.share = 0.25, .demand = 0.5, .waiting_since = 77}),
            "1 0.250000000 0.500000000 77");
  ivygw::parts::ShareLease loan = ivygw::parts::ParseShareLease("1 0.250000000 0.500000000 77");
  EXPECT_EQ(loan.share, 0.25);
  EXPECT_EQ(loan.demand, 0.5);
  EXPECT_EQ(loan.waiting_since, 77u);
  EXPECT_EQ(ivygw::parts::ShareLeaseClient::KeyPrefix("00ff"), "loan/00ff/");
}

// A commit that writes, renews, removes and expires, as it stands in an engine afterwards.
std::vector<ivygw::shared::Call> SampleCalls() {
  using namespace ivygw::shared;
  return {Commit({{}, {Put("work/a", "value-a", 100.0), Put("member/n0", "value-m")}, 40}),
          Commit({{}, {Put("work/b", "value-b"), Remove("member/n0")}, 0}),
          Commit({{}, {Renew("work/a", 200.0)}, 0})};
}

constexpr double kSampleNow = 1000;  // s, of the engine's clock

// Every row of every table, and the statements that made them.
std::string DumpOfSqlite(const std::string& path) {
  sqlite3* raw = nullptr;
  EXPECT_EQ(sqlite3_open_v2(path.c_str(), &raw, SQLITE_OPEN_READONLY, nullptr), SQLITE_OK);
  std::unique_ptr<sqlite3, int (*)(sqlite3*)> database(raw, sqlite3_close);
  std::string dump;
  auto append_row = [](void* out, int columns, char** values, char** names) {
    for (int i = 0; i < columns; ++i) {
      bool drawn = std::string(names[i]) == "generation";
      *static_cast<std::string*>(out) += std::string(names[i]) + "=" +
                                         (drawn       ? "(drawn)"
                                          : values[i] ? values[i]
                                                      : "(null)") +
                                         "|";
    }
    *static_cast<std::string*>(out) += "\n";
    return 0;
  };
  for (const char* query :
       {"PRAGMA user_version", "SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name",
        "SELECT * FROM meta", "SELECT * FROM entry ORDER BY key",
        "SELECT * FROM gone ORDER BY space, revision", "SELECT * FROM space"}) {
    EXPECT_EQ(sqlite3_exec(raw, query, append_row, &dump, nullptr), SQLITE_OK) << sqlite3_errmsg(raw);
  }
  return dump;
}

ivygw::shared::SqliteOptions SampleSqlite(const std::string& path) {
  ivygw::shared::SqliteOptions options;
  options.path = path;
  options.boot = "machine-boot";
  options.clock = [] { return kSampleNow; };
  return options;
}

TEST_F(GoldenForms, SqliteFileIsWrittenInTheSameForm) {
  std::string path = folder.path() + "/entries.sqlite";
  {
    ivygw::shared::SqliteStore store(SampleSqlite(path));
    for (const ivygw::shared::Call& call : SampleCalls()) ASSERT_TRUE(store.Take(call).done());
  }
  Check("sqlite", DumpOfSqlite(path));
}

TEST_F(GoldenForms, SqliteFileOfTheLandedBuildIsRead) {
  std::string path = folder.path() + "/entries.sqlite";
  std::filesystem::copy_file(kGoldenFolder + "/entries.sqlite", path);
  EXPECT_EQ(DumpOfSqlite(path), Golden("sqlite"));
  ivygw::shared::SqliteStore store(SampleSqlite(path));
  ivygw::shared::Reply reply = store.Take(ivygw::shared::Range(""));
  ASSERT_TRUE(reply.done()) << reply.why;
  ASSERT_EQ(reply.entries.size(), 2u);
  EXPECT_EQ(reply.entries[0].key, "work/a");
  EXPECT_EQ(reply.entries[0].value, "value-a");
  EXPECT_EQ(reply.entries[0].version, 41u);
  EXPECT_EQ(reply.entries[0].lease_left_s, 200.0);
  EXPECT_EQ(reply.entries[1].key, "work/b");
  EXPECT_EQ(reply.entries[1].lease_left_s, std::nullopt);
}

TEST_F(GoldenForms, RedisKeys) {
  using namespace ivygw;
  asio::io_context io;
  standin::RedisServer server(io);
  server.clock = [] { return kSampleNow; };
  shared::RedisOptions options;
  options.address = {asio::ip::address_v4::loopback(), server.port()};
  options.generation = "drawn";
  shared::RedisEngine engine(io, options);
  for (const shared::Call& call : SampleCalls()) {
    std::optional<shared::Reply> reply;
    engine.Ask(call, [&](const shared::Reply& got) { reply = got; });
    while (!reply) io.run_one();
    ASSERT_TRUE(reply->done()) << reply->why;
  }
  Check("redis", server.Dump());
}

TEST_F(GoldenForms, RedisKeysOfTheLandedBuildAreRead) {
  using namespace ivygw;
  asio::io_context io;
  standin::RedisServer server(io);
  server.clock = [] { return kSampleNow; };
  server.Load(Golden("redis"));
  EXPECT_EQ(server.Dump(), Golden("redis"));
  shared::RedisOptions options;
  options.address = {asio::ip::address_v4::loopback(), server.port()};
  shared::RedisEngine engine(io, options);
  std::optional<shared::Reply> reply;
  engine.Ask(shared::Range(""), [&](const shared::Reply& got) { reply = got; });
  while (!reply) io.run_one();
  ASSERT_TRUE(reply->done()) << reply->why;
  ASSERT_EQ(reply->entries.size(), 2u);
  EXPECT_EQ(reply->entries[0].key, "work/a");
  EXPECT_EQ(reply->entries[0].value, "value-a");
  EXPECT_EQ(reply->entries[0].version, 41u);
  EXPECT_EQ(reply->entries[0].lease_left_s, 200.0);
  EXPECT_EQ(reply->entries[1].key, "work/b");
  EXPECT_EQ(reply->entries[1].version, 43u);
}

// Traces.

std::vector<ivygw::core::Event> SampleEvents() {
  using namespace ivygw::core;
  using micadock::BackendState, micadock::ListKind, micadock::Result;
  std::vector<Event> events = {RequestArrived{.client = 7,
                                              .id = "order-77",
                                              .cls = 1,
                                              .plan = 2,
                                              .customer = 0x1b4d65521,
                                              .units = 2.5,
                                              .entries = 3,
                                              .timeout_s = 0.75,
                                              .body_s = 0.5,
                                              .recorded = true,
                                              .resumed = false,
                                              .may_have_run = true,
                                              .ran_age_s = 0.125,
                                              .ran_zone = 11,
                                              .ran_cell = 12},
                               ClientDisconnected{21},
                               ConnectionOpened{22},
                               RequestWritten{23},
                               ResponseReceived{24, Result::kError, 1.5, true},
                               ConnectionLost{25},
                               ConnectionStale{26},
                               DiscoveryFailed{},
                               CounterCallWritten{27},
                               CounterResponseReceived{28, Result::kFull, 12.25},
                               CounterCallLost{29},
                               TimerExpired{},
                               ShutdownRequested{},
                               BackendBanChanged{30, true},
                               DrainChanged{true},
                               BodyDiscarded{31},
                               BodyCompleted{32},
                               ResponseStarted{33},
                               IntentResolved{.request = 34, .attempt = 35, .ok = true},
                               RequestWithdrawn{36},
                               FleetSizeChanged{37, false},
                               QuotaShareGranted{.customer = 38, .share = 0.25, .seconds = 2.5}};
  micadock::LearnedState learned{.backends = {{.id = 9,
                                               .relative_latency = 1.5,
                                               .latency_ratio = 0.25,
                                               .limit = 3,
                                               .failure_rate = 0.1,
                                               .cold_since = 17.5}},
                                 .work = {0.5, 0.25},
                                 .units = {1, 2},
                                 .admit_share = 0.75,
                                 .warm_work = 3.5};
  events.push_back(LearnedStateRestored{learned});
  RequestArrived resumed;
  resumed.resumed = true;
  events.push_back(resumed);
  for (BackendState state : {BackendState::kGone, BackendState::kReady, BackendState::kDraining}) {
    ListedBackend listed;
    listed.backend = {
        .id = 39, .state = state, .kind = 1, .zone = 2, .cell = 3, .weight = 0.5, .started_s = 1700000000.25};
    listed.address = 40;
    for (ListKind kind : {ListKind::kDelta, ListKind::kFull, ListKind::kCached, ListKind::kFailed}) {
      events.push_back(BackendListUpdated{kind, {listed}});
    }
  }
  for (Result result : {Result::kOk, Result::kError, Result::kFull, Result::kTimeout, Result::kConnectFailed,
                        Result::kReset, Result::kCancelled, Result::kNeverSent}) {
    events.push_back(ResponseReceived{41, result, 2.5, false});
  }
  return events;
}

ivygw::core::Effects SampleEffects() {
  using namespace ivygw::core;
  return {RegisterRequest{.request = 1, .client = 2},
          SendResponse{.client = 3, .request = 4, .status = 429, .retry_after_s = 0.5, .connection = 5},
          ReleaseRequest{6},
          OpenConnection{.connection = 7, .address = 8},
          WriteRequest{.connection = 9, .request = 10, .attempt = 11, .timeout_s = 0.25, .reused = true},
          CloseConnection{12},
          CallCounter{.call = 13, .name = 14, .amount = 2.5, .ttl_s = 3.5},
          CancelCounterCall{15},
          Log{"text"},
          SubscribeToDiscovery{},
          DisableClientKeepAlive{},
          CloseIdleClientConnections{},
          StopIfIdle{},
          Stop{},
          EnableClientKeepAlive{},
          StartResponse{.client = 16, .request = 17, .connection = 18},
          AbortResponse{.client = 19, .request = 20},
          RecordIntent{.request = 21, .attempt = 22, .backend = 23},
          RecordAttemptEnd{.request = 24, .attempt = 25, .may_have_run = true}};
}

std::string SampleTurns() {
  ivygw::trace::CounterNames names;
  std::string turns;
  ivygw::trace::EncodeTurn(1.5, nullptr, ivygw::trace::EncodeEffects(SampleEffects(), &names), &turns);
  for (const ivygw::core::Event& event : SampleEvents()) {
    ivygw::trace::EncodeTurn(2.5, &event, "", &turns);
  }
  return turns;
}

TEST_F(GoldenForms, TraceSegment) {
  std::string file = folder.path() + "/trace";
  {
    ivygw::trace::SegmentWriter writer(file, 0x0102030405060708);
    ASSERT_TRUE(writer.Append(SampleTurns()));
  }
  Check("trace", rig::FileBytes(file + ".000001"));
  EXPECT_EQ(ivygw::trace::kVersion, 4);
}

TEST_F(GoldenForms, TraceSegmentOfTheLandedBuildIsRead) {
  std::string file = folder.path() + "/trace";
  std::ofstream(file + ".000001", std::ios::binary) << Golden("trace");
  ivygw::trace::TraceFile trace = ivygw::trace::ReadTrace(file);
  EXPECT_EQ(trace.fault, "");
  EXPECT_EQ(trace.fingerprint, 0x0102030405060708u);
  ASSERT_EQ(trace.chunks.size(), 1u);
  std::vector<ivygw::trace::Turn> turns = ivygw::trace::DecodeTurns(trace.chunks[0]);
  std::vector<ivygw::core::Event> events = SampleEvents();
  ASSERT_EQ(turns.size(), events.size() + 1);
  std::string again;
  ivygw::trace::EncodeTurn(turns[0].now, nullptr, turns[0].effects, &again);
  for (size_t i = 0; i < events.size(); ++i) {
    EXPECT_EQ(ivygw::trace::Text(turns[i + 1].event), ivygw::trace::Text(events[i]));
    ivygw::trace::EncodeTurn(turns[i + 1].now, &turns[i + 1].event, turns[i + 1].effects, &again);
  }
  EXPECT_EQ(again, trace.chunks[0]);
}

}  // namespace
