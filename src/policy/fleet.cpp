#include "policy/fleet.h"

namespace micadock {
namespace {

// Tuned values; each is ours.
constexpr double kFailWeight = 0.1;  // of an answer in a backend's share of failures; a failure's is twice
constexpr double kEjectAt = 0.48;    // share of failures at which a backend is set aside: three in a row
constexpr double kEjectMinS = 0.5, kEjectMaxS = 4.0;  // s set aside
constexpr double kDeadS = 1.5;  // s without an answer, after which a failed connection means a dead process
constexpr double kMostEjected = 0.25;  // of the ready backends; beyond that the fault is likely elsewhere
constexpr double kBackCost = 1e-3;      // times, of one that is back from a drain, for its first attempt
constexpr double kAsideCost = 10;       // times, of one set aside where so many are
constexpr double kLimitStart = 3, kLimitMax = 200;  // attempts out at one backend
constexpr double kCut = 0.7, kCutEveryS = 0.1;      // share that a sign of a queue leaves; s between cuts
constexpr double kLeastRoom = 0.3;  // of the room, that a class of next to no worth for its work may use
constexpr double kLentRoom = 0.5;   // of its room that a try beyond the quota may use
constexpr double kQueueAt = 0.27, kEasyAt = 0.2;  // of the aim, mean answer: a queue; none worth the name
constexpr double kPaceWeight = 0.15;              // of one answer in that mean, more where answers are rare:
constexpr double kPaceS = 0.7;                    // s after which what was known of the pace is old
constexpr double kColdShare = 0.4;                // of the tip multiple that all gateways use together
constexpr double kWarmShare = 0.8;  // of what a warm backend serves, that a cold one is sent for its fraction
constexpr double kWarmS = 2;        // s over which that is taken
constexpr double kColdSaveS = 0.3;  // s of a cold backend's budget that may be saved up
constexpr double kSteer = 0.02;      // of the share let in, at least, for an answer off by the queue target,
constexpr double kSteerS = 0.8;      // s in which answers off by that change it by its like, if they are rare
constexpr double kSteerMost = 0.4;   // but by so much, as one answer tells little;
constexpr double kSteerSpare = 2;    // answers off by that, which the share stands without a refusal: chance alone
constexpr double kSteerBack = 0.05;  // a second, that comes back of itself
constexpr double kLeastLetIn = 0.05;  // share let in at least, so that answers go on telling
constexpr double kLearn = 0.02;      // weight of one answer in a class's mean time and units
constexpr double kZoneWeight = 0.3, kZoneS = 4;  // of a silent backend in its zone's silence; s in which that fades
constexpr double kWorkPrior = 0.25;  // of the aim: the time a request takes, until answers tell

}  // namespace

Fleet::Fleet(const Settings& s, Dice* dice, Ticks* ticks) : s_(s), dice_(dice), ticks_(ticks) {
  for (const ClassSettings& c : s_.classes) work_.push_back(c.aim_s * kWorkPrior);
  class_units_.assign(s_.classes.size(), 0);
  longest_left_.assign(s_.classes.size(), 0);
}

double Fleet::WorkOf(const Request& r) const {
  double mean_units = class_units_[r.cls];
  return work_[r.cls] * (mean_units > 0 ? r.units / mean_units : 1);
}

// A cold backend's budget of work: its fraction of what this gateway sends a warm one now, so that all together send no
// more than that; where they are little used, as if it had one core, over all gateways. Guards against a herd onto it.
bool Fleet::ColdRoom(Node* n, double now) {
  double warmed = std::max(0.0, now - n->cold_since) / std::max(1e-3, s_.warm_after_s);
  if (warmed >= 1) n->cold_since = 0;
  if (warmed >= 1) return true;
  double fraction = s_.cold_from + (1 - s_.cold_from) * warmed;
  double one_core = s_.tip_multiple * kColdShare / std::max(1, s_.gateways);
  double faded = warm_work_ * std::exp(-(now - warm_at_) / kWarmS);
  double rate = fraction * std::max(one_core, kWarmShare * faded / kWarmS);
  n->budget = std::min(kColdSaveS * rate, n->budget + rate * (now - n->budget_at));
  n->budget_at = now;
  return n->budget > 0;
}

// It starts below nought by a random part of a request: hundreds with room for less than one don't all send one at once.
void Fleet::Chill(Node* n, double since, double now) {
  n->cold_since = since;
  n->budget_at = now;
  n->budget = -dice_->Unit() * *std::max_element(work_.begin(), work_.end());
}

bool Fleet::InGroup(const Live& l, const Node& n) const {
  if (!l.may_have_run || s_.classes[l.r.cls].effect == Effect::kFree) return true;
  Scope scope = s_.classes[l.r.cls].scope;
  return scope == Scope::kAll || (scope == Scope::kZone && n.info.zone == l.ran_zone) ||
         (scope == Scope::kCell && n.info.cell == l.ran_cell);
}

bool Fleet::Crowded(const Request& r, bool lent) {
  double out = 0, limit = 0, most = 0;
  for (const Node& n : nodes_) {
    if (n.info.state != BackendState::kReady) continue;
    out += std::min<double>(n.out, std::max(1.0, n.limit));
    limit += n.limit;
  }
  for (size_t i = 0; i < s_.classes.size(); ++i) most = std::max(most, s_.classes[i].worth / work_[i]);
  const ClassSettings& c = s_.classes[r.cls];
  double share = most > 0 ? c.worth / work_[r.cls] / most : 1;
  bool late = r.left_s < longest_left_[r.cls] - s_.resolution_s && c.deadline_s - r.left_s > c.aim_s;
  if (late) share *= c.late_share;
  // Gateways that seldom have an attempt out at a backend go by the answers of all backends together.
  if (dice_->Unit() > std::pow(std::min(1.0, let_in_), (lent ? 2 : 1) / (kLeastRoom + (1 - kLeastRoom) * share))) return true;
  double room = kLeastRoom + (1 - kLeastRoom) * share;
  return out >= limit * room * (lent ? kLentRoom : 1);
}

Node* Fleet::Pick(const Live& l, double now) {
  int ready = 0, aside = 0;
  warm_ = 0;
  for (const Node& n : nodes_) {
    ready += n.info.state == BackendState::kReady;
    warm_ += n.info.state == BackendState::kReady && n.cold_since <= 0;
    aside += n.info.state == BackendState::kReady && n.aside_until > now;
  }
  Node* best = nullptr;
  double best_cost = 0;
  for (Node& n : nodes_) {
    if (n.info.state != BackendState::kReady || !InGroup(l, n)) continue;
    if (n.aside_until > now && aside <= kMostEjected * ready) continue;
    if (n.trial && n.out > 0) continue;
    if (n.out >= n.limit) continue;
    if (n.cold_since > 0 && !ColdRoom(&n, now)) continue;
    double fails = std::max(n.fails, Silence(n.info.zone, now));
    double cost = n.speed * (n.out + 1) * (1 + 10 * fails * fails) * (0.95 + 0.1 * dice_->Unit());
    if (n.info.zone != s_.zone) cost *= 1.5;
    if (n.back) cost *= kBackCost;
    if (n.aside_until > now) cost *= kAsideCost;  // so many are: those not set aside first
    for (const Try& t : l.tries) {
      if (t.node == n.info.id) cost += 100;
    }
    if (best == nullptr || cost < best_cost) {
      best = &n;
      best_cost = cost;
    }
  }
  return best;
}

LearnedState Fleet::ExportLearned(double now) const {
  LearnedState out{{}, work_, class_units_, let_in_, warm_work_ * std::exp(-(now - warm_at_) / kWarmS)};
  for (const Node& n : nodes_) out.backends.push_back({n.info.id, n.speed, n.pace, n.limit, n.fails, n.cold_since});
  return out;
}

// The room of a cold backend is not taken over: who learned of it may still be spending it.
void Fleet::ImportLearned(double now, const LearnedState& l) {
  auto within = [](double value, double least, double most) { return value >= least && value <= most; };
  for (size_t i = 0; i < work_.size() && l.work.size() == work_.size() && l.units.size() == work_.size(); ++i) {
    if (within(l.work[i], 1e-4, s_.classes[i].aim_s)) work_[i] = l.work[i];
    if (within(l.units[i], 0, 1e6)) class_units_[i] = l.units[i];
  }
  if (within(l.admit_share, kLeastLetIn, 2)) let_in_ = l.admit_share;
  if (within(l.warm_work, 0, 1e6)) warm_work_ = l.warm_work, warm_at_ = now;
  for (const LearnedState::BackendEstimate& b : l.backends) {
    Node* n = Find(b.id);
    if (n == nullptr || !within(b.relative_latency, 1e-3, 10) || !within(b.latency_ratio, 0, 2) || !within(b.limit, 1, kLimitMax)) continue;
    n->speed = b.relative_latency;
    n->pace = b.latency_ratio;
    n->limit = b.limit;
    if (within(b.failure_rate, 0, 1)) n->fails = b.failure_rate;
    if (b.cold_since > n->cold_since && b.cold_since <= now) Chill(n, b.cold_since, now);
  }
}

int Fleet::EjectedCount(double now) const {
  auto aside = [&](const Node& n) { return n.info.state == BackendState::kReady && n.aside_until > now; };
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), aside));
}

