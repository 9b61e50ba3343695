"""An answer while it grows; any number of callers may read it."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Self

from attrs import define, field, frozen

from ..models.errors import Failure

FINISH_REASON_DEFAULT = "stop"


@frozen(kw_only=True)
class PlainBody:
    """A whole answer that passes through as it is."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@frozen(kw_only=True)
class RelayedAnswer:
    """An answer of another gateway: its head, and the parts of its body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    parts: AsyncGenerator[bytes, None]


@define(eq=False)
class Answer:
    """The answer of one request, from its start to its end.

    A completion grows by pieces of text, a service call gets its `plain` body at
    once, and a request that went to another gateway gets `relayed`. It ends once:
    whole, or with a failure.
    """

    pieces: list[str] = field(factory=list)
    tokens: int = 0
    """Tokens that the pieces hold."""

    finish_reason: str = FINISH_REASON_DEFAULT
    plain: PlainBody | None = None
    relayed: RelayedAnswer | None = None
    failure: Failure | None = None
    ended: bool = False
    _leader: "Answer | None" = None
    _readers: "set[AnswerReader]" = field(factory=set)

    @property
    def source(self) -> "Answer":
        """Return the answer that this one shares; itself if it is its own."""
        if self._leader is None or self.ended:
            return self
        return self._leader.source

    @property
    def text(self) -> str:
        """Return all text so far."""
        return "".join(self.pieces)

    @property
    def has_readers(self) -> bool:
        """Tell whether a caller waits for it."""
        return bool(self._readers)

    def append(self, text: str, tokens: int, finish_reason: str | None) -> None:
        """Add a piece; `tokens` counts the whole answer up to its end."""
        self.pieces.append(text)
        self.tokens = tokens
        if finish_reason is not None:
            self.finish_reason = finish_reason
        self._wake()

    def set_plain(self, plain: PlainBody) -> None:
        """Set the whole answer of a service call."""
        self.plain = plain

    def relay(self, relayed: RelayedAnswer) -> None:
        """Let another gateway's answer take the place of this one."""
        self.relayed = relayed
        self._wake()

    def follow(self, leader: "Answer") -> None:
        """Share the answer of another request."""
        self._leader = leader
        for reader in self._readers:
            leader.source._readers.add(reader)
        self._wake()

    def finish(self) -> None:
        """End it whole."""
        self.ended = True
        self._wake()

    def fail(self, failure: Failure) -> None:
        """End it with a failure."""
        self.failure = failure
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        for reader in self._readers:
            reader.wake()

    def _attach(self, reader: "AnswerReader") -> None:
        self._readers.add(reader)
        if self._leader is not None:
            self._leader._attach(reader)

    def _detach(self, reader: "AnswerReader") -> None:
        self._readers.discard(reader)
        if self._leader is not None:
            self._leader._detach(reader)


class AnswerReader:
    """One caller's place in an answer; close it when the caller is done."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._position = 0
        self._changed = False
        self._wake: asyncio.Future[None] | None = None
        self.closed = False
        self.finished = False
        """Whether all of the answer was read."""

        answer._attach(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def answer(self) -> Answer:
        """Return the answer that is read, a shared one included."""
        return self._answer.source

    def wake(self) -> None:
        """Look again at the answer."""
        self._changed = True
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def close(self) -> None:
        """Stop reading, also while another task waits here."""
        self.closed = True
        self._answer._detach(self)
        self.wake()

    async def async_wait_start(self) -> None:
        """Wait until there is text, a relayed answer, or the end."""
        while not self._has_started():
            await self._async_wait()

    async def async_wait_end(self) -> None:
        """Wait until it ended or is relayed."""
        while not (self.closed or self.answer.ended or self.answer.relayed):
            await self._async_wait()

    async def async_read(self) -> list[str]:
        """Return the pieces that are new; none at the end."""
        while True:
            pieces = self.answer.pieces[self._position :]
            if pieces:
                self._position += len(pieces)
                return pieces
            if self.closed:
                return []
            if self.answer.ended:
                self.finished = True
                return []
            await self._async_wait()

    def _has_started(self) -> bool:
        answer = self.answer
        started = answer.ended or answer.relayed is not None or bool(answer.pieces)
        return self.closed or started

    async def _async_wait(self) -> None:
        # A bare future: an event would cost twice the calls for each read.
        if not self._changed:
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        self._changed = False
