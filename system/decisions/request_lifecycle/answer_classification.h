// What an answer on a backend's connection proves about the request that waits there. Pure.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_

#include "load_balancing/pool.h"
#include "request_lifecycle/outcome.h"

namespace ivygw::request_lifecycle {

struct AnswerFacts {
  unsigned status = 0;
  bool has_id = false;        // has an Attempt-Id
  bool own_id = false;        // and that is the id of the request that waits
  bool not_executed = false;  // has Not-Executed
  bool sealed = false;        // has a Server-Seal
  bool encoded = false;       // has a Content-Encoding, which a backend's own body never has
  // Exactly one request was ever written to the connection: no answer on it can belong to another one.
  bool sole_request = false;
};

struct AnswerClassification {
  Evidence evidence = Evidence::kUnidentifiedAnswer;
  load_balancing::AttemptResult result =
      load_balancing::AttemptResult::kBroken;  // for the choice of backends
  bool trusted = false;                        // the answer to this request: its connection isn't in doubt
  bool forwardable = false;                    // may go to the client as it stands
};

AnswerClassification ClassifyAnswer(const AnswerFacts& answer);

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_ANSWER_CLASSIFICATION_H_
