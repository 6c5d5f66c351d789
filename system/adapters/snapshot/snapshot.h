// Operators' snapshots: a copy of one replicated table at one revision, as a file, and a new store on disk
// made of it. All calls block on the disk.
//
// The file: 8 bytes of magic; format version (4 bytes); length of the content (8); the content by cereal's
// portable binary form; a 64-bit digest (FNV-1a, mixed) of all bytes before it (8). Numbers are
// little-endian. The digest finds damage, not forgery.
#ifndef IVYGW_SYSTEM_SNAPSHOT_SNAPSHOT_H_
#define IVYGW_SYSTEM_SNAPSHOT_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "messages/replication.h"
#include "replication/durable_state.h"

namespace ivygw::snapshot {

inline constexpr uint32_t kSnapshotFormat = 1;

struct Snapshot {
  std::string table;
  messages::Membership membership;  // at `revision`
  uint64_t revision = 0;
  std::vector<messages::Record> records;  // all, tombstones and confirmed past versions too
  bool operator==(const Snapshot&) const = default;
};

enum class SnapshotErrorCode {
  kNone,
  kUnreadable,   // the file can't be opened or read
  kForeign,      // no snapshot
  kOtherFormat,  // a snapshot of another format version
  kTruncated,    // shorter or longer than it says
  kDamaged,      // its digest isn't that of its bytes, or they are no table
  kUnwritable,   // a file or a store can't be written
  kWrongTable,   // of another table than was asked for
  kBadMembers,   // the first members are no membership
};

struct SnapshotError {
  SnapshotErrorCode code = SnapshotErrorCode::kNone;
  std::string field;    // of the file, or the argument, that is at fault
  std::string message;  // one line
  explicit operator bool() const { return code != SnapshotErrorCode::kNone; }
};

// Writes a whole file under another name, syncs it, and only then gives it its name: what had the name before
// stands until then.
SnapshotError WriteSnapshot(const std::string& path, const Snapshot& snapshot);

struct ReadResult {
  std::optional<Snapshot> snapshot;  // where there is no error
  SnapshotError error;
};
ReadResult ReadSnapshot(const std::string& path);

struct ImportPlan {
  std::string folder;                // of the store; it must not exist, or be empty
  std::string table;                 // that the snapshot must be of
  std::vector<std::string> members;  // IPs of the first members, equal on all of them
  std::string address;               // IP of the machine that the store is for: one of the members
};

// The state that a member of a system that begins anew from this snapshot has on disk. Every first member's
// is of the same revision and membership. Its epoch is above any that the old system can have reached, and
// its store ids are new, so a core of the old system that returns counts toward nothing.
replication::LoadedState FoundersState(const Snapshot& snapshot, const ImportPlan& plan);

// Makes a store on disk of FoundersState. Nothing half: after an error there is no store in the folder.
SnapshotError ImportSnapshot(const Snapshot& snapshot, const ImportPlan& plan);

}  // namespace ivygw::snapshot

#endif  // IVYGW_SYSTEM_SNAPSHOT_SNAPSHOT_H_
