"""Selection of the processes that watch the key-value service for a data centre."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from ...models.identifiers import HostId
from .const import RELAYS_PER_DATA_CENTRE


def choose_relays(hosts: Iterable[HostId]) -> frozenset[HostId]:
    """Return the relays among the live hosts of one data centre.

    The hosts with the lowest hashes are selected, so that a change of one host moves
    at most one relay, and all processes agree without messages.
    """
    ranked = sorted(hosts, key=_get_rank)
    return frozenset(ranked[:RELAYS_PER_DATA_CENTRE])


def _get_rank(host: HostId) -> tuple[int, HostId]:
    return xxh3_64_intdigest(host.encode()), host
