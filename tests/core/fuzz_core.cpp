// A libFuzzer target: the core round the real module, driven by the bytes.
#include <cstdio>
#include <cstdlib>

#include "core/core_watch.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* bytes, size_t size) {
  ivygw::core::CoreSettings settings = ivygw::core::WatchedSite();
  settings.module.plans[0].rate = 20;
  settings.module.plans[0].burst = 40;
  ivygw::core::CoreWatch watch(settings, true);
  watch.Play(bytes, size);
  if (watch.broken().empty()) return 0;
  std::fprintf(stderr, "%s\n", watch.broken().c_str());
  std::abort();
}
