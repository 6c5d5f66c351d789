// Counters of what the gateway has done since its start. Does no I/O.
#ifndef IVYGW_CORE_STATS_H_
#define IVYGW_CORE_STATS_H_

#include <cstdint>
#include <vector>

namespace ivygw::core {

// Final responses to requests of one class: `success` counts status 200, `busy` counts 429 and 503, `failure`
// counts all others.
struct ClassStats {
  uint64_t success = 0, busy = 0, failure = 0;
};

struct Stats {
  std::vector<ClassStats> classes;  // in the order of the settings
  uint64_t backend_calls = 0;       // attempts whose last byte was written

  // Counts a final response. Requests that their client abandoned are not counted.
  void CountResponse(int cls, int status) {
    ClassStats& c = classes.at(static_cast<size_t>(cls));
    ++(status == 200 ? c.success : status == 429 || status == 503 ? c.busy : c.failure);
  }
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_STATS_H_
