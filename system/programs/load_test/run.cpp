#include "load_test/run.h"

#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "messages/item.h"
#include "net/message_reader.h"
#include "transport/links.h"

extern char** environ;

namespace ivygw::load_test {
namespace {

constexpr int kMostCallers = 1800;

std::string CoreIp(int core) { return "127.71.0." + std::to_string(core + 1); }

// A core's two programs, as processes of their own.
class Cores {
 public:
  explicit Cores(const Plan& plan) : plan_(plan) {
    std::string seeds;
    for (int i = 0; i < plan.cores; ++i)
      seeds += (i ? ",\"" : "\"") + CoreIp(i) + ":" + std::to_string(plan.first_port + 2) + "\"";
    for (int i = 0; i < plan.cores; ++i) {
      std::string base = plan.folder + "/core" + std::to_string(i);
      std::filesystem::create_directories(base + "/data");
      std::ofstream(base + "/boot.json")
          << "{\"node_name\":\"core" << i << "\",\"ip_address\":\"" << CoreIp(i) << "\",\"zone\":\"z" << i
          << "\",\"listen_addresses\":{\"control_plane\":\"" << CoreIp(i) << ":" << plan.first_port + 2
          << "\"},\"internal_port_range\":[" << plan.first_port << "," << plan.first_port + 1
          << "],\"seed_nodes\":[" << seeds
          << "],\"limits\":{\"max_file_descriptors\":20000},\"initial_boot\":true,\"data_directory\":\""
          << base << "/data\"}";
      for (const char* program : {"ivygw-registry", "ivygw-config-store"}) Start(program, base);
    }
  }
  ~Cores() {
    for (auto& [pid, name] : children_) kill(pid, SIGKILL);
    for (auto& [pid, name] : children_) waitpid(pid, nullptr, 0);
  }
  // The first program that has ended; empty: none.
  std::string Gone() const {
    for (const auto& [pid, name] : children_) {
      siginfo_t info{};
      if (waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
          info.si_pid == pid)
        return name;
    }
    return {};
  }
  // Seconds of processor and megabytes of each process of that program.
  std::vector<std::pair<double, double>> Use(const std::string& program) const {
    std::vector<std::pair<double, double>> out;
    for (const auto& [pid, name] : children_) {
      if (name != program) continue;
      std::ifstream stat("/proc/" + std::to_string(pid) + "/stat"),
          status("/proc/" + std::to_string(pid) + "/status");
      std::string word, line;
      double user = 0, system = 0, mb = 0;
      for (int i = 1; i <= 15 && stat >> word; ++i) {
        if (i == 14) user = std::atof(word.c_str());
        if (i == 15) system = std::atof(word.c_str());
      }
      while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) mb = std::atof(line.c_str() + 6) / 1024;
      }
      out.push_back({(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)), mb});
    }
    return out;
  }

 private:
  void Start(const char* program, const std::string& base) {
    std::string path = plan_.programs + "/" + program, config = "--config=" + base + "/boot.json";
    std::string log = base + "/" + program + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    char* arguments[] = {path.data(), config.data(), nullptr};
    pid_t pid = 0;
    if (posix_spawn(&pid, path.c_str(), &actions, nullptr, arguments, environ) == 0)
      children_.push_back({pid, program});
    posix_spawn_file_actions_destroy(&actions);
  }
  const Plan& plan_;
  std::vector<std::pair<pid_t, std::string>> children_;
};

// One HTTP call after another on one connection, opened anew where it has ended.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  using Then = std::function<void(int status)>;  // 0: no answer
  Caller(asio::io_context& io, tcp::endpoint to) : socket_(io), to_(std::move(to)), reader_(kLongestBody) {}
  void Call(const std::string& target, const std::string& body, Then then) {
    if (then_) return waiting_.push_back([=, this] { Call(target, body, then); });
    then_ = std::move(then);
    out_ = "POST " + target + " HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
    if (socket_.is_open()) return Write();
    if (Open(socket_, to_)) return Done(0);
    socket_.async_connect(to_,
                          [self = shared_from_this(), this](error_code error) { error ? Done(0) : Write(); });
  }

 private:
  void Write() {
    reader_.Next();
    body_.clear();
    WriteAll(socket_, out_,
             [self = shared_from_this(), this](error_code error) { error ? Done(0) : Read(); });
  }
  void Read() {
    ReadSome(socket_, kMostRead, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
      if (error || bytes.empty()) return Done(0);
      reader_.Add(bytes);
      if (reader_.Parse(&body_, kMostRead)) return Done(0);
      if (!reader_.done()) return Read();
      int status = static_cast<int>(reader_.head().result_int());
      if (!reader_.keep_alive()) CloseNow(socket_);
      Answered(status);
    });
  }
  void Done(int status) {
    CloseNow(socket_);
    Answered(status);
  }
  void Answered(int status) {
    Then then = std::move(then_);
    then_ = nullptr;
    if (then) then(status);
    if (then_ || waiting_.empty()) return;
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    next();
  }
  tcp::socket socket_;
  tcp::endpoint to_;
  MessageReader<false> reader_;
  std::string out_, body_;
  Then then_;
  std::deque<std::function<void()>> waiting_;
};

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::string Hex(uint64_t version) {
  char text[24];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version));
  return text;
}

