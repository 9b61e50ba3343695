"""Answers that are filled over time and read by any number of callers."""

import asyncio
from collections.abc import AsyncGenerator
from typing import Self

from attrs import define, field, frozen

from ..models.errors import Failure

FINISH_REASON_DEFAULT = "stop"


@frozen(kw_only=True)
class PlainBody:
    """Response of a plain service, which is passed on unchanged."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@frozen(kw_only=True)
class RelayedResponse:
    """Response of another gateway: its head, and the parts of its body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    parts: AsyncGenerator[bytes, None]


@define(eq=False)
class Answer:
    """Answer to one request, from its start to its end.

    A completion is filled with pieces of text, a service call receives its `plain`
    body at once, and a request that was forwarded to another gateway receives
    `relayed`. An answer ends exactly once: complete, or with a failure.
    """

    pieces: list[str] = field(factory=list)
    tokens: int = 0
    """Number of tokens in the pieces."""

    finish_reason: str = FINISH_REASON_DEFAULT
    plain: PlainBody | None = None
    relayed: RelayedResponse | None = None
    failure: Failure | None = None
    ended: bool = False
    _leader: "Answer | None" = None
    """Answer that is followed; None if this one is filled itself."""

    _readers: "set[AnswerReader]" = field(factory=set)

    @property
    def source(self) -> "Answer":
        """Return the answer that readers of this one read.

        It is the followed answer, unless none is followed or this one ended by itself.
        """
        if self._leader is None or self.ended:
            return self
        return self._leader.source

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.pieces)

    @property
    def has_readers(self) -> bool:
        """Return whether a caller reads or waits for this answer."""
        return bool(self._readers)

    def append(self, text: str, tokens: int, finish_reason: str | None) -> None:
        """Add a piece of text.

        Args:
            text: Text of the piece.
            tokens: Tokens of the whole answer up to the end of this piece.
            finish_reason: Finish reason of the completion, if it was reported.
        """
        self.pieces.append(text)
        self.tokens = tokens
        if finish_reason is not None:
            self.finish_reason = finish_reason
        self._notify_readers()

    def set_plain(self, plain: PlainBody) -> None:
        """Set the response to a service call."""
        self.plain = plain

    def relay(self, relayed: RelayedResponse) -> None:
        """Replace this answer by the response of another gateway."""
        self.relayed = relayed
        self._notify_readers()

    def follow(self, leader: "Answer") -> None:
        """Let readers read the answer to another request with the same key."""
        self._leader = leader
        for reader in self._readers:
            leader.source._readers.add(reader)
        self._notify_readers()

    def finish(self) -> None:
        """End the answer as complete."""
        self.ended = True
        self._notify_readers()

    def fail(self, failure: Failure) -> None:
        """End the answer with a failure."""
        self.failure = failure
        self.ended = True
        self._notify_readers()

    def _notify_readers(self) -> None:
        for reader in self._readers:
            reader.notify()

    def _attach(self, reader: "AnswerReader") -> None:
        self._readers.add(reader)
        if self._leader is not None:
            self._leader._attach(reader)

    def _detach(self, reader: "AnswerReader") -> None:
        self._readers.discard(reader)
        if self._leader is not None:
            self._leader._detach(reader)


class AnswerReader:
    """Read position of one caller in an answer; must be closed after use.

    Closing it ends every wait.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._position = 0
        self._changed = False
        self._waiter: asyncio.Future[None] | None = None
        self.closed = False
        self.finished = False
        """Whether the answer was read to its end."""

        answer._attach(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def answer(self) -> Answer:
        """Return the answer that is read, which may be a followed one."""
        return self._answer.source

    def notify(self) -> None:
        """Wake the waiting task after a change of the answer."""
        self._changed = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def close(self) -> None:
        """Stop reading and end every wait."""
        self.closed = True
        self._answer._detach(self)
        self.notify()

    async def async_wait_start(self) -> None:
        """Wait for the first text, a relayed answer, or the end of the answer."""
        while not self._has_started():
            await self._async_wait()

    async def async_wait_end(self) -> None:
        """Wait until the answer has ended or is relayed."""
        while not (self.closed or self.answer.ended or self.answer.relayed):
            await self._async_wait()

    async def async_read(self) -> list[str]:
        """Return the pieces added since the last call; an empty list at the end."""
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
        # A bare future, since an asyncio.Event takes twice the calls for each read.
        if not self._changed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._changed = False
