#include "apps/daemon.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "base/startup_signals.h"
#include "net/clock.h"
#include "net/service_notifier.h"
#include "process/log.h"
#include "storage/store_unavailable.h"

namespace ivygw::apps {
namespace {

constexpr std::chrono::milliseconds kStoreRetryInterval{500};
constexpr int kUnusableSettings = 2;  // exit status

bool ReadFile(const std::string& path, std::string* out) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return false;
  out->assign(std::istreambuf_iterator<char>(in), {});
  return !in.bad();
}

// A daemon from its start to its end. One thread, that of the event loop.
class Running {
 public:
  Running(const Daemon& daemon, const process::Settings& settings, const std::string& settings_file)
      : daemon_(daemon),
        settings_(settings),
        settings_file_(settings_file),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        start_timer_(io_) {}

  void Run() {
    UnblockHandledSignals();
    Start();
    AwaitSignal();
    manager_.Ready();
    io_.run();
  }

 private:
  // A store that can't be opened now is opened later: the process goes on, with its first settings, and only
  // it waits for that disk.
  void Start() {
    try {
      service_ = daemon_.start(io_, settings_);
    } catch (const storage::StoreUnavailable& error) {
      process::Log("store_unavailable").Add("reason", error.what());
      start_timer_.expires_after(kStoreRetryInterval);
      start_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) Start();
      });
    }
  }

  void AwaitSignal() {
    signals_.async_wait([this](error_code error, int number) {
      if (error) return;
      if (number == SIGHUP) {
        ReadSettingsAgain();
      } else {
        Stop();
      }
      AwaitSignal();
    });
  }

  // The addresses and bounds of a start hold for its life; a file that can't be read changes nothing.
  void ReadSettingsAgain() const {
    manager_.Reloading();
    process::Settings again;
    std::string content;
    bool read = ReadFile(settings_file_, &content) && process::ReadSettings(content, &again).empty();
    { process::Log line(read ? "settings_read" : "settings_unreadable"); }
    manager_.Ready();
  }

  void Stop() {
    manager_.Stopping();
    if (service_) return service_->Stop();
    io_.stop();
  }

  const Daemon& daemon_;
  const process::Settings& settings_;
  const std::string& settings_file_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer start_timer_;
  const ServiceNotifier manager_ = ServiceNotifier::FromEnvironment();
  std::unique_ptr<Service> service_;  // null: not started yet
};

// The settings, or the status to exit with.
struct Arguments {
  std::optional<int> exit_status;
  std::string settings_file;
  process::Settings settings;
};

Arguments ExitWith(int status) { return {.exit_status = status, .settings_file = {}, .settings = {}}; }

Arguments ReadArguments(const Daemon& daemon, int argc, char** argv) {
  cxxopts::Options options(daemon.name, daemon.what);
  options.add_options()("config", "the settings file; else $IVYGW_NODE_FILE", cxxopts::value<std::string>())(
      "check", "read the settings, name every fault, start nothing")("version", "print the version")(
      "help", "print this");
  auto parsed = options.parse(argc, argv);
  if (parsed.count("help")) return ExitWith(std::puts(options.help().c_str()) < 0);
  if (parsed.count("version")) return ExitWith(std::printf("%s (ivygw system) 0.1\n", daemon.name) < 0);
  Arguments arguments;
  const char* named = std::getenv("IVYGW_NODE_FILE");
  std::string& path = arguments.settings_file;
  path = parsed.count("config") ? parsed["config"].as<std::string>() : named ? named : "";
  if (path.empty()) {
    std::fprintf(stderr, "%s: no settings file: --config FILE, or IVYGW_NODE_FILE\n", daemon.name);
    return ExitWith(kUnusableSettings);
  }
  std::string text;
  if (!ReadFile(path, &text)) {
    std::fprintf(stderr, "%s: %s: cannot be read\n", daemon.name, path.c_str());
    return ExitWith(kUnusableSettings);
  }
  std::vector<std::string> faults = process::ReadSettings(text, &arguments.settings);
  for (const std::string& fault : faults)
    std::fprintf(stderr, "%s: %s: %s\n", daemon.name, path.c_str(), fault.c_str());
  if (!faults.empty()) return ExitWith(kUnusableSettings);
  if (parsed.count("check")) return ExitWith(std::puts("the settings are sound") < 0);
  return arguments;
}

}  // namespace

int Run(const Daemon& daemon, int argc, char** argv) {
  try {
    Arguments arguments = ReadArguments(daemon, argc, argv);
    if (arguments.exit_status) return *arguments.exit_status;
    std::signal(SIGPIPE, SIG_IGN);
    process::StartLog(daemon.name, arguments.settings.node);
    Running(daemon, arguments.settings, arguments.settings_file).Run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", daemon.name, error.what());
    return 1;
  }
}

}  // namespace ivygw::apps
