"""What the host list says; it seeds and confirms, but lags."""

from attrs import define, field

from ...models.identifiers import IncarnationId
from ...models.member import Member
from .events import ListedHost


@define
class HostListing:
    """Listed addresses, and the lives of processes that were listed as leaving."""

    _addresses: tuple[str, ...] = ()
    _leaving: dict[str, IncarnationId | None] = field(factory=dict)
    """By address, the life that leaves; None while no process is known there."""

    def update(
        self, hosts: tuple[ListedHost, ...], lives: dict[str, IncarnationId]
    ) -> None:
        """Take the list as it was read; `lives` are the known ones by address.

        A process that starts at an address after it was listed as leaving is not
        the one that leaves, even if the list lags and goes on to say so.
        """
        self._addresses = tuple(host.peer_address for host in hosts)
        leaving = {host.peer_address for host in hosts if host.leaving}
        self._leaving = {
            address: self._leaving.get(address) or lives.get(address)
            for address in leaving
        }

    def is_leaving(self, member: Member) -> bool:
        """Return whether this life of a process was listed as leaving."""
        address = member.peer_address
        if address not in self._leaving:
            return False
        return self._leaving[address] in (None, member.incarnation)

    def list_unknown(self, known: set[str]) -> list[str]:
        """Return listed addresses at which no live process is known."""
        return [address for address in self._addresses if address not in known]
