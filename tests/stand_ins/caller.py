"""A caller that follows the rules for callers, and checks each answer it gets."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any
from uuid import uuid4

import aiohttp
from attrs import define, field, frozen

from mangoway.models.idempotency import HomedKey
from mangoway.models.identifiers import IncarnationId

from .answers import make_answer

CALLER_HEADER = "X-Caller"
CLASS_HEADER = "X-Work-Class"
DEADLINE_HEADER = "X-Deadline-Seconds"
KEY_HEADER = "Idempotency-Key"
CONNECT_S = 2.0
GRACE_S = 5.0
"""Time behind the deadline after which a request counts as hung."""

MAX_PAUSE_S = 2.0
DEFAULT_PAUSE_S = 0.2


class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """A coded failure that says it did not run."""

    UNSURE = "unsure"
    """A coded failure that says it ran, or may have run."""

    WRONG = "wrong"
    """Not the whole answer, or not its own."""

    LOST = "lost"
    """It hung, or ended without an answer or a coded failure."""


@frozen
class Result:
    """What a caller knows of one request in the end."""

    ending: Ending
    detail: str = ""
    tries: int = 1
    duration_s: float = 0.0
    first_token_s: float | None = None


@frozen
class Try:
    """What became of one try."""

    ending: Ending
    detail: str = ""
    retry_after: float | None = None
    first_token_at: float | None = None
    reached: bool = True
    """False: the connection was refused, so nothing was sent."""


@define
class Gateway:
    """One address of an address answer."""

    address: str
    incarnation: str


@define
class AddressBook:
    """Addresses in use, kept no longer than the system allows."""

    session: aiohttp.ClientSession
    seeds: tuple[str, ...]
    gateways: list[Gateway] = field(factory=list)
    valid_until: float = 0.0
    turn: int = 0

    async def async_next(self, avoid: str = "") -> Gateway:
        """Return the next gateway to use, another than `avoid` if there is one."""
        if time.monotonic() >= self.valid_until or avoid:
            await self._async_refresh()
        self.turn += 1
        others = [each for each in self.gateways if each.address != avoid]
        usable = others or self.gateways
        return usable[self.turn % len(usable)]

    async def _async_refresh(self) -> None:
        known = [gateway.address for gateway in self.gateways]
        for address in dict.fromkeys([*known, *self.seeds]):
            try:
                await self._async_ask(address)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if self.gateways:
                return
        if not self.gateways:
            raise aiohttp.ClientConnectionError("no address answers")

    async def _async_ask(self, address: str) -> None:
        url = f"http://{address}/v1/addresses"
        timeout = aiohttp.ClientTimeout(total=CONNECT_S)
        async with self.session.get(url, timeout=timeout) as response:
            if response.status != 200:
                return
            answer = await response.json()
        self.gateways = [
            Gateway(each["address"], each["incarnation"]) for each in answer["gateways"]
        ]
        self.valid_until = time.monotonic() + answer["valid_for_s"]


Send = Callable[[Gateway], Awaitable[Try]]


@define
class Caller:
    """Sends requests, tries again where that is safe, and checks answers."""

    name: str
    book: AddressBook

    async def async_complete(
        self,
        model: str,
        prompt: str,
        tokens: int,
        deadline_s: float,
        work_class: str = "urgent",
        stream: bool = True,
        artifact: str = "",
    ) -> Result:
        """Ask for a completion; it may be repeated."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        expected = make_answer(artifact or model, prompt, tokens)
        headers = self._make_headers(work_class, deadline_s)

        async def async_send(gateway: Gateway) -> Try:
            url = f"http://{gateway.address}/v1/completions"
            async with self.book.session.post(url, json=body, headers=headers) as got:
                if got.status != 200:
                    return await _async_read_failure(got)
                if stream:
                    return await _async_read_stream(got, expected)
                text = (await got.json())["choices"][0]["text"]
                return _compare(text, expected)

        return await self._async_try(async_send, deadline_s)

    async def async_call(
        self,
        service: str,
        call: str,
        body_id: str,
        deadline_s: float,
        idempotent: bool = False,
    ) -> Result:
        """Call a plain service, with a key unless the call may be repeated."""
        body = {"id": body_id}
        headers = self._make_headers("urgent", deadline_s)
        key = ""
        certain = True

        async def async_send(gateway: Gateway) -> Try:
            nonlocal key, certain
            # A new home is only allowed while no earlier submission may have run.
            if not idempotent and certain:
                key = make_key(gateway, body_id)
            if key:
                headers[KEY_HEADER] = key
            url = f"http://{gateway.address}/v1/services/{service}/{call}"
            sent = await _async_guard(self._async_post(url, body, headers))
            certain = certain and (sent.ending is Ending.REFUSED or not sent.reached)
            return sent

        return await self._async_try(async_send, deadline_s)

    async def _async_post(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Try:
        async with self.book.session.post(url, json=body, headers=headers) as got:
            if got.status != 200:
                return await _async_read_failure(got)
            answer = await got.json()
            ok = answer.get("echo") == body
            return Try(Ending.ANSWERED if ok else Ending.WRONG, str(answer))

    def _make_headers(self, work_class: str, deadline_s: float) -> dict[str, str]:
        return {
            CALLER_HEADER: self.name,
            CLASS_HEADER: work_class,
            DEADLINE_HEADER: str(deadline_s),
        }

    async def _async_try(self, send: Send, deadline_s: float) -> Result:
        """Try until there is a final answer, or no time is left for a new try."""
        start = time.monotonic()
        tries = 0
        avoid = ""
        last = Try(Ending.LOST, "no try")
        while tries == 0 or time.monotonic() - start < deadline_s:
            tries += 1
            began = time.monotonic()
            gateway, last = await self._async_try_once(send, avoid, deadline_s)
            if last.ending is Ending.LOST:
                avoid = gateway
            elif last.ending is not Ending.REFUSED or last.retry_after is None:
                break
            await asyncio.sleep(min(last.retry_after or DEFAULT_PAUSE_S, MAX_PAUSE_S))
        first_token_s = None
        if last.first_token_at is not None:
            first_token_s = last.first_token_at - began
        duration_s = time.monotonic() - start
        return Result(last.ending, last.detail, tries, duration_s, first_token_s)

    async def _async_try_once(
        self, send: Send, avoid: str, deadline_s: float
    ) -> tuple[str, Try]:
        """Return the address that was tried, and what became of it."""
        address = ""
        try:
            async with asyncio.timeout(deadline_s + GRACE_S):
                gateway = await self.book.async_next(avoid)
                address = gateway.address
                return address, await _async_guard(send(gateway))
        except TimeoutError:
            return address, Try(Ending.LOST, "hung")
        except aiohttp.ClientError as error:
            return address, Try(Ending.LOST, repr(error))


async def _async_guard(sending: Awaitable[Try]) -> Try:
    """Turn a broken connection into a try without an answer."""
    try:
        return await sending
    except aiohttp.ClientConnectorError as error:
        return Try(Ending.LOST, repr(error), reached=False)
    except (aiohttp.ClientError, json.JSONDecodeError) as error:
        return Try(Ending.LOST, repr(error))


async def _async_read_failure(got: aiohttp.ClientResponse) -> Try:
    """Read a problem document."""
    return _judge_failure(await got.json(content_type=None))


def _judge_failure(problem: dict[str, Any]) -> Try:
    code, verdict = problem.get("code"), problem.get("verdict")
    if not code or verdict not in ("not_run", "may_have_run", "ran"):
        return Try(Ending.LOST, f"not a coded failure: {problem}")
    ending = Ending.REFUSED if verdict == "not_run" else Ending.UNSURE
    return Try(ending, f"{code} ({verdict})", problem.get("retry_after_s"))


async def _async_read_stream(got: aiohttp.ClientResponse, expected: str) -> Try:
    """Read server-sent events up to the end or a coded failure."""
    text = ""
    first_token_at = None
    async for line in got.content:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            return _compare(text, expected, first_token_at)
        event = json.loads(data)
        if "error" in event:
            return _judge_failure(event["error"])
        text += event["choices"][0]["text"]
        first_token_at = first_token_at or time.monotonic()
    return Try(Ending.LOST, f"the stream ended after {len(text)} characters")


def _compare(text: str, expected: str, first_token_at: float | None = None) -> Try:
    if text == expected:
        return Try(Ending.ANSWERED, first_token_at=first_token_at)
    detail = f"got {len(text)} characters {text[:40]!r}, not {expected[:40]!r}"
    return Try(Ending.WRONG, detail)


def make_key(home: Gateway, own_id: str) -> str:
    """Return the idempotency key of an own id at a home."""
    key = HomedKey(
        home=IncarnationId(home.incarnation),
        issued_at=int(time.time()),
        own_id=own_id,
    )
    return str(key.format())


def make_id() -> str:
    """Return a new id of a request body."""
    return uuid4().hex
