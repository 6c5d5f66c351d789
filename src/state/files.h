// Small files that the processes of one gateway share: read whole, and replaced whole.
#ifndef IVYGW_STATE_FILES_H_
#define IVYGW_STATE_FILES_H_

#include <unistd.h>

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

namespace ivygw::state {

// What is wrong with a file, in plain words that name it or the field.
class StateError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A file that was read whole and is spoilt or of another format. Other errors say nothing of what it holds.
class StateDamaged : public StateError {
 public:
  using StateError::StateError;
};

// A file that is in place for every reader, though a loss of power may bring back the one before.
class StateNotDurable : public StateError {
 public:
  using StateError::StateError;
};

inline constexpr size_t kMostFile = size_t{16} << 20;  // bytes; a longer one was not written by this program

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

std::string Why();  // errno in words
// Where this gateway's file of that name is; other characters in the gateway's name become '_'.
std::string PathOf(const std::string& directory, const std::string& gateway, const std::string& name);
std::optional<std::string> ReadWhole(const std::string& path);  // none: there is none. Throws StateError
// What a file outlives once it is written.
enum class Durability {
  kProcess,    // the process; after a loss of power it may be the old one, the new one, damaged, or gone
  kPowerLoss,  // a loss of power, too: the old one or the new one is there, once written the new one
};
// Beside it, and then in its place: a reader sees the old one or the new one. With kPowerLoss the caller
// waits for the disk. Throws StateNotDurable where the new one is there and a loss of power may take it, and
// another StateError where the old one stands.
void WriteWhole(const std::string& path, const std::string& text, Durability durability);

}  // namespace ivygw::state

#endif  // IVYGW_STATE_FILES_H_
