// The body of a request that the proxy holds until it is answered, in pieces, so that it neither grows by
// copying nor has to be in one place to be sent. Pure; one thread.
#ifndef IVYGW_SYSTEM_PROXY_REQUEST_BODY_H_
#define IVYGW_SYSTEM_PROXY_REQUEST_BODY_H_

#include <string>
#include <utility>
#include <vector>

namespace ivygw::proxy {

class RequestBody {
 public:
  static constexpr size_t kPiece = size_t{64} * 1024;  // bytes to which small parts are joined

  void Append(std::string bytes) {
    if (bytes.empty()) return;
    size_ += bytes.size();
    bool joins = !pieces_.empty() && pieces_.back().size() + bytes.size() <= kPiece;
    if (!joins) {
      held_ += bytes.capacity();
      pieces_.push_back(std::move(bytes));
      return;
    }
    held_ -= pieces_.back().capacity();
    pieces_.back() += bytes;
    held_ += pieces_.back().capacity();
  }
  void Clear() { *this = RequestBody(); }

  const std::vector<std::string>& pieces() const { return pieces_; }
  size_t size() const { return size_; }
  // Bytes of memory, which are more than its size.
  size_t held() const { return held_ + pieces_.capacity() * sizeof(std::string); }

 private:
  std::vector<std::string> pieces_;
  size_t size_ = 0, held_ = 0;
};

}  // namespace ivygw::proxy

#endif  // IVYGW_SYSTEM_PROXY_REQUEST_BODY_H_
