#include "storage/folder_syncing_env.h"

#include <cstdint>
#include <filesystem>
#include <utility>

namespace ivygw::storage {

FolderSyncingEnv::FolderSyncingEnv(leveldb::Env* target, std::string folder, SyncFolderFunction sync_folder)
    : EnvWrapper(target), folder_(std::move(folder)), sync_folder_(std::move(sync_folder)) {}

// Its outcome is that of the rename alone; a rename that is refused may have been done all the same.
leveldb::Status FolderSyncingEnv::RenameFile(const std::string& from, const std::string& to) {
  leveldb::Status status = target()->RenameFile(from, to);
  SyncChangedNames();
  return status;
}

leveldb::Status FolderSyncingEnv::RemoveFile(const std::string& path) {
  leveldb::Status synced = SyncNames();
  if (!synced.ok()) return synced;
  if (MayBeCurrentManifest(path)) return leveldb::Status::IOError(path, "is named by CURRENT");
  return target()->RemoveFile(path);
}

leveldb::Status FolderSyncingEnv::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  leveldb::Status status = target()->NewWritableFile(path, file);
  bool is_log = std::filesystem::path(path).extension() == ".log";
  if (!status.ok() || !is_log) return status;
  status = SyncChangedNames();
  if (status.ok()) return status;
  delete *file;
  *file = nullptr;
  return status;
}

leveldb::Status FolderSyncingEnv::FindCurrentFile(bool* found) const {
  uint64_t size = 0;
  leveldb::Status status = target()->GetFileSize(CurrentPath(), &size);
  *found = status.ok();
  return status.IsNotFound() ? leveldb::Status::OK() : status;
}

leveldb::Status FolderSyncingEnv::SyncChangedNames() {
  {
    std::lock_guard lock(mutex_);
    names_synced_ = false;
  }
  return SyncNames();
}

leveldb::Status FolderSyncingEnv::SyncNames() {
  std::lock_guard lock(mutex_);
  if (!names_synced_) names_synced_ = sync_folder_(folder_);
  return names_synced_ ? leveldb::Status::OK() : leveldb::Status::IOError(folder_, "can't be synced");
}

// True also where CURRENT can't be read.
bool FolderSyncingEnv::MayBeCurrentManifest(const std::string& path) const {
  std::string name = std::filesystem::path(path).filename();
  if (!name.starts_with("MANIFEST-")) return false;
  std::string current;
  leveldb::Status status = leveldb::ReadFileToString(target(), CurrentPath(), &current);
  if (status.IsNotFound()) return false;
  return !status.ok() || current == name + "\n";
}

}  // namespace ivygw::storage
