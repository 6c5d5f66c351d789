// What one request of a client makes the proxy hold, its head and its body, and the bounds on both: the
// length of a body, and its tenant's part of the memory. Pure; one thread.
#ifndef IVYGW_SYSTEM_PROXY_COLLECTED_BODY_H_
#define IVYGW_SYSTEM_PROXY_COLLECTED_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bodies/tenant_memory.h"
#include "net/http.h"
#include "proxy/request_body.h"

namespace ivygw::proxy {

class CollectedBody {
 public:
  enum class Verdict {
    kHeld,
    kTooLong,  // for any body
    kNoMemory  // the tenant holds its part
  };
  // `memory` outlives this.
  explicit CollectedBody(bodies::TenantMemory* memory) : memory_(*memory), share_(memory) {}

  void SetHead(const http::request_header<>& head);
  // Whether a long body of the tenant may begin. `length`: as the head tells it.
  Verdict MayBegin(const std::string& tenant, std::optional<uint64_t> length) const;
  Verdict Append(std::string bytes);  // kHeld or kTooLong
  // Counts what is held for the tenant, and says whether it may go on being held: a small request always may.
  Verdict Hold(const std::string& tenant);
  // The body is needed no more; the head still is.
  void ClearBody(const std::string& tenant);

  const std::vector<std::string>& pieces() const { return body_.pieces(); }
  size_t size() const { return body_.size(); }

 private:
  size_t Longest() const;
  size_t held() const { return head_bytes_ + body_.held(); }

  bodies::TenantMemory& memory_;
  bodies::TenantMemory::Share share_;
  RequestBody body_;
  size_t head_bytes_ = 0;
};

}  // namespace ivygw::proxy

#endif  // IVYGW_SYSTEM_PROXY_COLLECTED_BODY_H_