double Fleet::Silence(int zone, double now) const {
  auto it = silent_.find(zone);
  return it == silent_.end() ? 0 : it->second.share * std::exp(-(now - it->second.at) / kZoneS);
}

void Fleet::Silent(int zone, bool silent, double now) {
  double share = Silence(zone, now);
  if (silent || share > 0) silent_[zone] = {share + kZoneWeight * (silent - share), now};
}

void Fleet::Fault(Node* n, bool dead, double now, Actions* out) {
  n->fails += kFailWeight * 2 * (1 - n->fails);
  // A process that takes no connection and has said nothing for a while may be starting, and is met as cold.
  if (dead && now - n->heard > kDeadS) Chill(n, now, now);
  if (n->aside_until > now) return;
  if (n->trial || n->fails > kEjectAt) {
    n->aside_wait = std::clamp(n->aside_wait * 2, kEjectMinS, kEjectMaxS);
    n->aside_until = now + n->aside_wait;
    n->trial = true;
    Log(out, "backend set aside: " + std::to_string(n->info.id));
  }
}

void Fleet::OnList(double now, ListKind kind, const std::vector<Backend>& entries) {
  for (Node& n : nodes_) n.info.state = kind == ListKind::kDelta ? n.info.state : BackendState::kGone;
  for (const Backend& b : entries) {
    Node* n = Find(b.id);
    if (n == nullptr) {
      if (b.state == BackendState::kGone) continue;
      nodes_.emplace_back();
      n = &nodes_.back();
      n->limit = kLimitStart;
      n->heard = now;
    }
    bool restarted = b.started_s > 0 && b.started_s != n->info.started_s;
    n->back = b.state == BackendState::kReady && (n->back || n->info.state == BackendState::kDraining);
    n->info = b;
    if (restarted && now - b.started_s < s_.warm_after_s) {
      Chill(n, std::max(n->cold_since, b.started_s), now);
      n->aside_until = n->fails = 0;
    }
  }
  std::erase_if(nodes_, [](const Node& n) { return n.info.state == BackendState::kGone && n.out == 0; });
}

