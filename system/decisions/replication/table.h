// The records of one replicated table at one revision, and the indexes for catch-up: keys by the revision
// that last wrote them, and recently removed tombstones. No I/O; not thread-safe.
#ifndef IVYGW_SYSTEM_REPLICATION_TABLE_H_
#define IVYGW_SYSTEM_REPLICATION_TABLE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "messages/replication.h"
#include "replication/durable_state.h"

namespace ivygw::replication {

class Table {
 public:
  // Returns null if there is no such record.
  const Record* Find(const std::string& key) const;
  const std::map<std::string, Record>& records() const { return records_; }

  void Put(const Record& record);
  // Removes a tombstone that the change of `revision` has pruned.
  void Erase(const std::string& key, uint64_t revision);
  void Clear();
  // Forgets the removed tombstones. Removals up to `revision` are treated as unknown.
  void ForgetPruned(uint64_t revision);

  // Returns one part of the requested changes, of about `bytes`. `end` is the revision of this table.
  messages::Delta DeltaFor(const messages::DeltaRequest& request, uint64_t end, size_t bytes) const;

 private:
  static constexpr size_t kMaxPrunedKeys = 8192;  // removed tombstones that are remembered

  void Unindex(const Record& record);

  std::map<std::string, Record> records_;
  std::map<uint64_t, std::set<std::string>> by_revision_;
  std::deque<messages::PrunedKey> pruned_;  // in order of revision
  uint64_t pruned_floor_ = 0;               // removals up to this revision may have been forgotten
};

// A view of a table with some records written on top of it. The table must outlive the view.
class TableOverlay {
 public:
  explicit TableOverlay(const Table& table) : table_(table) {}
  const Record* Find(const std::string& key) const;
  void Put(const Record& record) { written_[record.item.key] = record; }
  const std::map<std::string, Record>& written() const { return written_; }

 private:
  const Table& table_;
  std::map<std::string, Record> written_;
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_TABLE_H_
