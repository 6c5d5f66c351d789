#!/usr/bin/env python3
"""Generates days for the system bench from a seed: several troubles at once, for one stress point of the control side.

The same point, seed and deployment always give the same text. Entries use only the kinds, fields and variants of
`kinds.toml`. A day is written like a `[[day]]` of a site file, as `fleetbench run SITE DAY` reads it. Times are in
seconds from the start of traffic.
"""

import argparse
import random
import sys
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

KINDS_FILE = Path(__file__).with_name("kinds.toml")
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
FIRST_FAULT_S = 8.0
"""Traffic and the first changes run undisturbed until then."""

FieldValue = float | int | str
TomlValue = FieldValue | dict[str, "TomlValue"]


@dataclass(frozen=True)
class Kind:
    """What an entry of one kind may hold."""

    list_name: str
    fields: frozenset[str]
    variants: frozenset[str]
    contract: str | None


@dataclass(frozen=True)
class KindTable:
    """All kinds by name, and how a day may end."""

    kinds: dict[str, Kind]
    closing_kinds: tuple[str, ...]
    closing_variants: tuple[str, ...]


@dataclass(frozen=True)
class Entry:
    """One trouble or one piece of planned work."""

    at: float
    kind: str
    fields: dict[str, FieldValue]


@dataclass
class Day:
    """A day to play; `entries` holds planned work and faults alike."""

    name: str
    seed: int
    length_s: float
    closing: dict[str, FieldValue]
    entries: list[Entry] = field(default_factory=list)
    traffic: list[dict[str, TomlValue]] = field(default_factory=list)
    """The clients' load; the deployment's own where it is empty."""


class UnknownTrouble(ValueError):
    """An entry that the table of kinds does not allow."""


def load_kinds(path: Path = KINDS_FILE) -> KindTable:
    """Reads the table of kinds."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    kinds = {
        name: Kind(row["list"], frozenset(row["fields"]), frozenset(row["how"]), row.get("contract"))
        for name, row in document["kinds"].items()
    }
    closing = document["closing"]
    return KindTable(kinds, tuple(closing["kinds"]), tuple(closing["how"]))


@dataclass(frozen=True)
class Deployment:
    """What a day depends on: the parts of the rules in force, and the usual load."""

    contracts: frozenset[str]
    traffic: list[dict[str, TomlValue]] = field(default_factory=list)


def load_deployment(site: Path) -> Deployment:
    """Reads a deployment's site file."""
    document = tomllib.loads(site.read_text(encoding="utf-8"))
    return Deployment(frozenset(document["contracts"]), document["traffic"])


def scaled(traffic: list[dict[str, TomlValue]], load: float) -> list[dict[str, TomlValue]]:
    """The same traffic with its rates and clients times `load`."""
    return [
        {**part, "per_s": _rounded(part["per_s"] * load), "clients": max(1, round(part["clients"] * load))}
        for part in traffic
    ]


def check(entry: Entry, table: KindTable) -> None:
    """Raises `UnknownTrouble` unless the table allows the entry."""
    kind = table.kinds.get(entry.kind)
    if kind is None:
        raise UnknownTrouble(f"no kind {entry.kind}")
    unknown_fields = entry.fields.keys() - kind.fields - {"how"}
    if unknown_fields:
        raise UnknownTrouble(f"{entry.kind} has no {sorted(unknown_fields)}")
    unknown_variants = set(str(entry.fields.get("how", "")).split()) - kind.variants
    if unknown_variants:
        raise UnknownTrouble(f"{entry.kind} has no variant {sorted(unknown_variants)}")


class DayBuilder:
    """Draws a day's entries. Kinds whose contract is not in force are left out."""

    def __init__(self, table: KindTable, contracts: frozenset[str], draw: random.Random, day: Day):
        self.draw = draw
        self.day = day
        self._table = table
        self._contracts = contracts

    def add(self, kind: str, at: float, **fields: FieldValue) -> None:
        """Adds one entry, checked against the table."""
        entry = Entry(round(at, 2), kind, {name: _rounded(value) for name, value in fields.items() if value != ""})
        check(entry, self._table)
        contract = self._table.kinds[kind].contract
        if contract is None or contract in self._contracts:
            self.day.entries.append(entry)

    def change(self, at: float) -> None:
        """Adds one valid change of the configuration."""
        self.add("config_change", at, how=self.draw.choice(CHANGES))

    def changes(self, start: float, end: float, count: int) -> None:
        """Adds changes spread at random over a span."""
        for at in sorted(self.draw.uniform(start, end) for _ in range(count)):
            self.change(at)

    def close(self, kind: str, how: str) -> None:
        """Sets the closing fault, with its variant unless that is empty."""
        self.day.closing = {"kind": kind, "down_s": _rounded(self.draw.uniform(0.5, 2.0))}
        if how:
            self.day.closing["how"] = how

    def close_anyhow(self) -> None:
        """Draws the closing fault and its variant."""
        self.close(self.draw.choice(self._table.closing_kinds), self.draw.choice(("", *self._table.closing_variants)))


