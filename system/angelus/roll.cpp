#include "angelus/roll.h"

#include <algorithm>

namespace ivygw::angelus {

using cascade::Backend;
using messages::Item;

namespace {

constexpr char kSilent[] = "silent";  // the body of such a tombstone

}  // namespace

Entry OnBeat(const Backend& told, const Item* known, bool safe) {
  Entry out;
  out.wait = told.draining;
  bool back = known && known->dropped && known->body == kSilent && told.sequence > known->version;
  if (known && !back) {
    Backend before;
    cascade::ReadBackend(known->body, &before);
    // Late, or of one that has said that it goes: what it says stands already, or is out of date.
    bool late = known->dropped || known->version >= told.sequence || (before.draining && !told.draining);
    bool same = before.service == told.service && before.address == told.address && before.slots == told.slots &&
                before.draining == told.draining && (before.warm_ms > 0) == (told.warm_ms > 0);
    if (late || same) {
      out.item = *known;
      // Whatever stands is acknowledged; a drain only where it is safe.
      out.write = !safe;
      return out;
    }
  }
  out.item.key = kBackends + told.id;
  out.item.version = told.sequence;
  out.item.body = cascade::WriteBackend(told);
  out.write = true;
  return out;
}

Item OnSilent(const Item& known) { return {known.key, known.version + 1, true, kSilent}; }

Entry OnDeregister(const std::string& id, uint64_t sequence, const Item* known, bool safe) {
  Entry out;
  out.wait = true;
  if (known && known->dropped) {
    out.item = *known;
    out.write = !safe;
    return out;
  }
  // The last word of this start, whatever number it bears.
  out.item.key = kBackends + id;
  out.item.version = std::max(known ? known->version + 1 : 1, sequence);
  out.item.dropped = true;
  out.write = true;
  return out;
}

}  // namespace ivygw::angelus
