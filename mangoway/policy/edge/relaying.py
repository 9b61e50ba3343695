"""Selection of the peers through which an edge sends requests to runners."""

from collections.abc import Collection, Iterable
from random import Random

from attrs import define, field

from ...models.fleet import Member
from .const import PEER_AVOIDED_S


@define(eq=False)
class RelayPeers:
    """Peers of an edge, and which of them were not able to help recently."""

    incarnation: str
    """Incarnation of this edge."""

    data_centre: str
    random: Random
    _avoided_until: dict[str, float] = field(factory=dict, init=False)
    """Time until which a peer is avoided, by its incarnation."""

    def choose(
        self, edges: Iterable[Member], tried: Collection[str], now: float
    ) -> Member | None:
        """Return a peer for a request; None if there is none.

        A peer of the own data centre costs no traffic between data centres. If one of
        these is avoided, the others are probably cut off from the runners as well.

        Args:
            edges: Edges that are reachable, as far as is known.
            tried: Incarnations of the peers that were tried for this request.
            now: Time in seconds.
        """
        self._forget_past(now)
        known = [
            each
            for each in edges
            if each.incarnation != self.incarnation and each.incarnation not in tried
        ]
        usable = [each for each in known if each.incarnation not in self._avoided_until]
        local = [each for each in usable if each.data_centre == self.data_centre]
        remote = [each for each in usable if each.data_centre != self.data_centre]
        has_avoided = any(
            each.data_centre == self.data_centre
            and each.incarnation in self._avoided_until
            for each in known
        )
        preferred = remote if has_avoided or tried else local
        candidates = preferred or usable
        return self.random.choice(candidates) if candidates else None

    def avoid(self, peer: Member, now: float) -> None:
        """Avoid a peer for a while, since it could not help."""
        self._avoided_until[peer.incarnation] = now + PEER_AVOIDED_S

    def _forget_past(self, now: float) -> None:
        past = [key for key, until in self._avoided_until.items() if until <= now]
        for key in past:
            del self._avoided_until[key]
