#include "core/ban_table.h"

#include <algorithm>

namespace ivygw::core {

using micadock::BackendState;

std::vector<ListedBackend> BanTable::ApplyList(bool full, const std::vector<ListedBackend>& entries) {
  if (full) listed_.clear();
  std::vector<ListedBackend> result = entries;
  for (ListedBackend& entry : result) {
    uint32_t id = entry.backend.id;
    if (entry.backend.state == BackendState::kGone) {
      listed_.erase(id);
      continue;
    }
    listed_[id] = entry;
    if (entry.backend.state == BackendState::kReady && IsBanned(id))
      entry.backend.state = BackendState::kDraining;
  }
  return result;
}

std::optional<ListedBackend> BanTable::Ban(uint32_t backend, double now) {
  if (!banned_.try_emplace(backend, now).second) return std::nullopt;
  auto it = listed_.find(backend);
  if (it == listed_.end() || it->second.backend.state != BackendState::kReady) return std::nullopt;
  ListedBackend result = it->second;
  result.backend.state = BackendState::kDraining;
  return result;
}

std::optional<ListedBackend> BanTable::Lift(uint32_t backend, double now) {
  auto ban = banned_.find(backend);
  if (ban == banned_.end()) return std::nullopt;
  double banned_at = ban->second;
  banned_.erase(ban);
  auto it = listed_.find(backend);
  if (it == listed_.end() || it->second.backend.state != BackendState::kReady) return std::nullopt;
  ListedBackend result = it->second;
  if (result.backend.started_s < banned_at) result.backend.started_s = now;
  return result;
}

size_t BanTable::listed_and_banned() const {
  return static_cast<size_t>(std::count_if(banned_.begin(), banned_.end(), [this](const auto& ban) {
    auto it = listed_.find(ban.first);
    return it != listed_.end() && it->second.backend.state == BackendState::kReady;
  }));
}

}  // namespace ivygw::core
