#include "shared/engine.h"

#include <cmath>
#include <utility>

namespace ivygw::shared {

const char* FaultName(Fault fault) {
  switch (fault) {
    case Fault::kNone: return "none";
    case Fault::kConflict: return "conflict";
    case Fault::kBad: return "bad call";
    case Fault::kBusy: return "busy";
    case Fault::kFull: return "full";
    case Fault::kReadOnly: return "read-only";
    case Fault::kMoved: return "moved";
    case Fault::kBroken: return "broken";
    case Fault::kNewer: return "newer form";
    case Fault::kUnreachable: return "unreachable";
    case Fault::kLate: return "late";
  }
  return "";
}

std::string Call::Unsound() const {
  auto bad_key = [](const std::string& k) { return k.empty() || k.size() > kMostKey; };
  switch (kind) {
    case CallKind::kGet: return bad_key(key) ? "key: 1 to 256 bytes" : "";
    case CallKind::kRange: return key.size() > kMostKey ? "prefix: 256 bytes at most" : "";
    case CallKind::kChanges: return "";
    case CallKind::kCommit: break;
  }
  if (batch.conditions.size() + batch.changes.size() > kMostChanges)
    return "batch: 64 conditions and changes at most";
  for (const Condition& c : batch.conditions) {
    if (bad_key(c.key)) return "condition: a key has 1 to 256 bytes";
  }
  for (const Change& c : batch.changes) {
    if (bad_key(c.key)) return "change: a key has 1 to 256 bytes";
    if (c.value && c.value->size() > kMostValue) return "change: a value has 1 MiB at most";
    if (c.renew && !c.lease_s) return "change: a renewal needs a lease";
    if (c.lease_s && (!std::isfinite(*c.lease_s) || *c.lease_s <= 0 || *c.lease_s > 1e7))
      return "change: a lease has 0 to 1e7 s";
  }
  return "";
}

Reply NotDone(Fault fault, std::string why) {
  Reply reply;
  reply.outcome = Outcome::kNotDone;
  reply.fault = fault;
  reply.why = std::move(why);
  return reply;
}

Reply MaybeDone(Fault fault, std::string why) {
  Reply reply = NotDone(fault, std::move(why));
  reply.outcome = Outcome::kMaybeDone;
  return reply;
}

}  // namespace ivygw::shared
