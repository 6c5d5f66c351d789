// Messages as bytes (cereal, portable binary) in frames: a length of four bytes, then so many. Pure.
#ifndef IVYGW_SYSTEM_MESSAGES_CODEC_H_
#define IVYGW_SYSTEM_MESSAGES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "messages/control.h"

namespace ivygw::messages {

inline constexpr size_t kMaxFrameBytes = size_t{32} << 20;  // bytes; a longer frame ends its connection

// The frame, header included. A message over kMaxFrameBytes is a broken invariant of its sender.
std::string Encode(const Message& message);
// A frame's content; none where it is no message of this form.
std::optional<Message> Decode(std::string_view content);

// Frames out of a stream of bytes.
class FrameReader {
 public:
  void Add(std::string_view bytes) { in_.append(bytes); }
  enum class ReadStatus { kFrame, kIncomplete, kTooLong };
  // kFrame: `content` is the next one's, valid until the next call.
  ReadStatus Next(std::string_view* content);

 private:
  std::string in_;
  size_t at_ = 0;
};

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_CODEC_H_
