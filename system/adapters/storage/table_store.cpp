#include "storage/table_store.h"

#include <chrono>
#include <utility>

#include "net/clock.h"

namespace ivygw::storage {
namespace {

// For how long batches that want no sync of their own wait for one that does. They are synced all the same:
// LevelDB begins a new log without syncing the one before, so a later synced batch could survive an earlier
// unsynced one.
constexpr std::chrono::milliseconds kWaitForSync{20};

}  // namespace

using replication::StoreBatch;

TableStore::TableStore(asio::io_context& io, const std::string& folder, const OpenOptions& options)
    : disk_(folder, options), retry_pause_ms_(options.retry_pause_ms), mailbox_(io) {
  thread_ = std::thread([this] { Run(); });
}

TableStore::~TableStore() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void TableStore::Store(StoreBatch batch) {
  {
    std::lock_guard lock(mutex_);
    sync_wanted_ = sync_wanted_ || batch.sync;
    if (!waiting_since_) waiting_since_ = Clock::now();
    waiting_.push_back(std::move(batch));
  }
  wake_.notify_one();
}

Duration TableStore::WriteDelay() const {
  std::lock_guard lock(mutex_);
  std::optional<TimePoint> since = writing_since_ ? writing_since_ : waiting_since_;
  return since ? Duration(Clock::now() - *since) : Duration(0);
}

void TableStore::Run() {
  std::vector<StoreBatch> batches;
  while (TakeWaiting(&batches)) {
    if (!WriteUntilDone(batches)) return;
    OnWritten();
    PostStored(batches);
    batches.clear();
  }
}

// False when there is nothing left to do.
bool TableStore::TakeWaiting(std::vector<StoreBatch>* batches) {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
  wake_.wait_for(lock, kWaitForSync, [this] { return stopping_ || sync_wanted_; });
  batches->swap(waiting_);
  writing_since_ = std::exchange(waiting_since_, std::nullopt);
  sync_wanted_ = false;
  return !batches->empty();
}

// False when the disk refuses and this is to end.
bool TableStore::WriteUntilDone(const std::vector<StoreBatch>& batches) {
  WriteError::Kind told = WriteError::Kind::kNone;
  while (WriteError error = disk_.Write(batches)) {
    if (error.kind != told) PostRefused(error);
    told = error.kind;
    std::unique_lock lock(mutex_);
    std::chrono::milliseconds pause(retry_pause_ms_);
    if (wake_.wait_for(lock, pause, [this] { return stopping_; })) return false;
  }
  return true;
}

void TableStore::PostRefused(const WriteError& error) {
  mailbox_.Post([this, error] {
    if (refused_) refused_(error);
  });
}

void TableStore::OnWritten() {
  std::lock_guard lock(mutex_);
  writing_since_.reset();
}

void TableStore::PostStored(const std::vector<StoreBatch>& batches) {
  std::vector<uint64_t> numbers;
  numbers.reserve(batches.size());
  for (const StoreBatch& batch : batches) numbers.push_back(batch.number);
  mailbox_.Post([this, numbers] {
    for (uint64_t number : numbers) {
      if (stored_) stored_(number);
    }
  });
}

}  // namespace ivygw::storage