def _rounded(value: FieldValue) -> FieldValue:
    return round(value, 3) if isinstance(value, float) else value


def cut_off_while_changing(build: DayBuilder) -> None:
    """A core machine is cut off for some twenty seconds while the configuration changes and is read there."""
    draw = build.draw
    build.day.length_s = 50.0
    cut_at = draw.uniform(FIRST_FAULT_S, 11.0)
    cut_s = draw.uniform(15.0, 25.0)
    cut_end = cut_at + cut_s
    direction = draw.choice(("", "one_way", "both", "seeds", "reset", "refuse"))
    who = draw.choice(("leader", "reader", "seed"))
    load = draw.choice(("meet", "race", "hard", "race drain", "meet drain"))
    build.add("core_cut", cut_at, count=1, for_s=cut_s, how=f"{direction} {who} {load}".strip())
    build.changes(1.5, 5.0, 3)
    build.changes(cut_at, cut_end, draw.randint(6, 14))
    build.add("config_race", draw.uniform(cut_at + 1.0, cut_end - 4.0), count=2, gap_s=draw.uniform(0.4, 1.5))
    build.add("revoke", draw.uniform(cut_at + 1.0, cut_end - 4.0), count=2, gap_s=1.0)
    build.add("scale_in", draw.uniform(cut_at + 1.0, cut_end - 2.0), share=draw.uniform(0.08, 0.15))
    build.add("node_cut", draw.uniform(cut_at, cut_end), share=draw.uniform(0.1, 0.3), for_s=draw.uniform(4.0, 10.0))
    if draw.random() < 0.5:
        build.add("ack_lost", draw.uniform(cut_at, cut_end - 3.0), x=draw.uniform(0.4, 0.8), for_s=draw.uniform(3.0, 8.0))
    after = draw.choice(("leader race drain", "meet drain", "power leader", "seed hard"))
    build.add("node_kill", cut_end + draw.uniform(0.5, 4.0), on="core", count=1, for_s=draw.uniform(1.0, 4.0), how=after)
    build.changes(cut_end, cut_end + 6.0, 3)
    build.close_anyhow()


def two_operators(build: DayBuilder) -> None:
    """Two operators use one version, and orders are sent again after their acknowledgement was lost."""
    draw = build.draw
    build.day.length_s = 42.0
    build.changes(1.5, 7.0, 3)
    for start in (7.0, 18.0, 29.0):
        build.add("ack_lost", start + draw.uniform(0.0, 2.0), x=draw.uniform(0.4, 0.9), for_s=draw.uniform(5.0, 9.0))
        build.add("config_race", start + draw.uniform(0.0, 3.0), count=draw.randint(2, 5), gap_s=draw.uniform(0.2, 1.2))
        build.add("bad_config", start + draw.uniform(0.0, 5.0), count=2, gap_s=0.5, how=draw.choice(("same_version", "old_version")))
        build.changes(start, start + 9.0, draw.randint(3, 7))
        kill = draw.choice(("timed", "timed", "kill", ""))
        build.add("after_ack_kill", start + draw.uniform(1.0, 6.0), for_s=draw.uniform(1.0, 4.0), how=kill)
    build.add("bad_config", draw.uniform(10.0, 30.0), count=3, gap_s=0.8, how=draw.choice(("shared_key", "stale_match", "cut_short")))
    build.add("core_cut", draw.uniform(15.0, 28.0), count=1, for_s=draw.uniform(3.0, 6.0), how="leader race")
    build.add("scale_in", draw.uniform(10.0, 32.0), share=0.1)
    build.close_anyhow()


def second_loss_after_repair(build: DayBuilder) -> None:
    """A second machine or disk is lost right after another was repaired or replaced."""
    draw = build.draw
    build.day.length_s = 58.0
    build.changes(1.5, 6.0, 3)
    at = draw.uniform(FIRST_FAULT_S, 10.0)
    for _ in range(3):
        _lose_one(build, at)
        build.changes(at, at + 12.0, draw.randint(4, 8))
        second = at + draw.uniform(4.0, 9.0)
        _lose_one(build, second)
        if draw.random() < 0.4:
            build.add("seed_turnover", second)
        if draw.random() < 0.4:
            build.add("scale_in", second, share=0.07)
        at = second + draw.uniform(5.0, 9.0)
    build.add("roll_term", draw.uniform(12.0, 30.0), share=0.25, x=1.0, gap_s=1.0, how=draw.choice(("remove", "busy")))
    if draw.random() < 0.5:
        build.add("herd_kill", at, on="core", share=1.0, for_s=draw.uniform(0.5, 2.0), how=draw.choice(("power", "taken", "")))
    build.close_anyhow()


