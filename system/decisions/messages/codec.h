// Encoding of messages as frames: a 4-byte big-endian length, then the message in cereal's portable binary
// format. No I/O.
#ifndef IVYGW_SYSTEM_MESSAGES_CODEC_H_
#define IVYGW_SYSTEM_MESSAGES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "messages/control.h"

namespace ivygw::messages {

inline constexpr size_t kMaxFrameBytes = size_t{32} << 20;  // a longer frame ends its connection

// Returns the whole frame, including the length. Aborts if the message exceeds kMaxFrameBytes: senders must
// keep their messages smaller.
std::string Encode(const Message& message);
// Decodes the content of a frame. Returns nullopt if it is not a valid message.
std::optional<Message> Decode(std::string_view content);

// Splits a byte stream into frames.
class FrameReader {
 public:
  void Add(std::string_view bytes) { buffer_.append(bytes); }
  enum class ReadStatus {
    kFrame,       // a frame was read
    kIncomplete,  // more bytes are needed
    kTooLong      // the frame exceeds kMaxFrameBytes
  };
  // Reads the next frame. On kFrame, `content` is set to its content, which stays valid until the next call.
  ReadStatus Next(std::string_view* content);

 private:
  std::string buffer_;
  size_t offset_ = 0;  // of the first unread byte in buffer_
};

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_CODEC_H_
