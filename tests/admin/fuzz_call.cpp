// libFuzzer: operators' lines, and the files that a gateway's processes share.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "admin/call.h"
#include "state/learned_file.h"
#include "state/operators_file.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  ivygw::admin::Parsed parsed = ivygw::admin::ParseCall(text);
  std::string no = ivygw::admin::No(parsed.fault);
  if (no.find('\n') != no.size() - 1) std::abort();  // one line, whatever was asked
  for (char c : parsed.call.id) {
    if (c <= ' ' || c >= 0x7f) std::abort();
  }
  try {
    ivygw::state::OperatorsWord word = ivygw::state::Parse(text, "n0");
    if (!(ivygw::state::Parse(ivygw::state::Format(word, "n0"), "n0") == word)) std::abort();
  } catch (const ivygw::state::StateError&) {
  }
  try {
    ivygw::state::ParseLearned(text, 1000, "n0", [](const std::string&) { return 1u; });
  } catch (const ivygw::state::StateError&) {
  }
  return 0;
}
