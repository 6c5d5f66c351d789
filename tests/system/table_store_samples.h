// What tests of a table's store share: a folder of their own, records, a store's options on a faulty disk.
#ifndef IVYGW_TESTS_SYSTEM_TABLE_STORE_SAMPLES_H_
#define IVYGW_TESTS_SYSTEM_TABLE_STORE_SAMPLES_H_

#include <stdlib.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "faulty_env.h"
#include "storage/table_disk.h"

namespace ivygw::testing {

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/ivygw_table_store.XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string table() const { return path_ + "/table"; }
  std::string other(int n) const { return path_ + "/copy" + std::to_string(n); }

 private:
  std::string path_;
};

inline replication::Record MakeRecord(const std::string& key, uint64_t version, size_t size = 10) {
  return {{key, version, version % 3 == 0, std::string(size, 'x')}, version, {{version - 1, 77}}};
}
inline replication::StoreBatch Records(std::vector<replication::Record> records) {
  replication::StoreBatch batch;
  batch.sync = true;
  batch.records = std::move(records);
  return batch;
}
inline std::map<std::string, replication::Record> ByKey(const std::vector<replication::Record>& records) {
  std::map<std::string, replication::Record> by_key;
  for (const replication::Record& record : records) by_key[record.item.key] = record;
  return by_key;
}
inline storage::OpenOptions OptionsOn(FaultyEnv* env) {
  storage::OpenOptions options;
  options.env = env;
  options.sync_folder = [env](const std::string& folder) { return env->SyncFolder(folder); };
  options.retry_pause_ms = 1;
  return options;
}
}  // namespace ivygw::testing

#endif  // IVYGW_TESTS_SYSTEM_TABLE_STORE_SAMPLES_H_
