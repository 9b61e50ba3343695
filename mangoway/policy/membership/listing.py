"""Addresses to probe and leaving processes, from a host list that may be outdated."""

from attrs import define, field

from ...models.identifiers import IncarnationId
from ...models.member import Member
from .events import ListedHost


@define
class HostListing:
    """Listed addresses, and the incarnations that were listed as leaving."""

    _addresses: tuple[str, ...] = ()
    _leaving: dict[str, IncarnationId | None] = field(factory=dict)
    """Leaving incarnation by address; None while no process is known there."""

    def update(
        self, hosts: tuple[ListedHost, ...], incarnations: dict[str, IncarnationId]
    ) -> None:
        """Update the listing; `incarnations` are the known ones by address.

        An address that is listed as leaving refers to the first incarnation known
        there. A process that starts there later is not leaving, even if an outdated
        list still says so.
        """
        self._addresses = tuple(host.peer_address for host in hosts)
        leaving = {host.peer_address for host in hosts if host.leaving}
        self._leaving = {
            address: self._leaving.get(address) or incarnations.get(address)
            for address in leaving
        }

    def is_leaving(self, member: Member) -> bool:
        """Return whether this incarnation of a process was listed as leaving."""
        address = member.peer_address
        if address not in self._leaving:
            return False
        return self._leaving[address] in (None, member.incarnation)

    def list_unknown(self, known: set[str]) -> list[str]:
        """Return listed addresses at which no live process is known."""
        return [address for address in self._addresses if address not in known]
