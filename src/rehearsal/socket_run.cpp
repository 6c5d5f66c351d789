#include "rehearsal/socket_run.h"

#include <dirent.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <stdexcept>

#include "emulator/clients.h"
#include "emulator/installation.h"
#include "emulator/world.h"
#include "rehearsal/gateway_process.h"
#include "standin/asio_scheduler.h"
#include "standin/backend_servers.h"
#include "standin/client_sockets.h"
#include "standin/counter_servers.h"
#include "standin/discovery_servers.h"

namespace ivygw::rehearsal {
namespace {

constexpr double kPollS = 0.05, kProgressS = 1, kReadyPollS = 0.02;

size_t Descriptors() {
  size_t n = 0;
  if (DIR* dir = opendir("/proc/self/fd")) {
    while (readdir(dir) != nullptr) ++n;
    closedir(dir);
  }
  return n > 3 ? n - 3 : 0;  // ., .. and the folder itself
}

double CpuS() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

// Listeners, gateways' pipes and the loop's own, and room for a hundred requests under way.
void WantDescriptors(const scenario::Scenario& s) {
  rlim_t least = static_cast<rlim_t>(s.gateways) * static_cast<rlim_t>(s.NodeCount() + 4) + 200;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < least) {
    throw std::runtime_error("this scenario needs " + std::to_string(least) +
                             " descriptors at the least, and " + std::to_string(limit.rlim_max) +
                             " are allowed (ulimit -Hn)");
  }
}

// Asks a gateway whether it is ready, until it is.
class ReadyProbe : public std::enable_shared_from_this<ReadyProbe> {
 public:
  ReadyProbe(asio::io_context& io, tcp::endpoint address, std::function<void()> ready)
      : socket_(io), timer_(io), address_(std::move(address)), ready_(std::move(ready)) {}
  void Start() {
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect(address_, [self = shared_from_this(), this](error_code error) {
      if (error) return Again();
      asio::async_write(socket_, asio::buffer(kAsk), [self, this](error_code failed, size_t) {
        if (failed) return Again();
        socket_.async_read_some(asio::buffer(part_), [self, this](error_code bad, size_t n) {
          std::string_view text(part_, n);
          if (bad || text.substr(0, 12) != "HTTP/1.1 200") return Again();
          ready_();
        });
      });
    });
  }

 private:
  static constexpr std::string_view kAsk =
      "GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
  void Again() {
    timer_.expires_after(Seconds(kReadyPollS));
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled) Start();
    });
  }
  tcp::socket socket_;
  asio::steady_timer timer_;
  const tcp::endpoint address_;
  std::function<void()> ready_;
  char part_[1024];
};

class SocketSite : public emulator::Links {
 public:
  SocketSite(const scenario::Scenario& s, uint64_t seed, const SocketOptions& options,
             const OnProgress& on_progress)
      : scenario_(s),
        seed_(seed),
        options_(options),
        on_progress_(on_progress),
        signals_(io_, SIGINT, SIGTERM),
        scheduler_(io_, options.lead_s),
        clients_(s, seed, &scheduler_, &run_.record.events),
        world_(s, seed, &scheduler_, &clients_, &run_.record.events),
        epoch_s_(std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() +
                 options.lead_s),
        backends_(io_, &scheduler_, &world_, &clients_, s.gateways),
        counter_(io_, &scheduler_, &world_, s.gateways),
        discovery_(
            io_, &scheduler_, &world_, s.gateways, epoch_s_,
            [this](int node, int gateway) { return backends_.Address(world_.AddressOf(node), gateway); }),
        port_(io_, s, &clients_) {
    run_.record.facts = emulator::FactsOf(s, seed, "sockets");
    processes_.resize(static_cast<size_t>(s.gateways));
    listen_.resize(static_cast<size_t>(s.gateways), "127.0.0.1:0");
    ready_.resize(static_cast<size_t>(s.gateways));
  }

  SocketRun Play() {
    double cpu = CpuS();
    signals_.async_wait([this](error_code error, int) {
      if (error) return;
      run_.interrupted = true;
      io_.stop();
    });
    world_.Start(this);
    for (int g = 0; g < scenario_.gateways; ++g) Launch(g);
    scheduler_.At(-kReadyPollS, [this] {
      for (int g = 0; g < scenario_.gateways; ++g) {
        if (ready_[static_cast<size_t>(g)]) continue;
        failure_ = "gateway n" + std::to_string(g) + " was not ready in time; see " + options_.directory +
                   "/n" + std::to_string(g) + ".log";
        return io_.stop();
      }
      clients_.Start(&port_);
    });
    Watch();
    Progress();
    scheduler_.At(scenario_.duration_s, [this] { Close(); });
    io_.run();
    if (!failure_.empty()) throw std::runtime_error(failure_);
    world_.Finish();
    run_.own_cpu_s = CpuS() - cpu;
    run_.own_failures = port_.own_failures();
    return std::move(run_);
  }

