// A backend process as the registry stores it and as gateways receive it.
#ifndef IVYGW_SYSTEM_DISCOVERY_BACKEND_H_
#define IVYGW_SYSTEM_DISCOVERY_BACKEND_H_

#include <cstdint>
#include <string>

namespace ivygw::discovery {

struct Backend {
  std::string id, service, address, zone;
  int slot_count = 1;
  bool draining = false;
  int warmup_left_ms = 0;  // remaining warm-up time when this was reported
  uint64_t sequence = 0;   // of the heartbeat that reported it
};

// Reads the body of a heartbeat, which does not contain `id`. Returns an empty string, or a fault that names
// the field.
std::string ParseHeartbeat(const std::string& json, Backend* out);
// Formats the JSON body of an item. Omits id and sequence, which are the item's key and version.
std::string FormatBackend(const Backend& backend);
std::string ParseBackend(const std::string& json, Backend* out);

}  // namespace ivygw::discovery

#endif  // IVYGW_SYSTEM_DISCOVERY_BACKEND_H_
