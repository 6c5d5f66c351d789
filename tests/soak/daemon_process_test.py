#!/usr/bin/env python3
"""What the soak test says of a daemon's end after SIGTERM, also while its own event loop is held."""
import asyncio
import collections
import pathlib
import stat
import tempfile
import time
import unittest
from unittest import mock

import daemon_process

SHORT_GRACE_S = 1.0
DAEMON = """#!/usr/bin/env python3
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep({stays_s}), sys.exit(0)))
print("started", file=sys.stderr, flush=True)
while True:
    signal.pause()
"""


class FakeSite:
    """Stands in for a soak: one program, and what is said of it."""

    def __init__(self, folder, stays_s):
        self.folder, self.build = folder, folder
        self.faults, self.count = [], collections.Counter()
        program = folder / "system" / "daemon"
        program.parent.mkdir()
        program.write_text(DAEMON.format(stays_s=stays_s))
        program.chmod(stat.S_IRWXU)

    def broken(self, what):
        self.faults.append(what)


async def stop_daemon(site, loop_held_s, frozen_s):
    daemon = daemon_process.DaemonProcess(site, "daemon", "edge-0", {})
    run = asyncio.create_task(daemon.run())
    while not daemon.log.exists() or "started" not in daemon.log.read_text():
        await asyncio.sleep(0.01)
    daemon.wanted = False
    stop = asyncio.create_task(daemon.stop())
    await asyncio.sleep(0.1)
    freeze = asyncio.create_task(daemon.freeze(frozen_s)) if frozen_s > 0 else None
    time.sleep(loop_held_s)
    await stop
    if freeze:
        await freeze
    await run


def faults_of(stays_s, loop_held_s, frozen_s=0):
    with tempfile.TemporaryDirectory() as folder, mock.patch.object(daemon_process, "GRACE_S", SHORT_GRACE_S):
        site = FakeSite(pathlib.Path(folder), stays_s)
        asyncio.run(stop_daemon(site, loop_held_s, frozen_s))
        return site.faults


class StopTest(unittest.TestCase):
    def test_end_in_time_is_no_fault_where_the_event_loop_is_held(self):
        """Guards against: a gateway that had ended was taken for one that runs on, as the soak's own starts held its event loop."""
        self.assertEqual(faults_of(stays_s=0.2, loop_held_s=2 * SHORT_GRACE_S), [])

    def test_process_that_stays_is_found(self):
        """Guards against: a daemon that runs on past its grace goes unseen."""
        self.assertRegex("".join(faults_of(stays_s=3 * SHORT_GRACE_S, loop_held_s=0)), "^edge-0 daemon runs 1.* s after SIGTERM")

    def test_process_that_stays_is_found_while_the_event_loop_is_held(self):
        """Guards against: a daemon that ends after its grace passes for one in time, as the loop learns of both together."""
        self.assertRegex("".join(faults_of(stays_s=1.5 * SHORT_GRACE_S, loop_held_s=3 * SHORT_GRACE_S)), "^edge-0 daemon ended 1.5. s after SIGTERM")

    def test_process_that_the_soak_holds_stopped_is_no_fault(self):
        """Guards against: seed 403, where a freeze of 2 s began 4.3 s after SIGTERM, and the gateway was said to run on."""
        self.assertEqual(faults_of(stays_s=0.2, loop_held_s=0, frozen_s=1.5 * SHORT_GRACE_S), [])

    def test_process_that_stays_after_a_freeze_is_found(self):
        """Guards against: any freeze excuses a daemon that runs on."""
        self.assertRegex("".join(faults_of(stays_s=3 * SHORT_GRACE_S, loop_held_s=0, frozen_s=0.5 * SHORT_GRACE_S)), "runs 1.* s after SIGTERM")

    def test_end_in_time_is_no_fault(self):
        self.assertEqual(faults_of(stays_s=0.2, loop_held_s=0), [])


if __name__ == "__main__":
    unittest.main()
