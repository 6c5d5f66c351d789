#include "messages/codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdlib>

#include "messages/bounded_archive.h"

namespace ivygw::messages {

namespace {

constexpr size_t kLengthBytes = 4;

}  // namespace

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

void FrameReader::Add(std::string_view bytes) {
  DropReadBytes();
  // The buffer grows to twice its size each time, but not past the frame that is to come.
  size_t wanted = buffer_.size() + bytes.size();
  std::optional<size_t> length = NextLength();
  if (wanted > buffer_.capacity() && length && *length <= max_frame_)
    buffer_.reserve(std::max(wanted, std::min(2 * buffer_.capacity(), offset_ + kLengthBytes + *length)));
  buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

FrameReader::ReadStatus FrameReader::Next(std::string_view* content) {
  std::optional<size_t> length = NextLength();
  if (!length) {
    DropReadBytes();
    return ReadStatus::kIncomplete;
  }
  if (*length > max_frame_) return ReadStatus::kTooLong;
  if (buffer_.size() - offset_ - kLengthBytes < *length) return ReadStatus::kIncomplete;
  *content = std::string_view(buffer_.data(), buffer_.size()).substr(offset_ + kLengthBytes, *length);
  offset_ += kLengthBytes + *length;
  return ReadStatus::kFrame;
}

std::optional<size_t> FrameReader::NextLength() const {
  if (buffer_.size() - offset_ < kLengthBytes) return std::nullopt;
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i)
    length = length << 8 | static_cast<unsigned char>(buffer_[offset_ + i]);
  return length;
}

void FrameReader::DropReadBytes() {
  if (offset_ == 0) return;
  buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<ptrdiff_t>(offset_));
  offset_ = 0;
  if (buffer_.capacity() > std::max(kMaxIdleBuffer, 2 * buffer_.size())) buffer_.shrink_to_fit();
}

}  // namespace ivygw::messages
