// The servers: what is known of them, which one gets a request, and how much of what comes is let in at all.
#ifndef MICADOCK_POLICY_FLEET_H_
#define MICADOCK_POLICY_FLEET_H_

#include <unordered_map>
#include <vector>

#include "policy/common.h"

namespace micadock {

struct Node {
  Backend info;
  int out = 0;
  double speed = 1;  // time an answer takes over the fleet's mean for such requests
  double pace = 0;   // mean of answer time over aim
  double fails = 0;
  double aside_until = 0, aside_wait = 0;
  bool back = false;   // no longer drains, and has had nothing since: it is asked first, once, to be known
  bool trial = false;  // back from being set aside: one attempt at a time
  double limit = 0;
  double cut_at = 0, paced_at = 0;
  double cold_since = 0;             // start told by the list or guessed from failures to connect; 0: warm
  double budget = 0, budget_at = 0;  // work, in s, that may be sent while cold
  double heard = 0;                  // last answer
};

struct Try {
  uint32_t node;
  double sent;
  bool out;
  bool begun = false;  // its answer has: what it tells of the backend has been learned
};

struct Live {
  Request r;
  double deadline = 0;
  std::vector<Try> tries;
  int out = 0;
  bool again = true;  // it is held whole
  bool done = false, began = false, inside = false, may_have_run = false;
  double ran_at = 0;  // when the first attempt that may have run was sent
  int ran_zone = 0, ran_cell = 0;
};

class Fleet {
 public:
  Fleet(const Settings& s, Dice* dice, Ticks* ticks);

  void OnList(double now, ListKind kind, const std::vector<Backend>& entries);
  Node* Find(uint32_t id);
  LearnedState ExportLearned(double now) const;
  void ImportLearned(double now, const LearnedState& learned);
  int EjectedCount(double now) const;  // of those that the list has ready
  double WorkOf(const Request& r) const;  // s that its answer is to take
  double Work(int cls) const { return work_[cls]; }
  void Seen(const Request& r) { longest_left_[r.cls] = std::max(longest_left_[r.cls], r.left_s); }

  // While the back end is pressed, the last of the room is kept for what is worth most for the work it makes, and
  // nothing is left for a retry that can't be in time. Harms a class whose work is misjudged.
  bool Crowded(const Request& r, bool lent);
  // Least expected time over own attempts out and learned speed; other zones cost more.
  Node* Pick(const Live& l, double now);
  void Sent(Node* n, const Request& r);
  void Learn(Node* n, const Live& l, const Try& t, const Outcome& o, double now, Actions* out);
  void Fault(Node* n, bool dead, double now, Actions* out);
  void Steer(double pace, double now);

 private:
  // How surely a zone is lost, 0 to 1: several of its backends silent and none heard is one event, not many.
  double Silence(int zone, double now) const;
  void Silent(int zone, bool silent, double now);
  bool ColdRoom(Node* n, double now);
  void Chill(Node* n, double since, double now);
  bool InGroup(const Live& l, const Node& n) const;
  void Cut(Node* n, double now);

  const Settings& s_;
  Dice* dice_;
  Ticks* ticks_;
  std::vector<Node> nodes_;
  std::vector<double> work_;          // s, mean time of an answer by class
  std::vector<double> class_units_;   // mean units by class
  struct Quiet {
    double share = 0, at = 0;
  };
  std::unordered_map<int, Quiet> silent_;  // by zone
  std::vector<double> longest_left_;  // s, the most a try of the class had
  int warm_ = 0;                        // backends warm and ready
  double warm_work_ = 0, warm_at_ = 0;  // s of work served by a warm backend, fading
  double let_in_ = 1, steered_at_ = 0;  // share of requests let in, by the answers of all backends
};

}  // namespace micadock

#endif  // MICADOCK_POLICY_FLEET_H_
