#!/usr/bin/env python3
"""Generates days and plays them on deployments with the system bench; prints what broke and how to replay it.

Run at the root of the repository. Each day is one process of the bench; --jobs bounds how many run at once. The exit
code is 0 if every day was played, kept all rules and passed the gate, else 1. Nothing is retried.
"""

import argparse
import json
import shlex
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import generate


@dataclass(frozen=True)
class Assignment:
    """One day to play on one deployment."""

    site: Path
    point: str
    seed: int
    day_file: Path
    report_file: Path


@dataclass(frozen=True)
class Outcome:
    """What became of one day. `report` is None if the bench gave none; `output` is then what it said."""

    assignment: Assignment
    report: dict | None
    output: str

    @property
    def rules(self) -> str:
        """Broken rules with their counts."""
        if self.report is None:
            return "not played"
        breaks = self.report["breaks"]
        return ", ".join(f"{rule} {count}" for rule, count in sorted(breaks.items())) or "none"

    @property
    def gate_failures(self) -> list[str]:
        """Why the gate failed, besides broken rules: acknowledgements that did not come, processes that ended, refusals."""
        return [] if self.report is None else list(self.report["short"])

    @property
    def passed(self) -> bool:
        return self.report is not None and not self.report["breaks"] and not self.gate_failures


def run_command(options: argparse.Namespace, assignment: Assignment) -> list[str]:
    """The bench's command for one day."""
    return [str(options.bench), "run", str(assignment.site), str(assignment.day_file), "--jobs", "1", "--why", options.why]


def play(options: argparse.Namespace, assignment: Assignment) -> Outcome:
    """Writes the day file, plays it and reads the bench's report."""
    deployment = generate.load_deployment(assignment.site)
    table = generate.load_kinds()
    day = generate.generate(assignment.point, assignment.seed, deployment, table, options.load)
    assignment.day_file.write_text(generate.to_toml(day, table), encoding="utf-8")
    assignment.report_file.unlink(missing_ok=True)
    command = run_command(options, assignment) + ["--report", str(assignment.report_file)]
    finished = subprocess.run(command, capture_output=True, text=True, check=False)
    output = finished.stdout + finished.stderr
    if not assignment.report_file.exists():
        return Outcome(assignment, None, output)
    return Outcome(assignment, json.loads(assignment.report_file.read_text(encoding="utf-8")), output)


def print_outcome(options: argparse.Namespace, outcome: Outcome) -> None:
    """One line a day, and below it the first breaks of a day that did not pass."""
    assignment = outcome.assignment
    worth = "-" if outcome.report is None else f"{outcome.report['G']:.3f}"
    replay = shlex.join(run_command(options, assignment))
    verdict = "passed" if outcome.passed else "FAILED"
    print(f"{verdict} {assignment.point} {assignment.site.stem} seed {assignment.seed}: rules broken: {outcome.rules}; "
          f"worth {worth}; replay: {replay}", flush=True)
    if outcome.report is None:
        print("    " + "\n    ".join(outcome.output.strip().splitlines()[-5:]), flush=True)
        return
    for broken in outcome.report["first"]:
        print(f"    {broken['rule']} at {broken['at_s']} s: {broken['what']}", flush=True)
    for reason in outcome.gate_failures:
        print(f"    gate: {reason}", flush=True)


def print_summary(outcomes: Sequence[Outcome]) -> None:
    """Days by point and deployment: passed of played."""
    print("\npoint          site                    passed/played  worst worth")
    keys = sorted({(outcome.assignment.point, outcome.assignment.site.stem) for outcome in outcomes})
    for point, site in keys:
        days = [each for each in outcomes if (each.assignment.point, each.assignment.site.stem) == (point, site)]
        worths = [each.report["G"] for each in days if each.report is not None]
        worst = f"{min(worths):.3f}" if worths else "-"
        print(f"{point:<14} {site:<23} {sum(each.passed for each in days):>6}/{len(days):<7} {worst}")
    played = sum(outcome.report is not None for outcome in outcomes)
    print(f"{played} of {len(outcomes)} days played, {sum(each.passed for each in outcomes)} passed, "
          f"{sum(bool(each.report and each.report['breaks']) for each in outcomes)} broke a rule, "
          f"{sum(bool(each.gate_failures) for each in outcomes)} failed the gate otherwise")


def assignments(options: argparse.Namespace) -> list[Assignment]:
    """All days asked for, every site at one seed before the next seed."""
    listed = []
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        for point in options.points:
            for site in options.sites:
                stem = options.out / f"{site.stem}-{point}-{seed}"
                listed.append(Assignment(site, point, seed, stem.with_suffix(".toml"), stem.with_suffix(".json")))
    return listed


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sites", nargs="+", type=Path, metavar="SITE", help="site files of the deployments")
    parser.add_argument("--bench", type=Path, required=True, help="the bench's program")
    parser.add_argument("--why", required=True, help="a line for the journal, under 120 characters")
    parser.add_argument("--points", nargs="+", choices=generate.POINTS, default=list(generate.POINTS))
    parser.add_argument("--seeds", type=int, default=1, help="days for each point and site")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3, help="days played at once")
    parser.add_argument("--load", type=float, default=1.0, help="share of the usual traffic; less plays large deployments sooner")
    parser.add_argument("--out", type=Path, default=Path("target/days"), help="folder for day files and reports")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    options = parse(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    built = subprocess.run([str(options.bench), "build"], check=False)
    if built.returncode != 0:
        return 1
    outcomes: list[Outcome] = []
    with ThreadPoolExecutor(max_workers=options.jobs) as pool:
        for outcome in pool.map(lambda assignment: play(options, assignment), assignments(options)):
            outcomes.append(outcome)
            print_outcome(options, outcome)
    print_summary(outcomes)
    return 0 if all(outcome.passed for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
