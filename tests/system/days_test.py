"""Tests of the generator of days for the system bench; they need neither the bench nor its site files."""

import sys
import tomllib
import unittest
from pathlib import Path

SCRIPTS = Path(__file__).resolve().parents[2] / "scenarios" / "system"
sys.dont_write_bytecode = True
sys.path.insert(0, str(SCRIPTS))

import generate  # noqa: E402  (found by the path above)

TRAFFIC = [{"zone": "north", "mix": {"read": 4.4}, "per_s": 70.0, "clients": 35, "shape": {"kind": "wave", "swing": 0.1}}]
DEPLOYMENT = generate.Deployment(frozenset({"tenants", "pool"}), TRAFFIC)
SEEDS = range(1, 21)
LONG_DAY_CHANGES = range(200, 401)


def day_text(point: str, seed: int, deployment: generate.Deployment = DEPLOYMENT, load: float = 1.0) -> str:
    table = generate.load_kinds()
    return generate.to_toml(generate.generate(point, seed, deployment, table, load), table)


class GeneratedDays(unittest.TestCase):
    def test_same_seed_gives_same_text_and_another_seed_another(self) -> None:
        for point in generate.POINTS:
            self.assertEqual(day_text(point, 3), day_text(point, 3))
            self.assertNotEqual(day_text(point, 3), day_text(point, 4))

    def test_every_entry_is_within_the_table_and_the_day(self) -> None:
        table = generate.load_kinds()
        for point in generate.POINTS:
            for seed in SEEDS:
                day = tomllib.loads(day_text(point, seed))
                self.assertIn(day["closing"]["kind"], table.closing_kinds)
                for list_name in ("plan", "faults"):
                    for row in day[list_name]:
                        fields = {name: value for name, value in row.items() if name not in ("at", "kind")}
                        generate.check(generate.Entry(row["at"], row["kind"], fields), table)
                        self.assertEqual(table.kinds[row["kind"]].list_name, list_name)
                        self.assertTrue(0.0 < row["at"] < day["length_s"], f"{point} {seed}: {row}")

    def test_an_entry_outside_the_table_is_refused(self) -> None:
        table = generate.load_kinds()
        for kind, fields in (("meteor", {}), ("core_cut", {"share": 0.1}), ("core_cut", {"how": "leader sideways"})):
            with self.assertRaises(generate.UnknownTrouble):
                generate.check(generate.Entry(1.0, kind, fields), table)

    def test_kinds_of_contracts_not_in_force_are_left_out(self) -> None:
        self.assertIn("idle_race", day_text("answers", 1))
        self.assertNotIn("idle_race", day_text("answers", 1, generate.Deployment(frozenset({"tenants"}))))

    def test_load_scales_the_traffic_and_nothing_else(self) -> None:
        usual = tomllib.loads(day_text("cut-off", 1))
        lighter = tomllib.loads(day_text("cut-off", 1, load=0.2))
        self.assertNotIn("traffic", usual)
        self.assertEqual(lighter.pop("traffic"), [{**TRAFFIC[0], "per_s": 14.0, "clients": 7}])
        self.assertEqual(lighter, usual)

    def test_long_days_hold_hundreds_of_changes_and_every_closing_fault(self) -> None:
        closings = set()
        for seed in SEEDS:
            day = tomllib.loads(day_text("long", seed))
            changes = sum(row["kind"] == "config_change" for row in day["plan"])
            self.assertIn(changes, LONG_DAY_CHANGES)
            closings.add((day["closing"]["kind"], day["closing"].get("how", "")))
        self.assertEqual(closings, set(generate.LONG_CLOSINGS))


if __name__ == "__main__":
    unittest.main()
