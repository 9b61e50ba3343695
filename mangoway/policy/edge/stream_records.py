"""Origins of recent streams, at the hosts that began them and at others."""

from collections.abc import Iterable, Iterator
from typing import Final

from attrs import define, field, frozen
from xxhash import xxh64_intdigest

from ...models.fleet import Member
from ...models.streams import StreamOrigin

MAX_RECORDS: Final = 30_000
"""Records that a host keeps, some 5 MB: those of its own streams and of two other
hosts for over three minutes, at 46 streams a second each."""

RING_SIZE: Final = 1 << 64
"""Number of hashes, by which hosts are arranged in a ring."""


@frozen
class StreamRecord:
    """Origin of one stream."""

    origin: StreamOrigin
    recorded_at: float
    is_own: bool
    """Whether the stream is one of this host, which must tell others of it."""


@define(eq=False)
class StreamRecords:
    """Origins by stream digest, the oldest first."""

    _records: dict[str, StreamRecord] = field(factory=dict, init=False)
    _origins: dict[StreamOrigin, StreamOrigin] = field(factory=dict, init=False)
    """Each origin once, as nearly all streams have one of few."""

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self, digest: str, origin: StreamOrigin, now: float, *, is_own: bool
    ) -> None:
        """Record the origin of a stream; an earlier record stays, as it can't change.

        Args:
            digest: Digest of the stream's caller and first request.
            origin: What wrote its first event.
            now: Time in seconds.
            is_own: Whether this host has sent its first event.
        """
        known = self._records.pop(digest, None)
        if known is not None:
            origin, is_own = known.origin, known.is_own or is_own
        elif len(self._records) >= MAX_RECORDS:
            del self._records[next(iter(self._records))]
        origin = self._origins.setdefault(origin, origin)
        self._records[digest] = StreamRecord(origin, now, is_own)

    def find(self, digest: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown."""
        record = self._records.get(digest)
        return None if record is None else record.origin

    def iterate_own(self, services: Iterable[str]) -> Iterator[str]:
        """Yield the digests of this host's streams at some services."""
        names = set(services)
        for digest, record in self._records.items():
            if record.is_own and record.origin.service in names:
                yield digest

    def forget(self, before: float) -> None:
        """Remove the records that are older than a time."""
        while self._records:
            digest = next(iter(self._records))
            if self._records[digest].recorded_at >= before:
                return
            del self._records[digest]
        self._origins.clear()


def choose_holders(
    own: str, data_centre: str, peers: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the peers that keep copies of a host's records: two, if there are.

    One is in the host's data centre, where traffic is cheap, and one in another, since
    a data centre may be lost at once. The choice is stable while others come and go.

    Args:
        own: Incarnation of the host.
        data_centre: Data centre of the host.
        peers: The other hosts.
    """
    ring = sorted(peers, key=lambda each: _measure_distance(own, each))
    near = [each for each in ring if each.data_centre == data_centre]
    far = [each for each in ring if each.data_centre != data_centre]
    if not near or not far:
        return tuple((near or far)[:2])
    return near[0], far[0]


def _measure_distance(own: str, peer: Member) -> int:
    """Return how far a peer is from a host in a ring of hashes.

    Neighbours spread the load: at random, some hosts would keep the records of six.
    """
    return (_hash(peer.incarnation) - _hash(own)) % RING_SIZE


def _hash(incarnation: str) -> int:
    return xxh64_intdigest(incarnation.encode())
