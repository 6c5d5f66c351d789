#include "core/request_table.h"

#include <utility>

namespace ivygw::core {

uint32_t RequestTable::Add(uint64_t client, std::string id, int cls, double deadline, bool side_effect_free) {
  do ++last_number_;
  while (last_number_ == 0 || requests_.count(last_number_) != 0);
  RequestState& state = requests_[last_number_];
  state.client = client;
  state.id = std::move(id);
  state.cls = cls;
  state.deadline = deadline;
  state.side_effect_free = side_effect_free;
  ids_.insert(state.id);
  by_client_[client] = last_number_;
  return last_number_;
}

RequestState* RequestTable::Find(uint32_t request) {
  auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

std::vector<uint32_t> RequestTable::Numbers() const {
  std::vector<uint32_t> numbers;
  for (const auto& [number, state] : requests_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

uint32_t RequestTable::UnansweredOf(uint64_t client) const {
  auto it = by_client_.find(client);
  return it == by_client_.end() ? 0 : it->second;
}

bool RequestTable::MarkAnswered(uint32_t request) {
  RequestState* state = Find(request);
  if (state == nullptr || state->answered) return false;
  state->answered = true;
  by_client_.erase(state->client);
  return true;
}

bool RequestTable::BeginStream(uint32_t request, int attempt) {
  if (!MarkAnswered(request)) return false;
  RequestState* state = Find(request);
  state->streaming = true;
  state->stream_attempt = attempt;
  streaming_[state->client] = request;
  return true;
}
void RequestTable::EndStream(uint32_t request) {
  RequestState* state = Find(request);
  if (state == nullptr || !state->streaming) return;
  state->streaming = false;
  streaming_.erase(state->client);
}
uint32_t RequestTable::StreamingTo(uint64_t client) const {
  auto it = streaming_.find(client);
  return it == streaming_.end() ? 0 : it->second;
}

bool RequestTable::RemoveIfFinished(uint32_t request) {
  auto it = requests_.find(request);
  if (it == requests_.end() || !it->second.answered || it->second.HasAttemptInFlight()) return false;
  ids_.erase(it->second.id);
  requests_.erase(it);
  return true;
}

}  // namespace ivygw::core
