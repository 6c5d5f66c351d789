#include "request_lifecycle/answer_classification.h"

namespace ivygw::request_lifecycle {

using load_balancing::AttemptResult;

namespace {

constexpr unsigned kMisdirected = 421;

bool IsFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

// Statuses that promise a client that its request has not run.
bool PromisesNothingRan(unsigned status) { return status == 408 || status == 429 || status == 503; }

AnswerClassification Untrusted(Evidence evidence) { return {evidence, AttemptResult::kBroken, false, false}; }

}  // namespace

AnswerClassification ClassifyAnswer(const AnswerFacts& answer) {
  if (!IsFinalStatus(answer.status)) return Untrusted(Evidence::kUnidentifiedAnswer);
  if (answer.has_id && !answer.own_id) return Untrusted(Evidence::kForeignAnswer);
  bool rejected = answer.status == kMisdirected || answer.not_executed;
  if (!answer.own_id) {
    if (!rejected) return Untrusted(Evidence::kUnidentifiedAnswer);
    // A backend may reject a request before it has read the id.
    if (!answer.sole_request) return Untrusted(Evidence::kUnprovenRejection);
  }
  if (rejected) {
    return {Evidence::kProvenRejection,
            answer.status == kMisdirected ? AttemptResult::kMisdirected : AttemptResult::kOverloaded, true,
            false};
  }
  bool success = answer.status / 100 == 2;
  if (answer.encoded || (success && !answer.sealed)) return Untrusted(Evidence::kAlteredAnswer);
  if (PromisesNothingRan(answer.status))
    return {Evidence::kUnprovenPromise, AttemptResult::kErrorStatus, true, false};
  if (answer.status >= 500) return {Evidence::kErrorAnswer, AttemptResult::kErrorStatus, true, true};
  return {Evidence::kAnswer, AttemptResult::kServed, true, true};
}

}  // namespace ivygw::request_lifecycle
