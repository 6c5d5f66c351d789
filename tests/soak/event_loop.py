"""How long the event loop of the soak test is held by its own work: meanwhile it reads no answer and notices no end of a process."""
import asyncio
import time

CHECK_INTERVAL_S = 0.05


class LoopDelay:
    """Wakes at set times, and remembers the most that one wake-up was late."""

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        while True:
            due = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due)
