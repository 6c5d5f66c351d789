// Random 64-bit ids: incarnations of processes, seeds. From the system's source of randomness, so that no two
// processes draw the same one in practice. Not for pure code, which is given its ids.
#ifndef IVYGW_BASE_RANDOM_ID_H_
#define IVYGW_BASE_RANDOM_ID_H_

#include <cstdint>
#include <random>

namespace ivygw {

inline uint64_t RandomId() {
  std::random_device source;
  return uint64_t{source()} << 32 | source();
}

}  // namespace ivygw

#endif  // IVYGW_BASE_RANDOM_ID_H_
