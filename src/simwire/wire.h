// Codec of the simulator's wire: frames of events in, frames of actions out. Holds no decision, does no I/O.
#ifndef MICADOCK_SIMWIRE_WIRE_H_
#define MICADOCK_SIMWIRE_WIRE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/balance.h"
#include "settings/settings.h"

namespace micadock {

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

}  // namespace micadock

#endif  // MICADOCK_SIMWIRE_WIRE_H_
