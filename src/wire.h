// Codec of the bench's wire and parsing of its settings. Holds no decision.
#ifndef MICADOCK_WIRE_H_
#define MICADOCK_WIRE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "balance.h"

namespace micadock {

// What is wrong with a frame or a setting, in plain words.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr size_t kMaxFrameBytes = size_t{1} << 28;

struct WireUp {
  uint64_t seed = 0;
  std::string settings;
};
struct WireExit {};
struct WireTable {
  int bank = 0;
  std::vector<Backend> entries;
};
struct WireView {
  ListKind kind = ListKind::kFull;
  uint64_t version = 0;
  int bank = 0;
};
struct WireBegun {
  uint32_t request = 0;
};
struct WireAbandoned {
  uint32_t request = 0;
};
struct WireTick {
  uint64_t tag = 0;
};
struct WireProbed {
  uint32_t backend = 0;
  double took_s = 0;
  Result result = Result::kOk;
  std::vector<float> load;
};
struct WireMessage {
  int sender = 0;
  std::string bytes;
};

struct WireEvent {
  uint32_t instance = 0;  // of no meaning for a table
  std::variant<WireUp, WireExit, WireTable, WireView, Request, WireBegun, Outcome, WireAbandoned, WireTick,
               WireProbed, WireMessage, CountAnswer>
      body;
};

struct WireBatch {
  double now = 0;
  std::vector<WireEvent> events;
};

// Parses one whole frame, length field included.
WireBatch ParseBatch(std::string_view frame);

// Reply frames: begin with an empty body, append actions, then Finish puts the length in front.
class ReplyWriter {
 public:
  ReplyWriter();
  void Append(uint32_t instance, const Action& action);
  void AppendBroken(uint32_t instance, std::string_view text);
  const std::string& Finish();
  void Reset();

 private:
  std::string bytes_;
};

// Reads path=value lines; throws WireError naming the key that is missing or unreadable.
Settings ParseSettings(std::string_view text);

// What a real gateway needs of the same lines and the module does not: names and the limits of sockets.
struct SiteSettings {
  std::vector<std::string> classes, plans, zones, kinds;
  double conn_idle_s = 0;
  double connect_timeout_s = 0;
  double drain_grace_s = 0;
};
SiteSettings ParseSite(std::string_view text);

}  // namespace micadock

#endif  // MICADOCK_WIRE_H_
