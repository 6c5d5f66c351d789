// The settings of one gateway, from the flat path=value form that the simulator sends and a configuration
// file is brought into. Pure; throws WireError on what is missing or unreadable.
#ifndef MICADOCK_SETTINGS_SETTINGS_H_
#define MICADOCK_SETTINGS_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/balance.h"

namespace micadock {

// What is wrong with a setting, a list or a frame, in plain words that name the field.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads path=value lines; throws WireError naming the key that is missing or unreadable. With `faults` every
// such key is named there instead, and what is returned is of use only where there is none.
Settings ParseSettings(std::string_view text, std::vector<std::string>* faults = nullptr);

// What a real gateway needs of the same lines and the module does not: names and the limits of sockets.
struct SiteSettings {
  std::vector<std::string> classes, plans, zones, kinds;
  double conn_idle_s = 0;
  double connect_timeout_s = 0;
  double drain_grace_s = 0;
};
SiteSettings ParseSite(std::string_view text, std::vector<std::string>* faults = nullptr);

// Spaces and commas in names become '_', as they do in the flat form.
std::string PlainName(std::string_view name);

}  // namespace micadock

#endif  // MICADOCK_SETTINGS_SETTINGS_H_
