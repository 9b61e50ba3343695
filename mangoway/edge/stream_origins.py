"""What the edges of a fleet know about the origins of streams.

A caller that has lost its edge resumes its stream at any other one. While a service has
runners of several software versions, an edge therefore sends the origins of its streams
to two others. Streams whose record was lost with all its holders are not sent on.
"""

import asyncio
from collections.abc import Callable, Iterable
from itertools import count
from typing import Final

from attrs import define, evolve, field, frozen

from ..coordination.view import FleetView
from ..models.fleet import Member
from ..models.routing import Route
from ..models.streams import StreamOrigin
from ..observability.failures import log_failure
from ..observability.metrics import Metrics
from ..policy.edge.const import (
    MAX_FIRST_PEERS,
    ORIGIN_QUERY_INTERVAL_S,
    ORIGIN_QUERY_TIMEOUT_S,
    RECORDS_INTERVAL_S,
)
from ..policy.edge.origin_search import (
    FoundOrigin,
    OriginAnswer,
    OriginBasis,
    OriginSearch,
    UnknownOrigin,
)
from ..policy.edge.route_services import RouteServices
from ..policy.edge.software_versions import (
    VersionEvidence,
    VersionHistory,
)
from ..policy.edge.stream_records import StreamRecords, choose_holders
from ..policy.edge.version_records import get_retention_s
from .origin_codec import (
    AnswerMessage,
    DatagramError,
    QueryMessage,
    RecordsMessage,
    decode_message,
    encode_answer,
    encode_query,
    encode_records,
)

OWN_RECORD: Final = "own"
"""Who stated an origin of which this host has a record."""

MAX_CURRENT_AGE_S: Final = 1.5
"""Age of a host's state, in seconds, up to which it counts as current: state that is
relayed, or that a host reads without a leading scheduler, is about a second old."""

AGREEMENT_S: Final = 1.0
"""Time in seconds for which hosts that agreed on the only version aren't asked again.
While the store is away, they would be asked for each stream that is resumed."""

COVER_TIMEOUT_S: Final = 1.0
"""Longest wait for this host's state to cover the arrival of a request, in seconds.
Callers wait for two seconds at most."""

COVER_CHECK_S: Final = 0.03
"""Time in seconds between two checks of whether it does."""

MAX_GAP_S: Final = 3.0
"""Age of a host's state, in seconds, from which runners may have come and gone without
being seen: the entry of a runner outlasts its last heartbeat by three of them."""


@define(eq=False)
class RunningSearch:
    """A search that waits for answers."""

    search: OriginSearch
    asked_at: float
    result: "asyncio.Future[None]"
    """Done once the result is certain."""


@frozen
class Agreement:
    """The only version that other hosts knew when they were asked."""

    found: FoundOrigin
    until: float
    """Time until which it counts."""

    has_current: bool
    """Whether the state of any of them was current."""


