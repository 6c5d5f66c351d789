// Plays a trace to a core built from the same configuration and tells the first turn whose effects are others
// than those that were recorded. Pure but for the reading.
#ifndef IVYGW_TRACE_REPLAY_H_
#define IVYGW_TRACE_REPLAY_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/gateway_core.h"
#include "trace/codec.h"

namespace ivygw::trace {

struct Difference {
  size_t turn = 0;                 // from 0, the core's start
  double at_s = 0;                 // since the trace's start
  std::string event;               // as text
  std::string recorded, replayed;  // the first effect that differs; "nothing" where one list is shorter
  uint32_t request = 0;            // that it is about; 0: none
  std::string state;               // of that request and its backends
};

class Replay {
 public:
  // `each` is called after each turn with its number, its time since the start, and the effects of the
  // replay.
  using Each =
      std::function<bool(size_t turn, double at_s, const Turn& recorded, const core::Effects& effects)>;

  explicit Replay(const core::CoreSettings& settings) : settings_(settings) {}

  // Plays on. Stops at the first difference, where one is looked for, or where `each` says false.
  std::optional<Difference> Play(const std::vector<Turn>& turns, const Each& each = nullptr,
                                 bool compare = true);

  size_t turns() const { return turns_; }
  double at_s() const { return now_ - start_; }
  // What is known of a request, and of all that are held; one line each.
  std::string Describe(uint32_t request) const;
  std::string DescribeAll() const;

 private:
  const core::CoreSettings settings_;
  std::optional<core::GatewayCore> core_;
  CounterNames names_;
  size_t turns_ = 0;
  double start_ = 0, now_ = 0;
};

}  // namespace ivygw::trace

#endif  // IVYGW_TRACE_REPLAY_H_
