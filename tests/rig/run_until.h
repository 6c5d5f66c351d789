// Runs a test's event loop until a condition holds, or a bound has passed.
#ifndef IVYGW_TESTS_RIG_RUN_UNTIL_H_
#define IVYGW_TESTS_RIG_RUN_UNTIL_H_

#include <chrono>
#include <functional>

#include "net/clock.h"
#include "net/http.h"

namespace ivygw {

// Returns whether the condition holds in the end.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& condition, double bound_s) {
  auto until = Clock::now() + Seconds(bound_s);
  while (!condition() && Clock::now() < until) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(10));
  }
  return condition();
}

}  // namespace ivygw

#endif  // IVYGW_TESTS_RIG_RUN_UNTIL_H_
