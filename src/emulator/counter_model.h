// The shared counter: names with totals that expire, in parts of bounded rate, and what goes wrong with it.
// No I/O and no clock. Times are seconds. One thread.
#ifndef IVYGW_EMULATOR_COUNTER_MODEL_H_
#define IVYGW_EMULATOR_COUNTER_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "emulator/random.h"

namespace ivygw::emulator {

struct CounterSpec {
  int parts = 2;              // a name belongs to one of them
  double calls_per_s = 1500;  // of all parts together
  double least_wait_s = 0.0005;
  double longest_queue_s = 0.2;  // a call that would wait longer is turned away
};

enum class CounterResult { kTotal, kBusy, kSilent, kRefused };
struct CounterReply {
  CounterResult result = CounterResult::kTotal;
  double at = 0;  // when the answer is due; of no meaning for silence
  double total = 0;
};

// What goes wrong with a part. Several may hold at once.
struct CounterFaults {
  bool silent = false;    // takes calls, answers none, adds nothing
  bool refusing = false;  // takes no connection
  bool stale = false;     // adds, and answers each name's total as it was when this began
  double slow = 1;        // times what a call needs
  double lost = 0;        // share of calls that are answered and not added
};

class CounterModel {
 public:
  CounterModel(const CounterSpec& spec, uint64_t seed);

  // A call by `gateway`, added at once, answered in its turn.
  CounterReply Call(double now, int gateway, const std::string& name, double amount, double life_s);
  int PartOf(std::string_view name) const;
  int parts() const { return spec_.parts; }

  void SetFaults(int part, const CounterFaults& faults);
  const CounterFaults& faults(int part) const { return parts_[static_cast<size_t>(part)].faults; }
  void Lose(double now, double share);  // forgets that share of the names
  void Empty();                         // replaced by an empty one
  // Two halves that go on counting by themselves, from the same totals: gateways below `first_of_second` see
  // one, the others the other. Healing keeps the half of the first gateways and drops the other.
  void Split(int first_of_second);
  void Heal();

 private:
  struct Entry {
    double total = 0, until = 0;
  };
  using Store = std::unordered_map<std::string, Entry>;
  struct Part {
    CounterFaults faults;
    double free_at = 0;
    std::unordered_map<std::string, double> stale;  // totals as answered while stale
  };
  const CounterSpec spec_;
  Random random_;
  std::vector<Part> parts_;
  std::vector<Store> stores_;  // one, or two while split
  int second_from_ = 0;
  double swept_at_ = 0;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_COUNTER_MODEL_H_
