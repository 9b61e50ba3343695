"""What the host list says, and the interface of whatever reads it."""

from typing import Protocol

from attrs import frozen

from ..models.identifiers import DataCentreId, HostId
from ..models.member import ProcessRole
from ..models.upstream import UpstreamAddress


@frozen(kw_only=True)
class ListedProcess:
    """A process of the system as the host list names it."""

    host: HostId
    role: ProcessRole
    data_centre: DataCentreId
    peer_address: str
    leaving: bool = False


@frozen(kw_only=True)
class HostListing:
    """One reading of the host list; it may lag behind what is."""

    upstreams: tuple[UpstreamAddress, ...] = ()
    processes: tuple[ListedProcess, ...] = ()
    skipped: tuple[str, ...] = ()
    """Why entries were left out, one text for each."""

    @property
    def is_empty(self) -> bool:
        """Return whether it names nothing at all."""
        return not self.upstreams and not self.processes

    def count_leaving(self) -> int:
        """Return the entries that are leaving."""
        leaving = [each.leaving for each in self.upstreams]
        leaving += [each.leaving for each in self.processes]
        return sum(leaving)


class HostList(Protocol):
    """The platform's list of hosts."""

    async def async_read(self) -> HostListing:
        """Read the list once.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE if there is no whole list to be had.
        """
        ...

    async def async_close(self) -> None:
        """Close the connections."""
        ...
