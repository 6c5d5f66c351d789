// Which connections of clients a listener holds, and when it takes another: while there is a free slot, or a
// connection that may make room. Where there is neither it pauses, until a connection's change ends that.
// Pure; one thread.
#ifndef IVYGW_NET_CONNECTION_SLOTS_H_
#define IVYGW_NET_CONNECTION_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ivygw {

class ConnectionSlots {
 public:
  enum class State {
    kIdle,        // between requests: may be closed to make room
    kUnfinished,  // with a request that isn't whole, or after its last answer: closed where none is idle
    kBusy         // with a request whose answer isn't out: never closed to make room
  };

  using CloseIfIdle = std::function<bool(uint64_t)>;  // false: bytes have come, and it stays
  using Close = std::function<void(uint64_t)>;

  explicit ConnectionSlots(size_t most) : most_(most) {}

  // Adds the connection, or puts it behind the others of that state.
  void Set(uint64_t id, State state);
  void Remove(uint64_t id);

  bool Full() const { return connections_.size() >= most_; }
  std::optional<uint64_t> OldestUnfinished() const;
  std::vector<uint64_t> Idle() const;  // longest idle first

  // For a client that waits. Where all slots are taken, closes the connection that has been idle longest,
  // else the one that has been unfinished longest; but not the newest before its first answer, as clients
  // that wait would drive out each other. Returns whether there is room; pauses otherwise. What is closed is
  // to be removed at once.
  bool MakeRoom(const CloseIfIdle& close_if_idle, const Close& close);
  // To be called after each change of a connection. Returns whether a paused listener is to go on.
  bool ShouldResume();

 private:
  using Order = std::map<uint64_t, uint64_t>;  // ids by the number of their last change
  struct Slot {
    State state = State::kIdle;
    uint64_t change = 0;
    bool answered = false;  // at least once
  };

  Order* OrderOf(State state);
  void Leave(const Slot& slot);
  bool MayBeClosed(uint64_t id) const;

  size_t most_;
  std::unordered_map<uint64_t, Slot> connections_;
  Order idle_, unfinished_;
  uint64_t last_change_ = 0, newest_ = 0;
  bool paused_ = false;
};

}  // namespace ivygw

#endif  // IVYGW_NET_CONNECTION_SLOTS_H_
