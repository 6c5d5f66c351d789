#include "replication/proposer.h"

#include <algorithm>
#include <utility>

#include "replication/command_queue.h"
#include "replication/timing.h"

namespace ivygw::replication {
namespace {

constexpr uint64_t kMaxAbandonedCounted = 16;

}  // namespace

Proposer::Proposer(uint64_t incarnation)
    : incarnation_(incarnation), random_(incarnation), phase_timeout_(kPhaseTimeout) {}

void Proposer::OnNumberSeen(const ProposalNumber& number) {
  highest_counter_ = std::max(highest_counter_, number.counter);
}

void Proposer::OnCompetitor(TimePoint now) {
  competitor_seen_ = now;
  competitor_until_ = now + kCompetitorDelay;
}

bool Proposer::MayBegin(TimePoint now) const {
  if (proposal_.phase != Phase::kIdle || now < begin_at_) return false;
  return !MustPrepare() || now >= competitor_until_;
}

TimePoint Proposer::resume_at() const { return std::max(begin_at_, competitor_until_); }

messages::Prepare Proposer::BeginPrepare(TimePoint now, uint64_t revision) {
  prepared_ = false;
  proposal_ = Proposal();
  proposal_.phase = Phase::kPreparing;
  // After abandoned proposals the counter takes a larger step, to exceed the numbers of competing proposers.
  highest_counter_ += 1 + abandoned_;
  proposal_.number = {highest_counter_, incarnation_};
  proposal_.revision = revision;
  proposal_.started = now;
  proposal_.timeout = phase_timeout_;
  return {proposal_.revision, proposal_.number};
}

bool Proposer::OnPromise(const std::string& from, const messages::Promise& promise, size_t quorum) {
  bool awaited = proposal_.phase == Phase::kPreparing && promise.number == proposal_.number &&
                 promise.revision == proposal_.revision;
  if (!awaited) return false;
  proposal_.answered.insert(from);
  bool newer = promise.accepted && promise.accepted->change.revision == proposal_.revision &&
               (!proposal_.adopted || proposal_.adopted->number < promise.accepted->number);
  if (newer) proposal_.adopted = promise.accepted;
  if (proposal_.answered.size() < quorum) return false;
  prepared_ = true;
  proposal_.phase = Phase::kIdle;
  phase_timeout_ = kPhaseTimeout;
  recovery_requested_ = false;
  return true;
}

std::optional<Change> Proposer::TakeAdopted() {
  if (!proposal_.adopted) return std::nullopt;
  return std::move(proposal_.adopted->change);
}

messages::Accept Proposer::BeginAccept(TimePoint now, Change change) {
  proposal_.phase = Phase::kAccepting;
  proposal_.revision = change.revision;
  proposal_.started = now;
  proposal_.timeout = phase_timeout_ + kTimeoutPerByte * static_cast<double>(BytesOf(change));
  proposal_.answered.clear();
  proposal_.change = std::move(change);
  return {proposal_.revision, proposal_.number, proposal_.change};
}

bool Proposer::OnAccepted(const std::string& from, const messages::Accepted& accepted) {
  bool awaited = proposal_.phase == Phase::kAccepting && accepted.number == proposal_.number &&
                 accepted.revision == proposal_.revision;
  if (awaited) proposal_.answered.insert(from);
  return awaited;
}

messages::Commit Proposer::OnDecided(TimePoint now, Change* change) {
  abandoned_ = 0;
  *change = std::move(proposal_.change);
  proposal_.phase = Phase::kIdle;
  phase_timeout_ = kPhaseTimeout;
  bool contended = competitor_seen_ && now < *competitor_seen_ + kContentionWindow;
  if (contended) begin_at_ = now + kContentionPause;
  return {proposal_.revision, proposal_.number};
}

bool Proposer::OnRejected(const messages::Rejected& rejected) {
  OnNumberSeen(rejected.promised);
  return proposal_.phase != Phase::kIdle && rejected.number == proposal_.number &&
         rejected.revision == proposal_.revision;
}

void Proposer::Abandon(TimePoint now) {
  proposal_.phase = Phase::kIdle;
  prepared_ = false;
  abandoned_ = std::min(abandoned_ + 1, kMaxAbandonedCounted);
  backoff_ = std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
  begin_at_ = now + backoff_ * std::uniform_real_distribution<double>(1.0 / 3, 1)(random_);
}

void Proposer::OnTime(TimePoint now) {
  if (proposal_.phase == Phase::kIdle || now < proposal_.started + proposal_.timeout) return;
  phase_timeout_ = std::min(2 * phase_timeout_, kContactTimeout);
  Abandon(now);
}

void Proposer::OnAdvanced(uint64_t revision) {
  if (proposal_.revision <= revision) proposal_.phase = Phase::kIdle;
  backoff_ = Duration(0);
  competitor_until_ = TimePoint();
  recovery_requested_ = false;
}

}  // namespace ivygw::replication
