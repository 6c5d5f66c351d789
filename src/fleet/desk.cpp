#include "fleet/desk.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <vector>

#include "fleet/steps.h"
#include "policy/quotas.h"
#include "version.h"

namespace ivygw::fleet {
namespace {

using membership::Membership;
using shared::Reply;

constexpr double kLeaveS = 0.5;  // for which the engine's word is waited for at the end
constexpr double kLogEveryS = 5;

membership::Options MembersOf(const Config& config) {
  membership::Options options;
  options.lease_s = config.fleet->lease_s;
  options.hold_s = config.fleet->hold_s;
  options.preferred_slot = config.settings.gateway;
  options.heir = config.listen_fd.has_value();
  return options;
}

membership::Member SelfOf(const Config& config, const std::string& boot) {
  membership::Member self;
  self.name = config.name;
  self.boot = boot;
  self.address = config.listen.address().to_string() + ":" + std::to_string(config.listen.port());
  self.version = kVersion;
  self.zone = config.settings.zone;
  self.capacity = config.fleet->capacity;
  return self;
}

ledger::Options LedgerOf(const Config& config, const std::string& boot) {
  const Settings::Ledger& l = config.fleet->ledger;
  ledger::Options options;
  options.name = config.name;
  options.boot = boot;
  options.life_s = l.life_s;
  options.patience_s = l.patience_s;
  options.most_answer = static_cast<size_t>(l.most_answer);
  options.most_open = static_cast<size_t>(l.most_open);
  auto rule = [](bool goes_on) { return goes_on ? ledger::Without::kGoOn : ledger::Without::kRefuse; };
  options.safe = rule(l.safe_goes_on);
  options.keyed = rule(l.keyed_goes_on);
  options.unsafe = rule(l.unsafe_goes_on);
  return options;
}

parts::LoansOptions LoansOf(const Config& config, const std::string& boot) {
  parts::LoansOptions options;
  options.boot = boot;
  options.lease_s = config.fleet->lease_s;
  options.turn_s = config.fleet->lending.turn_s;
  options.most = static_cast<size_t>(config.fleet->lending.most_customers);
  return options;
}

}  // namespace

Desk::Desk(const Config& config, const std::string& boot, FleetEvents events, DeskPorts ports)
    : config_(config),
      events_(std::move(events)),
      ports_(std::move(ports)),
      boot_(boot),
      members_(MembersOf(config), SelfOf(config, boot), ports_.draw),
      book_(LedgerOf(config, boot), [this](double now) { return RightAt(now); }),
      loans_(LoansOf(config, boot), [this](double now) -> std::optional<shared::Condition> {
        if (now < borrows_from_ || !members_.Sure(now)) return std::nullopt;
        return members_.Right();
      }) {}

void Desk::Start() {
  Turn([this](double now) { members_.OnTime(now, &asks_); });
}

void Desk::OnTime() {
  if (left_ && ports_.now() >= leave_by_) ports_.later(std::exchange(left_, nullptr));
  Turn([this](double now) {
    members_.OnTime(now, &asks_);
    book_.OnTime(now, &decisions_);
    loans_.OnTime(now, &loan_asks_);
  });
}

void Desk::Asked(uint64_t customer, int plan, double units) {
  const micadock::Settings& s = config_.settings;
  if (!s.lend_ceilings || s.plans[static_cast<size_t>(plan)].ceiling_rate <= 0) return;
  Turn([&](double now) {
    loans_.OnAsked(now, customer, units, PlanCeiling(s, s.plans[static_cast<size_t>(plan)], 1), &loan_asks_);
  });
}

void Desk::Take(const KeyedCall& call) {
  Step("taken");
  ledger::Asked asked;
  asked.client = call.client;
  asked.work = ledger::NameOf(call.customer, config_.site.classes[static_cast<size_t>(call.cls)], call.key);
  asked.body = ledger::HashOf(call.message);
  micadock::Effect effect = config_.settings.classes[static_cast<size_t>(call.cls)].effect;
  asked.effect = effect == micadock::Effect::kFree      ? ledger::Effect::kSafe
                 : effect == micadock::Effect::kGuarded ? ledger::Effect::kKeyed
                                                        : ledger::Effect::kUnsafe;
  asked.timeout_s = call.timeout_s;
  Turn([&](double now) { book_.OnAsked(now, asked, &decisions_); });
}

bool Desk::Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) {
  bool waits = false;
  Turn([&](double now) { waits = book_.OnIntend(now, request, attempt, backend, zone, cell, &decisions_); });
  return waits;
}

bool Desk::Answered(uint64_t client, int status, const std::string& type, const std::string& body) {
  Step("answered, not recorded");
  bool now_out = true;
  Turn([&](double now) { now_out = book_.OnAnswer(now, client, status, type, body, &decisions_); });
  return now_out;
}

bool Desk::ClientGone(uint64_t client) {
  bool goes_on = false;
  Turn([&](double now) { goes_on = book_.OnClientGone(now, client, &decisions_); });
  return goes_on;
}

