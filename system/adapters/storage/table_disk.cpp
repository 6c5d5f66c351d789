#include "storage/table_disk.h"

#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>

#include <charconv>
#include <filesystem>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string_view>

#include "messages/bounded_archive.h"
#include "storage/data_folder.h"
#include "storage/table_format.h"

namespace ivygw::storage {
namespace {

using messages::AcceptedChange;
using messages::Deserialize;
using messages::Record;
using replication::DurableState;
using replication::LoadedState;
using replication::StoreBatch;

StoreUnavailable FolderError(const std::string& folder, const std::string& what) {
  return StoreUnavailable(AboutFolder(folder, what));
}

std::runtime_error FormatError(const std::string& folder, const std::string& found) {
  return std::runtime_error(AboutFolder(
      folder, "holds a store of format " + found + ", and format " + std::to_string(kFormatVersion) +
                  " is wanted: move it away, or start the build that made it"));
}

enum class Presence { kNoStore, kStore, kLostItsCurrentFile };

// A store's first file besides its lock and log is MANIFEST-000001, then comes CURRENT, then all others.
// Without CURRENT, LevelDB would take the folder for a new one and delete the rest.
bool HoldsFilesOfAStore(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    std::string extension = std::filesystem::path(name).extension();
    if (extension == ".log" || extension == ".ldb" || extension == ".sst") return true;
    if (name.starts_with("MANIFEST-") && name != "MANIFEST-000001") return true;
  }
  return false;
}

// Throws where the disk doesn't tell.
Presence FindStore(const std::string& folder, FolderSyncingEnv* env) {
  bool has_current = false;
  leveldb::Status status = env->FindCurrentFile(&has_current);
  if (!status.ok()) throw FolderError(folder, status.ToString());
  if (has_current) return Presence::kStore;
  std::vector<std::string> names;
  status = env->GetChildren(folder, &names);
  if (!status.ok()) throw FolderError(folder, status.ToString());
  return HoldsFilesOfAStore(names) ? Presence::kLostItsCurrentFile : Presence::kNoStore;
}

// Where a damaged store is kept.
std::string AsideFolder(const std::string& folder) { return folder + ".unreadable"; }

// In a store that was put aside: no start has told so yet.
std::string NotToldMark(const std::string& folder) { return folder + "/NOT_TOLD"; }

// Random, and neither 0 nor the founders'.
uint64_t DrawStoreId() {
  std::random_device device;
  std::uniform_int_distribution<uint64_t> any(replication::kFounderStoreId + 1);
  return any(device);
}

// Names, by the alphabet, divided by spaces.
std::string FilesIn(const std::string& folder) {
  std::set<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) names.insert(entry.path().filename());
  std::string joined;
  for (const std::string& name : names) joined += joined.empty() ? name : " " + name;
  return joined;
}

}  // namespace

TableDisk::TableDisk(const std::string& folder, const OpenOptions& options)
    : folder_(folder),
      options_(options),
      env_(options.env ? options.env : leveldb::Env::Default(), folder, options.sync_folder) {
  try {
    Open();
  } catch (const std::filesystem::filesystem_error& error) {
    throw FolderError(folder_, error.what());
  }
}

void TableDisk::Open() {
  std::error_code failed;
  std::filesystem::create_directories(folder_, failed);
  if (failed) throw FolderError(folder_, failed.message());
  opened_.files = FilesIn(folder_);
  Found found = OpenAndLoad();
  if (!found.damage.empty()) {
    opened_.dropped_tails = DropTornTails(folder_, &env_);
    if (!opened_.dropped_tails.empty()) found = OpenAndLoad();
  }
  if (!found.damage.empty()) {
    opened_.unreadable = found.damage;
    PutAside();
    found = OpenAndLoad();
    if (!found.damage.empty()) throw FolderError(folder_, found.damage);
  }
  // An earlier start put a store aside, and the disk refused, or seemed to refuse, the new one.
  std::string aside = AsideFolder(folder_);
  bool not_told = found.empty ? std::filesystem::exists(aside) : std::filesystem::exists(NotToldMark(aside));
  if (not_told && opened_.unreadable.empty()) opened_.unreadable = "put aside at an earlier start";
  opened_.created = found.empty;
  opened_.loaded = std::move(found.loaded);
  if (found.empty) MakeNew();
  std::error_code told_again_then;
  std::filesystem::remove(NotToldMark(aside), told_again_then);
}

TableDisk::~TableDisk() = default;

TableDisk::Found TableDisk::OpenAndLoad() {
  Presence presence = FindStore(folder_, &env_);
  if (presence == Presence::kLostItsCurrentFile) return {.damage = "no CURRENT file"};
  leveldb::Status status = OpenDatabase(presence == Presence::kNoStore);
  if (status.IsCorruption()) return {.damage = status.ToString()};
  if (!status.ok()) throw FolderError(folder_, status.ToString());
  Found found = Load();
  if (!found.damage.empty()) database_.reset();
  return found;
}

// LevelDB makes a store wherever it can't see the CURRENT file, so it may only where surely there is none.
leveldb::Status TableDisk::OpenDatabase(bool create) {
  leveldb::Options options = DatabaseOptions(&env_);
  options.create_if_missing = create;
  leveldb::DB* database = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, folder_, &database);
  database_.reset(database);
  if (status.ok()) status = env_.SyncNames();
  if (!status.ok()) database_.reset();
  return status;
}

