// What operators have said and what must outlive an upgrade: backends taken out by hand, and whether the
// gateway is drained. One small JSON file in a directory that the old process and the new one share; each
// writes it whole under a lock, so that a call taken by either binds both. No thread, no timer of its own.
#ifndef IVYGW_STATE_OPERATORS_FILE_H_
#define IVYGW_STATE_OPERATORS_FILE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "state/files.h"

namespace ivygw::state {

struct OperatorsWord {
  std::set<std::string> bans;  // by the backends' names
  bool drained = false;
  bool operator==(const OperatorsWord&) const = default;
};

inline constexpr size_t kMostBans = 100000;  // in a file; a file with more was not written by this program

// The file's text, and back. Parse throws StateError naming the field on what is torn, of another gateway or
// of a form that is not known.
std::string Format(const OperatorsWord& word, const std::string& gateway);
OperatorsWord Parse(std::string_view text, const std::string& gateway);

class OperatorsFile {
 public:
  // `directory` is shared by the gateway's processes; `gateway` is its name.
  OperatorsFile(const std::string& directory, std::string gateway);

  // What the file says; nothing said where there is none. Throws StateDamaged where it is spoilt, and another
  // StateError where it cannot be read at this time.
  OperatorsWord Read() const;
  // Reads, changes and writes it as one step among all processes; gives what it says now. Throws
  // StateNotDurable where it says so now, but a loss of power may undo it, and another StateError where it
  // cannot be read or written: then it says what it said before. A file that is spoilt is replaced, and set
  // aside as .bad.
  OperatorsWord Change(const std::function<void(OperatorsWord*)>& change) const;
  // Whether it has been written since it was asked last; cheap.
  bool Changed();

  const std::string& path() const { return path_; }

 private:
  struct Stamp {
    uint64_t inode = 0, size = 0;
    int64_t seconds = 0, nanoseconds = 0;
    bool operator==(const Stamp&) const = default;
  };
  std::string path_, gateway_;
  Stamp seen_;
};

}  // namespace ivygw::state

#endif  // IVYGW_STATE_OPERATORS_FILE_H_
