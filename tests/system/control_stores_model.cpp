#include "system/control_stores.h"

namespace ivygw::control_sim {

StoreFactory MakeStoreFactory(uint64_t) { return {}; }

}  // namespace ivygw::control_sim
