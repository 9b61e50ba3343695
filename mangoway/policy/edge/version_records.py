"""Decides which software versions of the runners a process records in the store.

A record outlives all processes: those that start after all others have ended learn from
it which versions have served within the life of a stream. Records are bound to leases
and rewritten while a version has runners, so that no host's clock is compared with
another one's.
"""

import math
from collections.abc import Callable, Hashable, Iterable, Mapping, Set
from typing import Final

from attrs import define, field
from xxhash import xxh64_intdigest

from ...models.routing import RouteKind, RoutingTable
from .const import RETENTION_TIMEOUTS
from .software_versions import ServiceVersion

DEFAULT_RETENTION_S: Final = 60.0
"""Time for which a stream counts as alive while no configuration states timeouts."""

MAX_LEASE_S: Final = 600.0
"""Longest lease that the platform grants. Of services whose streams may be resumed for
longer, versions are recorded for this time."""

REWRITES_PER_RETENTION: Final = 4.0
MIN_REWRITE_S: Final = 5.0
MAX_REWRITE_S: Final = 60.0
"""Records are rewritten four times in the life of a stream, within these bounds. Each
time costs the whole fleet two store calls."""

LATE_REWRITE_S: Final = 15.0
"""Time by which a lease outlasts the life of a stream and the time to the next rewrite:
for the delays of the writers, and for a store that doesn't respond for some seconds."""

MAX_EDGE_WRITERS: Final = 8
"""Edges that write if nobody else does. If so many fail, the store rejects writes, and
further calls only add to its load."""

EDGE_DELAY_S: Final = 1.0
"""Time for which each edge leaves a write to the scheduler and the edges before it:
longer than a write takes to be seen by all."""

MIRROR_DELAY_S: Final = 3.0
"""Time after an own write in which the mirrored state may still lack it."""

MAX_RECORDS: Final = 64
"""Versions that are recorded; a fleet has one or two of each service."""


def get_retention_s(table: RoutingTable | None) -> float:
    """Return the time for which a stream may be resumed after it has begun."""
    if table is None:
        return DEFAULT_RETENTION_S
    longest_s = max(
        (each.timeout_s for each in table.routes if each.kind is RouteKind.STREAMING),
        default=0.0,
    )
    return RETENTION_TIMEOUTS * longest_s


def list_streaming_services(table: RoutingTable) -> frozenset[str]:
    """Return the services that serve streams."""
    return frozenset(
        share.service
        for route in table.routes
        if route.kind is RouteKind.STREAMING
        for share in route.shares
    )


def choose_rewrite_s(retention_s: float) -> float:
    """Return the time after which records are rewritten.

    Args:
        retention_s: Time for which a stream may be resumed.
    """
    rewrite_s = retention_s / REWRITES_PER_RETENTION
    return min(MAX_REWRITE_S, max(MIN_REWRITE_S, rewrite_s))


def choose_lease_s(retention_s: float) -> float:
    """Return the time to live of the lease of records.

    Args:
        retention_s: Time for which a stream may be resumed.
    """
    wanted_s = retention_s + choose_rewrite_s(retention_s) + LATE_REWRITE_S
    return min(MAX_LEASE_S, math.ceil(wanted_s))


def choose_edge_delay_s(own: str, edges: Iterable[str]) -> float:
    """Return the delay of an edge's writes; infinite if it leaves them to others.

    Args:
        own: Key of the edge.
        edges: Keys of all announced edges.
    """
    own_hash = _hash(own)
    before = sum(_hash(each) < own_hash for each in edges)
    return math.inf if before >= MAX_EDGE_WRITERS else (before + 1) * EDGE_DELAY_S


@define(eq=False)
class RecordSchedule:
    """When the records were last written, as a process has seen it in the store."""

    _seen: dict[ServiceVersion, tuple[Hashable, float]] = field(
        factory=dict, init=False
    )
    """Latest revision of each record, and when it was first seen."""

    _missing_since: dict[ServiceVersion, float] = field(factory=dict, init=False)
    _written_at: dict[ServiceVersion, float] = field(factory=dict, init=False)
    """When this process last wrote a record."""

    _has_begun: bool = field(default=False, init=False)

    def list_due(
        self,
        *,
        now: float,
        rewrite_s: float,
        choose_delay_s: Callable[[], float],
        present: Set[ServiceVersion],
        recent: Set[ServiceVersion],
        written: Mapping[ServiceVersion, Hashable],
    ) -> list[ServiceVersion]:
        """Return the versions whose records this process must write now.

        Records that the store lacks are written, as it may have lost them. Those of
        versions with runners are rewritten after a while, all together, since each
        time takes a lease. The others expire.

        Args:
            now: Time in seconds.
            rewrite_s: Time after which a record is rewritten.
            choose_delay_s: Returns for how many seconds this process leaves a write to
                others. Called only if there is anything to write, as it iterates over
                all edges.
            present: Versions of the current runners.
            recent: Versions that this process has seen within the life of a stream.
            written: Revisions of the records in the store.
        """
        wanted = [*sorted(present), *sorted(recent - present)][:MAX_RECORDS]
        self._update_seen(written, now, rewrite_s)
        self._missing_since = {
            each: self._missing_since.get(each, now)
            for each in wanted
            if each not in written
        }
        kept = [each for each in wanted if each in present and each in written]
        kept_since = min((self._seen[each][1] for each in kept), default=now)
        if not self._missing_since and now < kept_since + rewrite_s:
            return []
        delay_s = choose_delay_s()
        if now < kept_since + rewrite_s + delay_s:
            kept = []
        missing = [
            each
            for each, since in self._missing_since.items()
            if now >= since + delay_s
        ]
        return [
            each
            for each in (*kept, *missing)
            if now >= self._written_at.get(each, -math.inf) + MIRROR_DELAY_S
        ]

    def record_written(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Record that this process has written records.

        Args:
            versions: Their versions.
            now: Time in seconds.
        """
        self._written_at = {
            each: at
            for each, at in self._written_at.items()
            if now < at + MIRROR_DELAY_S
        }
        self._written_at |= dict.fromkeys(versions, now)

    def _update_seen(
        self, written: Mapping[ServiceVersion, Hashable], now: float, rewrite_s: float
    ) -> None:
        """Record the revisions that are seen for the first time.

        The age of a record that a process finds at its start is unknown, so that it
        counts as due.
        """
        first_at = now if self._has_begun else now - rewrite_s
        self._has_begun = True
        self._seen = {
            each: self._seen[each]
            if each in self._seen and self._seen[each][0] == revision
            else (revision, first_at)
            for each, revision in written.items()
        }


def _hash(key: str) -> int:
    return xxh64_intdigest(key.encode())
