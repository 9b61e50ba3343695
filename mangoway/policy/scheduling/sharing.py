"""Charges customers for the runner time that their requests use.

A request takes a whole runner while its prompt is prefilled, and one of the runner's
slots until it ends. Its runner time is the prefill time plus the time in the slot,
divided by the number of slots.
"""

from typing import Final

from .events import EndKind, GrantRequest
from .requests import RequestKey, RunningRequest
from .state import SchedulingState

UNUSED_KINDS: Final = frozenset(
    {EndKind.NOT_RUN, EndKind.NOT_HELD, EndKind.UNREACHABLE}
)
"""Results of requests that used no time of a runner."""


def estimate_service_s(
    state: SchedulingState, grant_request: GrantRequest, prefill_s: float
) -> float:
    """Return the time of the whole service that a request is expected to take.

    Args:
        state: State of the scheduling core.
        grant_request: The request.
        prefill_s: Expected time of its prefill.

    Returns:
        The expected runner time divided by the number of runners, in seconds; 0 if
        customers don't share the service.
    """
    if state.get_shares(grant_request.service) is None:
        return 0.0
    runners = max(1, state.count_runners(grant_request.service))
    return _estimate_runner_s(state, grant_request, prefill_s) / runners


def estimate_waiting(state: SchedulingState) -> None:
    """Estimate the times of requests that wait when customers begin to share."""
    for service, queue in state.queues.items():
        estimator = state.prefill_estimators.get(service)
        for waiting in queue.list_sorted():
            grant_request = waiting.grant_request
            prefill_s = estimator.estimate(
                grant_request.model, grant_request.prompt.tokens
            )
            waiting.service_s = estimate_service_s(state, grant_request, prefill_s)


def charge_grant(
    state: SchedulingState, key: RequestKey, running: RunningRequest, now: float
) -> None:
    """Charge the customer of a request that is granted."""
    grant_request = running.grant_request
    shares = state.get_shares(grant_request.service)
    if shares is None:
        return
    seconds = _estimate_runner_s(state, grant_request, running.prefill_s)
    runners = state.count_runners(grant_request.service)
    rank = grant_request.priority
    shares.charge(key, grant_request.customer, seconds, runners, now, rank)


def settle_request(
    state: SchedulingState,
    key: RequestKey,
    running: RunningRequest | None,
    kind: EndKind,
    now: float,
) -> None:
    """Correct the charge of a request that ended by the time that it used.

    Args:
        state: State of the scheduling core.
        key: Edge and id of the request.
        running: The request; None if its runner is gone.
        kind: How it ended.
        now: Time in seconds.
    """
    used_s: float | None = None
    if kind in UNUSED_KINDS:
        used_s = 0.0
    elif running is not None:
        slots = _get_slots(state, running.grant_request.service)
        used_s = running.prefill_s + (now - running.granted_at) / slots
    for shares in state.shares.values():
        shares.settle(key, used_s)


def _estimate_runner_s(
    state: SchedulingState, grant_request: GrantRequest, prefill_s: float
) -> float:
    service = grant_request.service
    slot_s = state.get_slot_times(service).estimate(grant_request.model)
    return prefill_s + slot_s / _get_slots(state, service)


def _get_slots(state: SchedulingState, service: str) -> int:
    """Return the slots of a runner; 1 if the service has no engine."""
    engine = state.get_engine(service)
    return 1 if engine is None else max(1, engine.slots)
