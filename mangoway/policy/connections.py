"""How many connections of clients a process keeps, and which one makes room."""

from collections.abc import Callable
from enum import Enum
from itertools import islice
from typing import Final, Generic, TypeVar

from attrs import define, field, frozen

CALLERS_SHARE: Final = 0.3
"""Share of the descriptors for connections of callers. Each of their requests takes
another one for a runner, and idle connections to runners are kept as well."""

DIRECTORY_SHARE: Final = 0.06
READY_SHARE: Final = 0.03
METRICS_SHARE: Final = 0.01

PEERS_SHARE: Final = 0.3
"""Share of the descriptors of a gateway or controller for other processes."""

MAX_PEERS: Final = 8192
MAX_CALLERS: Final = 2048
"""Connections of callers beyond which memory, not descriptors, is the limit. Each takes
some 10 KB without a request."""

MAX_DIRECTORY: Final = 512
MAX_READY: Final = 128
MAX_METRICS: Final = 32
UNNAMED_SHARE: Final = 0.1
FOLLOWERS_SHARE: Final = 0.5
"""Shares of a scheduler's descriptors for links whose other ends have yet to say who
they are, and for those of edges and standby schedulers."""

MAX_UNNAMED_LINKS: Final = 256
MAX_FOLLOWERS: Final = 16_384
MIN_CONNECTIONS: Final = 4
"""Connections that each listener keeps at least."""

MAX_PASSED_OVER: Final = 8
"""Unread responses that are passed over before a new connection is rejected."""

ConnectionT = TypeVar("ConnectionT")


class ConnectionState(Enum):
    """What a connection of a client waits for."""

    NEW = "new"
    """For the first byte; nothing was ever received."""

    IDLE = "idle"
    """For another request; all earlier ones were answered."""

    RECEIVING = "receiving"
    """For the rest of a request, which no handler has."""

    UNREAD = "unread"
    """For its client to read the end of a complete response."""

    BUSY = "busy"
    """For the response to a request that is handled."""


@frozen(kw_only=True)
class ConnectionLimits:
    """Most connections that the listeners of a process keep."""

    callers: int
    directory: int
    ready: int
    metrics: int
    unnamed_links: int
    followers: int
    peers: int


def choose_limits(descriptors: int) -> ConnectionLimits:
    """Return the limits of a process that may open a number of descriptors."""

    def choose(share: float, most: int) -> int:
        return min(most, max(MIN_CONNECTIONS, int(descriptors * share)))

    return ConnectionLimits(
        callers=choose(CALLERS_SHARE, MAX_CALLERS),
        directory=choose(DIRECTORY_SHARE, MAX_DIRECTORY),
        ready=choose(READY_SHARE, MAX_READY),
        metrics=choose(METRICS_SHARE, MAX_METRICS),
        unnamed_links=choose(UNNAMED_SHARE, MAX_UNNAMED_LINKS),
        followers=choose(FOLLOWERS_SHARE, MAX_FOLLOWERS),
        peers=choose(PEERS_SHARE, MAX_PEERS),
    )


@define(eq=False)
class ConnectionTable(Generic[ConnectionT]):
    """The connections of one listener by their states, in the order of entering them.

    All operations take constant time, so that a flood of new connections costs no more
    with many open ones.
    """

    limit: int
    may_cut: Callable[[ConnectionT], bool] = lambda connection: True
    """Returns whether a connection with an unread response may make room."""

    _states: dict[ConnectionT, ConnectionState] = field(factory=dict, init=False)
    _by_state: dict[ConnectionState, dict[ConnectionT, None]] = field(
        factory=lambda: {state: {} for state in ConnectionState}, init=False
    )

    def __len__(self) -> int:
        return len(self._states)

    def add(
        self, connection: ConnectionT
    ) -> tuple[ConnectionT, ConnectionState] | None:
        """Add a new connection.

        Returns:
            The connection to close for it, which is no longer in the table, with its
            state; the new one if no other may make room, and None if there is room.
        """
        chosen = None if len(self) < self.limit else self._choose(connection)
        if chosen is None or chosen[0] is not connection:
            self.set_state(connection, ConnectionState.NEW)
        if chosen is not None:
            self.remove(chosen[0])
        return chosen

    def set_state(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Set the state of a connection."""
        self.remove(connection)
        self._states[connection] = state
        self._by_state[state][connection] = None

    def update_state(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Set the state of a connection unless it was removed or has the state."""
        if self._states.get(connection, state) is not state:
            self.set_state(connection, state)

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection if it is in the table."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._by_state[state][connection]

    def _choose(self, newcomer: ConnectionT) -> tuple[ConnectionT, ConnectionState]:
        for state in (
            ConnectionState.NEW,
            ConnectionState.IDLE,
            ConnectionState.RECEIVING,
        ):
            for connection in self._by_state[state]:
                return connection, state
        unread = self._by_state[ConnectionState.UNREAD]
        for connection in islice(unread, MAX_PASSED_OVER):
            if self.may_cut(connection):
                return connection, ConnectionState.UNREAD
        return newcomer, ConnectionState.NEW
