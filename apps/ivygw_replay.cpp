// ivygw-replay: plays a trace of `ivygw --trace` to the core of this build and tells the first thing that it
// does otherwise. Exit status: 0 no difference, 1 one (or the trace is damaged), 2 it could not be played.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include "gateway/config.h"
#include "gateway/core_settings.h"
#include "trace/replay.h"
#include "trace/segments.h"
#include "version.h"

namespace {

using namespace ivygw;  // NOLINT

struct Options {
  std::string config, trace, against;
  double until_s = -1;
  uint32_t request = 0;
  bool dump = false, any_config = false;
};

std::string Quoted(const std::string& text) {
  std::string out = "'";
  for (char c : text) out += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return out + "'";
}

// Two builds on one incident: the first line in which what they did differs.
int Compare(const Options& options) {
  struct Close {
    void operator()(std::FILE* f) const { pclose(f); }
  };
  auto open = [&](const std::string& program) {
    std::string command =
        Quoted(program) + " --dump --config " + Quoted(options.config) + " " + Quoted(options.trace);
    return std::unique_ptr<std::FILE, Close>(popen(command.c_str(), "r"));
  };
  auto mine = open(std::filesystem::read_symlink("/proc/self/exe").string()), theirs = open(options.against);
  if (!mine || !theirs) throw trace::TraceError("--against: " + options.against + " cannot be run");
  auto line = [](std::FILE* from, std::string* out) {
    out->clear();
    for (int c; (c = std::fgetc(from)) != EOF;) {
      if (c == '\n') return true;
      out->push_back(static_cast<char>(c));
    }
    return !out->empty();
  };
  std::string a, b;
  for (uint64_t n = 0;; ++n) {
    bool more_a = line(mine.get(), &a), more_b = line(theirs.get(), &b);
    if (!more_a && !more_b) {
      if (n == 0) throw trace::TraceError("neither build played anything");
      std::printf("no difference in %llu lines\n", static_cast<unsigned long long>(n));
      return 0;
    }
    if (more_a && more_b && a == b) continue;
    std::printf("first difference:\n  this build:  %s\n  the other:   %s\n", more_a ? a.c_str() : "nothing",
                more_b ? b.c_str() : "nothing");
    return 1;
  }
}

int Play(const Options& options) {
  Config config = LoadConfig(options.config);
  trace::TraceFile file = trace::ReadTrace(options.trace);
  if (file.fingerprint != trace::FingerprintOfFile(options.config) && !options.any_config) {
    throw trace::TraceError(options.trace + ": recorded with another configuration than " + options.config +
                            " (--any-config plays it all the same)");
  }
  if (file.first_segment > 1) {
    throw trace::TraceError(
        options.trace + ": begins with segment " + std::to_string(file.first_segment) +
        ": what was before has been dropped, so the core's state at that time is not known");
  }
  trace::Replay replay(CoreSettingsOf(config));
  auto each = [&](size_t turn, double at_s, const trace::Turn& recorded, const core::Effects& effects) {
    if (options.until_s >= 0 && at_s >= options.until_s) return false;
    bool shown = options.dump;
    if (options.request != 0) {
      for (const core::Effect& e : effects) shown = shown || trace::RequestOf(e) == options.request;
    }
    if (!shown) return true;
    std::printf("%zu %.6f %s\n", turn, at_s, recorded.start ? "start" : trace::Text(recorded.event).c_str());
    for (const core::Effect& e : effects) {
      // Names at the counter differ from those of the recorded run, whose customers are not known.
      bool named = std::holds_alternative<core::CallCounter>(e);
      std::printf("  %s\n", named && !options.dump ? "count" : trace::Text(e).c_str());
    }
    if (options.request != 0) std::printf("  %s\n", replay.Describe(options.request).c_str());
    return true;
  };
  std::optional<trace::Difference> difference;
  bool stopped = false;
  for (const std::string& chunk : file.chunks) {
    std::vector<trace::Turn> turns = trace::DecodeTurns(chunk);
    difference = replay.Play(turns, each, !options.dump);
    if (difference) break;
    if (options.until_s >= 0 && replay.at_s() >= options.until_s) {
      stopped = true;
      break;
    }
  }
  if (options.dump) return 0;
  if (difference) {
    std::printf("turn %zu, %.6f s: %s\n  recorded: %s\n  now:      %s\n%s\n", difference->turn,
                difference->at_s, difference->event.c_str(), difference->recorded.c_str(),
                difference->replayed.c_str(), difference->state.c_str());
    return 1;
  }
  if (options.until_s >= 0) std::printf("at %.6f s:\n%s", replay.at_s(), replay.DescribeAll().c_str());
  std::printf("%zu turns, %.3f s: no difference\n", replay.turns(), replay.at_s());
  if (file.fault.empty() || stopped) return 0;
  std::printf("%s\n", file.fault.c_str());
  return file.torn ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("ivygw-replay: plays a recorded trace to this build's core and tells the first difference",
               "ivygw-replay");
  Options options;
  app.add_option("-c,--config", options.config, "the configuration that the gateway ran with")->required();
  app.add_option("trace", options.trace, "FILE of `ivygw --trace FILE`")->required();
  app.add_option("--until", options.until_s, "stop so many seconds after the start and print the state");
  app.add_option("--request", options.request,
                 "print each turn that is about this request (the core's number), and its state");
  app.add_option("--against", options.against, "another build's ivygw-replay: tells where the two differ");
  app.add_flag("--dump", options.dump, "print every turn with the effects of this build");
  app.add_flag("--any-config", options.any_config, "play it although the configuration's text differs");
  app.set_version_flag("--version", std::string("ivygw-replay ") + kVersion);
  CLI11_PARSE(app, argc, argv);
  try {
    return options.against.empty() ? Play(options) : Compare(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw-replay: %s\n", error.what());
    return 2;
  }
}
