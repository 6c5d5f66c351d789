// A store that can't be opened at this time, though nothing says that it is damaged.
#ifndef IVYGW_SYSTEM_STORAGE_STORE_UNAVAILABLE_H_
#define IVYGW_SYSTEM_STORAGE_STORE_UNAVAILABLE_H_

#include <stdexcept>

namespace ivygw::storage {

// The disk refuses to be read or written: it may be full, or come back later. Its text is one line. Whoever
// opens the store tries again; nothing has been lost.
class StoreUnavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_STORE_UNAVAILABLE_H_
