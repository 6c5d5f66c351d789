// Calls to the shared counter. Each ends exactly once, with its amount added, not added, or possibly
// added. Does no I/O; the driver owns the connections.
#ifndef IVYGW_CORE_COUNTER_CALL_TABLE_H_
#define IVYGW_CORE_COUNTER_CALL_TABLE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/effects.h"
#include "core/timer_queue.h"
#include "policy/balance.h"

namespace ivygw::core {

class CounterCallTable {
 public:
  // `timeout_s`: how long to wait for a response.
  explicit CounterCallTable(double timeout_s) : timeout_s_(timeout_s) {}

  void Begin(double now, const micadock::Action& count, TimerQueue* timers, Effects* out) {
    uint64_t call = ++last_call_;
    calls_[call] = {count.tag, false};
    timers->Add(now + timeout_s_, TimerKind::kCounterCallTimeout, call);
    out->push_back(CallCounter{call, count.tag, count.amount, count.seconds});
  }
  // The call has been written: from now on its amount may have been added.
  void OnWritten(uint64_t call) {
    auto it = calls_.find(call);
    if (it != calls_.end()) it->second.written = true;
  }
  // The counter has responded. A response after the timeout is ignored.
  std::optional<micadock::CountAnswer> OnResponse(uint64_t call, micadock::Result result, double total) {
    return End(call, result, total);
  }
  // The call's connection has ended, or there is none.
  std::optional<micadock::CountAnswer> OnLost(uint64_t call) {
    auto it = calls_.find(call);
    if (it == calls_.end()) return std::nullopt;
    return End(call, it->second.written ? micadock::Result::kTimeout : micadock::Result::kConnectFailed, 0);
  }
  // A call that was not written ends as not added, and is cancelled so that it isn't written later.
  std::optional<micadock::CountAnswer> OnTimeout(uint64_t call, Effects* out) {
    auto it = calls_.find(call);
    if (it == calls_.end()) return std::nullopt;
    if (!it->second.written) out->push_back(CancelCounterCall{call});
    return OnLost(call);
  }

  bool IsInFlight(uint64_t call) const { return calls_.count(call) != 0; }
  size_t in_flight() const { return calls_.size(); }

 private:
  struct Call {
    uint64_t name = 0;
    bool written = false;
  };
  std::optional<micadock::CountAnswer> End(uint64_t call, micadock::Result result, double total) {
    auto it = calls_.find(call);
    if (it == calls_.end()) return std::nullopt;
    micadock::CountAnswer answer{it->second.name, total, result};
    calls_.erase(it);
    return answer;
  }

  const double timeout_s_;
  std::unordered_map<uint64_t, Call> calls_;
  uint64_t last_call_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_COUNTER_CALL_TABLE_H_
