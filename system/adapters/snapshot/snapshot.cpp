#include "snapshot/snapshot.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <string_view>

#include "base/text_hash.h"
#include "messages/bounded_archive.h"
#include "storage/data_folder.h"
#include "storage/store_creation.h"

namespace ivygw::snapshot {
namespace {

constexpr std::string_view kMagic = "IVYGWSNP";
constexpr size_t kFormatBytes = 4, kLengthBytes = 8, kDigestBytes = 8;
constexpr size_t kHeaderBytes = kMagic.size() + kFormatBytes + kLengthBytes;
constexpr uint64_t kDigestSeed = 0x736e6170;

// More changes of members than any system makes between a snapshot and the loss that it is to mend.
constexpr uint64_t kEpochStep = 1'000'000;

// Snapshot as it is serialised.
struct Content {
  Snapshot snapshot;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot.table, snapshot.membership, snapshot.revision, snapshot.records);
  }
};

void AppendNumber(uint64_t value, size_t bytes, std::string* out) {
  for (size_t i = 0; i < bytes; ++i) out->push_back(static_cast<char>(value >> (8 * i)));
}

uint64_t NumberAt(std::string_view bytes, size_t at, size_t count) {
  uint64_t value = 0;
  for (size_t i = count; i > 0; --i) value = value << 8 | static_cast<unsigned char>(bytes[at + i - 1]);
  return value;
}

uint64_t DigestOf(std::string_view bytes) { return micadock::TextHash(bytes, kDigestSeed); }

std::string Encode(const Snapshot& snapshot) {
  std::string content = messages::Serialize(Content{snapshot});
  std::string out(kMagic);
  AppendNumber(kSnapshotFormat, kFormatBytes, &out);
  AppendNumber(content.size(), kLengthBytes, &out);
  out += content;
  AppendNumber(DigestOf(out), kDigestBytes, &out);
  return out;
}

std::string Reason(const std::string& path) { return path + ": " + std::strerror(errno); }

// Closed at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() { Close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }
  bool Close() {
    int closing = number_;
    number_ = -1;
    return closing < 0 || close(closing) == 0;
  }

 private:
  int number_;
};

bool WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

bool WriteFileSynced(const std::string& path, std::string_view bytes) {
  Descriptor file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  return file.number() >= 0 && WriteAll(file.number(), bytes) && fsync(file.number()) == 0 && file.Close();
}

// As many of the bytes that follow as there are, `most` at most. False where the file can't be read.
bool ReadUpTo(int descriptor, size_t most, std::string* out) {
  constexpr size_t kPiece = size_t{1} << 20;
  while (most > 0) {
    size_t piece = std::min(most, kPiece), before = out->size();
    out->resize(before + piece);
    ssize_t got = read(descriptor, out->data() + before, piece);
    out->resize(before + (got > 0 ? static_cast<size_t>(got) : 0));
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) return got == 0;
    most -= static_cast<size_t>(got);
  }
  return true;
}

ReadResult Failed(SnapshotErrorCode code, const std::string& field, const std::string& message) {
  return {std::nullopt, {code, field, message}};
}

// Whether the records can be those of one table at this revision.
bool IsTable(const Snapshot& snapshot) {
  std::set<std::string_view> keys;
  for (const messages::Record& record : snapshot.records) {
    bool good = !record.item.key.empty() && record.revision <= snapshot.revision;
    if (!good || !keys.insert(record.item.key).second) return false;
  }
  return !snapshot.table.empty();
}

// Of a member that begins with this snapshot: the same on every machine, and none that a store has drawn.
uint64_t StoreIdOf(const Snapshot& snapshot, const std::string& address) {
  uint64_t digest = DigestOf(messages::Serialize(Content{snapshot}));
  uint64_t id = micadock::Mix(digest ^ micadock::TextHash(address));
  return std::max(id, replication::kFounderStoreId + 1);
}

SnapshotError CheckPlan(const Snapshot& snapshot, const ImportPlan& plan) {
  if (snapshot.table != plan.table) {
    return {SnapshotErrorCode::kWrongTable, "table",
            "the snapshot is of " + snapshot.table + ", not of " + plan.table};
  }
  std::set<std::string> members(plan.members.begin(), plan.members.end());
  if (members.empty() || members.size() != plan.members.size() || members.count("") > 0) {
    return {SnapshotErrorCode::kBadMembers, "member", "each first member is to be named once"};
  }
  if (members.count(plan.address) == 0) {
    return {SnapshotErrorCode::kBadMembers, "address", plan.address + " is none of the first members"};
  }
  return {};
}

}  // namespace