class World {
 public:
  explicit World(const Plan& plan)
      : plan_(plan),
        io_(1),
        dice_(plan.seed),
        timer_(io_),
        tick_(io_),
        signals_(io_, SIGTERM, SIGINT),
        cores_(plan) {}

  Result Play() {
    // Ended from outside it ends its cores, too.
    signals_.async_wait([this](error_code error, int) {
      if (error) return;
      result_.failed = "stopped";
      io_.stop();
    });
    Look();
    Configure(0);
    auto began = Clock::now();
    End(plan_.seconds * 4 + 30, "the load did not stand in time");
    io_.run();
    result_.tool_cores = Own() / std::max(0.1, std::chrono::duration<double>(Clock::now() - began).count());
    return result_;
  }

 private:
  struct Gateway {
    std::vector<std::unique_ptr<transport::Dialer>> dialers;
    std::vector<bool> listed;
    std::vector<uint64_t> sums[2];  // in the place of its copies of both tables
    bool asked[2] = {false, false};
    uint64_t reports = 0, sent = 0, boot = 1;
    bool ready = false;
  };
  static double Own() {
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    auto s = [](const timeval& t) {
      return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return s(use.ru_utime) + s(use.ru_stime);
  }
  double Now() const { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }
  void Look() {
    if (std::string gone = cores_.Gone(); !gone.empty()) {
      result_.failed = gone + " has ended";
      return io_.stop();
    }
    After(0.5, [this] { Look(); });
  }
  void End(double after, const char* why) {
    timer_.expires_after(Seconds(after));
    timer_.async_wait([this, why](error_code cancelled) {
      if (cancelled) return;
      result_.failed = why;
      io_.stop();
    });
  }
  std::string Route(int i, uint64_t version) const {
    return "{\"name\":\"r" + std::to_string(i) + "\",\"host_name\":\"h" + std::to_string(i % 50) +
           ".example\",\"path_prefix\":\"/p" + std::to_string(i) +
           "/\",\"route_type\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":400,\"priority\":2,"
           "\"target_service\":\"s" +
           std::to_string(i % plan_.services) +
           "\",\"max_attempts\":2,\"public_access\":false,\"config_version\":\"" + Hex(version) + "\"}";
  }
  // The configuration, in calls of some thousand items each.
  void Configure(int part) {
    constexpr int kEach = 4000;
    std::string services, routes, tenants;
    auto add = [](std::string* list, const std::string& item) { *list += (list->empty() ? "" : ",") + item; };
    if (part == 0) {
      for (int i = 0; i < plan_.services; ++i)
        add(&services,
            "{\"name\":\"s" + std::to_string(i) +
                "\",\"health_path\":\"/h\",\"max_connections\":130,\"config_version\":\"00000001\"}");
    }
    for (int i = part * kEach; i < std::min(plan_.routes, (part + 1) * kEach); ++i) add(&routes, Route(i, 1));
    for (int i = part * kEach; i < std::min(plan_.tenants, (part + 1) * kEach); ++i) {
      add(&tenants, "{\"name\":\"t" + std::to_string(i) + "\",\"api_keys\":[\"key" + std::to_string(i) +
                        "abcdefghij\"],\"priority\":0,\"rate_per_s\":20,\"burst_size\":20,\"config_version\":"
                        "\"00000001\"}");
    }
    if (services.empty() && routes.empty() && tenants.empty()) return Begin();
    std::string body = "{\"upsert_items\":{\"service_table\":[" + services + "],\"route_table\":[" + routes +
                       "],\"tenant_table\":[" + tenants + "]}}";
    auto caller = std::make_shared<Caller>(io_, Control(part % plan_.cores));
    caller->Call("/ivygw/rpc?call=configuration.modify", body, [this, part, caller](int status) {
      if (status == 200) return Configure(part + 1);
      if (status / 100 == 4 || ++tries_ > 300) {
        result_.failed = "the configuration was answered " + std::to_string(status);
        return io_.stop();
      }
      After(0.2, [this, part] { Configure(part); });
    });
  }
  template <typename Run>
  void After(double s, Run run) {
    auto timer = std::make_shared<asio::steady_timer>(io_, Seconds(s));
    timer->async_wait([timer, run](error_code) { run(); });
  }
  tcp::endpoint Control(int core) const {
    return {asio::ip::make_address(CoreIp(core)), static_cast<uint16_t>(plan_.first_port + 2)};
  }

  void Begin() {
    gateways_.resize(static_cast<size_t>(plan_.gateways));
    began_ = Now();
    for (int g = 0; g < plan_.gateways; ++g) StartGateway(g);
    // More backends than connections share them: cores see as many calls, on fewer connections.
    std::vector<std::shared_ptr<Caller>> callers;
    callers.reserve(static_cast<size_t>(std::min(plan_.backends, kMostCallers)));
    for (int i = 0; i < std::min(plan_.backends, kMostCallers); ++i)
      callers.push_back(std::make_shared<Caller>(io_, Control(i % plan_.cores)));
    for (int b = 0; b < plan_.backends; ++b) {
      auto caller = callers[static_cast<size_t>(b) % callers.size()];
      After(plan_.beat_s * b / std::max(1, plan_.backends), [this, b, caller] { Beat(b, 1, caller); });
    }
  }
  void StartGateway(int g) {
    Gateway& gateway = gateways_[static_cast<size_t>(g)];
    gateway.dialers.clear();
    gateway.ready = false;
    ++gateway.boot;
    for (int t : {0, 1}) {
      gateway.sums[t].assign(messages::kListRanges, 0);
      gateway.asked[t] = false;
    }
    gateway.listed.assign(2 * static_cast<size_t>(plan_.cores), false);
    for (int i = 0; i < 2 * plan_.cores; ++i) {
      transport::Dialer::Events events;
      events.up = [this, g, i] {
        messages::Hello hello;
        hello.node = "10.9." + std::to_string(g / 250) + "." + std::to_string(g % 250);
        hello.role = "proxy";
        hello.zone = "z" + std::to_string(g % 15);
        hello.incarnation = gateways_[static_cast<size_t>(g)].boot;
        Send(g, i, hello);
        Gateway& mine = gateways_[static_cast<size_t>(g)];
        if (!mine.asked[i % 2]) Ask(g, i);
      };
      events.down = [] {};
      events.message = [this, g, i](const messages::Message& message) { Told(g, i, message); };
      tcp::endpoint to(asio::ip::make_address(CoreIp(i / 2)),
                       static_cast<uint16_t>(plan_.first_port + i % 2));
      gateway.dialers.push_back(
          std::make_unique<transport::Dialer>(io_, &link_memory_, to, std::move(events)));
    }
  }
  void Ask(int g, int i) {
    Gateway& gateway = gateways_[static_cast<size_t>(g)];
    gateway.asked[i % 2] = true;
    Send(g, i, messages::RangeDigests{gateway.sums[i % 2]});
  }
  void Send(int g, int i, const messages::Message& message) {
    out_bytes_ += messages::Encode(message).size();
    gateways_[static_cast<size_t>(g)].dialers[static_cast<size_t>(i)]->Send(message);
  }
  void Told(int g, int i, const messages::Message& message) {
    Gateway& gateway = gateways_[static_cast<size_t>(g)];
    size_t bytes = messages::Encode(message).size();
    in_bytes_ += bytes;
    if (!gateway.ready) list_bytes_ += bytes;
    if (const auto* push = std::get_if<messages::Push>(&message)) {
      if (push->number != messages::kProvisionalPush) Send(g, i, messages::PushAck{push->number});
      for (const auto& item : push->items) {
        if (!gateway.ready && push->list_part && !item.dropped)
          gateway.sums[i % 2][messages::RangeOf(item.key, messages::kListRanges)] ^= messages::DigestOf(item);
      }
      for (const auto& item : push->items) {
        auto it = spreading_.find(item.key);
        if (it == spreading_.end() || item.version != it->second.version) continue;
        it->second.seen.insert(g);
        if (it->second.seen.size() < gateways_.size()) continue;
        spread_ms_.push_back((Now() - it->second.at) * 1000);
        spreading_.erase(it);
      }
    } else if (const auto* state = std::get_if<messages::CoreStatus>(&message)) {
      bool first = !gateway.listed[static_cast<size_t>(i)];
      gateway.listed[static_cast<size_t>(i)] = state->list_complete;
      if (first && !state->list_complete) return After(0.1, [this, g, i] { Ask(g, i); });
      if (first) {  // the next core of the table
        for (int n = i % 2; n < 2 * plan_.cores; n += 2) {
          if (gateway.listed[static_cast<size_t>(n)] || !gateway.dialers[static_cast<size_t>(n)]->up())
            continue;
          Ask(g, n);
          break;
        }
      }
      if (gateway.ready) return;
      int lists[2] = {0, 0};
      for (size_t n = 0; n < gateway.listed.size(); ++n) lists[n % 2] += gateway.listed[n];
      if (lists[0] < 1 || lists[1] < 1) return;
      gateway.ready = true;
      if (measuring_ || ++ready_ < plan_.gateways) return;
      result_.ready_s = Now() - began_;
      result_.list_kb = static_cast<double>(list_bytes_) / 1024 / plan_.gateways;
      // Let what the start has stirred up settle first.
      After(2, [this] { Measure(); });
    }
  }
  void Measure() {
    measuring_ = true;
    use_ = {cores_.Use("ivygw-registry"), cores_.Use("ivygw-config-store")};
    in_bytes_ = out_bytes_ = 0;
    measured_from_ = Now();
    Change();
    Restart();
    End(plan_.seconds, "");
    Report();
    After(plan_.seconds - 0.3, [this] { Count(); });
  }
  void Count() {
    double s = Now() - measured_from_;
    auto role = [&](const std::vector<std::pair<double, double>>& before, const char* program) {
      Role out;
      auto after = cores_.Use(program);
      for (size_t i = 0; i < std::min(before.size(), after.size()); ++i) {
        out.cores = std::max(out.cores, (after[i].first - before[i].first) / s);
        out.memory_mb = std::max(out.memory_mb, after[i].second);
      }
      return out;
    };
    result_.registry = role(use_[0], "ivygw-registry");
    result_.store = role(use_[1], "ivygw-config-store");
    result_.gateway_in = static_cast<double>(in_bytes_) / s / plan_.gateways;
    result_.gateway_out = static_cast<double>(out_bytes_) / s / plan_.gateways;
    result_.change_ms = Median(spread_ms_);
    result_.change_most_ms = spread_ms_.empty() ? 0 : *std::max_element(spread_ms_.begin(), spread_ms_.end());
    result_.ack_ms = Median(ack_ms_);
    result_.changes = spread_ms_.size();
  }
  // Each gateway's word on its tenants, spread over the time between two.
  void Report() {
    tick_.expires_after(Seconds(plan_.report_s / 10));
    tick_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      ++ticks_;
      for (int g = static_cast<int>(ticks_ % 10); g < plan_.gateways; g += 10) {
        Gateway& gateway = gateways_[static_cast<size_t>(g)];
        messages::UsageReport report;
        report.number = ++gateway.reports;
        gateway.sent += 2;
        for (int n = 0; n < std::min(plan_.active, plan_.tenants); ++n) {
          report.tenants.push_back({"t" + std::to_string((g * 7 + n) % plan_.tenants), 20, 20, 1, 0.01f,
                                    0.01f, 0.5f, gateway.sent});
        }
        for (int i = 0; i < plan_.cores; ++i) Send(g, 2 * i, report);
      }
      Report();
    });
  }
  void Beat(int b, uint64_t sequence, const std::shared_ptr<Caller>& caller) {
    std::string id = "i-" + std::to_string(b);
    std::string body = "{\"target_service\":\"s" + std::to_string(b % plan_.services) +
                       "\",\"address\":\"10.8." + std::to_string(b / 250) + "." + std::to_string(b % 250) +
                       ":8080\",\"zone\":\"z" + std::to_string(b % 15) +
                       "\",\"config_version\":\"v1\",\"slot_count\":3,\"oper_state\":\"ready\",\"warmup_left_"
                       "ms\":0,\"call_sequence\":" +
                       std::to_string(sequence) + "}";
    caller->Call("/ivygw/rpc?call=backends.heartbeat&of=" + id, body,
                 [this, b, sequence, caller](int status) {
                   ++result_.beats;
                   result_.beats_failed += status != 200;
                   After(plan_.beat_s, [this, b, sequence, caller] { Beat(b, sequence + 1, caller); });
                 });
  }
  void Change() {
    if (plan_.changes_per_s <= 0) return;
    int i = std::uniform_int_distribution<int>(0, plan_.routes - 1)(dice_);
    uint64_t version = ++version_;
    std::string key = "route_table/r" + std::to_string(i);
    spreading_[key] = {Now(), version, {}};
    auto caller = std::make_shared<Caller>(io_, Control(static_cast<int>(version) % plan_.cores));
    caller->Call("/ivygw/rpc?call=configuration.modify",
                 "{\"upsert_items\":{\"route_table\":[" + Route(i, version) + "]}}",
                 [this, at = Now(), caller](int status) {
                   if (status == 200) ack_ms_.push_back((Now() - at) * 1000);
                 });
    After(1 / plan_.changes_per_s, [this] { Change(); });
  }
  void Restart() {
    if (plan_.restarts_per_s <= 0) return;
    StartGateway(std::uniform_int_distribution<int>(0, plan_.gateways - 1)(dice_));
    After(1 / plan_.restarts_per_s, [this] { Restart(); });
  }

  struct Spreading {
    double at = 0;
    uint64_t version = 0;
    std::set<int> seen;
  };
  const Plan& plan_;
  asio::io_context io_;
  std::mt19937_64 dice_;
  asio::steady_timer timer_, tick_;
  asio::signal_set signals_;
  Cores cores_;
  Result result_;
  transport::LinkMemory link_memory_{transport::LinkMemory::kUnlimited};
  std::vector<Gateway> gateways_;
  std::map<std::string, Spreading> spreading_;
  std::vector<double> spread_ms_, ack_ms_;
  std::vector<std::vector<std::pair<double, double>>> use_;
  uint64_t in_bytes_ = 0, out_bytes_ = 0, list_bytes_ = 0, version_ = 1, ticks_ = 0;
  int ready_ = 0, tries_ = 0;
  double began_ = 0, measured_from_ = 0;
  bool measuring_ = false;
};

}  // namespace

