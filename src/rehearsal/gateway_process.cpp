#include "rehearsal/gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "net/address.h"

namespace ivygw::rehearsal {

GatewayProcess::GatewayProcess(asio::io_context& io, const std::string& program, const std::string& directory,
                               const nlohmann::json& config)
    : log_(io) {
  std::string name = config.at("name").get<std::string>(), path = directory + "/" + name + ".json";
  log_path_ = directory + "/" + name + ".log";
  if (!(std::ofstream(path) << config.dump(1) << "\n")) throw std::runtime_error("cannot write " + path);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (pid_ == 0) {
    // A group of its own: Ctrl-C is for the rehearsal alone, which ends what it started.
    setpgid(0, 0);
    dup2(ends[1], 2);
    int devnull = open("/dev/null", O_RDWR);
    dup2(devnull, 0);
    dup2(devnull, 1);
    close_range(3, ~0u, 0);
    execl(program.c_str(), program.c_str(), "--config", path.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  close(ends[1]);
  log_.assign(ends[0]);
  log_.non_blocking(true);
  Read();
}

GatewayProcess::~GatewayProcess() {
  error_code ignored;
  log_.close(ignored);
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void GatewayProcess::Read() {
  log_.async_read_some(asio::buffer(part_), [this](error_code error, size_t n) {
    if (error) return;  // also when this object has gone
    std::ofstream(log_path_, std::ios::app).write(part_, static_cast<std::streamsize>(n));
    if (!listening_) {
      line_.append(part_, n);
      size_t at = line_.find(" listens on "), end = at == std::string::npos ? at : line_.find('\n', at);
      if (end != std::string::npos) {
        listening_ = true;
        tcp::endpoint address = ParseAddress("listen", line_.substr(at + 12, end - at - 12));
        if (on_listening) on_listening(address);
      }
    }
    Read();
  });
}

void GatewayProcess::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

bool GatewayProcess::Poll(Ended* ended) {
  if (pid_ <= 0) return true;
  int status = 0;
  rusage use{};
  if (wait4(pid_, &status, WNOHANG, &use) != pid_) return false;
  pid_ = -1;
  ended->status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  ended->cpu_s = seconds(use.ru_utime) + seconds(use.ru_stime);
  ended->peak_kb = use.ru_maxrss;
  return true;
}

}  // namespace ivygw::rehearsal
