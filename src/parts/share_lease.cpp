#include "parts/share_lease.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace ivygw::parts {
namespace {
constexpr double kNever = 1e300;
constexpr double kShareEpsilon = 1e-9;      // rounding tolerance of shares
constexpr double kSharePrecision = 1e9;     // a share is stored with nine decimals
constexpr double kMinRelativeChange = 0.1;  // smaller changes of a share or demand are not written
}  // namespace

std::string SerializeShareLease(const ShareLease& lease) {
  char text[80];
  std::snprintf(text, sizeof(text), "1 %.9f %.9f %llu", lease.share, lease.demand,
                static_cast<unsigned long long>(lease.waiting_since));
  return text;
}

ShareLease ParseShareLease(const std::string& text) {
  ShareLease lease;
  int format_version = 0, consumed = 0;
  unsigned long long waiting_since = 0;
  bool read = std::sscanf(text.c_str(), "%d %lf %lf %llu%n", &format_version, &lease.share, &lease.demand,
                          &waiting_since, &consumed) == 4 &&
              format_version == 1 && static_cast<size_t>(consumed) == text.size() && lease.share >= 0 &&
              lease.share <= 1 && lease.demand >= 0 && lease.demand <= 1;
  if (!read) return {1, 1, 0};
  lease.waiting_since = waiting_since;
  return lease;
}

std::vector<double> MaxMinFairShares(const std::vector<ShareLease>& leases, double min_share) {
  std::vector<double> shares(leases.size(), 0);
  std::vector<size_t> requesting;
  for (size_t i = 0; i < leases.size(); ++i) {
    if (leases[i].demand > 0) requesting.push_back(i);
  }
  if (requesting.empty()) return shares;
  min_share = std::clamp(min_share, kShareEpsilon, 1.0);
  size_t max_holders = static_cast<size_t>(std::floor(1 / min_share + kShareEpsilon));
  if (requesting.size() > max_holders) {
    std::stable_sort(requesting.begin(), requesting.end(), [&](size_t a, size_t b) {
      auto key = [&](size_t i) {
        return leases[i].waiting_since == 0 ? UINT64_MAX : leases[i].waiting_since;
      };
      return key(a) < key(b);
    });
    requesting.resize(max_holders);
  }
  // Water filling: each gets the minimum, then each gets up to its demand, starting with the smallest demand,
  // and then the rest is divided evenly.
  double remaining = 1 - min_share * static_cast<double>(requesting.size());
  for (size_t i : requesting) shares[i] = min_share;
  std::vector<size_t> by_demand = requesting;
  std::stable_sort(by_demand.begin(), by_demand.end(),
                   [&](size_t a, size_t b) { return leases[a].demand < leases[b].demand; });
  for (size_t k = 0; k < by_demand.size() && remaining > 0; ++k) {
    size_t i = by_demand[k];
    double extra = std::min(std::max(0.0, leases[i].demand - min_share),
                            remaining / static_cast<double>(by_demand.size() - k));
    shares[i] += extra;
    remaining -= extra;
  }
  for (size_t i : requesting) shares[i] += std::max(0.0, remaining) / static_cast<double>(requesting.size());
  double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  if (sum > 1) {
    for (double& s : shares) s /= sum;
  }
  return shares;
}

double ShareLeaseClient::NextDue() const {
  if (released_ && pending_type_ == CallType::kNone) return kNever;
  if (pending_type_ == CallType::kNone && lease_.share <= 0 && version_ == 0 && demand_ <= 0) return kNever;
  return next_due_;
}

void ShareLeaseClient::SendCall(double now, CallType type, shared::Call call, OutgoingCalls* out) {
  call.batch.at_least = highest_revision;
  pending_type_ = type;
  pending_id_ = ++last_id_;
  sent_at_ = now;
  next_due_ = now + RefreshInterval();
  out->push_back({pending_id_, std::move(call)});
}

void ShareLeaseClient::SetDemand(double share, double now, OutgoingCalls* out) {
  bool first = demand_ <= 0 && share > 0;
  demand_ = std::clamp(share, 0.0, 1.0);
  if (demand_ > 0) last_demand_at_ = now;
  if (first && pending_type_ == CallType::kNone && !released_) ReadLeases(now, out);
}

