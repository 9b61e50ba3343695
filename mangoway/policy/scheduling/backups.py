"""Chooses runners that keep a copy of a stream's KV memory.

If the stream's own runner crashes, the stream goes on at its backup runner from its
last event. The copy is sent as the stream grows, and its memory counts at the backup
runner until the request has ended.
"""

from typing import Final

from ...models.runner import has_same_software
from .backup_table import Backup
from .events import GrantRequest
from .requests import RequestKey, RunningRequest
from .runners import RunnerState
from .state import SchedulingState

MIN_BACKUP_RUN_S: Final = 1.0
"""Expected length of a stream from which it gets a backup. A copy costs traffic for
each token, and a shorter stream seldom meets a crash."""

OWN_KV_SHARE: Final = 0.6
"""Share of a runner's KV memory that stays for its own runs. Copies fill at most the
rest, so that a runner with many copies still serves requests."""

SPARE_KV_SHARE: Final = 0.2
"""Share of a runner's KV memory that is free after a copy was placed there: outputs may
be longer than expected, and a runner beyond its memory crashes."""

SPARE_SLOTS: Final = 1.0
"""Free slots of a backup runner, as the stream needs one there after a crash."""

MAX_COMPARED_RUNNERS: Final = 8
"""Holders of the model that are compared for one backup. Any of them will do, and each
costs some microseconds of every grant."""


def back_up(state: SchedulingState, running: RunningRequest, now: float) -> str:
    """Reserve a backup for a request that is granted now.

    Returns:
        The backup runner; empty if the stream gets none.
    """
    grant_request = running.grant_request
    if grant_request.service not in state.backing_up or not _is_worthwhile(
        state, grant_request
    ):
        return ""
    runner = _choose_runner(state, running, now)
    engine = state.get_engine(grant_request.service)
    if runner is None or engine is None:
        return ""
    key = (grant_request.edge, grant_request.request_id)
    runner.backups.add(key, running.kv_tokens)
    state.backups.add(
        Backup(
            key=key,
            running=running,
            runner_id=runner.runner_id,
            handle_s=engine.handle_s,
        )
    )
    return runner.runner_id


def end_backup(
    state: SchedulingState, key: RequestKey, now: float, *, drop: bool
) -> None:
    """Release the backup of a request that has ended.

    Args:
        state: The core's state.
        key: The request.
        now: Time in seconds.
        drop: Whether no copy is left, since the request ended well or has not run. If
            not, the runner keeps the copy for a while.
    """
    backup = state.backups.pop(key)
    if backup is None:
        return
    if drop or backup.handle_s <= 0:
        _release(state, key, backup.runner_id)
    else:
        state.backups.expire_later(backup, now)


def use_backup(state: SchedulingState, key: RequestKey, runner_id: str) -> None:
    """Release the memory of a copy with which its stream goes on."""
    backup = state.backups.get(key)
    if backup is not None and backup.runner_id == runner_id:
        state.backups.pop(key)
        _release(state, key, runner_id)


def expire_backup_at(
    state: SchedulingState, key: RequestKey, runner_id: str, now: float
) -> None:
    """Release a copy later whose runner now runs the stream without using it."""
    backup = state.backups.get(key)
    if backup is not None and backup.runner_id == runner_id:
        end_backup(state, key, now, drop=False)


def expire_backups(state: SchedulingState, now: float) -> None:
    """Release the memory of copies that their runners have dropped."""
    for key, runner_id in state.backups.pop_expired(now):
        _release(state, key, runner_id)


def _release(state: SchedulingState, key: RequestKey, runner_id: str) -> None:
    runner = state.find_runner(runner_id)
    if runner is not None:
        runner.backups.remove(key)


def _is_worthwhile(state: SchedulingState, grant_request: GrantRequest) -> bool:
    service = grant_request.service
    engine = state.get_engine(service)
    if not grant_request.streaming or grant_request.resumable or engine is None:
        return False
    if grant_request.edge not in state.transferring_edges:
        return False
    expected_s = state.get_stream_times(service).estimate_s(
        grant_request, engine, state.get_slot_times(service)
    )
    return expected_s > MIN_BACKUP_RUN_S


def _choose_runner(
    state: SchedulingState, running: RunningRequest, now: float
) -> RunnerState | None:
    """Return the best backup runner, one in another data centre if there is any."""
    grant_request = running.grant_request
    avoided = state.find_avoided(grant_request.service, now)
    holders = state.list_holders(grant_request.service, grant_request.model, avoided)
    own = state.runners[running.runner_id]
    best: RunnerState | None = None
    best_cost = (False, 0.0)
    for runner in state.sample(holders, MAX_COMPARED_RUNNERS):
        if runner is own or not has_same_software(runner.entry, own.entry):
            continue
        if not _can_keep(state, running, runner, now):
            continue
        same = runner.entry.data_centre == own.entry.data_centre
        cost = (same, runner.count_kv_tokens())
        if best is None or cost < best_cost:
            best, best_cost = runner, cost
    return best


def _can_keep(
    state: SchedulingState, running: RunningRequest, runner: RunnerState, now: float
) -> bool:
    """Return whether a runner can serve a stream and has memory to spare for it."""
    grant_request, engine = running.grant_request, runner.engine
    if engine is None or runner.runner_id in grant_request.excluded:
        return False
    if not runner.is_ready(grant_request.model, grant_request.adapter, now):
        return False
    if runner.count_free_slots(state.limit_scale) < SPARE_SLOTS:
        return False
    capacity, tokens = engine.kv_capacity_tokens, running.kv_tokens
    if runner.backups.tokens + tokens > (1 - OWN_KV_SHARE) * capacity:
        return False
    if runner.count_kv_tokens() + tokens > (1 - SPARE_KV_SHARE) * capacity:
        return False
    # Requests that wait for this runner's room come before copies.
    queue = state.get_queue(grant_request.service)
    return not any(queue.count_model(model) for model in runner.models)
