// The target of an outside call: the segments of its path and the parameters of its query. Pure.
#ifndef IVYGW_SYSTEM_REGISTRY_CALL_TARGET_H_
#define IVYGW_SYSTEM_REGISTRY_CALL_TARGET_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivygw::registry {

struct CallTarget {
  std::vector<std::string> segments;  // without empty ones
  std::map<std::string, std::string> query;

  // The value of a parameter; empty where there is none.
  std::string Parameter(const std::string& name) const;
};

// Reads a request target in origin form (RFC 9112, section 3.2.1). Percent-encoding is left as it is: the
// names of calls and backends need none.
CallTarget ParseCallTarget(std::string_view target);

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_CALL_TARGET_H_
