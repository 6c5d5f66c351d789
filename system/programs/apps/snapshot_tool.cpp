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

int Export(const cxxopts::ParseResult& told) {
  asio::io_context io(1);
  tcp::endpoint core(asio::ip::make_address(told["core"].as<std::string>()), told["port"].as<uint16_t>());
  ReadResult result;
  auto done = [&](ReadResult ended) {
    result = std::move(ended);
    io.stop();
  };
  snapshot::Exporter exporter(io, core, told["table"].as<std::string>(), snapshot::kExportPatience, done);
  io.run();
  if (result.error) return Fail(result.error);
  SnapshotError error = snapshot::WriteSnapshot(told["out"].as<std::string>(), *result.snapshot);
  if (error) return Fail(error);
  Print(*result.snapshot);
  return 0;
}

int Verify(const cxxopts::ParseResult& told) {
  ReadResult result = snapshot::ReadSnapshot(told["in"].as<std::string>());
  if (result.error) return Fail(result.error);
  Print(*result.snapshot);
  return 0;
}

int Import(const cxxopts::ParseResult& told) {
  ReadResult result = snapshot::ReadSnapshot(told["in"].as<std::string>());
  if (result.error) return Fail(result.error);
  snapshot::ImportPlan plan;
  plan.table = told["table"].as<std::string>();
  plan.folder = told["data-directory"].as<std::string>() + "/" + plan.table;
  plan.members = told["member"].as<std::vector<std::string>>();
  plan.address = told["address"].as<std::string>();
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

int RunVerb(const Verb& verb, const cxxopts::ParseResult& told) {
  for (const char* option : verb.needs) {
    if (told.count(option) > 0) continue;
    std::fprintf(stderr, "ivygw-snapshot: %s: --%s is wanted\n", verb.name, option);
    return kBadUsage;
  }
  return verb.run(told);
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
    cxxopts::ParseResult told = options.parse(argc, argv);
    if (told.count("help")) return std::puts(options.help().c_str()) < 0;
    std::string named = told.count("verb") ? told["verb"].as<std::string>() : "";
    for (const Verb& verb : kVerbs) {
      if (named == verb.name) return RunVerb(verb, told);
    }
    std::fputs("ivygw-snapshot: export, verify or import is wanted; --help tells more\n", stderr);
    return kBadUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw-snapshot: %s\n", error.what());
    return kBadUsage;
  }
}
