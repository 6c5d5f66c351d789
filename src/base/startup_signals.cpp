#include "base/startup_signals.h"

#include <csignal>
#include <initializer_list>

namespace ivygw {
namespace {

void ChangeSignalMask(int how, std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : numbers) sigaddset(&signals, number);
  pthread_sigmask(how, &signals, nullptr);
}

void BlockReloadSignal(int, char**, char**) { ChangeSignalMask(SIG_BLOCK, {SIGHUP}); }

// The dynamic linker calls what stands in this section once all is loaded and before any constructor, those
// of shared libraries among them.
using PreinitFunction = void (*)(int, char**, char**);
[[gnu::section(".preinit_array"), gnu::used]] const PreinitFunction kBlockReloadSignal = BlockReloadSignal;

}  // namespace

void UnblockHandledSignals() { ChangeSignalMask(SIG_UNBLOCK, {SIGHUP, SIGTERM, SIGINT}); }

}  // namespace ivygw
