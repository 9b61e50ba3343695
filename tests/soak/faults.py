"""Faults of a soak; each lasts for some time, and several may overlap.

The names of the functions that `fault` and `plan` register are printed. They are also
sorted for the random choice, so that with another name a seed draws other faults.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import Any

from .cuts import OpenConnections
from .records import Span
from .runners import RunnerStandIn
from .signals import DRAIN_S, LIMIT_SLACK, LIMIT_WINDOW_S
from .store import StoreCopy, StoreFault
from .world import MODELS, RUNNER_RESTART_S, Node, World

REJECTING_SHARE = 0.6
"""Share of the periods in which runners reject requests rather than fail them."""

KILLED_SHARE = 0.4
"""Share of the runners with unframed responses that are killed."""

MAX_COPIES = 12
COPY_INTERVAL_S = 0.5
"""Copies of the store that are kept, and the time between two of them."""

CLOSE_S = 0.1
"""Time in which the bytes that a killed runner had sent reach their receivers."""

START_S = 3.0
"""Time in which a process starts on a busy host."""

Fault = Callable[[World], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED: set[str] = set()
"""Names of the faults that are planned work or part of normal operation, so that all
time bounds hold during them."""


def fault(call: Fault) -> Fault:
    """Register a fault under its name."""
    FAULTS[call.__name__.removeprefix("async_")] = call
    return call


def plan(call: Fault) -> Fault:
    """Register planned work under its name."""
    PLANNED.add(call.__name__.removeprefix("async_"))
    return fault(call)


@fault
async def async_kill_process(world: World) -> None:
    """Kill a process, which is restarted."""
    node = _choose_node(world)
    if node is not None and node.process is not None:
        span = world.records.begin(f"kill {node.name}")
        node.stopping = True
        node.process.kill()
        with disturb_node(world, node, ended=True):
            await asyncio.sleep(1.0)
        end_span(span)


@fault
async def async_kill_schedulers(world: World) -> None:
    """Kill all schedulers at once."""
    span = world.records.begin("kill schedulers")
    for node in world.list_nodes("scheduler"):
        if node.process is not None:
            node.stopping = True
            node.process.kill()
    await asyncio.sleep(1.0)
    end_span(span)


@fault
async def async_freeze_process(world: World) -> None:
    """Pause a process, and resume it."""
    node = _choose_node(world)
    if node is None or node.process is None:
        return
    span = world.records.begin(f"freeze {node.name}")
    process = node.process
    process.pause()
    with disturb_node(world, node):
        await asyncio.sleep(world.random.uniform(0.3, 3.0))
    process.resume()
    end_span(span)


@plan
async def async_restart_process(world: World) -> None:
    """Stop a process by SIGTERM, which must not interrupt requests; it is restarted."""
    node = _choose_node(world)
    if node is None or node.process is None or len(world.list_nodes("edge")) < 2:
        return
    await async_stop_node(world, node)


async def async_stop_node(world: World, node: Node) -> None:
    """Stop a node's process by SIGTERM, and check how it ends."""
    assert node.process is not None
    span = world.records.begin(f"stop {node.name}", planned=True)
    node.stopping = True
    process = node.process
    process.terminate()
    # A process that another fault paused meanwhile ends once it is resumed.
    with disturb_node(world, node):
        code = await process.async_wait(20.0)
    world.records.signals.remove_edge(node.caller_address)
    # A process that is still starting handles no signals yet, and has no requests.
    starting = span.began - node.started_at < START_S
    is_undisturbed = world.records.has_no_fault(span.began, time.monotonic())
    if code != 0 and is_undisturbed and not starting:
        world.records.violations.append(
            f"exit: {node.name} stopped with exit code {code}, not 0"
        )
    await asyncio.sleep(1.0)
    end_span(span)


@fault
async def async_hurt_store(world: World) -> None:
    """Let the store reject calls, stop responding, be slow, or lose responses."""
    kinds = [each for each in StoreFault if each is not StoreFault.NONE]
    kind = world.random.choice(kinds)
    span = world.records.begin(f"store {kind.value}")
    world.store.fault = kind
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    world.store.fault = StoreFault.NONE
    end_span(span)


@plan
async def async_forget_history(world: World) -> None:
    """Let the store discard its history of changes."""
    world.store.discard_history()


@fault
async def async_cut_from_store(world: World) -> None:
    """Reset a process's connections to the store, drop their data, or delay it."""
    node = _choose_node(world)
    if node is None:
        return
    span = world.records.begin(f"cut {node.name} from the store")
    relay = node.store_relay
    how = world.random.choice(("reset", "silent", "to_target", "from_target", "slow"))
    if how == "reset":
        relay.cut()
        relay.switches.refuse_new = True
    elif how == "slow":
        relay.switches.delay_s = 0.3
    else:
        relay.switches.drop_to_target = how != "from_target"
        relay.switches.drop_from_target = how != "to_target"
    with disturb_node(world, node, cut=True):
        await asyncio.sleep(world.random.uniform(0.5, 4.0))
    relay.heal()
    end_span(span)


