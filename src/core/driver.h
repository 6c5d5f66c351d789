// One event at a time: hands it to the core, runs its effects, and lets what comes meanwhile wait its turn. What every
// driver of the core shares, whatever it drives.
#ifndef IVYGW_CORE_DRIVER_H_
#define IVYGW_CORE_DRIVER_H_

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <variant>

#include "core/gateway_core.h"

namespace ivygw::core {

// `Port` has `double Now()`, in the core's time; `Do(E&)` for each kind of effect; and `AfterTurn()`, run when nothing
// waits any more, which is when it is known what is due next.
template <typename Port>
class Driver {
 public:
  // The core's first effects are run with the first event.
  Driver(Port* port, const CoreSettings& settings) : port_(port) { core_.emplace(settings, port->Now(), &effects_); }

  // `event` is called with the core, the time and where its effects go, now or after what is running.
  template <typename Event>
  void Tell(Event event) {
    if (running_) {
      later_.push_back([event = std::move(event)](GatewayCore& c, double now, Effects* out) mutable { event(c, now, out); });
      return;
    }
    running_ = true;
    event(*core_, port_->Now(), &effects_);
    Run();
    while (!later_.empty()) {
      auto next = std::move(later_.front());
      later_.pop_front();
      next(*core_, port_->Now(), &effects_);
      Run();
    }
    running_ = false;
    port_->AfterTurn();
  }

  const GatewayCore& core() const { return *core_; }

 private:
  void Run() {
    for (Effect& effect : effects_) {
      std::visit([this](auto& what) { port_->Do(what); }, effect);
    }
    effects_.clear();
  }

  Port* port_;
  Effects effects_;
  std::deque<std::function<void(GatewayCore&, double, Effects*)>> later_;
  bool running_ = false;
  std::optional<GatewayCore> core_;
};

}  // namespace ivygw::core

#endif  // IVYGW_CORE_DRIVER_H_
