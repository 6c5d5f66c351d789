// A copy of a table from a core on loopback, while the table changes and connections end.
#include <memory>
#include <optional>
#include <string>

#include "replication/table.h"
#include "snapshot/exporter.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using replication::Record;
using snapshot::Exporter;
using snapshot::ReadResult;
using snapshot::SnapshotErrorCode;

namespace {

constexpr size_t kPartBytes = 400;

// A core that answers for a table, which changes after each part that it sends.
struct ChangingCore {
  explicit ChangingCore(asio::io_context& io)
      : host(io, &link_memory,
             {[this](uint64_t, const messages::Hello& hello) { greeted = hello; },
              [this](uint64_t peer, messages::Message m) { Answer(peer, m); }, [](uint64_t) {}}) {
    tcp::acceptor any(io, {asio::ip::make_address("127.0.0.1"), 0});
    address = any.local_endpoint();
    any.close();
    host.Listen(address);
    for (int n = 0; n < 60; ++n) Put(n);
  }
  void Put(int n) {
    table.Put({{"t/" + std::to_string(n), ++revision, n % 4 == 0, std::string(50, 'x')}, revision, {{1, 2}}});
  }
  void Answer(uint64_t peer, const messages::Message& message) {
    const auto& request = std::get<messages::DeltaRequest>(std::get<messages::PeerMessage>(message).body);
    if (silent) return;
    if (++parts == close_at) return host.Close(peer);
    messages::Delta delta = table.DeltaFor(request, revision, kPartBytes);
    delta.membership = membership;
    bool last = delta.to_revision == delta.end_revision;
    host.Send(peer, messages::PeerMessage{{}, std::move(delta)});
    if (last || parts > 10) return;
    Put(parts);
    Put(30 + parts);
    if (parts % 3 == 0) table.Erase("t/" + std::to_string(parts - 2), ++revision);
  }
  transport::LinkMemory link_memory{transport::LinkMemory::kUnlimited};
  transport::Host host;
  tcp::endpoint address;
  messages::Hello greeted;
  replication::Table table;
  messages::Membership membership{3, {{"127.0.0.1", 9, "a"}}};
  uint64_t revision = 0;
  int parts = 0, close_at = 0;
  bool silent = false;
};

}  // namespace

TEST_GROUP(SnapshotExport) {
  asio::io_context io{1};
  std::unique_ptr<ChangingCore> core = std::make_unique<ChangingCore>(io);
  ReadResult Export(double timeout) {
    std::optional<ReadResult> result;
    Exporter exporter(io, core->address, "config_store", timeout,
                      [&](ReadResult ended) { result = std::move(ended); });
    while (!result) io.run_one();
    return *result;
  }
  void CheckIsTheTable(const ReadResult& result) {
    CHECK(result.snapshot.has_value());
    CHECK_EQUAL(core->revision, result.snapshot->revision);
    CHECK(result.snapshot->membership == core->membership);
    CHECK_EQUAL(core->table.records().size(), result.snapshot->records.size());
    for (const Record& record : result.snapshot->records) CHECK(*core->table.Find(record.item.key) == record);
  }
};

TEST(SnapshotExport, IsTheTableOfOneRevisionWhileChangesGoOn) {
  ReadResult result = Export(10);
  STRCMP_EQUAL("config_store", result.snapshot->table.c_str());
  STRCMP_EQUAL("snapshot", core->greeted.role.c_str());
  STRCMP_EQUAL("config_store", core->greeted.node.c_str());
  CHECK(core->parts > 10);
  CheckIsTheTable(result);
}

TEST(SnapshotExport, GoesOnAfterAConnectionHasEnded) {
  core->close_at = 5;
  CheckIsTheTable(Export(10));
}

TEST(SnapshotExport, EndsWithAnErrorWhereTheCoreHasNothingToSend) {
  core->membership = {};
  CHECK(Export(10).error.code == SnapshotErrorCode::kUnreadable);
  core->silent = true;
  ReadResult silent = Export(0.05);
  CHECK(!silent.snapshot);
  CHECK(silent.error.code == SnapshotErrorCode::kUnreadable);
  STRCMP_EQUAL("core", silent.error.field.c_str());
}