void Fleet::Learn(Node* n, const Live& l, const Try& t, const Outcome& o, double now, Actions* out) {
  const ClassSettings& c = s_.classes[l.r.cls];
  double took = now - t.sent;
  bool silent = n->heard <= t.sent;
  bool heard = o.result == Result::kOk || o.result == Result::kFull || o.result == Result::kError;
  bool left = o.result == Result::kNeverSent || (o.result == Result::kCancelled && l.done);  // not the backend's doing
  if (heard) n->heard = now;
  if (heard || (silent && !left)) Silent(n->info.zone, !heard, now);
  switch (o.result) {
    case Result::kOk: {
      if (n->cold_since <= 0) {  // what is sent and turned away tells nothing of what a warm one can do
        warm_work_ = warm_work_ * std::exp(-(now - warm_at_) / kWarmS) + WorkOf(l.r) / std::max(1, warm_);
        warm_at_ = now;
      }
      n->fails -= kFailWeight * n->fails;
      if (n->trial) Log(out, "backend back: " + std::to_string(n->info.id));
      n->trial = false;
      if (n->fails < 0.1) n->aside_wait = 0;
      double units = o.true_units > 0 ? o.true_units : l.r.units, &mean = class_units_[l.r.cls];
      mean += (mean > 0 ? kLearn : 1) * (units - mean);
      double size = units / mean, usual = work_[l.r.cls];
      n->speed += 0.05 * (std::min(took / (usual * size), 5.0) - n->speed);
      work_[l.r.cls] += kLearn * (std::min(took, c.aim_s) - usual);
      // Holding the mean answer well inside the aim keeps queues short, whatever made them.
      double weight = std::max(kPaceWeight, 1 - std::exp(-(now - n->paced_at) / kPaceS));
      n->paced_at = now;
      double even = took - usual * (size - 1);  // the request's own size is no sign of a queue
      n->pace += weight * (std::clamp(even / c.aim_s, 0.0, 2.0) - n->pace);
      Steer(even / c.aim_s, now);
      if (took > c.aim_s) ticks_->MarkPressed(now);
      if (n->pace > kQueueAt) {
        Cut(n, now);
      } else if (n->pace < kEasyAt && n->out + 1 >= n->limit / 2) {
        n->limit = std::min(kLimitMax, n->limit + std::min(1.0, 1 / n->limit));
      }
      break;
    }
    case Result::kError: Fault(n, false, now, out); break;
    case Result::kTimeout:
      if (silent) return Fault(n, false, now, out);
      [[fallthrough]];
    case Result::kFull:
      Steer(1, now);
      ticks_->MarkPressed(now);
      Cut(n, now);
      break;
    case Result::kConnectFailed:
    case Result::kReset: Fault(n, true, now, out); break;
    case Result::kCancelled:
      if (!l.done && n->out > 0 && silent) Fault(n, false, now, out);
      break;
    case Result::kNeverSent: break;
  }
}

// The sum of how far answers are off their target: steady at few answers a second as at many.
void Fleet::Steer(double pace, double now) {
  double span = std::min(1.0, now - steered_at_), step = std::clamp(span / kSteerS, kSteer, kSteerMost);
  let_in_ *= std::exp(-step * std::clamp(pace / kQueueAt - 1, -1.0, 2.0));
  let_in_ = std::clamp(let_in_ + kSteerBack * span, kLeastLetIn, std::exp(kSteerSpare * step));
  steered_at_ = now;
}

void Fleet::Cut(Node* n, double now) {
  if (now - n->cut_at < kCutEveryS) return;
  n->cut_at = now;
  n->limit = std::max(1.0, std::min<double>(n->limit, n->out + 1) * kCut);
}

Node* Fleet::Find(uint32_t id) {
  auto it = std::find_if(nodes_.begin(), nodes_.end(), [id](const Node& n) { return n.info.id == id; });
  return it == nodes_.end() ? nullptr : &*it;
}

void Fleet::Sent(Node* n, const Request& r) {
  n->back = false;
  ++n->out;
  if (n->cold_since > 0) n->budget -= WorkOf(r);
}

}  // namespace micadock
