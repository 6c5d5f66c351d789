#include "storage/log_tail.h"

#include <fcntl.h>
#include <leveldb/env.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <system_error>

namespace ivygw::storage {
namespace {

constexpr size_t kBlockSize = 32768;
constexpr size_t kHeaderSize = 7;  // checksum, length, type

// A record is one fragment, or a first one, middle ones and a last one.
enum class FragmentType : uint8_t { kFull = 1, kFirst = 2, kMiddle = 3, kLast = 4 };

struct Fragment {
  FragmentType type;
  size_t end;  // offset after it

  bool BeginsRecord() const { return type == FragmentType::kFull || type == FragmentType::kFirst; }
  bool EndsRecord() const { return type == FragmentType::kFull || type == FragmentType::kLast; }
};

uint32_t ReadLittleEndian(std::string_view bytes) {
  uint32_t number = 0;
  for (size_t i = bytes.size(); i > 0; --i) number = number << 8 | static_cast<uint8_t>(bytes[i - 1]);
  return number;
}

// CRC-32C, masked as LevelDB stores it.
uint32_t MaskedChecksum(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  uint32_t checksum = crc.checksum();
  return (checksum >> 15 | checksum << 17) + 0xa282ead8;
}

// The fragment at `offset`; none where there isn't a whole one.
std::optional<Fragment> FragmentAt(std::string_view content, size_t offset) {
  size_t left_in_block = kBlockSize - offset % kBlockSize;
  if (left_in_block < kHeaderSize || content.size() - offset < kHeaderSize) return std::nullopt;
  size_t length = ReadLittleEndian(content.substr(offset + 4, 2));
  auto type = static_cast<uint8_t>(content[offset + 6]);
  bool known_type =
      type >= static_cast<uint8_t>(FragmentType::kFull) && type <= static_cast<uint8_t>(FragmentType::kLast);
  size_t end = offset + kHeaderSize + length;
  if (!known_type || kHeaderSize + length > left_in_block || end > content.size()) return std::nullopt;
  uint32_t checksum = ReadLittleEndian(content.substr(offset, 4));
  if (checksum != MaskedChecksum(content.substr(offset + 6, 1 + length))) return std::nullopt;
  return Fragment{static_cast<FragmentType>(type), end};
}

// Blocks end in zeros where no header fits.
size_t SkipTrailer(size_t offset) {
  size_t left_in_block = kBlockSize - offset % kBlockSize;
  return left_in_block < kHeaderSize ? offset + left_in_block : offset;
}

bool AnyRecordBeginsAfter(std::string_view content, size_t offset) {
  for (size_t at = offset + 1; at + kHeaderSize <= content.size(); ++at) {
    std::optional<Fragment> fragment = FragmentAt(content, at);
    if (fragment && fragment->BeginsRecord()) return true;
  }
  return false;
}

// Whole, or it throws: what can't be read at this time must not count as the end of the file.
std::string ReadFile(leveldb::Env* env, const std::filesystem::path& path) {
  std::string content;
  leveldb::Status status = leveldb::ReadFileToString(env, path, &content);
  if (status.ok()) return content;
  throw std::filesystem::filesystem_error(status.ToString(), path, std::make_error_code(std::errc::io_error));
}

void CutAndSync(const std::filesystem::path& path, size_t size) {
  std::filesystem::resize_file(path, size);
  int descriptor = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  bool synced = descriptor >= 0 && fsync(descriptor) == 0;
  std::error_code error(errno, std::generic_category());
  if (descriptor >= 0) close(descriptor);
  if (!synced) throw std::filesystem::filesystem_error("can't be synced", path, error);
}

bool IsInLogFormat(const std::filesystem::path& path) {
  return path.extension() == ".log" || path.filename().string().starts_with("MANIFEST-");
}

}  // namespace

std::optional<size_t> FindTornTail(std::string_view content) {
  size_t record = 0;  // where the record that is being read begins
  bool in_record = false;
  for (size_t offset = 0;;) {
    offset = SkipTrailer(offset);
    if (!in_record) record = offset;
    if (offset >= content.size()) break;
    std::optional<Fragment> fragment = FragmentAt(content, offset);
    if (!fragment || fragment->BeginsRecord() == in_record) {
      if (AnyRecordBeginsAfter(content, offset)) return std::nullopt;
      return record;
    }
    in_record = !fragment->EndsRecord();
    offset = fragment->end;
  }
  return in_record ? std::optional<size_t>(record) : std::nullopt;
}

std::vector<DroppedTail> DropTornTails(const std::string& folder, leveldb::Env* env) {
  std::vector<DroppedTail> dropped;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (!IsInLogFormat(entry.path())) continue;
    std::string content = ReadFile(env, entry.path());
    std::optional<size_t> tail = FindTornTail(content);
    if (!tail) continue;
    CutAndSync(entry.path(), *tail);
    dropped.push_back({entry.path().filename(), content.size() - *tail});
  }
  return dropped;
}

}  // namespace ivygw::storage
