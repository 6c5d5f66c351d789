// The end of a file in LevelDB's log format (its logs and manifests; doc/log_format.md of LevelDB) after a
// loss of power. A store syncs each record before it writes the next one, so a loss of power can spoil only
// the last record. LevelDB's strict checks don't tell that from damage to what was synced; this does.
#ifndef IVYGW_SYSTEM_STORAGE_LOG_TAIL_H_
#define IVYGW_SYSTEM_STORAGE_LOG_TAIL_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace leveldb {
class Env;
}  // namespace leveldb

namespace ivygw::storage {

// The offset at which the last record begins, where that record isn't whole and no record begins after it.
// None where all records are whole, or where something before the last one is damaged.
std::optional<size_t> FindTornTail(std::string_view content);

// A file from whose end a record that isn't whole was cut off.
struct DroppedTail {
  std::string file;  // name in its folder
  size_t bytes = 0;
};

// Cuts torn tails off the logs and manifests of a LevelDB folder that isn't open, and syncs them. Files are
// read through `env`. Throws std::filesystem::filesystem_error where a file can't be read or cut.
std::vector<DroppedTail> DropTornTails(const std::string& folder, leveldb::Env* env);

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_LOG_TAIL_H_
