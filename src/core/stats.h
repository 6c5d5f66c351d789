// What the gateway has done since it started, counted where it is done. Pure.
#ifndef IVYGW_CORE_STATS_H_
#define IVYGW_CORE_STATS_H_

#include <cstdint>
#include <vector>

namespace ivygw::core {

struct ClassStats {
  uint64_t success = 0, busy = 0, failure = 0;  // requests answered: served, refused, otherwise
};

struct Stats {
  std::vector<ClassStats> classes;  // as the settings name them
  uint64_t backend_calls = 0;       // attempts of which the last byte was written

  // The one final answer to a request of that class. What its client abandoned is not counted.
  void Answered(int cls, int status) {
    ClassStats& c = classes.at(static_cast<size_t>(cls));
    ++(status == 200 ? c.success : status == 429 || status == 503 ? c.busy : c.failure);
  }
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_STATS_H_
