#include "net/connection_slots.h"

namespace ivygw {

void ConnectionSlots::Set(uint64_t id, State state) {
  auto [it, added] = connections_.try_emplace(id);
  Slot& slot = it->second;
  if (added) {
    newest_ = id;
  } else {
    Leave(slot);
    slot.answered = slot.answered || (slot.state == State::kBusy && state != State::kBusy);
  }
  slot.state = state;
  slot.change = ++last_change_;
  if (Order* order = OrderOf(state)) order->emplace_hint(order->end(), slot.change, id);
}

void ConnectionSlots::Remove(uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Leave(it->second);
  connections_.erase(it);
}

std::optional<uint64_t> ConnectionSlots::OldestUnfinished() const {
  return unfinished_.empty() ? std::nullopt : std::optional(unfinished_.begin()->second);
}

std::vector<uint64_t> ConnectionSlots::Idle() const {
  std::vector<uint64_t> ids;
  ids.reserve(idle_.size());
  for (const auto& [change, id] : idle_) ids.push_back(id);
  return ids;
}

bool ConnectionSlots::MakeRoom(const CloseIfIdle& close_if_idle, const Close& close) {
  if (!Full()) return true;
  for (const auto& [change, id] : idle_) {
    if (MayBeClosed(id) && close_if_idle(id)) return true;
  }
  for (const auto& [change, id] : unfinished_) {
    if (!MayBeClosed(id)) continue;
    close(id);
    return true;
  }
  paused_ = true;
  return false;
}

bool ConnectionSlots::ShouldResume() {
  bool may_make_room = !Full() || !idle_.empty() || !unfinished_.empty();
  if (!paused_ || !may_make_room) return false;
  paused_ = false;
  return true;
}

ConnectionSlots::Order* ConnectionSlots::OrderOf(State state) {
  switch (state) {
    case State::kIdle: return &idle_;
    case State::kUnfinished: return &unfinished_;
    case State::kBusy: return nullptr;
  }
  return nullptr;
}

void ConnectionSlots::Leave(const Slot& slot) {
  if (Order* order = OrderOf(slot.state)) order->erase(slot.change);
}

bool ConnectionSlots::MayBeClosed(uint64_t id) const { return id != newest_ || connections_.at(id).answered; }

}  // namespace ivygw
