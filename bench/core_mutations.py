#!/usr/bin/env python3
"""Mutation testing of the core: changes one line at a time in a copy of the sources and reports which tests fail: the
core's own, random events, or the scenarios in virtual time. Usage: bench/core_mutations.py [--jobs N]"""
import argparse
import os
import pathlib
import shutil
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
CORE, BACKENDS, COUNTER_CALLS, REQUESTS = (f"src/core/{n}" for n in
                                ("gateway_core.cpp", "backend_table.cpp", "counter_call_table.h", "request_table.h"))
MUTATIONS = [
    ("request deadline ignored", CORE,
     "case TimerKind::kRequestDeadline: OnRequestDeadline(now, static_cast<uint32_t>(timer.id), out); break;",
     "case TimerKind::kRequestDeadline: break;"),
    ("answered twice", CORE, "if (!requests_.MarkAnswered(request)) return;",
     "if (requests_.Find(request) == nullptr) return; requests_.MarkAnswered(request);"),
    ("grace period ignored", BACKENDS, "!(it->second.draining && now >= it->second.no_send_after)", "true"),
    ("cancelled counted as never sent", CORE, "*ran ? Result::kCancelled : Result::kNeverSent", "Result::kNeverSent"),
    ("attempt left in flight", CORE, "  attempt.in_flight = false;\n", ""),
    ("idle connection to the old address used", BACKENDS,
     "  for (uint64_t connection : idle) Discard(connection, out);\n}\n\nvoid BackendTable::StartDrain", "}\n\nvoid BackendTable::StartDrain"),
    ("idle connection of a draining backend used", BACKENDS,
     "  std::vector<uint64_t> idle = b->idle;\n  for (uint64_t connection : idle) Discard(connection, out);\n}\n\nvoid BackendTable::Remove",
     "}\n\nvoid BackendTable::Remove"),
    ("two attempts at once", CORE, "(has_attempt_in_flight && !settings_.policy.parallel_tries) ||", ""),
    ("late connection written to", BACKENDS, "if (expired) return EndExchange(", "if (false) return EndExchange("),
    ("a time-out cannot have run", REQUESTS, "return result != micadock::Result::kFull &&",
     "return result != micadock::Result::kTimeout && result != micadock::Result::kFull &&"),
    ("a written call reported as not added", COUNTER_CALLS, "it->second.written ? micadock::Result::kTimeout :", "false ? micadock::Result::kTimeout :"),
    ("cap on connections ignored", BACKENDS, "if (connections_.size() < limits_.max_connections) return true;", "return true;"),
    ("sent after the answer", CORE, "(state->answered || state->body_discarded))\n    return OnConnectionLost(now, connection, out);\n  OnExchangeEnd(now, backends_.OnConnectionOpened",
     "state->body_discarded)\n    return OnConnectionLost(now, connection, out);\n  OnExchangeEnd(now, backends_.OnConnectionOpened"),
    ("attempt timeout never set", BACKENDS, "  timers->Add(exchange.deadline, TimerKind::kAttemptTimeout, exchange.number);\n", ""),
]
SUITES = [("own", "core_tests", "Core.*"), ("any order", "core_tests", "AnyOrder.*"),
          ("any order, real balancer", "core_module_tests", "*"),
          ("virtual time", "rehearsal_tests", "VirtualRun*:Shipped*:QuotaFaults.*")]


def play(mutations, suites, about):
    """Applies each mutation by itself and prints which of the suites notice it."""
    parser = argparse.ArgumentParser(description=about, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", default=str(os.cpu_count()))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder)
        for part in ("src", "apps", "tests", "examples", "bench", "scenarios", "CMakeLists.txt"):
            (shutil.copytree if (ROOT / part).is_dir() else shutil.copy)(ROOT / part, tree / part)
        quiet = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
        subprocess.run(["cmake", "-S", folder, "-B", f"{folder}/b", "-DIVYGW_TESTS=ON"], check=True, **quiet)

        def build():
            return subprocess.run(["cmake", "--build", f"{folder}/b", "-j", options.jobs, "--target",
                                   *dict.fromkeys(s[1] for s in suites)], **quiet).returncode == 0

        def failed(suite):
            _, program, only = suite
            try:
                return subprocess.run([f"{folder}/b/tests/{program}", f"--gtest_filter={only}"], timeout=120,
                                      **quiet).returncode != 0
            except subprocess.TimeoutExpired:
                return True

        if not build() or any(failed(s) for s in suites):
            raise SystemExit("the sources as they are do not pass")
        print(f"{'one line changed':45}" + "".join(f" {s[0]:>23}" for s in suites), flush=True)
        for name, path, before, after in mutations:
            file = tree / path
            text = file.read_text()
            if text.count(before) != 1:
                raise SystemExit(f"{name}: the line is not there once in {path}")
            file.write_text(text.replace(before, after))
            row = [("seen" if failed(s) else "-") for s in suites] if build() else ["does not build"] * len(suites)
            file.write_text(text)
            print(f"{name:45}" + "".join(f" {r:>23}" for r in row), flush=True)


if __name__ == "__main__":
    play(MUTATIONS, SUITES, __doc__)
