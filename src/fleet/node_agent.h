// One gateway of a fleet without I/O or clock of its own: its membership and its ledger of works, their calls
// to the shared engine, and what comes of them for the gateway. Driven by sockets and timers (node.h) or by
// virtual time; keeps no book that its parts don't. One thread.
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

// What it stands on. Times are seconds of a monotonic clock of this gateway.
struct NodeAgentEnvironment {
  std::function<double()> now;
  std::function<double()> random_unit;  // numbers from 0, under 1
  // The reply comes once, later; none may come any more once the desk has gone.
  std::function<void(shared::Call, std::function<void(const shared::Reply&)>)> call_engine;
  std::function<void(std::function<void()>)> post;  // in a turn of its own; not once the desk has gone
  std::function<void(double due)> set_timer;        // OnTime is to be called then; the newest word holds
  std::function<void(const std::string& text)> log;
};

class NodeAgent : public FleetPort {
 public:
  // `boot`: of this start of the process, unique for ever. `config` has a section `fleet`, and outlives the
  // desk.
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
  std::optional<ledger::Book::Right> RightAt(double now) const;
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
  double leases_allowed_from_ =
      1e300;  // a lease after it became a member, or heard that the engine has lost writes
  uint64_t membership_changes_ = 0, engine_failures_ = 0, ledger_call_count_ = 0;
  double last_failure_logged_at_ = -100;
  std::set<std::string> live_boots_;
};

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_NODE_AGENT_H_
