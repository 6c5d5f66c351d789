// One emulated calc node: a machine of some cores with slots, a waiting room, a cold start and scripted
// faults. No I/O and no clock: every call is given the time, in seconds, which never goes back; all draws
// come of the seed. One thread. Times are seconds; work is seconds of one core of speed 1.
#ifndef IVYGW_EMULATOR_NODE_MODEL_H_
#define IVYGW_EMULATOR_NODE_MODEL_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/random.h"

namespace ivygw::emulator {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

// Which keyed requests a group of nodes remembers, so that a repeat within the window runs nothing. A repeat
// whose first has stopped unfinished runs as a first.
class RepeatMemory {
 public:
  explicit RepeatMemory(double window_s) : window_s_(window_s) {}
  // True, and remembered from now on, if `key` is not known: the caller runs it.
  bool First(double now, const std::string& key);
  void Forget(const std::string& key) { begun_.erase(key); }  // its work has stopped without effect

 private:
  const double window_s_;
  double swept_at_ = 0;
  std::unordered_map<std::string, double> begun_;
};

struct NodeSpec {
  double cores = 3;
  double speed = 1;   // work a second that one core does
  int slots = 12;     // requests in work at once; they share the cores evenly
  int queue = 60;     // waiting room: beyond it requests are turned away
  double thrash = 0;  // loss of efficiency, for each `thrash_at` x cores held beyond the first such
  double thrash_at = 4;
  double cold_from = 1;  // share of the capacity right after a start,
  double warm_s = 0;     // rising evenly to the whole over this time
  double tip_multiple =
      2;  // work sent within tip_s beyond this multiple of what it can do in tip_s: falls over
  double tip_s = 1;
  int connections = 400;  // open at once at most
  double handshake_work_s = 0;
  bool stops_cancelled = true;  // work stops on cancel and when its time is over
};

// Shares of requests, from 0 to 1; the first that is drawn decides.
struct NodeFaults {
  double error = 0;        // fails fast: may have run
  double turn_away = 0;    // Not-Started
  double hang = 0;         // begun, and no answer ever
  double reset_early = 0;  // the connection ends before the last byte: never ran
  double reset_late = 0;   // the connection ends after it, half of them with the work done
  double spoilt = 0;       // done, but the answer can't be read
  double cut = 0;          // done, but the answer ends in the middle
  double endless = 0;      // done, but the answer never ends
};

enum class ReplyKind { kServed, kError, kNotStarted, kResetEarly, kReset, kSpoilt, kCut, kEndless };
struct Reply {
  uint64_t attempt = 0;
  ReplyKind kind = ReplyKind::kServed;
  bool ran = false;  // the effect took place; at most once for a key within the window
};

struct NodeRequest {
  uint64_t attempt = 0;  // the caller's number, unique at this node
  double work_s = 0;
  double over_at = kNever;  // when its time is over
  std::string key;          // of a keyed request
};

class NodeModel {
 public:
  // `memory` may be null (no keyed requests) and must outlive the model. A cold node starts at `now`.
  NodeModel(const NodeSpec& spec, uint64_t seed, double now, bool cold, RepeatMemory* memory);

  bool Connect(double now);  // false: refused, since it is down or holds too many
  void Disconnect();
  // A request has come whole. Replies that are due at once are appended.
  void Begin(double now, NodeRequest request, std::vector<Reply>* out);
  // The attempt's connection has ended. No reply follows.
  void Cancel(double now, uint64_t attempt, std::vector<Reply>* out);

  double Next() const;  // when Advance is to be called at the latest; kNever if nothing is due
  void Advance(double now, std::vector<Reply>* out);

  void SetFaults(const NodeFaults& faults) { faults_ = faults; }
  void Pause(double now, double until,
             std::vector<Reply>* out);  // does nothing and answers nothing until then
  void Kill();  // the process ends: it takes no connection any more, and answers nothing
  double Capacity(double now) const;  // work a second at this moment, pauses aside
  bool fallen() const { return fallen_; }
  bool up() const { return up_; }
  bool paused(double now) const { return now < paused_until_; }
  double started() const { return started_; }
  size_t in_work() const { return work_.size(); }
  size_t queued() const { return queue_.size(); }
  int connections() const { return connections_; }

 private:
  struct Job {
    NodeRequest request;
    double left_s = 0;
    ReplyKind end = ReplyKind::kServed;
    bool ran = true;  // what `end` implies
    bool hangs = false;
    bool repeat = false;  // dropped: answered, and nothing runs
  };
  double Rate(double now) const;  // of each job in work
  double Share(double now) const;
  void Progress(double now);  // work done since the last call
  void Fill(double now, std::vector<Reply>* out);
  void Stop(const Job& job);
  void Tip(double now, double work_s);

  const NodeSpec spec_;
  Random random_;
  RepeatMemory* memory_;
  NodeFaults faults_;
  const double started_;
  bool cold_ = false, up_ = true, fallen_ = false;
  double at_ = 0, paused_until_ = 0;
  int connections_ = 0;
  double handshakes_s_ = 0;  // work owed for connections taken
  std::list<Job> work_;
  std::deque<Job> queue_;
  std::deque<std::pair<double, double>> sent_;  // while cold: when, and work
  double sent_sum_ = 0;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_NODE_MODEL_H_