@define(eq=False, kw_only=True)
class StreamOrigins:
    """The origins of streams, as an edge and its peers know them."""

    incarnation: str
    data_centre: str
    address: str = ""
    """Address for datagrams of other edges."""

    view: FleetView
    metrics: Metrics
    clock: Callable[[], float]
    measure_age: Callable[[], float] = lambda: 0.0
    """Returns for how many seconds the state of the runners may be outdated."""

    send: Callable[[bytes, str], None] = lambda data, address: None
    """Sends a datagram to the address of a peer."""

    records: StreamRecords = field(factory=StreamRecords, init=False)
    history: VersionHistory = field(factory=VersionHistory, init=False)
    route_services: RouteServices = field(factory=RouteServices, init=False)
    _is_outdated: bool = field(default=True, init=False)
    """Whether the history lacks the latest change of the runners."""

    _pending: dict[str, StreamOrigin] = field(factory=dict, init=False)
    """Own streams of which the holders have not been told yet."""

    _mixed: frozenset[str] = field(default=frozenset(), init=False)
    """Services whose runners have had several versions recently, and those of routes
    that have had several services."""

    _holders: tuple[Member, ...] = field(default=(), init=False)
    _flush: asyncio.TimerHandle | None = field(default=None, init=False)
    _searches: dict[int, RunningSearch] = field(factory=dict, init=False)
    _agreements: dict[tuple[str, ...], Agreement] = field(factory=dict, init=False)
    """The only versions that others agreed on, by services."""

    _numbers: "count[int]" = field(factory=count, init=False)

    def handle_view_change(self) -> None:
        """Record that the runners may have changed."""
        self._is_outdated = True

    def record(self, digest: str, origin: StreamOrigin, route: Route) -> None:
        """Record the origin of a stream whose first event is about to be delivered.

        Args:
            digest: Digest of the stream.
            origin: What wrote the event.
            route: Route of the stream.
        """
        self.records.add(digest, origin, self.clock(), is_own=True)
        if not route.resumable:
            return
        if origin.service in self._mixed or len(self.list_services(route)) > 1:
            self._post(digest, origin)

    def list_services(self, route: Route) -> tuple[str, ...]:
        """Return the services that may have begun a stream of a route."""
        since = self.clock() - self._get_retention_s()
        return self.route_services.list_recent(route, since)

    def end(self, digest: str) -> None:
        """Tell no peer of a stream that its caller has received completely."""
        self._pending.pop(digest, None)

    async def async_find(
        self, digest: str, services: tuple[str, ...]
    ) -> FoundOrigin | UnknownOrigin:
        """Return the origin of a stream that a caller resumes.

        Args:
            digest: Digest of the stream.
            services: Services that may have begun it.
        """
        arrived_at = self.clock()
        own = self._answer(digest, services)
        if own.origin is None and len(own.evidence.versions) <= 1:
            await self._async_wait_covered(arrived_at)
            own = self._answer(digest, services)
        if own.origin is not None:
            return FoundOrigin(
                origin=own.origin, told_by=OWN_RECORD, basis=OriginBasis.OWN_RECORD
            )
        is_covered = self._covers(arrived_at)
        agreed = self._get_agreed(services, is_covered=is_covered)
        if agreed is not None and len(own.evidence.versions) <= 1:
            return agreed
        evidence = own.evidence
        if not is_covered:
            # Runners of another version may have joined since, and begun the stream.
            evidence = evolve(evidence, is_certain=False)
        search = OriginSearch(
            evidence,
            is_current=is_covered,
            backing=self._find_backing(services),
        )
        peers = self._list_peers()
        search.ask(each.peer_address for each in peers)
        result = search.get_result()
        if result is None:
            result = await self._async_search(
                search,
                peers,
                QueryMessage(
                    number=next(self._numbers), digest=digest, services=services
                ),
            )
        if isinstance(result, FoundOrigin):
            now = self.clock()
            if result.told_by:
                self.records.add(digest, result.origin, now, is_own=False)
            else:
                self._agreements[services] = Agreement(
                    result, now + AGREEMENT_S, has_current=search.has_certain_peer
                )
        return result

    def _covers(self, at: float) -> bool:
        """Return whether this host's state has all that was written before a time."""
        return self.measure_age() <= self.clock() - at

    async def _async_wait_covered(self, at: float) -> None:
        """Wait until this host's state covers a time, unless it is out of step.

        State that is relayed is some tenths of a second old. A stream that is resumed
        may have begun since at a runner that this host has yet to learn of.
        """
        give_up_at = at + COVER_TIMEOUT_S
        while not self._covers(at) and self._is_current():
            if self.clock() >= give_up_at:
                return
            await asyncio.sleep(COVER_CHECK_S)

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Handle a datagram of a peer.

        Args:
            data: The datagram.
            sender: Address of the peer.
        """
        try:
            message = decode_message(data)
        except DatagramError as error:
            log_failure(error)
            return
        if isinstance(message, RecordsMessage):
            self._store(message)
        elif isinstance(message, QueryMessage):
            answer = self._answer(message.digest, message.services)
            self.send(encode_answer(AnswerMessage(message.number, answer)), sender)
        else:
            self._handle_answer(message, sender)

    def update(self) -> None:
        """Update what changes with time: versions, holders and old records."""
        now = self.clock()
        self._update_history()
        past = now - self._get_retention_s()
        self.records.forget(past)
        self.history.forget(past)
        self.route_services.forget(past)
        self._update_mixed(past)
        if self._mixed:
            self._update_holders()

    def _store(self, message: RecordsMessage) -> None:
        now = self.clock()
        for origin, digests in message.rows:
            for digest in digests:
                self.records.add(digest, origin, now, is_own=False)

    def _answer(self, digest: str, services: tuple[str, ...]) -> OriginAnswer:
        """Return what this host knows about a stream."""
        if self._is_outdated:
            self._update_history()
        now = self.clock()
        since = now - self._get_retention_s()
        seen = self.history.list_recent(services, since)
        is_certain = self._is_current() and self.history.covers(since)
        # Records outlast the life of a stream, so that a host which knows better goes
        # by what it has seen.
        recorded = set() if is_certain else self.view.list_recorded_versions(services)
        evidence = VersionEvidence(
            versions=frozenset(seen | recorded),
            is_certain=is_certain,
            ages_s=self.history.measure_ages(seen, now),
        )
        return OriginAnswer(origin=self.records.find(digest), evidence=evidence)

    def _find_backing(self, services: tuple[str, ...]) -> OriginBasis | None:
        """Return what this host's knowledge of the versions of services rests on.

        If the store lists none of them, nobody has written the list, or only just now.
        """
        if self.view.list_recorded_versions(services):
            return OriginBasis.STORE_RECORDS
        since = self.clock() - self._get_retention_s()
        return OriginBasis.GAPPED_HISTORY if self.history.reaches(since) else None

    def _handle_answer(self, message: AnswerMessage, sender: str) -> None:
        found = self._searches.get(message.number)
        if found is None:
            return
        found.search.handle_answer(sender, message.answer)
        for version, age_s in message.answer.evidence.ages_s.items():
            self.history.learn(version, found.asked_at - age_s)
        if found.search.get_result() is not None and not found.result.done():
            found.result.set_result(None)

    def _get_agreed(
        self, services: tuple[str, ...], *, is_covered: bool
    ) -> FoundOrigin | None:
        """Return the only version that others have agreed on just now.

        Unless this host knows what has been written since, the others must be as far
        behind: one that is not may have begun streams of another version meanwhile.
        """
        agreement = self._agreements.get(services)
        if agreement is None or self.clock() >= agreement.until:
            return None
        if agreement.has_current and not is_covered:
            return None
        return agreement.found

    async def _async_search(
        self, search: OriginSearch, peers: list[Member], query: QueryMessage
    ) -> FoundOrigin | UnknownOrigin:
        """Ask peers, the nearest first, until the result is certain or time is up."""
        answered = asyncio.get_running_loop().create_future()
        running = RunningSearch(search, self.clock(), answered)
        self._searches[query.number] = running
        data = encode_query(query)
        asked = {each.peer_address for each in peers[:MAX_FIRST_PEERS]}
        try:
            async with asyncio.timeout(ORIGIN_QUERY_TIMEOUT_S):
                while not answered.done():
                    for address in asked & set(search.list_unanswered()):
                        self.send(data, address)
                    await asyncio.wait([answered], timeout=ORIGIN_QUERY_INTERVAL_S)
                    asked = {each.peer_address for each in peers}
        except TimeoutError:
            pass
        finally:
            del self._searches[query.number]
        return search.end()

    def _is_current(self) -> bool:
        return self.measure_age() <= MAX_CURRENT_AGE_S

    def _update_history(self) -> None:
        self._is_outdated = False
        if self.view.table is not None:
            now = self.clock()
            self.history.update(
                self.view.runners.values(),
                now,
                is_gapless=self.measure_age() <= MAX_GAP_S,
            )
            self.route_services.update(self.view.table.routes, now)

    def _update_mixed(self, since: float) -> None:
        """Update the services with several versions, and tell of their streams."""
        recorded = self.view.recorded_versions.values()
        counts = self.history.count_versions(since, recorded)
        for service, number in counts.items():
            self.metrics.service_versions.set(service, level=number)
        mixed = frozenset(each for each, number in counts.items() if number > 1)
        mixed |= self.route_services.list_moved()
        begun, self._mixed = mixed - self._mixed, mixed
        for digest in self.records.iterate_own(begun):
            self._post_known(digest)

    def _update_holders(self) -> None:
        """Choose the holders, and tell new ones of all streams."""
        peers = self._list_peers()
        holders = choose_holders(self.incarnation, self.data_centre, peers)
        known = {each.incarnation for each in self._holders}
        added = [each for each in holders if each.incarnation not in known]
        self._holders = holders
        if added:
            digests = self.records.iterate_own(self._mixed)
            pairs = ((each, self.records.find(each)) for each in digests)
            self._send_records(
                [(digest, origin) for digest, origin in pairs if origin is not None],
                added,
            )

    def _post_known(self, digest: str) -> None:
        origin = self.records.find(digest)
        if origin is not None:
            self._post(digest, origin)

    def _post(self, digest: str, origin: StreamOrigin) -> None:
        """Tell the holders of a stream, at once if they were told nothing just now."""
        self._pending[digest] = origin
        if self._flush is None:
            self._send_pending()

    def _send_pending(self) -> None:
        """Send what is pending, and no more before the interval is over."""
        self._flush = None
        pending, self._pending = self._pending, {}
        if not pending:
            return
        if not self._holders:
            self._update_holders()
        self._send_records(list(pending.items()), self._holders)
        loop = asyncio.get_running_loop()
        self._flush = loop.call_later(RECORDS_INTERVAL_S, self._send_pending)

    def _send_records(
        self, pairs: list[tuple[str, StreamOrigin]], holders: Iterable[Member]
    ) -> None:
        datagrams = encode_records(pairs)
        for each in holders:
            for data in datagrams:
                self.send(data, each.peer_address)
                self.metrics.origin_bytes.add(amount=len(data))

    def _list_peers(self) -> list[Member]:
        """Return the other edges, those of the own data centre first."""
        peers = [
            each
            for each in self.view.list_reachable_edges()
            # The announcement of an earlier life has the same address.
            if each.incarnation != self.incarnation
            and each.peer_address not in ("", self.address)
        ]
        peers.sort(key=lambda each: each.data_centre != self.data_centre)
        return peers

    def _get_retention_s(self) -> float:
        """Return the time for which a stream may be resumed after it has begun."""
        return get_retention_s(self.view.table)
