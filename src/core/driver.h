// Runs the core's event loop: passes one event at a time to the core, executes its effects, and queues the
// events that arrive meanwhile. Shared by all drivers of the core, whatever transport they have.
#ifndef IVYGW_CORE_DRIVER_H_
#define IVYGW_CORE_DRIVER_H_

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <variant>

#include "core/gateway_core.h"

namespace ivygw::core {

// `Port` provides `double Now()` on the core's clock, `Execute(E&)` for each kind of effect, and
// `AfterTurn()`, which is called when no event is queued any more and the next due time is known.
template <typename Port>
class Driver {
 public:
  // Observes each event with its effects before they are executed. The first call has no event and reports
  // the effects of the core's construction.
  using Tap = std::function<void(double now, const Event* event, const Effects& effects)>;

  // The effects of the core's construction are executed with those of the first event.
  Driver(Port* port, const CoreSettings& settings, Tap tap = nullptr) : port_(port), tap_(std::move(tap)) {
    double now = port->Now();
    core_.emplace(settings, now, &effects_);
    if (tap_) tap_(now, nullptr, effects_);
  }

  // Handles the event now. If called while another event is being handled, queues it to be handled after that
  // one.
  void Dispatch(Event event) {
    if (running_) return queued_.push_back(std::move(event));
    running_ = true;
    Run(event);
    while (!queued_.empty()) {
      Event next = std::move(queued_.front());
      queued_.pop_front();
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
      std::visit([this](auto& alternative) { port_->Execute(alternative); }, effect);
    }
    effects_.clear();
  }

  Port* port_;
  Tap tap_;
  Effects effects_;
  std::deque<Event> queued_;
  bool running_ = false;
  std::optional<GatewayCore> core_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_DRIVER_H_
