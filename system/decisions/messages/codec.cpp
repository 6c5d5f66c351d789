#include "messages/codec.h"

#include <cstdlib>

#include "messages/bounded_archive.h"

namespace ivygw::messages {

std::string Encode(const Message& message) {
  std::string out(4, '\0');
  messages::AppendSerialized(message, &out);
  size_t n = out.size() - 4;
  if (n > kMaxFrameBytes) std::abort();
  for (int i = 0; i < 4; ++i) out[static_cast<size_t>(i)] = static_cast<char>(n >> (8 * (3 - i)));
  return out;
}

std::optional<Message> Decode(std::string_view content) {
  try {  // the library's edge: lengths past the end, a kind that isn't there
    messages::BoundedInput archive(content);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

FrameReader::ReadStatus FrameReader::Next(std::string_view* content) {
  if (at_ > 0 && (at_ == in_.size() || at_ > size_t{64} * 1024)) {
    in_.erase(0, at_);
    at_ = 0;
    if (in_.empty() && in_.capacity() > size_t{256} * 1024) in_.shrink_to_fit();
  }
  if (in_.size() - at_ < 4) return ReadStatus::kIncomplete;
  size_t n = 0;
  for (size_t i = 0; i < 4; ++i) n = n << 8 | static_cast<unsigned char>(in_[at_ + i]);
  if (n > kMaxFrameBytes) return ReadStatus::kTooLong;
  if (in_.size() - at_ - 4 < n) return ReadStatus::kIncomplete;
  *content = std::string_view(in_).substr(at_ + 4, n);
  at_ += 4 + n;
  return ReadStatus::kFrame;
}

}  // namespace ivygw::messages
