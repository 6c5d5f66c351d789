// A replicated table on disk, behind a thread of its own, so that a disk that hangs never holds up the event
// loop. All public calls, and the callbacks, are on the loop's thread.
//
// Batches are written in the order given, those that wait as one write and one sync, and a batch is told as
// stored when it, and all before it, would survive a loss of power. A disk that refuses is tried again, the
// same batches first, for as long as this lives: failures are never told as stored.
#ifndef IVYGW_SYSTEM_STORAGE_TABLE_STORE_H_
#define IVYGW_SYSTEM_STORAGE_TABLE_STORE_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/steady_time.h"
#include "net/mailbox.h"
#include "replication/durable_state.h"
#include "storage/table_disk.h"

namespace ivygw::storage {

class TableStore {
 public:
  // Throws as TableDisk's constructor.
  TableStore(asio::io_context& io, const std::string& folder, const OpenOptions& options);
  // Writes what waits, unless the disk refuses. Blocks for as long as a write hangs.
  ~TableStore();
  TableStore(const TableStore&) = delete;
  TableStore& operator=(const TableStore&) = delete;

  // What the folder held; to be taken once.
  OpenedTable TakeOpened() { return disk_.TakeOpened(); }

  using Stored = std::function<void(uint64_t batch_number)>;
  void OnStored(Stored stored) { stored_ = std::move(stored); }
  // A write has failed: told once for each write, and again where the kind of error changes while it is tried
  // again.
  using Refused = std::function<void(const WriteError& error)>;
  void OnRefused(Refused refused) { refused_ = std::move(refused); }

  void Store(replication::StoreBatch batch);
  // For how long the oldest batch that isn't on disk has waited; 0 where all are. It grows while a disk hangs
  // or refuses.
  Duration WriteDelay() const;

 private:
  void Run();
  bool TakeWaiting(std::vector<replication::StoreBatch>* batches);
  bool WriteUntilDone(const std::vector<replication::StoreBatch>& batches);
  void OnWritten();
  void PostRefused(const WriteError& error);
  void PostStored(const std::vector<replication::StoreBatch>& batches);

  TableDisk disk_;  // of `thread_` once that runs, but for TakeOpened
  const int retry_pause_ms_;
  Mailbox mailbox_;
  Stored stored_;
  Refused refused_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<replication::StoreBatch> waiting_;
  std::optional<TimePoint> waiting_since_, writing_since_;  // of the oldest batch of each kind
  bool sync_wanted_ = false;                                // by a batch of `waiting_`
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_TABLE_STORE_H_
