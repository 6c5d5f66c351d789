#include "registry/quota_leases.h"

#include <algorithm>
#include <vector>

#include "process/log.h"
#include "rate_limit/lease_terms.h"

namespace ivygw::registry {

using messages::Item;
using process::Log;
using replication::Outcome;

namespace {

constexpr uint64_t kReleaseInterval = 20;  // ticks, of some 0.1 s
// A gateway that has not reported for so long holds no more than what it retains; nothing.
constexpr Duration kHolderTerm{rate_limit::kLeaseTerm + 1};
constexpr Duration kRetainingTerm{rate_limit::kRetentionTerm + 1};
constexpr Duration kFirstMembersTimeout{5};
constexpr char kHolderPrefix[] = "holder/";
constexpr char kRetained[] = R"("retained")";  // body of a holder's record

}  // namespace

QuotaLeases::QuotaLeases(replicated_table::CoreNode* node, std::string address, bool first_boot)
    : node_(*node),
      address_(std::move(address)),
      first_boot_(first_boot),
      started_at_(node_.Now()),
      allocator_(SecondsOf(node_.Now()), first_boot),
      right_(node_.Now(), address_, node_.replica().store_id(), node_.replica().membership(),
             RecordedEpoch()) {}

std::string QuotaLeases::HolderKey(const std::string& gateway) const {
  return kHolderPrefix + address_ + "/" + gateway;
}
std::string QuotaLeases::AllocatorKey() const { return "lender/" + address_; }

const Item* QuotaLeases::Find(const std::string& key) const {
  const messages::Record* record = node_.replica().table().Find(key);
  return record ? &record->item : nullptr;
}

uint64_t QuotaLeases::RecordedEpoch() const {
  const Item* record = Find(AllocatorKey());
  return record ? record->version : 0;
}

void QuotaLeases::OnMembershipChanged() {
  right_.OnMembership(node_.Now(), node_.replica().membership(), RecordedEpoch(), NothingIsGranted());
}

bool QuotaLeases::AwaitsMembers(TimePoint now) const {
  return first_boot_ && node_.LacksMembers() && now < started_at_ + kFirstMembersTimeout;
}

bool QuotaLeases::NothingIsGranted() const {
  const auto& records = node_.replica().table().records();
  for (auto it = records.lower_bound(kHolderPrefix);
       it != records.end() && it->first.starts_with(kHolderPrefix); ++it) {
    if (!it->second.item.dropped) return false;
  }
  return true;
}

// A gateway is recorded as a holder on a majority's disks before anything is granted to it, so that a later
// incarnation of this core, with its disk or without, knows whom to wait for.
void QuotaLeases::OnUsageReport(uint64_t peer, const messages::UsageReport& report) {
  TimePoint now = node_.Now();
  auto subscriber = node_.subscribers().find(peer);
  if (subscriber == node_.subscribers().end() || !MayAllocate(now)) return;
  const std::string& gateway = subscriber->second.node;
  reported_at_[gateway] = now;
  if (!IsRecordedHolder(gateway)) return RecordHolder(gateway);
  size_t allocators = node_.replica().membership().members.size();
  node_.Send(
      peer, allocator_.OnReport(SecondsOf(now), gateway, subscriber->second.incarnation, report, allocators));
}

bool QuotaLeases::IsRecordedHolder(const std::string& gateway) const {
  const Item* record = Find(HolderKey(gateway));
  auto least = least_version_.find(gateway);
  return record && !record->dropped && record->body != kRetained &&
         (least == least_version_.end() || record->version >= least->second);
}

void QuotaLeases::RecordHolder(const std::string& gateway) {
  if (!writing_.insert(gateway).second) return;
  const Item* before = Find(HolderKey(gateway));
  auto least = least_version_.find(gateway);
  uint64_t version =
      std::max(before ? before->version + 1 : 1, least == least_version_.end() ? 1 : least->second);
  node_.Write({{HolderKey(gateway), version, false, ""}},
              [this, gateway](const replication::Completion&) { writing_.erase(gateway); });
}

std::optional<Item> QuotaLeases::NextHolderItem(const Item& standing, Duration silence) const {
  uint64_t version = standing.version + 1;
  if (standing.dropped || silence <= kHolderTerm) return std::nullopt;
  if (silence > kRetainingTerm) return Item{standing.key, version, true, ""};
  if (standing.body == kRetained) return std::nullopt;
  return Item{standing.key, version, false, kRetained};
}

// A later incarnation of this core need not wait for a gateway that holds nothing, and only in part for one
// that holds what it retains. It is granted something again only once it is recorded anew, whatever has
// become of this command.
void QuotaLeases::ReleaseExpiredHolders(TimePoint now) {
  std::string prefix = HolderKey("");
  const auto& records = node_.replica().table().records();
  std::vector<Item> changes;
  for (auto it = records.lower_bound(prefix); it != records.end() && it->first.starts_with(prefix); ++it) {
    std::string gateway = it->first.substr(prefix.size());
    TimePoint reported_at = reported_at_.try_emplace(gateway, now).first->second;
    if (writing_.count(gateway) > 0) continue;
    std::optional<Item> next = NextHolderItem(it->second.item, now - reported_at);
    if (!next) continue;
    least_version_[gateway] = next->version + 1;
    writing_.insert(gateway);
    changes.push_back(std::move(*next));
  }
  for (const Item& change : changes) {
    std::string gateway = change.key.substr(prefix.size());
    node_.Write({change}, [this, gateway](const replication::Completion&) { writing_.erase(gateway); });
  }
}

void QuotaLeases::OnTime(TimePoint now) {
  ++ticks_;
  allocator_.OnTime(SecondsOf(now));
  right_.OnRecordedEpoch(now, RecordedEpoch());
  allocator_.OnPredecessor(SecondsOf(right_.predecessor_retained_until()));
  if (MayAllocate(now)) {
    if (!holders_known_) ReadHolders();
    if (RecordedEpoch() < right_.epoch() && now >= right_.predecessor_retained_until()) RecordAllocation();
    if (holders_known_ && ticks_ % kReleaseInterval == 0) ReleaseExpiredHolders(now);
  }
  bool allocating = MayAllocate(now) && !allocator_.Recovering(SecondsOf(now));
  if (allocating == allocating_) return;
  allocating_ = allocating;
  Log(allocating ? "lending" : "lending_closed")
      .Add("awaited", allocator_.awaited_holder_count())
      .Add("epoch", right_.epoch());
}

// The holders of this address's grants, of any incarnation and any store.
void QuotaLeases::ReadHolders() {
  if (reading_holders_) return;
  reading_holders_ = true;
  node_.Read([this](const replication::Completion& completion) {
    reading_holders_ = false;
    if (completion.outcome != Outcome::kDone) return;
    holders_known_ = true;
    std::vector<std::string> holders, retaining;
    std::string prefix = HolderKey("");
    for (const auto& [key, record] : node_.replica().table().records()) {
      if (!key.starts_with(prefix) || record.item.dropped) continue;
      std::vector<std::string>& kind = record.item.body == kRetained ? retaining : holders;
      kind.push_back(key.substr(prefix.size()));
    }
    allocator_.OnLeaseHolders(holders, retaining);
  });
}

void QuotaLeases::RecordAllocation() {
  if (recording_allocation_) return;
  recording_allocation_ = true;
  node_.Write({{AllocatorKey(), right_.epoch(), false, ""}},
              [this](const replication::Completion&) { recording_allocation_ = false; });
}

}  // namespace ivygw::registry