void ShareLeaseClient::ReadLeases(double now, OutgoingCalls* out) {
  SendCall(now, CallType::kRead, shared::Range(KeyPrefix(options_.customer)), out);
}

void ShareLeaseClient::OnTimer(double now, OutgoingCalls* out) {
  ExpireShare(now);
  if (now < next_due_ || NextDue() >= kNever) return;
  // The pending call has timed out. The next read shows whether it took effect; until then the smaller of the
  // old and the requested share is used.
  if (pending_type_ == CallType::kWrite || pending_type_ == CallType::kRenew) version_ = 0;
  pending_type_ = CallType::kNone;
  pending_id_ = 0;
  if (released_ && version_ == 0 && lease_.share <= 0) return;
  ReadLeases(now, out);
}

void ShareLeaseClient::ExpireShare(double now) {
  if (valid_until_ >= 0 && now >= valid_until_) {
    share_ = 0;
    valid_until_ = -1;
    turn_started_at_ = -1;
  }
}

void ShareLeaseClient::OnReply(double now, uint64_t id, const shared::Reply& reply, OutgoingCalls* out) {
  highest_revision = std::max(highest_revision, reply.revision);
  if (id != pending_id_) return;
  pending_id_ = 0;
  ExpireShare(now);
  CallType was = std::exchange(pending_type_, CallType::kNone);
  next_due_ = now + RefreshInterval();
  if (was == CallType::kRead) return OnReadReply(now, reply, out);
  OnWriteReply(now, reply, out);
}

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
void ShareLeaseClient::OnReadReply(double now, const shared::Reply& reply, OutgoingCalls* out) {
  if (!reply.done()) {
    next_due_ = now + RefreshInterval() / 4;
    return;
  }
  uint64_t guard_version = 0;
  std::vector<ShareLease> leases = {ShareLease()};  // this gateway's lease comes first
  double others_share = 0;
  ShareLease own;
  uint64_t version = 0;
  std::optional<double> lease_left_s;
  for (const shared::Entry& e : reply.entries) {
    if (e.key == GuardKey()) {
      guard_version = e.version;
    } else if (e.key == RecordKey()) {
      own = ParseShareLease(e.value);
      version = e.version;
      lease_left_s = e.lease_left_s;
    } else {
      leases.push_back(ParseShareLease(e.value));
      others_share += leases.back().share;
    }
  }
  // The engine's record of this gateway may come from a write whose reply was lost, or may be gone because
  // its lease has ended. If the record is gone before that, the engine has lost writes, and nothing is
  // requested for the time of a lease.
  if (version == 0 && now < record_expected_until_ && !released_) backoff_until_ = now + options_.lease_s;
  if (version == 0) record_expected_until_ = -1;
  lease_ = own;
  version_ = version;
  if (version == 0) {
    share_ = 0;
    valid_until_ = -1;
    turn_started_at_ = -1;
  } else if (lease_left_s && valid_until_ < 0 && own.share > 0) {
    share_ = own.share;
    valid_until_ = sent_at_ + *lease_left_s - options_.lease_s * options_.clock_margin;
    turn_started_at_ = now;
  } else {
    share_ = std::min(share_, own.share);
  }
  std::optional<shared::Condition> membership = membership_check_(now);
  if (!membership || (now < backoff_until_ && version == 0)) return;
  bool has_demand = demand_ > 0 && now < last_demand_at_ + options_.idle_s && !released_;
  if (!has_demand && version == 0) return;
  leases[0] = {own.share, has_demand ? demand_ : 0, own.waiting_since};
  std::vector<double> fair_shares = MaxMinFairShares(leases, options_.min_share);
  double target = fair_shares[0];
  bool take_turns = options_.min_share *
                        static_cast<double>(std::count_if(leases.begin(), leases.end(),
                                                          [](const ShareLease& l) { return l.demand > 0; })) >
                    1;
  // A turn lasts its full time even if another gateway has waited longer, and ends only if another gateway
  // is waiting.
  bool waiting = std::any_of(leases.begin() + 1, leases.end(),
                             [](const ShareLease& l) { return l.demand > 0 && l.share <= 0; });
  bool turn_over = take_turns && waiting && own.share > 0 && turn_started_at_ >= 0 &&
                   now >= turn_started_at_ + options_.turn_s;
  if (take_turns && own.share > 0 && has_demand)
    target = turn_over ? 0 : std::max(target, std::min(own.share, options_.min_share));
  double unallocated = std::max(0.0, 1 - others_share - kShareEpsilon);
  double share = std::min(target, std::max(unallocated, 0.0));
  if (share < options_.min_share - kShareEpsilon && share < target)
    share = std::min(own.share, target);  // the unallocated part is too small to hold a request
  share = std::floor(std::min(share, std::max(0.0, 1 - others_share)) * kSharePrecision) /
          kSharePrecision;  // rounded down to the stored precision
  ShareLease next{share, has_demand ? demand_ : 0,
                  turn_over || own.waiting_since == 0 ? reply.revision + 1 : own.waiting_since};
  // Other gateways need to know only of a change of the share or the demand by more than kMinRelativeChange;
  // otherwise the lease is just renewed.
  auto differs = [](double a, double b) { return std::fabs(a - b) > kMinRelativeChange * std::max(a, b); };
  bool remove = !has_demand && share <= 0;
  bool write = remove || version == 0 || differs(share, own.share) || differs(next.demand, own.demand);
  shared::Batch batch;
  batch.conditions.push_back(*membership);
  batch.conditions.push_back({RecordKey(), version});
  pending_lease_ = next;
  if (!write) {
    pending_lease_ = own;
    batch.changes.push_back(shared::Renew(RecordKey(), options_.lease_s));
    return SendCall(now, CallType::kRenew, shared::Commit(std::move(batch)), out);
  }
  share_ = std::min(share_, share);  // a reduction takes effect before it is requested
  batch.conditions.push_back({GuardKey(), guard_version});
  batch.changes.push_back(shared::Put(GuardKey(), ""));
  batch.changes.push_back(remove ? shared::Remove(RecordKey())
                                 : shared::Put(RecordKey(), SerializeShareLease(next), options_.lease_s));
  SendCall(now, CallType::kWrite, shared::Commit(std::move(batch)), out);
}

