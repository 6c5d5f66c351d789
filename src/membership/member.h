// One gateway as the others see it, and how it is written in the shared engine. Pure.
#ifndef IVYGW_MEMBERSHIP_MEMBER_H_
#define IVYGW_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>

namespace ivygw::membership {

enum class State { kJoining, kServing, kLeaving };
const char* StateName(State state);

struct Member {
  std::string name;     // unique among those that live
  std::string boot;     // of this start of its process; unique for ever
  std::string address;  // where it takes clients
  std::string version;  // of its program
  int zone = 0;
  double capacity = 1;
  int slot = -1;  // its position; no two that live have one
  State state = State::kJoining;
  bool heir = false;  // took its name over from the process before, which knows of it
  bool known = true;  // false: written by a program whose form this one can't read; it counts all the same
};

inline constexpr int kForm = 1;  // of the text
std::string Write(const Member& member);
// A text of a later form, or of none, gives a member of that name of which nothing else is known.
Member Read(const std::string& name, const std::string& text);

// Its fence: `revision` rises with each boot or claim at one engine; the boot tells two apart that an engine
// which lost its newest writes gave one revision.
struct Fence {
  uint64_t revision = 0;
  std::string boot;
  bool operator==(const Fence&) const = default;
};

}  // namespace ivygw::membership

#endif  // IVYGW_MEMBERSHIP_MEMBER_H_
