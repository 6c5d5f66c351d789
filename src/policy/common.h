// Helpers with which the policy's parts append actions.
#ifndef MICADOCK_POLICY_COMMON_H_
#define MICADOCK_POLICY_COMMON_H_

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/dice.h"
#include "base/ticks.h"
#include "policy/balance.h"

namespace micadock {

inline Action& AddAction(Actions* out, ActionKind kind, uint32_t request = 0) {
  out->emplace_back();
  out->back().kind = kind;
  out->back().request = request;
  return out->back();
}
inline void SetTimer(Actions* out, double wait_s, uint64_t tag) {
  Action& action = AddAction(out, ActionKind::kTimer);
  action.seconds = wait_s;
  action.tag = tag;
}
inline void Log(Actions* out, std::string text) { AddAction(out, ActionKind::kLog).text = std::move(text); }

}  // namespace micadock

#endif  // MICADOCK_POLICY_COMMON_H_
