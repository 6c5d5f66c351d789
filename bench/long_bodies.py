#!/usr/bin/env python3
"""Many long bodies at once through one gateway, with slow peers on both sides: peak memory, and that all came whole.

    bench/long_bodies.py build/ivygw [--transfers 200] [--mb 32] [--memory-mb 64]

Half of the transfers are answers to clients that read slowly, half are bodies that clients send at full speed to a backend
that reads slowly. The peers are one process with threads. Beside them 100 callers say nothing at the operators' address
while `check` is called again and again: its times are printed.
"""
import argparse
import json
import os
import socket
import subprocess
import tempfile
import threading
import time

parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
parser.add_argument("program")
parser.add_argument("--transfers", type=int, default=200)
parser.add_argument("--mb", type=int, default=32)
parser.add_argument("--memory-mb", type=int, default=64)
args = parser.parse_args()
SIZE = args.mb << 20
BLOCK = bytes(range(256)) * 256  # 64 KiB


def listener(handler):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)

    def serve():
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            threading.Thread(target=handler, args=(conn,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    return sock.getsockname()[1]


def read_head(conn, have=b""):
    while b"\r\n\r\n" not in have:
        more = conn.recv(65536)
        if not more:
            return None, b""
        have += more
    head, rest = have.split(b"\r\n\r\n", 1)
    return head, rest


def backend(conn):
    rest = b""
    while True:
        head, rest = read_head(conn, rest)
        if head is None:
            return
        length = next((int(l.split(b":")[1]) for l in head.split(b"\r\n") if l.lower().startswith(b"content-length")), 0)
        got = len(rest)
        while got < length:  # slowly: a pause after each megabyte
            part = conn.recv(min(1 << 20, length - got))
            if not part:
                return
            got += len(part)
            time.sleep(0.02)
        rest = b""
        if head.startswith(b"GET"):
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            for _ in range(SIZE // len(BLOCK)):
                conn.sendall(BLOCK)
        else:
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ngot")


def counter(conn):
    buffer = b""
    while True:
        part = conn.recv(65536)
        if not part:
            return
        buffer += part
        while buffer.count(b"\r\n") >= 9:
            buffer = b"\r\n".join(buffer.split(b"\r\n")[9:])
            conn.sendall(b"$1\r\n0\r\n")


def discovery(conn):
    rest = b""
    while True:
        head, rest = read_head(conn, rest)
        if head is None:
            return
        whole = b"after=" not in head
        if not whole:
            time.sleep(0.9)
        entries = [{"name": f"s{i}", "address": f"127.0.0.1:{backends[i]}", "zone": "a", "type": "std", "group": 0,
                    "status": "active", "weight": 1.0, "since_ms": 0} for i in range(len(backends))] if whole else []
        text = json.dumps({"index": 1, "snapshot": whole, "endpoints": entries}).encode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)


backends = [listener(backend) for _ in range(8)]
cls = [{"name": n, "effect": e, "aim-s": 3.0, "hard-limit-s": 30.0, "window-s": 3.0, "importance": 1.0, "late-share": 0.0,
        "dedup-scope": "all", "streamed": False} for n, e in (("quote", "free"), ("send-lead", "single_shot"))]
plan = [{"name": "business", "units-per-s": 1e5, "store-size": 1e5, "never-over-rate": 0.0, "ceiling-burst": 0.0,
         "cap-slack": 0.0, "excess-worth": 0.0, "over-cost": 0.8, "value-factor": 1.0, "parallel": 0}]
config = {
    "name": "n0", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "seed": "1",
    "discovery": f"127.0.0.1:{listener(discovery)}", "counter": f"127.0.0.1:{listener(counter)}",
    "limits": {"memory_mb": args.memory_mb, "sockets": 1024}, "known": {"index": 0, "snapshot": True, "endpoints": []},
    "settings": {
        "me": 0, "peers-total": 1, "zone": 0, "zones": ["a"], "kinds": ["std"], "resolution-s": 0.002, "discovery": "pushed",
        "specifics": {"units-top": 8, "may-count": True, "counter-timeout-s": 0.03, "counter-price": 0.005},
        "prices": {"cross-zone": 0.02},
        "limits": {"cancel": True, "parallel-tries": False, "retry-after": True, "max-retry-after-s": 2.0, "try-limit": 6,
                   "conn-idle-s": 30.0, "connect-timeout-s": 0.25},
        "invariants": {"cold-from": 0.18, "warm-after-s": 17.0, "tip-multiple": 2.0, "tip-after-s": 1.0,
                       "ask-within-s": 10.0, "drain-grace-s": 0.5},
        "request-classes": cls, "tiers-of-service": plan}}
path = tempfile.mktemp(suffix=".json")
with open(path, "w") as file:
    json.dump(config, file)
gateway = subprocess.Popen([args.program, "--config", path], stderr=subprocess.PIPE, text=True)
port = int(gateway.stderr.readline().rsplit(":", 1)[1])
admin = int(gateway.stderr.readline().rsplit(":", 1)[1])
threading.Thread(target=gateway.stderr.read, daemon=True).start()
time.sleep(0.5)

outcomes, lock = {}, threading.Lock()


def told(what):
    with lock:
        outcomes[what] = outcomes.get(what, 0) + 1


def client(number):
    get = number % 2 == 0
    while True:  # refused for want of room is asked again
        conn = socket.create_connection(("127.0.0.1", port))
        conn.settimeout(120)
        head = (f"{'GET /quote' if get else 'POST /send-lead'} HTTP/1.1\r\nHost: x\r\nRequest-Id: {number}-{time.time_ns()}\r\n"
                f"X-Tier: business\r\nCookie: client={number:x}\r\nRequest-Timeout-Ms: 30000\r\n"
                f"X-Call-Terms: units=1,spread=1,first=0\r\n").encode()
        try:
            if get:
                conn.sendall(head + b"\r\n")
            else:
                conn.sendall(head + b"Content-Length: %d\r\n\r\n" % SIZE)
                for _ in range(SIZE // len(BLOCK)):
                    conn.sendall(BLOCK)
            answer, rest = read_head(conn)
            if answer is None:
                told("closed")
                continue
            status = int(answer.split()[1])
            if status in (429, 503):
                told("refused")
                time.sleep(0.5)
                continue
            got, want = len(rest), SIZE if get else 3
            while got < want:
                part = conn.recv(1 << 18)
                if not part:
                    break
                got += len(part)
                time.sleep(0.004)
            return told(f"{'answer' if get else 'body'} {status} {'whole' if got == want else 'cut off'}")
        except OSError:
            told("broken")


silent = [socket.create_connection(("127.0.0.1", admin)) for _ in range(100)]
clients = [threading.Thread(target=client, args=(i,)) for i in range(args.transfers)]
begin = time.time()
for thread in clients:
    thread.start()
times = []
while any(thread.is_alive() for thread in clients) and time.time() - begin < 300:
    at = time.time()
    with socket.create_connection(("127.0.0.1", admin)) as call:
        call.sendall(b"check\n")
        assert call.recv(100).startswith(b"+OK")
    times.append(time.time() - at)
    time.sleep(0.02)
with open(f"/proc/{gateway.pid}/status") as status:
    peak = next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))
times.sort()
print(f"{args.transfers} transfers of {args.mb} MB in {time.time() - begin:.1f} s: {outcomes}")
print(f"peak resident memory {peak:.1f} MB of {args.memory_mb}")
print(f"{len(times)} calls of check beside 100 silent callers: median {times[len(times) // 2] * 1e3:.1f} ms, "
      f"99th {times[int(len(times) * 0.99)] * 1e3:.1f} ms, most {times[-1] * 1e3:.1f} ms")
gateway.terminate()
gateway.wait()
os.unlink(path)
