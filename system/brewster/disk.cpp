#include "brewster/disk.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace ivygw::brewster {
namespace {

constexpr char kCounts[] = "!counts", kCores[] = "!cores";

template <typename T>
std::string Write(const T& value) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(value);
  return std::move(out).str();
}
template <typename T>
bool Read(const std::string& text, T* value) {
  std::istringstream in(text);
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(*value);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

Disk::Disk(asio::io_context& io, const std::string& folder, Content* content) : mailbox_(io) {
  leveldb::Options options;
  options.create_if_missing = true;
  options.paranoid_checks = true;
  options.write_buffer_size = size_t{1} << 20;
  options.max_open_files = 64;
  leveldb::DB* db = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, folder, &db);
  if (status.IsCorruption()) {
    // As good as lost: put aside for whoever wants to look, and read anew from the others.
    content->unreadable = status.ToString();
    std::string aside = folder + ".unreadable";
    std::error_code ignored;
    std::filesystem::remove_all(aside, ignored);
    std::filesystem::rename(folder, aside, ignored);
    status = leveldb::DB::Open(options, folder, &db);
  }
  if (!status.ok()) throw std::runtime_error("data_directory " + folder + ": " + status.ToString());
  db_.reset(db);
  std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(leveldb::ReadOptions()));
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    std::string key = it->key().ToString(), value = it->value().ToString();
    bool good = true;
    if (key == kCounts) {
      content->counts = true;
    } else if (key == kCores) {
      good = Read(value, &content->cores);
    } else {
      luxmore::Item item;
      good = Read(value, &item) && item.key == key;
      if (good) content->items.push_back(std::move(item));
    }
    if (!good && content->unreadable.empty()) content->unreadable = key;
  }
  if (!it->status().ok()) throw std::runtime_error("data_directory " + folder + ": " + it->status().ToString());
  thread_ = std::thread([this] { Run(); });
}

Disk::~Disk() {
  {
    std::lock_guard lock(mutex_);
    over_ = true;
  }
  bell_.notify_one();
  thread_.join();
}

void Disk::Store(luxmore::Replica::Store batch) {
  {
    std::lock_guard lock(mutex_);
    Job job;
    job.store = std::move(batch);
    jobs_.push_back(std::move(job));
  }
  bell_.notify_one();
}

void Disk::Erase(const std::string& key) {
  {
    std::lock_guard lock(mutex_);
    Job job;
    job.erase = key;
    jobs_.push_back(std::move(job));
  }
  bell_.notify_one();
}

void Disk::Run() {
  for (;;) {
    std::deque<Job> jobs;
    {
      std::unique_lock lock(mutex_);
      bell_.wait(lock, [this] { return over_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      jobs.swap(jobs_);
    }
    leveldb::WriteBatch batch;
    std::vector<uint64_t> numbers;
    bool sync = false;
    for (const Job& job : jobs) {
      if (!job.erase.empty()) batch.Delete(job.erase);
      for (const luxmore::Item& item : job.store.items) batch.Put(item.key, Write(item));
      if (job.store.counts) batch.Put(kCounts, "1");
      if (!job.store.cores.empty()) batch.Put(kCores, Write(job.store.cores));
      sync = sync || !job.store.items.empty() || job.store.counts || !job.store.cores.empty();
      if (job.store.batch > 0) numbers.push_back(job.store.batch);
    }
    leveldb::WriteOptions options;
    options.sync = sync;
    bool ok = db_->Write(options, &batch).ok();
    if (!numbers.empty()) {
      mailbox_.Post([this, numbers, ok] {
        for (uint64_t number : numbers) {
          if (stored_) stored_(number, ok);
        }
      });
    }
  }
}

}  // namespace ivygw::brewster
