"""Decides which running streams go on at another runner, and accounts for them.

Streams are transferred away from runners that leave before the streams would end, and
patient streams make room for urgent requests whose model has no free slot. Only leaving
runners, and the runners of the models that urgent requests wait for, are examined.
"""

import math
from typing import Final

from attrs import define, field

from ...models.routing import EngineProfile
from ...models.runner import has_same_software
from .backups import expire_backup_at, expire_backups, use_backup
from .events import TransferReason, TransferStream
from .leaving import LeavingRunner
from .requests import RequestKey, RunningRequest
from .reservations import RESERVATION_S, Transfer
from .runners import RunnerState
from .state import SchedulingState

MAX_TRANSFERS_FROM_RUNNER: Final = 2
"""Transfers from one runner at a time. Copies share its link, and more at once would
pause all of them for longer."""

MAX_TRANSFERS_OF_STREAM: Final = 2
"""Transfers that are ordered for one stream, since each pauses it."""

MIN_REMAINING_S: Final = 0.5
"""Expected remaining time below which a stream isn't transferred: its end costs less
than a copy of its memory."""

TRANSFER_S: Final = 0.15
"""Time of a transfer: two calls at the source, of some 50 ms each, and the request to
the target. None is ordered later than this before the source may not be called."""

LENGTH_MARGIN: Final = 1.5
"""Factor by which a stream may outlast its expected length and should still end at a
leaving runner; the hint is right at the median only."""

MAX_EXAMINED_LEAVING: Final = 64
"""Leaving runners whose streams one event examines. Each takes 0.07 ms with 16 streams
that end in time; with 600 of them a tick took 42 ms, of the 50 ms between two."""

MAX_COMPARED_RUNNERS: Final = 24
"""Holders of the model that are compared as targets of one transfer."""


def plan_leaving(state: SchedulingState, now: float) -> list[TransferStream]:
    """Return the transfers of streams that would not end at a leaving runner.

    Of many leaving runners, those are examined whose last examination is the oldest.
    """
    if not len(state.leaving):
        return []
    runners = [
        each
        for each in state.leaving.list_by_end()
        if each.closes_at - now >= TRANSFER_S and _can_send(state, each)
    ]
    if len(runners) > MAX_EXAMINED_LEAVING:
        runners.sort(key=lambda each: each.examined_at)
        runners = runners[:MAX_EXAMINED_LEAVING]
        runners.sort(key=lambda each: each.gone_at)
    return _plan_runners(state, runners, now)


def _can_send(state: SchedulingState, leaving: LeavingRunner) -> bool:
    """Return whether a runner has streams and may transfer another one now."""
    source = leaving.runner
    transfers = state.transfers.count_from(source.runner_id)
    return bool(source.running) and transfers < MAX_TRANSFERS_FROM_RUNNER


def plan_changed(
    state: SchedulingState, runner_ids: tuple[str, ...], now: float
) -> list[TransferStream]:
    """Return the transfers from those of some runners that leave.

    Args:
        state: The core's state.
        runner_ids: Runners from which another stream may be transferred now.
        now: Time in seconds.
    """
    found = [state.leaving.get(each) for each in dict.fromkeys(runner_ids)]
    return _plan_runners(state, [each for each in found if each is not None], now)


def _plan_runners(
    state: SchedulingState, runners: list[LeavingRunner], now: float
) -> list[TransferStream]:
    actions: list[TransferStream] = []
    search = TargetSearch(state, now)
    for leaving in runners:
        if leaving.closes_at - now >= TRANSFER_S:
            leaving.examined_at = now
            actions += _plan_runner(state, leaving, search, now)
    return actions


@define(eq=False)
class TargetSearch:
    """Finds targets for many streams at one moment.

    Where no holder of a model has room for a stream, none is sought for longer ones.
    """

    state: SchedulingState
    now: float
    _without: dict[tuple[str, ...], int] = field(factory=dict, init=False)
    """Memory for which no holder has room, by edge, service, model, adapter and
    software version of the source."""

    def find(self, running: RunningRequest, source: RunnerState) -> RunnerState | None:
        """Return the best runner where a stream can go on."""
        grant_request = running.grant_request
        # Cooldowns differ between edges.
        wanted = (
            grant_request.edge,
            grant_request.service,
            grant_request.model,
            grant_request.adapter,
            source.entry.software_version,
        )
        if running.kv_tokens >= self._without.get(wanted, math.inf):
            return None
        target = find_target(self.state, running, source, self.now)
        if target is None and not (running.failed_targets or grant_request.excluded):
            self._without[wanted] = running.kv_tokens
        return target


def _plan_runner(
    state: SchedulingState, leaving: LeavingRunner, search: TargetSearch, now: float
) -> list[TransferStream]:
    source = leaving.runner
    free = MAX_TRANSFERS_FROM_RUNNER - state.transfers.count_from(source.runner_id)
    if free <= 0 or not source.running:
        return []
    actions: list[TransferStream] = []
    for key, running in _list_endangered(state, leaving, now):
        target = search.find(running, source)
        if target is None:
            continue
        reason = TransferReason.LEAVING
        actions.append(begin_transfer(state, key, running, target, reason, now))
        if len(actions) == free:
            break
    return actions


