// ivygw: one real gateway. Reads its command line, starts it, waits for signals, gives the exit status.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/startup_signals.h"
#include "gateway/gateway.h"
#include "gateway/quota_bound.h"
#include "net/service_notifier.h"
#ifdef IVYGW_FLEET
#include "fleet/node.h"
#endif
#ifdef IVYGW_TRACE
#include "trace/recorder.h"
#endif
#include "version.h"

namespace {

// Exit status: 0 for a sound configuration, with how far each plan's quota may be passed; 1 with each fault
// on a line of its own.
int Check(const std::string& path) {
  std::vector<std::string> faults = ivygw::Faults(path);
  for (const std::string& fault : faults) std::fprintf(stderr, "%s: %s\n", path.c_str(), fault.c_str());
  if (!faults.empty()) return 1;
  ivygw::Config config = ivygw::LoadConfig(path);
  std::printf("%s: sound\n", path.c_str());
  for (const std::string& line : ivygw::DescribeBounds(config.settings, config.site.plans)) {
    std::printf("%s\n", line.c_str());
  }
  return 0;
}

int Run(const std::string& path, const std::string& trace) {
  std::signal(SIGPIPE, SIG_IGN);
  ivygw::Config config = ivygw::LoadConfig(path);
  ivygw::ReadEnvironment([](const char* name) { return std::getenv(name); }, &config);
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT), reload(io, SIGHUP);
  ivygw::UnblockHandledSignals();
  const ivygw::ServiceNotifier manager = ivygw::ServiceNotifier::FromEnvironment();
  ivygw::Gateway::Tap tap;
#ifdef IVYGW_TRACE
  std::optional<ivygw::trace::SegmentWriter> segments;
  std::optional<ivygw::trace::Recorder> recorder;
  if (!trace.empty()) {
    std::string file = trace;
    if (size_t at = file.find("{name}"); at != std::string::npos) file.replace(at, 6, config.name);
    segments.emplace(file, ivygw::trace::FingerprintOfFile(path));
    recorder.emplace(&*segments);
    tap = [&](double now, const ivygw::core::Event* event, const ivygw::core::Effects& effects) {
      recorder->Take(now, event, effects);
    };
  }
#else
  if (!trace.empty())
    throw micadock::WireError("--trace: this program was built without it (-DIVYGW_TRACE=ON)");
#endif
  ivygw::MakeFleet make_fleet;
#ifdef IVYGW_FLEET
  make_fleet = ivygw::fleet::MakeNode;
#endif
  ivygw::Gateway gateway(io, config, std::move(tap), make_fleet);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    std::fprintf(stderr, "closing\n");
    manager.Stopping();
    gateway.Close();
  });
  // The file may name other addresses of discovery and counter. One that can't be read changes nothing.
  std::function<void()> await_reload = [&] {
    reload.async_wait([&](boost::system::error_code error, int) {
      if (error) return;
      manager.Reloading();
      try {
        gateway.Reload(ivygw::LoadConfig(path));
        std::fprintf(stderr, "configuration read again\n");
      } catch (const std::exception& bad) {
        gateway.ReloadFailed();
        std::fprintf(stderr, "configuration kept as it was: %s\n", bad.what());
      }
      manager.Ready();
      await_reload();
    });
  };
  await_reload();
  auto local = gateway.local();
  std::fprintf(stderr, "%s listens on %s:%d\n", config.name.c_str(), local.address().to_string().c_str(),
               local.port());
  if (auto admin = gateway.admin()) {
    std::fprintf(stderr, "operators call at %s:%d\n", admin->address().to_string().c_str(), admin->port());
  }
  manager.Ready();
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("ivygw: a gateway that holds quotas, chooses a backend, and answers in time", "ivygw");
  std::string path;
  bool check = false;
  app.add_option("-c,--config", path, "the configuration, a JSON file")->envname("LB_CONFIG");
  app.add_flag("--check", check, "only say what is wrong with the configuration: exit status 0, or 1");
  std::string trace;
  app.add_option("--trace", trace,
                 "record what the gateway's core is told and asks for, as FILE.000001 and on; {name} in it "
                 "is the gateway's")
      ->envname("IVYGW_TRACE");
  app.set_version_flag("--version", std::string("ivygw ") + ivygw::kVersion);
  CLI11_PARSE(app, argc, argv);
  try {
    if (path.empty())
      throw micadock::WireError("LB_CONFIG does not name the configuration, and no --config is given");
    return check ? Check(path) : Run(path, trace);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw: %s\n", error.what());
    return 1;
  }
}
