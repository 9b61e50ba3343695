"""A runner that left is sent requests while the leader's path to the store flaps."""

import asyncio
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_ins_2 as stand_ins

SETTLED_S = 4.0
"""Calm before the first cut: `stable_window_ms` and a second."""

CUT_S, BETWEEN_S, CUTS = 1.6, 0.4, 4
"""The leader's path to the store is cut four times; `core_cut` on the small sites is
one machine for up to 7.2 s, more than once."""

RELEASE_AT_S = 1.0
"""Start of the release after the first cut."""

RELEASE_GAP_S = 1.0
NEW_FIRST_S = 0.5
"""Time from the start of a new runner to the leaving of the old one."""

DRAIN_S = 2.0
"""`drain_ms`: a leaving runner serves for this time, and a little longer."""

SERVES_ON_S = 3.0
"""Time for which a leaving runner serves after its entry was removed; then it exits."""

RUNNERS, REPLACED = 12, 6
WORK_S = 0.09
CLIENTS = 6
PAUSE_S = 0.02


class Case:
    """The runs that runners have begun, and what the clients got."""

    def __init__(self, world: stand_ins.World, record: stand_ins.Record) -> None:
        self.world, self.record = world, record
        self.runs: dict[str, tuple[str, float, str]] = {}
        self.statuses: dict[str, int] = {}
        self.left_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.numbers = count(1)

    def note_run(self, runner_id: str, request: stand_ins.HttpRequest) -> None:
        """Record that a runner begins to work on a request."""
        request_id = request.find("x-request-id")
        self.runs[request_id] = (runner_id, time.monotonic(), request.find("x-edge"))

    async def async_send(self, machine: stand_ins.Machine) -> None:
        """Send one request after the other to an edge."""
        while True:
            request_id = f"{next(self.numbers):016x}"
            headers = {
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "3000",
                "X-Edge": machine.name,
            }
            answer = await stand_ins.async_call(
                machine.front, "POST", "/orders/x", headers, b"one order", 4.0
            )
            self.statuses[request_id] = answer.status
            await asyncio.sleep(PAUSE_S)


async def async_play(
    world: stand_ins.World, record: stand_ins.Record, trouble: bool
) -> int:
    """Play the case."""
    case = Case(world, record)
    route = stand_ins.make_route("orders", "non_idempotent", "orders-app")
    runners = [
        stand_ins.Runner(
            world.store, "orders-app", f"i-{number:08x}", case.note_run, WORK_S
        )
        for number in range(1, RUNNERS + 1)
    ]
    for runner in runners:
        await runner.async_announce()
    await world.async_start(stand_ins.make_config(1, [route], ["orders-app"]))
    leader = world.find_leader()
    assert leader is not None
    calm = [each for each in world.machines if each is not leader]
    record.say(f"{leader.name} leads; clients use {[each.name for each in calm]}")
    for number in range(CLIENTS):
        world.start_task(case.async_send(calm[number % len(calm)]))
    await asyncio.sleep(SETTLED_S)

    async def async_flap() -> None:
        for _ in range(CUTS):
            record.write(f"{leader.name} is cut off from the store")
            leader.store_link.cut()
            await asyncio.sleep(CUT_S)
            leader.store_link.heal()
            record.write(f"{leader.name} reaches the store")
            await asyncio.sleep(BETWEEN_S)

    async def async_leave(old: stand_ins.Runner) -> None:
        old.leave_unannounced()
        case.left_at[old.runner_id] = time.monotonic()
        record.write(f"the store has removed the entry of {old.runner_id}")
        await asyncio.sleep(SERVES_ON_S)
        old.stop()
        case.ended_at[old.runner_id] = time.monotonic()
        record.write(f"{old.runner_id} exits")

    if trouble:
        world.start_task(async_flap())
    await asyncio.sleep(RELEASE_AT_S)
    for number, old in enumerate(runners[:REPLACED]):
        runner_id = f"i-{RUNNERS + number + 1:08x}"
        new = stand_ins.Runner(
            world.store, "orders-app", runner_id, case.note_run, WORK_S
        )
        await new.async_announce()
        record.write(f"{runner_id} starts")
        await asyncio.sleep(NEW_FIRST_S)
        world.start_task(async_leave(old))
        await asyncio.sleep(RELEASE_GAP_S - NEW_FIRST_S)
    await asyncio.sleep(SERVES_ON_S + 1.5)
    return judge(case)


def judge(case: Case) -> int:
    """Return the result: requests that reached a runner after its drain."""
    late = lost = 0
    for request_id, (runner, at, edge) in sorted(case.runs.items()):
        status = case.statuses.get(request_id, 0)
        if runner not in case.left_at or at < case.left_at[runner]:
            continue
        after_s = at - case.left_at[runner]
        is_late = after_s > DRAIN_S
        late += is_late
        lost += is_late and status != 200
        case.record.write(
            f"{request_id} reached {runner} through {edge} {after_s:.3f} s after "
            f"its entry was removed{' (late)' if is_late else ''}: {status}"
        )
    failed = 0
    for request_id, status in case.statuses.items():
        failed += status != 200
        case.record.write(f"{request_id} was answered {status}")
    case.record.say(
        f"{len(case.statuses)} requests, {failed} failed; {late} reached a runner over "
        f"{DRAIN_S:g} s after its entry was removed, and {lost} of these were lost as "
        "it exited"
    )
    return stand_ins.BROKEN if late else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.run_case(Path(__file__).resolve().parent, async_play)
