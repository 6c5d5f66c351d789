#include "config_store/configuration_policy.h"

#include <cstdio>

namespace ivygw::config_store {

using replication::Item;
using replication::ItemJudgement;
using replication::Judgement;
using replication::RefusalCode;

namespace {

// As callers write versions.
std::string VersionText(uint64_t version) {
  char text[24];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version));
  return text;
}

Judgement Refused(RefusalCode code, std::string field, std::string message) {
  Judgement judgement;
  judgement.kind = Judgement::Kind::kRefused;
  judgement.refusal = {code, std::move(field), std::move(message)};
  return judgement;
}

}  // namespace

Judgement ConfigurationPolicy::Judge(const std::vector<Item>& items,
                                     const replication::TableOverlay& overlay) const {
  Judgement judgement;
  bool unknowable = false;
  for (const Item& item : items) {
    ItemJudgement one = replication::JudgeItem(item, overlay.Find(item.key), true);
    switch (one.kind) {
      case Judgement::Kind::kRefused:
        return Refused(
            RefusalCode::kConflict, item.key,
            "config_version: " + VersionText(item.version) + " has been confirmed with another content");
      case Judgement::Kind::kUnknowable: unknowable = true; break;
      case Judgement::Kind::kChanges: judgement.records.push_back(std::move(one.record)); break;
      case Judgement::Kind::kStands: break;
    }
  }
  if (unknowable) {
    judgement.records.clear();
    judgement.kind = Judgement::Kind::kUnknowable;
    return judgement;
  }
  if (judgement.records.empty()) return judgement;
  if (config_model::Fault fault = config_model::CheckChange({items}, index_); !fault.empty()) {
    return Refused(RefusalCode::kInvalid, "", fault);
  }
  judgement.kind = Judgement::Kind::kChanges;
  return judgement;
}

}  // namespace ivygw::config_store