@fault
async def async_mute_open_connections(world: World) -> None:
    """Drop all data on the open connections of one relay; new connections work.

    The relay leads to a runner, or from one process to the store.
    """
    relays = [each.store_relay for each in world.nodes]
    relays += [each.relay for each in world.runners if each.relay is not None]
    span = world.records.begin("mute connections")
    world.random.choice(relays).mute()
    await asyncio.sleep(1.0)
    end_span(span)


@fault
async def async_cut_runner(world: World) -> None:
    """Reset all connections to a runner and refuse new ones, or drop what it sends."""
    runner = world.random.choice(world.runners)
    if runner.relay is None:
        return
    span = world.records.begin(f"cut {runner.runner_id}")
    if world.random.random() < 0.5:
        runner.relay.cut()
        runner.relay.switches.refuse_new = True
    else:
        runner.relay.switches.drop_from_target = True
    await asyncio.sleep(world.random.uniform(0.3, 2.0))
    runner.relay.heal()
    end_span(span)


@fault
async def async_crash_runner(world: World) -> None:
    """Crash a runner, and start another one without models.

    The only runner of a service isn't crashed.
    """
    runner = world.random.choice(world.runners)
    if len(_list_runner_ids(world, runner.service)) < 2:
        return
    world.runners.remove(runner)
    span = world.records.begin(f"crash {runner.runner_id}")
    await runner.async_crash()
    models: dict[str, set[str]] | None = None if runner.models is None else {}
    await world.async_add_runner(runner.service, models)
    await asyncio.sleep(1.0)
    end_span(span)


@plan
async def async_replace_runner(world: World) -> None:
    """Start a runner, and drain another one."""
    leaving = world.random.choice(world.runners)
    models: dict[str, set[str]] | None = None if leaving.models is None else {}
    await world.async_add_runner(leaving.service, models)
    if leaving not in world.runners:
        # Another fault removed it meanwhile.
        return
    world.runners.remove(leaving)
    world.start_task(leaving.async_drain())


@fault
async def async_break_answers(world: World) -> None:
    """Let a runner lose a share of its responses after it ran the requests."""
    runner = world.random.choice(world.runners)
    span = world.records.begin(f"lost responses of {runner.runner_id}")
    runner.fail_share = 0.3
    await asyncio.sleep(world.random.uniform(0.5, 3.0))
    runner.fail_share = 0.0
    end_span(span)


async def async_reject_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners reject or fail most requests for some periods.

    This causes many retries during the other faults of the seed. Once `stopping` is
    set, returns after the current period, or after the one that follows a pause.
    """
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.5, 3.0))
        span = world.records.begin("runners reject")
        is_rejecting = random.random() < REJECTING_SHARE
        for runner in world.runners:
            runner.reject_share = 0.9 if is_rejecting else 0.0
            runner.fail_share = 0.0 if is_rejecting else 0.9
        await asyncio.sleep(random.uniform(0.5, 3.0))
        for runner in world.runners:
            runner.reject_share = runner.fail_share = 0.0
        end_span(span)


async def async_cut_edges_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Cut some edges, or all but one, off from all runners for some periods.

    Once `stopping` is set, returns after the current period, or after the one that
    follows a pause.
    """
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.5, 3.0))
        edges = world.list_nodes("edge")
        if len(edges) < 2:
            continue
        chosen = random.sample(edges, random.randrange(1, len(edges)))
        names = " ".join(each.name for each in chosen)
        span = world.records.begin(f"cut {names} off from the runners")
        pids = {each.process.child.pid for each in chosen if each.process is not None}
        relays = [each.relay for each in world.runners if each.relay is not None]
        world.cuts.begin(pids, relays, random.choice(list(OpenConnections)))
        await asyncio.sleep(random.uniform(0.5, 4.0))
        world.cuts.end()
        end_span(span)