SnapshotError WriteSnapshot(const std::string& path, const Snapshot& snapshot) {
  std::string unfinished = path + ".unfinished";
  if (!WriteFileSynced(unfinished, Encode(snapshot))) {
    SnapshotError error{SnapshotErrorCode::kUnwritable, "file", Reason(unfinished)};
    unlink(unfinished.c_str());
    return error;
  }
  if (std::rename(unfinished.c_str(), path.c_str()) != 0) {
    return {SnapshotErrorCode::kUnwritable, "file", Reason(path)};
  }
  std::string folder = std::filesystem::absolute(path).parent_path();
  if (!storage::SyncFolder(folder)) return {SnapshotErrorCode::kUnwritable, "folder", Reason(folder)};
  return {};
}

ReadResult ReadSnapshot(const std::string& path) {
  Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  std::string bytes;
  if (file.number() < 0 || !ReadUpTo(file.number(), kHeaderBytes, &bytes)) {
    return Failed(SnapshotErrorCode::kUnreadable, "file", Reason(path));
  }
  std::string_view magic = std::string_view(bytes).substr(0, kMagic.size());
  if (magic != kMagic.substr(0, magic.size()) || bytes.empty()) {
    return Failed(SnapshotErrorCode::kForeign, "magic", path + ": is no snapshot");
  }
  if (bytes.size() < kHeaderBytes) {
    return Failed(SnapshotErrorCode::kTruncated, "header", path + ": ends within its header");
  }
  uint64_t format = NumberAt(bytes, kMagic.size(), kFormatBytes);
  if (format != kSnapshotFormat) {
    return Failed(SnapshotErrorCode::kOtherFormat, "format",
                  path + ": is of format " + std::to_string(format) + ", and format " +
                      std::to_string(kSnapshotFormat) + " is wanted");
  }
  uint64_t length = NumberAt(bytes, kMagic.size() + kFormatBytes, kLengthBytes);
  struct stat told = {};
  if (fstat(file.number(), &told) != 0) return Failed(SnapshotErrorCode::kUnreadable, "file", Reason(path));
  uint64_t rest = static_cast<uint64_t>(told.st_size) - kHeaderBytes;
  if (rest < kDigestBytes || rest - kDigestBytes != length) {
    return Failed(SnapshotErrorCode::kTruncated, "length",
                  path + ": holds " + std::to_string(rest) + " bytes after its header, and is to hold " +
                      std::to_string(length) + " and a digest");
  }
  if (!ReadUpTo(file.number(), rest, &bytes))
    return Failed(SnapshotErrorCode::kUnreadable, "file", Reason(path));
  if (bytes.size() != kHeaderBytes + rest) {
    return Failed(SnapshotErrorCode::kTruncated, "length", path + ": has become shorter");
  }
  size_t digest_at = bytes.size() - kDigestBytes;
  if (NumberAt(bytes, digest_at, kDigestBytes) != DigestOf(std::string_view(bytes).substr(0, digest_at))) {
    return Failed(SnapshotErrorCode::kDamaged, "digest", path + ": its digest isn't that of its bytes");
  }
  std::string_view body = std::string_view(bytes).substr(kHeaderBytes, static_cast<size_t>(length));
  std::optional<Content> content = messages::Deserialize<Content>(body);
  if (!content || !IsTable(content->snapshot)) {
    return Failed(SnapshotErrorCode::kDamaged, "content", path + ": its content is no table");
  }
  return {std::move(content->snapshot), {}};
}

replication::LoadedState FoundersState(const Snapshot& snapshot, const ImportPlan& plan) {
  replication::LoadedState content;
  content.state.store_id = StoreIdOf(snapshot, plan.address);
  content.state.revision = snapshot.revision;
  content.state.membership.epoch = snapshot.membership.epoch + kEpochStep;
  for (const std::string& member : std::set<std::string>(plan.members.begin(), plan.members.end())) {
    content.state.membership.members.push_back({member, StoreIdOf(snapshot, member), ""});
  }
  content.records = snapshot.records;
  return content;
}

SnapshotError ImportSnapshot(const Snapshot& snapshot, const ImportPlan& plan) {
  if (SnapshotError error = CheckPlan(snapshot, plan)) return error;
  try {
    storage::CreateStore(plan.folder, FoundersState(snapshot, plan));
  } catch (const std::runtime_error& error) {
    return {SnapshotErrorCode::kUnwritable, "folder", error.what()};
  }
  return {};
}

}  // namespace ivygw::snapshot
