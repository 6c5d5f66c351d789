// Encoding of messages as frames: a 4-byte big-endian length, then the message in cereal's portable binary
// format. No I/O.
#ifndef IVYGW_SYSTEM_MESSAGES_CODEC_H_
#define IVYGW_SYSTEM_MESSAGES_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "messages/control.h"

namespace ivygw::messages {

inline constexpr size_t kMaxIdleBuffer = size_t{4} * 1024;  // bytes that an empty buffer keeps
inline constexpr size_t kMaxFrameBytes = size_t{32} << 20;  // a longer frame ends its connection

// Returns the whole frame, including the length. Aborts if the message exceeds kMaxFrameBytes: senders must
// keep their messages smaller.
std::string Encode(const Message& message);
// Decodes the content of a frame. Returns nullopt if it is not a valid message.
std::optional<Message> Decode(std::string_view content);

// Splits a byte stream into frames.
class FrameReader {
 public:
  void Add(std::string_view bytes);
  // A longer frame is kTooLong; kMaxFrameBytes unless this is called.
  void LimitFrames(size_t bytes) { max_frame_ = bytes; }
  size_t held() const { return buffer_.capacity(); }  // bytes
  enum class ReadStatus {
    kFrame,       // a frame was read
    kIncomplete,  // more bytes are needed
    kTooLong      // the frame exceeds the limit
  };
  // Reads the next frame. On kFrame, `content` is set to its content, which stays valid until the next call.
  ReadStatus Next(std::string_view* content);

 private:
  // The length of the first unread frame; nullopt while it is not known.
  std::optional<size_t> NextLength() const;
  void DropReadBytes();

  std::vector<char> buffer_;
  size_t offset_ = 0;  // of the first unread byte in buffer_
  size_t max_frame_ = kMaxFrameBytes;
};

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_CODEC_H_
