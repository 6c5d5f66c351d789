#!/usr/bin/env bash
# What one emulator process carries: 200 nodes, at rising rates, the emulator on two cores and the gateways on the
# others. Lateness is that of writing a request against its intended time. Usage: bench/capacity.sh [BUILD] [RATE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build-tests}")
shift || true
rates=("$@")
[ "${#rates[@]}" -gt 0 ] || rates=(1000 2000 3000 4000 5000 6000)
cores=$(nproc)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ "$cores" -ge 4 ]; then own=0,1 others=2-$((cores - 1)); else own=0-$((cores - 1)) others=$own; fi
printf '#!/bin/sh\nexec taskset -c %s %s/ivygw "$@"\n' "$others" "$build" > "$work/ivygw"
chmod +x "$work/ivygw"
printf '%8s %8s %9s %9s %10s %12s %9s  (cores %s, emulator on %s, gateways on %s)\n' rate asked served connect. 'late p99' 'emulator CPU' rules "$cores" "$own" "$others"
for rate in "${rates[@]}"; do
  status=0
  taskset -c "$own" "$build/ivygw-rehearse" bench/scenarios/capacity.toml --rate "$rate" --out "$work/$rate" \
    --gateway-program "$work/ivygw" > "$work/$rate.txt" 2> /dev/null || status=$?
  python3 - "$work" "$rate" "$status" <<'P'
import json, re, sys
work, rate, status = sys.argv[1:]
report = json.load(open(f"{work}/{rate}/report.json"))
text = open(f"{work}/{rate}.txt").read()
cpu, descriptors = re.search(r"emulator: ([0-9.]+) s of CPU, (\d+) descriptors", text).groups()
whole = report["whole"]
print(f"{rate:>8} {whole['asked']:8} {whole['served']:9} {descriptors:>9} {report['generator_late_p99_s'] * 1e3:7.2f} ms "
      f"{float(cpu) / 17 * 100:10.0f} % {'kept' if report['rules_kept'] else 'BROKEN':>9}", flush=True)
P
done
