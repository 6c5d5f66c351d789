// Runs several gateway processes on one shared engine, and a backend that counts what it executed. Tests
// inject faults: a process is stopped at one of its stop points, killed, or resumed.
#ifndef IVYGW_TESTS_FLEET_RIG_H_
#define IVYGW_TESTS_FLEET_RIG_H_

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "rig/redis_host.h"
#include "rig/site_rig.h"

namespace rig {

// Sends an operator's call and returns the whole reply, up to the end of the connection.
inline std::string AdminCall(int port, const std::string& call) {
  auto wire = Wire::To(port);
  wire->Write(call + "\n");
  while (wire->More()) {
  }
  return wire->unread;
}

inline std::map<std::string, long> AdminMetrics(int port) {
  std::map<std::string, long> metrics;
  std::istringstream lines(AdminCall(port, "vars"));
  for (std::string line; std::getline(lines, line);) {
    size_t at = line.find('=');
    if (at != std::string::npos) metrics[line.substr(0, at)] = std::atol(line.c_str() + at + 1);
  }
  return metrics;
}

// Polls until `holds` returns true; returns false after kLimitS.
template <typename Holds>
bool Eventually(Holds holds) {
  for (int i = 0; i < kLimitS * 50; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

// A backend that executes each idempotency key once, and counts the attempts and executions of each request.
class RecordingBackend {
 public:
  // While Hold(true) is in effect, requests wait before they are executed.
  explicit RecordingBackend(std::string padding = "")
      : backend([this, padding = std::move(padding)](const Message& m, Wire&) {
          std::string key = m.Header("Work-Key"), again = m.Header("Idempotency-Key");
          std::unique_lock lock(mutex_);
          ++attempts_[key];
          received.Add();
          changed_.wait(lock, [&] { return !holding_; });
          if (again.empty() || done_.insert(again).second) ++runs_[key];
          return Ok(key + " done " + std::to_string(runs_[key]) + " times" + padding,
                    "Content-Type: text/x-done\r\n");
        }) {}
  ~RecordingBackend() { Hold(false); }
  void Hold(bool holds) {
    std::lock_guard lock(mutex_);
    holding_ = holds;
    changed_.notify_all();
  }
  int runs(const std::string& key) {
    std::lock_guard lock(mutex_);
    return runs_[key];
  }
  int attempts(const std::string& key) {
    std::lock_guard lock(mutex_);
    return attempts_[key];
  }
  Event received;  // a request has arrived

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool holding_ = false;
  std::map<std::string, int> runs_, attempts_;
  std::set<std::string> done_;

 public:
  Backend backend;
};

struct FleetOptions {
  double lease_s = 1, hold_s = 0;
  std::string engine = "sqlite";
  json ledger = {{"key_header", "Work-Key"}, {"patience_s", 10}, {"life_s", 600}};
  const char* program = IVYGW;
  std::function<void(json* config)> change = [](json*) {};  // applied to each gateway's configuration
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options, const json& entries = json::array())
      : options_(options), entries_(entries) {
    char name[] = "/tmp/ivygw-fleet-XXXXXX";
    folder_ = mkdtemp(name);
    discovery_.Set(entries);
  }
  ~Fleet() {
    if (redis_) redis_->MendAll();  // so that the gateways can leave
    gateways_.clear();
    std::filesystem::remove_all(folder_);
  }

  json ConfigOf(const std::string& name) {
    json config = Config(discovery_.port(), counter_.port(), entries_);
    config["name"] = name;
    config["admin"] = "127.0.0.1:0";
    config["settings"]["peers-total"] = 300;
    for (json& c : config["settings"]["request-classes"]) {
      c["hard-limit-s"] = 40;
      c["window-s"] = 60;
    }
    config["settings"]["tiers-of-service"][0]["units-per-s"] = 1e5;
    config["settings"]["tiers-of-service"][0]["store-size"] = 1e6;
    config["fleet"] = {{"engine", options_.engine},
                       {"path", file()},
                       {"durability", "process"},
                       {"lease_s", options_.lease_s},
                       {"hold_s", options_.hold_s}};
    if (options_.engine == "redis") {
      config["fleet"].erase("path");
      config["fleet"].erase("durability");
      config["fleet"]["address"] = "127.0.0.1:" + std::to_string(redis().Link(name));
    }
    if (options_.ledger.is_object()) config["fleet"]["ledger"] = options_.ledger;
    options_.change(&config);
    return config;
  }
  // Returns once the gateway is a member and ready. `stop_at`: the stop point at which it stops; 0: none.
  Process& Start(const std::string& name, int stop_at = 0) {
    std::map<std::string, std::string> environment;
    if (stop_at > 0) environment["IVYGW_STOP_AT"] = std::to_string(stop_at);
    auto p = std::make_unique<Process>(ConfigOf(name), options_.program, 0, environment);
    EXPECT_NE(p->port, 0) << p->line;
    Process& process = *(gateways_[name] = std::move(p));
    EXPECT_TRUE(Eventually([&] { return AdminMetrics(process.admin)["fleet_sure"] == 1; })) << name;
    EXPECT_TRUE(Eventually(
        [&] { return Ask(*process.Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200; }));
    return process;
  }
  void Kill(const std::string& name) {
    gateways_.at(name)->Signal(SIGKILL);
    EXPECT_EQ(gateways_.at(name)->Exit(), -SIGKILL);
    gateways_.erase(name);
  }
  Process& of(const std::string& name) { return *gateways_.at(name); }
  void End(const std::string& name) { gateways_.erase(name); }
  bool has(const std::string& name) const { return gateways_.count(name) != 0; }
  // The Redis stand-in, if it is the engine; each gateway reaches it through its own relay.
  RedisHost& redis() {
    if (!redis_) redis_ = std::make_unique<RedisHost>();
    return *redis_;
  }
  std::string file() const { return folder_ + "/fleet.db"; }
  // Names of the members that this gateway sees.
  std::set<std::string> Seen(const std::string& name) {
    std::set<std::string> seen;
    std::istringstream lines(AdminCall(of(name).admin, "members"));
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      std::string who, state;
      words >> who >> state;
      if (state == "serving" || state == "joining" || state == "leaving" || state == "unknown")
        seen.insert(who);
    }
    return seen;
  }

 private:
  const FleetOptions options_;
  const json entries_;
  std::string folder_;
  Counter counter_{[](const std::string&, double) { return Bulk("0"); }};
  Discovery discovery_;
  std::unique_ptr<RedisHost> redis_;
  std::map<std::string, std::unique_ptr<Process>> gateways_;
};

// A request with an idempotency key; a retry sends the same text again.
inline std::string KeyedRequest(const std::string& cls, const std::string& key, const std::string& body = "b",
                                int timeout_ms = 30000) {
  std::string text = Request(cls, 1, timeout_ms, "Work-Key: " + key + "\r\n", body);
  return text;
}

}  // namespace rig

#endif  // IVYGW_TESTS_FLEET_RIG_H_
