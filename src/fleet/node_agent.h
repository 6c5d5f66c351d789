// Connects one gateway to its fleet: drives its membership, its ledger of idempotent requests and its share
// leases, sends their calls to the shared engine (shared/engine.h), a key-value store that all gateways of
// the fleet use, and reports the results to the gateway. Has no I/O and no clock of its own: driven by an
// event loop (node.h) or by virtual time. Keeps no records beyond those of its three components. Not
// thread-safe.
#ifndef IVYGW_FLEET_NODE_AGENT_H_
#define IVYGW_FLEET_NODE_AGENT_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "gateway/fleet_port.h"
#include "ledger/book.h"
#include "membership/membership.h"
#include "parts/share_lease_manager.h"

namespace ivygw::fleet {

// What the agent needs from its host. Times are seconds of a monotonic clock of this gateway.
struct NodeAgentEnvironment {
  std::function<double()> now;
  std::function<double()> random_unit;  // uniform in [0, 1)
  // Replies once, asynchronously, and never after the agent has been destroyed.
  std::function<void(shared::Call, std::function<void(const shared::Reply&)>)> call_engine;
  // Runs the task later; never after the agent has been destroyed.
  std::function<void(std::function<void()>)> post;
  // Calls OnTimer at `due`. Replaces the timer set before, unless that one is due earlier.
  std::function<void(double due)> set_timer;
  std::function<void(const std::string& text)> log;
};

class NodeAgent : public FleetPort {
 public:
  // `boot`: globally unique id of this run of the process. `config` must have a section `fleet` and outlive
  // the agent.
  NodeAgent(const Config& config, const std::string& boot, FleetEvents events, NodeAgentEnvironment env);

  void Start();
  void OnTimer();

  void Asked(uint64_t customer, int plan, double units) override;
  void Take(const KeyedCall& call) override;
  void Held(uint64_t client, uint32_t request) override { book_.OnHeld(client, request); }
  bool Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) override;
  void AttemptOver(uint32_t request, int attempt, bool may_have_run) override {
    book_.OnAttemptEnded(env_.now(), request, attempt, may_have_run);
  }
  bool Answered(uint64_t client, int status, const std::string& type, const std::string& body) override;
  bool ClientGone(uint64_t client) override;
  void Serving() override;
  void Leaving() override;
  void Left(std::function<void()> done) override;
  std::string Figures() const override;
  std::string Members() const override;

  const membership::Membership& members() const { return membership_; }
  const ledger::Book& book() const { return book_; }

 private:
  std::optional<ledger::Book::Right> MembershipProof(double now) const;
  template <typename Event>
  void Dispatch(Event event);
  void CallEngine(shared::Call call, std::function<void(double, const shared::Reply&)> then);
  void OnEngineFailure(const shared::Reply& reply);
  void Apply(ledger::Ask& ask);
  void Apply(ledger::Admit& admit);
  void Apply(ledger::Tell& tell);
  void Apply(ledger::IntentTold& told);
  void Apply(ledger::Withdraw& withdraw);
  void Apply(ledger::Unrecorded& unrecorded);
  void Apply(ledger::Release& release);
  void ProcessShareLeases();
  void ApplyMembershipView();
  void ArmTimer();

  const Config& config_;
  const FleetEvents events_;
  const NodeAgentEnvironment env_;
  const std::string boot_id_;
  std::function<void()> on_left_;
  double leave_deadline_ = 1e300;
  bool serving_ = false, dispatching_ = false;
  membership::Membership membership_;
  ledger::Book book_;
  parts::ShareLeaseManager lease_manager_;
  membership::Asks membership_calls_;
  ledger::Decisions ledger_decisions_;
  parts::ShareLeaseManager::OutgoingCalls lease_calls_;
  std::pair<int, bool> reported_view_{0, true};
  membership::Phase phase_ = membership::Phase::kOut;
  uint64_t engine_losses_ = 0;
  // No share is requested before this time, which is one lease after this gateway joined the fleet or the
  // engine was found to have lost writes.
  double leases_allowed_from_ = 1e300;
  uint64_t membership_changes_ = 0, engine_failures_ = 0, ledger_call_count_ = 0;
  double last_failure_logged_at_ = -100;
  std::set<std::string> live_boots_;
};

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_NODE_AGENT_H_
