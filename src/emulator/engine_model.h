// The shared engine in virtual time: the entries' own rules (shared/memory_store), with delays, lost and late
// answers, callers cut off in one direction or both, and fail-overs that lose the newest writes. One thread.
#ifndef IVYGW_EMULATOR_ENGINE_MODEL_H_
#define IVYGW_EMULATOR_ENGINE_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "emulator/random.h"
#include "emulator/scheduler.h"
#include "shared/memory_store.h"

namespace ivygw::emulator {

struct EngineLink {      // between one caller and the engine
  bool calls = true;     // what it asks comes through
  bool answers = true;   // what the engine answers comes through
  double lost = 0;       // share of calls, and of answers, that don't
  double slow_s = 0;     // more, each way
  bool refused = false;  // it hears at once that nothing was done
};

class EngineModel {
 public:
  EngineModel(Scheduler* scheduler, uint64_t seed, double one_way_s = 0.0005)
      : scheduler_(scheduler), random_(Random(seed).Fork("engine")), one_way_s_(one_way_s), store_("first") {}

  EngineLink& link(int caller) { return links_[caller]; }
  bool away = false;  // nothing is answered, nothing done
  uint64_t calls = 0, writes = 0;

  // `alive`: whether the caller is still there to hear it.
  void Ask(int caller, shared::Call call, std::function<void(const shared::Reply&)> done) {
    ++calls;
    writes += call.kind == shared::CallKind::kCommit;
    const EngineLink& link = links_[caller];
    if (link.refused) {
      return scheduler_->After(one_way_s_, [done = std::move(done)] {
        done(shared::NotDone(shared::Fault::kUnreachable, "refused"));
      });
    }
    if (!link.calls || random_.Chance(link.lost)) return;
    double there = one_way_s_ * random_.Between(0.8, 1.2) + link.slow_s;
    scheduler_->After(there, [this, caller, call = std::move(call), done = std::move(done)] {
      if (away) return;
      shared::Reply reply = store_.Take(call, scheduler_->Now() + ahead_s_);
      const EngineLink& back = links_[caller];
      if (!back.answers || random_.Chance(back.lost)) return;
      scheduler_->After(one_way_s_ * random_.Between(0.8, 1.2) + back.slow_s,
                        [reply = std::move(reply), done] { done(reply); });
    });
  }

  void Keep() { kept_ = store_; }  // a copy, or what a replica has
  void PutBack() {
    if (kept_) store_ = *kept_;
  }  // in the store's place: what came since is lost
  void Empty(const std::string& generation) { store_ = shared::MemoryStore(generation); }
  void MoveClock(double seconds) { ahead_s_ += seconds; }
  shared::MemoryStore& store() { return store_; }
  double Now() const { return scheduler_->Now() + ahead_s_; }

 private:
  Scheduler* scheduler_;
  Random random_;
  const double one_way_s_;
  double ahead_s_ = 0;
  std::map<int, EngineLink> links_;
  shared::MemoryStore store_;
  std::optional<shared::MemoryStore> kept_;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_ENGINE_MODEL_H_
