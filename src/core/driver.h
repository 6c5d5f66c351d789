// One event at a time: hands it to the core, runs its effects, and lets what comes meanwhile wait its turn.
// What every driver of the core shares, whatever it drives.
#ifndef IVYGW_CORE_DRIVER_H_
#define IVYGW_CORE_DRIVER_H_

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <variant>

#include "core/gateway_core.h"

namespace ivygw::core {

// `Port` has `double Now()`, in the core's time; `Do(E&)` for each kind of effect; and `AfterTurn()`, run
// when nothing waits any more, which is when it is known what is due next.
template <typename Port>
class Driver {
 public:
  // Sees each event with its effects before they are run. The first, with no event: what the core asked for
  // at its start.
  using Tap = std::function<void(double now, const Event* event, const Effects& effects)>;

  // The core's first effects are run with the first event.
  Driver(Port* port, const CoreSettings& settings, Tap tap = nullptr) : port_(port), tap_(std::move(tap)) {
    double now = port->Now();
    core_.emplace(settings, now, &effects_);
    if (tap_) tap_(now, nullptr, effects_);
  }

  // Now, or after what is running.
  void Dispatch(Event event) {
    if (running_) return later_.push_back(std::move(event));
    running_ = true;
    Run(event);
    while (!later_.empty()) {
      Event next = std::move(later_.front());
      later_.pop_front();
      Run(next);
    }
    running_ = false;
    port_->AfterTurn();
  }

  const GatewayCore& core() const { return *core_; }
  double NextDue() { return core_->NextDue(port_->Now()); }

 private:
  void Run(const Event& event) {
    double now = port_->Now();
    size_t before = effects_.size();
    core_->Handle(now, event, &effects_);
    if (tap_)
      tap_(now, &event,
           before == 0 ? effects_ : Effects(effects_.begin() + static_cast<long>(before), effects_.end()));
    for (Effect& effect : effects_) {
      std::visit([this](auto& what) { port_->Execute(what); }, effect);
    }
    effects_.clear();
  }

  Port* port_;
  Tap tap_;
  Effects effects_;
  std::deque<Event> later_;
  bool running_ = false;
  std::optional<GatewayCore> core_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_DRIVER_H_
