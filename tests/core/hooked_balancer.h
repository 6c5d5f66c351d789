// A Balancer that replaces the real one in the core's tests and is scripted by callbacks.
#ifndef IVYGW_TESTS_CORE_HOOKED_BALANCER_H_
#define IVYGW_TESTS_CORE_HOOKED_BALANCER_H_

#include <functional>
#include <vector>

#include "policy/balance.h"

namespace micadock {

// An empty callback takes no action. Each test that sets callbacks resets them.
struct BalancerHooks {
  std::function<void(const Request&, Actions*)> on_request;
  std::function<void(const Outcome&, Actions*)> on_outcome;
  std::function<void(uint32_t request, Actions*)> on_abandoned;
  std::function<void(uint64_t tag, Actions*)> on_timer;
  std::function<void(const CountAnswer&, Actions*)> on_count;
};
inline BalancerHooks hooks;

inline Action MakeSend(uint32_t request, uint32_t backend, double timeout_s = 0) {
  Action a;
  a.kind = ActionKind::kSend;
  a.request = request;
  a.backend = backend;
  a.seconds = timeout_s;
  return a;
}
inline Action MakeAction(ActionKind kind, uint32_t request, int attempt = 0, double seconds = 0) {
  Action a;
  a.kind = kind;
  a.request = request;
  a.attempt = attempt;
  a.seconds = seconds;
  return a;
}
inline Action MakeCount(uint64_t name, double amount) {
  Action a;
  a.kind = ActionKind::kCount;
  a.tag = name;
  a.amount = amount;
  a.seconds = 1;
  return a;
}

}  // namespace micadock

#endif  // IVYGW_TESTS_CORE_HOOKED_BALANCER_H_
