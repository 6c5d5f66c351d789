// What the three programs' starts share: the command line, the settings, signals.
#ifndef IVYGW_SYSTEM_APPS_DAEMON_H_
#define IVYGW_SYSTEM_APPS_DAEMON_H_

#include <functional>

#include "net/http.h"
#include "process/settings.h"

namespace ivygw::apps {

struct Daemon {
  const char* name;
  const char* what;
  // Starts it, and gives what stops it.
  std::function<std::function<void()>(asio::io_context&, const process::Settings&)> start;
};

int Run(const Daemon& daemon, int argc, char** argv);

}  // namespace ivygw::apps

#endif  // IVYGW_SYSTEM_APPS_DAEMON_H_
