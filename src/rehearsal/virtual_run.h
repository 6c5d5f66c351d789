// Plays a scenario in virtual time, without sockets: the same scenario and seed give the same record, byte
// for byte.
#ifndef IVYGW_REHEARSAL_VIRTUAL_RUN_H_
#define IVYGW_REHEARSAL_VIRTUAL_RUN_H_

#include <cstdint>
#include <functional>

#include "eventlog/event_log.h"
#include "scenario/scenario.h"

namespace ivygw::rehearsal {

// Called now and then with the time and the events so far.
using OnProgress = std::function<void(double now, const eventlog::Record& record)>;

eventlog::Record PlayVirtual(const scenario::Scenario& scenario, uint64_t seed,
                             const OnProgress& on_progress = {});

}  // namespace ivygw::rehearsal

#endif  // IVYGW_REHEARSAL_VIRTUAL_RUN_H_
