// Stands in for a daemon at its start: blocks SIGHUP as the first thing that it does, tells on standard output
// at which time that was (nanoseconds of the monotonic clock, eight bytes), and waits to be killed. Built without a C
// library, with a static one, with a dynamic one, and with the shared libraries of a daemon, it shows what part
// of the time until then is the kernel's, the C library's and the dynamic linker's (bench/sighup_at_start.py).
#include <asm/unistd.h>
#include <linux/signal.h>
#include <linux/time.h>

static long SystemCall(long number, long a, long b, long c, long d) {
  register long fourth __asm__("r10") = d;
  long result;
  __asm__ volatile("syscall" : "=a"(result) : "a"(number), "D"(a), "S"(b), "d"(c), "r"(fourth) : "rcx", "r11", "memory");
  return result;
}

static void BlockTellAndWait(void) {
  unsigned long mask = 1UL << (SIGHUP - 1);
  SystemCall(__NR_rt_sigprocmask, SIG_BLOCK, (long)&mask, 0, sizeof(mask));
  struct timespec now;
  SystemCall(__NR_clock_gettime, 1 /* CLOCK_MONOTONIC */, (long)&now, 0, 0);
  long nanoseconds = now.tv_sec * 1000000000L + now.tv_nsec;
  SystemCall(__NR_write, 1, (long)&nanoseconds, sizeof(nanoseconds), 0);
  for (;;) SystemCall(__NR_pause, 0, 0, 0, 0);
}

#ifdef WITHOUT_C_LIBRARY
void _start(void) { BlockTellAndWait(); }
#else
__attribute__((section(".preinit_array"), used)) static void (*const first)(void) = BlockTellAndWait;
int main(void) { return 0; }
#endif
