"""Snapshot of the dispatch core for operators."""

from attrs import frozen

from ...models.identifiers import UpstreamId
from ...models.request import Target
from .breakers import BreakerState
from .core import DispatchCore


@frozen(kw_only=True)
class QueueStatus:
    """Waiting requests of one target."""

    target: Target
    urgent: int
    patient: int


@frozen(kw_only=True)
class UpstreamStatus:
    """State of one upstream in this gateway."""

    upstream_id: UpstreamId
    in_flight: int
    window: int
    breaker: BreakerState
    leaving: bool
    listed: bool
    reported_at: float | None


@frozen(kw_only=True)
class DispatchStatus:
    """Snapshot of the queues, upstreams and keys."""

    queues: tuple[QueueStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]
    requests: int
    """Number of requests in progress, including waiting ones."""

    attempts: int
    key_records: int
    retry_credits: float


def describe_dispatch(core: DispatchCore) -> DispatchStatus:
    """Return a snapshot; its cost grows with the number of upstreams and queues."""
    fleet = core.context.fleet
    queues = tuple(
        QueueStatus(
            target=queue.target,
            urgent=queue.urgent.length,
            patient=queue.patient.length,
        )
        for queue in core.context.queues.list_queues()
    )
    upstreams = tuple(
        UpstreamStatus(
            upstream_id=upstream.id,
            in_flight=upstream.in_flight,
            window=upstream.window.compute(fleet.gateway_count),
            breaker=upstream.breaker.state,
            leaving=upstream.leaving
            or (upstream.address is not None and upstream.address.leaving),
            listed=upstream.address is not None,
            reported_at=upstream.reported_at,
        )
        for upstream in fleet.upstreams.values()
    )
    return DispatchStatus(
        queues=queues,
        upstreams=upstreams,
        requests=len(core.requests.entries),
        attempts=len(core.attempts),
        key_records=len(core.keys),
        retry_credits=core.scheduler.budget.credits,
    )
