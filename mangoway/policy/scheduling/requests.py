"""Requests as the scheduling core holds them."""

from attrs import define

from .events import Asked

RequestKey = tuple[str, str]
"""Edge and request id."""


@define(eq=False)
class Waiting:
    """A request that waits for a runner."""

    asked: Asked
    arrived_at: float
    objective_at: float
    """Time until which its first event is on time."""

    leave_at: float
    """Time at which its caller leaves if nothing comes."""

    @property
    def key(self) -> RequestKey:
        """Return the key of the request."""
        return (self.asked.edge, self.asked.request_id)


@define(eq=False)
class Running:
    """A request that a runner was given."""

    asked: Asked
    runner_id: str
    granted_at: float
    unread_s: float
    """Reading time of its prompt at this runner."""

    unread_tokens: int
    first_event_s: float
    """Time from the end of its reading to its first event, as was expected."""

    kv_tokens: int
    """KV memory that it will take."""

    adopted: bool = False
    """Whether another granted it, so that the time of the grant isn't known."""

    read_at: float = 0.0
    """When its prompt should have been read."""

    stalled: bool = False
    """Whether a long prompt beside it has made it late already."""
