#include "storage/table_format.h"

#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>

#include <cstddef>
#include <utility>

#include "messages/bounded_archive.h"

namespace ivygw::storage {
namespace {

constexpr size_t kWriteBuffer = size_t{1} << 20;  // bytes
constexpr int kMostOpenFiles = 64;

// DurableState as it is serialised here.
struct StoredState {
  replication::DurableState state;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(state.store_id, state.membership, state.revision, state.promised);
  }
};

}  // namespace

std::string RecordKey(const std::string& key) { return std::string(kRecordPrefix) + key; }

std::optional<replication::DurableState> ReadState(std::string_view value) {
  std::optional<StoredState> stored = messages::Deserialize<StoredState>(value);
  if (!stored || stored->state.store_id == 0) return std::nullopt;
  return std::move(stored->state);
}

void PutState(const replication::DurableState& state, leveldb::WriteBatch* out) {
  out->Put(kStateKey, messages::Serialize(StoredState{state}));
}

void PutAccepted(const std::optional<messages::AcceptedChange>& accepted, leveldb::WriteBatch* out) {
  if (accepted) {
    out->Put(kAcceptedKey, messages::Serialize(*accepted));
  } else {
    out->Delete(kAcceptedKey);
  }
}

void PutRecord(const messages::Record& record, leveldb::WriteBatch* out) {
  out->Put(RecordKey(record.item.key), messages::Serialize(record));
}

leveldb::Status WriteSynced(leveldb::DB* database, leveldb::WriteBatch* batch) {
  leveldb::WriteOptions options;
  options.sync = true;
  return database->Write(options, batch);
}

leveldb::Status WriteWhole(const replication::LoadedState& content, leveldb::DB* database) {
  leveldb::WriteBatch batch;
  batch.Put(kFormatKey, std::to_string(kFormatVersion));
  PutState(content.state, &batch);
  PutAccepted(content.accepted, &batch);
  for (const messages::Record& record : content.records) PutRecord(record, &batch);
  return WriteSynced(database, &batch);
}

leveldb::Options DatabaseOptions(leveldb::Env* env) {
  leveldb::Options options;
  options.paranoid_checks = true;
  options.write_buffer_size = kWriteBuffer;
  options.max_open_files = kMostOpenFiles;
  options.env = env;
  return options;
}

leveldb::ReadOptions CheckedRead() {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;
  return options;
}

}  // namespace ivygw::storage
