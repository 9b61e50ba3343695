"""Callers that resolve addresses, reuse connections and check responses."""

import asyncio
import time
from itertools import count
from random import Random

import aiohttp
from attrs import define, evolve, field

from .order import EVENT_COUNT, EventIds, encode_event, parse_events
from .records import RETRY_STATUSES, Call, Kind, Records, make_record_id
from .runners import CRASH_MARK, TRY_FIELD

DEADLINE_S = 3.0
GIVE_UP_SHARE = 0.03
RETRIES = 3
"""Maximum number of times that a caller resends a rejected or failed request."""

EQUAL_SHARE = 0.2
"""Share of the requests that differ from each other by their model only."""

DIRECTORY_TIMEOUT_S = 1.0
HOST = "soak.example"
PATHS = {
    Kind.SAFE: "/safe/x",
    Kind.ONCE: "/once/x",
    Kind.STREAM: "/stream/x",
    Kind.FIXED_STREAM: "/fixed/x",
}
CHOICES = (Kind.SAFE, Kind.ONCE, Kind.ONCE, Kind.STREAM, Kind.STREAM, Kind.FIXED_STREAM)
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

_request_numbers = count(1)


@define(eq=False)
class Caller:
    """A caller that reuses its connections."""

    random: Random
    records: Records
    directories: list[str]
    models: list[str]
    popular_models: list[str]
    """Models that most requests use; a fault of the soak changes them."""

    keeps_ids: bool = False
    """Whether it sends a request again under its ID."""

    event_ids: EventIds = EventIds.RISING
    """IDs that the events of streams must have."""

    _addresses: list[str] = field(factory=list, init=False)
    _addresses_valid_until: float = field(default=0.0, init=False)
    _avoided_edges: set[str] = field(factory=set, init=False)

    async def async_run(self) -> None:
        """Send one request after the other until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                edge = await self._async_choose_edge(session)
                if edge is None:
                    await asyncio.sleep(0.1)
                    continue
                await self._async_send(session, edge)
                await asyncio.sleep(self.random.uniform(0.01, 0.1))

    async def _async_send(self, session: aiohttp.ClientSession, edge: str) -> None:
        """Send a request, and resend it where that is safe."""
        kind = self.random.choice(CHOICES)
        call = await self.async_call(session, edge, kind)
        for _ in range(RETRIES):
            may_resend = call.status in RETRY_STATUSES or not kind.runs_once
            if call.whole or call.given_up or not may_resend:
                return
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            other_edge = await self._async_choose_edge(session)
            if other_edge is None:
                return
            call = await self.async_call(session, other_edge, kind, original=call)

    async def async_call(
        self,
        session: aiohttp.ClientSession,
        edge: str,
        kind: Kind,
        version: int | None = None,
        crashing: str = "",
        original: Call | None = None,
        shared_part: str = "",
    ) -> Call:
        """Send one request and check its response.

        Args:
            session: HTTP session with the reused connections.
            edge: Address of the edge.
            kind: Whether the request may be retried or resumed.
            version: Version of the configuration that added its route; None for the
                first routes.
            crashing: Name of the request if it crashes its runners.
            original: Earlier call with the same content; None for a new request.
            shared_part: ID of a part of its prompt that other requests share.
        """
        sent_id, tries = f"{next(_request_numbers):08x}", 0
        if original is not None and self.keeps_ids:
            sent_id, tries = original.sent_id, original.tries + 1
        request_id = make_record_id(sent_id, tries)
        call = Call(
            request_id=request_id,
            sent_id=sent_id,
            tries=tries,
            kind=kind,
            edge=edge,
            sent_at=time.monotonic(),
            version=version,
            crashing=crashing,
        )
        self._choose_fields(call, original)
        call.shared_part = f"{shared_part}:20," if shared_part else ""
        call.key = self._choose_key(call, original)
        path = PATHS[kind] if version is None else f"/added-{version}/x"
        self.records.calls[request_id] = call
        gives_up = self.random.random() < GIVE_UP_SHARE and version is None
        gives_up = gives_up and not crashing
        patience_s = 0.05 if gives_up else DEADLINE_S + 1.0
        try:
            async with asyncio.timeout(patience_s):
                await self._async_exchange(session, call, f"http://{edge}{path}")
        except TimeoutError:
            call.given_up = True
        except CONNECT_ERRORS:
            # Nothing was sent, so that there is nothing to check.
            del self.records.calls[request_id]
            self._avoided_edges.add(edge)
        except (aiohttp.ClientError, ConnectionError):
            call.was_disconnected = True
            self._avoided_edges.add(edge)
        call.ended_at = time.monotonic()
        return call

    async def _async_exchange(
        self, session: aiohttp.ClientSession, call: Call, url: str
    ) -> None:
        body = b"x" * 50
        if call.crashing:
            body = CRASH_MARK + call.crashing.encode()
        headers = {
            "Host": HOST,
            "X-Request-Id": call.sent_id,
            TRY_FIELD: str(call.tries),
            "Authorization": f"Bearer {call.key}",
            # The edge must replace it by the customer that the key belongs to.
            "X-Tenant": "somebody else",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Model": call.model,
            "X-Token-Usage": "100,40",
            "X-Prompt-Prefix": f"a1:60,{call.shared_part}{call.subject}:40",
        }
        async with session.post(url, headers=headers, data=body) as response:
            call.status = response.status
            call.signature = response.headers.get("X-Response-Signature", "")
            self._record_signals(call, response)
            answer = await _async_read(call, response)
        if call.status == 200:
            call.whole = True
            call.mixed = find_response_fault(call, answer, self.event_ids)
        elif call.status in RETRY_STATUSES:
            call.reason = answer
            retry_after_s = float(response.headers.get("Retry-After") or 0)
            await asyncio.sleep(min(retry_after_s, DEADLINE_S / 3))

    def _record_signals(self, call: Call, response: aiohttp.ClientResponse) -> None:
        """Record the signals of a runner that an edge forwarded with its response."""
        runner_id = call.signature.partition(".")[0]
        signals = self.records.signals
        if "Server-Limit" in response.headers:
            signals.record_forwarded(signals.limits, runner_id, call.edge)
        if "Server-Leaving" in response.headers:
            signals.record_forwarded(signals.leaving, runner_id, call.edge)

    def _choose_fields(self, call: Call, original: Call | None) -> None:
        """Choose the model and the prompt of a request."""
        if original is not None:
            call.model, call.subject = original.model, original.subject
            return
        popular = self.random.random() < 0.8
        call.model = self.random.choice(self.popular_models if popular else self.models)
        call.subject = call.request_id.lstrip("0")
        if call.crashing:
            call.model, call.subject = self.popular_models[0], "c"
        elif self.random.random() < EQUAL_SHARE:
            call.subject = "e"

    def _choose_key(self, call: Call, original: Call | None) -> str:
        """Choose the API key of a request; a resent request keeps its key."""
        if original is not None:
            return original.key
        customers = self.records.customers
        if call.crashing:
            return customers.get_first_key()
        return customers.choose(self.random, valid=call.version is not None)

    async def _async_choose_edge(self, session: aiohttp.ClientSession) -> str | None:
        """Choose an edge, if possible not one that failed; None if none is known."""
        if time.monotonic() > self._addresses_valid_until or not self._addresses:
            await self._async_resolve(session)
        usable = [each for each in self._addresses if each not in self._avoided_edges]
        return self.random.choice(usable or self._addresses or [""]) or None

    async def _async_resolve(self, session: aiohttp.ClientSession) -> None:
        """Ask the directories for the addresses of edges until one returns some."""
        for directory in self.random.sample(self.directories, len(self.directories)):
            url = f"http://{directory}/v1/resolve"
            query = {"name": HOST, "region": "r", "zone": "dc-1"}
            try:
                async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                    async with session.get(url, params=query) as response:
                        answer = await response.json()
            except (aiohttp.ClientError, ConnectionError, TimeoutError):
                continue
            if answer.get("addresses"):
                self._addresses = answer["addresses"]
                self._addresses_valid_until = time.monotonic() + min(
                    5.0, answer["ttl_s"]
                )
                self._avoided_edges.clear()
                return


@define(eq=False)
class CrashingCaller(Caller):
    """A caller that keeps sending one request that crashes its runners."""

    kind: Kind = Kind.SAFE
    name: str = ""
    """Name of the request."""

    async def async_run(self) -> None:
        """Send the request to any edge until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                edge = await self._async_choose_edge(session)
                if edge is not None:
                    await self.async_call(session, edge, self.kind, crashing=self.name)
                await asyncio.sleep(self.random.uniform(0.1, 0.4))


async def _async_read(call: Call, response: aiohttp.ClientResponse) -> str:
    """Read a response, and record its events, also if it breaks off."""
    data = b""
    try:
        async for part in response.content.iter_any():
            data += part
        call.has_ended = call.status == 200
    finally:
        if call.kind.is_stream and call.status == 200:
            call.events, _ = parse_events(data.decode(errors="replace"))
    return data.decode()


def find_response_fault(
    call: Call, text: str, event_ids: EventIds = EventIds.RISING
) -> str:
    """Return the fault of a successful response; empty if there is none.

    The order of a stream's events is judged apart from it.

    Args:
        call: The request.
        text: The body of the response.
        event_ids: IDs that the events of a stream must have.
    """
    if not call.kind.is_stream:
        expected_body = f"{call.sent_id} 50"
        return "" if text == expected_body else f"unexpected body {text!r}"
    events, rest = parse_events(text)
    expected = "".join(
        encode_event(call.sent_id, evolve(each, event_id=event_ids.make(each.number)))
        for each in events
    )
    is_expected = not rest and text == expected
    if is_expected and all(each.number <= EVENT_COUNT for each in events):
        return ""
    return f"unexpected events {text!r}"