def _list_endangered(
    state: SchedulingState, leaving: LeavingRunner, now: float
) -> list[tuple[RequestKey, RunningRequest]]:
    """Return the streams that would not end in time.

    Those that can't be resumed otherwise come first, then those with the most time
    left.
    """
    engine = state.get_engine(leaving.runner.entry.service)
    if engine is None:
        return []
    endangered = []
    for key, running in leaving.runner.running.items():
        if not can_move(state, key, running):
            continue
        remaining_s = estimate_remaining_s(state, running, engine, now)
        if remaining_s < MIN_REMAINING_S:
            continue
        if now + LENGTH_MARGIN * remaining_s > leaving.gone_at:
            resumable = running.grant_request.resumable
            endangered.append((resumable, -remaining_s, key, running))
    endangered.sort(key=lambda each: each[:3])
    return [(key, running) for _, _, key, running in endangered]


def can_move(state: SchedulingState, key: RequestKey, running: RunningRequest) -> bool:
    """Return whether a running request is a stream that may be transferred now."""
    return (
        running.grant_request.streaming
        and running.first_event_at is not None
        and running.transfers < MAX_TRANSFERS_OF_STREAM
        and key[0] in state.transferring_edges
        and key not in state.transfers
    )


def estimate_remaining_s(
    state: SchedulingState, running: RunningRequest, engine: EngineProfile, now: float
) -> float:
    """Return the expected seconds until a running stream ends."""
    service = running.grant_request.service
    return state.get_stream_times(service).estimate_remaining_s(
        running, engine, state.get_slot_times(service), now
    )


def find_target(
    state: SchedulingState,
    running: RunningRequest,
    source: RunnerState,
    now: float,
    *,
    spare_slots: int = 0,
) -> RunnerState | None:
    """Return the best runner where a stream can go on.

    Args:
        state: The core's state.
        running: The stream.
        source: The runner where it runs.
        now: Time in seconds.
        spare_slots: Slots that must stay free at the target.
    """
    grant_request = running.grant_request
    avoided = state.find_avoided(grant_request.service, now)
    holders = state.list_holders(grant_request.service, grant_request.model, avoided)
    best: RunnerState | None = None
    best_cost = (False, 0.0)
    for runner in state.sample(holders, MAX_COMPARED_RUNNERS):
        free = runner.count_free_slots(state.limit_scale)
        if free <= spare_slots or not has_same_software(runner.entry, source.entry):
            continue
        if not _can_take(state, running, runner, now):
            continue
        # Traffic between data centres is billed.
        elsewhere = runner.entry.data_centre != source.entry.data_centre
        cost = (elsewhere, -free)
        if best is None or cost < best_cost:
            best, best_cost = runner, cost
    return best


def _can_take(
    state: SchedulingState, running: RunningRequest, runner: RunnerState, now: float
) -> bool:
    grant_request = running.grant_request
    if runner.runner_id in (*running.failed_targets, running.runner_id):
        return False
    # `only` isn't considered: a continuation counts as the same run.
    if runner.runner_id in grant_request.excluded:
        return False
    return (
        runner.is_ready(grant_request.model, grant_request.adapter, now)
        and runner.has_memory(running.kv_tokens)
        and state.measure_cooldown_s(grant_request, runner, now) == 0
        and state.measure_limit_wait_s(runner, now) == 0
    )


def begin_transfer(
    state: SchedulingState,
    key: RequestKey,
    running: RunningRequest,
    target: RunnerState,
    reason: TransferReason,
    now: float,
) -> TransferStream:
    """Reserve room at the target and return the order for the edge."""
    grant_request = running.grant_request
    artifact = (grant_request.model, grant_request.adapter)
    target.reservations.add(key, running.kv_tokens, artifact)
    state.limits.record_request(target.runner_id, target.entry.started_ms, now)
    running.transfers += 1
    state.transfers.add(
        Transfer(
            key=key,
            running=running,
            source_id=running.runner_id,
            target_id=target.runner_id,
            reason=reason,
            expires_at=now + RESERVATION_S,
        )
    )
    return TransferStream(
        edge=key[0],
        request_id=key[1],
        source_runner_id=running.runner_id,
        target_runner_id=target.runner_id,
        reason=reason,
    )


def end_transfer(state: SchedulingState, key: RequestKey) -> Transfer | None:
    """Release the reservation of a transfer and return the transfer."""
    transfer = state.transfers.pop(key)
    if transfer is not None:
        target = state.find_runner(transfer.target_id)
        if target is not None:
            target.reservations.remove(key)
    return transfer


def expire_reservations(state: SchedulingState, now: float) -> None:
    """Release reservations and copies whose time is over."""
    for key in state.transfers.list_expired(now):
        end_transfer(state, key)
    expire_backups(state, now)


def fail_transfer(state: SchedulingState, key: RequestKey, target_id: str) -> None:
    """Record that a stream was not transferred to a runner, and release its room."""
    transfer = state.transfers.get(key)
    if transfer is None or transfer.target_id != target_id:
        return
    end_transfer(state, key)
    transfer.running.failed_targets += (target_id,)


def move_stream(
    state: SchedulingState, key: RequestKey, runner_id: str, now: float
) -> RunnerState | None:
    """Move the accounting of a stream to the runner where it goes on.

    The request is found at its runner or, if that is gone, in its transfer or backup.

    Returns:
        The runner that it left, if that is known.
    """
    transfer, backup = end_transfer(state, key), state.backups.get(key)
    source = state.find_granted_runner(key)
    running = None if source is None else source.remove(key, now)
    if running is None and transfer is not None:
        running = transfer.running
    if running is None and backup is not None:
        running = backup.running
    if running is None:
        return None
    if transfer is not None and transfer.target_id == runner_id:
        # It goes on from the copy of the transfer, beside that of its backup.
        expire_backup_at(state, key, runner_id, now)
    else:
        use_backup(state, key, runner_id)
    target = state.find_runner(runner_id)
    state.granted[key] = runner_id
    if target is not None:
        target.add_moved(key, running)
    return source