void Desk::Serving() {
  if (std::exchange(serving_, true)) return;
  Turn([this](double now) { members_.Become(membership::State::kServing, now, &asks_); });
}

void Desk::Leaving() {
  Turn([this](double now) { members_.Become(membership::State::kLeaving, now, &asks_); });
}

void Desk::Left(std::function<void()> done) {
  left_ = std::move(done);
  leave_by_ = ports_.now() + kLeaveS;
  Turn([this](double now) {
    loans_.GiveBack(now, &loan_asks_);
    members_.Leave(now, &asks_);
  });
}

std::string Desk::Figures() const {
  double now = ports_.now();
  std::string out;
  auto line = [&](const std::string& name, uint64_t value) {
    out += "fleet_" + name + "=" + std::to_string(value) + "\n";
  };
  line("members", members_.Live().size());
  line("number", static_cast<uint64_t>(members_.Number(now)));
  line("sure", members_.Sure(now));
  line("counts", members_.Counts(now));
  line("slot", static_cast<uint64_t>(std::max(0, members_.self().slot)));
  line("fence", members_.fence().revision);
  line("view_age_ms", static_cast<uint64_t>(std::max(0.0, members_.ViewAge(now)) * 1000));
  line("engine_calls", members_.calls_made() + ledger_calls_);
  line("engine_losses", members_.watermark().losses());
  line("engine_failures", failures_);
  line("name_taken", members_.phase() == membership::Phase::kTaken);
  if (config_.fleet->lending.on) {
    parts::Loans::Figures l = loans_.figures();
    line("loans_customers", l.customers);
    line("loans_held", l.held);
    line("loans_waiting", l.waiting);
    line("loans_shares_thousandths", static_cast<uint64_t>(std::llround(l.shares * 1000)));
    line("loans_conflicts", l.conflicts);
    line("loans_turned_away", l.turned_away);
    line("loans_calls", loans_.calls_made());
  }
  if (!config_.fleet->ledger.on) return out;
  const ledger::Figures& f = book_.figures();
  line("works_open", book_.open());
  line("works_recorded", f.recorded);
  line("works_claimed", f.claimed);
  line("works_answered", f.answered);
  line("works_waited", f.waited);
  line("works_uncertain", f.uncertain);
  line("works_conflicts", f.conflicts);
  line("works_without", f.without);
  line("works_refused", f.refused);
  line("works_lost", f.lost);
  line("works_closed", f.closed);
  return out;
}

std::string Desk::Members() const {
  std::string out;
  for (const auto& [name, seen] : members_.seen()) {
    const membership::Member& m = seen.member;
    char text[600];
    std::snprintf(text, sizeof(text),
                  "%.200s %s slot %d zone %d capacity %g version %.40s at %.60s boot %.40s%s\n", name.c_str(),
                  seen.gone_at >= 0 ? "gone"
                  : !m.known        ? "unknown"
                                    : membership::StateName(m.state),
                  m.slot, m.zone, m.capacity, m.version.c_str(), m.address.c_str(), m.boot.c_str(),
                  name == config_.name && m.boot == boot_ ? " (this one)" : "");
    out += text;
  }
  return out;
}

std::optional<ledger::Book::Right> Desk::RightAt(double now) const {
  if (!members_.Sure(now)) return std::nullopt;
  return ledger::Book::Right{members_.Right(), members_.fence().revision};
}

// One event of the books: what comes of it is done when their call has returned, and what comes meanwhile
// waits.
template <typename Event>
void Desk::Turn(Event event) {
  event(ports_.now());
  if (running_) return;
  running_ = true;
  while (!asks_.empty() || !decisions_.empty() || !loan_asks_.empty()) {
    Lend();
    membership::Asks asks = std::exchange(asks_, {});
    for (membership::Ask& ask : asks) {
      AskEngine(std::move(ask.call), [this, number = ask.number](double now, const Reply& reply) {
        members_.OnReply(now, number, reply, &asks_);
      });
    }
    ledger::Decisions decisions = std::exchange(decisions_, {});
    for (ledger::Decision& decision : decisions) std::visit([this](auto& what) { Do(what); }, decision);
  }
  running_ = false;
  Lend();
  Look();
  Arm();
  if (left_ && members_.calls_out() == 0 && book_.calls_out() == 0 && loans_.calls_out() == 0)
    ports_.later(std::exchange(left_, nullptr));
}

void Desk::AskEngine(shared::Call call, std::function<void(double, const Reply&)> then) {
  ports_.ask(std::move(call), [this, then = std::move(then)](const Reply& reply) {
    if (!reply.done() && reply.fault != shared::Fault::kConflict) Failed(reply);
    Turn([&](double now) { then(now, reply); });
  });
}

void Desk::Failed(const Reply& reply) {
  ++failures_;
  double now = ports_.now();
  if (now < told_at_ + kLogEveryS) return;
  told_at_ = now;
  ports_.log(std::string("the fleet's engine: ") + shared::FaultName(reply.fault) + ": " + reply.why);
}

