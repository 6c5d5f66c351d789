// How a replicated table lies in a LevelDB database: format version 2.
//
// Keys: "!format" (its version as text), "!state" (DurableState), "!accepted" (AcceptedChange, where there is
// one) and "r/" + key (Record); values by cereal's portable binary form.
#ifndef IVYGW_SYSTEM_STORAGE_TABLE_FORMAT_H_
#define IVYGW_SYSTEM_STORAGE_TABLE_FORMAT_H_

#include <leveldb/options.h>
#include <leveldb/status.h>

#include <optional>
#include <string>
#include <string_view>

#include "replication/durable_state.h"

namespace leveldb {
class DB;
class Env;
class WriteBatch;
}  // namespace leveldb

namespace ivygw::storage {

inline constexpr int kFormatVersion = 2;

inline constexpr char kFormatKey[] = "!format";
inline constexpr char kStateKey[] = "!state";
inline constexpr char kAcceptedKey[] = "!accepted";
inline constexpr std::string_view kRecordPrefix = "r/";

std::string RecordKey(const std::string& key);

// Nothing where the value can't be that of a state.
std::optional<replication::DurableState> ReadState(std::string_view value);

// Each adds to `out` what it names.
void PutState(const replication::DurableState& state, leveldb::WriteBatch* out);
void PutAccepted(const std::optional<messages::AcceptedChange>& accepted, leveldb::WriteBatch* out);
void PutRecord(const messages::Record& record, leveldb::WriteBatch* out);

leveldb::Status WriteSynced(leveldb::DB* database, leveldb::WriteBatch* batch);
// A new store's content, as one synced write.
leveldb::Status WriteWhole(const replication::LoadedState& content, leveldb::DB* database);

// Of an existing database; checks are strict.
leveldb::Options DatabaseOptions(leveldb::Env* env);
leveldb::ReadOptions CheckedRead();

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_TABLE_FORMAT_H_
