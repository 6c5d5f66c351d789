// A number out of a text: the same on every machine and in every build, for marks and draws; no guard against
// whoever chooses texts to collide.
#ifndef IVYGW_BASE_TEXT_HASH_H_
#define IVYGW_BASE_TEXT_HASH_H_

#include <cstdint>
#include <string_view>

#include "base/dice.h"

namespace micadock {

// FNV-1a, spread over all bits.
inline uint64_t TextHash(std::string_view text, uint64_t seed = 0) {
  uint64_t h = 0xcbf29ce484222325ULL ^ seed;
  for (unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return Mix(h);
}

}  // namespace micadock

#endif  // IVYGW_BASE_TEXT_HASH_H_
