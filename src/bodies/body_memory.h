// The memory that bodies may take together: how much of one is held, how large a window a transfer has, and
// when a long one is turned away. Pure; bytes.
#ifndef IVYGW_BODIES_BODY_MEMORY_H_
#define IVYGW_BODIES_BODY_MEMORY_H_

#include <algorithm>
#include <cstddef>

namespace ivygw::bodies {

class BodyMemory {
 public:
  static constexpr size_t kWhole = size_t{64} * 1024;      // of a body that is always held until it is whole
  static constexpr size_t kMostHeld = size_t{256} * 1024;  // of a longer one, while there is plenty of room
  static constexpr size_t kMostWindow = size_t{64} * 1024, kLeastWindow = size_t{8} * 1024;

  explicit BodyMemory(size_t budget) : budget_(budget) {}

  // What is in use now; those who hold bodies tell each change.
  void Take(size_t bytes) { used_ += bytes; }
  void Give(size_t bytes) { used_ -= std::min(bytes, used_); }

  // How much of one body is held before it has to go on in pieces: a sixteenth of what is left.
  size_t HoldLimit() const { return std::clamp(Left() / 16, kWhole, kMostHeld); }
  // How much of a transfer is taken at once: so that 128 more of them still have room.
  size_t Window() const { return std::clamp(Left() / 128, kLeastWindow, kMostWindow); }
  // A further long body is turned away: what is left is for those that have begun, and for short ones.
  bool Crowded() const { return Left() < budget_ / 8; }
  // Nothing is left: what is not whole yet, or not read by its client, makes room.
  bool Full() const { return Left() == 0; }
  // Up to how many bytes an answer is held until it is whole; a longer one goes on in pieces.
  size_t WholeAnswer() const { return Crowded() ? kLeastWindow : kWhole; }

  size_t used() const { return used_; }
  size_t budget() const { return budget_; }

 private:
  size_t Left() const { return budget_ - std::min(budget_, used_); }

  const size_t budget_;
  size_t used_ = 0;
};

// A holder's own part of the budget, given back when it goes.
class BodyShare {
 public:
  explicit BodyShare(BodyMemory* memory) : memory_(memory) {}
  ~BodyShare() { Hold(0); }
  BodyShare(const BodyShare&) = delete;
  BodyShare& operator=(const BodyShare&) = delete;
  void Hold(size_t bytes) {
    if (bytes > held_) memory_->Take(bytes - held_);
    if (bytes < held_) memory_->Give(held_ - bytes);
    held_ = bytes;
  }

 private:
  BodyMemory* memory_;
  size_t held_ = 0;
};

}  // namespace ivygw::bodies

#endif  // IVYGW_BODIES_BODY_MEMORY_H_
