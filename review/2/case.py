"""New backends register while two cores of three are down, and are rolled back: they deregister and are acknowledged, but the proxies keep them."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import *

HERE = pathlib.Path(__file__).resolve().parent
DRAIN_S, CONTACT_S = BOUNDS["drain_ms"] / 1000, BOUNDS["contact_ms"] / 1000
DOWN_S = 2.0  # herd_kill: for_s 2
OLD, NEW, STEP_S = 4, 12, 0.05
START_S, ROLLBACK_S, SERVES_ON_S = 0.05, 1.25, 25.0
REQUESTS_PER_S, WATCHED_S, RECOVERY_S = 60.0, 22.0, 15.0


class Leaver(Backend):
    """A backend that never says draining: it deregisters first, serves on for drain_ms and many seconds, and ends."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.leaving, self.acknowledged_at = False, None

    async def call(self, call, body):
        """One call: the next core after a failure, a 5xx or a second of silence, with a pause that grows. Each call has a number of its own."""
        cores, pause = random.sample(self.rig.control, 3), 0.02
        for n in range(60):
            core = cores[n % 3]
            report = body()
            try:
                status, _ = await self.rig.call(core, f"{call}&of={self.name}", report, 1.0)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                status = type(error).__name__
            self.rig.note(f"{self.name} {call} {report.get('call_sequence', '')} at {core}: {status}")
            if status == 200:
                return True
            if n % 3 == 2:
                await asyncio.sleep(pause)
                pause = min(2 * pause, 0.5)
            if call == "backends.heartbeat" and (self.leaving or n >= 5):
                return False
        return False

    async def beat(self):
        while not self.leaving:
            await self.call("backends.heartbeat", self.report)
            for _ in range(15):
                if not self.leaving:
                    await asyncio.sleep(0.1 * random.uniform(0.9, 1.1))
        if await self.call("backends.deregister", dict):
            self.acknowledged_at = self.rig.now()
            await asyncio.sleep(SERVES_ON_S)
            self.server.close()


async def play(trouble):
    rig = Rig(proxies=2, record=HERE / "record.txt")
    sent, answers = 0, {}

    async def request(proxy, attempt):
        try:
            status, _, _ = await exchange(proxy.ip, FRONT, (f"POST /drawdown/a HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\nDeadline-Remaining: 1200\r\n"
                                                            "Connection: close\r\nContent-Length: 0\r\n\r\n").encode(), 2)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        answers[status] = answers.get(status, 0) + 1

    async def traffic():
        nonlocal sent
        while not rig.over:
            sent += 1
            rig.spawn(request(rig.proxies[sent % 2], f"{sent:016x}"))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    arrived = {}

    async def handler(backend, writer, attempt, method, path, body):
        arrived.setdefault(backend.name, []).append(rig.now())
        await asyncio.sleep(0.08)
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok".encode())
        return True

    try:
        await rig.start([Backend(rig, n, "drawdown-svc", slots=2, handler=handler) for n in range(OLD)])
        status, _ = await rig.configure({"service_table": [service("drawdown-svc")], "route_table": [route("drawdown", "drawdown-svc", "non_idempotent", timeout_ms=1200)],
                                         "limits": dict(LIMITS)})
        if status != 200:
            raise CouldNotRun(f"the first configuration got {status}")
        await rig.all_ready()
        await asyncio.sleep(4)
        rig.spawn(traffic())
        down = [process for process in rig.cores if process.ip in rig.control[1:]]
        if trouble:
            rig.note("two cores are killed")
            for process in down:
                process.held = True
                process.send(signal.SIGKILL)
        killed_at = rig.now()
        await asyncio.sleep(START_S)
        leavers = [Leaver(rig, n + OLD, "drawdown-svc", slots=2, handler=handler) for n in range(NEW)]
        for leaver in leavers:
            await leaver.start()
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(ROLLBACK_S)
        rig.note("the release is rolled back: its backends leave")
        for leaver in leavers:
            leaver.leaving = True
        await asyncio.sleep(max(0, killed_at + DOWN_S - rig.now()))
        if trouble:
            rig.note("the two cores are started again")
            for process in down:
                process.held = False
        back_at = rig.now()
        settled_at = back_at + CONTACT_S + 0.3
        await asyncio.sleep(WATCHED_S)
        late = {leaver.name: [at for at in arrived.get(leaver.name, []) if leaver.acknowledged_at and at > max(leaver.acknowledged_at + DRAIN_S, settled_at)
                              and at < leaver.acknowledged_at + SERVES_ON_S] for leaver in leavers}
        for leaver in leavers:
            rig.note(f"{leaver.name}: deregistration acknowledged at {leaver.acknowledged_at}, requests that reached it later than drain_ms after that, sent by "
                     f"machines in touch (from {settled_at:.2f} s on): {len(late[leaver.name])}")
        very_late = sum(at > back_at + RECOVERY_S for times in late.values() for at in times)
        rig.note(f"of these, {very_late} later than recovery_s after all cores were back; answers {answers}")
    finally:
        await rig.end()
    if not all(leaver.acknowledged_at for leaver in leavers):
        raise CouldNotRun("a deregistration was not acknowledged")
    print(f"requests that came late, by backend: {[len(times) for times in late.values()]}, {very_late} of them over 15 s after all cores were back; answers {answers}")
    if any(late.values()):
        return [f"DRAIN: {sum(map(len, late.values()))} requests reached {sum(map(bool, late.values()))} backends later than drain_ms after their deregistration was acknowledged"]
    return []


run_case(play)
