// A fleet of gateways' memberships in virtual time, round one engine model: the program's own membership
// code, paused, killed, started anew, and cut off. Watches the promises of membership.h at every step. One
// thread.
#ifndef IVYGW_EMULATOR_FLEET_MODEL_H_
#define IVYGW_EMULATOR_FLEET_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/engine_model.h"
#include "emulator/random.h"
#include "emulator/scheduler.h"
#include "membership/membership.h"

namespace ivygw::emulator {

class FleetModel {
 public:
  FleetModel(VirtualScheduler* scheduler, EngineModel* engine, const membership::Options& options,
             uint64_t seed);

  // A process of that number begins, as `name` (its own where empty); returns the process's number.
  int Start(int slot, const std::string& name = "", bool heir = false);
  void Kill(int process);
  // Its events wait, however long; its clock goes on.
  void Pause(int process);
  void Resume(int process);
  void Become(int process, membership::State state);
  void Leave(int process);
  void MoveClock(int process, double seconds);  // of this machine: a jump ahead

  size_t processes() const { return processes_.size(); }
  bool alive(int process) const { return processes_[static_cast<size_t>(process)]->alive; }
  bool paused(int process) const { return processes_[static_cast<size_t>(process)]->paused; }
  const membership::Membership& of(int process) const {
    return *processes_[static_cast<size_t>(process)]->membership;
  }
  double ClockOf(int process) const {
    return scheduler_->Now() + processes_[static_cast<size_t>(process)]->ahead_s;
  }

  // Compares all that are sure with one another, and the parts of all that count; called after each event,
  // and by tests. What is found stays in `broken`. A paused process says nothing, and so does nothing.
  void Check();
  std::vector<std::string> broken;
  double most_parts = 0;                         // sum of 1 / number over those that count, at most
  bool checks = true;                            // in large fleets only now and then
  std::function<void(int process)> before_call;  // of each call to the engine

 private:
  struct Process {
    int number = 0;
    std::string name;
    bool alive = true, paused = false, heir = false;
    double ahead_s = 0;
    uint64_t turn = 0;                           // of its timer
    std::vector<std::function<void()>> waiting;  // while it is paused
    std::unique_ptr<membership::Membership> membership;
  };
  void Run(int process,
           const std::function<void(membership::Membership&, double now, membership::Asks*)>& event);
  void Do(int process, membership::Asks asks);
  void Arm(int process);

  VirtualScheduler* scheduler_;
  EngineModel* engine_;
  const membership::Options options_;
  Random random_;
  std::vector<std::unique_ptr<Process>> processes_;
};

}  // namespace ivygw::emulator

#endif  // IVYGW_EMULATOR_FLEET_MODEL_H_
