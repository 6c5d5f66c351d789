// Judges a rehearsal by its record alone: the five rules, and service. Knows neither gateway nor emulator
// code; pure. The rules are those of PROTOCOL's "The rules on sockets", with the figures in the record's
// facts.
#ifndef IVYGW_CHECKER_CHECKER_H_
#define IVYGW_CHECKER_CHECKER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "eventlog/event_log.h"

namespace ivygw::checker {

enum class Rule { kOneAnswer, kNoEffectTwice, kDrainsKept, kColdNotPushed, kCeilingsKept };
inline constexpr size_t kRules = 5;
const char* RuleName(Rule rule);

struct Break {
  Rule rule = Rule::kOneAnswer;
  double t = 0;
  uint64_t request = 0;  // 0: of no single request
  std::string what;
};

// Tries that came due in one phase. A chain is a first try with its retries.
struct Service {
  std::string name;
  double from_s = 0, to_s = 0;
  uint64_t asked = 0;   // tries that were written to a gateway
  uint64_t chains = 0;  // first tries that came due
  uint64_t served = 0, refused = 0, failed = 0, unanswered = 0;
  double worth_offered = 0, worth_served = 0;  // inside the quotas; served: within the aim
  double mean_s = 0, p50_s = 0, p99_s = 0;     // of served tries, from the intended time
  // Of plans with a quota: the most that one customer was sent on for beyond what its store ever held, by the
  // guesses, in any stretch of time.
  double most_over_units = 0;
  double Share() const { return worth_offered > 0 ? worth_served / worth_offered : 1; }
};

struct Verdict {
  std::vector<Break> breaks;
  std::array<uint64_t, kRules> counts{};
  Service whole;
  std::vector<Service> phases;
  std::vector<Service> plans;
  uint64_t attempts = 0, effects = 0;
  double late_p99_s = 0, late_max_s = 0;  // of the load generator
  // Of requests served at their first attempt: from the client's last byte to its arrival at the node, and
  // from the node's answer to the client; what is between them is the node's.
  double added_p50_s = 0, added_p99_s = 0;
  bool Kept() const { return breaks.empty(); }
};

// At most this many breaks of one rule are described; all are counted.
inline constexpr size_t kMostDescribed = 20;

Verdict Judge(const eventlog::Record& record);

// The same, event by event, for a run that is still going on.
class Checker {
 public:
  explicit Checker(const eventlog::RunFacts& facts);
  ~Checker();
  Checker(const Checker&) = delete;
  Checker& operator=(const Checker&) = delete;
  void Take(const eventlog::Event& event);  // in the record's order
  uint64_t breaks() const;                  // so far; what has no answer yet is not among them
  Verdict Finish();                         // once, after the last event

 private:
  class Judgement;
  std::unique_ptr<Judgement> judgement_;
};

}  // namespace ivygw::checker

#endif  // IVYGW_CHECKER_CHECKER_H_
