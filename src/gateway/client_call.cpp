#include "gateway/client_call.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace ivygw {

using micadock::Effect;

namespace {

constexpr unsigned long kMostTimeoutMs = 60000;
constexpr size_t kMostId = 64;
constexpr double kLeastUnits = 1;  // of a request, by the operators' plans
constexpr uint64_t kCustomers = 1ULL << 33;

template <typename T>
bool Number(std::string_view text, T* value, int base = 10) {
  if (text.empty()) return false;
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), text.data() + text.size(), *value);
  } else {
    result = std::from_chars(text.data(), text.data() + text.size(), *value, base);
  }
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// The value of `name` in a list of name=value parts; none where it is repeated.
std::optional<std::string_view> Part(std::string_view list, char between, std::string_view name) {
  std::optional<std::string_view> found;
  while (!list.empty()) {
    size_t end = std::min(list.find(between), list.size());
    std::string_view part = Trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    size_t equals = part.find('=');
    if (equals != std::string_view::npos && Trim(part.substr(0, equals)) == name) {
      if (found) return std::nullopt;
      found = Trim(part.substr(equals + 1));
    }
  }
  return found;
}

int Position(const std::vector<std::string>& names, std::string_view name) {
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

std::string_view OriginForm(std::string_view target) {
  if (target.substr(0, 7) != "http://") return target;
  size_t path = target.find('/', 7);
  return path == std::string_view::npos ? "/" : target.substr(path);
}

ClientCall ReadCall(const http::request_header<>& message, const Config& config) {
  ClientCall call;
  call.status = 400;
  std::string_view target = OriginForm(View(message.target()));
  if (target.empty() || target.front() != '/') return call;
  micadock::Request& r = call.request;
  std::string_view path = target.substr(1, std::min(target.find_first_of("/?#", 1), target.size()) - 1);
  r.cls = Position(config.site.classes, micadock::PlainName(path));
  r.plan = Position(config.site.plans, micadock::PlainName(View(message["X-Tier"])));
  if (r.cls < 0 || r.plan < 0) return call;
  // Said twice is not said. What the module keeps of a customer comes of these, so all of it is looked at
  // before: one bad request in a customer's name must not count as that customer's own.
  for (std::string_view once :
       {"Host", "Request-Id", "X-Tier", "Cookie", "Request-Timeout-Ms", "Idempotency-Key", "X-Call-Terms"}) {
    if (message.count({once.data(), once.size()}) > 1) return call;
  }
  call.id = View(message["Request-Id"]);
  if (call.id.empty() || call.id.size() > kMostId) return call;
  auto customer = Part(View(message[http::field::cookie]), ';', "client");
  if (!customer || customer->size() > 16 || !Number(*customer, &r.customer, 16)) return call;
  if (r.customer >= kCustomers) return call;
  const micadock::ClassSettings& cls = config.settings.classes[static_cast<size_t>(r.cls)];
  unsigned long timeout_ms = 0;
  if (!Number(View(message["Request-Timeout-Ms"]), &timeout_ms) || timeout_ms < 1) return call;
  if (timeout_ms > kMostTimeoutMs) return call;
  call.timeout_s = std::min(static_cast<double>(timeout_ms) / 1000, cls.deadline_s);
  std::string_view terms = View(message["X-Call-Terms"]);
  auto units = Part(terms, ',', "units"), spread = Part(terms, ',', "spread"),
       first = Part(terms, ',', "first");
  if (!units || !Number(*units, &r.units) || !std::isfinite(r.units) || r.units <= 0) return call;
  if (config.settings.max_units > 0 && r.units > config.settings.max_units) return call;
  // A request counts a unit at the least, however little it claims: a guess of next to nothing is no free
  // pass.
  double least =
      config.settings.max_units > 0 ? std::min(kLeastUnits, config.settings.max_units) : kLeastUnits;
  r.units = std::max(r.units, least);
  int gateways = std::max(1, config.settings.gateways), entries = 0, from = 0;
  if (!spread || !Number(*spread, &entries) || entries < 1 || entries > gateways) return call;
  if (!first || !Number(*first, &from) || from < 0 || from >= gateways) return call;
  r.entries = entries;
  Effect effect = cls.effect;
  if (effect == Effect::kGuarded && View(message["Idempotency-Key"]).empty()) return call;
  call.status = 405;
  if (message.method() != (effect == Effect::kFree ? http::verb::get : http::verb::post)) return call;
  call.status = 0;
  return call;
}

}  // namespace ivygw
