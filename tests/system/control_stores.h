// The disks of the simulated machines of a test program: the model only, or real stores as well. A program
// links one of control_stores_*.cpp.
#ifndef IVYGW_TESTS_SYSTEM_CONTROL_STORES_H_
#define IVYGW_TESTS_SYSTEM_CONTROL_STORES_H_

#include <cstdint>

#include "system/control_sim.h"

namespace ivygw::control_sim {

StoreFactory MakeStoreFactory(uint64_t seed);

}  // namespace ivygw::control_sim

#endif  // IVYGW_TESTS_SYSTEM_CONTROL_STORES_H_
