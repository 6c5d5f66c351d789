// What a process is told. The settings file, checked; the command line; logs as JSON lines.
#ifndef IVYGW_SYSTEM_PROCESS_SETTINGS_H_
#define IVYGW_SYSTEM_PROCESS_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace ivygw::process {

struct Settings {
  std::string node, ip, zone;
  std::string front_http, readiness, control_plane;  // IP:port; empty where not served
  int first_port = 0;                                // of the internal range, which holds two at least
  std::vector<std::string> seeds;                    // control_plane addresses
  bool initial_boot = false;
  std::string data_directory;  // empty: no disk
  int memory_mb = 256, descriptors = 1024;
  int machine_failures = 1;  // machines with a disk that may be lost at once, their disks with them
  // Bounds that decisions go by.
  int grace_s = 6;
  double retry_ratio = 0.2, retry_window_s = 10, retry_slack = 20;
  double quota_window_s = 5, quota_overrun = 0.1, quota_slack = 20;
};

// How many clients' connections a process takes: a part of its descriptors.
size_t MaxClients(const Settings& settings);
// One of so many equal parts of `memory_mb`, in bytes; 16 MiB at least.
size_t PartOfMemory(const Settings& settings, int parts);

// The host of a host:port text.
inline std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

// All faults, each naming its field; none: the settings are sound.
std::vector<std::string> ReadSettings(const std::string& json, Settings* out);

}  // namespace ivygw::process

#endif  // IVYGW_SYSTEM_PROCESS_SETTINGS_H_
