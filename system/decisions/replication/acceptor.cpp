#include "replication/acceptor.h"

#include <utility>

namespace ivygw::replication {

Acceptor::Acceptor(const ProposalNumber& promised, std::optional<AcceptedChange> accepted, uint64_t revision)
    : promised_(promised), accepted_(std::move(accepted)) {
  if (accepted_ && accepted_->change.revision != revision + 1) accepted_.reset();
}

std::optional<TimePoint> Acceptor::undecided_since() const {
  return accepted_ ? accepted_since_ : std::nullopt;
}

bool Acceptor::OnPrepare(const messages::Prepare& prepare, uint64_t revision) {
  if (IsOutdated(prepare.revision, prepare.number, revision)) return false;
  promised_ = prepare.number;
  return true;
}

bool Acceptor::OnAccept(TimePoint now, const messages::Accept& accept, uint64_t revision) {
  if (IsOutdated(accept.revision, accept.number, revision)) return false;
  promised_ = accept.number;
  if (!accepted_) accepted_since_ = now;
  accepted_ = AcceptedChange{accept.number, accept.change};
  return true;
}

void Acceptor::OnTime(TimePoint now) {
  if (accepted_ && !accepted_since_) accepted_since_ = now;
}

void Acceptor::OnApplied() {
  accepted_.reset();
  accepted_since_.reset();
}

std::optional<Acceptor::DeferredAccept> Acceptor::TakeDeferred(uint64_t revision) {
  if (!deferred_ || deferred_->accept.revision > revision + 1) return std::nullopt;
  std::optional<DeferredAccept> taken = std::exchange(deferred_, std::nullopt);
  if (taken->accept.revision <= revision) return std::nullopt;
  return taken;
}

}  // namespace ivygw::replication