void Desk::Do(ledger::Ask& ask) {
  ++ledger_calls_;
  bool writes = ask.call.kind == shared::CallKind::kCommit;
  Step(writes ? "writes" : "reads");
  AskEngine(std::move(ask.call), [this, writes, number = ask.number](double now, const Reply& reply) {
    Step(writes ? "has written" : "has read");
    book_.OnReply(now, number, reply, &decisions_);
  });
}

// What goes back to the gateway runs in a turn of its own, since its own call may be under way.
void Desk::Do(ledger::Admit& a) {
  FleetEvents::Admission admission;
  admission.client = a.client;
  admission.left_s = a.left_s;
  admission.recorded = a.prior.recorded;
  admission.resumed = a.prior.charged;
  admission.may_have_run = a.prior.may_have_run;
  admission.ran_age_s = a.prior.ran_age_s;
  admission.ran_zone = a.prior.zone;
  admission.ran_cell = a.prior.cell;
  ports_.later([this, admission] { events_.admit(admission); });
}
void Desk::Do(ledger::Tell& t) {
  ports_.later([this, t] { events_.tell(t.client, t.status, t.retry_after_s, t.type, t.body, t.why); });
}
// Who has slept past its lease since its intent was made durable sends nothing: the work may be another's by
// now. What is left is a pause within the turn that writes.
void Desk::Do(ledger::IntentTold& t) {
  ports_.later([this, t] {
    Step("is to send");
    events_.intent(t.request, t.attempt, t.ok && members_.Sure(ports_.now()));
  });
}
void Desk::Do(ledger::Withdraw& w) {
  ports_.later([this, client = w.client] { events_.withdraw(client); });
}
void Desk::Do(ledger::Unrecorded& u) {
  ports_.later([this, client = u.client] { events_.unrecorded(client); });
}
void Desk::Do(ledger::Release& r) {
  ports_.later([this, client = r.client] { events_.release(client); });
}

// Shares go to the gateway before the calls that came out with them go to the engine: what is given back is
// not used any more when another may take it. A share's seconds are counted when it is told.
void Desk::Lend() {
  for (const parts::Loans::Told& told : loans_.Changes(ports_.now())) {
    ports_.later(
        [this, told] { events_.share(told.customer, told.share, std::max(0.0, told.until - ports_.now())); });
  }
  for (parts::Loans::Ask& ask : std::exchange(loan_asks_, {})) {
    ports_.later([this, customer = ask.customer, number = ask.number,
                  call = std::make_shared<shared::Call>(std::move(ask.call))] {
      AskEngine(std::move(*call), [this, customer, number](double now, const Reply& reply) {
        loans_.OnReply(now, customer, number, reply, &loan_asks_);
      });
    });
  }
}

// What the view has come to.
void Desk::Look() {
  double now = ports_.now();
  std::pair<int, bool> told{std::max(1, members_.Number(now)), members_.Counts(now)};
  if (told != told_ && members_.ViewAge(now) >= 0) {
    told_ = told;
    ports_.later([this, told] { events_.fleet(told.first, told.second); });
  }
  // Loans that an engine has forgotten are used until their leases end: whoever finds none there waits for as
  // long.
  bool joined = members_.phase() != phase_ && members_.phase() == membership::Phase::kMember;
  bool lost = std::exchange(losses_, members_.watermark().losses()) != losses_;
  if (joined || lost) borrows_from_ = now + config_.fleet->lease_s;
  if (members_.phase() != phase_) {
    phase_ = members_.phase();
    if (phase_ == membership::Phase::kTaken) {
      ports_.log("fleet: another process lives under the name " + config_.name +
                 "; this one is no member until its lease has ended");
    } else if (phase_ == membership::Phase::kMember) {
      ports_.log("fleet: member " + config_.name + ", slot " + std::to_string(members_.self().slot) +
                 ", fence " + std::to_string(members_.fence().revision));
    }
  }
  if (!config_.fleet->ledger.on || members_.changes() == changes_) return;
  changes_ = members_.changes();
  std::vector<std::string> live;
  std::set<std::string> boots;
  for (const membership::Member& m : members_.Live()) {
    live.push_back(m.name);
    boots.insert(m.boot);
  }
  for (const std::string& boot : std::exchange(boots_, boots)) {
    if (boots.count(boot) != 0 || boot.empty()) continue;
    // Each work falls to one of those that are there, by the highest draw of name and work.
    book_.OnGone(
        now, boot,
        [live, mine = config_.name](const std::string& work) {
          std::string best, most;
          std::string prefix = work + "/";
          for (const std::string& name : live) {
            std::string draw = ledger::HashOf(std::string(prefix).append(name));
            if (draw > most) best = name, most = draw;
          }
          return best == mine;
        },
        &decisions_);
  }
  if (!decisions_.empty()) ports_.later([this] { Turn([](double) {}); });
}

void Desk::Arm() {
  double due = std::min({members_.NextDue(), book_.NextDue(), loans_.NextDue()});
  if (left_) due = std::min(due, leave_by_);
  if (due < 1e299) ports_.wake(due);
}

}  // namespace ivygw::fleet
