#include "system/control_stores.h"
#include "system/stored_disk.h"

namespace ivygw::control_sim {

StoreFactory MakeStoreFactory(uint64_t seed) {
  return StoredDiskFactory(seed, {.loses_names = true, .tears_writes = true});
}

}  // namespace ivygw::control_sim
