// The gateway's answers to operators: figures, bans and drains, and how they outlive an upgrade.
#include <cstdio>
#include <utility>

#include "gateway/gateway.h"

namespace ivygw {
namespace {

// How often what the other process of this gateway wrote is looked for: well within the second that a call
// has.
constexpr auto kLookEvery = std::chrono::milliseconds(100);
// How often what the module has learned is written for a process that may take over at any moment.
constexpr auto kLearnedEvery = std::chrono::milliseconds(500);

}  // namespace

std::string Gateway::OnCall(const admin::Call& call) {
  switch (call.kind) {
    case admin::CallKind::kCheck:
      return server_.accepting() && driver_->core().serving() ? admin::Yes()
                                                              : admin::No("it takes no clients");
    case admin::CallKind::kVars: return admin::YesWith(Figures());
    case admin::CallKind::kSetDown: return OnBan(call.id, true);
    case admin::CallKind::kSetUp: return OnBan(call.id, false);
    case admin::CallKind::kDrainOn: return OnDrain(true);
    case admin::CallKind::kDrainOff: return OnDrain(false);
    case admin::CallKind::kMembers:
      return fleet_ ? admin::YesWith(fleet_->Members()) : admin::No("this gateway is of no fleet");
  }
  return admin::No("no such call");
}

std::string Gateway::OnBan(const std::string& name, bool out) {
  if (!ids_.Known(name)) return admin::No("never listed: " + name);
  std::string fault = Keep([&](state::OperatorsWord* word) {
    if (out) {
      word->bans.insert(name);
    } else {
      word->bans.erase(name);
    }
  });
  if (out) {
    bans_.insert(name);
  } else {
    bans_.erase(name);
  }
  driver_->Dispatch(core::BackendBanChanged{ids_.Of(name), out});
  return fault.empty() ? admin::Yes() : admin::No(fault);
}

std::string Gateway::OnDrain(bool on) {
  std::string fault = Keep([&](state::OperatorsWord* word) { word->drained = on; });
  driver_->Dispatch(core::DrainChanged{on});
  return fault.empty() ? admin::Yes() : admin::No(fault);
}

std::string Gateway::Figures() const {
  std::string out;
  auto line = [&](const std::string& name, uint64_t value) {
    out += name + "=" + std::to_string(value) + "\n";
  };
  const core::GatewayCore& core = driver_->core();
  const core::Stats& figures = core.stats();
  for (size_t i = 0; i < figures.classes.size(); ++i) {
    const std::string& name = config_.site.classes[i];
    line("success." + name, figures.classes[i].success);
    line("busy." + name, figures.classes[i].busy);
    line("failure." + name, figures.classes[i].failure + bad_[i]);
  }
  line("backend_calls", figures.backend_calls);
  line("inflight", server_.busy());
  line("hosts_listed", core.bans().listed());
  line("hosts_down", core.UnavailableBackends(Now()));
  line("reloads", reloads_);
  line("reloads_failed", failed_reloads_);
  if (fleet_) out += fleet_->Figures();
  return out;
}

std::string Gateway::Keep(const std::function<void(state::OperatorsWord*)>& change) {
  if (!operators_) return "";
  try {
    Follow(operators_->Change(change));
    operators_->Changed();  // it was this process
    return "";
  } catch (const state::StateNotDurable& error) {
    std::fprintf(stderr, "what operators said may be lost with the power: %s\n", error.what());
    return std::string("done and kept for an upgrade, but a loss of power may undo it: ") + error.what();
  } catch (const state::StateError& error) {
    std::fprintf(stderr, "what operators said is not kept: %s\n", error.what());
    return std::string("done here, but not kept for an upgrade: ") + error.what();
  }
}

// Brings the core to what the file says.
void Gateway::Follow(const state::OperatorsWord& word) {
  std::set<std::string> before = std::exchange(bans_, word.bans);
  for (const std::string& name : before) {
    if (bans_.count(name) == 0) driver_->Dispatch(core::BackendBanChanged{ids_.Of(name), false});
  }
  for (const std::string& name : bans_) {
    if (before.count(name) == 0) driver_->Dispatch(core::BackendBanChanged{ids_.Of(name), true});
  }
  if (word.drained != driver_->core().draining()) driver_->Dispatch(core::DrainChanged{word.drained});
}

void Gateway::Again(asio::steady_timer* timer, Clock::duration every, std::function<void()> task) {
  timer->expires_after(every);
  timer->async_wait([task = std::move(task)](error_code cancelled) {
    if (!cancelled) task();
  });
}

void Gateway::Look() {
  try {
    if (operators_->Changed()) Follow(operators_->Read());
  } catch (const state::StateError& error) {
    std::fprintf(stderr, "what operators said before cannot be read, and nothing is changed by it: %s\n",
                 error.what());
  }
  Again(&looking_, kLookEvery, [this] { Look(); });
}

void Gateway::WriteLearned() {
  if (closing_) return;  // who took over knows better by now
  try {
    learned_->Write(driver_->core().LearnedState(Now()), Now(),
                    [this](uint32_t id) { return ids_.NameOf(id); });
  } catch (const state::StateError& error) {
    std::fprintf(stderr, "what was learned of the backends is not kept: %s\n", error.what());
  }
  Again(&learning_, kLearnedEvery, [this] { WriteLearned(); });
}

void Gateway::RecallLearned() {
  try {
    auto learned = learned_->Read(Now(), [this](const std::string& name) { return ids_.Of(name); });
    if (learned) driver_->Dispatch(core::LearnedStateRestored{std::move(*learned)});
  } catch (const state::StateError& error) {
    std::fprintf(stderr, "what was learned of the backends cannot be read, and is learned anew: %s\n",
                 error.what());
  }
}

}  // namespace ivygw
