// The client of the counter with the core's book of calls, on a loop of its own.
#ifndef IVYGW_TESTS_RIG_COUNTER_CALLS_H_
#define IVYGW_TESTS_RIG_COUNTER_CALLS_H_

#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "core/counter_call_table.h"
#include "net/counter_client.h"
#include "rig/gateway_rig.h"

namespace ivygw {

class CounterCalls : private CounterEvents {
 public:
  CounterCalls(int port, double timeout_s, const CounterAccess& access = {})
      : client(io, {asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)}, timeout_s, 5, this,
               access),
        book_(timeout_s),
        timer_(io) {}
  void Call(uint64_t name, double amount, double keep_s) {
    micadock::Action count;
    count.tag = name;
    count.amount = amount;
    count.seconds = keep_s;
    book_.Begin(Now(), count, &timers_, &effects_);
    Run();
    Arm();
  }
  // Runs the loop until `done`.
  void Until(const std::function<bool()>& done) {
    auto end = Clock::now() + std::chrono::seconds(rig::kLimitS);
    while (!done() && Clock::now() < end) io.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(done());
  }
  asio::io_context io;
  std::vector<micadock::CountAnswer> answers;
  CounterClient client;

 private:
  void OnCountWritten(uint64_t call) override { book_.OnWritten(call); }
  void OnCountAnswer(uint64_t call, micadock::Result result, double total) override {
    if (auto answer = book_.OnResponse(call, result, total)) answers.push_back(*answer);
  }
  void OnCountLost(uint64_t call) override {
    if (auto answer = book_.OnLost(call)) answers.push_back(*answer);
  }
  static double Now() { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }
  void Run() {
    core::Effects effects;
    effects.swap(effects_);
    for (const core::Effect& effect : effects) {
      if (auto* count = std::get_if<core::CallCounter>(&effect)) {
        client.Call(count->call, count->name, count->amount, count->ttl_s);
      } else if (auto* drop = std::get_if<core::CancelCounterCall>(&effect)) {
        client.Drop(drop->call);
      }
    }
  }
  void Arm() {
    if (armed_ || timers_.size() == 0) return;
    armed_ = true;
    timer_.expires_after(Seconds(std::max(0.0, timers_.next() - Now())));
    timer_.async_wait([this](error_code) {
      armed_ = false;
      for (const auto& due : timers_.TakeExpired(Now())) {
        if (auto answer = book_.OnTimeout(due.id, &effects_)) answers.push_back(*answer);
      }
      Run();
      Arm();
    });
  }

  core::CounterCallTable book_;
  core::TimerQueue timers_;
  core::Effects effects_;
  asio::steady_timer timer_;
  bool armed_ = false;
};

}  // namespace ivygw

#endif  // IVYGW_TESTS_RIG_COUNTER_CALLS_H_