  void AddressDown(int address) override { backends_.Down(address); }
  void AddressSilent(int address) override { backends_.Silent(address); }
  void AddressUp(int address) override { backends_.Up(address); }
  void DiscoveryChanged() override { discovery_.Changed(); }
  void CounterRefuses(bool refuses) override { counter_.Refuse(refuses); }
  void KillGateway(int gateway) override {
    auto& process = processes_[static_cast<size_t>(gateway)];
    if (process == nullptr) return;
    process->Signal(SIGKILL);
    process.reset();
    world_.GatewayDown(gateway, "killed", -SIGKILL);
    ready_[static_cast<size_t>(gateway)] = false;
    scheduler_.After(scenario_.clients.notice_s, [this, gateway] {
      if (!ready_[static_cast<size_t>(gateway)]) clients_.SetAlive(gateway, false);
    });
  }
  void StartGateway(int gateway) override { Launch(gateway); }

 private:
  void Launch(int gateway) {
    size_t g = static_cast<size_t>(gateway);
    emulator::GatewayAddresses addresses{listen_[g], discovery_.Address(gateway), counter_.Address(gateway)};
    auto config = emulator::GatewayConfig(scenario_, gateway, seed_ + ++launches_, addresses, nullptr);
    processes_[g] = std::make_unique<GatewayProcess>(io_, options_.program, options_.directory, config);
    processes_[g]->on_listening = [this, g, gateway](const tcp::endpoint& address) {
      listen_[g] = address.address().to_string() + ":" + std::to_string(address.port());
      port_.SetAddress(gateway, address);
      std::make_shared<ReadyProbe>(io_, address, [this, g, gateway] {
        if (ready_[g]) return;
        ready_[g] = true;
        world_.GatewayUp(gateway);
        clients_.SetAlive(gateway, true);
      })->Start();
    };
  }

  // Gateways that end are noticed here; outside of a planned end it is a crash.
  void Watch() {
    bool all = true;
    for (int g = 0; g < scenario_.gateways; ++g) {
      auto& process = processes_[static_cast<size_t>(g)];
      if (process == nullptr) continue;
      GatewayProcess::Ended ended;
      if (!process->Poll(&ended)) {
        all = false;
        continue;
      }
      world_.GatewayDown(g, ended.status == 0 && closing_ ? "ended" : "crashed", ended.status);
      run_.use.push_back({g, ended.cpu_s, ended.peak_kb});
      process.reset();
    }
    if (closing_ && all) return io_.stop();
    run_.most_descriptors = std::max(run_.most_descriptors, Descriptors());
    scheduler_.After(kPollS, [this] { Watch(); });
  }

  void Progress() {
    if (on_progress_) on_progress_(scheduler_.Now(), run_.record);
    scheduler_.After(kProgressS, [this] { Progress(); });
  }

  // Until all is answered, or would have been; then the gateways are asked to end.
  void Close() {
    double longest = 0;
    for (const auto& c : scenario_.classes) longest = std::max(longest, c.deadline_s);
    double rest =
        (longest + 0.2) * (1 + scenario_.clients.retries) +
        scenario_.clients.retries * std::max(scenario_.clients.backoff_s, scenario_.rules.max_retry_after_s);
    if (clients_.open() > 0 && scheduler_.Now() < scenario_.duration_s + rest) {
      return scheduler_.After(0.1, [this] { Close(); });
    }
    closing_ = true;
    port_.CloseIdle();
    for (auto& process : processes_) {
      if (process != nullptr) process->Signal(SIGTERM);
    }
    scheduler_.After(longest + 5, [this] { io_.stop(); });  // what still runs then is killed
  }

  const scenario::Scenario& scenario_;
  const uint64_t seed_;
  const SocketOptions& options_;
  const OnProgress& on_progress_;
  SocketRun run_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  standin::AsioScheduler scheduler_;
  emulator::Clients clients_;
  emulator::World world_;
  const double epoch_s_;
  standin::BackendServers backends_;
  standin::CounterServers counter_;
  standin::DiscoveryServers discovery_;
  standin::ClientSockets port_;
  std::vector<std::unique_ptr<GatewayProcess>> processes_;
  std::vector<std::string> listen_;
  std::vector<bool> ready_;
  uint64_t launches_ = 0;
  bool closing_ = false;
  std::string failure_;
};

}  // namespace

SocketRun PlaySockets(const scenario::Scenario& scenario, uint64_t seed, const SocketOptions& options,
                      const OnProgress& on_progress) {
  WantDescriptors(scenario);
  SocketSite site(scenario, seed, options, on_progress);
  return site.Play();
}

}  // namespace ivygw::rehearsal
