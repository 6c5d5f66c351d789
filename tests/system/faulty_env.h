// A disk for LevelDB that refuses on command, and that forgets what was not synced when the power is lost.
// Thread-safe.
#ifndef IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_
#define IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_

#include <leveldb/env.h>

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace ivygw::testing {

class FaultyEnv : public leveldb::EnvWrapper {
 public:
  explicit FaultyEnv(uint64_t seed) : EnvWrapper(leveldb::Env::Default()), random_(seed) {}

  // The next acts that write, sync, make or rename a file are refused; `after` acts from now.
  void Refuse(int acts, int after) {
    std::lock_guard lock(mutex_);
    refused_from_ = acts_ + after;
    refused_until_ = refused_from_ + acts;
  }
  // A sync that is refused forgets what was to be synced.
  void ForgetOnRefusedSync(bool forget) { forget_on_refused_sync_ = forget; }
  int refusals() {
    std::lock_guard lock(mutex_);
    return refusals_;
  }

  // What is left of `folder` when the power is lost now: of each file what was synced, and some of what
  // follows.
  void CopyAsAfterPowerLoss(const std::string& folder, const std::string& copy) {
    std::lock_guard lock(mutex_);
    std::filesystem::create_directories(copy);
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      std::string name = entry.path().filename(), to = copy + "/" + name;
      if (name.starts_with("LOG") || name == "LOCK") continue;
      std::filesystem::copy_file(entry.path(), to);
      auto synced = synced_.find(entry.path());
      size_t size = std::filesystem::file_size(to);
      if (synced == synced_.end() || synced->second >= size) continue;
      std::uniform_int_distribution<size_t> left(synced->second, size);
      std::filesystem::resize_file(to, left(random_));
    }
  }

  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override {
    std::lock_guard lock(mutex_);
    *file = nullptr;
    if (Refuses()) return Refusal();
    leveldb::Status status = target()->NewWritableFile(name, file);
    if (!status.ok()) return status;
    synced_[name] = 0;
    *file = new File(this, name, *file);
    return status;
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    std::lock_guard lock(mutex_);
    if (Refuses()) return Refusal();
    leveldb::Status status = target()->RenameFile(from, to);
    if (status.ok() && synced_.count(from)) synced_[to] = synced_[from];
    return status;
  }
  leveldb::Status RemoveFile(const std::string& name) override {
    std::lock_guard lock(mutex_);
    synced_.erase(name);
    return target()->RemoveFile(name);
  }

 private:
  class File : public leveldb::WritableFile {
   public:
    File(FaultyEnv* env, std::string name, leveldb::WritableFile* file)
        : env_(env), name_(std::move(name)), file_(file) {}
    ~File() override {
      std::lock_guard lock(env_->mutex_);
      file_.reset();
    }
    leveldb::Status Append(const leveldb::Slice& data) override {
      std::lock_guard lock(env_->mutex_);
      if (!env_->Refuses()) return file_->Append(data);
      std::uniform_int_distribution<size_t> part(0, data.size());
      file_->Append(leveldb::Slice(data.data(), part(env_->random_)));
      file_->Flush();
      return env_->Refusal();
    }
    leveldb::Status Close() override {
      std::lock_guard lock(env_->mutex_);
      return file_->Close();
    }
    leveldb::Status Flush() override {
      std::lock_guard lock(env_->mutex_);
      return env_->Refuses() ? env_->Refusal() : file_->Flush();
    }
    leveldb::Status Sync() override {
      std::lock_guard lock(env_->mutex_);
      if (env_->Refuses()) {
        if (env_->forget_on_refused_sync_) std::filesystem::resize_file(name_, env_->synced_[name_]);
        return env_->Refusal();
      }
      leveldb::Status status = file_->Sync();
      if (status.ok()) env_->synced_[name_] = std::filesystem::file_size(name_);
      return status;
    }

   private:
    FaultyEnv* const env_;
    const std::string name_;
    std::unique_ptr<leveldb::WritableFile> file_;
  };

  bool Refuses() {
    ++acts_;
    return acts_ > refused_from_ && acts_ <= refused_until_;
  }
  leveldb::Status Refusal() {
    ++refusals_;
    return leveldb::Status::IOError("refused by the test");
  }

  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, size_t> synced_;  // bytes, by path
  int acts_ = 0, refused_from_ = 0, refused_until_ = 0, refusals_ = 0;
  std::atomic<bool> forget_on_refused_sync_ = false;
};

}  // namespace ivygw::testing

#endif  // IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_
