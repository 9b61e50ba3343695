"""Contents of the host list, and the interface of its adapters."""

from typing import Protocol

from attrs import frozen

from ..models.identifiers import DataCentreId, HostId
from ..models.member import ProcessRole
from ..models.upstream import UpstreamAddress


@frozen(kw_only=True)
class ListedProcess:
    """Process of this system as listed in the host list."""

    host: HostId
    role: ProcessRole
    data_centre: DataCentreId
    peer_address: str
    leaving: bool = False


@frozen(kw_only=True)
class HostListing:
    """Contents of the host list from one read; they may be out of date."""

    upstreams: tuple[UpstreamAddress, ...] = ()
    processes: tuple[ListedProcess, ...] = ()
    skipped: tuple[str, ...] = ()
    """For each skipped entry, its address and the reason."""

    @property
    def is_empty(self) -> bool:
        """Return whether the list has no usable entry."""
        return not self.upstreams and not self.processes

    def count_leaving(self) -> int:
        """Return the number of entries that are leaving."""
        leaving = [each.leaving for each in self.upstreams]
        leaving += [each.leaving for each in self.processes]
        return sum(leaving)


class HostList(Protocol):
    """The platform's list of hosts."""

    async def async_read(self) -> HostListing:
        """Read the list once.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE if no complete list can be read.
        """
        ...

    async def async_close(self) -> None:
        """Close all connections."""
        ...
