#include "replication/command_queue.h"

#include <algorithm>
#include <utility>

namespace ivygw::replication {
namespace {

// The maximum size of a change with several commands. A single command may be larger.
constexpr size_t kMaxChangeBytes = size_t{1} << 20;

}  // namespace

size_t BytesOf(const std::vector<Item>& items) {
  size_t bytes = 0;
  for (const Item& item : items) bytes += item.key.size() + item.body.size();
  return bytes;
}

size_t BytesOf(const Change& change) {
  size_t bytes = 0;
  for (const Record& record : change.records) bytes += record.item.key.size() + record.item.body.size();
  return bytes;
}

CommandQueue::Command& CommandQueue::Add(TimePoint deadline) {
  Command& command = commands_.emplace_back();
  command.id = {incarnation_, ++last_command_};
  command.deadline = deadline;
  return command;
}

void CommandQueue::AddWrite(uint64_t ticket, std::vector<Item> items, TimePoint deadline) {
  Command& command = Add(deadline);
  command.ticket = ticket;
  command.items = std::move(items);
}

void CommandQueue::AddPrune(std::vector<Item> tombstones, TimePoint deadline) {
  Add(deadline).prunes = std::move(tombstones);
}

void CommandQueue::AddMembershipChange(Membership next, TimePoint deadline) {
  Add(deadline).membership = std::move(next);
}

bool CommandQueue::AnyToPropose() const {
  return std::any_of(commands_.begin(), commands_.end(),
                     [](const Command& command) { return command.confirming_read == 0; });
}

bool CommandQueue::HasMembershipChange() const {
  return std::any_of(commands_.begin(), commands_.end(),
                     [](const Command& command) { return command.membership.has_value(); });
}

CommandQueue::NextChange CommandQueue::BuildChange(const Table& table, uint64_t revision, uint64_t epoch) {
  NextChange next;
  Change& change = next.change.emplace();
  change.revision = revision + 1;
  TableOverlay overlay(table);
  size_t bytes = 0;
  std::deque<Command> waiting = std::exchange(commands_, {});
  for (Command& command : waiting) {
    bytes += BytesOf(command.items);
    bool fits = change.commands.empty() ||
                (change.commands.size() < policy_.MaxCommandsInChange() && bytes <= kMaxChangeBytes);
    bool pending = command.confirming_read > 0 || !fits ||
                   AddTo(&next, &overlay, epoch, &command) == Disposition::kPending;
    if (pending) commands_.push_back(std::move(command));
  }
  for (const auto& [key, record] : overlay.written()) {
    change.records.push_back(record);
    change.records.back().revision = change.revision;
  }
  if (change.commands.empty()) next.change.reset();
  return next;
}

CommandQueue::Disposition CommandQueue::AddTo(NextChange* next, TableOverlay* overlay, uint64_t epoch,
                                              Command* command) const {
  if (command->membership) return AddMembership(&*next->change, epoch, *command);
  if (next->change->membership) return Disposition::kPending;
  if (!command->prunes.empty()) return AddPrunes(&*next->change, *overlay, *command);
  return AddItems(next, overlay, *command);
}

CommandQueue::Disposition CommandQueue::AddMembership(Change* change, uint64_t epoch,
                                                      const Command& command) const {
  if (command.membership->epoch != epoch + 1) return Disposition::kEnded;
  if (!change->commands.empty()) return Disposition::kPending;  // proposed alone, in a later change
  change->membership = command.membership;
  change->commands.push_back(command.id);
  return Disposition::kPending;
}

CommandQueue::Disposition CommandQueue::AddPrunes(Change* change, const TableOverlay& overlay,
                                                  const Command& command) const {
  bool any = false;
  for (const Item& tombstone : command.prunes) {
    const Record* current = overlay.Find(tombstone.key);
    bool removable = current && current->item.dropped && current->item.version == tombstone.version &&
                     overlay.written().count(tombstone.key) == 0;
    if (removable) change->pruned.push_back(tombstone.key);
    any = any || removable;
  }
  if (!any) return Disposition::kEnded;
  change->commands.push_back(command.id);
  return Disposition::kPending;
}

CommandQueue::Disposition CommandQueue::AddItems(NextChange* next, TableOverlay* overlay,
                                                 const Command& command) const {
  Evaluation evaluation = policy_.Evaluate(command.items, *overlay);
  if (evaluation.kind == Evaluation::Kind::kIndeterminate) {
    End(command, Outcome::kMaybeDone, {}, &next->completions);
    return Disposition::kEnded;
  }
  if (evaluation.kind == Evaluation::Kind::kRejected) {
    next->to_confirm.push_back(command.id);
    return Disposition::kPending;
  }
  bool already_applied = evaluation.kind == Evaluation::Kind::kAlreadyApplied && overlay->written().empty();
  if (already_applied) {
    End(command, Outcome::kDone, {}, &next->completions);
    return Disposition::kEnded;
  }
  for (const Record& record : evaluation.records) {
    overlay->Put(record);
    std::erase(next->change->pruned, record.item.key);
  }
  next->change->commands.push_back(command.id);
  return Disposition::kPending;
}

void CommandQueue::BeginConfirmation(const CommandId& command, ReadId read) {
  for (Command& waiting : commands_) {
    if (waiting.id == command) waiting.confirming_read = read;
  }
}

CommandQueue::Confirmation CommandQueue::OnConfirmingReadEnded(ReadId read, bool done, const Table& table,
                                                               Completion* completion) {
  auto command = std::find_if(commands_.begin(), commands_.end(),
                              [&](const Command& other) { return other.confirming_read == read; });
  if (command == commands_.end()) return Confirmation::kNone;
  command->confirming_read = 0;
  if (!done) return Confirmation::kNone;
  Evaluation evaluation = policy_.Evaluate(command->items, TableOverlay(table));
  if (evaluation.kind != Evaluation::Kind::kRejected) return Confirmation::kPropose;
  *completion = {command->ticket, Outcome::kRejected, std::move(evaluation.rejection)};
  commands_.erase(command);
  return Confirmation::kRejected;
}

void CommandQueue::OnProposed(const Change& change) {
  for (Command& command : commands_) {
    bool proposed =
        std::find(change.commands.begin(), change.commands.end(), command.id) != change.commands.end();
    command.maybe_decided = command.maybe_decided || proposed;
  }
}

std::vector<Completion> CommandQueue::OnDecided(const Change& change) {
  std::vector<Completion> completions;
  std::erase_if(commands_, [&](const Command& command) {
    bool decided =
        std::find(change.commands.begin(), change.commands.end(), command.id) != change.commands.end();
    if (decided) End(command, Outcome::kDone, {}, &completions);
    return decided;
  });
  ClearMaybeDecided();
  return completions;
}

std::vector<Completion> CommandQueue::OnCaughtUp(const Table& table) {
  std::vector<Completion> completions;
  TableOverlay overlay(table);
  std::erase_if(commands_, [&](const Command& command) {
    if (!command.maybe_decided || command.items.empty()) return false;
    Evaluation::Kind kind = policy_.Evaluate(command.items, overlay).kind;
    bool done = kind == Evaluation::Kind::kAlreadyApplied;
    if (!done && kind != Evaluation::Kind::kIndeterminate) return false;
    End(command, done ? Outcome::kDone : Outcome::kMaybeDone, {}, &completions);
    return true;
  });
  ClearMaybeDecided();
  return completions;
}

void CommandQueue::ClearMaybeDecided() {
  for (Command& command : commands_) command.maybe_decided = false;
}

std::vector<Completion> CommandQueue::Expire(TimePoint now) {
  std::vector<Completion> completions;
  std::erase_if(commands_, [&](const Command& command) {
    if (now < command.deadline) return false;
    End(command, command.maybe_decided ? Outcome::kMaybeDone : Outcome::kNotDone, {}, &completions);
    return true;
  });
  return completions;
}

void CommandQueue::End(const Command& command, Outcome outcome, Rejection rejection,
                       std::vector<Completion>* out) {
  if (command.ticket > 0) out->push_back({command.ticket, outcome, std::move(rejection)});
}

}  // namespace ivygw::replication
