// RetryBudget. How many further tries of requests may be made. Pure.
#ifndef IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_
#define IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ivygw::load_balancing {

// The budget of further tries of each service, kept by each gateway for itself: a part of its own requests,
// and an even part of the slack that all gateways have together.
class RetryBudget {
 public:
  // `ratio`, `window_s`, `slack`: as the operators state them, for all gateways together.
  RetryBudget(double ratio, double window_s, double slack)
      : ratio_(ratio), window_s_(window_s), slack_(slack) {}
  void SetGatewayCount(size_t gateways) { gateways_ = gateways; }
  void OnRequest(double now, const std::string& service) { Of(now, service).requests.push_back(now); }
  bool MayRetry(double now, const std::string& service) {
    Use& use = Of(now, service);
    // Windows slide: requests of the window count, further tries of one and a half.
    double most = kOfRatio * ratio_ * static_cast<double>(use.requests.size()) +
                  kOfSlack * slack_ / static_cast<double>(gateways_ + kJoiners);
    return static_cast<double>(use.tries.size()) + 1 <= most;
  }
  void OnRetry(double now, const std::string& service) { Of(now, service).tries.push_back(now); }

 private:
  static constexpr double kOfRatio = 0.8, kOfSlack = 0.8;
  static constexpr size_t kJoiners = 2;  // that may come before all have heard of them
  struct Use {
    std::deque<double> requests, tries;
  };
  Use& Of(double now, const std::string& service) {
    Use& use = uses_[service];
    while (!use.requests.empty() && use.requests.front() < now - window_s_) use.requests.pop_front();
    while (!use.tries.empty() && use.tries.front() < now - 1.25 * window_s_) use.tries.pop_front();
    return use;
  }
  const double ratio_, window_s_, slack_;
  size_t gateways_ = 1;
  std::map<std::string, Use> uses_;
};

}  // namespace ivygw::load_balancing

#endif  // IVYGW_SYSTEM_LOAD_BALANCING_RETRY_BUDGET_H_
