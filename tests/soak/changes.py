"""Changes of entries and configurations, and of the leader's own way to the store."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import orjson

from mangoway.coordination.members import LEADER_KEY
from mangoway.platform.documents import OWN_PREFIX, RUNNER_PREFIX

from .faults import disturb_node, end_span
from .world import MODELS, Node, World

FOREIGN_ENTRIES: Final = 8
"""Entries of another writer, of services that the configuration doesn't name."""

REMOVE_EACH_S: Final = 0.2
RETIRED_S: Final = 3.0
"""Time for which a model is not offered."""

FLAP_S: Final = 1.6
"""Time for which the leader reaches no store, longer than counts as an outage."""

FLAP_PAUSE_S: Final = 0.4
FLAPS: Final = 4
MAX_WORK_S: Final = 2.5
"""Longest calls, which still end within their callers' time limit."""


async def async_change_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Change entries, models, the leader's path and lengths of calls until stopped."""
    kinds: tuple[Callable[[World, Random], Awaitable[None]], ...] = (
        async_relabel_foreign_entries,
        async_retire_model,
        async_flap_leader,
        async_work_long,
    )
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.5, 2.0))
        world.records.changes += 1
        await random.choice(kinds)(world, random)


async def async_relabel_foreign_entries(world: World, random: Random) -> None:
    """Let entries of another writer change their service, and remove them one by one.

    Meanwhile the configuration changes, and the edges are asked whether they have it.
    """
    for service in ("stock-a", "stock-b"):
        for number in range(FOREIGN_ENTRIES):
            entry = {
                "service": service,
                "address": f"127.0.0.1:{9000 + number}",
                "zone": "dc-1",
                "slots": 4,
                "state": "ready",
                "seq": 1,
            }
            key = f"{RUNNER_PREFIX}foreign-{number}"
            world.store.write(key, orjson.dumps(entry))
        await asyncio.sleep(REMOVE_EACH_S)
    for number in range(FOREIGN_ENTRIES):
        if number == FOREIGN_ENTRIES // 2:
            world.write_configuration()
            world.start_task(world.async_probe_configuration())
        world.store.remove(f"{RUNNER_PREFIX}foreign-{number}")
        await asyncio.sleep(REMOVE_EACH_S)


async def async_retire_model(world: World, random: Random) -> None:
    """Offer a model no more for a while; runners keep its copies."""
    world.retired.add(random.choice(MODELS))
    world.write_configuration()
    await asyncio.sleep(RETIRED_S)
    world.retired.clear()
    world.write_configuration()


async def async_flap_leader(world: World, random: Random) -> None:
    """Cut the leading scheduler off from the store again and again."""
    node = find_leader(world)
    if node is None:
        return
    for _ in range(FLAPS):
        span = world.records.begin(f"flap {node.name}")
        switches = node.store_relay.switches
        switches.drop_to_target = switches.drop_from_target = True
        with disturb_node(world, node, cut=True):
            await asyncio.sleep(FLAP_S)
        node.store_relay.heal()
        end_span(span)
        await asyncio.sleep(FLAP_PAUSE_S)


async def async_work_long(world: World, random: Random) -> None:
    """Let a runner take long for its calls."""
    runner = random.choice(world.runners)
    runner.work_s = random.uniform(1.0, MAX_WORK_S)
    await asyncio.sleep(RETIRED_S)
    runner.work_s = 0.0


def find_leader(world: World) -> Node | None:
    """Return the node of the scheduler that holds the leader's key."""
    item = world.store.items.get(OWN_PREFIX + LEADER_KEY)
    if item is None:
        return None
    host = orjson.loads(item.value)["host"]
    return next((each for each in world.nodes if each.name == host), None)
