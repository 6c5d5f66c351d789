#include "proxy/collected_body.h"

#include <algorithm>
#include <utility>

namespace ivygw::proxy {

namespace {

constexpr size_t kMaxBody = size_t{16} << 20;       // bytes
constexpr size_t kSmallRequest = size_t{8} * 1024;  // bytes of one that is taken whatever its tenant holds
constexpr size_t kFieldOverhead = 96;               // bytes of a header line beside its text, about

}  // namespace

void CollectedBody::SetHead(const http::request_header<>& head) {
  head_bytes_ = head.target().size();
  for (const auto& field : head)
    head_bytes_ += field.name_string().size() + field.value().size() + kFieldOverhead;
}

CollectedBody::Verdict CollectedBody::MayBegin(const std::string& tenant,
                                               std::optional<uint64_t> length) const {
  if (length.value_or(0) > Longest()) return Verdict::kTooLong;
  return memory_.MayBegin(tenant) ? Verdict::kHeld : Verdict::kNoMemory;
}

CollectedBody::Verdict CollectedBody::Append(std::string bytes) {
  body_.Append(std::move(bytes));
  return body_.size() > Longest() ? Verdict::kTooLong : Verdict::kHeld;
}

CollectedBody::Verdict CollectedBody::Hold(const std::string& tenant) {
  share_.Hold(tenant, held());
  bool is_long = body_.size() > bodies::BodyMemory::kWhole;
  bool may = held() <= kSmallRequest || memory_.WithinPart(tenant, is_long);
  return may ? Verdict::kHeld : Verdict::kNoMemory;
}

void CollectedBody::ClearBody(const std::string& tenant) {
  body_.Clear();
  share_.Hold(tenant, held());
}

size_t CollectedBody::Longest() const { return std::min(kMaxBody, memory_.LongestBody()); }

}  // namespace ivygw::proxy
