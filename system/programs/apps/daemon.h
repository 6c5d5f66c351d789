// What the three programs' starts share: the command line, the settings, signals.
#ifndef IVYGW_SYSTEM_APPS_DAEMON_H_
#define IVYGW_SYSTEM_APPS_DAEMON_H_

#include <functional>
#include <memory>

#include "net/http.h"
#include "process/settings.h"

namespace ivygw::apps {

// What a daemon runs. It ends before the event loop does.
class Service {
 public:
  virtual ~Service() = default;
  // Ends it, at once or when it has finished; the event loop is stopped then. May be called again.
  virtual void Stop() = 0;
};

struct Daemon {
  const char* name;
  const char* what;
  // Throws storage::StoreUnavailable where it is to be tried again later.
  std::function<std::unique_ptr<Service>(asio::io_context&, const process::Settings&)> start;
};

// Runs a daemon until it ends; returns the status to exit with.
int Run(const Daemon& daemon, int argc, char** argv);

}  // namespace ivygw::apps

#endif  // IVYGW_SYSTEM_APPS_DAEMON_H_
