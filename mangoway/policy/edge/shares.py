"""Divides what the whole fleet may do among its edges, without a vote.

Each edge divides by the edges that it knows. Their parts never add up to more than the
whole, since an edge has one only while it surely counts all others that may have one:
it knows the members as they were a horizon ago or later, it joined before that, and it
counts those that left for as long as they may not know it.
"""

import math
from collections.abc import Iterable

from attrs import define, field, frozen

from .const import BASE_HORIZONS, LOOK_S


@frozen
class Shares:
    """Parts of the fleet's whole that an edge has, 0 to 1."""

    base: float
    """That each edge has, also one that has just started."""

    shared: float
    """That edges have who surely know each other."""


NO_SHARES = Shares(0.0, 0.0)


@define(eq=False)
class FleetShares:
    """The parts of one edge, from the members that it knows.

    All times are on this host's boot clock, which runs on while the host is suspended.
    """

    horizon_s: float
    """Age of an edge's knowledge up to which it has a part of what is shared."""

    _seen_at: dict[str, float] = field(factory=dict, init=False)
    """When each edge was last among the members."""

    _known_at: float = field(default=-math.inf, init=False)
    _joined_at: float = field(default=math.inf, init=False)
    _shared: float = field(default=0.0, init=False)
    _base: float = field(default=0.0, init=False)

    def update(
        self, members: Iterable[str], known_at: float, now: float, *, joined: bool
    ) -> None:
        """Take the edges as they are known now.

        Args:
            members: Their keys.
            known_at: Time up to which all changes are known here.
            now: Present time.
            joined: Whether this process is among them.
        """
        for key in members:
            self._seen_at[key] = now
        self._known_at = known_at
        self._joined_at = min(self._joined_at, now) if joined else math.inf
        base_from = now - BASE_HORIZONS * self.horizon_s
        self._seen_at = {k: at for k, at in self._seen_at.items() if at >= base_from}
        # Members are looked at now and then: one that left was seen up to a look ago.
        shared_from = now - self.horizon_s - 2 * LOOK_S
        near = sum(1 for at in self._seen_at.values() if at >= shared_from)
        others = 0 if joined else 1
        self._shared = 1 / max(1, near + others)
        self._base = 1 / max(1, len(self._seen_at) + others)

    def measure(self, now: float) -> Shares:
        """Return the parts that this edge has at a time."""
        age_s = now - self._known_at
        if age_s > BASE_HORIZONS * self.horizon_s:
            return NO_SHARES
        is_sure = age_s <= self.horizon_s and now >= self._joined_at + self.horizon_s
        return Shares(self._base, self._shared if is_sure else 0.0)
