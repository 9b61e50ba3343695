"""Moves runners between those that accept requests and those that leave."""

from typing import TYPE_CHECKING

from ...models.runner import RunnerEntry, is_later_incarnation
from .leaving import LeavingRunner
from .prefixes import PrefixCache
from .runners import RunnerState

if TYPE_CHECKING:
    from .state import SchedulingState


def update_leaving(
    state: "SchedulingState", entries: tuple[RunnerEntry, ...], now: float
) -> list[RunnerState]:
    """Keep the runners that leave, of the services that transfer streams.

    Args:
        state: The core's state.
        entries: Entries of all runners that leave.
        now: Time in seconds.

    Returns:
        The runners that don't leave any more, most of which are gone.
    """
    entries = tuple(each for each in entries if each.service in state.transferring)
    if not entries and not len(state.leaving):
        return []
    dropped = state.leaving.keep_only(frozenset(each.runner_id for each in entries))
    for entry in entries:
        leaving = state.leaving.find(entry)
        if leaving is None:
            runner = _pop_runner(state, entry)
            leaving = LeavingRunner(runner, now, state.features.drain_s)
            state.leaving.add(leaving)
        leaving.update(entry, now)
    return dropped


def restore_requests(state: "SchedulingState", earlier: RunnerState) -> None:
    """Move the requests of a runner that stays after all to its new state."""
    runner = state.runners.get(earlier.runner_id)
    if runner is None or not _is_same_runner(runner.entry, earlier.entry):
        return
    runner.reservations, runner.backups = earlier.reservations, earlier.backups
    for key, running in earlier.running.items():
        runner.add_moved(key, running)


def _pop_runner(state: "SchedulingState", entry: RunnerEntry) -> RunnerState:
    """Return the state of a runner that leaves, with its running requests."""
    runner = state.runners.get(entry.runner_id)
    if runner is not None:
        state.remove_runner(entry.runner_id)
        if _is_same_runner(entry, runner.entry):
            return runner
    engine = state.get_engine(entry.service)
    capacity = 0 if engine is None else engine.kv_capacity_tokens
    return RunnerState(entry, engine, PrefixCache(capacity))


def _is_same_runner(entry: RunnerEntry, earlier: RunnerEntry) -> bool:
    """Return whether an entry is of the same service and incarnation as an earlier."""
    if entry.service != earlier.service:
        return False
    return not is_later_incarnation(entry.started_ms, earlier.started_ms)
