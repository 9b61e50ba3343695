"""A caller that follows the rules for callers and checks each response."""

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
"""Time after the deadline until a request counts as hung."""

MAX_PAUSE_S = 2.0
"""Longest pause before another attempt, also if the response asks for a longer one."""

DEFAULT_PAUSE_S = 0.2
"""Pause before another attempt if no response asks for one."""


class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REJECTED = "refused"
    """A coded failure with the verdict that it did not run."""

    UNSURE = "unsure"
    """A coded failure with the verdict that it ran, or may have run."""

    WRONG = "wrong"
    """An incomplete answer, or the answer to another request."""

    LOST = "lost"
    """Hung, or ended without an answer or a coded failure."""


@frozen
class Result:
    """Final result of one request for its caller."""

    ending: Ending
    detail: str = ""
    attempts: int = 1
    duration_s: float = 0.0
    first_token_s: float | None = None


@frozen
class Attempt:
    """Result of one attempt."""

    ending: Ending
    detail: str = ""
    retry_after: float | None = None
    first_token_at: float | None = None
    reached: bool = True
    """Whether a connection was made; if not, nothing was sent."""


@define
class Gateway:
    """One gateway of an address response."""

    address: str
    incarnation: str


@define
class AddressBook:
    """Gateway addresses in use, refreshed when their validity ends."""

    session: aiohttp.ClientSession
    seeds: tuple[str, ...]
    """Addresses to ask when no known gateway responds."""

    gateways: list[Gateway] = field(factory=list)
    valid_until: float = 0.0
    turn: int = 0

    async def async_next(self, avoid: str = "") -> Gateway:
        """Return the next gateway to use, if possible not the one at `avoid`."""
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
                await self._async_fetch(address)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if self.gateways:
                return
        if not self.gateways:
            raise aiohttp.ClientConnectionError("no gateway responded with addresses")

    async def _async_fetch(self, address: str) -> None:
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


Send = Callable[[Gateway], Awaitable[Attempt]]


