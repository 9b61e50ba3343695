"""A config is lost to the edges while entries of another writer come and go."""

import asyncio
import json
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_ins_2 as stand_ins

SETTLED_S = 4.0
"""Calm before the operator's change: `stable_window_ms` and a second."""

FOREIGN = 16
"""Entries of another writer, of a service that the config doesn't name."""

REMOVED_EACH_S = 0.2
CONFIG_AFTER = 6
"""Entries that were removed when the operator changes the config."""

APPLY_S = 2.0
"""`config_apply_ms`."""

WATCHED_S = 4.0
CLIENTS = 6
PAUSE_S = 0.02


class Case:
    """Which service ran each request, and when it was sent."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[float, str]] = {}
        self.ran: dict[str, str] = {}
        self.statuses: dict[str, int] = {}
        self.numbers = count(1)

    async def async_send(self, machine: stand_ins.Machine) -> None:
        """Send one request after the other to an edge."""
        while True:
            request_id = f"{next(self.numbers):016x}"
            self.sent[request_id] = (time.monotonic(), machine.name)
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
            answer = await stand_ins.async_call(
                machine.front, "POST", "/orders/x", headers, b"one order", 4.0
            )
            self.statuses[request_id] = answer.status
            await asyncio.sleep(PAUSE_S)


def write_foreign(store: stand_ins.Store, number: int, service: str) -> None:
    """Write the entry of a server that belongs to somebody else."""
    entry = {
        "service": service,
        "address": f"127.0.0.1:{9000 + number}",
        "zone": "hall-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "seq": 1,
    }
    store.write(f"servers/foreign-{number}", json.dumps(entry).encode())


async def async_play(
    world: stand_ins.World, record: stand_ins.Record, trouble: bool
) -> int:
    """Play the case."""
    case, store = Case(), world.store
    services = ["orders-old", "orders-new"]
    for number in range(4):
        service = services[number // 2]

        def note(
            runner_id: str, request: stand_ins.HttpRequest, service: str = service
        ) -> None:
            case.ran[request.find("x-request-id")] = service

        runner = stand_ins.Runner(store, service, f"i-{number:08x}", note)
        await runner.async_announce()
    route = stand_ins.make_route("orders", "non_idempotent", "orders-old")
    await world.async_start(stand_ins.make_config(1, [route], services))
    for number in range(CLIENTS):
        machine = world.machines[number % len(world.machines)]
        world.start_task(case.async_send(machine))
    if trouble:
        for number in range(FOREIGN):
            write_foreign(store, number, "stock-blue")
    await asyncio.sleep(SETTLED_S / 2)
    if trouble:
        for number in range(FOREIGN):
            write_foreign(store, number, "stock-green")
        record.say(f"{FOREIGN} entries of another writer name another service")
    await asyncio.sleep(SETTLED_S / 2)

    async def async_remove() -> None:
        for number in range(FOREIGN):
            store.remove(f"servers/foreign-{number}")
            record.write(f"the entry foreign-{number} is removed")
            await asyncio.sleep(REMOVED_EACH_S)

    if trouble:
        world.start_task(async_remove())
    await asyncio.sleep(CONFIG_AFTER * REMOVED_EACH_S)
    moved = {**route, "service": "orders-new"}
    store.write("op/config", stand_ins.make_config(2, [moved], services))
    acked_at = time.monotonic()
    record.say("the store has accepted version 2: /orders/ moves to orders-new")
    await asyncio.sleep(APPLY_S + WATCHED_S)
    return judge(case, record, acked_at + APPLY_S)


def judge(case: Case, record: stand_ins.Record, since: float) -> int:
    """Return the result: requests that the old service ran after the bound."""
    counts: dict[tuple[str, str], int] = {}
    for request_id, (sent_at, edge) in case.sent.items():
        service = case.ran.get(request_id, "nobody")
        is_due = sent_at > since
        record.write(
            f"{request_id} sent to {edge} {sent_at - since + APPLY_S:.3f} s after the "
            f"ack, run by {service}, answered {case.statuses.get(request_id, 0)}"
        )
        if is_due:
            counts[edge, service] = counts.get((edge, service), 0) + 1
    for (edge, service), number in sorted(counts.items()):
        record.say(f"after the bound: {edge}, {service}: {number}")
    old = sum(n for (_, service), n in counts.items() if service == "orders-old")
    record.say(f"{old} of {sum(counts.values())} requests were run by the old service")
    return stand_ins.BROKEN if old else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.run_case(Path(__file__).resolve().parent, async_play)
