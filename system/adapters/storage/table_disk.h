// The records and the state of one replicated table in a LevelDB folder (storage/table_format.h): opened,
// checked and written. All calls block on the disk. Used by one thread at a time.
#ifndef IVYGW_SYSTEM_STORAGE_TABLE_DISK_H_
#define IVYGW_SYSTEM_STORAGE_TABLE_DISK_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "replication/durable_state.h"
#include "storage/data_folder.h"
#include "storage/folder_syncing_env.h"
#include "storage/log_tail.h"
#include "storage/store_unavailable.h"

namespace leveldb {
class DB;
class WriteBatch;
}  // namespace leveldb

namespace ivygw::storage {

struct OpenOptions {
  // A store that is made is that of a member of the first epoch, `first_membership`; else that of a learner.
  bool founder = false;
  replication::Membership first_membership;
  leveldb::Env* env = nullptr;  // null: the machine's; not owned
  SyncFolderFunction sync_folder = SyncFolder;
  int retry_pause_ms = 100;  // between the tries to write to a disk that refuses
};

// What a folder held when it was opened.
struct OpenedTable {
  replication::LoadedState loaded;
  bool created = false;                    // it held no store, or one that was put aside: this one is new
  std::string files;                       // names of the files that the folder held
  std::vector<DroppedTail> dropped_tails;  // of writes that a loss of power had cut short
  std::string unreadable;  // why a damaged store was put aside as `<folder>.unreadable`; empty: none was
};

// Why batches aren't on disk.
struct WriteError {
  enum class Kind {
    kNone,
    kRefused,  // the disk takes no writes at this time
    kDamaged,  // the store can't be read any more
  };
  Kind kind = Kind::kNone;
  std::string reason;  // one line

  explicit operator bool() const { return kind != Kind::kNone; }
};

class TableDisk {
 public:
  // Opens `folder`, or makes a store in it; a new one is on disk when this returns. Throws, with one line,
  // StoreUnavailable where the folder can't be read or written at this time, and another std::runtime_error
  // where it holds a store of another format.
  TableDisk(const std::string& folder, const OpenOptions& options);
  ~TableDisk();

  // Of the time of the constructor; to be taken once.
  OpenedTable TakeOpened() { return std::move(opened_); }

  // Writes the batches in order, all or none, and syncs. Where it returns no error all would survive a loss
  // of power. After an error the database is opened anew by the next call, which must bring the same batches
  // first: what has become of these isn't known.
  WriteError Write(const std::vector<replication::StoreBatch>& batches);

 private:
  // What was found; where `damage` is not empty it is why the store can't be read.
  struct Found {
    std::string damage = {};
    bool empty = false;
    replication::LoadedState loaded = {};
  };
  void Open();
  Found OpenAndLoad();
  leveldb::Status OpenDatabase(bool create);
  Found Load();
  std::string CheckFormat();
  void PutAside();
  void MakeNew();
  leveldb::Status WriteToDatabase(const std::vector<replication::StoreBatch>& batches);
  leveldb::Status AddBatches(const std::vector<replication::StoreBatch>& batches, leveldb::WriteBatch* out);
  leveldb::Status EraseAllRecords(leveldb::WriteBatch* out);

  const std::string folder_;
  const OpenOptions options_;
  FolderSyncingEnv env_;
  std::unique_ptr<leveldb::DB> database_;  // null after a failure
  OpenedTable opened_;
};

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_TABLE_DISK_H_
