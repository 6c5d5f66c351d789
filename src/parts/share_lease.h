// Leases of shares of one customer's rate limit, held by one gateway. Gateways coordinate through the shared
// engine (shared/engine.h), a key-value store that all of them use. Each gateway holds a share according to
// its demand for the time of a lease, and all valid shares add up to at most one, under any loss, delay,
// duplication or pause. No clock and no I/O: each event carries its time (seconds of a monotonic clock of
// this gateway), and calls to the engine are returned with ids. Not thread-safe.
//
// Protocol: all leases of a customer are stored under one key prefix, next to a guard entry that every change
// of a share writes. A gateway that wants another share reads the whole prefix, then writes its own record
// and the guard on condition that the guard is unchanged. Changes of one customer's shares are therefore
// serialized, and each leaves a sum of at most one. A lease ends by the engine's clock; its holder stops
// using the share earlier, by a safety margin on its own clock. A reduction takes effect locally before it is
// requested, an increase only once it is confirmed. A gateway that finds its record gone before the lease has
// ended knows that the engine has lost writes, and requests nothing for the time of a lease, since the shares
// of others may be lost as well.
//
// Allocation: max-min fair over the demands that gateways report: no gateway gets more while another that
// wants more has less. A share holds at least the largest request. If not all gateways that ask can have that
// much, as many as fit hold a share in turns, in the order in which they began to wait. What exceeds the
// demands is divided evenly among the gateways that ask.
//
// A share that grows brings no burst with it: the added part of the bucket starts empty, so that a burst
// never passes twice (CeilingLimiter::Initialize).
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

// A gateway's lease record as stored in the engine.
struct ShareLease {
  double share = 0;   // of the part of the limit that is leased, 0 to 1; 0: waiting for a share
  double demand = 0;  // the share that the gateway could use
  // The engine's revision at which the gateway began to wait or to hold its turn; 0: not known yet.
  uint64_t waiting_since = 0;
};
std::string SerializeShareLease(const ShareLease& lease);
// Text in any other format is parsed as a lease with share 1: nothing is allocated until that entry is gone.
ShareLease ParseShareLease(const std::string& text);

// Max-min fair shares of all leases with a demand, in the order given (0 for the others); each is 0 or at
// least `min_share`, and they add up to at most one. If not all can have `min_share`, those with the smallest
// `waiting_since` come first.
std::vector<double> MaxMinFairShares(const std::vector<ShareLease>& leases, double min_share);

struct ShareLeaseOptions {
  std::string customer, boot_id;           // boot_id: globally unique id of this run of the gateway's process
  double lease_s = 3, clock_margin = 0.1;  // clock_margin: fraction of the lease given up for clock drift
  double min_share = 0.01;                 // the share that holds the largest request
  double turn_s = 6;                       // how long a turn lasts while other gateways wait
  double idle_s = 10;                      // time without demand after which a share is released
};

class ShareLeaseClient {
 public:
  struct OutgoingCall {
    uint64_t id = 0;
    shared::Call call;
  };
  using OutgoingCalls = std::vector<OutgoingCall>;
  // Returns the condition on the engine's entries that holds while this gateway is a member of the fleet, or
  // nothing while its membership is uncertain. Each write is made on this condition.
  using MembershipCheck = std::function<std::optional<shared::Condition>(double now)>;

  ShareLeaseClient(ShareLeaseOptions options, MembershipCheck membership)
      : options_(std::move(options)), membership_check_(std::move(membership)) {}
  ShareLeaseClient(const ShareLeaseClient& other, MembershipCheck membership) : ShareLeaseClient(other) {
    membership_check_ = std::move(membership);
  }  // copies the client's state, for tests that search its state space

  // Reports the share, from 0 to 1, that this gateway could use now.
  void SetDemand(double share, double now, OutgoingCalls* out);
  void OnTimer(double now, OutgoingCalls* out);
  void OnReply(double now, uint64_t id, const shared::Reply& reply, OutgoingCalls* out);
  double NextDue() const;
  // Gives up the share at once and asks the engine to remove the lease record. No share is requested
  // afterwards.
  void Release(double now, OutgoingCalls* out);

  // The share that may be used now, and until when.
  double Share(double now) const { return now < valid_until_ ? share_ : 0; }
  double ValidUntil() const { return valid_until_; }
  bool IsWaiting() const { return lease_.demand > 0 && lease_.share <= 0; }
  uint64_t conflicts() const { return conflicts_; }
  uint64_t calls_made() const { return last_id_; }
  uint64_t highest_revision = 0;  // the highest revision seen in any reply

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
  double share_ = 0, valid_until_ = -1;  // the share that this gateway may use, and until when
  // The record last known to be in the engine, and the one that the pending call writes.
  ShareLease lease_, pending_lease_;
  uint64_t version_ = 0;  // of this gateway's record; 0: none is known to exist
  double turn_started_at_ = -1;
  double record_expected_until_ = -1;  // until then this gateway's record must exist in the engine
  double backoff_until_ = -1;          // until then nothing is requested
  CallType pending_type_ = CallType::kNone;
  uint64_t pending_id_ = 0, last_id_ = 0, conflicts_ = 0;
  double sent_at_ = 0, next_due_ = 0;
  bool released_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_SHARE_LEASE_H_