def _lose_one(build: DayBuilder, at: float) -> None:
    """Adds the loss of one core machine, of its disk, or its replacement."""
    draw = build.draw
    loss = draw.choice(("replace", "planned", "wipe", "wipe", "power", "kill"))
    if loss == "replace":
        build.add("replace_core", at, x=draw.uniform(0.5, 3.0))
    elif loss == "planned":
        build.add("replace_core", at, x=draw.uniform(0.5, 3.0), how="planned")
    elif loss == "wipe":
        build.add("after_ack_wipe", at, for_s=draw.uniform(1.0, 4.0), how=draw.choice(("", "timed", "timed")))
    elif loss == "power":
        build.add("node_kill", at, on="core", count=1, for_s=draw.uniform(1.0, 5.0), how="power leader")
    else:
        build.add("node_kill", at, on="core", count=1, for_s=draw.uniform(0.5, 3.0), how=draw.choice(("leader race drain", "meet drain", "hard")))


LONG_CLOSINGS = tuple((kind, how) for kind in ("power_off_all", "wipe_after_ack", "kill_all") for how in ("", "timed", "taken"))


def long_with_many_changes(build: DayBuilder) -> None:
    """Hundreds of changes while core machines go away for long and return; closing faults go by turns with the seed."""
    draw = build.draw
    changes = draw.randint(200, 400)
    build.day.length_s = round(20.0 + changes * 0.25, 1)
    build.changes(2.0, build.day.length_s - 8.0, changes)
    at = draw.uniform(FIRST_FAULT_S, 12.0)
    while at < build.day.length_s - 20.0:
        away_s = _long_absence(build, at)
        if draw.random() < 0.3:
            build.add("disk_slow", at + 1.0, count=1, x=draw.uniform(5.0, 30.0), for_s=draw.uniform(3.0, 8.0))
        at += away_s + draw.uniform(1.0, 8.0)
    for _ in range(3):
        build.add("config_race", draw.uniform(10.0, build.day.length_s - 12.0), count=3, gap_s=0.7)
    build.add("bad_config", draw.uniform(10.0, build.day.length_s - 12.0), count=3, gap_s=0.7, how="old_version")
    build.add("release", draw.uniform(10.0, build.day.length_s - 30.0), share=0.3, x=1.0, gap_s=1.0)
    kind, how = LONG_CLOSINGS[build.day.seed % len(LONG_CLOSINGS)]
    build.close(kind, how)


def _long_absence(build: DayBuilder, at: float) -> float:
    """Takes a core machine or its disk away; returns for how long."""
    draw = build.draw
    away_s = draw.uniform(8.0, 25.0)
    trouble = draw.choice(("power", "power", "disk_stall", "disk_full", "herd_kill", "core_cut", "after_ack_wipe"))
    who = draw.choice(("leader", ""))
    if trouble == "power":
        build.add("node_kill", at, on="core", count=1, for_s=away_s, how=f"power {who} meet".replace("  ", " "))
    elif trouble == "herd_kill":
        away_s = draw.uniform(0.5, 2.0)
        build.add("herd_kill", at, on="core", share=1.0, for_s=away_s, how=draw.choice(("power", "taken", "")))
    elif trouble == "core_cut":
        build.add("core_cut", at, count=1, for_s=away_s, how=f"{who} race".strip())
    elif trouble == "after_ack_wipe":
        build.add("after_ack_wipe", at, for_s=away_s, how=draw.choice(("", "timed", "timed")))
    else:
        away_s /= 2
        build.add(trouble, at, count=1, for_s=away_s, how=who)
    return away_s


