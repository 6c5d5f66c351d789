// LevelDB's environment on a file system that may lose names which were not synced, each by itself: a file
// that is renamed, and the log that a database begins, are there after a loss of power. LevelDB syncs its
// folder only with a manifest, and it takes each error for 'nothing was done'. So:
//
// - A rename that was done is told as done, also where the folder can't be synced behind it. LevelDB would
//   remove the manifest that CURRENT names by then.
// - No file is removed until all names are synced, as the CURRENT that a loss of power would bring back may
//   need it; nor is the manifest that CURRENT names.
// - Whether the names are on disk is for the owner to ask (SyncNames), before anything counts as stored.
//
// Thread-safe, as leveldb::Env demands.
#ifndef IVYGW_SYSTEM_STORAGE_FOLDER_SYNCING_ENV_H_
#define IVYGW_SYSTEM_STORAGE_FOLDER_SYNCING_ENV_H_

#include <leveldb/env.h>

#include <mutex>
#include <string>

#include "storage/data_folder.h"

namespace ivygw::storage {

class FolderSyncingEnv : public leveldb::EnvWrapper {
 public:
  // For the database in `folder`. `target` is not owned and outlives this. `sync_folder` returns false where
  // a folder can't be synced.
  FolderSyncingEnv(leveldb::Env* target, std::string folder, SyncFolderFunction sync_folder);

  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;

  // Whether CURRENT is there, which FileExists can't tell from a disk that refuses to be read.
  leveldb::Status FindCurrentFile(bool* found) const;
  // Returns OK where all files that were renamed or made as logs would be there after a loss of power. Syncs
  // the folder only where that isn't known.
  leveldb::Status SyncNames();

 private:
  std::string CurrentPath() const { return folder_ + "/CURRENT"; }
  bool MayBeCurrentManifest(const std::string& path) const;
  leveldb::Status SyncChangedNames();

  const std::string folder_;
  const SyncFolderFunction sync_folder_;
  std::mutex mutex_;
  // A process before this one may have left some unsynced.
  bool names_synced_ = false;
};

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_FOLDER_SYNCING_ENV_H_
