"""The callers of the soak test: backends that send heartbeats and remember what they have run, clients that use an open connection until it ends."""
import asyncio
import random
import time

SLOTS = 40
ROUTES = {"read": "idempotent", "pay": "non_idempotent"}


class Backend:
    """Answers requests after a while, and remembers which it has run."""

    def __init__(self, site, number):
        self.site, self.name, self.service = site, f"i-{number}", "reader" if number % 2 == 0 else "payer"
        self.address = f"{site.net}.9.{number + 1}:8000"
        self.sequence = 0

    async def run(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))
        while True:
            self.sequence += 1
            body = {"target_service": self.service, "address": self.address, "zone": "a", "config_version": "v1", "slot_count": SLOTS, "oper_state": "ready",
                    "warmup_left_ms": 0, "call_sequence": self.sequence}
            await self.site.call_core(f"backends.heartbeat&of={self.name}", body)
            await asyncio.sleep(1)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                if path.startswith("/health"):
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                attempt = field(head, "attempt-id")
                self.site.ran[attempt] = self.site.ran.get(attempt, 0) + 1
                await asyncio.sleep(int(path.rsplit("/", 1)[1]) / 1000)
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Client:
    """Sends one request after the other on a connection for as long as that stands, then dials a gateway that is ready."""

    def __init__(self, site, number):
        self.site, self.number, self.sent = site, number, 0
        self.random = random.Random(site.seed * 1000 + number)

    async def run(self):
        while not self.site.over:
            gateway = self.random.choice(self.site.ready or self.site.gateways)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.front), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            while not self.site.over and await self.request(gateway, reader, writer):
                await asyncio.sleep(self.random.uniform(0, 0.05))
            writer.close()

    async def request(self, gateway, reader, writer):
        """Returns whether the connection may be used again."""
        self.sent += 1
        attempt = f"{self.number:08x}{self.sent:08x}"
        route = self.random.choice(list(ROUTES))
        work_ms = self.random.choice([5, 20, 60, 200]) if self.random.random() < 0.97 else 1500
        begun = time.monotonic()
        try:
            writer.write(f"GET /{route}/{work_ms} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {attempt}\r\nDeadline-Remaining: 3000\r\n\r\n".encode())
            await writer.drain()
            sent_at = time.monotonic()
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)).decode()
            await reader.readexactly(int(field(head, "content-length") or 0))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.site.cut(gateway, attempt, begun, time.monotonic())
            return False
        except asyncio.TimeoutError:
            self.site.broken(f"no answer to {attempt} of {gateway.machine} within 10 s")
            return False
        self.site.answered(gateway, attempt, route, int(head.split(" ")[1]), sent_at)
        if head.split(" ")[1] != "200":
            await asyncio.sleep(0.1)
        return field(head, "connection").lower() != "close"


def field(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""
