#!/usr/bin/env bash
# CPU for a request and latency added: ivygw beside a relay with no decisions on the same event loop, or beside another
# build of ivygw, in turn, so that a change of the machine strikes both.
# Usage: bench/overhead.sh [BUILD] [PAIRS] [BASE_PROGRAM] [SCENARIO]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-tests} pairs=${2:-3}
base=${3:-$build/bench_relay} scenario=${4:-bench/scenarios/overhead.toml}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for pair in $(seq "$pairs"); do
  for program in base ivygw; do
    path=$base
    [ "$program" = base ] || path=$build/ivygw
    "$build/ivygw-rehearse" "$scenario" --seed "$pair" --gateway-program "$path" \
      --out "$work/$program-$pair" > "$work/$program-$pair.txt" 2> /dev/null || true
    echo "pair $pair $program done" >&2
  done
done
python3 - "$work" "$pairs" <<'P'
import json, re, statistics, sys
work, pairs = sys.argv[1], int(sys.argv[2])
figures = {}
for program in ("base", "ivygw"):
    rows = []
    for pair in range(1, pairs + 1):
        report = json.load(open(f"{work}/{program}-{pair}/report.json"))
        text = open(f"{work}/{program}-{pair}.txt").read()
        cpu = sum(float(x) for x in re.findall(r"gateway n\d+: ([0-9.]+) s of CPU", text))
        whole = report["whole"]
        rows.append((cpu / whole["asked"] * 1e6, report["added_p50_s"] * 1e6, report["added_p99_s"] * 1e6,
                     whole["asked"], whole["served"], report["generator_late_p99_s"] * 1e3))
    figures[program] = [statistics.median(r[i] for r in rows) for i in range(6)]
print(f"{'':12} {'CPU us':>9} {'p50 us':>9} {'p99 us':>9} {'asked':>8} {'served':>8} {'late p99 ms':>12}")
for program, f in figures.items():
    print(f"{program:12} {f[0]:9.1f} {f[1]:9.1f} {f[2]:9.1f} {f[3]:8.0f} {f[4]:8.0f} {f[5]:12.2f}")
r, g = figures["base"], figures["ivygw"]
print(f"{'ratio':12} {g[0] / r[0]:9.2f} {g[1] / r[1]:9.2f} {g[2] / r[2]:9.2f}")
P
