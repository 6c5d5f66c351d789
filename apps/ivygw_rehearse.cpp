// ivygw-rehearse: plays an incident on one machine, judges it by the five rules, and leaves a record and a
// report.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

#include "checker/checker.h"
#include "emulator/installation.h"
#include "eventlog/event_log.h"
#include "rehearsal/report.h"
#include "rehearsal/socket_run.h"
#include "rehearsal/virtual_run.h"
#include "scenario/scenario.h"
#include "version.h"

namespace {

using namespace ivygw;  // NOLINT
namespace fs = std::filesystem;

// Beside the program, then where it was built from.
fs::path OwnFolder() {
  std::error_code error;
  fs::path own = fs::read_symlink("/proc/self/exe", error);
  return error ? fs::path(".") : own.parent_path();
}

std::string FindScenario(const std::string& name) {
  if (name.find('/') != std::string::npos || name.size() > 5) {
    if (fs::exists(name) && !fs::is_directory(name)) return name;
  }
  for (const fs::path& folder : {fs::path("scenarios"), OwnFolder() / "scenarios",
                                 OwnFolder() / "../scenarios", fs::path(IVYGW_SCENARIOS)}) {
    fs::path file = folder / (name + ".toml");
    if (fs::exists(file)) return file.string();
  }
  throw scenario::ScenarioError(name + ":0: no such scenario, neither a file nor one of scenarios/");
}

// Shows how the run goes, a line a second of real time.
class Progress {
 public:
  explicit Progress(const eventlog::RunFacts& facts) : facts_(facts), checker_(facts) {}
  void operator()(double now, const eventlog::Record& record) {
    auto real = std::chrono::steady_clock::now();
    if (real - shown_ < std::chrono::milliseconds(900)) return;
    shown_ = real;
    size_t asked = 0, served = 0, refused = 0, other = 0;
    std::vector<double> took;
    for (; seen_ < record.events.size(); ++seen_) {
      const eventlog::Event& e = record.events[seen_];
      checker_.Take(e);
      switch (e.kind) {
        case eventlog::EventKind::kAsk:
          ++asked;
          due_[e.request] = e.due;
          break;
        case eventlog::EventKind::kAnswer:
          if (e.status == 200) {
            ++served;
            took.push_back(e.t - due_[e.request]);
          } else {
            ++(e.status == 429 || e.status == 503 ? refused : other);
          }
          due_.erase(e.request);
          break;
        case eventlog::EventKind::kEnded:
        case eventlog::EventKind::kGaveUp:
        case eventlog::EventKind::kNotTaken:
          ++other;
          due_.erase(e.request);
          break;
        default: break;
      }
    }
    double span = now - last_, p99 = 0;
    last_ = now;
    if (!took.empty()) {
      size_t i = std::min(took.size() - 1, static_cast<size_t>(0.99 * static_cast<double>(took.size())));
      std::nth_element(took.begin(), took.begin() + static_cast<long>(i), took.end());
      p99 = took[i];
    }
    const char* phase = now < 0 ? "starting" : "ending";
    for (const auto& p : facts_.phases) {
      if (now >= p.from_s && now < p.to_s) phase = p.name.c_str();
    }
    std::fprintf(stderr,
                 "%7.1f s  %-30.30s %6.0f/s asked %5zu served %5zu refused %4zu other  p99 %7.1f ms  %s\n",
                 now, phase, span > 0 ? static_cast<double>(asked) / span : 0.0, served, refused, other,
                 p99 * 1000, checker_.breaks() == 0 ? "rules kept" : "A RULE IS BROKEN");
  }

