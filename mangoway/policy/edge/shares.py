"""Divides what the whole fleet may do among its edges, without a vote.

Each edge divides by the edges that it has known lately. One that hears nothing keeps
its share for a horizon, and the others count it for as long from its end on. So their
shares don't add up to more than the whole, but for hosts that are added while others
hear nothing.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from ...util.rendezvous import is_chosen
from ..limits.const import DISCONNECTED_SHARE, MAX_DISCONNECTED_EDGES
from .const import MEMBERS_POLL_S
from .retry_budget import Divider


@define(eq=False)
class Choice:
    """Which members have a part of something that can't be divided among all.

    Each choice hashes all members, and is kept until these change.
    """

    own: str = ""
    members: frozenset[str] = frozenset()
    _chosen: dict[tuple[str, int], float] = field(factory=dict, init=False)

    def set_members(self, own: str, members: Iterable[str]) -> None:
        """Take the members as they are known now, this one included."""
        known = frozenset(members) | {own}
        if (own, known) != (self.own, self.members):
            self.own, self.members = own, known
            self._chosen.clear()

    def get(self, subject: str, count: int) -> float:
        """Return 1 if this member is one of `count` that have a subject, else 0."""
        chosen = self._chosen.get((subject, count))
        if chosen is None:
            chosen = float(is_chosen(self.own, self.members, subject, count))
            self._chosen[subject, count] = chosen
        return chosen


@define(eq=False)
class FleetShare:
    """The share of one edge, from the members that it knows.

    All times are on this host's boot clock, which runs on while the host is suspended.
    """

    horizon_s: float
    """Age of an edge's knowledge up to which it has a share."""

    own: str = ""
    """The key of this edge among the members."""

    _seen_at: dict[str, float] = field(factory=dict, init=False)
    """When each edge was last among the members."""

    _choice: Choice = field(factory=Choice, init=False)
    _known_at: float = field(default=-math.inf, init=False)
    _share: float = field(default=0.0, init=False)

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
        # Members are looked at now and then: one that left was seen up to a look ago.
        counted_from = now - self.horizon_s - 2 * MEMBERS_POLL_S
        self._seen_at = {k: at for k, at in self._seen_at.items() if at > counted_from}
        self._known_at = known_at
        self._choice.set_members(self.own, self._seen_at)
        count = len(self._seen_at) + (0 if joined else 1)
        self._share = 1 / max(1, count)

    def make_divider(self, subject: str) -> Divider:
        """Return what divides the allowances of a subject.

        Where the share of each edge is below one credit, as many edges as there are
        credits have a whole one, chosen alike by all: parts of credits pay nothing.
        """

        def divide(allowance: str, credits: float, share: float) -> float:
            part = credits * share
            if part >= 1 or share <= 0:
                return part
            return self._choice.get(f"{subject}/{allowance}", int(credits))

        return divide

    def measure(self, now: float) -> float:
        """Return the share that this edge has at a time, 0 to 1."""
        is_current = now - self._known_at < self.horizon_s
        return self._share if is_current else 0.0


@define(eq=False)
class DisconnectedShare:
    """The part of a runner's limit that an edge uses while it reaches no scheduler."""

    _choice: Choice = field(factory=Choice, init=False)

    def update(self, own: str, members: Iterable[str]) -> None:
        """Take the edges as they are known now; this one is among them in any case."""
        self._choice.set_members(own, members)

    def measure(self, runner_id: str) -> float:
        """Return the part of a runner's limit, 0 to 1."""
        count = min(MAX_DISCONNECTED_EDGES, max(1, len(self._choice.members)))
        return DISCONNECTED_SHARE / count * self._choice.get(runner_id, count)
