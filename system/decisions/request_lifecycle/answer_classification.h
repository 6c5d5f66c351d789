// Classifies an answer on a backend's connection: what it proves about the request sent on it. Pure.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_

#include "load_balancing/pool.h"
#include "request_lifecycle/outcome.h"

namespace ivygw::request_lifecycle {

struct AnswerFacts {
  unsigned status = 0;
  bool has_id = false;        // has an Attempt-Id header
  bool own_id = false;        // has the Attempt-Id of the request sent on this connection
  bool not_executed = false;  // has a Not-Executed header
  bool sealed = false;        // has a Server-Seal
  bool encoded = false;       // has a Content-Encoding, which a backend itself never sends
  // Exactly one request was ever written to the connection, so that no answer can belong to another one.
  bool sole_request = false;
};

struct AnswerClassification {
  Evidence evidence = Evidence::kUnidentifiedAnswer;
  load_balancing::AttemptResult result = load_balancing::AttemptResult::kBroken;  // for load balancing
  bool trusted = false;      // certainly the answer to this request, so the connection may be reused
  bool forwardable = false;  // may be passed to the client unchanged
};

AnswerClassification ClassifyAnswer(const AnswerFacts& answer);

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_
