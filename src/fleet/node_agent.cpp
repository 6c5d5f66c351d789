#include "fleet/node_agent.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <vector>

#include "fleet/stop_points.h"
#include "policy/quotas.h"
#include "version.h"

namespace ivygw::fleet {
namespace {

using membership::Membership;
using shared::Reply;

constexpr double kLeaveTimeoutS = 0.5;  // how long Left waits for pending calls to the engine
constexpr double kFailureLogIntervalS = 5;

membership::Options MembershipOptionsFrom(const Config& config) {
  membership::Options options;
  options.lease_s = config.fleet->lease_s;
  options.hold_s = config.fleet->hold_s;
  options.preferred_slot = config.settings.gateway;
  options.heir = config.listen_fd.has_value();
  return options;
}

membership::Member LocalMember(const Config& config, const std::string& boot) {
  membership::Member self;
  self.name = config.name;
  self.boot = boot;
  self.address = config.listen.address().to_string() + ":" + std::to_string(config.listen.port());
  self.version = kVersion;
  self.zone = config.settings.zone;
  self.capacity = config.fleet->capacity;
  return self;
}

ledger::Options LedgerOptionsFrom(const Config& config, const std::string& boot) {
  const Settings::Ledger& l = config.fleet->ledger;
  ledger::Options options;
  options.name = config.name;
  options.boot = boot;
  options.life_s = l.record_ttl_s;
  options.patience_s = l.engine_timeout_s;
  options.most_answer = static_cast<size_t>(l.max_answer_bytes);
  options.most_open = static_cast<size_t>(l.max_open_requests);
  auto rule = [](bool serve) { return serve ? ledger::Without::kGoOn : ledger::Without::kRefuse; };
  options.safe = rule(l.serve_safe_unrecorded);
  options.keyed = rule(l.serve_keyed_unrecorded);
  options.unsafe = rule(l.serve_unsafe_unrecorded);
  return options;
}

parts::ShareLeaseManagerOptions LeaseManagerOptionsFrom(const Config& config, const std::string& boot) {
  parts::ShareLeaseManagerOptions options;
  options.boot_id = boot;
  options.lease_s = config.fleet->lease_s;
  options.turn_s = config.fleet->lending.turn_s;
  options.max_customers = static_cast<size_t>(config.fleet->lending.max_customers);
  return options;
}

}  // namespace

NodeAgent::NodeAgent(const Config& config, const std::string& boot, FleetEvents events,
                     NodeAgentEnvironment env)
    : config_(config),
      events_(std::move(events)),
      env_(std::move(env)),
      boot_id_(boot),
      membership_(MembershipOptionsFrom(config), LocalMember(config, boot), env_.random_unit),
      book_(LedgerOptionsFrom(config, boot), [this](double now) { return MembershipProof(now); }),
      lease_manager_(LeaseManagerOptionsFrom(config, boot),
                     [this](double now) -> std::optional<shared::Condition> {
                       if (now < leases_allowed_from_ || !membership_.Sure(now)) return std::nullopt;
                       return membership_.Right();
                     }) {}

void NodeAgent::Start() {
  Dispatch([this](double now) { membership_.OnTime(now, &membership_calls_); });
}

void NodeAgent::OnTimer() {
  if (on_left_ && env_.now() >= leave_deadline_) env_.post(std::exchange(on_left_, nullptr));
  Dispatch([this](double now) {
    membership_.OnTime(now, &membership_calls_);
    book_.OnTime(now, &ledger_decisions_);
    lease_manager_.OnTimer(now, &lease_calls_);
  });
}

void NodeAgent::Asked(uint64_t customer, int plan, double units) {
  const micadock::Settings& s = config_.settings;
  if (!s.lend_ceilings || s.plans[static_cast<size_t>(plan)].ceiling_rate <= 0) return;
  Dispatch([&](double now) {
    lease_manager_.OnRequest(now, customer, units, PlanCeiling(s, s.plans[static_cast<size_t>(plan)], 1),
                             &lease_calls_);
  });
}

void NodeAgent::Take(const KeyedCall& call) {
  StopPoint("taken");
  ledger::Asked asked;
  asked.client = call.client;
  asked.work = ledger::NameOf(call.customer, config_.site.classes[static_cast<size_t>(call.cls)], call.key);
  asked.body = ledger::HashOf(call.message);
  micadock::Effect effect = config_.settings.classes[static_cast<size_t>(call.cls)].effect;
  asked.effect = effect == micadock::Effect::kFree      ? ledger::Effect::kSafe
                 : effect == micadock::Effect::kGuarded ? ledger::Effect::kKeyed
                                                        : ledger::Effect::kUnsafe;
  asked.timeout_s = call.timeout_s;
  Dispatch([&](double now) { book_.OnAsked(now, asked, &ledger_decisions_); });
}

bool NodeAgent::Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) {
  bool waits = false;
  Dispatch([&](double now) {
    waits = book_.OnIntend(now, request, attempt, backend, zone, cell, &ledger_decisions_);
  });
  return waits;
}