@define
class Caller:
    """Sends requests, retries them where that is safe, and checks the answers."""

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
        """Request a completion, which may be retried.

        Args:
            model: Name of the model, as the caller gives it.
            prompt: Prompt.
            tokens: Number of tokens of the answer.
            deadline_s: Time within which the request must end.
            work_class: Work class of the request.
            stream: Whether to request a stream.
            artifact: Artifact whose answer is expected; empty if it is `model`.
        """
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        expected = make_answer(artifact or model, prompt, tokens)
        headers = self._make_headers(work_class, deadline_s)

        async def async_send(gateway: Gateway) -> Attempt:
            url = f"http://{gateway.address}/v1/completions"
            async with self.book.session.post(
                url, json=body, headers=headers
            ) as response:
                if response.status != 200:
                    return await _async_read_failure(response)
                if stream:
                    return await _async_read_stream(response, expected)
                text = (await response.json())["choices"][0]["text"]
                return _compare_text(text, expected)

        return await self._async_send_until_final(async_send, deadline_s)

    async def async_call(
        self,
        service: str,
        call: str,
        body_id: str,
        deadline_s: float,
        idempotent: bool = False,
    ) -> Result:
        """Call a plain service, with a key unless the call is idempotent."""
        body = {"id": body_id}
        headers = self._make_headers("urgent", deadline_s)
        key = ""
        none_has_run = True

        async def async_send(gateway: Gateway) -> Attempt:
            nonlocal key, none_has_run
            # A key may change its home gateway only while no attempt may have run.
            if not idempotent and none_has_run:
                key = make_key(gateway, body_id)
            if key:
                headers[KEY_HEADER] = key
            url = f"http://{gateway.address}/v1/services/{service}/{call}"
            sent = await _async_catch_failure(self._async_post(url, body, headers))
            none_has_run = none_has_run and (
                sent.ending is Ending.REJECTED or not sent.reached
            )
            return sent

        return await self._async_send_until_final(async_send, deadline_s)

    async def _async_post(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Attempt:
        async with self.book.session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                return await _async_read_failure(response)
            answer = await response.json()
            is_own = answer.get("echo") == body
            return Attempt(Ending.ANSWERED if is_own else Ending.WRONG, str(answer))

    def _make_headers(self, work_class: str, deadline_s: float) -> dict[str, str]:
        return {
            CALLER_HEADER: self.name,
            CLASS_HEADER: work_class,
            DEADLINE_HEADER: str(deadline_s),
        }

    async def _async_send_until_final(self, send: Send, deadline_s: float) -> Result:
        """Send until there is a final result, or no time is left for an attempt."""
        start = time.monotonic()
        attempts = 0
        avoid = ""
        attempt = Attempt(Ending.LOST, "no attempt")
        while attempts == 0 or time.monotonic() - start < deadline_s:
            attempts += 1
            attempt_start = time.monotonic()
            gateway, attempt = await self._async_send_once(send, avoid, deadline_s)
            if attempt.ending is Ending.LOST:
                avoid = gateway
            elif attempt.ending is not Ending.REJECTED or attempt.retry_after is None:
                break
            await asyncio.sleep(
                min(attempt.retry_after or DEFAULT_PAUSE_S, MAX_PAUSE_S)
            )
        first_token_s = None
        if attempt.first_token_at is not None:
            first_token_s = attempt.first_token_at - attempt_start
        duration_s = time.monotonic() - start
        return Result(
            attempt.ending, attempt.detail, attempts, duration_s, first_token_s
        )

    async def _async_send_once(
        self, send: Send, avoid: str, deadline_s: float
    ) -> tuple[str, Attempt]:
        """Return the address that was used, and the result of the attempt."""
        address = ""
        try:
            async with asyncio.timeout(deadline_s + GRACE_S):
                gateway = await self.book.async_next(avoid)
                address = gateway.address
                return address, await _async_catch_failure(send(gateway))
        except TimeoutError:
            return address, Attempt(Ending.LOST, "hung")
        except aiohttp.ClientError as error:
            return address, Attempt(Ending.LOST, repr(error))


async def _async_catch_failure(sending: Awaitable[Attempt]) -> Attempt:
    """Return the attempt that is sent, or a lost one if the connection fails."""
    try:
        return await sending
    except aiohttp.ClientConnectorError as error:
        return Attempt(Ending.LOST, repr(error), reached=False)
    except (aiohttp.ClientError, json.JSONDecodeError) as error:
        return Attempt(Ending.LOST, repr(error))


async def _async_read_failure(response: aiohttp.ClientResponse) -> Attempt:
    """Read a problem document."""
    return _classify_failure(await response.json(content_type=None))


def _classify_failure(problem: dict[str, Any]) -> Attempt:
    code, verdict = problem.get("code"), problem.get("verdict")
    if not code or verdict not in ("not_run", "may_have_run", "ran"):
        return Attempt(Ending.LOST, f"not a coded failure: {problem}")
    ending = Ending.REJECTED if verdict == "not_run" else Ending.UNSURE
    return Attempt(ending, f"{code} ({verdict})", problem.get("retry_after_s"))


async def _async_read_stream(
    response: aiohttp.ClientResponse, expected: str
) -> Attempt:
    """Read server-sent events up to the end of the stream or a coded failure."""
    text = ""
    first_token_at = None
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            return _compare_text(text, expected, first_token_at)
        event = json.loads(data)
        if "error" in event:
            return _classify_failure(event["error"])
        text += event["choices"][0]["text"]
        first_token_at = first_token_at or time.monotonic()
    return Attempt(Ending.LOST, f"the stream ended after {len(text)} characters")


def _compare_text(
    text: str, expected: str, first_token_at: float | None = None
) -> Attempt:
    if text == expected:
        return Attempt(Ending.ANSWERED, first_token_at=first_token_at)
    detail = f"got {len(text)} characters {text[:40]!r}, not {expected[:40]!r}"
    return Attempt(Ending.WRONG, detail)


def make_key(home: Gateway, own_id: str) -> str:
    """Return the idempotency key with a home gateway and an own id."""
    key = HomedKey(
        home=IncarnationId(home.incarnation),
        issued_at=int(time.time()),
        own_id=own_id,
    )
    return str(key.format())


def make_id() -> str:
    """Return a new id for a request body."""
    return uuid4().hex
