#!/usr/bin/env python3
"""What partners are sent on for beyond their quota, and what modest ones lose, by fault of the counter and number of
gateways, in virtual time; with the counter calls a request. Usage:
  bench/quota_faults.py [--seeds N] [--plot FILE.svg] NAME=PROGRAM [NAME=PROGRAM ...]
where PROGRAM is an ivygw-rehearse, so that two builds can be set side by side."""
import argparse
import json
import pathlib
import subprocess
import tempfile

FAULTS = {
    "none": [],
    "silent 15 s": ['kind = "counter_silent"\nat_s = 10\nfor_s = 15'],
    "refusing 15 s": ['kind = "counter_refusing"\nat_s = 10\nfor_s = 15'],
    "one part silent 15 s": ['kind = "counter_silent"\nat_s = 10\nfor_s = 15\npart = 0'],
    "stale 15 s": ['kind = "counter_stale"\nat_s = 10\nfor_s = 15'],
    "lossy (half) 15 s": ['kind = "counter_lossy"\nat_s = 10\nfor_s = 15\nshare = 0.5'],
    "slow x40 15 s": ['kind = "counter_slow"\nat_s = 10\nfor_s = 15\ntimes = 40'],
    "split 15 s": ['kind = "counter_split"\nat_s = 10\nfor_s = 15'],
    "emptied": ['kind = "counter_empty"\nat_s = 10', 'kind = "counter_empty"\nat_s = 20'],
    "silent, then emptied": ['kind = "counter_silent"\nat_s = 10\nfor_s = 15', 'kind = "counter_empty"\nat_s = 24.9'],
}


def plot(path, figures, names):
    """Horizontal bars: one group for each fault, one panel for each number of gateways."""
    faults, sizes = list(FAULTS), (3, 10, 40)
    most = max(figures.values()) or 1
    panel, left, step = 260, 150, 14 * len(names) + 10
    height = 60 + step * len(faults)
    colours = ["#b0b0b0", "#2a6f97", "#d1495b", "#66a182"]
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{left + panel * len(sizes)}" height="{height}" '
           'font-family="sans-serif" font-size="11"><rect width="100%" height="100%" fill="white"/>']
    for n, name in enumerate(names):
        out.append(f'<rect x="{left + 90 * n}" y="8" width="10" height="10" fill="{colours[n % 4]}"/>'
                   f'<text x="{left + 90 * n + 14}" y="17">{name}</text>')
    for s, size in enumerate(sizes):
        x = left + panel * s
        out.append(f'<text x="{x}" y="38" font-weight="bold">{size} gateways, units beyond the quota</text>')
        for f, fault in enumerate(faults):
            y = 48 + step * f
            if s == 0:
                out.append(f'<text x="{left - 6}" y="{y + 14}" text-anchor="end">{fault}</text>')
            for n, name in enumerate(names):
                value = figures[fault, size, name]
                width = value / most * (panel - 60)
                out.append(f'<rect x="{x}" y="{y + 14 * n}" width="{width:.1f}" height="12" fill="{colours[n % 4]}"/>'
                           f'<text x="{x + width + 3:.1f}" y="{y + 14 * n + 10}">{value:.0f}</text>')
    out.append("</svg>")
    pathlib.Path(path).write_text("\n".join(out) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", help="an SVG file to write the excess to, a panel for each number of gateways")
    parser.add_argument("builds", nargs="+", metavar="NAME=PROGRAM")
    options = parser.parse_args()
    seeds = options.seeds
    builds = [b.split("=", 1) for b in options.builds]
    figures = {}
    base = (pathlib.Path(__file__).parent / "scenarios" / "quota.toml").resolve()
    print(f"{'fault':22} {'gateways':>8}" + "".join(f" {n + ' over':>14} {n + ' modest':>14} {n + ' calls':>10}" for n, _ in builds))
    with tempfile.TemporaryDirectory() as folder:
        for fault, tables in FAULTS.items():
            for gateways in (3, 10, 40):
                row = f"{fault:22} {gateways:8}"
                for name, program in builds:
                    over, service, kept, calls, asks = [], [], True, 0, 0
                    for seed in range(1, seeds + 1):
                        text = base.read_text().replace("gateways = 3", f"gateways = {gateways}")
                        text += "".join(f"\n[[fault]]\n{t}\n" for t in tables)
                        path = pathlib.Path(folder) / "day.toml"
                        path.write_text(text)
                        run = subprocess.run([program, str(path), "--virtual", "--seed", str(seed), "--out", folder],
                                             stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
                        kept = kept and run.returncode == 0
                        plans = {p["name"]: p for p in json.load(open(f"{folder}/report.json"))["plans"]}
                        over.append(plans["greedy"]["most_over_units"])
                        service.append(plans["modest"]["service"])
                        with open(f"{folder}/record.jsonl") as record:
                            for line in record:
                                calls += '"kind":"count"' in line
                                asks += '"kind":"ask"' in line
                    figures[fault, gateways, name] = max(over)
                    row += f" {max(over):12.1f} u {sum(service) / len(service):13.4f} {calls / max(1, asks):10.3f}" + ("" if kept else "!")
                print(row, flush=True)
    if options.plot:
        plot(options.plot, figures, [name for name, _ in builds])


main()
