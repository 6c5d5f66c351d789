// Stop points in the processing of an idempotent request: a test makes the process suspend itself with
// SIGSTOP at one of them, and then resumes or kills it. Compiled in only for tests (IVYGW_STEPS); otherwise
// they do nothing.
#ifndef IVYGW_FLEET_STOP_POINTS_H_
#define IVYGW_FLEET_STOP_POINTS_H_

#ifdef IVYGW_STEPS
#include <csignal>
#include <cstdio>
#include <cstdlib>
#endif

namespace ivygw::fleet {

#ifdef IVYGW_STEPS
// Counts its calls since the process started, from 1. The call whose number is given in the environment
// variable IVYGW_STOP_AT prints `name` and suspends the process with SIGSTOP.
inline void StopPoint(const char* name) {
  static const int kStopAt =
      std::getenv("IVYGW_STOP_AT") != nullptr ? std::atoi(std::getenv("IVYGW_STOP_AT")) : 0;
  static int passed = 0;
  if (++passed != kStopAt) return;
  std::fprintf(stderr, "stops at step %d: %s\n", passed, name);
  std::raise(SIGSTOP);
}
#else
inline void StopPoint(const char*) {}
#endif

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_STOP_POINTS_H_
