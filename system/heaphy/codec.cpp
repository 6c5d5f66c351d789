#include "heaphy/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdlib>
#include <cstring>
#include <ostream>
#include <streambuf>

namespace ivygw::heaphy {
namespace {

// What cereal's portable binary archive has written, read with a bound: no length in it is believed past the bytes that are
// there, as each element takes one at least. Every machine of a system has one byte order; the first byte tells it.
class FrameInput : public cereal::InputArchive<FrameInput, cereal::AllowEmptyClassElision> {
 public:
  explicit FrameInput(std::string_view bytes) : InputArchive(this), bytes_(bytes) {
    uint8_t order = 0;
    loadBinary(&order, 1);
    if (order != cereal::portable_binary_detail::is_little_endian()) throw cereal::Exception("byte order");
  }
  void loadBinary(void* to, size_t n) {
    if (n > bytes_.size()) throw cereal::Exception("short");
    std::memcpy(to, bytes_.data(), n);
    bytes_.remove_prefix(n);
  }
  size_t left() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};
template <class T>
  requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInput& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {  // a byte that is neither is no truth
    uint8_t byte = 0;
    archive.loadBinary(&byte, 1);
    if (byte > 1) throw cereal::Exception("truth");
    value = byte == 1;
  } else {
    archive.loadBinary(&value, sizeof(value));
  }
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInput& archive, cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<size_t>(data.size));
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(FrameInput& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.left()) throw cereal::Exception("length");
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(FrameInput& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

class StringBuffer : public std::streambuf {
 public:
  explicit StringBuffer(std::string* out) : out_(out) {}

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize n) override {
    out_->append(bytes, static_cast<size_t>(n));
    return n;
  }
  int_type overflow(int_type c) override {
    out_->push_back(static_cast<char>(c));
    return c;
  }

 private:
  std::string* out_;
};

}  // namespace

std::string Encode(const Message& message) {
  std::string out(4, '\0');
  StringBuffer buffer(&out);
  std::ostream stream(&buffer);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  size_t n = out.size() - 4;
  if (n > kMostFrame) std::abort();
  for (int i = 0; i < 4; ++i) out[static_cast<size_t>(i)] = static_cast<char>(n >> (8 * (3 - i)));
  return out;
}

std::optional<Message> Decode(std::string_view content) {
  try {  // the library's edge: lengths past the end, a kind that isn't there
    FrameInput archive(content);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

FrameReader::Got FrameReader::Next(std::string_view* content) {
  if (at_ > 0 && (at_ == in_.size() || at_ > 64 * 1024)) {
    in_.erase(0, at_);
    at_ = 0;
    if (in_.empty() && in_.capacity() > 256 * 1024) in_.shrink_to_fit();
  }
  if (in_.size() - at_ < 4) return Got::kMore;
  size_t n = 0;
  for (size_t i = 0; i < 4; ++i) n = n << 8 | static_cast<unsigned char>(in_[at_ + i]);
  if (n > kMostFrame) return Got::kBad;
  if (in_.size() - at_ - 4 < n) return Got::kMore;
  *content = std::string_view(in_).substr(at_ + 4, n);
  at_ += 4 + n;
  return Got::kFrame;
}

}  // namespace ivygw::heaphy
