#include "request_lifecycle/outcome.h"

namespace ivygw::request_lifecycle {

Outcome OutcomeOf(Evidence evidence) {
  switch (evidence) {
    case Evidence::kConnectRefused:
    case Evidence::kConnectTimedOut:
    case Evidence::kClosedBeforeWrite:
    case Evidence::kWriteRefused:
    case Evidence::kProvenRejection: return NotDone();
    case Evidence::kErrorAnswer:
    case Evidence::kAnswer: return Done();
    case Evidence::kLostAfterWrite:
    case Evidence::kNoAnswer:
    case Evidence::kUnidentifiedAnswer:
    case Evidence::kForeignAnswer:
    case Evidence::kAlteredAnswer:
    case Evidence::kUnprovenRejection:
    case Evidence::kUnprovenPromise: return MayHaveBeenDone();
  }
  return MayHaveBeenDone();
}

bool MayHaveArrived(Evidence evidence) {
  switch (evidence) {
    case Evidence::kConnectRefused:
    case Evidence::kConnectTimedOut:
    case Evidence::kClosedBeforeWrite:
    case Evidence::kWriteRefused: return false;
    default: return true;
  }
}

void ExecutionRecord::Add(const Outcome& outcome) {
  if (!std::holds_alternative<NotDone>(outcome)) nothing_done_ = false;
}

std::optional<NotDone> ExecutionRecord::NothingDone() const {
  if (!nothing_done_) return std::nullopt;
  return NotDone();
}

}  // namespace ivygw::request_lifecycle
