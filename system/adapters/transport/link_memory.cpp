#include "transport/link_memory.h"

#include <algorithm>

#include "messages/codec.h"
#include "process/log.h"

namespace ivygw::transport {

namespace {

// The longest frame, and room for the other links.
constexpr size_t kLeastLimit = messages::kMaxFrameBytes + (size_t{8} << 20);
constexpr auto kLogInterval = std::chrono::seconds(1);
constexpr char kOverLimit[] = "limits.memory_mb: connections hold more than their part";

}  // namespace

LinkMemory::LinkMemory(size_t limit) : limit_(std::max(limit, kLeastLimit)) {}

void LinkMemory::Remove(Holder* holder) {
  if (holders_.erase(holder) == 0) return;
  used_ -= holder->bytes_;
  holder->bytes_ = 0;
}

void LinkMemory::Update(Holder* holder, size_t bytes) {
  if (holders_.count(holder) == 0) return;
  used_ = used_ - holder->bytes_ + bytes;
  holder->bytes_ = bytes;
  while (used_ > limit_) EvictLargest();
}

void LinkMemory::EvictLargest() {
  auto fewer = [](const Holder* left, const Holder* right) { return left->bytes_ < right->bytes_; };
  Holder* largest = *std::max_element(holders_.begin(), holders_.end(), fewer);
  LogClosed(kOverLimit, largest->Peer(), largest->bytes_);
  Remove(largest);
  largest->Evict();
}

void LinkMemory::LogClosed(std::string_view reason, const std::string& peer, size_t bytes) {
  ++closed_;
  if (Clock::now() < logged_at_ + kLogInterval) return;
  logged_at_ = Clock::now();
  process::Log("link_closed")
      .Add("reason", reason)
      .Add("peer", peer)
      .Add("bytes", bytes)
      .Add("held_mb", used_ >> 20)
      .Add("so_far", closed_);
}

}  // namespace ivygw::transport
