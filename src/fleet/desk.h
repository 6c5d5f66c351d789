// One gateway of a fleet without I/O or clock of its own: its membership and its ledger of works, their calls
// to the shared engine, and what comes of them for the gateway. Driven by sockets and timers (node.h) or by
// virtual time; keeps no book that its parts don't. One thread.
#ifndef IVYGW_FLEET_DESK_H_
#define IVYGW_FLEET_DESK_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "gateway/fleet_port.h"
#include "ledger/book.h"
#include "membership/membership.h"
#include "parts/loans.h"

namespace ivygw::fleet {

// What it stands on. Times are seconds of a monotonic clock of this gateway.
struct DeskPorts {
  std::function<double()> now;
  std::function<double()> draw;  // numbers from 0, under 1
  // The reply comes once, later; none may come any more once the desk has gone.
  std::function<void(shared::Call, std::function<void(const shared::Reply&)>)> ask;
  std::function<void(std::function<void()>)> later;  // in a turn of its own; not once the desk has gone
  std::function<void(double due)> wake;              // OnTime is to be called then; the newest word holds
  std::function<void(const std::string& text)> log;
};

class Desk : public FleetPort {
 public:
  // `boot`: of this start of the process, unique for ever. `config` has a section `fleet`, and outlives the
  // desk.
  Desk(const Config& config, const std::string& boot, FleetEvents events, DeskPorts ports);

  void Start();
  void OnTime();

  void Asked(uint64_t customer, int plan, double units) override;
  void Take(const KeyedCall& call) override;
  void Held(uint64_t client, uint32_t request) override { book_.OnHeld(client, request); }
  bool Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) override;
  void AttemptOver(uint32_t request, int attempt, bool may_have_run) override {
    book_.OnAttemptEnded(ports_.now(), request, attempt, may_have_run);
  }
  bool Answered(uint64_t client, int status, const std::string& type, const std::string& body) override;
  bool ClientGone(uint64_t client) override;
  void Serving() override;
  void Leaving() override;
  void Left(std::function<void()> done) override;
  std::string Figures() const override;
  std::string Members() const override;

  const membership::Membership& members() const { return members_; }
  const ledger::Book& book() const { return book_; }

 private:
  std::optional<ledger::Book::Right> RightAt(double now) const;
  template <typename Event>
  void Turn(Event event);
  void AskEngine(shared::Call call, std::function<void(double, const shared::Reply&)> then);
  void Failed(const shared::Reply& reply);
  void Do(ledger::Ask& ask);
  void Do(ledger::Admit& admit);
  void Do(ledger::Tell& tell);
  void Do(ledger::IntentTold& told);
  void Do(ledger::Withdraw& withdraw);
  void Do(ledger::Unrecorded& unrecorded);
  void Do(ledger::Release& release);
  void Lend();
  void Look();
  void Arm();

  const Config& config_;
  const FleetEvents events_;
  const DeskPorts ports_;
  const std::string boot_;
  std::function<void()> left_;
  double leave_by_ = 1e300;
  bool serving_ = false, running_ = false;
  membership::Membership members_;
  ledger::Book book_;
  parts::Loans loans_;
  membership::Asks asks_;
  ledger::Decisions decisions_;
  parts::Loans::Asks loan_asks_;
  std::pair<int, bool> told_{0, true};
  membership::Phase phase_ = membership::Phase::kOut;
  uint64_t losses_ = 0;
  double borrows_from_ = 1e300;  // a lease after it became a member, or heard that the engine has lost writes
  uint64_t changes_ = 0, failures_ = 0, ledger_calls_ = 0;
  double told_at_ = -100;
  std::set<std::string> boots_;
};

}  // namespace ivygw::fleet

#endif  // IVYGW_FLEET_DESK_H_
