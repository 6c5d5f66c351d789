// Divides the memory for bodies among tenants, by what each holds now: one that sends a great deal is refused
// while others still find room. Pure; bytes; one thread.
#ifndef IVYGW_BODIES_TENANT_MEMORY_H_
#define IVYGW_BODIES_TENANT_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "bodies/body_memory.h"

namespace ivygw::bodies {

class TenantMemory {
 public:
  // `memory` is told of what requests hold, and outlives this.
  explicit TenantMemory(BodyMemory* memory) : memory_(*memory) {}

  // What one request holds for a tenant; given back when it goes.
  class Share {
   public:
    explicit Share(TenantMemory* memory) : memory_(*memory) {}
    ~Share() { Hold(tenant_, 0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    // The request holds so many bytes now, and is this tenant's.
    void Hold(const std::string& tenant, size_t bytes) {
      if (tenant == tenant_ && bytes == held_) return;
      memory_.Give(tenant_, held_);
      memory_.Take(tenant, bytes);
      tenant_ = tenant;
      held_ = bytes;
    }

   private:
    TenantMemory& memory_;
    std::string tenant_;
    size_t held_ = 0;
  };

  // A further long body of this tenant may begin: what it holds is no more than what is left for long bodies.
  bool MayBegin(const std::string& tenant) const { return HeldBy(tenant) <= Left(true); }
  // The tenant stays within its part: twice what is left. A single tenant thus takes two thirds of the room
  // at most, and leaves some for another.
  bool WithinPart(const std::string& tenant, bool is_long) const {
    return HeldBy(tenant) <= kMostOfWhatIsLeft * Left(is_long);
  }
  // The longest body that can be held while there is nothing else.
  size_t LongestBody() const {
    return (memory_.budget() - ForShort()) / (kMostOfWhatIsLeft + 1) * kMostOfWhatIsLeft;
  }
  size_t HeldBy(const std::string& tenant) const {
    auto it = held_.find(tenant);
    return it == held_.end() ? 0 : it->second;
  }

 private:
  static constexpr size_t kMostOfWhatIsLeft = 2;

  // An eighth of the budget is kept for bodies that are not long.
  size_t ForShort() const { return memory_.budget() / 8; }
  size_t Left(bool for_long) const {
    size_t room = memory_.budget() - (for_long ? ForShort() : 0);
    return room - std::min(room, memory_.used());
  }
  void Take(const std::string& tenant, size_t bytes) {
    if (bytes == 0) return;
    held_[tenant] += bytes;
    memory_.Take(bytes);
  }
  void Give(const std::string& tenant, size_t bytes) {
    if (bytes == 0) return;
    memory_.Give(bytes);
    auto it = held_.find(tenant);
    it->second -= bytes;
    if (it->second == 0) held_.erase(it);
  }

  BodyMemory& memory_;
  std::unordered_map<std::string, size_t> held_;  // by tenant; none holds nothing
};

}  // namespace ivygw::bodies

#endif  // IVYGW_BODIES_TENANT_MEMORY_H_
