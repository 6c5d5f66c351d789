// A versioned item of a replicated table: the unit that callers write, cores agree on and gateways receive.
#ifndef IVYGW_SYSTEM_MESSAGES_ITEM_H_
#define IVYGW_SYSTEM_MESSAGES_ITEM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "base/text_hash.h"

namespace ivygw::messages {

struct Item {
  std::string key;       // table/name
  uint64_t version = 0;  // chosen by the caller; the highest version of a key prevails
  bool dropped = false;  // a tombstone
  std::string body;      // JSON
  bool operator==(const Item&) const = default;
};

// A 64-bit digest of all fields of an item, identical on every machine.
inline uint64_t DigestOf(const Item& item) {
  uint64_t body = micadock::TextHash(item.body, item.dropped ? 7 : 3);
  return micadock::Mix(micadock::TextHash(item.key, 1) ^ micadock::Mix(item.version) ^ micadock::Mix(body));
}

// A total order over the items that one key may have, identical on every machine: by version, then digest,
// then content.
inline bool Newer(const Item& a, const Item& b) {
  if (a.version != b.version) return a.version > b.version;
  uint64_t digest_a = DigestOf(a), digest_b = DigestOf(b);
  return std::tie(digest_a, a.dropped, a.body) > std::tie(digest_b, b.dropped, b.body);
}

// Gateways report the content of their copy of a table as one digest per key range; keys are assigned to
// ranges by hash.
inline constexpr size_t kListRanges = 64;
inline size_t RangeOf(const std::string& key, size_t ranges) { return micadock::TextHash(key) % ranges; }

template <class Archive>
void serialize(Archive& archive, Item& item) {
  archive(item.key, item.version, item.dropped, item.body);
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_ITEM_H_
