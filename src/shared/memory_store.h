// The engine's entries in memory, by the same rules as the real ones: what the emulator plays, and what the
// others are compared with in tests. No I/O and no clock: the time of each call is told. Copies are whole
// stores, so that a test can put an old one back. One thread.
#ifndef IVYGW_SHARED_MEMORY_STORE_H_
#define IVYGW_SHARED_MEMORY_STORE_H_

#include <map>
#include <set>
#include <string>

#include "shared/engine.h"

namespace ivygw::shared {

class MemoryStore {
 public:
  explicit MemoryStore(std::string generation) : generation_(std::move(generation)) {}

  // `now`: the engine's clock, seconds; where it goes back, leases last as much longer.
  Reply Take(const Call& call, double now);

  uint64_t revision() const { return revision_; }
  size_t entries() const { return entries_.size(); }

 private:
  struct Stored {
    std::string value;
    uint64_t version = 0;
    std::optional<double> until;
  };
  void Expire(double now);
  void Remove(std::map<std::string, Stored>::iterator it);
  Entry Told(const std::string& key, const Stored& s, double now) const;
  Reply Answer() const;

  std::string generation_;
  uint64_t revision_ = 0;
  std::map<std::string, Stored> entries_;
  std::set<std::pair<double, std::string>> leases_;
  struct Space {
    std::map<uint64_t, std::string> written;  // entries by version
    std::map<uint64_t, std::string> removed;  // keys that went, by revision; bounded
    uint64_t forgotten = 0;                   // those up to this are no longer known
  };
  std::map<std::string, Space> spaces_;
};

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_MEMORY_STORE_H_
