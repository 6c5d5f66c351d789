// Calls to the shared counter: each ends once, as added, not added, or may have been added. Pure; the
// connections are the driver's.
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
  // `timeout_s`: for which an answer is waited for.
  explicit CounterCallTable(double timeout_s) : timeout_s_(timeout_s) {}

  void Begin(double now, const micadock::Action& count, TimerQueue* timers, Effects* out) {
    uint64_t call = ++last_;
    calls_[call] = {count.tag, false};
    timers->Add(now + timeout_s_, TimerKind::kCount, call);
    out->push_back(CallCounter{call, count.tag, count.amount, count.seconds});
  }
  // From here on it may have been added.
  void OnWritten(uint64_t call) {
    auto it = calls_.find(call);
    if (it != calls_.end()) it->second.written = true;
  }
  // The counter's answer; one that comes after the time-out is passed over.
  std::optional<micadock::CountAnswer> OnResponse(uint64_t call, micadock::Result result, double total) {
    return End(call, result, total);
  }
  // Its connection has ended, or there is none.
  std::optional<micadock::CountAnswer> OnLost(uint64_t call) {
    auto it = calls_.find(call);
    if (it == calls_.end()) return std::nullopt;
    return End(call, it->second.written ? micadock::Result::kTimeout : micadock::Result::kConnectFailed, 0);
  }
  std::optional<micadock::CountAnswer> OnDue(uint64_t call, Effects* out) {
    auto it = calls_.find(call);
    if (it == calls_.end()) return std::nullopt;
    if (!it->second.written) out->push_back(CancelCounterCall{call});
    return OnLost(call);
  }

  bool IsOut(uint64_t call) const { return calls_.count(call) != 0; }
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
  uint64_t last_ = 0;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_COUNTER_CALL_TABLE_H_
