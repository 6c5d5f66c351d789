#include "parts/share_lease_manager.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ivygw::parts {
namespace {
constexpr double kNever = 1e300;
// Ratio of the requested share to the known demand, which lags behind the current demand.
constexpr double kDemandHeadroom = 1.25;
// How long a pending call is waited for after the demand has ended, in lease durations. The engine's own
// timeout is shorter.
constexpr double kReplyGraceLeases = 2;

std::string CustomerKey(uint64_t customer) {
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(customer));
  return text;
}
}  // namespace

void ShareLeaseManager::OnRequest(double now, uint64_t customer, double units, const CeilingParams& ceiling,
                                  OutgoingCalls* out) {
  if (released_) return;
  auto it = customers_.find(customer);
  double leased_rate = ceiling.rate * ceiling.LocalFraction(),
         leased_burst = ceiling.burst * ceiling.LocalFraction();
  if (leased_rate <= 0 || leased_burst <= 0) return;
  if (it == customers_.end()) {
    if (customers_.size() >= options_.max_customers) {
      ++rejected_;
      return;
    }
    ShareLeaseOptions options;
    options.customer = CustomerKey(customer);
    options.boot_id = options_.boot_id;
    options.lease_s = options_.lease_s;
    options.clock_margin = options_.clock_margin;
    options.turn_s = options_.turn_s;
    options.idle_s = DemandWindowS();
    options.min_share = std::clamp(ceiling.max_request_units / leased_burst, 1e-4, 1.0);
    it = customers_.emplace(customer, CustomerLease()).first;
    it->second.client = std::make_unique<ShareLeaseClient>(std::move(options), membership_check_);
    it->second.last_request_at = now;
  }
  CustomerLease& entry = it->second;
  entry.demand_rate =
      entry.demand_rate * std::exp(-std::max(0.0, now - entry.last_request_at) / DemandWindowS()) +
      units / DemandWindowS();
  entry.last_request_at = now;
  ShareLeaseClient::OutgoingCalls calls;
  entry.client->SetDemand(std::clamp(kDemandHeadroom * entry.demand_rate / leased_rate, 1e-6, 1.0), now,
                          &calls);
  CollectCalls(customer, &calls, out);
}

void ShareLeaseManager::OnTimer(double now, OutgoingCalls* out) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    ShareLeaseClient::OutgoingCalls calls;
    if (now > it->second.last_request_at + DemandWindowS()) it->second.client->SetDemand(0, now, &calls);
    it->second.client->OnTimer(now, &calls);
    CollectCalls(it->first, &calls, out);
    // Drops a customer that has no share, no demand and no pending call. A later request of the customer
    // starts from scratch.
    bool idle = now > it->second.last_request_at + DemandWindowS() + kReplyGraceLeases * options_.lease_s &&
                it->second.client->NextDue() >= kNever;
    if (!idle) {
      ++it;
      continue;
    }
    conflicts_ += it->second.client->conflicts();
    if (it->second.reported_share > 0) removed_.push_back({it->first, 0, now});
    it = customers_.erase(it);
  }
}

void ShareLeaseManager::OnReply(double now, uint64_t customer, uint64_t id, const shared::Reply& reply,
                                OutgoingCalls* out) {
  --pending_calls_;
  auto it = customers_.find(customer);
  if (it == customers_.end()) return;
  ShareLeaseClient::OutgoingCalls calls;
  it->second.client->OnReply(now, id, reply, &calls);
  CollectCalls(customer, &calls, out);
}

void ShareLeaseManager::ReleaseAll(double now, OutgoingCalls* out) {
  released_ = true;
  for (auto& [customer, customer_lease] : customers_) {
    ShareLeaseClient::OutgoingCalls calls;
    customer_lease.client->Release(now, &calls);
    CollectCalls(customer, &calls, out);
  }
}

void ShareLeaseManager::CollectCalls(uint64_t customer, ShareLeaseClient::OutgoingCalls* calls,
                                     OutgoingCalls* out) {
  for (ShareLeaseClient::OutgoingCall& call : *calls) {
    ++pending_calls_;
    ++calls_made_;
    out->push_back({customer, call.id, std::move(call.call)});
  }
}

std::vector<ShareLeaseManager::ShareUpdate> ShareLeaseManager::TakeUpdates(double now) {
  std::vector<ShareUpdate> out = std::exchange(removed_, {});
  for (auto& [customer, entry] : customers_) {
    double share = entry.client->Share(now), valid_until = entry.client->ValidUntil();
    if (share == entry.reported_share && (share <= 0 || valid_until == entry.reported_until)) continue;
    entry.reported_share = share;
    entry.reported_until = valid_until;
    out.push_back({customer, share, valid_until});
  }
  return out;
}

double ShareLeaseManager::NextDue() const {
  double due = kNever;
  for (const auto& [customer, entry] : customers_) {
    due = std::min(due, entry.client->NextDue());
    if (entry.reported_share > 0) due = std::min(due, entry.reported_until);
    if (entry.client->NextDue() >= kNever)
      due = std::min(due,
                     entry.last_request_at + DemandWindowS() + kReplyGraceLeases * options_.lease_s + 1e-3);
  }
  return due;
}

ShareLeaseManager::Stats ShareLeaseManager::stats() const {
  Stats stats;
  stats.customers = customers_.size();
  stats.conflicts = conflicts_;
  stats.rejected = rejected_;
  for (const auto& [customer, entry] : customers_) {
    stats.held += entry.reported_share > 0;
    stats.shares += entry.reported_share;
    stats.waiting += entry.client->IsWaiting();
    stats.conflicts += entry.client->conflicts();
  }
  return stats;
}

}  // namespace ivygw::parts
