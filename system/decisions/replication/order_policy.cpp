#include "replication/order_policy.h"

#include <algorithm>

namespace ivygw::replication {
namespace {

using messages::DigestOf;
using messages::PastVersion;

bool SameContent(const Item& a, const Item& b) { return a.dropped == b.dropped && a.body == b.body; }

// Kept by version, the highest kMostPast.
void Remember(PastVersion version, std::vector<PastVersion>* past) {
  auto place =
      std::lower_bound(past->begin(), past->end(), version,
                       [](const PastVersion& a, const PastVersion& b) { return a.version < b.version; });
  past->insert(place, version);
  if (past->size() > kMostPast) past->erase(past->begin());
}

ItemJudgement JudgeOlder(const Item& item, const Record& standing) {
  using Kind = Judgement::Kind;
  for (const PastVersion& past : standing.past) {
    if (past.version != item.version) continue;
    return {past.digest == DigestOf(item) ? Kind::kStands : Kind::kRefused, false, {}};
  }
  bool cut = standing.past.size() >= kMostPast && item.version < standing.past.front().version;
  if (cut) return {Kind::kUnknowable, false, {}};
  // Never taken: it changes nothing, but from now on its number is confirmed to this content only.
  ItemJudgement judgement{Kind::kChanges, false, standing};
  Remember({item.version, DigestOf(item)}, &judgement.record.past);
  return judgement;
}

}  // namespace

ItemJudgement JudgeItem(const Item& item, const Record* standing, bool keep_past) {
  using Kind = Judgement::Kind;
  if (!standing) return {Kind::kChanges, true, {item, 0, {}}};
  if (item.version > standing->item.version) {
    ItemJudgement judgement{Kind::kChanges, true, {item, 0, {}}};
    if (!keep_past) return judgement;
    judgement.record.past = standing->past;
    Remember({standing->item.version, DigestOf(standing->item)}, &judgement.record.past);
    return judgement;
  }
  if (!keep_past) return {Kind::kStands, false, {}};
  if (item.version < standing->item.version) return JudgeOlder(item, *standing);
  return {SameContent(item, standing->item) ? Kind::kStands : Kind::kRefused, false, {}};
}

}  // namespace ivygw::replication
