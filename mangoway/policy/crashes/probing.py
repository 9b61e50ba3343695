"""Probes of blocked properties, which may have been blocked by mistake.

A property of many requests is not served while it is blocked, so that nothing would
show that it is harmless. One edge, which all processes choose alike, lets a single
request through.
"""

from collections.abc import Iterable
from hashlib import blake2b

from attrs import define, field

from ...models.crash import RequestIdentity
from .const import MAX_BLOCKED, MAX_PROBES, PROBE_AFTER_S, PROBE_INTERVAL_S


def choose_prober(shared: RequestIdentity, edges: Iterable[str]) -> str | None:
    """Return the edge that probes a property; None without edges."""
    return max(edges, key=lambda edge: _hash(shared, edge), default=None)


def _hash(shared: RequestIdentity, edge: str) -> bytes:
    return blake2b(f"{shared.text}/{edge}".encode(), digest_size=8).digest()


@define(eq=False)
class PropertyProbes:
    """The probes of one edge."""

    _times: dict[RequestIdentity, list[float]] = field(factory=dict, init=False)
    """Times of the probes of each blocked property that are left, the oldest first."""

    _running: set[RequestIdentity] = field(factory=set, init=False)
    """Requests that are probes."""

    def is_probe(self, identity: RequestIdentity) -> bool:
        """Return whether a request is a probe."""
        return identity in self._running

    def try_begin(
        self, identity: RequestIdentity, shared: RequestIdentity, now: float
    ) -> bool:
        """Return whether a request may probe a blocked property, and begin it."""
        if shared not in self._times:
            if len(self._times) >= MAX_BLOCKED:
                del self._times[next(iter(self._times))]
            first_at = now + PROBE_AFTER_S
            self._times[shared] = [
                first_at + number * PROBE_INTERVAL_S for number in range(MAX_PROBES)
            ]
        times = self._times[shared]
        if not times or now < times[0]:
            return False
        times.pop(0)
        self._running.add(identity)
        return True

    def end(self, identity: RequestIdentity) -> None:
        """End the probe of a request, if it is one."""
        self._running.discard(identity)
