// Budgets for retries, by service. Pure.
#ifndef IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_
#define IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ivygw::load_balancing {

// The retry budget of each service at one gateway: a fraction of the gateway's own requests, and an even part
// of the slack that all gateways share.
class RetryBudget {
 public:
  // All gateways together stay within `ratio` retries per request plus `slack` retries, over windows of
  // `window_s` seconds.
  RetryBudget(double ratio, double window_s, double slack)
      : ratio_(ratio), window_s_(window_s), slack_(slack) {}
  void SetGatewayCount(size_t gateways) { gateways_ = gateways; }
  void OnRequest(double now, const std::string& service) { UsageOf(now, service).requests.push_back(now); }
  bool MayRetry(double now, const std::string& service) {
    Usage& usage = UsageOf(now, service);
    // Windows slide, so retries are counted over a longer window than requests.
    double max_retries = kRatioFraction * ratio_ * static_cast<double>(usage.requests.size()) +
                         kSlackFraction * slack_ / static_cast<double>(gateways_ + kUnannouncedGateways);
    return static_cast<double>(usage.retries.size()) + 1 <= max_retries;
  }
  void OnRetry(double now, const std::string& service) { UsageOf(now, service).retries.push_back(now); }

 private:
  // Fractions of the ratio and of the slack that all gateways together may use.
  static constexpr double kRatioFraction = 0.8, kSlackFraction = 0.8;
  // Gateways that may have joined without this one having been notified yet.
  static constexpr size_t kUnannouncedGateways = 2;
  struct Usage {
    std::deque<double> requests, retries;
  };
  Usage& UsageOf(double now, const std::string& service) {
    Usage& usage = usage_[service];
    while (!usage.requests.empty() && usage.requests.front() < now - window_s_) usage.requests.pop_front();
    while (!usage.retries.empty() && usage.retries.front() < now - 1.25 * window_s_)
      usage.retries.pop_front();
    return usage;
  }
  const double ratio_, window_s_, slack_;
  size_t gateways_ = 1;
  std::map<std::string, Usage> usage_;
};

}  // namespace ivygw::load_balancing

#endif  // IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_
