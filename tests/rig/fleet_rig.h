// Several gateways that know of each other, as processes of the program round one shared engine, and a
// backend that counts what it did. Faults come from the test: a process is stopped at a step of its own,
// killed, or let go on.
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

// All that an operator's call is answered with, to the end of its connection.
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

// Asked again and again until it holds; what never does fails the test.
template <typename Holds>
bool Eventually(Holds holds) {
  for (int i = 0; i < kLimitS * 50; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

// A backend that does what it is asked for, once for each key as its group remembers, and tells how often it
// did it.
class RecordingBackend {
 public:
  // Each of these waits until it may go on.
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
  Event received;  // a request has come

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
  std::function<void(json* config)> change = [](json*) {};  // of each one's configuration
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
    if (redis_) redis_->MendAll();  // so that they can leave
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
  // Is a member, and serves, when this returns. `stop_at`: the step at which it stops itself; 0: none.
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
  // The engine, where it is the stand-in of Redis: each gateway's way there is a relay of its own.
  RedisHost& redis() {
    if (!redis_) redis_ = std::make_unique<RedisHost>();
    return *redis_;
  }
  std::string file() const { return folder_ + "/fleet.db"; }
  // As the gateway sees them: names of who is there.
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

// A request with a key of its own; sent again as it is by a client that comes back.
inline std::string Keyed(const std::string& cls, const std::string& key, const std::string& body = "b",
                         int timeout_ms = 30000) {
  std::string text = Request(cls, 1, timeout_ms, "Work-Key: " + key + "\r\n", body);
  return text;
}

}  // namespace rig

#endif  // IVYGW_TESTS_FLEET_RIG_H_
