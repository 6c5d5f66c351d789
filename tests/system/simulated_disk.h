// The disk of one simulated machine: batches are given, then written, then durable, always in order.
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

// A real store on the disk of a simulated machine, beside the model of what the disk must hold.
class StoreOnDisk {
 public:
  virtual ~StoreOnDisk() = default;
  // What a process that starts now reads; none where the store can't be opened. `founders`: the members of
  // the first epoch, where a new store is to be that of one of them.
  virtual std::optional<replication::LoadedState> Open(
      const std::optional<replication::Membership>& founders) = 0;
  // Writes and syncs all of these; false where the disk refuses, which may leave any of them there.
  virtual bool Write(const std::vector<replication::StoreBatch>& batches) = 0;
  // The process ends; it may have been writing these.
  virtual void ProcessEnds(const std::vector<replication::StoreBatch>& unwritten) = 0;
  // The power ends, after the process.
  virtual void PowerEnds() = 0;
  // The disk is replaced by an empty one.
  virtual void Lose() = 0;
  virtual void Refuse(bool refuses) = 0;
  // Why a store of this disk was put aside as damaged; empty: none was.
  virtual const std::string& put_aside() const = 0;
  // Why the last Open failed; empty: it did not.
  virtual const std::string& opening_error() const = 0;
};

// What a disk holds of one replicated table.
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

  void Give(replication::StoreBatch batch) { given_.push_back(std::move(batch)); }
  size_t given() const { return given_.size(); }
  bool SyncIsGiven() const {
    for (const replication::StoreBatch& batch : given_) {
      if (batch.sync) return true;
    }
    return false;
  }
  const std::deque<replication::StoreBatch>& given_batches() const { return given_; }

  // Writes the oldest `count` given batches as one group; all up to the last one that asks for a sync are
  // durable then. Returns their numbers.
  std::vector<uint64_t> Write(size_t count) {
    std::vector<uint64_t> numbers;
    size_t durable = 0;
    for (size_t i = 0; i < count; ++i) {
      numbers.push_back(given_.front().number);
      written_.push_back(std::move(given_.front()));
      given_.pop_front();
      if (written_.back().sync) durable = written_.size();
    }
    MakeDurable(durable);
    return numbers;
  }

  // The process ends: what was written stays, and the first `kept` of what was given.
  void ProcessEnds(size_t kept) {
    for (; kept > 0; --kept) {
      written_.push_back(std::move(given_.front()));
      given_.pop_front();
    }
    given_.clear();
  }
  // The power ends, after the process: of what isn't durable the first `kept` batches stay.
  void PowerEnds(size_t kept) {
    MakeDurable(kept);
    written_.clear();
  }
  size_t not_durable() const { return written_.size(); }
  void SyncAll() { MakeDurable(written_.size()); }

  const DiskImage& durable() const { return durable_; }
  // What a process that starts now reads. It is durable then, as opening the store syncs it.
  const DiskImage& Open() {
    MakeDurable(written_.size());
    return durable_;
  }
  // What it would read.
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
  std::deque<replication::StoreBatch> written_, given_;
};

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_SIMULATED_DISK_H_