// Why the store is damaged, or nothing. Throws where it is of another format.
std::string TableDisk::CheckFormat() {
  std::string text, ignored;
  leveldb::Status status = database_->Get(CheckedRead(), kFormatKey, &text);
  if (status.IsNotFound()) {
    status = database_->Get(CheckedRead(), kStateKey, &ignored);
    if (status.IsNotFound()) throw FormatError(folder_, "1");
    return status.ok() ? "no format" : status.ToString();
  }
  if (status.IsCorruption()) return status.ToString();
  if (!status.ok()) throw FolderError(folder_, status.ToString());
  int format = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), format);
  if (error != std::errc() || end != text.data() + text.size() || format < 1) return "format is no number";
  if (format != kFormatVersion) throw FormatError(folder_, text);
  return {};
}

TableDisk::Found TableDisk::Load() {
  std::unique_ptr<leveldb::Iterator> it(database_->NewIterator(CheckedRead()));
  it->SeekToFirst();
  if (it->status().IsCorruption()) return {.damage = it->status().ToString()};
  if (!it->status().ok()) throw FolderError(folder_, it->status().ToString());
  if (!it->Valid()) return {.empty = true};
  if (std::string damage = CheckFormat(); !damage.empty()) return {.damage = damage};

  Found found;
  bool has_state = false;
  for (; it->Valid(); it->Next()) {
    std::string_view key(it->key().data(), it->key().size());
    std::string_view value(it->value().data(), it->value().size());
    bool good = false;
    if (key == kFormatKey) {
      good = true;
    } else if (key == kStateKey) {
      std::optional<DurableState> stored = ReadState(value);
      good = has_state = stored.has_value();
      if (good) found.loaded.state = std::move(*stored);
    } else if (key == kAcceptedKey) {
      found.loaded.accepted = Deserialize<AcceptedChange>(value);
      good = found.loaded.accepted.has_value();
    } else if (key.starts_with(kRecordPrefix)) {
      std::optional<Record> record = Deserialize<Record>(value);
      good = record && record->item.key == key.substr(kRecordPrefix.size());
      if (good) found.loaded.records.push_back(std::move(*record));
    }
    if (!good) return {.damage = "can't be decoded: " + std::string(key)};
  }
  if (it->status().IsCorruption()) return {.damage = it->status().ToString()};
  if (!it->status().ok()) throw FolderError(folder_, it->status().ToString());
  if (!has_state) return {.damage = "no state"};
  return found;
}

void TableDisk::PutAside() {
  database_.reset();
  std::string aside = AsideFolder(folder_);
  std::error_code failed;
  std::filesystem::create_directory(NotToldMark(folder_), failed);
  if (!failed) std::filesystem::remove_all(aside, failed);
  if (!failed) std::filesystem::rename(folder_, aside, failed);
  if (!failed) std::filesystem::create_directories(folder_, failed);
  if (failed) throw FolderError(folder_, "is damaged and can't be put aside: " + failed.message());
}

void TableDisk::MakeNew() {
  DurableState& state = opened_.loaded.state;
  bool founder = options_.founder && opened_.unreadable.empty();
  state.store_id = founder ? replication::kFounderStoreId : DrawStoreId();
  if (founder) state.membership = options_.first_membership;
  leveldb::Status status = WriteWhole(opened_.loaded, database_.get());
  if (!status.ok()) throw FolderError(folder_, status.ToString());
  bool synced = options_.sync_folder(folder_) && options_.sync_folder(ParentOf(folder_));
  if (!synced) throw FolderError(folder_, "can't be synced");
}

WriteError TableDisk::Write(const std::vector<StoreBatch>& batches) {
  constexpr bool kCreate = false;
  leveldb::Status status = database_ ? leveldb::Status::OK() : OpenDatabase(kCreate);
  if (status.ok()) status = WriteToDatabase(batches);
  if (status.ok()) return {};
  // A database that has failed may refuse for ever, and its log may end in half a record.
  database_.reset();
  auto kind = status.IsCorruption() ? WriteError::Kind::kDamaged : WriteError::Kind::kRefused;
  return {kind, status.ToString()};
}

leveldb::Status TableDisk::WriteToDatabase(const std::vector<StoreBatch>& batches) {
  leveldb::WriteBatch write;
  leveldb::Status status = AddBatches(batches, &write);
  return status.ok() ? WriteSynced(database_.get(), &write) : status;
}

leveldb::Status TableDisk::AddBatches(const std::vector<StoreBatch>& batches, leveldb::WriteBatch* out) {
  const StoreBatch* last_accepted = nullptr;
  for (const StoreBatch& batch : batches) {
    if (batch.replace_all) {
      out->Clear();  // records of the batches before
      if (leveldb::Status status = EraseAllRecords(out); !status.ok()) return status;
    }
    for (const Record& record : batch.records) PutRecord(record, out);
    for (const std::string& key : batch.erased) out->Delete(RecordKey(key));
    if (batch.accepted_changed) last_accepted = &batch;
  }
  if (last_accepted) PutAccepted(last_accepted->accepted, out);
  if (!batches.empty()) PutState(batches.back().state, out);
  return leveldb::Status::OK();
}

leveldb::Status TableDisk::EraseAllRecords(leveldb::WriteBatch* out) {
  std::unique_ptr<leveldb::Iterator> it(database_->NewIterator(CheckedRead()));
  leveldb::Slice prefix(kRecordPrefix.data(), kRecordPrefix.size());
  for (it->Seek(prefix); it->Valid() && it->key().starts_with(prefix); it->Next()) out->Delete(it->key());
  return it->status();
}

}  // namespace ivygw::storage