def bad_answers_and_connections(build: DayBuilder) -> None:
    """Garbled and second answers, resets, lost answers, dark backends and cuts, with core trouble beside them."""
    draw = build.draw
    build.day.length_s = 40.0
    build.changes(1.5, 6.0, 2)
    for start in (8.0, 17.0, 26.0):
        together = start + draw.uniform(0.0, 2.0)
        build.add("garble", together, share=draw.uniform(0.3, 0.7), x=draw.uniform(0.01, 0.04), for_s=draw.uniform(3.0, 7.0),
                  how=draw.choice(("", "extra", "extra late")))
        build.add("answer_lost", together, share=draw.uniform(0.3, 0.6), x=draw.uniform(0.01, 0.05), for_s=draw.uniform(3.0, 6.0),
                  how=draw.choice(("", "reset")))
        build.add("reset_conns", start + draw.uniform(0.0, 5.0), share=draw.uniform(0.1, 0.4), x=draw.uniform(0.3, 0.7))
        build.add("srv_crash", start + draw.uniform(0.0, 5.0), share=draw.uniform(0.08, 0.15), for_s=draw.uniform(3.0, 6.0),
                  how=draw.choice(("dark", "dark gone")))
        build.add("idle_race", together, share=draw.uniform(0.3, 0.6), x=draw.uniform(150.0, 400.0), for_s=5.0)
        build.changes(start, start + 8.0, 3)
    build.add("node_cut", draw.uniform(10.0, 28.0), share=draw.uniform(0.1, 0.25), for_s=draw.uniform(3.0, 7.0), how="servers")
    build.add("reset_conns", draw.uniform(10.0, 28.0), on="core", count=1, x=draw.uniform(0.5, 1.0))
    build.add("core_cut", draw.uniform(10.0, 28.0), count=1, for_s=draw.uniform(3.0, 8.0), how=draw.choice(("leader race", "one_way leader", "reset meet")))
    build.add("scale_in", draw.uniform(8.0, 30.0), share=0.1)
    build.close_anyhow()


def disks_and_power(build: DayBuilder) -> None:
    """Disks are lost at an acknowledgement while every other machine loses power, counted or not; at the end once more."""
    draw = build.draw
    build.day.length_s = 34.0
    build.changes(1.5, 8.0, 4)
    wiped_at = draw.uniform(FIRST_FAULT_S, 10.0)
    build.add("after_ack_wipe", wiped_at, for_s=draw.uniform(0.5, 2.0), how=draw.choice(("", "timed", "oldest")))
    build.changes(wiped_at, wiped_at + 8.0, draw.randint(3, 6))
    build.add("herd_kill", wiped_at + draw.uniform(8.0, 11.0), on="core", share=1.0, for_s=draw.uniform(0.5, 2.0),
              how=draw.choice(("taken all", "taken", "off")))
    build.changes(wiped_at + 12.0, build.day.length_s - 4.0, draw.randint(3, 6))
    build.close("wipe_after_ack", draw.choice(("", "timed", "taken")))


POINTS: dict[str, Callable[[DayBuilder], None]] = {
    "cut-off": cut_off_while_changing,
    "two-operators": two_operators,
    "second-loss": second_loss_after_repair,
    "long": long_with_many_changes,
    "answers": bad_answers_and_connections,
    "disks-and-power": disks_and_power,
}


def generate(point: str, seed: int, deployment: Deployment, table: KindTable, load: float = 1.0) -> Day:
    """Draws the day of a point and seed; `load` is the share of the deployment's usual traffic."""
    draw = random.Random(f"{point} {seed}")
    day = Day(name=f"{point}-{seed}", seed=1000 * seed + 7 + list(POINTS).index(point), length_s=40.0, closing={})
    POINTS[point](DayBuilder(table, deployment.contracts, draw, day))
    if load != 1.0:
        day.traffic = scaled(deployment.traffic, load)
    day.entries.sort(key=lambda entry: entry.at)
    return day


def _value_text(value: TomlValue) -> str:
    if isinstance(value, dict):
        return _table_text(value)
    return f'"{value}"' if isinstance(value, str) else str(value)


def _table_text(fields: dict[str, TomlValue]) -> str:
    return "{ " + ", ".join(f"{name} = {_value_text(value)}" for name, value in fields.items()) + " }"


def to_toml(day: Day, table: KindTable) -> str:
    """The text of a day file."""
    lines = [f'name = "{day.name}"', 'slot = "trouble"', f"seed = {day.seed}", f"length_s = {day.length_s}"]
    lines.append(f"closing = {_table_text(day.closing)}")
    for list_name in ("plan", "faults"):
        lines.append(f"{list_name} = [")
        for entry in day.entries:
            if table.kinds[entry.kind].list_name == list_name:
                lines.append(f"  {_table_text({'at': entry.at, 'kind': entry.kind, **entry.fields})},")
        lines.append("]")
    if day.traffic:
        lines.append("traffic = [")
        lines.extend(f"  {_table_text(part)}," for part in day.traffic)
        lines.append("]")
    return "\n".join(lines) + "\n"


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path, help="site file whose contracts are in force")
    parser.add_argument("point", choices=POINTS)
    parser.add_argument("seed", type=int)
    parser.add_argument("--load", type=float, default=1.0, help="share of the deployment's usual traffic")
    parser.add_argument("--out", type=Path, help="file to write; standard output if left out")
    options = parser.parse_args(arguments)
    table = load_kinds()
    deployment = load_deployment(options.site)
    text = to_toml(generate(options.point, options.seed, deployment, table, options.load), table)
    if options.out is None:
        sys.stdout.write(text)
        return 0
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
