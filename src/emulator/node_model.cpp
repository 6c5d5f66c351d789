#include "emulator/node_model.h"

#include <algorithm>
#include <cmath>

namespace ivygw::emulator {
namespace {

constexpr double kFastErrorS = 0.001;         // work of a request that fails fast
constexpr double kRepeatS = 0.0005;           // work of a repeat that is dropped
constexpr double kStepS = 0.05;               // a cold node's capacity rises in steps this long
constexpr double kDone = 1e-9;                // work left that is rounding
constexpr double kEffectBeforeFailure = 0.5;  // share of fast failures and late resets that ran all the same

}  // namespace

bool RepeatMemory::First(double now, const std::string& key) {
  if (now - swept_at_ > window_s_) {  // what is remembered is bounded by two windows' requests
    swept_at_ = now;
    std::erase_if(begun_, [&](const auto& entry) { return now - entry.second >= window_s_; });
  }
  auto [it, fresh] = begun_.try_emplace(key, now);
  if (fresh) return true;
  if (now - it->second < window_s_) return false;
  it->second = now;
  return true;
}

NodeModel::NodeModel(const NodeSpec& spec, uint64_t seed, double now, bool cold, RepeatMemory* memory)
    : spec_(spec), random_(seed), memory_(memory), started_(now), cold_(cold && spec.warm_s > 0), at_(now) {}

double NodeModel::Share(double now) const {
  if (!cold_) return 1;
  // In steps, so that work in progress can be summed exactly between two calls.
  double age = std::floor((now - started_) / kStepS + 1e-6) * kStepS;
  return std::min(1.0, spec_.cold_from + (1 - spec_.cold_from) * age / spec_.warm_s);
}

double NodeModel::Capacity(double now) const { return up_ ? spec_.cores * spec_.speed * Share(now) : 0; }

double NodeModel::Rate(double now) const {
  if (work_.empty()) return 0;
  double n = static_cast<double>(work_.size()), held = n + static_cast<double>(queue_.size());
  double over = std::max(0.0, held / (spec_.cores * spec_.thrash_at) - 1);
  double rate = spec_.speed * Share(now) * std::min(1.0, spec_.cores / n) / (1 + spec_.thrash * over);
  return rate;
}

void NodeModel::Progress(double now) {
  double from = std::max(at_, std::min(now, paused_until_));
  at_ = now;
  if (!up_ || now <= from || work_.empty()) return;
  double step = (now - from) * Rate(from);
  if (handshakes_s_ >
      0) {  // connections are taken by the cores that would work: the jobs wait their part of it
    double all = step * static_cast<double>(work_.size());
    double taken = std::min(handshakes_s_, all);
    handshakes_s_ -= taken;
    step -= taken / static_cast<double>(work_.size());
  }
  for (Job& job : work_) job.left_s -= step;
}

bool NodeModel::Connect(double now) {
  Progress(now);
  if (!up_ || connections_ >= spec_.connections) return false;
  ++connections_;
  // Owed work fades where nothing else is to be done: an idle node has long taken its connections.
  if (work_.empty()) handshakes_s_ = 0;
  handshakes_s_ += spec_.handshake_work_s;
  return true;
}

void NodeModel::Disconnect() { connections_ = std::max(0, connections_ - 1); }

// A cold node that is sent more than it can stand falls over and stays down.
void NodeModel::Tip(double now, double work_s) {
  if (!cold_ || Share(now) >= 1) return;
  sent_.emplace_back(now, work_s);
  sent_sum_ += work_s;
  while (!sent_.empty() && sent_.front().first <= now - spec_.tip_s) {
    sent_sum_ -= sent_.front().second;
    sent_.pop_front();
  }
  double largest = 0;
  for (const auto& [when, work] : sent_) largest = std::max(largest, work);
  if (sent_sum_ > spec_.tip_multiple * Capacity(now) * spec_.tip_s + largest) {
    fallen_ = true;
    Kill();
  }
}

void NodeModel::Begin(double now, NodeRequest request, std::vector<Reply>* out) {
  Advance(now, out);
  if (!up_) return;
  double draw = random_.Unit();
  auto drawn = [&draw](double share) {
    bool hit = draw < share;
    draw -= share;
    return hit && share > 0;
  };
  Job job;
  if (drawn(faults_.turn_away)) return out->push_back({request.attempt, ReplyKind::kNotStarted, false});
  if (drawn(faults_.reset_early)) return out->push_back({request.attempt, ReplyKind::kResetEarly, false});
  job.request = std::move(request);
  job.left_s = job.request.work_s;
  bool error = drawn(faults_.error);
  if (error || drawn(faults_.reset_late)) {
    job.end = error ? ReplyKind::kError : ReplyKind::kReset;
    job.left_s = std::min(job.left_s, kFastErrorS);
    job.ran = random_.Chance(kEffectBeforeFailure);
  } else if (drawn(faults_.hang)) {
    job.hangs = true;
  } else if (drawn(faults_.spoilt)) {
    job.end = ReplyKind::kSpoilt;
  } else if (drawn(faults_.cut)) {
    job.end = ReplyKind::kCut;
  } else if (drawn(faults_.endless)) {
    job.end = ReplyKind::kEndless;
  }
  if (static_cast<int>(queue_.size()) >= spec_.queue && static_cast<int>(work_.size()) >= spec_.slots) {
    return out->push_back({job.request.attempt, ReplyKind::kNotStarted, false});
  }
  Tip(now, job.request.work_s);
  if (!up_) return;
  queue_.push_back(std::move(job));
  if (!paused(now)) Fill(now, out);
}

// Takes what waits into the free slots.
void NodeModel::Fill(double now, std::vector<Reply>* out) {
  while (!queue_.empty() && static_cast<int>(work_.size()) < spec_.slots) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    if (spec_.stops_cancelled && job.request.over_at <= now) {
      out->push_back({job.request.attempt, ReplyKind::kNotStarted, false});
      continue;
    }
    if (!job.request.key.empty() && memory_ != nullptr && !memory_->First(now, job.request.key)) {
      job.repeat = true;
      job.ran = job.hangs = false;
      job.left_s = std::min(job.left_s, kRepeatS);
    }
    work_.push_back(std::move(job));
  }
}

