// How long a death goes unnoticed, how often one that lives is taken for gone, and what it costs the engine,
// by the number of members, in virtual time: the program's own membership round the engine's model. Prints a
// table, and a plot where a file is named.  bench_membership [--seeds N] [--hours H] [--plot FILE.svg]
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <vector>

#include "emulator/engine_model.h"
#include "emulator/fleet_model.h"

namespace {

using namespace ivygw;  // NOLINT
constexpr double kLease = 3, kHold = 6, kSettleS = 40;

struct Row {
  int members = 0;
  double noticed_mean = 0, noticed_most = 0;  // leases
  double wrongly_dead_an_hour = 0, calls_a_second = 0, real_s = 0;
};

membership::Options OptionsOf() {
  membership::Options o;
  o.lease_s = kLease;
  o.hold_s = kHold;
  return o;
}

Row Measure(int members, int seeds, double hours) {
  Row row;
  row.members = members;
  auto began = std::chrono::steady_clock::now();
  for (int seed = 1; seed <= seeds; ++seed) {
    emulator::VirtualScheduler scheduler(0);
    emulator::EngineModel engine(&scheduler, static_cast<uint64_t>(seed));
    emulator::FleetModel fleet(&scheduler, &engine, OptionsOf(), static_cast<uint64_t>(seed));
    fleet.checks = false;
    for (int g = 0; g < members; ++g) fleet.Start(g);
    auto run = [&](double s) { scheduler.RunUntil(scheduler.Now() + s, [](double) {}); };
    run(kSettleS + 0.37 * seed);
    int victim = seed % members;
    fleet.Kill(victim);
    double killed = scheduler.Now(), slowest = 0, sum = 0;
    std::vector<bool> knows(static_cast<size_t>(members), false);
    int left = members - 1;
    while (left > 0 && scheduler.Now() < killed + 4 * kLease) {
      run(0.02);
      for (int g = 0; g < members; ++g) {
        if (g == victim || knows[static_cast<size_t>(g)]) continue;
        const auto& seen = fleet.of(g).seen();
        auto it = seen.find("n" + std::to_string(victim));
        if (it != seen.end() && it->second.gone_at < 0) continue;
        knows[static_cast<size_t>(g)] = true;
        --left;
        slowest = (scheduler.Now() - killed) / kLease;
        sum += slowest;
      }
    }
    row.noticed_mean += sum / std::max(1, members - 1) / seeds;
    row.noticed_most = std::max(row.noticed_most, left > 0 ? 99 : slowest);
  }
  // All live, one call and one answer in a hundred lost.
  emulator::VirtualScheduler scheduler(0);
  emulator::EngineModel engine(&scheduler, 7);
  emulator::FleetModel fleet(&scheduler, &engine, OptionsOf(), 7);
  fleet.checks = false;
  for (int g = 0; g < members; ++g) {
    engine.link(g).lost = 0.01;
    fleet.Start(g);
  }
  scheduler.RunUntil(kSettleS, [](double) {});
  std::vector<uint64_t> fences;
  for (int g = 0; g < members; ++g) fences.push_back(fleet.of(g).fence().revision);
  uint64_t calls = engine.calls;
  double from = scheduler.Now();
  int dead = 0;
  for (double end = from + 3600 * hours; scheduler.Now() < end;) {
    scheduler.RunUntil(scheduler.Now() + kLease, [](double) {});
    for (int g = 0; g < members; ++g) {
      uint64_t fence = fleet.of(g).fence().revision;
      dead += fence != fences[static_cast<size_t>(g)];
      fences[static_cast<size_t>(g)] = fence;
    }
  }
  row.wrongly_dead_an_hour = dead / hours;
  row.calls_a_second = static_cast<double>(engine.calls - calls) / (scheduler.Now() - from);
  row.real_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return row;
}

void Plot(const std::string& path, const std::vector<Row>& rows) {
  std::ofstream out(path);
  double most = rows.back().calls_a_second;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"520\" height=\"" << 60 + 50 * rows.size()
      << "\" font-family=\"sans-serif\" font-size=\"12\"><rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>"
      << "<text x=\"10\" y=\"20\" font-weight=\"bold\">a death noticed, leases (mean, most; 1.5 is the "
         "aim)</text>"
      << "<text x=\"330\" y=\"20\" font-weight=\"bold\">engine calls a second</text>";
  for (size_t i = 0; i < rows.size(); ++i) {
    double y = 40 + 50.0 * static_cast<double>(i);
    const Row& r = rows[i];
    out << "<text x=\"10\" y=\"" << y + 16 << "\">" << r.members << "</text><rect x=\"60\" y=\"" << y
        << "\" width=\"" << 130 * r.noticed_most << "\" height=\"20\" fill=\"#b0b0b0\"/><rect x=\"60\" y=\""
        << y + 4 << "\" width=\"" << 130 * r.noticed_mean
        << "\" height=\"12\" fill=\"#2a6f97\"/><line x1=\"255\" x2=\"255\" y1=\"" << y - 4 << "\" y2=\""
        << y + 24 << "\" stroke=\"#d1495b\"/><rect x=\"330\" y=\"" << y << "\" width=\""
        << 110 * r.calls_a_second / most << "\" height=\"20\" fill=\"#66a182\"/><text x=\""
        << 336 + 110 * r.calls_a_second / most << "\" y=\"" << y + 15 << "\">"
        << static_cast<long>(r.calls_a_second) << "</text>";
  }
  out << "</svg>\n";
}

}  // namespace

int main(int argc, char** argv) {
  int seeds = 20;
  double hours = 1;
  std::string plot;
  CLI::App app("membership by the number of members");
  app.add_option("--seeds", seeds);
  app.add_option("--hours", hours);
  app.add_option("--plot", plot);
  CLI11_PARSE(app, argc, argv);
  std::printf("%8s %14s %14s %20s %16s %8s\n", "members", "noticed, mean", "most (leases)",
              "wrongly dead an hour", "calls a second", "real s");
  std::vector<Row> rows;
  for (int members : {10, 100, 1000}) {
    Row r = Measure(members, members == 1000 ? std::max(1, seeds / 5) : seeds,
                    members == 1000 ? hours / 4 : hours);
    std::printf("%8d %14.2f %14.2f %20.2f %16.0f %8.1f\n", r.members, r.noticed_mean, r.noticed_most,
                r.wrongly_dead_an_hour, r.calls_a_second, r.real_s);
    std::fflush(stdout);
    rows.push_back(r);
  }
  if (!plot.empty()) Plot(plot, rows);
}
