// The section `fleet` of a gateway's configuration: the shared engine (a key-value store that all gateways of
// the fleet use), leases, and the ledger of requests with an idempotency key. Depends on no engine, so that
// any build can validate a configuration.
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

  // Whether gateways hold shares of customers' ceilings (hard rate limits) by lease instead of equal shares.
  struct Lending {
    bool enabled = false;
    double turn_s = 6;  // how long a gateway holds a share in its turn while others wait
    int max_customers = 256;
  } lending;

  struct Ledger {
    bool enabled = false;
    std::string key_header;  // name of the header that carries the client's idempotency key
    double record_ttl_s = 60, engine_timeout_s = 0.15;
    int max_answer_bytes = 16 * 1024, max_open_requests = 4096;
    // Whether a request with an idempotency key is served without a record when the ledger can't keep one
    // because the engine is unavailable, this gateway's membership is uncertain, or more than
    // `max_open_requests` are open. Otherwise the request is refused. Without a record no gateway takes the
    // request over if this one fails, and a repetition with the same key doesn't get the first one's answer
    // but may run again. For a safe request, which may run any number of times, a second run is harmless. A
    // keyed request is deduplicated by the backends within a time window and a group of backends; a
    // repetition that is sent later or outside of that group may run again. An unsafe request must run once
    // at most, and any repetition may break that.
    bool serve_safe_unrecorded = true, serve_keyed_unrecorded = false, serve_unsafe_unrecorded = false;
  } ledger;
};

// Throws micadock::WireError that names the first invalid field, or appends all errors to `faults` if given.
Settings ReadSettings(const nlohmann::json& section, std::vector<std::string>* faults = nullptr);

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_SETTINGS_H_
