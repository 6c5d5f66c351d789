// Runs the exhaustive search to a depth that takes seconds. IVYGW_SEARCH_S and IVYGW_SEARCH_DEPTH raise its
// time limit and depth.
#include "core/search.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace ivygw::core {
namespace {

TEST(Search, NoOrderOfAFewEventsBreaksARule) {
  const char* seconds = std::getenv("IVYGW_SEARCH_S");
  const char* depth = std::getenv("IVYGW_SEARCH_DEPTH");
  // Limited by depth rather than by time, so that the result is the same on every machine.
  SearchResult result = Search(std::chrono::seconds(seconds != nullptr ? std::atoi(seconds) : 600),
                               depth != nullptr ? std::atoi(depth) : 8);
  micadock::hooks = {};
  std::printf("%zu states in %zu runs, all orders of %d events\n", result.states, result.runs, result.depth);
  EXPECT_EQ(result.violation, "");
  if (depth == nullptr) {
    EXPECT_EQ(result.depth, 8);
    EXPECT_GT(result.states, 50000u);
  }
}

}  // namespace
}  // namespace ivygw::core
