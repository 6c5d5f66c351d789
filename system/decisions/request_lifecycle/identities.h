// Typed identifiers of clients, requests, attempts and connections. Each kind counts up from 1 and is never
// reused while the process runs, so that an event for an object that no longer exists can be recognized as
// stale.
#ifndef IVYGW_SYSTEM_REQUEST_LIFECYCLE_IDENTITIES_H_
#define IVYGW_SYSTEM_REQUEST_LIFECYCLE_IDENTITIES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace ivygw::request_lifecycle {

// 0 is invalid. Identifiers of different kinds do not convert into each other.
template <typename Kind>
struct Identity {
  uint64_t value = 0;
  auto operator<=>(const Identity&) const = default;
  bool valid() const { return value != 0; }
};

using ClientId = Identity<struct ClientKind>;          // a client's connection
using RequestId = Identity<struct RequestKind>;        // one request on a client's connection
using AttemptId = Identity<struct AttemptKind>;        // one attempt of a request at one backend
using ConnectionId = Identity<struct ConnectionKind>;  // a connection to a backend

struct IdentityHash {
  template <typename Kind>
  size_t operator()(Identity<Kind> id) const {
    return std::hash<uint64_t>()(id.value);
  }
};

}  // namespace ivygw::request_lifecycle

#endif  // IVYGW_SYSTEM_REQUEST_LIFECYCLE_IDENTITIES_H_
