#include "registry/call_target.h"

#include <algorithm>

namespace ivygw::registry {
namespace {

// The text up to `separator`, which is taken off `rest` with it.
std::string_view TakeUntil(char separator, std::string_view* rest) {
  size_t end = std::min(rest->find(separator), rest->size());
  std::string_view taken = rest->substr(0, end);
  rest->remove_prefix(std::min(end + 1, rest->size()));
  return taken;
}

}  // namespace

std::string CallTarget::Parameter(const std::string& name) const {
  auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

CallTarget ParseCallTarget(std::string_view target) {
  CallTarget parsed;
  std::string_view rest = target;
  std::string_view path = TakeUntil('?', &rest);
  while (!path.empty()) {
    std::string_view segment = TakeUntil('/', &path);
    if (!segment.empty()) parsed.segments.emplace_back(segment);
  }
  while (!rest.empty()) {
    std::string_view parameter = TakeUntil('&', &rest);
    std::string_view name = TakeUntil('=', &parameter);
    parsed.query[std::string(name)] = std::string(parameter);
  }
  return parsed;
}

}  // namespace ivygw::registry