std::string Check(const Plan& plan) {
  auto within = [](int value, int least, int most, const char* field) {
    if (value >= least && value <= most) return std::string();
    return std::string(field) + ": " + std::to_string(least) + " to " + std::to_string(most) + " is wanted";
  };
  for (std::string fault :
       {within(plan.cores, 1, 7, "cores"), within(plan.gateways, 1, 1200, "gateways"),
        within(plan.backends, 0, 16000, "backends"), within(plan.services, 1, 1000, "services"),
        within(plan.routes, 1, 10000, "routes"), within(plan.tenants, 1, 50000, "tenants"),
        within(plan.active, 0, 2000, "active"), within(static_cast<int>(plan.seconds), 3, 300, "seconds"),
        within(plan.first_port, 1024, 65000, "port")}) {
    if (!fault.empty()) return fault;
  }
  if (!std::filesystem::exists(plan.programs + "/ivygw-registry"))
    return "programs: there is no ivygw-registry in " + plan.programs;
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  size_t links = 2 * static_cast<size_t>(plan.gateways) * static_cast<size_t>(plan.cores);
  size_t need = links + static_cast<size_t>(std::min(plan.backends, kMostCallers)) + 200;
  if (files.rlim_cur < need)
    return "gateways, backends: " + std::to_string(need) + " descriptors are needed, " +
           std::to_string(files.rlim_cur) + " are allowed";
  return {};
}

