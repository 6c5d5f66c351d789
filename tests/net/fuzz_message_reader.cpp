// libFuzzer: any bytes as requests and as answers, in pieces; the same bytes read in two ways of cutting give
// the same.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "net/message_reader.h"

namespace {

template <bool kRequest>
std::string Read(std::string_view text, size_t piece, size_t room) {
  ivygw::MessageReader<kRequest> reader(1 << 16);
  std::string all;
  for (size_t at = 0; at < text.size() || at == 0;) {
    std::string_view part = text.substr(at, piece);
    at += std::max<size_t>(1, part.size());
    reader.Add(part);
    for (;;) {
      std::string body;
      ivygw::error_code error = reader.Parse(&body, room);
      if (body.size() > room) std::abort();
      all += body;
      if (error) return all + "!";
      if (reader.done()) {
        all += "|";
        reader.Next();
        if (reader.unread() == 0) break;
        continue;
      }
      if (body.empty()) break;
    }
    if (text.empty()) break;
  }
  return all;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  size_t piece = size > 0 ? 1 + data[0] % 64 : 1;
  if (Read<true>(text, piece, 100) != Read<true>(text, size + 1, 1 << 20)) std::abort();
  if (Read<false>(text, piece, 100) != Read<false>(text, size + 1, 1 << 20)) std::abort();
  return 0;
}
