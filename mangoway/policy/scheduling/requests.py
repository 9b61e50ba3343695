"""Requests as the scheduling core holds them."""

from attrs import define, field

from .events import GrantRequest
from .prefixes import SizedPart, list_parts

RequestKey = tuple[str, str]
"""Edge and request id."""

Rank = tuple[bool, int, int, float, int]
"""Place in the queue, smallest first: whether it is late, the rank of its customer and
of its route, the time that bounds it, and the number of its arrival."""


@define(eq=False)
class WaitingRequest:
    """A request that waits for a runner."""

    grant_request: GrantRequest
    arrived_at: float
    objective_at: float
    """Time until which its first event is on time."""

    deadline_at: float
    """Time at which its caller leaves if nothing comes."""

    late_at: float
    """Time from which its first event can't be on time any more."""

    arrival_number: int = 0
    """Number of its arrival."""

    rank: Rank = field(init=False, default=(False, 0, 0, 0.0, 0))
    key: RequestKey = field(init=False)
    parts: tuple[SizedPart, ...] = field(init=False)
    """The parts of its prompt, as runners keep them."""

    kv_tokens: int = field(init=False)
    """KV memory that it is expected to take."""

    def __attrs_post_init__(self) -> None:
        grant_request, prompt = self.grant_request, self.grant_request.prompt
        self.key = (grant_request.edge, grant_request.request_id)
        self.parts = list_parts(grant_request.model, grant_request.adapter, prompt)
        output = prompt.expected_output_tokens or prompt.max_output_tokens // 2
        output = min(output, prompt.max_output_tokens or output)
        self.kv_tokens = prompt.tokens + output

    def update_rank(self, *, late: bool) -> None:
        """Take its place among the requests that can be on time, or that can't."""
        bound = self.deadline_at if late else self.objective_at
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
    """A request that a runner was given."""

    grant_request: GrantRequest
    runner_id: str
    granted_at: float
    prefill_s: float
    """Reading time of its prompt at this runner."""

    prefill_tokens: int
    first_event_overhead_s: float
    """Time from the end of its reading to its first event, as was expected."""

    kv_tokens: int
    """KV memory that it will take."""

    adopted: bool = False
    """Whether another granted it, so that the time of the grant isn't known."""

    prefilled_at: float = 0.0
    """When its prompt should have been read."""

    stalled: bool = False
    """Whether a long prompt beside it has made it late already."""
