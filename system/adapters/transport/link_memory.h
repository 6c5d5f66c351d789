// Bounds the bytes that the links of one process hold together: frames that are not whole yet, and what peers
// have not read. Past the limit, the link that holds the most is closed. One thread.
#ifndef IVYGW_SYSTEM_TRANSPORT_LINK_MEMORY_H_
#define IVYGW_SYSTEM_TRANSPORT_LINK_MEMORY_H_

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/clock.h"

namespace ivygw::transport {

class LinkMemory {
 public:
  // What holds bytes, such as a link.
  class Holder {
   public:
    virtual ~Holder() = default;

   protected:
    // Gives back what is held. This holder is counted no more until it is added anew.
    virtual void Evict() = 0;
    virtual std::string Peer() const = 0;  // as logs show it

   private:
    friend class LinkMemory;
    size_t bytes_ = 0;
  };

  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();
  // `limit`: in bytes. At least kLeastLimit counts, so that any one frame has room.
  explicit LinkMemory(size_t limit);

  void Add(Holder* holder) { holders_.insert(holder); }
  void Remove(Holder* holder);
  // The holder holds so many bytes now. Evicts those that hold the most while the limit is exceeded, perhaps
  // this one. Nothing happens for a holder that isn't added.
  void Update(Holder* holder, size_t bytes);
  // Logs that a link was closed for what its peer sent or did not read; once a second at most.
  void LogClosed(std::string_view reason, const std::string& peer, size_t bytes);

  size_t used() const { return used_; }

 private:
  void EvictLargest();

  const size_t limit_;
  size_t used_ = 0;
  std::unordered_set<Holder*> holders_;
  Clock::time_point logged_at_{};
  size_t closed_ = 0;
};

}  // namespace ivygw::transport

#endif  // IVYGW_SYSTEM_TRANSPORT_LINK_MEMORY_H_
