// A libFuzzer target: the core with the real balancer, driven by the fuzzer's bytes.
#include <cstdio>
#include <cstdlib>

#include "core/core_harness.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* bytes, size_t size) {
  ivygw::core::CoreSettings settings = ivygw::core::HarnessSettings();
  settings.policy.plans[0].rate = 20;
  settings.policy.plans[0].burst = 40;
  ivygw::core::CoreHarness harness(settings, true);
  harness.Run(bytes, size);
  if (harness.violation().empty()) return 0;
  std::fprintf(stderr, "%s\n", harness.violation().c_str());
  std::abort();
}
