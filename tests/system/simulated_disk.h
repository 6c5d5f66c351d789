// The disk of a simulated machine. Batches are queued, then written, then durable, always in order.
#ifndef IVYGW_TESTS_SYSTEM_SIMULATED_DISK_H_
#define IVYGW_TESTS_SYSTEM_SIMULATED_DISK_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "replication/durable_state.h"

namespace ivygw::control_sim {

// A real store on the disk of a simulated machine, in addition to the model of its content.
class StoreOnDisk {
 public:
  virtual ~StoreOnDisk() = default;
  // Returns the state that a starting process reads, or nullopt if the store can't be opened. `founders`: the
  // members of the first epoch, if a new store would belong to one of them.
  virtual std::optional<replication::LoadedState> Open(
      const std::optional<replication::Membership>& founders) = 0;
  // Writes and syncs all of these. Returns false if the disk refuses; any of the batches may have been
  // written then.
  virtual bool Write(const std::vector<replication::StoreBatch>& batches) = 0;
  // The process ends, possibly while writing these batches.
  virtual void OnProcessEnd(const std::vector<replication::StoreBatch>& unwritten) = 0;
  // Power is lost after the process has ended.
  virtual void OnPowerLoss() = 0;
  // Replaces the disk by an empty one.
  virtual void Lose() = 0;
  virtual void Refuse(bool refuses) = 0;
  // Why a store of this disk was put aside as damaged; empty if none was.
  virtual const std::string& put_aside() const = 0;
  // Why the last Open failed; empty if it succeeded.
  virtual const std::string& opening_error() const = 0;
};

// The content of a disk for one replicated table.
struct DiskImage {
  replication::DurableState state;
  std::optional<replication::AcceptedChange> accepted;
  std::map<std::string, replication::Record> records;

  void Apply(const replication::StoreBatch& batch) {
    if (batch.replace_all) records.clear();
    for (const std::string& key : batch.erased) records.erase(key);
    for (const replication::Record& record : batch.records) records[record.item.key] = record;
    state = batch.state;
    if (batch.accepted_changed) accepted = batch.accepted;
  }
  replication::LoadedState Load() const {
    replication::LoadedState loaded{state, accepted, {}};
    for (const auto& [key, record] : records) loaded.records.push_back(record);
    return loaded;
  }
};

class SimulatedDisk {
 public:
  SimulatedDisk() = default;
  explicit SimulatedDisk(DiskImage image) : durable_(std::move(image)) {}

  void Enqueue(replication::StoreBatch batch) { queued_.push_back(std::move(batch)); }
  size_t queued() const { return queued_.size(); }
  bool SyncIsQueued() const {
    for (const replication::StoreBatch& batch : queued_) {
      if (batch.sync) return true;
    }
    return false;
  }
  const std::deque<replication::StoreBatch>& queued_batches() const { return queued_; }

  // Writes the oldest `count` queued batches as one group. All up to the last one with `sync` set become
  // durable. Returns the numbers of the written batches.
  std::vector<uint64_t> Write(size_t count) {
    std::vector<uint64_t> numbers;
    size_t durable = 0;
    for (size_t i = 0; i < count; ++i) {
      numbers.push_back(queued_.front().number);
      written_.push_back(std::move(queued_.front()));
      queued_.pop_front();
      if (written_.back().sync) durable = written_.size();
    }
    MakeDurable(durable);
    return numbers;
  }

  // The process ends. Written batches stay, and so do the first `kept` queued ones.
  void OnProcessEnd(size_t kept) {
    for (; kept > 0; --kept) {
      written_.push_back(std::move(queued_.front()));
      queued_.pop_front();
    }
    queued_.clear();
  }
  // Power is lost after the process has ended. Of the batches that aren't durable the first `kept` stay.
  void OnPowerLoss(size_t kept) {
    MakeDurable(kept);
    written_.clear();
  }
  size_t not_durable() const { return written_.size(); }
  void SyncAll() { MakeDurable(written_.size()); }

  const DiskImage& durable() const { return durable_; }
  // Returns what a starting process reads. All of it becomes durable, as opening a store syncs it.
  const DiskImage& Open() {
    MakeDurable(written_.size());
    return durable_;
  }
  // Returns what a starting process would read.
  DiskImage Read() const {
    DiskImage image = durable_;
    for (const replication::StoreBatch& batch : written_) image.Apply(batch);
    return image;
  }

 private:
  void MakeDurable(size_t count) {
    for (; count > 0; --count) {
      durable_.Apply(written_.front());
      written_.pop_front();
    }
  }

  DiskImage durable_;
  std::deque<replication::StoreBatch> written_, queued_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_SIMULATED_DISK_H_
