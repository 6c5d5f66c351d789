#include "trace/segments.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "trace/codec.h"

namespace ivygw::trace {

namespace {

// A segment's head: the magic, then the version, its number and the fingerprint, little-endian as everything
// here.
constexpr char kMagic[8] = {'I', 'V', 'Y', 'T', 'R', 'A', 'C', 'E'};
constexpr size_t kHead = sizeof(kMagic) + 4 + 8 + 8;
constexpr size_t kChunkHead = 8;  // length and checksum
constexpr uint32_t kMostChunk = 64u << 20;

uint32_t Checksum(const char* bytes, size_t size) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes, size);
  return crc.checksum();
}

template <typename Number>
void PutNumber(std::string* out, Number number) {
  boost::endian::native_to_little_inplace(number);
  out->append(reinterpret_cast<const char*>(&number), sizeof(number));
}
template <typename Number>
Number GetNumber(const char* at) {
  Number number;
  std::memcpy(&number, at, sizeof(number));
  return boost::endian::little_to_native(number);
}

std::string SegmentName(const std::string& file, uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), ".%06llu", static_cast<unsigned long long>(number));
  return file + digits;
}

// The numbers of the segments of a trace, in order.
std::vector<uint64_t> SegmentsOf(const std::string& file) {
  std::filesystem::path path(file), folder = path.parent_path();
  std::string start = path.filename().string() + ".";
  std::vector<uint64_t> numbers;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder.empty() ? "." : folder, error)) {
    std::string name = entry.path().filename().string();
    if (name.rfind(start, 0) != 0 || name.size() < start.size() + 6) continue;
    std::string digits = name.substr(start.size());
    if (!std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; })) continue;
    numbers.push_back(std::stoull(digits));
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace

uint64_t Fingerprint(const std::string& text) {
  // Two checksums of different starts: no defence against an adversary, enough to tell configurations apart.
  boost::crc_optimal<32, 0x04C11DB7, 0x12345678, 0, true, true> second;
  second.process_bytes(text.data(), text.size());
  return static_cast<uint64_t>(Checksum(text.data(), text.size())) << 32 | second.checksum();
}

uint64_t FingerprintOfFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return Fingerprint(std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>()));
}

SegmentWriter::SegmentWriter(const std::string& file, uint64_t fingerprint, const TraceLimits& limits)
    : file_(file), fingerprint_(fingerprint), limits_(limits) {
  for (uint64_t number : SegmentsOf(file)) {
    std::error_code ignored;
    std::filesystem::remove(SegmentName(file, number), ignored);
  }
  if (!Begin()) throw TraceError(SegmentName(file_, segment_) + ": " + std::strerror(errno));
  thread_ = std::thread([this] { Work(); });
}

SegmentWriter::~SegmentWriter() {
  {
    std::lock_guard lock(mutex_);
    over_ = true;
  }
  wake_.notify_one();
  thread_.join();
  if (out_ != nullptr) std::fclose(out_);
}

bool SegmentWriter::Append(std::string chunk) {
  {
    std::lock_guard lock(mutex_);
    if (waiting_bytes_ + chunk.size() > limits_.waiting_bytes) {
      ++dropped_;
      gap_ = true;
      return false;
    }
    // An empty chunk stands for those that are missing.
    if (std::exchange(gap_, false)) waiting_.emplace_back();
    waiting_bytes_ += chunk.size();
    waiting_.push_back(std::move(chunk));
  }
  wake_.notify_one();
  return true;
}

void SegmentWriter::Work() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return over_ || !waiting_.empty(); });
    if (waiting_.empty()) return;
    std::string chunk = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    if (!broken_ && !Write(chunk)) {
      broken_ = true;
      std::fprintf(stderr, "trace: %s: %s: nothing more is recorded\n", SegmentName(file_, segment_).c_str(),
                   std::strerror(errno));
    }
    lock.lock();
    waiting_bytes_ -= chunk.size();
  }
}

