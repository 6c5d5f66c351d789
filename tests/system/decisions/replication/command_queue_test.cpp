// Tests of how commands are combined into a change, and of their outcomes.
#include "replication/command_queue.h"

#include <CppUTest/TestHarness.h>  // must be last: it redefines new

using namespace ivygw;
using namespace ivygw::replication;

namespace {

constexpr TimePoint kDeadline = TimePointOf(11);
constexpr uint64_t kRevision = 4;
constexpr uint64_t kEpoch = 2;

// Applies the shared version rules and remembers acknowledged versions.
class VersionedPolicy : public CommandPolicy {
 public:
  void OnRecord(const Record&) override {}
  void OnErased(const std::string&) override {}
  void OnReset() override {}
  Evaluation Evaluate(const std::vector<Item>& items, const TableOverlay& overlay) const override {
    Evaluation evaluation;
    for (const Item& item : items) {
      ItemEvaluation one = EvaluateItem(item, overlay.Find(item.key), true);
      if (one.kind != Evaluation::Kind::kAlreadyApplied) evaluation.kind = one.kind;
      if (one.kind == Evaluation::Kind::kApply) evaluation.records.push_back(one.record);
    }
    return evaluation;
  }
  size_t MaxCommandsInChange() const override { return 2; }
};

Item ItemOf(const std::string& key, uint64_t version, const std::string& body) {
  return {.key = key, .version = version, .dropped = false, .body = body};
}

}  // namespace

TEST_GROUP(CommandQueue) {
  VersionedPolicy policy;
  Table table;
  CommandQueue queue{7, &policy};

  CommandQueue::NextChange Build() { return queue.BuildChange(table, kRevision, kEpoch); }
  void Put(const Item& item) { table.Put({.item = item, .revision = kRevision, .past = {}}); }
};

TEST(CommandQueue, SeveralCommandsMakeOneChangeUpToTheLimit) {
  for (uint64_t ticket : {1, 2, 3})
    queue.AddWrite(ticket, {ItemOf("k" + std::to_string(ticket), 1, "x")}, kDeadline);
  std::optional<Change> change = Build().change;
  LONGS_EQUAL(kRevision + 1, change->revision);
  LONGS_EQUAL(2, change->commands.size());
  LONGS_EQUAL(2, change->records.size());
  queue.OnProposed(*change);
  std::vector<Completion> completions = queue.OnDecided(*change);
  LONGS_EQUAL(2, completions.size());
  LONGS_EQUAL(1, completions[0].ticket);
  CHECK(completions[0].outcome == Outcome::kDone);
  CHECK(queue.AnyToPropose());  // the third command
}

TEST(CommandQueue, WhatStandsAlreadyIsDoneWithoutAChange) {
  Put(ItemOf("k", 3, "x"));
  queue.AddWrite(1, {ItemOf("k", 3, "x")}, kDeadline);
  CommandQueue::NextChange next = Build();
  CHECK(!next.change);
  CHECK(next.completions.at(0).outcome == Outcome::kDone);
  CHECK(queue.empty());
}

TEST(CommandQueue, ARejectionIsReportedOnceAReadHasConfirmedIt) {
  Put(ItemOf("k", 3, "x"));
  queue.AddWrite(1, {ItemOf("k", 3, "other")}, kDeadline);
  CommandQueue::NextChange next = Build();
  CHECK(!next.change && next.completions.empty());
  LONGS_EQUAL(1, next.to_confirm.size());
  queue.BeginConfirmation(next.to_confirm[0], 21);
  CHECK(!queue.AnyToPropose());
  Completion completion;
  CHECK(queue.OnConfirmingReadEnded(20, true, table, &completion) == CommandQueue::Confirmation::kNone);
  CHECK(queue.OnConfirmingReadEnded(21, true, table, &completion) == CommandQueue::Confirmation::kRejected);
  CHECK(completion.outcome == Outcome::kRejected && completion.ticket == 1);
  CHECK(queue.empty());
}

TEST(CommandQueue, ACommandIsProposedAfterAllWhereSomethingNewerStands) {
  Put(ItemOf("k", 3, "x"));
  queue.AddWrite(1, {ItemOf("k", 3, "other")}, kDeadline);
  queue.BeginConfirmation(Build().to_confirm.at(0), 21);
  table.Clear();  // the conflicting record is gone
  Completion completion;
  CHECK(queue.OnConfirmingReadEnded(21, true, table, &completion) == CommandQueue::Confirmation::kPropose);
  CHECK(queue.AnyToPropose());
}

TEST(CommandQueue, AfterItsDeadlineACommandIsNotDoneOrMayHaveBeenDone) {
  queue.AddWrite(1, {ItemOf("a", 1, "x")}, kDeadline);
  CHECK(queue.Expire(kDeadline - Duration(0.1)).empty());
  CHECK(queue.Expire(kDeadline).at(0).outcome == Outcome::kNotDone);
  queue.AddWrite(2, {ItemOf("a", 1, "x")}, kDeadline);
  queue.OnProposed(*Build().change);
  CHECK(queue.Expire(kDeadline).at(0).outcome == Outcome::kMaybeDone);
}

TEST(CommandQueue, WhatWasProposedAndDecidedOtherwiseIsNotDone) {
  queue.AddWrite(1, {ItemOf("a", 1, "x")}, kDeadline);
  queue.OnProposed(*Build().change);
  Change other;
  other.revision = kRevision + 1;
  CHECK(queue.OnDecided(other).empty());
  CHECK(queue.Expire(kDeadline).at(0).outcome == Outcome::kNotDone);
}

TEST(CommandQueue, AfterCatchingUpTheTableTellsWhatIsDone) {
  queue.AddWrite(1, {ItemOf("a", 1, "x")}, kDeadline);
  queue.AddWrite(2, {ItemOf("b", 1, "x")}, kDeadline);
  queue.OnProposed(*Build().change);
  Put(ItemOf("a", 1, "x"));
  std::vector<Completion> completions = queue.OnCaughtUp(table);
  LONGS_EQUAL(1, completions.size());
  LONGS_EQUAL(1, completions[0].ticket);
  CHECK(completions[0].outcome == Outcome::kDone);
}

TEST(CommandQueue, AChangeOfMembersIsProposedAlone) {
  queue.AddWrite(1, {ItemOf("a", 1, "x")}, kDeadline);
  queue.AddMembershipChange({.epoch = kEpoch + 1, .members = {}}, kDeadline);
  CHECK(queue.HasMembershipChange());
  CHECK(!Build().change->membership);
  queue.OnDecided(*Build().change);
  CHECK(Build().change->membership.has_value());
  CommandQueue::NextChange late =
      queue.BuildChange(table, kRevision, kEpoch + 1);  // the change was for an epoch that has passed
  CHECK(!late.change && queue.empty());
}

TEST(CommandQueue, OnlyTombstonesThatStandArePruned) {
  Item tombstone = ItemOf("gone", 2, "");
  tombstone.dropped = true;
  Put(tombstone);
  Item older = tombstone;
  older.version = 1;
  queue.AddPrune({older}, kDeadline);
  CHECK(!Build().change && queue.empty());
  queue.AddPrune({tombstone}, kDeadline);
  CHECK(Build().change->pruned == std::vector<std::string>{"gone"});
  LONGS_EQUAL(0, queue.OnDecided(*Build().change).size());  // pruning has no completion
}
