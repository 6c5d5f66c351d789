// The steps of a work's life at which a test stops this process: SIGSTOP to itself, for the test to go on
// with or to kill. Only a program built for tests has them (IVYGW_STEPS); in any other they are nothing.
#ifndef IVYGW_FLEET_STOP_POINTS_H_
#define IVYGW_FLEET_STOP_POINTS_H_

#ifdef IVYGW_STEPS
#include <csignal>
#include <cstdio>
#include <cstdlib>
#endif

namespace ivygw::fleet {

#ifdef IVYGW_STEPS
// The step whose number the environment names in IVYGW_STOP_AT, counted from 1 over the process's life.
inline void StopPoint(const char* what) {
  static const int kStopAt =
      std::getenv("IVYGW_STOP_AT") != nullptr ? std::atoi(std::getenv("IVYGW_STOP_AT")) : 0;
  static int passed = 0;
  if (++passed != kStopAt) return;
  std::fprintf(stderr, "stops at step %d: %s\n", passed, what);
  std::raise(SIGSTOP);
}
#else
inline void StopPoint(const char*) {}
#endif

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_STOP_POINTS_H_
