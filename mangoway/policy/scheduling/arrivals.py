"""What the scheduling core derives from a request that arrives."""

from ..customers.const import OVER_QUOTA
from .const import MIN_RETRY_AFTER_S
from .deferral import is_deferrable
from .events import GrantRequest, Reject
from .protection import find_pause_limit_s
from .requests import WaitingRequest
from .sharing import estimate_service_s
from .state import SchedulingState


def record_demand(state: SchedulingState, event: GrantRequest, now: float) -> None:
    """Count a request as demand, unless it is the retry of a rejected one."""
    if state.rejected_requests.pop_recent(event.model, event.prompt, now):
        return
    prefill_s = state.prefill_estimators.get(event.service).estimate(
        event.model, event.prompt.tokens
    )
    state.demand.record_request(event.service, event.model, prefill_s, now)
    if _is_deferrable(state, event):
        state.deferrable_demand.record_request(event.service, event.model, now)


def _is_deferrable(state: SchedulingState, event: GrantRequest) -> bool:
    if not state.defers_placement(event.service):
        return False
    return is_deferrable(event, state.get_model(event.service, event.model))


def make_waiting(
    state: SchedulingState, grant_request: GrantRequest, now: float
) -> WaitingRequest:
    """Return the waiting request of a grant request, with its limits and estimates."""
    estimator = state.prefill_estimators.get(grant_request.service)
    prefill_s = estimator.estimate(grant_request.model, grant_request.prompt.tokens)
    objective_at = now + grant_request.objective_left_s
    late_at = objective_at - prefill_s - estimator.first_event_overhead_s
    continues = grant_request.interrupted and state.protects(grant_request.service)
    if continues and state.table is not None:
        late_at = now + find_pause_limit_s(state.table, grant_request)
    return WaitingRequest(
        grant_request=grant_request,
        arrived_at=now,
        objective_at=objective_at,
        deadline_at=now + grant_request.patience_left_s,
        late_at=late_at,
        continues=continues,
        deferrable=_is_deferrable(state, grant_request),
        service_s=estimate_service_s(state, grant_request, prefill_s),
        memory=state.memory_estimator.estimate(
            state.table, grant_request.service, grant_request.prompt
        ),
    )


def reject_over_quota(event: GrantRequest, wait_s: float) -> Reject:
    """Return the rejection of a request whose customer has exceeded its quota."""
    return Reject(
        edge=event.edge,
        request_id=event.request_id,
        retry_after_s=round(max(wait_s, MIN_RETRY_AFTER_S), 3),
        reason=OVER_QUOTA,
        over_quota=True,
    )


def make_rejection(event: GrantRequest, retry_after_s: float, reason: str) -> Reject:
    """Return the rejection of a request."""
    return Reject(
        edge=event.edge,
        request_id=event.request_id,
        retry_after_s=retry_after_s,
        reason=reason,
    )
