"""Queries to the processes of the system on behalf of an operator."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from attrs import frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.member import MemberState
from ..peers import peers_pb2 as pb
from ..peers.client import PeerClient, PeerClients
from ..settings.options import setting
from ..settings.parsers import parse_addresses

ReplyT = TypeVar("ReplyT")


@frozen(kw_only=True)
class InquirySettings:
    """Settings of an operator's query."""

    peers: tuple[str, ...] = setting(
        parse_addresses, "Peer addresses of any processes, separated by commas."
    )


@frozen(kw_only=True)
class FleetStatus:
    """Status of all processes that could be queried."""

    replies: tuple[pb.StatusReply, ...]
    unreachable: tuple[str, ...]
    """Peer addresses of known processes that did not respond."""

    @property
    def hosts(self) -> tuple[pb.HostStatus, ...]:
        """Return every known process once, sorted by host and role."""
        found = {
            host.incarnation: host for reply in self.replies for host in reply.hosts
        }
        # A process's own status takes precedence over what others report on it.
        found.update({reply.self.incarnation: reply.self for reply in self.replies})
        return tuple(sorted(found.values(), key=lambda host: (host.host, host.role)))

    @property
    def planner(self) -> pb.StatusReply | None:
        """Return the status of the controller that plans its cell; None without one."""
        return next((reply for reply in self.replies if reply.active), None)

    @property
    def queues(self) -> tuple[pb.QueueStatus, ...]:
        """Return the queue lengths by target, summed over all gateways."""
        sums: dict[str, pb.QueueStatus] = {}
        for queue in (queue for reply in self.replies for queue in reply.queues):
            entry = sums.setdefault(queue.target, pb.QueueStatus(target=queue.target))
            entry.urgent += queue.urgent
            entry.patient += queue.patient
        return tuple(sums[target] for target in sorted(sums))


async def async_read_fleet(peers: Iterable[str]) -> FleetStatus:
    """Read the status of the first peer that responds and of every process it knows.

    Raises:
        MangowayError: PEER_UNREACHABLE if none of the peers responds.
    """
    clients = PeerClients()
    try:
        first = await _async_read_first(clients, peers)
        addresses = {
            host.peer_address
            for host in first.hosts
            if host.state != MemberState.GONE.value
        }
        addresses.discard(first.self.peer_address)
        replies = await async_call_all(
            clients, addresses, lambda client: client.async_read_status()
        )
        unreachable = tuple(sorted(addresses - replies.keys()))
        return FleetStatus(replies=(first, *replies.values()), unreachable=unreachable)
    finally:
        clients.close()


async def async_explain(
    peers: Iterable[str], request: pb.ExplainRequest
) -> tuple[pb.ExplainEntry, ...]:
    """Return the matching decisions of every known process, oldest first."""
    fleet = await async_read_fleet(peers)
    addresses = {host.peer_address for host in fleet.hosts}
    clients = PeerClients()
    try:
        replies = await async_call_all(
            clients, addresses, lambda client: client.async_explain(request)
        )
    finally:
        clients.close()
    entries = [entry for reply in replies.values() for entry in reply.entries]
    return tuple(sorted(entries, key=lambda entry: entry.time))


async def async_call_all(
    clients: PeerClients,
    addresses: Iterable[str],
    call: Callable[[PeerClient], Awaitable[ReplyT]],
) -> dict[str, ReplyT]:
    """Call all addresses concurrently; those that do not respond are left out."""
    wanted = sorted(addresses)
    answers = await asyncio.gather(
        *(call(clients.get(address)) for address in wanted), return_exceptions=True
    )
    replies: dict[str, ReplyT] = {}
    for address, answer in zip(wanted, answers, strict=True):
        if isinstance(answer, MangowayError):
            continue
        if isinstance(answer, BaseException):
            raise answer
        replies[address] = answer
    return replies


async def _async_read_first(
    clients: PeerClients, peers: Iterable[str]
) -> pb.StatusReply:
    failures: list[str] = []
    for peer in peers:
        try:
            return await clients.get(peer).async_read_status()
        except MangowayError as error:
            failures.append(error.failure.detail)
    detail = "; ".join(failures) or "no peer address was given"
    raise MangowayError(ErrorCode.PEER_UNREACHABLE, detail)
