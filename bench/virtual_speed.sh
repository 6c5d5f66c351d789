#!/usr/bin/env bash
# Virtual time against real time: a calm day of 14 nodes at 230 requests a second. Usage: bench/virtual_speed.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-tests}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
python3 - "$build" "$work" <<'P'
import statistics, subprocess, sys, time
build, work = sys.argv[1:]
times = []
for seed in range(1, 8):
    begin = time.monotonic()
    subprocess.run([f"{build}/ivygw-rehearse", "calm", "--virtual", "--seed", str(seed), "--out", work], check=True,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    times.append(time.monotonic() - begin)
median = statistics.median(times)
print(f"20 s of the calm day in {median * 1000:.0f} ms (median of {len(times)}, record, judgement and report included): "
      f"{20 / median:.0f} times as fast")
P
