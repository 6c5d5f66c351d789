// ivygw-snapshot: exports, verifies and imports snapshots of one table. docs/operate/snapshots.md.
#include <cstdio>
#include <cxxopts.hpp>
#include <memory>
#include <string>
#include <vector>

#include "snapshot/exporter.h"
#include "snapshot/snapshot.h"

namespace {

using namespace ivygw;
using snapshot::ReadResult;
using snapshot::Snapshot;
using snapshot::SnapshotError;

constexpr int kFailed = 1, kBadUsage = 2;

int Fail(const SnapshotError& error) {
  std::fprintf(stderr, "ivygw-snapshot: %s: %s\n", error.field.c_str(), error.message.c_str());
  return kFailed;
}

void Print(const Snapshot& snapshot) {
  size_t tombstones = 0;
  for (const messages::Record& record : snapshot.records) tombstones += record.item.dropped ? 1 : 0;
  std::printf("table %s, revision %llu, epoch %llu, %zu records, of them %zu tombstones\n",
              snapshot.table.c_str(), static_cast<unsigned long long>(snapshot.revision),
              static_cast<unsigned long long>(snapshot.membership.epoch), snapshot.records.size(),
              tombstones);
}

int Export(const cxxopts::ParseResult& arguments) {
  asio::io_context io(1);
  tcp::endpoint core(asio::ip::make_address(arguments["core"].as<std::string>()),
                     arguments["port"].as<uint16_t>());
  ReadResult result;
  auto done = [&](ReadResult ended) {
    result = std::move(ended);
    io.stop();
  };
  snapshot::Exporter exporter(io, core, arguments["table"].as<std::string>(), snapshot::kExportTimeout, done);
  io.run();
  if (result.error) return Fail(result.error);
  SnapshotError error = snapshot::WriteSnapshot(arguments["out"].as<std::string>(), *result.snapshot);
  if (error) return Fail(error);
  Print(*result.snapshot);
  return 0;
}

int Verify(const cxxopts::ParseResult& arguments) {
  ReadResult result = snapshot::ReadSnapshot(arguments["in"].as<std::string>());
  if (result.error) return Fail(result.error);
  Print(*result.snapshot);
  return 0;
}

int Import(const cxxopts::ParseResult& arguments) {
  ReadResult result = snapshot::ReadSnapshot(arguments["in"].as<std::string>());
  if (result.error) return Fail(result.error);
  snapshot::ImportPlan plan;
  plan.table = arguments["table"].as<std::string>();
  plan.folder = arguments["data-directory"].as<std::string>() + "/" + plan.table;
  plan.members = arguments["member"].as<std::vector<std::string>>();
  plan.address = arguments["address"].as<std::string>();
  SnapshotError error = snapshot::ImportSnapshot(*result.snapshot, plan);
  if (error) return Fail(error);
  Print(*result.snapshot);
  return 0;
}

struct Verb {
  const char* name;
  std::vector<const char*> needs;
  int (*run)(const cxxopts::ParseResult&);
};
const Verb kVerbs[] = {{"export", {"core", "port", "table", "out"}, Export},
                       {"verify", {"in"}, Verify},
                       {"import", {"in", "data-directory", "table", "member", "address"}, Import}};

int RunVerb(const Verb& verb, const cxxopts::ParseResult& arguments) {
  for (const char* option : verb.needs) {
    if (arguments.count(option) > 0) continue;
    std::fprintf(stderr, "ivygw-snapshot: %s: --%s is wanted\n", verb.name, option);
    return kBadUsage;
  }
  return verb.run(arguments);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    cxxopts::Options options("ivygw-snapshot", "snapshots of one table: export, verify, import");
    options.positional_help("export|verify|import");
    options.add_options()("verb", "export, verify or import", cxxopts::value<std::string>())(
        "core", "export: IP of a running core", cxxopts::value<std::string>())(
        "port", "export: the core's internal port of the table", cxxopts::value<uint16_t>())(
        "table", "export, import: its name, config_store or registry", cxxopts::value<std::string>())(
        "out", "export: the file to write", cxxopts::value<std::string>())(
        "in", "verify, import: the file to read", cxxopts::value<std::string>())(
        "data-directory", "import: as in the settings of the core", cxxopts::value<std::string>())(
        "member", "import: IP of a first member; once for each", cxxopts::value<std::vector<std::string>>())(
        "address", "import: IP of the core that the store is for", cxxopts::value<std::string>())(
        "help", "print this");
    options.parse_positional({"verb"});
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help")) return std::puts(options.help().c_str()) < 0;
    std::string named = arguments.count("verb") ? arguments["verb"].as<std::string>() : "";
    for (const Verb& verb : kVerbs) {
      if (named == verb.name) return RunVerb(verb, arguments);
    }
    std::fputs("ivygw-snapshot: export, verify or import is wanted; --help tells more\n", stderr);
    return kBadUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw-snapshot: %s\n", error.what());
    return kBadUsage;
  }
}
