#include "call_routing/pending_calls.h"

namespace ivygw::call_routing {

namespace {

constexpr int kIncarnationShift = 32;

}  // namespace

CallNumber PendingCalls::Add(CallerId caller, double deadline) {
  CallNumber number = static_cast<CallNumber>(incarnation_) << kIncarnationShift | ++last_number_;
  pending_[number] = {caller, deadline};
  return number;
}

std::optional<CallerId> PendingCalls::Complete(CallNumber number) {
  auto it = pending_.find(number);
  if (it == pending_.end()) {
    ++dropped_answers_;
    return std::nullopt;
  }
  CallerId caller = it->second.caller;
  pending_.erase(it);
  return caller;
}

void PendingCalls::Forget(CallerId caller) {
  std::erase_if(pending_, [caller](const auto& entry) { return entry.second.caller == caller; });
}

std::vector<CallerId> PendingCalls::TakeExpired(double now) {
  std::vector<CallerId> callers;
  std::erase_if(pending_, [&](const auto& entry) {
    if (now < entry.second.deadline) return false;
    callers.push_back(entry.second.caller);
    return true;
  });
  return callers;
}

std::vector<CallerId> PendingCalls::TakeAll() {
  std::vector<CallerId> callers;
  for (const auto& [number, call] : pending_) callers.push_back(call.caller);
  pending_.clear();
  return callers;
}

}  // namespace ivygw::call_routing
