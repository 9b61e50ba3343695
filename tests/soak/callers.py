"""Callers: they ask for addresses, keep connections, and read answers closely."""

import asyncio
import time
from itertools import count
from random import Random

import aiohttp
from attrs import define, field

from .records import RETRY_STATUSES, Call, Kind, Records
from .runners import CRASH_MARK, EVENTS

DEADLINE_S = 3.0
GIVE_UP_SHARE = 0.03
RETRIES = 3
"""Times that a caller sends a request again that was refused or has failed."""

EQUAL_SHARE = 0.2
"""Part of the requests that differ from others by their model only."""

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

_numbers = count(1)


@define(eq=False)
class Caller:
    """One caller with its kept connections."""

    random: Random
    records: Records
    directories: list[str]
    models: list[str]
    wanted: list[str]
    """Models that most requests are for; the soak moves them."""

    _addresses: list[str] = field(factory=list, init=False)
    _until: float = field(default=0.0, init=False)
    _avoided: set[str] = field(factory=set, init=False)

    async def async_run(self) -> None:
        """Send requests until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                edge = await self._async_choose(session)
                if edge is None:
                    await asyncio.sleep(0.1)
                    continue
                await self._async_ask(session, edge)
                await asyncio.sleep(self.random.uniform(0.01, 0.1))

    async def _async_ask(self, session: aiohttp.ClientSession, edge: str) -> None:
        """Send a request, and again under other ids where that does no harm."""
        kind = self.random.choice(CHOICES)
        call = await self.async_call(session, edge, kind)
        for _ in range(RETRIES):
            again = call.status in RETRY_STATUSES or not kind.runs_once
            if call.whole or call.given_up or not again:
                return
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            other = await self._async_choose(session)
            if other is None:
                return
            call = await self.async_call(session, other, kind, like=call)

    async def async_call(
        self,
        session: aiohttp.ClientSession,
        edge: str,
        kind: Kind,
        version: int | None = None,
        crashing: str = "",
        like: Call | None = None,
    ) -> Call:
        """Send one request and read its answer.

        Args:
            session: Keeps the connections.
            edge: Where to send it.
            kind: What may be repeated.
            version: Configuration that added its route; None: the first one.
            crashing: Name of the request if it makes its runners crash.
            like: An earlier one that it is, but for its id; None: it is a new one.
        """
        request_id = f"{next(_numbers):08x}"
        call = Call(
            request_id=request_id,
            kind=kind,
            edge=edge,
            sent_at=time.monotonic(),
            version=version,
            crashing=crashing,
        )
        self._choose_fields(call, like)
        call.key = self._choose_key(call, like)
        path = PATHS[kind] if version is None else f"/added-{version}/x"
        self.records.calls[request_id] = call
        leaves = self.random.random() < GIVE_UP_SHARE and version is None
        leaves = leaves and not crashing
        patience_s = 0.05 if leaves else DEADLINE_S + 1.0
        try:
            async with asyncio.timeout(patience_s):
                await self._async_exchange(session, call, f"http://{edge}{path}")
        except TimeoutError:
            call.given_up = True
        except CONNECT_ERRORS:
            del self.records.calls[request_id]
            self._avoided.add(edge)
        except (aiohttp.ClientError, ConnectionError):
            call.broken = True
            self._avoided.add(edge)
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
            "X-Request-Id": call.request_id,
            "Authorization": f"Bearer {call.key}",
            "X-Tenant": "somebody else",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Model": call.model,
            "X-Token-Usage": "100,40",
            "X-Prompt-Prefix": f"a1:60,{call.subject}:40",
        }
        async with session.post(url, headers=headers, data=body) as response:
            call.status = response.status
            call.signature = response.headers.get("X-Response-Signature", "")
            self._note_signals(call, response)
            answer = await response.read()
        if call.status == 200:
            call.whole = True
            call.mixed = find_fault(call, answer.decode())
        elif call.status in RETRY_STATUSES:
            call.reason = answer.decode()
            retry_after_s = float(response.headers.get("Retry-After") or 0)
            await asyncio.sleep(min(retry_after_s, DEADLINE_S / 3))

    def _note_signals(self, call: Call, response: aiohttp.ClientResponse) -> None:
        """Note what a runner's answer, as an edge has passed it on, says of it."""
        runner_id = call.signature.partition(".")[0]
        signals = self.records.signals
        if "Server-Limit" in response.headers:
            signals.note_passed_on(signals.limits, runner_id, call.edge)
        if "Server-Leaving" in response.headers:
            signals.note_passed_on(signals.leaving, runner_id, call.edge)

    def _choose_fields(self, call: Call, like: Call | None) -> None:
        """Choose what tells a request from others."""
        if like is not None:
            call.model, call.subject = like.model, like.subject
            return
        popular = self.random.random() < 0.8
        call.model = self.random.choice(self.wanted if popular else self.models)
        call.subject = call.request_id.lstrip("0")
        if call.crashing:
            call.model, call.subject = self.wanted[0], "c"
        elif self.random.random() < EQUAL_SHARE:
            call.subject = "e"

    def _choose_key(self, call: Call, like: Call | None) -> str:
        """Choose the key that a request shows; the same one when it comes again."""
        if like is not None:
            return like.key
        customers = self.records.customers
        if call.crashing:
            return customers.get_first()
        return customers.choose(self.random, good=call.version is not None)

    async def _async_choose(self, session: aiohttp.ClientSession) -> str | None:
        if time.monotonic() > self._until or not self._addresses:
            await self._async_resolve(session)
        left = [each for each in self._addresses if each not in self._avoided]
        return self.random.choice(left or self._addresses or [""]) or None

    async def _async_resolve(self, session: aiohttp.ClientSession) -> None:
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
                self._until = time.monotonic() + min(5.0, answer["ttl_s"])
                self._avoided.clear()
                return


@define(eq=False)
class CrashingCaller(Caller):
    """A caller that sends one request, which makes its runners crash, for ever."""

    kind: Kind = Kind.SAFE
    name: str = ""
    """Name of the request."""

    async def async_run(self) -> None:
        """Send the request to any edge until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                edge = await self._async_choose(session)
                if edge is not None:
                    await self.async_call(session, edge, self.kind, crashing=self.name)
                await asyncio.sleep(self.random.uniform(0.1, 0.4))


def find_fault(call: Call, text: str) -> str:
    """Return what is wrong with a success; empty if nothing is."""
    if call.kind in (Kind.SAFE, Kind.ONCE):
        wanted = f"{call.request_id} 50"
        return "" if text == wanted else f"body {text!r}"
    expected = "".join(
        f"id: {number}\ndata: {call.request_id} {number}\n\n"
        for number in range(1, EVENTS + 1)
    )
    return "" if text == expected else f"events {text!r}"
