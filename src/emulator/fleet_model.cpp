#include "emulator/fleet_model.h"

#include <utility>

namespace ivygw::emulator {

using membership::Asks;
using membership::Membership;

FleetModel::FleetModel(VirtualScheduler* scheduler, EngineModel* engine, const membership::Options& options,
                       uint64_t seed)
    : scheduler_(scheduler), engine_(engine), options_(options), random_(Random(seed).Fork("fleet")) {}

int FleetModel::Start(int slot, const std::string& name, bool heir) {
  int number = static_cast<int>(processes_.size());
  auto process = std::make_unique<Process>();
  process->number = number;
  process->name = name.empty() ? "n" + std::to_string(slot) : name;
  process->heir = heir;
  process->ahead_s = 1000 * random_.Unit();  // monotonic clocks have nothing in common
  membership::Member self;
  self.name = process->name;
  self.boot = "b" + std::to_string(number);
  self.address = "127.0.0.1:" + std::to_string(10000 + number);
  membership::Options options = options_;
  options.preferred_slot = slot;
  options.heir = heir;
  auto draw = std::make_shared<Random>(random_.Fork("draw", static_cast<uint64_t>(number)));
  process->membership = std::make_unique<Membership>(options, self, [draw] { return draw->Unit(); });
  processes_.push_back(std::move(process));
  Run(number, [](Membership& m, double now, Asks* out) { m.OnTime(now, out); });
  Run(number, [](Membership& m, double now, Asks* out) { m.Become(membership::State::kServing, now, out); });
  return number;
}

void FleetModel::Kill(int process) { processes_[static_cast<size_t>(process)]->alive = false; }
void FleetModel::Pause(int process) { processes_[static_cast<size_t>(process)]->paused = true; }
void FleetModel::Resume(int process) {
  Process& p = *processes_[static_cast<size_t>(process)];
  p.paused = false;
  auto waiting = std::move(p.waiting);
  p.waiting.clear();
  for (auto& task : waiting) {
    if (p.alive) task();
  }
}
void FleetModel::Become(int process, membership::State state) {
  Run(process, [state](Membership& m, double now, Asks* out) { m.Become(state, now, out); });
}
void FleetModel::Leave(int process) {
  Run(process, [](Membership& m, double now, Asks* out) { m.Leave(now, out); });
}
void FleetModel::MoveClock(int process, double seconds) {
  processes_[static_cast<size_t>(process)]->ahead_s += seconds;
}

void FleetModel::Run(int process, const std::function<void(Membership&, double, Asks*)>& event) {
  Process& p = *processes_[static_cast<size_t>(process)];
  if (!p.alive) return;
  if (p.paused) {
    p.waiting.push_back([this, process, event] { Run(process, event); });
    return;
  }
  Asks asks;
  event(*p.membership, ClockOf(process), &asks);
  Do(process, std::move(asks));
  Arm(process);
  if (checks) Check();
}

void FleetModel::Do(int process, Asks asks) {
  for (membership::Ask& ask : asks) {
    if (before_call) before_call(process);
    engine_->Ask(
        process, std::move(ask.call), [this, process, number = ask.number](const shared::Reply& reply) {
          Run(process,
              [number, reply](Membership& m, double now, Asks* out) { m.OnReply(now, number, reply, out); });
        });
  }
}

void FleetModel::Arm(int process) {
  Process& p = *processes_[static_cast<size_t>(process)];
  double due = p.membership->NextDue();
  if (due >= 1e299) return;
  uint64_t turn = ++p.turn;
  double wait = std::max(0.0, due - ClockOf(process)) + 1e-6;
  scheduler_->After(wait, [this, process, turn] {
    if (turn != processes_[static_cast<size_t>(process)]->turn) return;
    Run(process, [](Membership& m, double now, Asks* out) { m.OnTime(now, out); });
  });
}

void FleetModel::Check() {
  std::map<std::string, int> names;
  std::map<int, int> slots;
  std::map<std::pair<uint64_t, std::string>, int> fences;
  double parts = 0;
  auto found = [&](const std::string& what) {
    if (broken.size() < 20) broken.push_back("at " + std::to_string(scheduler_->Now()) + " s: " + what);
  };
  for (const auto& p : processes_) {
    if (!p->alive || p->paused) continue;
    double now = ClockOf(p->number);
    const Membership& m = *p->membership;
    if (m.Counts(now)) parts += 1.0 / m.Number(now);
    if (!m.Sure(now) || p->heir) continue;  // an heir and the one before are one member
    auto [name, fresh_name] = names.try_emplace(p->name, p->number);
    if (!fresh_name && !processes_[static_cast<size_t>(name->second)]->heir)
      found("two are sure of the name " + p->name);
    auto [slot, fresh_slot] = slots.try_emplace(m.self().slot, p->number);
    if (!fresh_slot) found("two are sure of slot " + std::to_string(m.self().slot));
    if (!fences.try_emplace({m.fence().revision, m.fence().boot}, p->number).second)
      found("two are sure of one fence");
  }
  most_parts = std::max(most_parts, parts);
  if (parts > 1 + 1e-9) found("parts add up to " + std::to_string(parts));
}

}  // namespace ivygw::emulator
