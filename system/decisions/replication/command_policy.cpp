#include "replication/command_policy.h"

#include <algorithm>

namespace ivygw::replication {
namespace {

using messages::DigestOf;
using messages::PastVersion;

bool SameContent(const Item& a, const Item& b) { return a.dropped == b.dropped && a.body == b.body; }

// Inserts a version in order and keeps the kMaxPastVersions highest ones.
void Remember(PastVersion version, std::vector<PastVersion>* past) {
  auto place =
      std::lower_bound(past->begin(), past->end(), version,
                       [](const PastVersion& a, const PastVersion& b) { return a.version < b.version; });
  past->insert(place, version);
  if (past->size() > kMaxPastVersions) past->erase(past->begin());
}

ItemEvaluation EvaluateOlderVersion(const Item& item, const Record& current) {
  using Kind = Evaluation::Kind;
  for (const PastVersion& past : current.past) {
    if (past.version != item.version) continue;
    return {past.digest == DigestOf(item) ? Kind::kAlreadyApplied : Kind::kRejected, false, {}};
  }
  bool may_be_forgotten =
      current.past.size() >= kMaxPastVersions && item.version < current.past.front().version;
  if (may_be_forgotten) return {Kind::kIndeterminate, false, {}};
  // The version was never used. Its content has no effect, as a newer version exists, but the version is
  // recorded so that it can't be acknowledged with different content later.
  ItemEvaluation evaluation{Kind::kApply, false, current};
  Remember({item.version, DigestOf(item)}, &evaluation.record.past);
  return evaluation;
}

}  // namespace

ItemEvaluation EvaluateItem(const Item& item, const Record* current, bool keep_past) {
  using Kind = Evaluation::Kind;
  if (!current) return {Kind::kApply, true, {item, 0, {}}};
  if (item.version > current->item.version) {
    ItemEvaluation evaluation{Kind::kApply, true, {item, 0, {}}};
    if (!keep_past) return evaluation;
    evaluation.record.past = current->past;
    Remember({current->item.version, DigestOf(current->item)}, &evaluation.record.past);
    return evaluation;
  }
  if (!keep_past) return {Kind::kAlreadyApplied, false, {}};
  if (item.version < current->item.version) return EvaluateOlderVersion(item, *current);
  return {SameContent(item, current->item) ? Kind::kAlreadyApplied : Kind::kRejected, false, {}};
}

}  // namespace ivygw::replication
