#!/usr/bin/env bash
# Processor time of the proxy for one request, of two builds in turn, so that a change of the machine strikes both.
# Usage: bench/proxy_cpu.sh BASE_PROGRAM NEW_PROGRAM [PAIRS] [REQUESTS]; each program is a build's bench_proxy_cpu.
set -euo pipefail
base=$1 new=$2 pairs=${3:-15} requests=${4:-30000}
for pair in $(seq "$pairs"); do
  if [ $((pair % 2)) = 0 ]; then order="base new"; else order="new base"; fi
  for which in $order; do
    program=$base
    [ "$which" = base ] || program=$new
    echo "$which $("$program" "$requests" 1)"
  done
done | python3 -c '
import statistics, sys
figures = {"base": [], "new": []}
for line in sys.stdin:
    which, value = line.split()[:2]
    figures[which].append(float(value))
for which, values in figures.items():
    print(f"{which}: median {statistics.median(values):.2f} us, least {min(values):.2f} us a request, of {len(values)} rounds")
base, new = figures["base"], figures["new"]
pairs = statistics.median(n / b for b, n in zip(base, new))
medians = statistics.median(new) / statistics.median(base)
print(f"new / base: median of pairs {pairs:.3f}, of medians {medians:.3f}, of the least {min(new) / min(base):.3f}")
'
