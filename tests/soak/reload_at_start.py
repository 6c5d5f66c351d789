#!/usr/bin/env python3
"""A SIGHUP that comes while a program starts is obeyed, if whoever starts it blocks SIGHUP or waits for the ready notice.

    reload_at_start.py BUILD_DIR [--starts N]

What happens without: SIGHUP ends a process until it is blocked, and for 1 to 3 ms after exec the dynamic linker runs, before any of
the program's own code (bench/sighup_at_start.py tells how long). The mask and pending signals outlive exec, so a starter that blocks
SIGHUP closes that time and loses nothing; one that ignores it closes it too, and the signal is lost. What showed the cause: the share of
starts ended is that of the time until the block, for programs with no, a static, and a dynamic C library.

Starts each program N times from each kind of starter. Exits with 1 if a process was ended, or did not read its settings again.
"""
import argparse
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from sighup_while_loading import LATEST_S, SETTLED_S, settings

RELOAD_S = 2.5  # from SIGHUP to the line that tells of it: the operators' config_apply_ms
GRACE_S = 6
RELOADED = {"ivygw": "configuration read again"}  # else: a JSON line with the event settings_read
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def block():
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def block_all_with_one_pending():
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    os.kill(os.getpid(), signal.SIGHUP)


class Started:
    """A process with a settings file, a log and a service manager's socket of its own."""

    def __init__(self, folder, name, before_exec, command, content):
        self.name = name
        self.log = folder / f"{name}.log"
        self.manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.manager.settimeout(RELOAD_S)
        socket_path = folder / f"{name}.notify"
        socket_path.unlink(missing_ok=True)
        self.manager.bind(str(socket_path))
        file = folder / f"{name}.json"
        file.write_text(json.dumps(content))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([*command, "--config", file], stderr=log, preexec_fn=before_exec, env={"NOTIFY_SOCKET": str(socket_path)})
        self.begun = time.monotonic()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.manager.close()

    def send_after(self, seconds):
        while time.monotonic() - self.begun < seconds:
            pass
        self.process.send_signal(signal.SIGHUP)

    def told(self):
        """The next thing that the service manager is told, as a mapping; empty: nothing in time."""
        try:
            return dict(line.split("=", 1) for line in self.manager.recv(4096).decode().splitlines())
        except TimeoutError:
            return {}

    def reloads(self):
        return self.log.read_text().count(RELOADED.get(self.name, '"settings_read"'))

    def fault(self, reloads):
        """Why the process has not read its settings that often; empty: it has."""
        deadline = time.monotonic() + RELOAD_S
        while time.monotonic() < deadline and self.process.poll() is None and self.reloads() < reloads:
            time.sleep(0.01)
        if self.process.poll() is not None:
            return f"ended with {self.process.returncode}"
        return "" if self.reloads() >= reloads else f"settings read {self.reloads()} times in place of {reloads}"

    def fault_of_end(self, notices=()):
        """Why it doesn't end as SIGTERM asks for; empty: it does, and tells the service manager this much first."""
        self.process.send_signal(signal.SIGTERM)
        for notice in notices:
            told = self.told()
            if told != notice:
                return f"told {told} in place of {notice}"
        try:
            status = self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            return f"runs {GRACE_S} s after SIGTERM"
        return f"SIGTERM: ended with {status}" if status != 0 else ""


def blocked(start, draws):
    """SIGHUP at any time of the start, where the starter has blocked it."""
    with start(block) as started:
        started.send_after(draws.uniform(0, LATEST_S))
        return started.fault(reloads=1)


def pending(start, _):
    """SIGHUP before exec, from a starter that has blocked all signals that the programs handle."""
    with start(block_all_with_one_pending) as started:
        return started.fault(reloads=1) or started.fault_of_end()


def ignored(start, draws):
    """As nohup starts it: a SIGHUP of the start may be lost, a later one is obeyed."""
    with start(lambda: signal.signal(signal.SIGHUP, signal.SIG_IGN)) as started:
        started.send_after(draws.uniform(0, LATEST_S))
        if started.told() != {"READY": "1"}:
            return "no ready notice"
        time.sleep(SETTLED_S)
        before = started.reloads()
        started.process.send_signal(signal.SIGHUP)
        return started.fault(reloads=before + 1)


def ready(start, _):
    """A plain starter that sends SIGHUP right after the ready notice, and SIGTERM after the reload."""
    with start(None) as started:
        if started.told() != {"READY": "1"}:
            return "no ready notice"
        started.process.send_signal(signal.SIGHUP)
        reloading, again = started.told(), started.told()
        if reloading.get("RELOADING") != "1" or not 0 <= time.monotonic() - int(reloading.get("MONOTONIC_USEC", "0")) / 1e6 <= 2 * RELOAD_S:
            return f"told {reloading} in place of a reload"
        if again != {"READY": "1"}:
            return f"told {again} after a reload"
        return started.fault(reloads=1) or started.fault_of_end(notices=[{"STOPPING": "1"}])


def settings_of(name, folder):
    if name == "ivygw":
        return dict(json.loads((ROOT / "examples" / "config.json").read_text()), listen="127.0.0.1:0", discovery="127.17.0.1:1", counter="127.17.0.1:2")
    if name == "ivygw-proxy":
        return settings("127.17")
    data = folder / f"{name}.data"
    data.mkdir(exist_ok=True)
    addresses = {"control_plane": "127.17.1.1:7000"} if name == "ivygw-registry" else {}
    return dict(settings("127.17"), machine_class="core", ip_address="127.17.1.1", data_directory=str(data), listen_addresses=addresses)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--starts", type=int, default=10)
    options = parser.parse_args()
    build, draws, faults = options.build.resolve(), random.Random(1), 0
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        for program in (build / "ivygw", *(build / "system" / name for name in ("ivygw-proxy", "ivygw-registry", "ivygw-config-store"))):
            content = settings_of(program.name, folder)
            for case in (blocked, pending, ignored, ready):
                found = [case(lambda before: Started(folder, program.name, before, [program], content), draws) for _ in range(options.starts)]
                bad = [fault for fault in found if fault]
                faults += len(bad)
                print(f"{program.name}, {case.__name__}: {len(bad)} of {options.starts} failed" + (f": {bad[0]}" if bad else ""), flush=True)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
