// One gateway's borrowing of parts of one customer's allowance, over an engine that gateways share: each
// holds a share for a lease, by need, and all shares that are valid add up to one at the most, whatever is
// lost, late, doubled or paused. Pure: the time of each event is told (seconds of one monotonic clock of this
// gateway), calls to the engine come out with numbers. One thread.
//
// How. All loans of a customer lie under one prefix, beside a ledger entry that every change of a share
// writes. Who wants another share reads them all at once and writes its own and the ledger entry on condition
// that the latter is as it was read: changes of one customer's shares are one after another, and each leaves
// a sum of one at most. A loan ends with its lease by the engine's clock; its holder stops a margin earlier
// by its own. Giving back takes effect here before it is asked for, taking only when it is known to be done.
// Who finds its entry gone before its time knows that the engine has lost writes, and asks for nothing for a
// lease: what others hold may be forgotten too.
//
// How much. Max-min fair over what each says that it needs: nobody gets more while another that wants more
// has less. A share holds the largest request at least; where not all who ask can have that much, as many as
// can take turns, in the order in which they began to wait. What nobody needs is spread evenly over those who
// ask.
//
// A share that grows brings no store with it: what it lets pass in a burst begins from nought, so that a
// burst never passes twice (Ceiling::Begin).
#ifndef IVYGW_PARTS_SHARE_LEASE_H_
#define IVYGW_PARTS_SHARE_LEASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shared/engine.h"

namespace ivygw::parts {

// A loan as it stands in the engine.
struct ShareLease {
  double share = 0;            // of the whole, 0 to 1; 0: it waits for one
  double demand = 0;           // share that it could use
  uint64_t waiting_since = 0;  // revision from which it has waited, or held its turn; 0: not known yet
};
std::string SerializeShareLease(const ShareLease& lease);
// What is no loan of this form counts as one that holds all: nothing is lent until it has gone.
ShareLease ParseShareLease(const std::string& text);

// The shares that all who ask are to have, in the order given: max-min fair, `least` or nothing each. Sums to
// one at most. Where `least` does not go round, those with the smallest `since` come first.
std::vector<double> MaxMinFairShares(const std::vector<ShareLease>& leases, double min_share);

struct ShareLeaseOptions {
  std::string customer, boot_id;  // of this gateway's start, unique for ever
  double lease_s = 3, clock_margin = 0.1;
  double min_share = 0.01;  // share that holds the largest request
  double turn_s = 6;        // for which a turn is held where others wait
  double idle_s = 10;       // without need a share is given back
};

class ShareLeaseClient {
 public:
  struct OutgoingCall {
    uint64_t id = 0;
    shared::Call call;
  };
  using OutgoingCalls = std::vector<OutgoingCall>;
  // The condition that this gateway's place is its own; none while it is not sure of it.
  using MembershipCheck = std::function<std::optional<shared::Condition>(double now)>;

  ShareLeaseClient(ShareLeaseOptions options, MembershipCheck membership)
      : options_(std::move(options)), membership_check_(std::move(membership)) {}
  ShareLeaseClient(const ShareLeaseClient& other, MembershipCheck membership) : ShareLeaseClient(other) {
    membership_check_ = std::move(membership);
  }  // for searches

  // What it could use now, as a share of the whole.
  void SetDemand(double share, double now, OutgoingCalls* out);
  void OnTimer(double now, OutgoingCalls* out);
  void OnReply(double now, uint64_t id, const shared::Reply& reply, OutgoingCalls* out);
  double NextDue() const;
  void Release(double now, OutgoingCalls* out);  // all, for good

  // The share that may be used now.
  double Share(double now) const { return now < valid_until_ ? share_ : 0; }
  double ValidUntil() const { return valid_until_; }  // of that share
  bool IsWaiting() const { return lease_.demand > 0 && lease_.share <= 0; }
  uint64_t conflicts() const { return conflicts_; }
  uint64_t calls_made() const { return last_id_; }
  uint64_t highest_revision = 0;  // revision heard of

  static std::string KeyPrefix(const std::string& customer) { return "loan/" + customer + "/"; }
  std::string Fingerprint(double now) const;

 private:
  enum class CallType { kNone, kRead, kWrite, kRenew };
  ShareLeaseClient(const ShareLeaseClient&) = default;
  std::string RecordKey() const { return KeyPrefix(options_.customer) + options_.boot_id; }
  std::string GuardKey() const { return KeyPrefix(options_.customer) + "!"; }
  double RefreshInterval() const { return options_.lease_s / 3; }
  void SendCall(double now, CallType type, shared::Call call, OutgoingCalls* out);
  void ReadLeases(double now, OutgoingCalls* out);
  void OnReadReply(double now, const shared::Reply& reply, OutgoingCalls* out);
  void OnWriteReply(double now, const shared::Reply& reply, OutgoingCalls* out);
  void ExpireShare(double now);

  const ShareLeaseOptions options_;
  MembershipCheck membership_check_;
  double demand_ = 0, last_demand_at_ = -1e9;
  double share_ = 0, valid_until_ = -1;  // as it may be used here
  ShareLease lease_, pending_lease_;     // as last known in the engine; as written by the call that is out
  uint64_t version_ = 0;                 // of its entry; 0: there is none, as far as is known
  double turn_started_at_ = -1;          // its turn
  double record_expected_until_ = -1,
         backoff_until_ = -1;  // until when its entry must be there; until when nothing is asked for
  CallType pending_type_ = CallType::kNone;
  uint64_t pending_id_ = 0, last_id_ = 0, conflicts_ = 0;
  double sent_at_ = 0, next_due_ = 0;
  bool released_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_SHARE_LEASE_H_
