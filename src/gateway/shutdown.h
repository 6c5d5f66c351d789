// The stages of a planned end: clients go on coming for a while, then kept connections are closed, then what is
// held is finished, within a bound.
#ifndef IVYGW_GATEWAY_SHUTDOWN_H_
#define IVYGW_GATEWAY_SHUTDOWN_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "net/clock.h"
#include "net/http.h"

namespace ivygw {

class Shutdown {
 public:
  // `on_closing` runs when clients no longer come; `on_over` when the time for what is held is over too.
  Shutdown(asio::io_context& io, std::function<void()> on_closing, std::function<void()> on_over)
      : timer_(io), on_closing_(std::move(on_closing)), on_over_(std::move(on_over)) {}

  // False if it has begun before. `longest_s`: the longest that a request may be held.
  bool Begin(double longest_s) {
    if (began_) return false;
    began_ = Clock::now();
    timer_.expires_after(Seconds(kStillComingS));
    timer_.async_wait([this, longest_s](error_code cancelled) {
      if (cancelled) return;
      timer_.expires_at(*began_ + Seconds(longest_s + kEndMarginS));
      timer_.async_wait([this](error_code stopped) {
        if (!stopped) on_over_();
      });
      on_closing_();
    });
    return true;
  }
  bool begun() const { return began_.has_value(); }
  bool closing() const { return began_ && Clock::now() >= *began_ + Seconds(kStillComingS); }

 private:
  // After SIGTERM clients go on coming for up to 0.4 s. Then kept connections are closed, and what is held is
  // finished within the longest deadline.
  static constexpr double kStillComingS = 0.5, kEndMarginS = 0.6;

  asio::steady_timer timer_;
  std::function<void()> on_closing_, on_over_;
  std::optional<Clock::time_point> began_;
};

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_SHUTDOWN_H_