bool NodeAgent::Answered(uint64_t client, int status, const std::string& type, const std::string& body) {
  StopPoint("answered, not recorded");
  bool send_now = true;
  Dispatch(
      [&](double now) { send_now = book_.OnAnswer(now, client, status, type, body, &ledger_decisions_); });
  return send_now;
}

bool NodeAgent::ClientGone(uint64_t client) {
  bool continues = false;
  Dispatch([&](double now) { continues = book_.OnClientGone(now, client, &ledger_decisions_); });
  return continues;
}

void NodeAgent::Serving() {
  if (std::exchange(serving_, true)) return;
  Dispatch([this](double now) { membership_.Become(membership::State::kServing, now, &membership_calls_); });
}

void NodeAgent::Leaving() {
  Dispatch([this](double now) { membership_.Become(membership::State::kLeaving, now, &membership_calls_); });
}

void NodeAgent::Left(std::function<void()> done) {
  on_left_ = std::move(done);
  leave_deadline_ = env_.now() + kLeaveTimeoutS;
  Dispatch([this](double now) {
    lease_manager_.ReleaseAll(now, &lease_calls_);
    membership_.Leave(now, &membership_calls_);
  });
}

std::string NodeAgent::Figures() const {
  double now = env_.now();
  std::string out;
  auto line = [&](const std::string& name, uint64_t value) {
    out += "fleet_" + name + "=" + std::to_string(value) + "\n";
  };
  line("members", membership_.Live().size());
  line("number", static_cast<uint64_t>(membership_.Number(now)));
  line("sure", membership_.Sure(now));
  line("counts", membership_.Counts(now));
  line("slot", static_cast<uint64_t>(std::max(0, membership_.self().slot)));
  line("fence", membership_.fence().revision);
  line("view_age_ms", static_cast<uint64_t>(std::max(0.0, membership_.ViewAge(now)) * 1000));
  line("engine_calls", membership_.calls_made() + ledger_call_count_);
  line("engine_losses", membership_.watermark().losses());
  line("engine_failures", engine_failures_);
  line("name_taken", membership_.phase() == membership::Phase::kTaken);
  if (config_.fleet->lending.enabled) {
    parts::ShareLeaseManager::Stats l = lease_manager_.stats();
    line("loans_customers", l.customers);
    line("loans_held", l.held);
    line("loans_waiting", l.waiting);
    line("loans_shares_thousandths", static_cast<uint64_t>(std::llround(l.shares * 1000)));
    line("loans_conflicts", l.conflicts);
    line("loans_turned_away", l.rejected);
    line("loans_calls", lease_manager_.calls_made());
  }
  if (!config_.fleet->ledger.enabled) return out;
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

std::string NodeAgent::Members() const {
  std::string out;
  for (const auto& [name, seen] : membership_.seen()) {
    const membership::Member& m = seen.member;
    char text[600];
    std::snprintf(text, sizeof(text),
                  "%.200s %s slot %d zone %d capacity %g version %.40s at %.60s boot %.40s%s\n", name.c_str(),
                  seen.gone_at >= 0 ? "gone"
                  : !m.known        ? "unknown"
                                    : membership::StateName(m.state),
                  m.slot, m.zone, m.capacity, m.version.c_str(), m.address.c_str(), m.boot.c_str(),
                  name == config_.name && m.boot == boot_id_ ? " (this one)" : "");
    out += text;
  }
  return out;
}

std::optional<ledger::Book::Right> NodeAgent::MembershipProof(double now) const {
  if (!membership_.Sure(now)) return std::nullopt;
  return ledger::Book::Right{membership_.Right(), membership_.fence().revision};
}

// Passes one event to the components, then carries out the calls and decisions that the event produced. An
// event that arrives while they are carried out only adds to the queues, which the outer call empties.
template <typename Event>
void NodeAgent::Dispatch(Event event) {
  event(env_.now());
  if (dispatching_) return;
  dispatching_ = true;
  while (!membership_calls_.empty() || !ledger_decisions_.empty() || !lease_calls_.empty()) {
    ProcessShareLeases();
    membership::Asks asks = std::exchange(membership_calls_, {});
    for (membership::Ask& ask : asks) {
      CallEngine(std::move(ask.call), [this, number = ask.number](double now, const Reply& reply) {
        membership_.OnReply(now, number, reply, &membership_calls_);
      });
    }
    ledger::Decisions decisions = std::exchange(ledger_decisions_, {});
    for (ledger::Decision& decision : decisions) std::visit([this](auto& what) { Apply(what); }, decision);
  }
  dispatching_ = false;
  ProcessShareLeases();
  ApplyMembershipView();
  ArmTimer();
  if (on_left_ && membership_.calls_out() == 0 && book_.calls_out() == 0 &&
      lease_manager_.pending_calls() == 0)
    env_.post(std::exchange(on_left_, nullptr));
}

void NodeAgent::CallEngine(shared::Call call, std::function<void(double, const Reply&)> then) {
  env_.call_engine(std::move(call), [this, then = std::move(then)](const Reply& reply) {
    if (!reply.done() && reply.fault != shared::Fault::kConflict) OnEngineFailure(reply);
    Dispatch([&](double now) { then(now, reply); });
  });
}

void NodeAgent::OnEngineFailure(const Reply& reply) {
  ++engine_failures_;
  double now = env_.now();
  if (now < last_failure_logged_at_ + kFailureLogIntervalS) return;
  last_failure_logged_at_ = now;
  env_.log(std::string("shared engine: ") + shared::FaultName(reply.fault) + ": " + reply.why);
}

void NodeAgent::Apply(ledger::Ask& ask) {
  ++ledger_call_count_;
  bool writes = ask.call.kind == shared::CallKind::kCommit;
  StopPoint(writes ? "writes" : "reads");
  CallEngine(std::move(ask.call), [this, writes, number = ask.number](double now, const Reply& reply) {
    StopPoint(writes ? "has written" : "has read");
    book_.OnReply(now, number, reply, &ledger_decisions_);
  });
}

// Events for the gateway are posted, since this may run within one of the gateway's calls of the agent.
void NodeAgent::Apply(ledger::Admit& a) {
  FleetEvents::Admission admission;
  admission.client = a.client;
  admission.left_s = a.left_s;
  admission.recorded = a.prior.recorded;
  admission.resumed = a.prior.charged;
  admission.may_have_run = a.prior.may_have_run;
  admission.ran_age_s = a.prior.ran_age_s;
  admission.ran_zone = a.prior.zone;
  admission.ran_cell = a.prior.cell;
  env_.post([this, admission] { events_.admit(admission); });
}
void NodeAgent::Apply(ledger::Tell& t) {
  env_.post([this, t] { events_.tell(t.client, t.status, t.retry_after_s, t.type, t.body, t.why); });
}
// If this gateway's membership is no longer certain, for instance because its lease has ended after the
// intent was made durable, nothing is sent: another gateway may have taken the request over. The process may
// still be paused between this check and the writing of the attempt.
void NodeAgent::Apply(ledger::IntentTold& t) {
  env_.post([this, t] {
    StopPoint("is to send");
    events_.intent(t.request, t.attempt, t.ok && membership_.Sure(env_.now()));
  });
}
void NodeAgent::Apply(ledger::Withdraw& w) {
  env_.post([this, client = w.client] { events_.withdraw(client); });
}
void NodeAgent::Apply(ledger::Unrecorded& u) {
  env_.post([this, client = u.client] { events_.unrecorded(client); });
}
void NodeAgent::Apply(ledger::Release& r) {
  env_.post([this, client = r.client] { events_.release(client); });
}

// Reports changed shares to the gateway before the calls that came with them go to the engine: a released
// share must no longer be used when another gateway may take it. The seconds for which a share remains valid
// are computed when the report is delivered.
void NodeAgent::ProcessShareLeases() {
  for (const parts::ShareLeaseManager::ShareUpdate& update : lease_manager_.TakeUpdates(env_.now())) {
    env_.post([this, update] {
      events_.share(update.customer, update.share, std::max(0.0, update.valid_until - env_.now()));
    });
  }
  for (parts::ShareLeaseManager::OutgoingCall& outgoing : std::exchange(lease_calls_, {})) {
    env_.post([this, customer = outgoing.customer, id = outgoing.id,
               call = std::make_shared<shared::Call>(std::move(outgoing.call))] {
      CallEngine(std::move(*call), [this, customer, id](double now, const Reply& reply) {
        lease_manager_.OnReply(now, customer, id, reply, &lease_calls_);
      });
    });
  }
}

// Acts on changes of the membership view: reports the size of the fleet to the gateway, delays requests for
// shares, logs the gateway's own membership, and tells the ledger which members are gone.
void NodeAgent::ApplyMembershipView() {
  double now = env_.now();
  std::pair<int, bool> view{std::max(1, membership_.Number(now)), membership_.Counts(now)};
  if (view != reported_view_ && membership_.ViewAge(now) >= 0) {
    reported_view_ = view;
    env_.post([this, view] { events_.fleet(view.first, view.second); });
  }
  // Gateways go on using shares whose records the engine has lost until their leases end, so no share is
  // requested for the time of a lease.
  bool joined = membership_.phase() != phase_ && membership_.phase() == membership::Phase::kMember;
  bool lost = std::exchange(engine_losses_, membership_.watermark().losses()) != engine_losses_;
  if (joined || lost) leases_allowed_from_ = now + config_.fleet->lease_s;
  if (membership_.phase() != phase_) {
    phase_ = membership_.phase();
    if (phase_ == membership::Phase::kTaken) {
      env_.log("fleet: another process lives under the name " + config_.name +
               "; this one is no member until its lease has ended");
    } else if (phase_ == membership::Phase::kMember) {
      env_.log("fleet: member " + config_.name + ", slot " + std::to_string(membership_.self().slot) +
               ", fence " + std::to_string(membership_.fence().revision));
    }
  }
  if (!config_.fleet->ledger.enabled || membership_.changes() == membership_changes_) return;
  membership_changes_ = membership_.changes();
  std::vector<std::string> live;
  std::set<std::string> boots;
  for (const membership::Member& m : membership_.Live()) {
    live.push_back(m.name);
    boots.insert(m.boot);
  }
  for (const std::string& boot : std::exchange(live_boots_, boots)) {
    if (boots.count(boot) != 0 || boot.empty()) continue;
    // Rendezvous hashing: each request is taken over by the live member with the highest hash of the
    // request and the member's name.
    book_.OnGone(
        now, boot,
        [live, own_name = config_.name](const std::string& request) {
          std::string best_name, best_hash;
          std::string prefix = request + "/";
          for (const std::string& name : live) {
            std::string hash = ledger::HashOf(std::string(prefix).append(name));
            if (hash > best_hash) best_name = name, best_hash = hash;
          }
          return best_name == own_name;
        },
        &ledger_decisions_);
  }
  if (!ledger_decisions_.empty()) env_.post([this] { Dispatch([](double) {}); });
}

void NodeAgent::ArmTimer() {
  double due = std::min({membership_.NextDue(), book_.NextDue(), lease_manager_.NextDue()});
  if (on_left_) due = std::min(due, leave_deadline_);
  if (due < 1e299) env_.set_timer(due);
}

}  // namespace ivygw::fleet
