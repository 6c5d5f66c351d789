"""A daemon of the soak test: started again whenever it ends, signalled, frozen, and its log read."""
import asyncio
import json
import os
import pathlib
import shutil
import signal
import threading
import time

GRACE_S = 6  # between SIGTERM and SIGKILL
RELOAD_S = 2.5  # from SIGHUP to the line that tells of it: the operators' config_apply_ms
RELOAD_POLL_S = 0.1
LOG_RESOLUTION_S = 0.002
EXIT_TOLD_S = 1.0  # from a child's end until the thread that waits for it has told the time
ENDED_STATES = ("Z", "X", "gone")
STOPPED_STATE = "T"


class ExitClock:
    """When a child ended, taken by a thread of its own: the event loop may be held by other work at that moment."""

    def __init__(self, pid):
        self.pid, self.exited_at = pid, None
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        try:
            os.waitid(os.P_PID, self.pid, os.WEXITED | os.WNOWAIT)
        except ChildProcessError:
            pass  # reaped a moment ago
        self.exited_at = time.monotonic()

    async def read(self):
        """The time of the end, or None if the child still runs."""
        if state_of(self.pid) in ENDED_STATES:
            await asyncio.to_thread(self.thread.join, EXIT_TOLD_S)
        return self.exited_at



def block_reloads():
    """SIGHUP is blocked in this process, and in each daemon that it starts until that takes signals. A function between fork and exec
    would do the same, but copies this process's page tables at each start, which holds its event loop for 40 ms and more."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


class DaemonProcess:
    """One daemon of the system, started again whenever it ends, as the platform does; with SIGHUP blocked until it takes it
    (block_reloads), as docs/operate/system.md asks for. sighup_while_loading.py starts it without."""

    def __init__(self, site, program, machine, settings):
        self.site, self.program, self.machine, self.settings = site, program, machine, settings
        self.child = None
        self.exit_clock = None  # of the child
        self.wanted = True
        self.term_at = None  # of the last SIGTERM
        self.unplanned_at = None  # of the last trouble that isn't planned work
        self.ended_by_us = False
        self.log = site.folder / f"{machine}-{program}.log"
        self.disk_lost = False  # to be emptied before the next start
        self.disks_lost = 0
        self.joins_after = 0  # offset in its log: a member again once that is told later
        self.disk_away = False
        self.frozen = 0  # freezes that are under way; they overlap

    async def run(self):
        while self.wanted:
            path = self.site.folder / f"{self.machine}-{self.program}.json"
            path.write_text(json.dumps(self.settings))
            if self.disk_lost:
                shutil.rmtree(self.store())
                self.disk_lost = False
            with open(self.log, "ab") as log:
                self.child = await asyncio.create_subprocess_exec(self.site.build / "system" / self.program, "--config", str(path), stderr=log)
                self.exit_clock = ExitClock(self.child.pid)
                self.ended_by_us = False
                status = await self.child.wait()
            if not self.ended_by_us:
                self.site.broken(f"{self.machine} {self.program} ended by itself with {status}")
                await asyncio.sleep(1)
            self.settings["initial_boot"] = False
            await asyncio.sleep(0.1)

    def send(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def reload(self):
        """SIGHUP: the settings are read again in time, whatever else happens to the process, unless it ends. Time in which it is frozen
        doesn't count."""
        child, sent_at, left_s = self.child, time.time(), RELOAD_S
        self.send(signal.SIGHUP)
        while child is not None and child.returncode is None and not self.has_reloaded_since(sent_at):
            if left_s <= 0:
                return self.site.broken(f"RELOAD: {self.machine} {self.program} has not read its settings {RELOAD_S} s after SIGHUP")
            await asyncio.sleep(RELOAD_POLL_S)
            left_s -= 0 if self.frozen else RELOAD_POLL_S
        self.site.count["SIGHUPs obeyed" if child is not None and child.returncode is None else "SIGHUPs to what ended"] += 1

    def has_reloaded_since(self, at):
        lines = events_in(self.log.read_text())
        return any(line["event"] == "settings_read" and line["at"] >= at - LOG_RESOLUTION_S for line in lines)

    # Of a core.

    def store(self):
        return pathlib.Path(self.settings["data_directory"]) / ("registry" if self.program == "ivygw-registry" else "config_store")

    def lose_disk(self):
        self.disk_lost, self.disks_lost, self.joins_after = True, self.disks_lost + 1, self.log.stat().st_size
        self.kill()

    def is_member(self):
        """Not waiting to join since its disk was lost."""
        if self.disks_lost == 0:
            return True
        text = self.log.read_bytes()[self.joins_after:].decode()
        return any(line["event"] == "epoch" and line["member"] == 1 for line in events_in(text))

    async def take_disk_away(self, seconds):
        """The process starts while its store can't be opened, and the disk is back later."""
        store, away = self.store(), self.store().with_suffix(".away")
        self.disk_away = True
        self.kill()
        await self.child.wait()
        store.rename(away)
        store.write_text("")
        await asyncio.sleep(seconds)
        store.unlink()
        away.rename(store)
        self.disk_away = False

    def check_stores(self):
        """No store is put aside or made anew but where its disk was lost."""
        lines = list(events_in(self.log.read_text()))
        made = sum(1 for line in lines if line["event"] == "loaded" and line["created"] == 1)
        if any(line["event"] == "store_put_aside" for line in lines) or made > 1 + self.disks_lost:
            self.site.broken(f"STORE: {self.machine} {self.program} made {made} stores, and lost {self.disks_lost} disks")

    async def stop(self):
        """SIGTERM, and SIGKILL once the grace is over. What counts is when the process ended, not when the event loop learns of it."""
        term_at, child, exit_clock = time.monotonic(), self.child, self.exit_clock
        self.term_at, self.ended_by_us = term_at, True
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
            noticed_late = False
        except asyncio.TimeoutError:
            noticed_late = True
        exited_at = await exit_clock.read()
        if exited_at is None and self.is_held_stopped(child.pid):
            self.site.count["killed while frozen"] += 1
            child.kill()
        elif exited_at is None:
            self.site.broken(f"{self.machine} {self.program} runs {time.monotonic() - term_at:.2f} s after SIGTERM, state {state_of(child.pid)}")
            if child.returncode is None:
                child.kill()
        elif exited_at - term_at > GRACE_S:
            self.site.broken(f"{self.machine} {self.program} ended {exited_at - term_at:.2f} s after SIGTERM")
        elif noticed_late:
            self.site.count["ends noticed late"] += 1

    def is_held_stopped(self, pid):
        """By a freeze of the soak itself, in which no process can end."""
        return self.frozen > 0 and state_of(pid) == STOPPED_STATE

    def kill(self):
        self.unplanned_at, self.ended_by_us = time.monotonic(), True
        self.send(signal.SIGKILL)

    async def freeze(self, seconds):
        self.unplanned_at = time.monotonic()
        self.frozen += 1
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.unplanned_at = time.monotonic()
        self.frozen -= 1
        self.send(signal.SIGCONT)


def state_of(pid):
    """The kernel's letter for a process's state; "gone" where it has none."""
    try:
        return pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return "gone"


def events_in(log_text):
    for line in log_text.splitlines():
        begin = line.find("{")
        try:
            yield json.loads(line[begin:])
        except ValueError:
            continue  # cut off by a kill
