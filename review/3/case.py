"""A hot tenant's uploads take a proxy over its memory, and with it goes the work of all others that the proxy holds."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import *

HERE = pathlib.Path(__file__).resolve().parent
MEMORY_MB = 260  # of an edge machine of kowhai-lend
UPLOAD_BYTES, UPLOAD_S = 14_000_000, 6.0  # max_body_bytes is 64 MiB; 2.3 MB a second
USUAL_PER_S, HOT_X, HOT_S = 2.0, 7.5, 6.5  # the largest dose of hot_tenant
LIMIT_PER_S = 3  # 1.6 x the usual, rounded down
CALM_S, DAY_S = 8.0, 26.0


def resident_mb(pid):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Case:
    def __init__(self, trouble):
        self.trouble, self.sent, self.over_memory, self.cut_while_run = trouble, 0, [], 0
        self.answers, self.peaks = {}, {}
        self.rig = Rig(proxies=2, memory_mb=MEMORY_MB, record=HERE / "record.txt")

    async def limit_memory(self):
        """The platform: a process dies when it goes over memory_mb, and is started again."""
        while True:
            for proxy in self.rig.proxies:
                if not proxy.running():
                    continue
                try:
                    used = resident_mb(proxy.child.pid)
                except OSError:
                    continue
                self.peaks[proxy.machine] = max(self.peaks.get(proxy.machine, 0), used)
                if used > MEMORY_MB:
                    self.over_memory.append(proxy.machine)
                    self.rig.note(f"{proxy.machine} ivygw-proxy is over its memory: {used:.0f} MB of {MEMORY_MB}; the platform ends it")
                    proxy.send(signal.SIGKILL)
            await asyncio.sleep(0.02)

    def attempt(self):
        self.sent += 1
        return f"{self.sent:016x}"

    async def request(self, path, key, size, seconds, deadline_ms):
        """One try, of a body that is sent evenly over `seconds`, to a proxy that is ready."""
        ready = [proxy for proxy in self.rig.proxies if proxy.running()]
        if not ready:
            return None
        proxy, attempt = ready[self.sent % len(ready)], self.attempt()
        status = "no connection"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(proxy.ip, FRONT), 1)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            status = "cut"
            writer.write((f"POST {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {attempt}\r\nCredential: {key}\r\n"
                          f"Deadline-Remaining: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n").encode())
            parts = max(1, int(seconds / 0.1))
            begun, sent = time.monotonic(), 0
            for n in range(parts):
                upto = size * (n + 1) // parts
                writer.write(b"x" * (upto - sent))
                sent = upto
                await writer.drain()
                await asyncio.sleep(max(0, begun + seconds * (n + 1) / parts - time.monotonic()))
            head, _ = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
            status = status_of(head)
        except (EOFError, ConnectionError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        kind = "upload" if size > 1_000_000 else "drawdown"
        self.answers[kind, status] = self.answers.get((kind, status), 0) + 1
        if status != 200:
            self.rig.note(f"client of {attempt} ({kind}, {proxy.machine}) gets {status}")
        if kind == "drawdown" and status == "cut" and any(attempt == ran[0] for b in self.rig.backends.values() for ran in b.ran):
            self.cut_while_run += 1
        return status

    async def uploads(self, per_s, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.rig.spawn(self.upload())
            await asyncio.sleep(1 / per_s)

    async def upload(self):
        # A try that was cut may be made once more: the route is idempotent, and a client of kowhai-lend repeats once.
        for _ in range(2):
            status = await self.request("/papers/a", "key-haulier", UPLOAD_BYTES, UPLOAD_S, 15000)
            if status not in (None, "cut"):
                return

    async def drawdowns(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.rig.spawn(self.request("/drawdown/a", "key-broker", 4000, 0, 1200))
            await asyncio.sleep(1 / 40)

    async def play(self):
        rig = self.rig
        try:
            await rig.start([Backend(rig, n, "papers-svc", work_s=0.12) for n in range(6)] + [Backend(rig, n + 6, "drawdown-svc", work_s=0.16) for n in range(6)])
            status, _ = await rig.configure({
                "service_table": [service("papers-svc"), service("drawdown-svc")],
                "route_table": [route("papers", "papers-svc", timeout_ms=15000, public_access=False),
                                route("drawdown", "drawdown-svc", "non_idempotent", timeout_ms=1200, public_access=False)],
                "tenant_table": [{"name": "haulier", "api_keys": ["key-haulier"], "priority": 0, "rate_per_s": LIMIT_PER_S, "burst_size": LIMIT_PER_S},
                                 {"name": "broker", "api_keys": ["key-broker"], "priority": 0, "rate_per_s": 0, "burst_size": 0}],
                "limits": dict(LIMITS)})
            if status != 200:
                raise CouldNotRun(f"the first configuration got {status}")
            await rig.all_ready()
            await asyncio.sleep(2)
            rig.spawn(self.limit_memory())
            rig.spawn(self.drawdowns(DAY_S))
            rig.spawn(self.uploads(USUAL_PER_S, DAY_S - UPLOAD_S))
            await asyncio.sleep(CALM_S)
            if self.trouble:
                rig.note(f"haulier sends {HOT_X} times its usual for {HOT_S} s")
                rig.spawn(self.uploads(USUAL_PER_S * (HOT_X - 1), HOT_S))
            await asyncio.sleep(DAY_S - CALM_S + 1)
            rig.note("answers: " + ", ".join(f"{kind} {status}: {n}" for (kind, status), n in sorted(self.answers.items(), key=str)))
            rig.note("most memory of a proxy: " + ", ".join(f"{machine} {mb:.0f} MB" for machine, mb in sorted(self.peaks.items())))
            rig.note(f"proxies that went over their memory: {self.over_memory}; drawdowns that a backend ran and whose connection then ended without an answer: {self.cut_while_run}")
            by_itself = [p.machine for p in rig.cores + rig.proxies for _ in p.ended_itself]
        finally:
            await rig.end()
        ends = self.over_memory + by_itself
        print(f"answers {self.answers}, peaks {self.peaks}")
        if len(ends) >= 3 and len(set(ends)) >= 2:
            return [f"Fault: processes ended by themselves {len(ends)} times ({', '.join(ends)}), memory over the limit; drawdowns run and cut: {self.cut_while_run}"]
        return []


async def play(trouble):
    return await Case(trouble).play()


run_case(play)