 private:
  const eventlog::RunFacts facts_;
  checker::Checker checker_;
  size_t seen_ = 0;
  double last_ = -1;
  std::unordered_map<uint64_t, double> due_;
  std::chrono::steady_clock::time_point shown_{};
};

void WriteFile(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  if (!(out << text) || !out.flush()) throw std::runtime_error("cannot write " + path.string());
}

int Conclude(const eventlog::Record& record, const fs::path& directory, bool write_record) {
  checker::Verdict verdict = checker::Judge(record);
  if (!directory.empty()) {
    if (write_record) {
      std::ofstream out(directory / "record.jsonl", std::ios::binary);
      eventlog::Write(record, out);
      if (!out.flush()) throw std::runtime_error("cannot write " + (directory / "record.jsonl").string());
    }
    WriteFile(directory / "report.json", rehearsal::JsonReport(record, verdict).dump(1) + "\n");
    WriteFile(directory / "report.html", rehearsal::HtmlReport(record, verdict));
  }
  std::fputs(rehearsal::TextReport(record, verdict).c_str(), stdout);
  if (!directory.empty())
    std::printf("left in %s: record.jsonl, report.json, report.html\n", directory.c_str());
  return !verdict.Kept() ? 1 : rehearsal::Void(verdict) ? 3 : 0;
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
int main(int argc, char** argv) {
  CLI::App app(
      "ivygw-rehearse: plays an incident round real gateways, on loopback, and judges it.\n"
      "Exit status: 0 rules kept, 1 a rule is broken, 2 it could not be played, 3 void, 130 stopped.",
      "ivygw-rehearse");
  std::string name = "calm", out, program, judge;
  uint64_t seed = 1;
  int gateways = 0;
  double rate = 0, shorten = 1;
  bool virtual_time = false, check = false;
  app.add_option("scenario", name, "a file, or the name of one in scenarios/ (calm)");
  app.add_option("--seed", seed, "of all draws (1)");
  app.add_option("--gateways", gateways, "in place of the scenario's number")->check(CLI::Range(1, 1000));
  app.add_option("--rate", rate, "first tries a second, in place of the scenario's")
      ->check(CLI::PositiveNumber);
  app.add_option("--shorten", shorten, "play the day in this share of its time")
      ->check(CLI::Range(0.01, 1.0));
  app.add_flag("--virtual", virtual_time,
               "in virtual time, straight against the decision module, without sockets");
  app.add_flag("--check", check, "only validate the scenario");
  app.add_option("--out", out, "folder for record and report (a new one below the temporary folder)");
  app.add_option("--gateway-program", program, "the gateway to start (ivygw beside this program)");
  app.add_option("--judge", judge, "judge a record.jsonl instead of playing")->check(CLI::ExistingFile);
  app.set_version_flag("--version", std::string("ivygw-rehearse ") + kVersion);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (!judge.empty()) {
      std::ifstream in(judge);
      return Conclude(eventlog::Read(in), out, false);
    }
    scenario::Scenario s = scenario::LoadScenario(FindScenario(name));
    if (shorten < 1) s = s.Shortened(shorten);
    if (gateways > 0) {
      for (const auto& fault : s.faults) {
        if (fault.gateway >= gateways)
          throw scenario::ScenarioError("--gateways: a fault strikes gateway " +
                                        std::to_string(fault.gateway));
      }
      for (auto& plan : s.plans) plan.spread = std::min(plan.spread, gateways);
      s.gateways = gateways;
    }
    if (rate > 0) s.load.rate = rate;
    if (check) {
      std::printf("%s: sound; %d nodes, %d gateways, %.1f s\n", s.file.c_str(), s.NodeCount(), s.gateways,
                  s.duration_s);
      return 0;
    }
    fs::path directory = out;
    if (directory.empty()) {
      std::string pattern = (fs::temp_directory_path() / "ivygw-rehearse-XXXXXX").string();
      if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make a folder like " + pattern);
      directory = pattern;
    }
    fs::create_directories(directory);
    std::fprintf(stderr, "%s: %d nodes, %d gateways, %.0f s, seed %llu%s\n", s.name.c_str(), s.NodeCount(),
                 s.gateways, s.duration_s, static_cast<unsigned long long>(seed),
                 virtual_time ? ", in virtual time" : "");
    if (virtual_time) {
      Progress progress(emulator::FactsOf(s, seed, ""));
      return Conclude(rehearsal::PlayVirtual(s, seed, std::ref(progress)), directory, true);
    }
    rehearsal::SocketOptions options;
    options.program = program.empty() ? (OwnFolder() / "ivygw").string() : program;
    options.directory = directory.string();
    if (!fs::exists(options.program)) throw std::runtime_error("no gateway at " + options.program);
    Progress progress(emulator::FactsOf(s, seed, ""));
    rehearsal::SocketRun run = rehearsal::PlaySockets(s, seed, options, std::ref(progress));
    if (run.interrupted) {
      std::fprintf(stderr, "stopped; every gateway has been ended\n");
      std::ofstream record(directory / "record.jsonl", std::ios::binary);
      eventlog::Write(run.record, record);
      return 130;
    }
    for (const auto& use : run.use) {
      std::printf("gateway n%d: %.2f s of CPU, %.1f MB at most\n", use.gateway, use.cpu_s,
                  static_cast<double>(use.peak_kb) / 1024);
    }
    std::printf("emulator: %.2f s of CPU, %zu descriptors at most\n", run.own_cpu_s, run.most_descriptors);
    int status = Conclude(run.record, directory, true);
    if (run.own_failures > 0) {
      std::printf("%llu requests were not sent for want of descriptors here: the run is void\n",
                  static_cast<unsigned long long>(run.own_failures));
      return 3;
    }
    return status;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw-rehearse: %s\n", error.what());
    return 2;
  }
}
