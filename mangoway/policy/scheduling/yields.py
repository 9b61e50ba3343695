"""Patient streams that make room for urgent requests.

An urgent request may wait for a model whose holders have no free slot while runners of
other models idle. A patient stream at such a holder then moves to another runner of its
own model.
"""

from typing import Final

from .events import GrantRequest, TransferReason, TransferStream
from .queue import ServiceQueue
from .requests import RequestKey, RunningRequest, WaitingRequest
from .runners import RunnerState
from .state import SchedulingState
from .transfers import (
    MIN_REMAINING_S,
    TRANSFER_S,
    begin_transfer,
    can_move,
    estimate_remaining_s,
    find_target,
)

MAX_EXAMINED_MODELS: Final = 16
"""Models for which one tick looks for a stream that yields, in order of service."""

MAX_EXAMINED_HOLDERS: Final = 8
"""Holders of one model that are examined for streams."""

MAX_EXAMINED_STREAMS: Final = 4
"""Streams of one model's holders for which a target is sought, longest first."""

SPARE_SLOTS: Final = 1
"""Slots that stay free at the target, so that the stream doesn't take the place of the
next urgent request there."""

Candidate = tuple[float, RequestKey, RunningRequest, RunnerState]


def plan_yields(state: SchedulingState, now: float) -> list[TransferStream]:
    """Return the transfers that free slots for urgent requests, one per model."""
    actions: list[TransferStream] = []
    if not state.transferring_edges:
        return actions
    for service, queue in state.queues.items():
        if service not in state.transferring or not len(queue):
            continue
        firsts = sorted(_list_firsts(queue), key=lambda each: each.rank)
        for waiting in firsts[:MAX_EXAMINED_MODELS]:
            action = _free_slot(state, waiting, now)
            if action is not None:
                actions.append(action)
    return actions


def _list_firsts(queue: ServiceQueue) -> list[WaitingRequest]:
    """Return the first request of each model and adapter that requests wait for."""
    return [
        next(iter(artifact_queue))
        for model in queue.list_models()
        for artifact_queue in queue.get_artifacts(model).values()
    ]


def _free_slot(
    state: SchedulingState, waiting: WaitingRequest, now: float
) -> TransferStream | None:
    """Return a transfer that frees a slot for a request that can still be on time."""
    grant_request = waiting.grant_request
    if now + TRANSFER_S > waiting.late_at:
        return None
    avoided = state.find_avoided(grant_request.service, now)
    holders = [
        each
        for each in state.list_holders(
            grant_request.service, grant_request.model, avoided
        )
        if each.is_ready(grant_request.model, grant_request.adapter, now)
        and state.allows(grant_request, each, now)
    ]
    if any(each.count_free_slots(state.limit_scale) > 0 for each in holders):
        return None
    holders = state.sample(holders, MAX_EXAMINED_HOLDERS)
    if any(state.transfers.count_from(each.runner_id) for each in holders):
        # A slot is being freed already.
        return None
    candidates = [
        candidate
        for holder in holders
        for candidate in _list_patient(state, waiting, holder, now)
    ]
    candidates.sort(key=lambda each: each[:2])
    for _, key, running, holder in candidates[:MAX_EXAMINED_STREAMS]:
        target = find_target(state, running, holder, now, spare_slots=SPARE_SLOTS)
        if target is not None:
            reason = TransferReason.YIELDING
            return begin_transfer(state, key, running, target, reason, now)
    return None


def _list_patient(
    state: SchedulingState, waiting: WaitingRequest, holder: RunnerState, now: float
) -> list[Candidate]:
    """Return the less urgent resumable streams of a holder, with their time left."""
    engine = holder.engine
    if engine is None:
        return []
    if state.measure_limit_wait_s(holder, now) > 0:
        # The urgent request could not be sent there.
        return []
    urgency = _get_urgency(waiting.grant_request)
    candidates = []
    for key, running in holder.running.items():
        grant_request = running.grant_request
        if not grant_request.resumable or running.transfers:
            continue
        if _get_urgency(grant_request) <= urgency:
            continue
        if not can_move(state, key, running):
            continue
        if not holder.has_memory(waiting.kv_tokens - running.kv_tokens):
            continue
        remaining_s = estimate_remaining_s(state, running, engine, now)
        if remaining_s >= MIN_REMAINING_S:
            candidates.append((-remaining_s, key, running, holder))
    return candidates


def _get_urgency(grant_request: GrantRequest) -> tuple[int, int]:
    """Return the ranks of a request's customer and route; smaller is more urgent."""
    return grant_request.priority, grant_request.route_priority
