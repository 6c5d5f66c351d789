// Signals while a program starts. SIGHUP asks a daemon to read its configuration again, but until a handler
// is installed its default action ends the process. A program that links this has SIGHUP blocked before any
// of its constructors runs: one that comes meanwhile stays pending, and UnblockHandledSignals delivers it.
//
// Before that point, while the kernel and the dynamic linker load the program, nothing in the program can
// help. Whoever starts it blocks SIGHUP before exec, as the mask and pending signals outlive it, or sends
// none before the ready notice (net/service_notifier.h).
#ifndef IVYGW_BASE_STARTUP_SIGNALS_H_
#define IVYGW_BASE_STARTUP_SIGNALS_H_

namespace ivygw {

// Lets SIGHUP, SIGTERM and SIGINT through to their handlers, which are installed by now, also those that came
// before. A starter may have blocked any of them. For the main thread, before it starts others.
void UnblockHandledSignals();

}  // namespace ivygw

#endif  // IVYGW_BASE_STARTUP_SIGNALS_H_
