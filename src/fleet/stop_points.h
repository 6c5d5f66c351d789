// Stop points in the processing of an idempotent request: a test makes the process raise SIGSTOP at one of
// them, and then resumes or kills it. Compiled in only for tests (IVYGW_STEPS); otherwise they do nothing.
#ifndef IVYGW_FLEET_STOP_POINTS_H_
#define IVYGW_FLEET_STOP_POINTS_H_

#ifdef IVYGW_STEPS
#include <csignal>
#include <cstdio>
#include <cstdlib>
#endif

namespace ivygw::fleet {

#ifdef IVYGW_STEPS
// Stops at the point whose number, counted from 1 since the process started, is given in IVYGW_STOP_AT.
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