async def async_restore_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let the store come back from copies that are some seconds old.

    Sometimes it comes back twice in a row. Once `stopping` is set, returns after the
    current restore.
    """
    copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)
    while not stopping.is_set():
        pause_end = time.monotonic() + random.uniform(1.0, 5.0)
        while time.monotonic() < pause_end:
            copies.append(world.store.copy())
            await asyncio.sleep(COPY_INTERVAL_S)
        span = world.records.begin("restore of the store")
        for _ in range(random.choice((1, 1, 1, 2))):
            await _async_restore(world, random, random.choice(copies))
        end_span(span)


async def _async_restore(world: World, random: Random, copy: StoreCopy) -> None:
    """Let the store be away for a moment, and come back from a copy."""
    world.store.absence = random.choice((StoreFault.REJECTING, StoreFault.SILENT))
    await asyncio.sleep(random.uniform(0.05, 2.5))
    lost = world.store.restore(copy)
    world.records.restores += 1
    world.store.absence = StoreFault.NONE
    await asyncio.sleep(random.uniform(0.05, 1.5))
    world.store.write_again(lost)


async def async_signal_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners send limits, cooldowns and leaving signals.

    Once `stopping` is set, at most one more signal starts; returns when all have ended.
    """
    signal_kinds = (_async_limit, _async_limit, _async_cool_down, _async_leave)
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.2, 1.2))
        runner = random.choice(world.runners)
        running.add(
            world.start_task(random.choice(signal_kinds)(world, runner, random))
        )
    await asyncio.gather(*running, return_exceptions=True)


async def _async_limit(world: World, runner: RunnerStandIn, random: Random) -> None:
    """Let a runner send a limit that its recent requests don't exceed."""
    if runner.limit is not None:
        return
    recent = world.records.signals.count_recent(runner.runner_id)
    min_limit = (recent - LIMIT_SLACK) / LIMIT_WINDOW_S
    runner.start_limit(round(max(random.uniform(0.0, 6.0), min_limit), 2))
    await asyncio.sleep(random.uniform(2.0, 8.0))
    runner.end_limit()


async def _async_cool_down(world: World, runner: RunnerStandIn, random: Random) -> None:
    """Let a runner reject most requests, and send a cooldown with each rejection."""
    span = world.records.begin("runners reject")
    runner.reject_share, runner.cooldown_s = 0.9, random.uniform(0.6, 3.0)
    await asyncio.sleep(random.uniform(1.0, 5.0))
    runner.reject_share = runner.cooldown_s = 0.0
    end_span(span)


async def _async_leave(world: World, runner: RunnerStandIn, random: Random) -> None:
    """Let a runner signal in its responses that it leaves, and only later in the store.

    Another runner without models replaces it.
    """
    if runner not in world.runners or runner.leaving is not None:
        return
    models: dict[str, set[str]] | None = None if runner.models is None else {}
    await world.async_add_runner(runner.service, models)
    if runner not in world.runners:
        return
    world.runners.remove(runner)
    runner.start_leaving()
    await asyncio.sleep(random.uniform(1.0, 3.0) * DRAIN_S)
    await runner.async_drain()


async def async_misbehave_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners leave unannounced, run on, or send bytes without end, for periods.

    Once `stopping` is set, at most one more period starts; returns when all have ended.
    """
    kinds = (_async_leave_unannounced, _async_run_on, _async_pour)
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.2, 1.2))
        runner = random.choice(world.runners)
        running.add(world.start_task(random.choice(kinds)(world, runner, random)))
    await asyncio.gather(*running, return_exceptions=True)


async def _async_leave_unannounced(
    world: World, runner: RunnerStandIn, random: Random
) -> None:
    """Let a runner leave without a draining report; another one replaces it."""
    models: dict[str, set[str]] | None = None if runner.models is None else {}
    await world.async_add_runner(runner.service, models)
    if runner not in world.runners:
        return
    world.runners.remove(runner)
    await runner.async_leave_unannounced()


async def _async_run_on(world: World, runner: RunnerStandIn, random: Random) -> None:
    """Let a runner go on with the streams of clients that disconnect, and pause."""
    runner.runs_on = runner.pauses = True
    await asyncio.sleep(random.uniform(2.0, 5.0))
    runner.runs_on = runner.pauses = False


async def async_send_extras_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners send extra responses for periods, until `stopping` is set."""
    await _async_disturb_runners(world, random, stopping, 0.6, _async_send_extras)


async def async_fail_falsely_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners fail requests with statuses that promise "not run" for periods."""
    await _async_disturb_runners(world, random, stopping, 1.0, _async_fail_falsely)


async def async_break_endings_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Let runners send unframed responses, and kill some, until `stopping` is set."""
    await _async_disturb_runners(world, random, stopping, 1.0, _async_break_endings)


async def _async_disturb_runners(
    world: World,
    random: Random,
    stopping: asyncio.Event,
    max_pause_s: float,
    disturb: Callable[[World, RunnerStandIn, Random], Coroutine[Any, Any, None]],
) -> None:
    """Disturb one runner after the other, some at the same time.

    Once `stopping` is set, at most one more period starts; returns when all have ended.
    """
    running: set[asyncio.Task[None]] = set()
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(0.1, max_pause_s))
        runner = random.choice(world.runners)
        running.add(world.start_task(disturb(world, runner, random)))
    await asyncio.gather(*running, return_exceptions=True)


