#include "messages/codec.h"

#include <cstdlib>

#include "messages/bounded_archive.h"

namespace ivygw::messages {

std::string Encode(const Message& message) {
  std::string out(4, '\0');
  messages::AppendSerialized(message, &out);
  size_t length = out.size() - 4;
  if (length > kMaxFrameBytes) std::abort();
  for (int i = 0; i < 4; ++i) out[static_cast<size_t>(i)] = static_cast<char>(length >> (8 * (3 - i)));
  return out;
}

std::optional<Message> Decode(std::string_view content) {
  try {  // cereal reports malformed input, such as an invalid variant index, by exceptions
    messages::BoundedInput archive(content);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

FrameReader::ReadStatus FrameReader::Next(std::string_view* content) {
  if (offset_ > 0 && (offset_ == buffer_.size() || offset_ > size_t{64} * 1024)) {
    buffer_.erase(0, offset_);
    offset_ = 0;
    if (buffer_.empty() && buffer_.capacity() > size_t{256} * 1024) buffer_.shrink_to_fit();
  }
  if (buffer_.size() - offset_ < 4) return ReadStatus::kIncomplete;
  size_t length = 0;
  for (size_t i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(buffer_[offset_ + i]);
  if (length > kMaxFrameBytes) return ReadStatus::kTooLong;
  if (buffer_.size() - offset_ - 4 < length) return ReadStatus::kIncomplete;
  *content = std::string_view(buffer_).substr(offset_ + 4, length);
  offset_ += 4 + length;
  return ReadStatus::kFrame;
}

}  // namespace ivygw::messages