bool SegmentWriter::Begin() {
  if (out_ != nullptr) std::fclose(out_);
  out_ = std::fopen(SegmentName(file_, ++segment_).c_str(), "wbe");
  if (out_ == nullptr) return false;
  if (segment_ > limits_.segments) {
    std::error_code ignored;
    std::filesystem::remove(SegmentName(file_, segment_ - limits_.segments), ignored);
  }
  std::string head(kMagic, sizeof(kMagic));
  PutNumber(&head, static_cast<uint32_t>(kVersion));
  PutNumber(&head, segment_);
  PutNumber(&head, fingerprint_);
  written_ = head.size();
  return std::fwrite(head.data(), 1, head.size(), out_) == head.size() && std::fflush(out_) == 0;
}

bool SegmentWriter::Write(const std::string& chunk) {
  if (written_ > kHead && written_ + kChunkHead + chunk.size() > limits_.segment_bytes && !Begin())
    return false;
  std::string head;
  PutNumber(&head, static_cast<uint32_t>(chunk.size()));
  PutNumber(&head, Checksum(chunk.data(), chunk.size()));
  written_ += head.size() + chunk.size();
  return std::fwrite(head.data(), 1, head.size(), out_) == head.size() &&
         std::fwrite(chunk.data(), 1, chunk.size(), out_) == chunk.size() && std::fflush(out_) == 0;
}

TraceFile ReadTrace(const std::string& file) {
  TraceFile trace;
  std::vector<uint64_t> numbers = SegmentsOf(file);
  if (numbers.empty())
    throw TraceError(file + ": there is no trace of this name (" + SegmentName(file, 1) + ")");
  trace.first_segment = numbers.front();
  for (size_t i = 0; i < numbers.size(); ++i) {
    std::string name = SegmentName(file, numbers[i]);
    auto wrong = [&](size_t at, const std::string& what) {
      trace.fault = std::string(name).append(": byte ").append(std::to_string(at)).append(": ").append(what);
      return trace;
    };
    if (i > 0 && numbers[i] != numbers[i - 1] + 1) return wrong(0, "the segment before it is missing");
    std::ifstream in(name, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (bytes.size() < kHead || bytes.compare(0, sizeof(kMagic), kMagic, sizeof(kMagic)) != 0) {
      if (i == 0) throw TraceError(name + ": byte 0: no trace of ivygw");
      trace.torn = bytes.size() < kHead;
      return wrong(0, "no head of a segment");
    }
    uint32_t version = GetNumber<uint32_t>(bytes.data() + sizeof(kMagic));
    if (version != kVersion) {
      throw TraceError(name + ": a trace of version " + std::to_string(version) +
                       ", and this program reads version " + std::to_string(kVersion));
    }
    if (GetNumber<uint64_t>(bytes.data() + sizeof(kMagic) + 4) != numbers[i])
      return wrong(12, "another segment's number");
    uint64_t fingerprint = GetNumber<uint64_t>(bytes.data() + sizeof(kMagic) + 12);
    if (i == 0) trace.fingerprint = fingerprint;
    if (fingerprint != trace.fingerprint)
      return wrong(20, "of another configuration than the segment before");
    size_t at = kHead;
    while (at < bytes.size()) {
      bool head = bytes.size() - at >= kChunkHead;
      uint32_t size = head ? GetNumber<uint32_t>(bytes.data() + at) : 0;
      if (head && size > kMostChunk) return wrong(at, "a chunk of a length that none has");
      if (!head || bytes.size() - at - kChunkHead < size) {
        trace.torn = i + 1 == numbers.size();
        return wrong(at, "the file ends in the middle of a chunk");
      }
      const char* chunk = bytes.data() + at + kChunkHead;
      if (Checksum(chunk, size) != GetNumber<uint32_t>(bytes.data() + at + 4))
        return wrong(at, "a chunk is damaged");
      if (size == 0) return wrong(at, "chunks were dropped here, since the disk was slow");
      trace.chunks.emplace_back(chunk, size);
      at += kChunkHead + size;
    }
  }
  return trace;
}

}  // namespace ivygw::trace
