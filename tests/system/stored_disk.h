// The disk of a simulated machine, with a real store of a table (storage::TableDisk). Simulates losses of
// power, periods in which it refuses all writes, and processes that end in the middle of a write.
#ifndef IVYGW_TESTS_SYSTEM_STORED_DISK_H_
#define IVYGW_TESTS_SYSTEM_STORED_DISK_H_

#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "storage/table_disk.h"
#include "system/control_sim.h"
#include "system/faulty_env.h"
#include "system/simulated_disk.h"

namespace ivygw::control_sim {

class StoredDisk : public StoreOnDisk {
 public:
  StoredDisk(uint64_t seed, testing::PowerLoss loss) : loss_(loss), random_(seed) {
    std::string name = std::filesystem::temp_directory_path() / "ivygw_stored_disk.XXXXXX";
    if (!mkdtemp(name.data())) throw std::runtime_error("can't create a folder for a simulated disk");
    root_ = name;
    UseFolder(NextFolder());
  }
  ~StoredDisk() override {
    store_.reset();
    env_.reset();
    std::filesystem::remove_all(root_);
  }
  StoredDisk(const StoredDisk&) = delete;
  StoredDisk& operator=(const StoredDisk&) = delete;

  std::optional<replication::LoadedState> Open(
      const std::optional<replication::Membership>& founders) override {
    std::optional<storage::OpenedTable> opened = TryOpen(founders);
    if (!opened) return std::nullopt;
    if (!opened->unreadable.empty()) {
      put_aside_ = opened->unreadable;
      // The store was put aside and replaced; the new folder is fully on disk.
      store_.reset();
      UseFolder(folder_);
      opened = TryOpen(std::nullopt);
      if (!opened) return std::nullopt;
    }
    return std::move(opened->loaded);
  }
  bool Write(const std::vector<replication::StoreBatch>& batches) override { return !store_->Write(batches); }
  void OnProcessEnd(const std::vector<replication::StoreBatch>& unwritten) override {
    if (!store_) return;
    bool writing = !unwritten.empty() && random_() % 2 == 0;
    if (writing) {
      constexpr uint64_t kMaxOperationsOfAWrite = 5;
      env_->Refuse(kForGood, static_cast<int>(random_() % kMaxOperationsOfAWrite));
      store_->Write(unwritten);
    }
    store_.reset();
    env_->Refuse(refuses_ ? kForGood : 0, 0);
  }
  void OnPowerLoss() override {
    std::string next = NextFolder();
    env_->CopyAsAfterPowerLoss(next, loss_);
    UseFolder(next);
  }
  void Lose() override { UseFolder(NextFolder()); }
  void Refuse(bool refuses) override {
    refuses_ = refuses;
    env_->Refuse(refuses ? kForGood : 0, 0);
  }
  const std::string& put_aside() const override { return put_aside_; }
  const std::string& opening_error() const override { return opening_error_; }

 private:
  static constexpr int kForGood = 1 << 30;

  std::string NextFolder() { return root_ / ("disk" + std::to_string(++folders_)); }
  void UseFolder(std::string folder) {
    std::string before = std::exchange(folder_, std::move(folder));
    std::filesystem::create_directories(folder_);
    env_.reset();
    if (!before.empty() && before != folder_) std::filesystem::remove_all(before);
    env_ = std::make_unique<testing::FaultyEnv>(random_(), folder_);
    env_->Refuse(refuses_ ? kForGood : 0, 0);
  }
  std::optional<storage::OpenedTable> TryOpen(const std::optional<replication::Membership>& founders) {
    storage::OpenOptions options;
    options.env = env_.get();
    options.sync_folder = [this](const std::string& folder) { return env_->SyncFolder(folder); };
    options.founder = founders.has_value();
    if (founders) options.first_membership = *founders;
    try {
      store_ = std::make_unique<storage::TableDisk>(folder_, options);
    } catch (const std::exception& error) {
      opening_error_ = error.what();
      return std::nullopt;
    }
    opening_error_.clear();
    return store_->TakeOpened();
  }

  const testing::PowerLoss loss_;
  std::mt19937_64 random_;
  std::filesystem::path root_;
  std::string folder_;
  int folders_ = 0;
  bool refuses_ = false;
  std::string put_aside_, opening_error_;
  std::unique_ptr<testing::FaultyEnv> env_;
  std::unique_ptr<storage::TableDisk> store_;
};

inline StoreFactory StoredDiskFactory(uint64_t seed, testing::PowerLoss loss) {
  return [seed, loss](const std::string& machine) {
    return std::make_unique<StoredDisk>(seed * 16 + static_cast<uint64_t>(machine.back()), loss);
  };
}

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_STORED_DISK_H_
