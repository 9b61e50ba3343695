"""Division of fleet-wide allowances among edges, without coordination.

Each edge divides by the number of edges that it has seen recently. An edge without news
keeps its share for a horizon, and the others still count it for as long after it left.
The shares therefore don't add up to more than the whole, except when hosts are added
while other edges are without news.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from ...util.rendezvous import is_chosen
from ..limits.const import DISCONNECTED_SHARE, MAX_DISCONNECTED_EDGES
from .const import MEMBERS_POLL_S
from .retry_budget import AllowanceDivider


@define(eq=False)
class MemberSelection:
    """Selects members by hash, for an allowance too small to be divided among all.

    Each selection hashes all members, and is cached until the members change.
    """

    own: str = ""
    members: frozenset[str] = frozenset()
    _selected: dict[tuple[str, int], float] = field(factory=dict, init=False)

    def set_members(self, own: str, members: Iterable[str]) -> None:
        """Set the current members; the own key is added to them."""
        all_members = frozenset(members) | {own}
        if (own, all_members) != (self.own, self.members):
            self.own, self.members = own, all_members
            self._selected.clear()

    def get(self, subject: str, count: int) -> float:
        """Return 1 if this member is one of `count` selected for a subject, else 0."""
        selected = self._selected.get((subject, count))
        if selected is None:
            selected = float(is_chosen(self.own, self.members, subject, count))
            self._selected[subject, count] = selected
        return selected


@define(eq=False)
class FleetShare:
    """The share of one edge, computed from the members that it has seen.

    All times are on this host's boot clock, which continues while the host is
    suspended.
    """

    horizon_s: float
    """Age of the latest news of the fleet up to which an edge has a share."""

    own: str = ""
    """Key of this edge among the members."""

    _seen_at: dict[str, float] = field(factory=dict, init=False)
    """When each edge was last among the members, by key."""

    _selection: MemberSelection = field(factory=MemberSelection, init=False)
    _known_at: float = field(default=-math.inf, init=False)
    _share: float = field(default=0.0, init=False)

    def update(
        self, members: Iterable[str], known_at: float, now: float, *, joined: bool
    ) -> None:
        """Update the share from the current members.

        Args:
            members: Keys of the edges.
            known_at: Time up to which all changes of the members are included.
            now: Current time.
            joined: Whether this process is among the members.
        """
        for key in members:
            self._seen_at[key] = now
        # Members are polled: one that left may last have been seen one interval ago.
        min_seen_at = now - self.horizon_s - 2 * MEMBERS_POLL_S
        self._seen_at = {k: at for k, at in self._seen_at.items() if at > min_seen_at}
        self._known_at = known_at
        self._selection.set_members(self.own, self._seen_at)
        count = len(self._seen_at) + (0 if joined else 1)
        self._share = 1 / max(1, count)

    def make_divider(self, subject: str) -> AllowanceDivider:
        """Return a function that divides the allowances of a subject.

        If the share of each edge is below one credit, as many edges as there are
        credits get a whole credit, and all edges select the same ones: a fraction of a
        credit pays for no retry.
        """

        def divide(allowance: str, credits: float, share: float) -> float:
            part = credits * share
            if part >= 1 or share <= 0:
                return part
            return self._selection.get(f"{subject}/{allowance}", int(credits))

        return divide

    def measure(self, now: float) -> float:
        """Return the share of this edge at a time, 0 to 1."""
        is_current = now - self._known_at < self.horizon_s
        return self._share if is_current else 0.0


@define(eq=False)
class DisconnectedShare:
    """The share of a runner's limit that an edge uses while it is disconnected."""

    _selection: MemberSelection = field(factory=MemberSelection, init=False)

    def update(self, own: str, members: Iterable[str]) -> None:
        """Set the current edges; this one is always added."""
        self._selection.set_members(own, members)

    def measure(self, runner_id: str) -> float:
        """Return the share of a runner's limit, 0 to 1; 0 if other edges use it."""
        count = min(MAX_DISCONNECTED_EDGES, max(1, len(self._selection.members)))
        return DISCONNECTED_SHARE / count * self._selection.get(runner_id, count)
