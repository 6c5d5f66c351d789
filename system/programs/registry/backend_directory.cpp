#include "registry/backend_directory.h"

#include "config_model/json.h"
#include "process/log.h"

namespace ivygw::registry {

using config_model::ErrorBody;
using discovery::Backend;
using messages::Item;
using process::Log;
using replication::Outcome;

namespace {

constexpr Duration kTombstoneAge{60};  // for which it is known that a backend has been removed
constexpr size_t kMaxPrunedAtOnce = 256;
constexpr char kEmptyObject[] = "{}";

}  // namespace

void BackendDirectory::Heartbeat(const std::string& id, const std::string& body, Answer answer) {
  Backend reported;
  reported.id = id;
  if (std::string fault = discovery::ParseHeartbeat(body, &reported); !fault.empty()) {
    Log("beat_refused").Add("backend", id).Add("fault", fault);
    return answer(400, ErrorBody(fault));
  }
  tracker_.OnHeartbeat(node_.Now(), id);
  if (!node_.HasQuorumContact()) return answer(503, ErrorBody(kNoQuorumContact));
  BackendUpdate update = OnHeartbeat(reported, Find(kBackendPrefix + id));
  if (update.write) {
    Log("backend")
        .Add("id", id)
        .Add("service", reported.service)
        .Add("address", reported.address)
        .Add("draining", reported.draining)
        .Add("warm_ms", reported.warmup_left_ms);
  }
  Write(update, std::move(answer));
}

void BackendDirectory::Deregister(const std::string& id, Answer answer) {
  if (!node_.HasQuorumContact()) return answer(503, ErrorBody(kNoQuorumContact));
  Log("backend_gone").Add("id", id);
  Write(OnDeregister(id, Find(kBackendPrefix + id)), std::move(answer));
}

const Item* BackendDirectory::Find(const std::string& key) const {
  const messages::Record* record = node_.replica().table().Find(key);
  return record ? &record->item : nullptr;
}

// Gateways are told at once, as it is the backend's own report; the backend gets its 200 at once only where
// nobody relies on it.
void BackendDirectory::Write(const BackendUpdate& update, Answer answer) {
  if (!update.write || !update.wait_for_commit) answer(200, kEmptyObject);
  if (!update.write) return;
  node_.PushProvisional(update.item);
  node_.Write({update.item}, [answer = std::move(answer),
                              waits = update.wait_for_commit](const replication::Completion& completion) {
    if (!waits) return;
    if (completion.outcome == Outcome::kDone) return answer(200, kEmptyObject);
    answer(503, ErrorBody("not confirmed by a majority of the core"));
  });
}

// One core writes it, so that no two write the same.
void BackendDirectory::ExpireSilent(TimePoint now) {
  std::vector<std::string> ids;
  for (const auto& [key, record] : node_.replica().table().records()) {
    if (key.starts_with(kBackendPrefix) && !record.item.dropped)
      ids.push_back(key.substr(sizeof(kBackendPrefix) - 1));
  }
  std::vector<std::string> expired = tracker_.Expired(now, ids, node_.OtherCores());
  if (!node_.IsFirstReachableMember()) return;
  for (const std::string& id : expired) {
    Log("backend_silent").Add("id", id);
    tracker_.Forget(id);
    node_.Write({OnExpired(*Find(kBackendPrefix + id))}, [](const replication::Completion&) {});
  }
}

void BackendDirectory::PruneTombstones(TimePoint now) {
  std::vector<Item> old;
  std::map<std::string, Tombstone> seen;
  for (const auto& [key, record] : node_.replica().table().records()) {
    if (!record.item.dropped) continue;
    auto before = tombstones_.find(key);
    bool same = before != tombstones_.end() && before->second.version == record.item.version;
    Tombstone tombstone{record.item.version, same ? before->second.since : now};
    if (now >= tombstone.since + kTombstoneAge && old.size() < kMaxPrunedAtOnce) old.push_back(record.item);
    seen.emplace(key, tombstone);
  }
  tombstones_ = std::move(seen);
  if (!old.empty() && node_.IsFirstReachableMember()) node_.Prune(old);
}

}  // namespace ivygw::registry
