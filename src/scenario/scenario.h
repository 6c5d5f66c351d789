// A rehearsal's scenario: fleet, load, clients, plans, classes and a timeline of faults, as a TOML file.
// Times are seconds, rates are a second, shares lie between 0 and 1. Ignorant of sockets and of the emulator.
#ifndef IVYGW_SCENARIO_SCENARIO_H_
#define IVYGW_SCENARIO_SCENARIO_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ivygw::scenario {

// What is wrong, as "FILE:LINE: what". One for a file: the first that is met.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Effect { kSafe, kKeyed, kUnsafe };

struct RequestClass {
  std::string name;
  Effect effect = Effect::kSafe;
  double share = 1;      // of first tries
  double work_s = 0.05;  // mean, of one core of speed 1, for a request of mean size
  double work_cv = 0;    // coefficient of variation at one size
  double aim_s = 1, deadline_s = 3, window_s = 3;
  double worth = 1;
};

struct Plan {
  std::string name;
  int customers = 1;
  double share = 1;            // of first tries
  double rate = 0, burst = 0;  // quota in units a second and units; rate 0: none
  double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;
  int parallel = 0;  // attempts out at once; 0: no cap
  double price = 1, excess_worth = 0, over_cost = 0;
  double heavy_share = 0,
         heavy_times = 1;  // share of its customers that ask for so many times what others do
  int spread = 0;          // gateways that a customer's requests come through; 0: all
};

struct NodeGroup {
  std::string type;
  int count = 1;
  double cores = 3, speed_from = 1, speed_to = 1;
  int slots = 12, queue = 60, connections = 400;
  double thrash = 0, thrash_at = 4;
  double handshake_work_s = 0;
  bool cold = false;  // freshly started at the beginning
};

struct Load {
  double rate = 0;        // first tries a second; 0: streams alone
  double units_mean = 2;  // 1 to units_top, geometric
  double units_top = 8;
  double guess_error = 0.2;  // share of requests whose guess is a unit off the true number
};

// Requests of one customer at set times, for days that are worked by hand: `batch` at once every `every_s`,
// of mean size, with the class's mean work, waited for as long as the class allows.
struct Stream {
  std::string plan, request_class;
  double every_s = 1;
  int batch = 1;
  double at_s = 0, for_s = 0;  // for_s 0: to the end
  int line = 0;
};

struct Clients {
  int retries = 1;  // of a try that was refused, failed or not answered
  double backoff_s = 0.1;
  double honour = 0.8;          // share of retries that wait as long as Retry-After says
  bool mark_retries = true;     // Client-Retry: 1
  double least_patience = 0.5;  // of the deadline, at least, that a try is waited for
  double notice_s = 2;          // for which the front goes on sending to a gateway that has died
};

struct Rules {
  double drain_grace_s = 0.5;
  double cold_from = 0.18, warm_s = 17, tip_multiple = 2, tip_s = 1;
  double max_retry_after_s = 2;
  int try_limit = 6;
};

struct Counter {
  bool present = true;
  bool redis = false;  // spoken to by Redis's commands; `kind = "tally"` or "redis"
  double timeout_s = 0.03;
  int parts = 2;
  double calls_per_s = 1500;
};

struct Discovery {
  double least_late_s = 0.3, most_late_s = 1.5;
};

struct Network {
  double client_s = 0.0005, node_s = 0.001, counter_s = 0.0005;  // one way; in virtual time only
  double clocks_apart_s =
      0;  // from the first gateway's clock to the last one's, evenly; in virtual time only
};

// Gateways that know of each other through a shared engine, and take over each other's work; in virtual time
// only.
struct Fleet {
  bool on = false;       // the table is there
  bool lending = false;  // parts of ceilings are lent
  double lease_s = 1, hold_s = 2, life_s = 60;
  double engine_s = 0.0005,
         engine_lost = 0;  // one way; share of calls, and of answers, that don't come through
};

enum class FaultKind {
  kJump,
  kFastErrors,
  kTurnAway,
  kHang,
  kResetEarly,
  kResetLate,
  kSpoilt,
  kCut,
  kEndless,
  kPause,
  kVanish,
  kReplace,
  kRestart,
  kCounterSilent,
  kCounterRefusing,
  kCounterSlow,
  kCounterStale,
  kCounterLossy,
  kCounterLose,
  kCounterEmpty,
  kCounterSplit,
  kDiscoverySilent,
  kGatewayKill,
  kGatewayPause,
  kEngineAway,
};
std::string_view FaultName(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kJump;
  double at_s = 0, for_s = 0;
  double nodes = 0;    // share of the fleet that it strikes, drawn; at least one
  double share = 1;    // of requests, names or calls
  double times = 1;    // of a rate or a slowness
  double every_s = 0;  // restart: from one node's turn to the next's
  double drain_s = 1;  // restart: between leaving and the end of the process
  double down_s = 1;   // restart and replace: until the next process runs
  int part = -1;       // of the counter; -1: all
  int gateway = 0;
  int line = 0;
};

struct Phase {
  std::string name;
  double from_s = 0, to_s = 0;
};

struct Scenario {
  std::string name, title, file;
  double duration_s = 20;
  int gateways = 2;
  Load load;
  Clients clients;
  Rules rules;
  Counter counter;
  Discovery discovery;
  Network network;
  Fleet fleet;
  std::vector<NodeGroup> nodes;
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  std::vector<Stream> streams;
  std::vector<Fault> faults;  // by time
  // The day cut at each fault's begin and end; named by what holds.
  std::vector<Phase> Phases() const;
  // The same day in `share` of its time: each time of the timeline and the duration shrink, nothing else
  // does.
  Scenario Shortened(double share) const;
  int NodeCount() const;
};

// Throws ScenarioError. `file` is what messages call it. A file that says `extends = "OTHER"` takes from that
// one, beside it, what it leaves unsaid: single values and tables; lists of tables are replaced as a whole.
Scenario ParseScenario(std::string_view toml, const std::string& file);
Scenario LoadScenario(const std::string& path);

}  // namespace ivygw::scenario

#endif  // IVYGW_SCENARIO_SCENARIO_H_
