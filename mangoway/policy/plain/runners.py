"""The room that is assumed at one runner of a plain service."""

from attrs import define, field

from ...models.runner import RunnerEntry
from .const import (
    MAX_ROOM_FACTOR,
    MIN_ROOM,
    ROOM_DECREASE,
    ROOM_INCREASE,
    SERVICE_TIME_WEIGHT,
)
from .requests import PlainRunning, RequestKey


@define(eq=False)
class RunnerRoom:
    """Assumed room of a runner, the requests granted to it and its service time.

    Other edges may send requests without a grant, so the room follows the runner's
    answers: a rejection decreases it by a factor, and answers increase it by a slot
    while as many requests are served as it holds.
    """

    entry: RunnerEntry
    service_s: float
    """Mean time that the runner takes for a request."""

    room: float = field(init=False)
    """Requests that the runner is assumed to accept at once from all granted ones."""

    running: set[RequestKey] = field(factory=set, init=False)
    unreachable_from: set[str] = field(factory=set, init=False)
    """Edges that could not connect to the runner at their last attempt."""

    _decreased_at: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self.room = float(max(1, self.entry.slots))

    @property
    def slots(self) -> int:
        """Return the number of requests that the runner works on at once."""
        return max(1, self.entry.slots)

    @property
    def has_room(self) -> bool:
        """Return whether one more request may be granted."""
        return len(self.running) + 1 <= self.room

    @property
    def rate(self) -> float:
        """Return the requests per second that the runner can serve."""
        return min(self.room, self.slots) / self.service_s

    def estimate_seconds(self) -> float:
        """Return the expected time of one more request, with its wait for a slot."""
        excess = max(0, len(self.running) + 1 - self.slots)
        return self.service_s * (1 + excess / self.slots)

    def record_served(self, ended: PlainRunning, now: float) -> None:
        """Learn from a request that the runner has served."""
        # A request beyond the slots also waited for its share of the others' work.
        crowding = max(1.0, ended.running_at_grant / self.slots)
        seconds = max(0.001, (now - ended.granted_at) / crowding)
        self.service_s += SERVICE_TIME_WEIGHT * (seconds - self.service_s)
        limit = max(self.slots * MAX_ROOM_FACTOR, MIN_ROOM)
        self.room = min(limit, self.room + ROOM_INCREASE / self.room)

    def record_rejection(self, ended: PlainRunning, now: float) -> None:
        """Decrease the room, once for all requests that were under way together."""
        if ended.granted_at < self._decreased_at:
            return
        occupied = min(self.room, float(len(self.running) + 1))
        self.room = max(MIN_ROOM, ROOM_DECREASE * occupied)
        self._decreased_at = now