async def _async_send_extras(
    world: World, runner: RunnerStandIn, random: Random
) -> None:
    """Let a runner send extra responses where the next ones are due."""
    span = world.records.begin("runners send extra responses")
    runner.extras.share = random.uniform(0.2, 0.8)
    await asyncio.sleep(random.uniform(1.0, 4.0))
    runner.extras.share = 0.0
    world.records.extras += runner.extras.take_count()
    end_span(span)


async def _async_fail_falsely(
    world: World, runner: RunnerStandIn, random: Random
) -> None:
    """Let a runner fail some requests with statuses that promise "not run"."""
    span = world.records.begin("runners fail falsely")
    runner.own_failure_share = random.uniform(0.05, 0.4)
    await asyncio.sleep(random.uniform(1.0, 3.0))
    runner.own_failure_share = 0.0
    end_span(span)


async def _async_break_endings(
    world: World, runner: RunnerStandIn, random: Random
) -> None:
    """Let a runner send unframed responses; some are killed in the middle of them.

    The only runner of a service isn't killed.
    """
    runner.unframed_share = random.uniform(0.3, 1.0)
    await asyncio.sleep(random.uniform(1.0, 4.0))
    is_only_one = len(_list_runner_ids(world, runner.service)) < 2
    if random.random() < KILLED_SHARE and runner in world.runners and not is_only_one:
        span = world.records.begin(f"kill {runner.runner_id}")
        runner.kill()
        await asyncio.sleep(CLOSE_S)
        world.crash_runner(runner)
        await asyncio.sleep(RUNNER_RESTART_S)
        end_span(span)
    runner.unframed_share = 0.0


async def _async_pour(world: World, runner: RunnerStandIn, random: Random) -> None:
    """Let a runner answer some requests with bytes without end."""
    span = world.records.begin("runners pour")
    runner.pour_share = random.uniform(0.05, 0.5)
    await asyncio.sleep(random.uniform(1.0, 4.0))
    runner.pour_share = 0.0
    end_span(span)


@plan
async def async_change_configuration(world: World) -> None:
    """Write one to three versions of the configuration in succession."""
    for _ in range(world.random.randrange(1, 4)):
        world.write_configuration()
        await asyncio.sleep(world.random.uniform(0.05, 0.5))
    world.start_task(world.async_probe_configuration())


@plan
async def async_take_key_away(world: World) -> None:
    """Replace the API keys of a customer."""
    world.records.customers.change_key(time.monotonic())
    world.write_configuration()


@fault
async def async_cut_off_and_take_key_away(world: World) -> None:
    """Cut half of the processes from the store, and replace a key meanwhile."""
    nodes = world.random.sample(world.nodes, max(1, len(world.nodes) // 2))
    span = world.records.begin(f"cut {len(nodes)} from the store")
    for node in nodes:
        node.store_relay.switches.drop_from_target = True
    await asyncio.sleep(world.random.uniform(0.1, 0.5))
    await async_take_key_away(world)
    with ExitStack() as stack:
        for node in nodes:
            stack.enter_context(disturb_node(world, node, cut=True))
        await asyncio.sleep(world.random.uniform(4.0, 7.0))
    for node in nodes:
        node.store_relay.heal()
    end_span(span)


@plan
async def async_move_demand(world: World) -> None:
    """Change the models that most requests use."""
    world.popular_models[:] = world.random.sample(MODELS, len(world.popular_models))


def _choose_node(world: World) -> Node | None:
    """Choose a running edge or scheduler; None if there is none."""
    nodes = world.list_nodes("edge") + world.list_nodes("scheduler")
    return world.random.choice(nodes) if nodes else None


def _list_runner_ids(world: World, service: str) -> list[str]:
    return [each.runner_id for each in world.runners if each.service == service]


@contextmanager
def disturb_node(
    world: World, node: Node, *, ended: bool = False, cut: bool = False
) -> Iterator[None]:
    """Record that a node is disturbed while the context lasts.

    If it is an edge, the checks of signals excuse it for that time.

    Args:
        world: The world of the soak.
        node: The node.
        ended: Whether its process has ended, so that it has lost the signals.
        cut: Whether it is only cut off from the store, and keeps the signals.
    """
    signals = world.records.signals
    disturbance = signals.disturb(node.caller_address, cut=cut)
    try:
        yield
    finally:
        disturbance.ended = time.monotonic()
        if ended:
            signals.remove_edge(node.caller_address)


def end_span(span: Span) -> None:
    """Record the end of a fault."""
    span.ended = time.monotonic()
