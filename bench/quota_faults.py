#!/usr/bin/env python3
"""What partners are sent on for beyond their quota, and what modest ones lose, by fault of the counter and number of
gateways, in virtual time. Usage: bench/quota_faults.py [--seeds N] NAME=PROGRAM [NAME=PROGRAM ...]
where PROGRAM is an ivygw-rehearse, so that two builds can be set side by side."""
import json
import pathlib
import subprocess
import sys
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


def main():
    arguments = sys.argv[1:]
    seeds = 3
    if arguments[:1] == ["--seeds"]:
        seeds = int(arguments[1])
        arguments = arguments[2:]
    builds = [a.split("=", 1) for a in arguments]
    base = (pathlib.Path(__file__).parent / "scenarios" / "quota.toml").resolve()
    print(f"{'fault':22} {'gateways':>8}" + "".join(f" {n + ' over':>14} {n + ' modest':>14}" for n, _ in builds))
    with tempfile.TemporaryDirectory() as folder:
        for fault, tables in FAULTS.items():
            for gateways in (3, 10, 40):
                row = f"{fault:22} {gateways:8}"
                for _, program in builds:
                    over, service, kept = [], [], True
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
                    row += f" {max(over):12.1f} u {sum(service) / len(service):13.4f}" + ("" if kept else "!")
                print(row, flush=True)


main()
