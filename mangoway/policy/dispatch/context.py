"""State that the parts of the dispatch core share."""

from random import Random

from attrs import define, field

from ...models.errors import Failure
from ...models.identifiers import IncarnationId, RequestId, UpstreamId
from ...models.offer import Configuration
from .actions import DispatchAction, Explain
from .const import REASON_REJECTED_PREFIX
from .demand import DemandMeter
from .estimates import Estimates
from .fleet import Fleet
from .options import DispatchOptions
from .queues import Queues
from .timers import Timers


@define(eq=False)
class Context:
    """Shared state, current time and the actions to return."""

    identity: IncarnationId
    rng: Random
    options: DispatchOptions
    fleet: Fleet
    queues: Queues
    timers: Timers = field(factory=Timers)
    estimates: Estimates = field(factory=Estimates)
    demand: DemandMeter = field(factory=DemandMeter)
    configuration: Configuration | None = None
    now: float = 0.0
    actions: list[DispatchAction] = field(factory=list)

    def emit(self, action: DispatchAction) -> None:
        """Add an action to those that the current event returns."""
        self.actions.append(action)

    def explain(
        self,
        request_id: RequestId,
        reason: str,
        upstream_id: UpstreamId | None = None,
        detail: str = "",
    ) -> None:
        """Emit the reason for a decision about a request."""
        self.emit(
            Explain(
                request_id=request_id,
                reason=reason,
                upstream_id=upstream_id,
                detail=detail,
            )
        )

    def explain_failure(self, request_id: RequestId, failure: Failure) -> None:
        """Emit the reason why a request was rejected."""
        reason = REASON_REJECTED_PREFIX + failure.code.value
        self.explain(request_id, reason, detail=failure.detail)
