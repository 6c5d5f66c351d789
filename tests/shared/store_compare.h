// Random calls to a store, each answer compared with the model's in memory.
#ifndef IVYGW_TESTS_STORE_COMPARE_H_
#define IVYGW_TESTS_STORE_COMPARE_H_

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <string>

#include "shared/memory_store.h"

namespace ivygw::shared {

inline std::string Text(const Reply& r) {
  std::string text = std::to_string(static_cast<int>(r.outcome)) + " " + FaultName(r.fault) + " rev " +
                     std::to_string(r.revision) + (r.whole ? "" : " not whole");
  for (const Entry& e : r.entries) {
    text += " [" + e.key + "=" + e.value + "@" + std::to_string(e.version);
    if (e.lease_left_s) text += " " + std::to_string(std::lround(*e.lease_left_s * 10));
    text += "]";
  }
  for (const std::string& key : r.gone) text += " -" + key;
  return text;
}

// `now`: the store's clock, which this moves on.
template <typename Take>
void CompareWithModel(uint64_t seed, double* now, Take take) {
  MemoryStore model("m");
  std::mt19937_64 random(seed);
  auto below = [&](uint64_t n) { return random() % n; };
  auto key = [&] { return std::string(below(2) ? "a/" : "b/") + std::to_string(below(6)); };
  for (int step = 0; step < 300; ++step) {
    if (below(4) == 0) *now += 0.5 * static_cast<double>(below(6));
    Call call;
    switch (below(6)) {
      case 0: call = Get(key()); break;
      case 1: call = Range(below(3) ? "a/" : ""); break;
      case 2: call = ChangesSince(below(2) ? "a" : "b", below(model.revision() + 2)); break;
      default: {
        Batch batch;
        for (uint64_t i = below(3); i > 0; --i) {
          std::string k = key();
          Reply is = model.Take(Get(k), *now);
          uint64_t version = is.entries.empty() ? 0 : is.entries[0].version;
          batch.conditions.push_back({k, below(5) == 0 ? version + 1 : version});
        }
        for (uint64_t i = below(4); i > 0; --i) {
          double lease = 0.25 + 0.5 * static_cast<double>(below(8));
          switch (below(4)) {
            case 0: batch.changes.push_back(Remove(key())); break;
            case 1: batch.changes.push_back(Renew(key(), lease)); break;
            case 2: batch.changes.push_back(Put(key(), std::to_string(step), lease)); break;
            default: batch.changes.push_back(Put(key(), std::to_string(step))); break;
          }
        }
        if (below(10) == 0) batch.at_least = model.revision() + below(5);
        call = Commit(batch);
      }
    }
    // Leases end where a call writes; one that reads may come before that, and tells revisions as they were.
    Reply touch = take(Commit({{}, {Renew("none/0", 1.0)}, 0}));
    ASSERT_TRUE(touch.done()) << touch.why;
    ASSERT_EQ(Text(take(call)), Text(model.Take(call, *now))) << "seed " << seed << " step " << step;
  }
}

}  // namespace ivygw::shared

#endif  // IVYGW_TESTS_STORE_COMPARE_H_
