#include "storage/store_creation.h"

#include <leveldb/db.h>
#include <leveldb/env.h>

#include <filesystem>
#include <map>
#include <memory>
#include <stdexcept>

#include "storage/table_format.h"

namespace ivygw::storage {
namespace {

using replication::LoadedState;

std::runtime_error CreationError(const std::string& folder, const std::string& what) {
  return std::runtime_error(AboutFolder(folder, what));
}

// Whether two stores that no process has opened since they were made are the same. LevelDB's own lock and
// messages aside, files hold no time and nothing that is drawn.
bool AreSameStores(const std::string& one, const std::string& other) {
  auto files = [](const std::string& folder) {
    std::map<std::string, std::string> contents;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      std::string name = entry.path().filename();
      if (name == "LOCK" || name.starts_with("LOG")) continue;
      std::string* content = &contents[name];
      if (!entry.is_regular_file()) continue;
      leveldb::Status status = leveldb::ReadFileToString(leveldb::Env::Default(), entry.path(), content);
      if (!status.ok()) throw CreationError(folder, status.ToString());
    }
    return contents;
  };
  return files(one) == files(other);
}

// Without a slash at its end.
std::string PlainPath(const std::string& folder) {
  std::string path = std::filesystem::path(folder).lexically_normal();
  while (path.size() > 1 && path.back() == '/') path.pop_back();
  return path;
}

void MakeStore(const std::string& folder, const LoadedState& content, const SyncFolderFunction& sync_folder) {
  leveldb::Options options = DatabaseOptions(leveldb::Env::Default());
  options.create_if_missing = true;
  leveldb::DB* opened = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, folder, &opened);
  std::unique_ptr<leveldb::DB> database(opened);
  if (status.ok()) status = WriteWhole(content, database.get());
  if (!status.ok()) throw CreationError(folder, status.ToString());
  if (!sync_folder(folder)) throw CreationError(folder, "can't be synced");
}

}  // namespace

void CreateStore(const std::string& folder, const LoadedState& content,
                 const SyncFolderFunction& sync_folder) {
  std::string unfinished = PlainPath(folder) + ".unfinished";
  try {
    std::filesystem::create_directories(ParentOf(folder));
    std::filesystem::remove_all(unfinished);
    MakeStore(unfinished, content, sync_folder);
    bool taken = std::filesystem::exists(folder) && !std::filesystem::is_empty(folder);
    bool made_before = taken && AreSameStores(folder, unfinished);
    if (!taken) std::filesystem::rename(unfinished, folder);
    std::filesystem::remove_all(unfinished);
    if (taken && !made_before)
      throw CreationError(folder, "exists and isn't empty: a store is made in a new folder only");
  } catch (const std::filesystem::filesystem_error& error) {
    throw CreationError(folder, error.what());
  }
  if (!sync_folder(ParentOf(folder)))
    throw CreationError(folder,
                        "is made, but a loss of power may take it: its parent can't be synced; try again");
}

}  // namespace ivygw::storage
