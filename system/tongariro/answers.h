// Tongariro (answers): what an answer of a backend tells of its request, by the facts on it. Pure.
#ifndef IVYGW_SYSTEM_TONGARIRO_ANSWERS_H_
#define IVYGW_SYSTEM_TONGARIRO_ANSWERS_H_

#include "tongariro/pool.h"
#include "tongariro/tries.h"

namespace ivygw::tongariro {

struct AnswerFacts {
  unsigned status = 0;
  bool own_id = false, has_id = false;  // Attempt-Id: this request's; any
  bool not_executed = false;            // the backend says that it has not run the request
  bool sealed = false, encoded = false; // Server-Seal; Content-Encoding, which its body never has
};
struct Reading {
  Told told = Told::kUnknown;
  Met met = Met::kBroken;
  bool sound = false;        // it belongs to this request and is the backend's own: its connection may be used on
  bool pass = false;         // it may be the client's answer as it stands
};

// A promise that a request has not run is believed only from a backend that gives it (Not-Executed, or 421), and passed on
// only as this gateway's own.
inline Reading ReadAnswer(const AnswerFacts& a) {
  bool not_run = a.status == 421 || a.not_executed;
  // One that turns away may not have read the id.
  bool ours = a.own_id || (not_run && !a.has_id);
  if (!ours || a.status < 200 || a.status > 599) return {};
  if (not_run) return {Told::kNotRun, a.status == 421 ? Met::kGone : Met::kFull, true, false};
  if (a.encoded || (a.status / 100 == 2 && !a.sealed)) return {};
  bool promise = a.status == 503 || a.status == 429 || a.status == 408;
  if (promise) return {Told::kUnknown, Met::kFailed, true, false};
  if (a.status >= 500) return {Told::kRan, Met::kFailed, true, true};
  return {Told::kRan, Met::kServed, true, true};
}

}  // namespace ivygw::tongariro

#endif  // IVYGW_SYSTEM_TONGARIRO_ANSWERS_H_
