// Values as bytes by cereal's portable binary form, and back with bounds: for frames, records on disk and
// files. Pure.
#ifndef IVYGW_SYSTEM_MESSAGES_BOUNDED_ARCHIVE_H_
#define IVYGW_SYSTEM_MESSAGES_BOUNDED_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>

namespace ivygw::messages {

// Reads what cereal's portable binary archive has written. No length in it is believed past the bytes that
// are there, as each element takes one at least. Every machine of a system has one byte order; the first byte
// tells it. Throws cereal::Exception where the bytes are no such value.
class BoundedInput : public cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInput(std::string_view bytes) : InputArchive(this), bytes_(bytes) {
    uint8_t order = 0;
    loadBinary(&order, 1);
    if (order != cereal::portable_binary_detail::is_little_endian()) throw cereal::Exception("byte order");
  }
  void loadBinary(void* to, size_t n) {
    if (n > bytes_.size()) throw cereal::Exception("short");
    if (n == 0) return;  // `to` may be null then
    std::memcpy(to, bytes_.data(), n);
    bytes_.remove_prefix(n);
  }
  // Bytes that have not been read.
  size_t left() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {  // a byte that is neither 0 nor 1 is no bool
    uint8_t byte = 0;
    archive.loadBinary(&byte, 1);
    if (byte > 1) throw cereal::Exception("bool");
    value = byte == 1;
  } else {
    archive.loadBinary(&value, sizeof(value));
  }
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<size_t>(data.size));
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInput& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.left()) throw cereal::Exception("length");
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInput& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

// A stream buffer that appends to a string.
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

template <class T>
void AppendSerialized(const T& value, std::string* out) {
  StringBuffer buffer(out);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value);
}

template <class T>
std::string Serialize(const T& value) {
  std::string out;
  AppendSerialized(value, &out);
  return out;
}

// None where the bytes are not exactly one such value.
template <class T>
std::optional<T> Deserialize(std::string_view bytes) {
  try {  // the library's edge: lengths past the end, a kind that isn't there
    BoundedInput archive(bytes);
    T value;
    archive(value);
    if (archive.left() > 0) return std::nullopt;
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_BOUNDED_ARCHIVE_H_