Result Run(const Plan& plan) { return World(plan).Play(); }

std::string Line(const Plan& p, const Result& r) {
  std::ostringstream out;
  out.precision(5);
  out << "{\"cores\":" << p.cores << ",\"gateways\":" << p.gateways << ",\"backends\":" << p.backends
      << ",\"routes\":" << p.routes << ",\"tenants\":" << p.tenants << ",\"active\":" << p.active
      << ",\"failed\":\"" << r.failed << "\",\"registry_cpu\":" << r.registry.cores
      << ",\"registry_mb\":" << r.registry.memory_mb << ",\"store_cpu\":" << r.store.cores
      << ",\"store_mb\":" << r.store.memory_mb << ",\"gateway_in\":" << r.gateway_in
      << ",\"gateway_out\":" << r.gateway_out << ",\"list_kb\":" << r.list_kb << ",\"ready_s\":" << r.ready_s
      << ",\"ack_ms\":" << r.ack_ms << ",\"change_ms\":" << r.change_ms
      << ",\"change_most_ms\":" << r.change_most_ms << ",\"changes\":" << r.changes
      << ",\"beats\":" << r.beats << ",\"beats_failed\":" << r.beats_failed
      << ",\"tool_cpu\":" << r.tool_cores << "}";
  return out.str();
}

}  // namespace ivygw::load_test
