#include "process/settings.h"

#include <algorithm>

#include "config_model/json.h"

namespace ivygw::process {

size_t MaxClients(const Settings& settings) {
  constexpr int kReserved = 250, kLeast = 64, kMost = 20000;
  return static_cast<size_t>(std::clamp((settings.descriptors - kReserved) * 6 / 10, kLeast, kMost));
}

size_t PartOfMemory(const Settings& settings, int parts) {
  constexpr int kLeastMb = 16;
  return static_cast<size_t>(std::max(kLeastMb, settings.memory_mb / parts)) << 20;
}

std::vector<std::string> ReadSettings(const std::string& json, Settings* out) {
  std::vector<std::string> faults;
  auto add_fault = [&](std::string fault) {
    if (!fault.empty()) faults.push_back(std::move(fault));
  };
  config_model::Document document;
  config_model::Object root;
  if (std::string fault = document.Read(json, &root); !fault.empty()) return {fault};
  add_fault(root.Get("node_name", &out->node));
  add_fault(root.Get("ip_address", &out->ip));
  add_fault(root.Get("zone", &out->zone));
  add_fault(root.Get("initial_boot", &out->initial_boot, false));
  add_fault(root.Get("data_directory", &out->data_directory, false));
  add_fault(root.Strings("seed_nodes", &out->seeds));
  config_model::Object part;
  bool present = false;
  add_fault(root.Sub("listen_addresses", &part, &present));
  if (present) {
    add_fault(part.Get("front_http", &out->front_http, false));
    add_fault(part.Get("readiness", &out->readiness, false));
    add_fault(part.Get("control_plane", &out->control_plane, false));
  }
  // The range is a list of two numbers.
  std::vector<int> range;
  add_fault(root.Numbers("internal_port_range", &range));
  if (range.size() != 2 || range[0] < 1 || range[1] > 65535 || range[1] < range[0] + 1) {
    add_fault("internal_port_range: two ports are wanted, the first below the second");
  } else {
    out->first_port = range[0];
  }
  add_fault(root.Sub("limits", &part, &present));
  if (present) {
    add_fault(part.Get("memory_mb", &out->memory_mb, false));
    add_fault(part.Get("max_file_descriptors", &out->descriptors, false));
  }
  add_fault(root.Sub("fault_tolerance", &part, &present));
  if (present) {
    add_fault(part.Get("machine_failures", &out->machine_failures, false));
    if (out->machine_failures < 0)
      add_fault("fault_tolerance.machine_failures: a number that isn't negative is wanted");
  }
  add_fault(root.Sub("timing_bounds", &part, &present));
  if (present) {
    add_fault(part.Get("grace_s", &out->grace_s, false));
    add_fault(part.Get("retry_budget_ratio", &out->retry_ratio, false));
    add_fault(part.Get("retry_window_s", &out->retry_window_s, false));
    add_fault(part.Get("retry_slack", &out->retry_slack, false));
    add_fault(part.Get("quota_window_s", &out->quota_window_s, false));
    add_fault(part.Get("quota_overrun", &out->quota_overrun, false));
    add_fault(part.Get("quota_slack", &out->quota_slack, false));
  }
  return faults;
}

}  // namespace ivygw::process
