#include "config_store/configuration_policy.h"

#include <cstdio>

namespace ivygw::config_store {

using replication::Evaluation;
using replication::Item;
using replication::ItemEvaluation;
using replication::RejectionCode;

namespace {

// Formats a version as callers write it.
std::string VersionText(uint64_t version) {
  char text[24];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version));
  return text;
}

Evaluation Rejected(RejectionCode code, std::string field, std::string message) {
  Evaluation evaluation;
  evaluation.kind = Evaluation::Kind::kRejected;
  evaluation.rejection = {code, std::move(field), std::move(message)};
  return evaluation;
}

}  // namespace

Evaluation ConfigurationPolicy::Evaluate(const std::vector<Item>& items,
                                         const replication::TableOverlay& overlay) const {
  Evaluation evaluation;
  bool indeterminate = false;
  for (const Item& item : items) {
    ItemEvaluation one = replication::EvaluateItem(item, overlay.Find(item.key), true);
    switch (one.kind) {
      case Evaluation::Kind::kRejected:
        return Rejected(
            RejectionCode::kConflict, item.key,
            "config_version: " + VersionText(item.version) + " has been confirmed with another content");
      case Evaluation::Kind::kIndeterminate: indeterminate = true; break;
      case Evaluation::Kind::kApply: evaluation.records.push_back(std::move(one.record)); break;
      case Evaluation::Kind::kAlreadyApplied: break;
    }
  }
  if (indeterminate) {
    evaluation.records.clear();
    evaluation.kind = Evaluation::Kind::kIndeterminate;
    return evaluation;
  }
  if (evaluation.records.empty()) return evaluation;
  if (config_model::Fault fault = config_model::CheckChange({items}, index_); !fault.empty()) {
    return Rejected(RejectionCode::kInvalid, "", fault);
  }
  evaluation.kind = Evaluation::Kind::kApply;
  return evaluation;
}

}  // namespace ivygw::config_store
