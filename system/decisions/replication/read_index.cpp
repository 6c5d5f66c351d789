#include "replication/read_index.h"

#include <algorithm>

#include "replication/timing.h"

namespace ivygw::replication {

messages::ReadQuery ReadIndex::BeginRound(TimePoint now) {
  uint64_t number = round_.number + 1;
  // Reads of a round that did not complete move on to this one.
  for (auto& [id, read] : reads_) {
    bool waits = !read.index && (read.round == 0 || read.round == round_.number);
    if (waits) read.round = number;
  }
  round_ = Round();
  round_.number = number;
  round_.started = now;
  round_.open = true;
  return {number};
}

bool ReadIndex::OnReply(TimePoint now, const std::string& from, uint64_t revision, bool undecided,
                        size_t quorum) {
  if (!round_.open) return false;
  round_.answered.insert(from);
  round_.highest = std::max(round_.highest, revision);
  if (undecided) round_.undecided_after.insert(revision);
  if (round_.answered.size() < quorum) return false;
  CloseRound(now);
  return true;
}

void ReadIndex::CloseRound(TimePoint now) {
  round_.open = false;
  bool undecided = round_.undecided_after.count(round_.highest) > 0;
  for (auto& [id, read] : reads_) {
    if (read.index || read.round != round_.number) continue;
    read.index = round_.highest + (undecided ? 1 : 0);
    read.undecided = undecided;
    read.index_known_at = now;
  }
}

std::vector<ReadId> ReadIndex::Ready(uint64_t revision) const {
  std::vector<ReadId> ready;
  for (const auto& [id, read] : reads_) {
    if (read.index && *read.index <= revision) ready.push_back(id);
  }
  return ready;
}

bool ReadIndex::AnyWithoutIndex() const {
  return std::any_of(reads_.begin(), reads_.end(), [](const auto& entry) { return !entry.second.index; });
}

void ReadIndex::OnNothingUndecided(uint64_t revision, TimePoint prepared_at) {
  for (auto& [id, read] : reads_) {
    // The promises prove only that nothing was decided before the first of them was given, so phase 1 must
    // have begun after the index was known.
    bool promised_since = prepared_at >= read.index_known_at;
    if (WaitsForUndecided(read, revision) && promised_since) read.index = revision;
  }
}

ReadIndex::Overdue ReadIndex::CheckDeadlines(TimePoint now, uint64_t revision) const {
  Overdue overdue;
  for (const auto& [id, read] : reads_) {
    if (now >= read.deadline) overdue.expired.push_back(id);
    bool for_too_long = now >= read.index_known_at + kUndecidedReadTimeout;
    overdue.waits_for_undecided |= WaitsForUndecided(read, revision) && for_too_long;
    overdue.waits_for_index |= !read.index;
  }
  return overdue;
}

bool ReadIndex::RoundTimedOut(TimePoint now) const {
  return !round_.open || now >= round_.started + kReadRoundTimeout;
}

}  // namespace ivygw::replication