void ShareLeaseClient::OnWriteReply(double now, const shared::Reply& reply, OutgoingCalls* out) {
  if (!reply.done()) {
    conflicts_ += reply.fault == shared::Fault::kConflict;
    version_ = 0;
    next_due_ =
        now + (reply.fault == shared::Fault::kConflict ? 0.02 * options_.lease_s : RefreshInterval() / 4);
    return;
  }
  (void)out;
  if (pending_lease_.share <= 0 && pending_lease_.demand <= 0) {
    lease_ = ShareLease();
    version_ = 0;
    share_ = 0;
    valid_until_ = record_expected_until_ = -1;
    return;
  }
  bool acquired = pending_lease_.share > 0 && lease_.share <= 0;
  if (acquired) turn_started_at_ = now;
  lease_ = pending_lease_;
  if (version_ == 0 || reply.revision > version_) version_ = std::max<uint64_t>(1, reply.revision);
  share_ = lease_.share;
  valid_until_ = std::max(valid_until_, sent_at_ + options_.lease_s * (1 - options_.clock_margin));
  record_expected_until_ = sent_at_ + options_.lease_s * (1 - options_.clock_margin);
  if (share_ <= 0) valid_until_ = -1;
}

void ShareLeaseClient::Release(double now, OutgoingCalls* out) {
  released_ = true;
  demand_ = 0;
  share_ = 0;
  if (pending_type_ == CallType::kNone) ReadLeases(now, out);
}

std::string ShareLeaseClient::Fingerprint(double now) const {
  auto ahead = [now](double t) {
    return t < 0 ? std::string("-") : std::to_string(std::lround(std::clamp((t - now) * 20, -200.0, 200.0)));
  };
  return std::to_string(std::lround(share_ * 1e4)) + "," + ahead(valid_until_) + "," +
         SerializeShareLease(lease_) + "," + SerializeShareLease(pending_lease_) + ",@" +
         std::to_string(version_) + "," + ahead(turn_started_at_) + "," +
         std::to_string(static_cast<int>(pending_type_)) + "," + ahead(next_due_) + "," + ahead(sent_at_) +
         "," + std::to_string(pending_id_ != 0) + "," + ahead(record_expected_until_) + "," +
         ahead(backoff_until_) + "," + std::to_string(std::lround(demand_ * 1e4)) + (released_ ? "o" : "");
}

}  // namespace ivygw::parts
