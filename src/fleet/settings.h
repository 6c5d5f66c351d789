// The section `fleet` of a gateway's configuration: the shared engine, leases, and the ledger of idempotent
// requests. Depends on no engine, so that any build can validate a configuration.
#ifndef IVYGW_FLEET_SETTINGS_H_
#define IVYGW_FLEET_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ivygw::fleet {

struct Settings {
  enum class Engine { kSqlite, kRedis };
  Engine engine = Engine::kSqlite;
  // SQLite.
  std::string path;
  bool survive_power_loss = true;  // each commit waits for the disk
  int max_size_mb = 256;
  // Redis.
  std::string address, username, password, prefix = "ivygw";
  int database = 0;

  double lease_s = 3, hold_s = 6;
  double capacity = 1;

  // Shares of customers' ceilings are held by lease instead of being equal.
  struct Lending {
    bool enabled = false;
    double turn_s = 6;  // how long a share is held in turn while others wait
    int max_customers = 256;
  } lending;

  struct Ledger {
    bool enabled = false;
    std::string key_header;  // carries the client's idempotency key
    double record_ttl_s = 60, engine_timeout_s = 0.15;
    int max_answer_bytes = 16 * 1024, max_open_requests = 4096;
    // Whether requests are served without their guarantees when the engine is unavailable; else refused.
    bool serve_safe_unrecorded = true, serve_keyed_unrecorded = false, serve_unsafe_unrecorded = false;
  } ledger;
};

// Throws micadock::WireError that names the first invalid field, or appends all errors to `faults` if given.
Settings ReadSettings(const nlohmann::json& section, std::vector<std::string>* faults = nullptr);

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_SETTINGS_H_
