// A versioned item of a replicated table: the unit that callers write, that cores agree on and that gateways
// are sent.
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

// A 64-bit digest of the whole content of an item, equal on every machine.
inline uint64_t DigestOf(const Item& item) {
  uint64_t body = micadock::TextHash(item.body, item.dropped ? 7 : 3);
  return micadock::Mix(micadock::TextHash(item.key, 1) ^ micadock::Mix(item.version) ^ micadock::Mix(body));
}

// One total order over the contents that a key may have, the same on every machine: version, then digest,
// then bytes.
inline bool Newer(const Item& a, const Item& b) {
  if (a.version != b.version) return a.version > b.version;
  uint64_t digest_a = DigestOf(a), digest_b = DigestOf(b);
  return std::tie(digest_a, a.dropped, a.body) > std::tie(digest_b, b.dropped, b.body);
}

// By ranges of keys gateways tell what they have of a table: one digest for each.
inline constexpr size_t kListRanges = 64;
inline size_t RangeOf(const std::string& key, size_t ranges) { return micadock::TextHash(key) % ranges; }

template <class Archive>
void serialize(Archive& archive, Item& item) {
  archive(item.key, item.version, item.dropped, item.body);
}

}  // namespace ivygw::messages

#endif  // IVYGW_SYSTEM_MESSAGES_ITEM_H_