void NodeModel::Stop(const Job& job) {
  if (memory_ != nullptr && !job.request.key.empty() && !job.repeat) memory_->Forget(job.request.key);
}

void NodeModel::Cancel(double now, uint64_t attempt, std::vector<Reply>* out) {
  Advance(now, out);
  if (!spec_.stops_cancelled) return;
  std::erase_if(queue_, [&](const Job& job) { return job.request.attempt == attempt; });
  for (auto it = work_.begin(); it != work_.end(); ++it) {
    if (it->request.attempt != attempt) continue;
    Stop(*it);
    work_.erase(it);
    break;
  }
  if (up_ && !paused(now)) Fill(now, out);
}

double NodeModel::Next() const {
  if (!up_ || (work_.empty() && queue_.empty())) return kNever;
  double from = std::max(at_, paused_until_);
  if (paused_until_ > at_) return paused_until_;
  if (work_.empty()) return from;
  double rate = Rate(from), least = kNever, over = kNever;
  for (const Job& job : work_) {
    if (!job.hangs) least = std::min(least, std::max(0.0, job.left_s));
    if (spec_.stops_cancelled) over = std::min(over, job.request.over_at);
  }
  double owed = handshakes_s_ / static_cast<double>(work_.size());
  double next = least == kNever || rate <= 0 ? kNever : from + (least <= kDone ? 0 : least + owed) / rate;
  if (Share(from) < 1) {
    double step = started_ + (std::floor((from - started_) / kStepS + 1e-6) + 1) * kStepS;
    next = std::min(next, step);
  }
  return std::max(from, std::min(next, over));
}

void NodeModel::Advance(double now, std::vector<Reply>* out) {
  // In steps: a change of rate at one moment moves what is due after it.
  for (double next = Next(); next <= now; next = Next()) {
    Progress(std::max(at_, next));
    if (at_ < paused_until_) break;
    for (auto it = work_.begin(); it != work_.end();) {
      bool done = !it->hangs && it->left_s <= kDone;
      bool over = spec_.stops_cancelled && it->request.over_at <= at_;
      if (!done && !over) {
        ++it;
        continue;
      }
      if (done) {
        out->push_back({it->request.attempt, it->end, it->ran});
        if (!it->ran) Stop(*it);
      } else {
        Stop(*it);
        out->push_back({it->request.attempt, ReplyKind::kError, false});
      }
      it = work_.erase(it);
    }
    Fill(at_, out);
  }
  Progress(now);
}

void NodeModel::Pause(double now, double until, std::vector<Reply>* out) {
  Advance(now, out);
  paused_until_ = std::max(paused_until_, until);
}

void NodeModel::Kill() {
  up_ = false;
  for (const Job& job : work_) Stop(job);
  work_.clear();
  queue_.clear();
  connections_ = 0;
}

}  // namespace ivygw::emulator
