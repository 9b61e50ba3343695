"""Choice of the processes that follow the key-value service for a data centre."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from ...models.identifiers import HostId
from .const import RELAYS


def choose_relays(hosts: Iterable[HostId]) -> frozenset[HostId]:
    """Return the relays among the live hosts of one data centre.

    The hosts with the lowest hash are chosen, so that a change of one host moves at
    most one relay and all processes agree without messages.
    """
    ranked = sorted(hosts, key=_rank)
    return frozenset(ranked[:RELAYS])


def _rank(host: HostId) -> tuple[int, HostId]:
    return xxh3_64_intdigest(host.encode()), host
