#include "core/request_table.h"

#include <utility>

namespace ivygw::core {

uint32_t RequestTable::Take(uint64_t client, std::string id, int cls, double deadline, bool free) {
  do ++last_;
  while (last_ == 0 || held_.count(last_) != 0);
  RequestState& held = held_[last_];
  held.client = client;
  held.id = std::move(id);
  held.cls = cls;
  held.deadline = deadline;
  held.free = free;
  ids_.insert(held.id);
  by_client_[client] = last_;
  return last_;
}

RequestState* RequestTable::Find(uint32_t request) {
  auto it = held_.find(request);
  return it == held_.end() ? nullptr : &it->second;
}

std::vector<uint32_t> RequestTable::Numbers() const {
  std::vector<uint32_t> numbers;
  for (const auto& [number, held] : held_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

uint32_t RequestTable::OfClient(uint64_t client) const {
  auto it = by_client_.find(client);
  return it == by_client_.end() ? 0 : it->second;
}

bool RequestTable::Answer(uint32_t request) {
  RequestState* held = Find(request);
  if (held == nullptr || held->answered) return false;
  held->answered = true;
  by_client_.erase(held->client);
  return true;
}

bool RequestTable::Begin(uint32_t request, int attempt) {
  if (!Answer(request)) return false;
  RequestState* held = Find(request);
  held->streaming = true;
  held->stream = attempt;
  streaming_[held->client] = request;
  return true;
}
void RequestTable::Ended(uint32_t request) {
  RequestState* held = Find(request);
  if (held == nullptr || !held->streaming) return;
  held->streaming = false;
  streaming_.erase(held->client);
}
uint32_t RequestTable::StreamingTo(uint64_t client) const {
  auto it = streaming_.find(client);
  return it == streaming_.end() ? 0 : it->second;
}

bool RequestTable::ForgetIfOver(uint32_t request) {
  auto it = held_.find(request);
  if (it == held_.end() || !it->second.answered || it->second.Out()) return false;
  ids_.erase(it->second.id);
  held_.erase(it);
  return true;
}

}  // namespace ivygw::core
