#include "core/ban_table.h"

#include <algorithm>

namespace ivygw::core {

using micadock::BackendState;

std::vector<ListedBackend> BanTable::Told(bool whole, const std::vector<ListedBackend>& entries) {
  if (whole) listed_.clear();
  std::vector<ListedBackend> told = entries;
  for (ListedBackend& entry : told) {
    uint32_t id = entry.backend.id;
    if (entry.backend.state == BackendState::kGone) {
      listed_.erase(id);
      continue;
    }
    listed_[id] = entry;
    if (entry.backend.state == BackendState::kReady && Banned(id))
      entry.backend.state = BackendState::kDraining;
  }
  return told;
}

std::optional<ListedBackend> BanTable::Ban(uint32_t backend, double now) {
  if (!banned_.try_emplace(backend, now).second) return std::nullopt;
  auto it = listed_.find(backend);
  if (it == listed_.end() || it->second.backend.state != BackendState::kReady) return std::nullopt;
  ListedBackend told = it->second;
  told.backend.state = BackendState::kDraining;
  return told;
}

std::optional<ListedBackend> BanTable::Lift(uint32_t backend, double now) {
  auto ban = banned_.find(backend);
  if (ban == banned_.end()) return std::nullopt;
  double began = ban->second;
  banned_.erase(ban);
  auto it = listed_.find(backend);
  if (it == listed_.end() || it->second.backend.state != BackendState::kReady) return std::nullopt;
  ListedBackend told = it->second;
  if (told.backend.started_s < began) told.backend.started_s = now;
  return told;
}

size_t BanTable::listed_and_banned() const {
  return static_cast<size_t>(std::count_if(banned_.begin(), banned_.end(), [this](const auto& ban) {
    auto it = listed_.find(ban.first);
    return it != listed_.end() && it->second.backend.state == BackendState::kReady;
  }));
}

}  // namespace ivygw::core
