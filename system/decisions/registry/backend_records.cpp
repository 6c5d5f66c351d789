#include "registry/backend_records.h"

namespace ivygw::registry {

using discovery::Backend;
using messages::Item;
using replication::Evaluation;

namespace {

constexpr char kExpiredBody[] = "silent";  // body of an expired backend's tombstone

bool IsBackend(const Item& item) { return item.key.starts_with(kBackendPrefix); }
bool HasExpired(const Item& item) { return item.dropped && item.body == kExpiredBody; }

bool IsDraining(const Item& item) {
  Backend backend;
  return !item.dropped && discovery::ParseBackend(item.body, &backend).empty() && backend.draining;
}

// Whether `item`, whose version is higher than that of `committed`, would make a deregistered backend return
// or a draining one ready again. A backend that has only expired may return.
bool WouldRevive(const Item& item, const Item& committed) {
  if (!IsBackend(item) || item.dropped) return false;
  if (committed.dropped) return !HasExpired(committed);
  return IsDraining(committed) && !IsDraining(item);
}

// Whether a heartbeat changes nothing that other processes use.
bool SameState(const Backend& a, const Backend& b) {
  return a.service == b.service && a.address == b.address && a.slot_count == b.slot_count &&
         a.draining == b.draining && (a.warmup_left_ms > 0) == (b.warmup_left_ms > 0);
}

// Whether a heartbeat must not change the committed item: the item is a tombstone, its version is not lower
// than the heartbeat's sequence number, or the heartbeat would make a draining backend ready again.
// OnHeartbeat does not call this for an expired backend that returns with a higher sequence number.
bool IsOutdated(const Backend& reported, const Item& committed, const Backend& known) {
  return committed.dropped || committed.version >= reported.sequence ||
         (known.draining && !reported.draining);
}

}  // namespace

BackendUpdate OnHeartbeat(const Backend& reported, const Item* committed) {
  BackendUpdate update;
  update.wait_for_commit = reported.draining;
  bool returns = committed && HasExpired(*committed) && reported.sequence > committed->version;
  if (committed && !returns) {
    Backend known;
    discovery::ParseBackend(committed->body, &known);
    if (IsOutdated(reported, *committed, known) || SameState(reported, known)) {
      update.item = *committed;
      return update;
    }
  }
  update.item.key = kBackendPrefix + reported.id;
  update.item.version = reported.sequence;
  update.item.body = discovery::FormatBackend(reported);
  update.write = true;
  return update;
}

Item OnExpired(const Item& committed) { return {committed.key, committed.version + 1, true, kExpiredBody}; }

BackendUpdate OnDeregister(const std::string& id, const Item* committed) {
  BackendUpdate update;
  update.wait_for_commit = true;
  if (committed && committed->dropped && !HasExpired(*committed)) {
    update.item = *committed;
    return update;
  }
  update.item.key = kBackendPrefix + id;
  update.item.version = kDeregisteredVersion;
  update.item.dropped = true;
  update.write = true;
  return update;
}

Evaluation RegistryPolicy::Evaluate(const std::vector<Item>& items,
                                    const replication::TableOverlay& overlay) const {
  Evaluation evaluation;
  for (const Item& item : items) {
    const replication::Record* committed = overlay.Find(item.key);
    replication::ItemEvaluation evaluated = replication::EvaluateItem(item, committed, false);
    bool applies =
        evaluated.kind == Evaluation::Kind::kApply && !(committed && WouldRevive(item, committed->item));
    if (applies) evaluation.records.push_back(std::move(evaluated.record));
  }
  if (!evaluation.records.empty()) evaluation.kind = Evaluation::Kind::kApply;
  return evaluation;
}

}  // namespace ivygw::registry
