// ivygw: one real gateway. Starts it, waits for signals, gives the exit status.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>

#include "net/gateway.h"

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const char* path = std::getenv("LB_CONFIG");
    if (path == nullptr) throw micadock::WireError("LB_CONFIG does not name the configuration");
    ivygw::Config config = ivygw::LoadConfig(path);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT), reload(io, SIGHUP);
    ivygw::Gateway gateway(io, config);
    signals.async_wait([&](boost::system::error_code error, int) {
      if (error) return;
      std::fprintf(stderr, "closing\n");
      gateway.Shutdown();
    });
    // The file may name other addresses of discovery and counter. One that can't be read changes nothing.
    std::function<void()> await_reload = [&] {
      reload.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        try {
          gateway.Reload(ivygw::LoadConfig(path));
          std::fprintf(stderr, "configuration read again\n");
        } catch (const std::exception& bad) {
          std::fprintf(stderr, "configuration kept as it was: %s\n", bad.what());
        }
        await_reload();
      });
    };
    await_reload();
    auto local = gateway.local();
    std::fprintf(stderr, "%s listens on %s:%d\n", config.name.c_str(), local.address().to_string().c_str(),
                 local.port());
    io.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw: %s\n", error.what());
    return 1;
  }
  return 0;
}
