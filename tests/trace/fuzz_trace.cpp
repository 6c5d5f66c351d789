// A libFuzzer target: bytes that are no trace are refused with a TraceError, and nothing worse.
#include "trace/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* bytes, size_t size) {
  std::string_view text(reinterpret_cast<const char*>(bytes), size);
  try {
    for (const ivygw::trace::Turn& turn : ivygw::trace::DecodeTurns(text))
      ivygw::trace::DecodeEffects(turn.effects);
  } catch (const ivygw::trace::TraceError&) {
  }
  return 0;
}
