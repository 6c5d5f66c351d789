// Replica: catch-up of a copy that has missed changes.
#include <algorithm>

#include "replication/replica.h"
#include "replication/timing.h"

namespace ivygw::replication {

void Replica::RequestDelta(TimePoint now, const std::string& from, Effects* out) {
  if (catch_up_.AwaitsReply(now, catch_up_timeout_) || from == options_.address) return;
  Send(from, catch_up_.Request(now, from, revision_), out);
}

void Replica::Handle(const Incoming& in, const messages::Delta& delta) {
  CatchUp::Step step = catch_up_.OnDelta(in.from, delta);
  if (step == CatchUp::Step::kIgnored) return;
  catch_up_timeout_ = kCatchUpTimeout;
  if (step == CatchUp::Step::kRequestNext) {
    Send(in.from, catch_up_.Request(in.now, in.from, revision_), in.out);
    return;
  }
  ApplyCaughtUp(in.now, in.out);
}

// Applies the complete delta in one step, so that this copy always corresponds to exactly one revision.
void Replica::ApplyCaughtUp(TimePoint now, Effects* out) {
  CatchUp completed = std::move(catch_up_);
  catch_up_ = CatchUp();
  // Drops a delta that brings nothing new: it ends before this copy's revision, or at that revision without a
  // newer epoch. This copy has then reached the revision meanwhile, or was not behind.
  bool newer_epoch = completed.membership().epoch > membership_.epoch;
  if (completed.end() < revision_ || (completed.end() == revision_ && !newer_epoch)) return;
  StoreBatch batch;
  batch.replace_all = completed.reset();
  batch.accepted_changed = acceptor_.accepted().has_value();
  if (completed.reset()) {
    table_.Clear();
    table_.ForgetPruned(completed.end());
    policy_->OnReset();
    out->reset = true;
  }
  AddRecords(completed, &batch, out);
  revision_ = completed.end();
  acceptor_.OnApplied();
  if (newer_epoch) BeginEpoch(completed.membership(), out);
  Complete(commands_.OnCaughtUp(table_), out);
  AfterStore after;
  after.durable_revision = revision_;
  Store(true, std::move(batch), std::move(after), out);
  AfterAdvance(now, out);
}

void Replica::AddRecords(const CatchUp& completed, StoreBatch* batch, Effects* out) {
  for (const auto& [key, record] : completed.records()) {
    const Record* current = table_.Find(key);
    if (current && current->revision >= record.revision) continue;
    table_.Put(record);
    policy_->OnRecord(record);
    batch->records.push_back(record);
    out->changed.push_back(key);
  }
  for (const auto& [key, revision] : completed.pruned()) {
    const Record* current = table_.Find(key);
    if (completed.reset() || (current && current->revision > revision)) continue;
    table_.Erase(key, revision);
    policy_->OnErased(key);
    batch->erased.push_back(key);
    out->changed.push_back(key);
  }
}

void Replica::CatchUpOnTime(TimePoint now, Effects* out) {
  const std::string* furthest = nullptr;
  uint64_t furthest_revision = revision_;
  bool behind = false;
  for (const auto& [address, peer] : peers_.all()) {
    if (!peer.connected || !peer.last_message) continue;
    bool missed_something = peer.ahead_since && now >= *peer.ahead_since + kBehindTimeout;
    behind = behind || missed_something || peer.header.epoch > membership_.epoch;
    bool already_asked = catch_up_.Active() && address == catch_up_.sender();
    if (already_asked || peer.header.revision < furthest_revision) continue;
    furthest = &address;
    furthest_revision = peer.header.revision;
  }
  bool sender_lost = catch_up_.Active() && catch_up_.sender().empty();
  bool timed_out = catch_up_.TimedOut(now, catch_up_timeout_);
  if (timed_out) catch_up_timeout_ = std::min(2 * catch_up_timeout_, kMaxCatchUpTimeout);
  if (timed_out && !furthest) furthest = &catch_up_.sender();
  bool due = sender_lost || timed_out || (behind && !catch_up_.Active());
  if (!due || !furthest) return;
  std::string sender = *furthest;
  Send(sender, catch_up_.Request(now, sender, revision_), out);
}

}  // namespace ivygw::replication
