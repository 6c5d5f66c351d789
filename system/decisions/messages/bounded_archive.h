// Serialization in cereal's portable binary format, and deserialization of untrusted bytes with bounds
// checks. Used for frames, records on disk and files. No I/O.
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

// Reads the output of cereal's portable binary archive. Rejects a container size that exceeds the number of
// remaining bytes, since each element takes at least one byte, so a corrupt size can't cause a huge
// allocation. The first byte is the writer's byte order, which must be that of this machine: all machines of
// a system share one. Throws cereal::Exception if the bytes are not a valid encoding.
class BoundedInput : public cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInput(std::string_view bytes) : InputArchive(this), bytes_(bytes) {
    uint8_t order = 0;
    loadBinary(&order, 1);
    if (order != cereal::portable_binary_detail::is_little_endian())
      throw cereal::Exception("byte order differs from this machine's");
  }
  void loadBinary(void* destination, size_t size) {
    if (size > bytes_.size()) throw cereal::Exception("unexpected end of data");
    if (size == 0) return;  // `destination` may be null then
    std::memcpy(destination, bytes_.data(), size);
    bytes_.remove_prefix(size);
  }
  // The number of bytes that have not been read yet.
  size_t remaining() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {  // any other byte than 0 or 1 would be an invalid bool
    uint8_t byte = 0;
    archive.loadBinary(&byte, 1);
    if (byte > 1) throw cereal::Exception("invalid bool");
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
  if (tag.size > archive.remaining()) throw cereal::Exception("container size exceeds the data");
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
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    out_->append(bytes, static_cast<size_t>(count));
    return count;
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

// Returns nullopt unless the bytes are exactly one encoded value, without trailing bytes.
template <class T>
std::optional<T> Deserialize(std::string_view bytes) {
  try {  // cereal reports malformed input, such as an invalid variant index, by exceptions
    BoundedInput archive(bytes);
    T value;
    archive(value);
    if (archive.remaining() > 0) return std::nullopt;
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_BOUNDED_ARCHIVE_H_
