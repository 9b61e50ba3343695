"""Snapshot of the placement for operators."""

from collections import deque

from attrs import frozen

from ...models.artifact import Artifact
from ...models.identifiers import DataCentreId, UpstreamId
from ...models.order import Ledger
from .actions import Explain
from .load_queue import NeedRank
from .runners import CopyState
from .state import PlacementState


@frozen(kw_only=True)
class RunnerStatus:
    """Status of a runner with its ledger."""

    upstream_id: UpstreamId
    data_centre: DataCentreId
    leaving: bool
    silent: bool
    checks_fences: bool
    ledger: Ledger | None
    """Ledger as last read or written; None if absent or unknown."""

    orders: int
    """Number of orders that were sent and have no answer yet."""


@frozen(kw_only=True)
class CopyStatus:
    """Status of a copy on a runner."""

    upstream_id: UpstreamId
    state: CopyState


@frozen(kw_only=True)
class ArtifactStatus:
    """Status of an artifact with its floor, copies and demand."""

    artifact: Artifact
    floor: int
    """Number of ready copies to keep; 0 if it is no longer offered."""

    copies: tuple[CopyStatus, ...]
    requests_per_second: float


@frozen(kw_only=True)
class QueuedLoad:
    """A copy that waits to be loaded."""

    artifact: Artifact
    rank: NeedRank
    score: float
    blocked_s: float
    """Time for which no runner had room; 0 if no attempt has failed."""


@frozen(kw_only=True)
class Reason:
    """Explanation of why something was or was not done, with its time."""

    at: float
    """Time on the core's clock in seconds."""

    artifact: Artifact | None
    upstream_id: UpstreamId | None
    code: str
    detail: str


@frozen(kw_only=True)
class PlacementStatus:
    """Snapshot of the state and the queue of one controller."""

    is_active: bool
    runners: tuple[RunnerStatus, ...]
    artifacts: tuple[ArtifactStatus, ...]
    queue: tuple[QueuedLoad, ...]
    reasons: tuple[Reason, ...]
    """Explanations in order of time, newest last."""

    def find_reasons(self, artifact: Artifact) -> tuple[Reason, ...]:
        """Return the explanations about an artifact, newest last."""
        return tuple(reason for reason in self.reasons if reason.artifact == artifact)


def make_reason(action: Explain, now: float) -> Reason:
    """Return the explanation of an action with its time."""
    return Reason(
        at=now,
        artifact=action.artifact,
        upstream_id=action.upstream_id,
        code=action.reason,
        detail=action.detail,
    )


def build_status(
    state: PlacementState, is_active: bool, reasons: deque[Reason], now: float
) -> PlacementStatus:
    """Return a snapshot of the placement at time `now`."""
    artifacts = sorted(state.offered.keys() | state.copies.by_artifact.keys())
    return PlacementStatus(
        is_active=is_active,
        runners=_list_runners(state),
        artifacts=tuple(
            _make_artifact_status(state, artifact) for artifact in artifacts
        ),
        queue=_list_queue(state, now),
        reasons=tuple(reasons),
    )


def _list_runners(state: PlacementState) -> tuple[RunnerStatus, ...]:
    return tuple(
        RunnerStatus(
            upstream_id=runner.id,
            data_centre=runner.data_centre,
            leaving=runner.is_leaving,
            silent=runner.silent,
            checks_fences=runner.checks_fences,
            ledger=runner.ledger if runner.is_ledger_known else None,
            orders=len(runner.sent_orders),
        )
        for _, runner in sorted(state.runners.items())
    )


def _make_artifact_status(state: PlacementState, artifact: Artifact) -> ArtifactStatus:
    copies = sorted(state.copies.find(artifact).items())
    return ArtifactStatus(
        artifact=artifact,
        floor=state.offered.get(artifact, 0),
        copies=tuple(
            CopyStatus(upstream_id=upstream_id, state=copy_state)
            for upstream_id, copy_state in copies
        ),
        requests_per_second=state.demand.find(artifact).requests_per_second,
    )


def _list_queue(state: PlacementState, now: float) -> tuple[QueuedLoad, ...]:
    return tuple(
        QueuedLoad(
            artifact=need.artifact,
            rank=need.rank,
            score=need.score,
            blocked_s=state.queue.find_blocked_s(need.artifact, now),
        )
        for need in state.queue.list_all()
    )
