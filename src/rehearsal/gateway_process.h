// One real `ivygw` as a child process: its configuration in a file, its log kept, its end noticed.
#ifndef IVYGW_REHEARSAL_GATEWAY_PROCESS_H_
#define IVYGW_REHEARSAL_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "net/http.h"

namespace ivygw::rehearsal {

class GatewayProcess {
 public:
  struct Ended {
    int status = 0;  // exit status, or the signal's number negated
    double cpu_s = 0;
    long peak_kb = 0;
  };

  // Throws std::runtime_error where it can't be started. Files: DIR/NAME.json and DIR/NAME.log (appended to).
  GatewayProcess(asio::io_context& io, const std::string& program, const std::string& directory,
                 const nlohmann::json& config);
  ~GatewayProcess();  // kills it if it still runs

  // Once, when it has said where it listens; not at all if it ends before.
  std::function<void(tcp::endpoint)> on_listening;
  void Signal(int signal);
  // Whether it has ended; then what came of it. Does not wait.
  bool Poll(Ended* ended);
  pid_t pid() const { return pid_; }

 private:
  void Read();
  asio::posix::stream_descriptor log_;
  std::string log_path_, line_;
  pid_t pid_ = -1;
  bool listening_ = false;
  char part_[4096];
};

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_GATEWAY_PROCESS_H_
