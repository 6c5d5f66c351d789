"""An order of the operator that was cut short ends each registry that it is sent to."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from rig import *

HERE = pathlib.Path(__file__).resolve().parent
ORDER_BYTES = int(32.6 * (1 << 20))
ORDERS, GAP_S, ACK_TIMEOUT_S, TRIES = 3, 1.0, 5.0, 3  # bad_config: count 3, gap_s 1


def whole_configuration(bytes_wanted):
    """A sound configuration of many tenants, of at least so many bytes."""
    tenants, size = [], 0
    while size < bytes_wanted:
        tenants.append({"name": f"tenant{len(tenants):06}", "api_keys": [f"{len(tenants):010}{n:08}" for n in range(50)], "priority": 0,
                        "rate_per_s": 0, "burst_size": 0, "config_version": "00000009"})
        size += 1250
    return json.dumps({"upsert_items": {"tenant_table": tenants}, "remove_items": {}}).encode()


async def play(trouble):
    rig = Rig(proxies=2, record=HERE / "record.txt")
    answers = []
    try:
        await rig.start([Backend(rig, n, "drawdown-svc") for n in range(3)])
        status, _ = await rig.configure({"service_table": [service("drawdown-svc")], "route_table": [route("drawdown", "drawdown-svc", "non_idempotent")],
                                         "limits": dict(LIMITS)})
        if status != 200:
            raise CouldNotRun(f"the first configuration got {status}")
        await rig.all_ready()
        await asyncio.sleep(1)
        order = whole_configuration(ORDER_BYTES * 11 // 10 if trouble else 20000)
        order = order[:ORDER_BYTES if trouble else 15000]  # cut short
        for number in range(ORDERS):
            # An operator's call that fails goes on to another core; it ends on a 4xx.
            for core in random.sample(rig.control, len(rig.control))[:TRIES]:
                try:
                    status, body = await rig.call(core, "configuration.modify", order, ACK_TIMEOUT_S)
                    answer = f"{status} {body[:80]!r}"
                except (OSError, EOFError, asyncio.TimeoutError) as error:
                    status, answer = None, repr(error)
                answers.append(status)
                rig.note(f"order {number + 1}, cut short after {len(order)} bytes, at {core}: {answer}")
                if status is not None and 400 <= status < 500:
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(1)
        ends = [f"{p.machine} {p.program} status {status}" for p in rig.cores + rig.proxies for _, status in p.ended_itself]
        rig.note(f"processes that ended by themselves: {ends}")
    finally:
        await rig.end()
    print(f"answers {answers}")
    machines = {end.split(" ")[0] for end in ends}
    if len(ends) >= 3 and len(machines) >= 2:
        return [f"Fault: processes ended by themselves {len(ends)} times: {', '.join(ends)}"]
    return []


run_case(play)
