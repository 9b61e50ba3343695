"""Waiting and running requests of the scheduling core."""

import math

from attrs import define, field

from .events import GrantRequest
from .output_lengths import ExpectedMemory, get_output_hint
from .prefill_spans import PrefillSpan
from .prefixes import SizedPart, list_parts

RequestKey = tuple[str, str]
"""Edge and request id."""

Rank = tuple[bool, int, int, float, int]
"""Sort key of the queue, smallest first: whether the request is late, the ranks of its
customer and its route, its next time limit, and its arrival number."""


@define(eq=False)
class WaitingRequest:
    """A request that waits for a grant."""

    grant_request: GrantRequest
    arrived_at: float
    objective_at: float
    """Latest time at which its first event meets the objective."""

    deadline_at: float
    """Time at which its caller leaves without a first event."""

    late_at: float
    """Time from which its first event can no longer meet the objective."""

    continues: bool = False
    """Whether it is a stream that goes on for a caller who counts the pause; it ranks
    first among the requests of its priority until it is late."""

    deferrable: bool = False
    """Whether its placement can be deferred; only while it can be on time."""

    memory: ExpectedMemory | None = None
    """KV memory by the learned output lengths; None if `kv_tokens` is planned."""

    arrival_number: int = 0
    """Position in the order of arrival."""

    held: bool = field(init=False, default=False)
    """Whether it has waited so as not to delay running streams."""

    rank: Rank = field(init=False, default=(False, 0, 0, 0.0, 0))
    key: RequestKey = field(init=False)
    parts: tuple[SizedPart, ...] = field(init=False)
    """The parts of its prompt, as keys of the runners' prefix caches."""

    kv_tokens: int = field(init=False)
    """KV memory that it is expected to use."""

    service_s: float = 0.0
    """Time of the whole service that it is expected to take; 0 without shares."""

    def __attrs_post_init__(self) -> None:
        grant_request, prompt = self.grant_request, self.grant_request.prompt
        self.key = (grant_request.edge, grant_request.request_id)
        self.parts = list_parts(grant_request.model, grant_request.adapter, prompt)
        self.kv_tokens = prompt.tokens + get_output_hint(prompt)

    def update_rank(self, *, late: bool) -> None:
        """Update the sort key of the request.

        Args:
            late: Whether its first event can no longer be on time.
        """
        bound = self.deadline_at if late else self.objective_at
        if self.continues and not late:
            bound = -math.inf
        grant_request = self.grant_request
        self.rank = (
            late,
            grant_request.priority,
            grant_request.route_priority,
            bound,
            self.arrival_number,
        )


@define(eq=False)
class RunningRequest:
    """A request that was granted to a runner."""

    grant_request: GrantRequest
    runner_id: str
    granted_at: float
    prefill_s: float
    """Estimated prefill time of its prompt at this runner."""

    prefill_tokens: int
    first_event_overhead_s: float
    """Expected time from the end of its prefill to its first event."""

    kv_tokens: int
    """KV memory that it is expected to use."""

    memory: ExpectedMemory | None = None
    """KV memory by the learned output lengths; None if `kv_tokens` is planned."""

    adopted: bool = False
    """Whether another process granted it, so that the time of the grant is unknown."""

    prefilled_at: float = 0.0
    """Expected end of its prefill."""

    first_event_at: float | None = None
    """When its first event arrived; None if it has had none."""

    span: PrefillSpan | None = None
    """Its prefill among those of its runner; None where streams aren't protected."""

    stalled: bool = False
    """Whether a long prompt at the same runner has made it late already."""

    transfers: int = 0
    """Number of transfers that were ordered for it."""

    failed_targets: tuple[str, ...] = ()
    """Runners to which it could not be transferred."""
