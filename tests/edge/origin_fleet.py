"""Edges that exchange the origins of streams over a network in memory."""

import asyncio
from random import Random

from attrs import define, field

from mangoway.coordination.view import FleetView
from mangoway.edge.identity import identify_stream
from mangoway.edge.stream_origins import StreamOrigins
from mangoway.models.fleet import Member, Role
from mangoway.models.streams import StreamOrigin
from mangoway.observability.metrics import Metrics

from ..fakes.fleet import make_route, make_runner, make_table
from ..fakes.version_records import make_record_key

ROUTE = make_route(timeout_s=10.0)
RETENTION_S = 20.0
NETWORK_DELAY_S = 0.0015
DATAGRAM_HEADER_BYTES = 28
"""IPv4 and UDP."""

V1 = StreamOrigin(service="llm", software_version="v1", runner_id="")
V2 = StreamOrigin(service="llm", software_version="v2", runner_id="")


@define(eq=False)
class OriginEdge:
    """One edge."""

    member: Member
    origins: StreamOrigins
    is_running: bool = True
    age_s: float = 0.0
    """Age of its state of the store, which is relayed all the while."""

    known_at: float | None = None
    """Time up to which it knows the store; None unless it learns nothing more."""

    delay_s: float = 0.0
    """Time for which its datagrams are on their way beyond the usual."""

    sent_bytes: int = 0
    received_bytes: int = 0
    datagrams: int = 0

    def measure_age(self) -> float:
        return self.age_s if self.known_at is None else get_time() - self.known_at


@define(eq=False)
class OriginFleet:
    """Edges with the same view of the fleet."""

    size: int
    data_centres: int = 2
    versions: tuple[str, ...] = ("v1", "v2")
    loss: float = 0.0
    """Share of the datagrams that are lost."""

    random: Random = field(factory=lambda: Random(1))
    edges: list[OriginEdge] = field(factory=list, init=False)
    by_address: dict[str, OriginEdge] = field(factory=dict, init=False)
    runners: list[str] = field(init=False)
    listed: tuple[str, ...] = field(init=False)
    """Versions that the store lists: those of the runners, unless a test says so."""

    def __attrs_post_init__(self) -> None:
        self.runners = list(self.versions)
        self.listed = self.versions
        for number in range(self.size):
            self.add(number)
        for each in self.edges:
            each.origins.update()

    def add(self, number: int) -> OriginEdge:
        """Add an edge, which knows all others and all runners."""
        member = make_member(number, self.data_centres)
        view = FleetView(clock=get_time)
        view.apply_table(make_table(routes=(ROUTE,)))
        edge = OriginEdge(
            member,
            StreamOrigins(
                incarnation=member.incarnation,
                data_centre=member.data_centre,
                address=member.peer_address,
                view=view,
                metrics=Metrics(),
                clock=get_time,
            ),
        )
        edge.origins.measure_age = edge.measure_age
        edge.origins.send = lambda data, address: self._send(edge, data, address)
        view.on_change.append(edge.origins.handle_view_change)
        self.edges.append(edge)
        self.by_address[member.peer_address] = edge
        for each in self.edges:
            each.origins.view.members[f"members/{member.host}"] = member
            view.members[f"members/{each.member.host}"] = each.member
        for version in self.runners:
            view.update_runner(make_runner(f"r-{version}", software_version=version))
        self.list_versions(*self.listed)
        return edge

    def set_versions(self, *versions: str) -> None:
        """Replace the runners by one of each version."""
        removed = set(self.runners) - set(versions)
        self.runners = list(versions)
        self.list_versions(*versions)
        for edge in self.edges:
            view = edge.origins.view
            for version in removed:
                view.remove_runner(f"r-{version}", get_time())
            for version in versions:
                entry = make_runner(f"r-{version}", software_version=version)
                view.update_runner(entry)

    def list_versions(self, *versions: str) -> None:
        """Let the store list versions, and no others."""
        self.listed = versions
        for edge in self.edges:
            edge.origins.view.recorded_versions = {
                make_record_key(("llm", each)): ("llm", each) for each in versions
            }

    def begin_stream(self, edge: OriginEdge, name: str, origin: StreamOrigin) -> None:
        """Let an edge record a stream."""
        edge.origins.record(identify_stream(None, name), origin, ROUTE)

    async def async_find(self, edge: OriginEdge, name: str) -> StreamOrigin | None:
        """Return the origin that an edge finds."""
        digest = identify_stream(None, name)
        found = await edge.origins.async_find(digest, ("llm",))
        return getattr(found, "origin", None)

    def kill(self, edge: OriginEdge, *, is_known: bool = False) -> None:
        """End an edge.

        Args:
            edge: The edge.
            is_known: Whether the others know of it.
        """
        edge.is_running = False
        if is_known:
            for each in self.edges:
                each.origins.view.remove_member(f"members/{edge.member.host}")

    async def async_pass(self, seconds: float) -> None:
        """Let time pass."""
        steps = max(1, round(seconds / 0.5))
        for _ in range(steps):
            await asyncio.sleep(seconds / steps)
            for each in self.edges:
                if each.is_running:
                    each.origins.update()

    def _send(self, sender: OriginEdge, data: bytes, address: str) -> None:
        if not sender.is_running:
            return
        sender.sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
        sender.datagrams += 1
        if self.random.random() >= self.loss:
            loop = asyncio.get_running_loop()
            receiver = self.by_address[address]
            loop.call_later(
                NETWORK_DELAY_S + sender.delay_s,
                self._deliver,
                receiver,
                data,
                sender.member.peer_address,
            )

    def _deliver(self, receiver: OriginEdge, data: bytes, sender: str) -> None:
        if receiver.is_running:
            receiver.received_bytes += len(data) + DATAGRAM_HEADER_BYTES
            receiver.origins.handle_datagram(data, sender)


def make_member(number: int, data_centres: int) -> Member:
    """Return the announcement of an edge."""
    return Member(
        host=f"host-{number}",
        role=Role.EDGE,
        data_centre=f"dc{number % data_centres}",
        incarnation=f"incarnation-{number}",
        peer_address=f"10.0.0.{number}:1",
        caller_address=f"10.0.0.{number}:2",
    )


def get_time() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()
