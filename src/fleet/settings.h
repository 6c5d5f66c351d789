// The section `fleet` of a gateway's configuration: the engine that gateways share, their leases, and the
// ledger of works. Holds no decision, and needs no engine: any build can check it.
#ifndef IVYGW_FLEET_SETTINGS_H_
#define IVYGW_FLEET_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ivygw::fleet {

struct Settings {
  enum class Engine { kSqlite, kRedis };
  Engine engine = Engine::kSqlite;
  // sqlite
  std::string path;
  bool survive_power_loss = true;  // a commit waits for the disk
  int max_size_mb = 256;
  // redis
  std::string address, username, password, prefix = "ivygw";
  int database = 0;

  double lease_s = 3, hold_s = 6;
  double capacity = 1;

  // Parts of customers' ceilings are lent by lease, in place of even ones.
  struct Lending {
    bool enabled = false;
    double turn_s = 6;  // for which a part is held where others wait for one
    int max_customers = 256;
  } lending;

  struct Ledger {
    bool enabled = false;
    std::string key_header;  // in which a client gives its key
    double record_ttl_s = 60, engine_timeout_s = 0.15;
    int max_answer_bytes = 16 * 1024, max_open_requests = 4096;
    // Without the engine's word: refused, or served without the promises.
    bool serve_safe_unrecorded = true, serve_keyed_unrecorded = false, serve_unsafe_unrecorded = false;
  } ledger;
};

// Throws micadock::WireError naming the field. With `faults` all of them are gathered there.
Settings ReadSettings(const nlohmann::json& section, std::vector<std::string>* faults = nullptr);

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_SETTINGS_H_
