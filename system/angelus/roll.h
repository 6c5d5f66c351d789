// Angelus (the roll): what a call of a backend changes in the registry's table, and when it may be acknowledged. Pure.
#ifndef IVYGW_SYSTEM_ANGELUS_ROLL_H_
#define IVYGW_SYSTEM_ANGELUS_ROLL_H_

#include <string>

#include "cascade/backend.h"
#include "messages/item.h"

namespace ivygw::angelus {

inline constexpr char kBackends[] = "backend/";

struct Entry {
  messages::Item item;     // what is to stand
  bool write = false;     // it doesn't yet, or isn't safe
  bool wait = false;      // others rely on it: acknowledged once a majority holds it
};

// `known`: what stands under the backend's key; none: null. `safe`: a majority is known to hold it.
Entry OnBeat(const cascade::Backend& told, const messages::Item* known, bool safe);
// One that has been silent too long: it may come back, with a later beat.
messages::Item OnSilent(const luxmore::Item& known);
// `sequence`: of the call, 0 where it tells none.
Entry OnDeregister(const std::string& id, uint64_t sequence, const messages::Item* known, bool safe);

}  // namespace ivygw::angelus

#endif  // IVYGW_SYSTEM_ANGELUS_ROLL_H_
