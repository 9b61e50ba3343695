"""Which responses a host stops reading or breaks off, to bound its memory."""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

UNREAD_LIMIT_S: Final = 4.0
"""Seconds without progress after which a response that is not read is broken off.
Runners break off a response that stays unread for some seconds, and callers leave after
a pause of some seconds themselves."""

READ_ON_BYTES: Final = 24 << 20
"""Sum of held bytes above which a host reads on only for callers that use less than an
equal share, and rejects new requests. A host may have 160 MB, of which the process of
an edge uses up to 70 MB without these."""

MAX_HELD_BYTES: Final = 48 << 20
"""Sum of held bytes above which the responses that are unread longest are broken off.
The distance to `READ_ON_BYTES` holds what arrives until all connections to runners are
paused, and the largest response that is buffered as a whole."""

MAX_INPUT_BYTES: Final = 24 << 20
"""Sum of the bytes of requests that no handler has yet, above which the largest of them
are rejected: six of the largest bodies at once."""

RETRY_AFTER_MEMORY_S: Final = 1.0
"""Retry-after time of a request that is rejected for lack of memory: the responses that
hold it are read or broken off within some seconds, and another host may have room."""


class BreakCause(Enum):
    """Why a response is broken off."""

    UNREAD = "unread"
    """Its caller has not read for some seconds, and its runner waits or memory is
    short."""

    MEMORY = "memory"
    """The host holds too many bytes, and this response is unread longest."""


@frozen(kw_only=True)
class MemoryLimits:
    """Limits of the bytes that a host holds for its callers."""

    read_on_bytes: int = READ_ON_BYTES
    max_bytes: int = MAX_HELD_BYTES
    input_bytes: int = MAX_INPUT_BYTES
    unread_s: float = UNREAD_LIMIT_S


@define(eq=False)
class Holding:
    """What a host holds for one connection of a caller."""

    held_bytes: int = 0
    """Bytes of requests and responses that count in the sum."""

    input_bytes: int = 0
    """Bytes of these that belong to requests which no handler has yet."""

    unsent_bytes: int = 0
    """Bytes of these that wait for the caller to read."""

    taken_bytes: int = 0
    """Bytes that the caller has received since the connection was opened."""

    taken_at: float = 0.0
    """Time of the caller's last progress, or from which it had something to read."""

    blocked_at: float | None = None
    """Time since which the host has not read from the runner; None if it reads."""

    collecting: bool = False
    """Whether it is a response that is buffered as a whole and not complete yet."""

    def measure_unread_s(self, now: float) -> float:
        """Return the seconds for which the caller has read nothing."""
        return now - self.taken_at if self.unsent_bytes else 0.0


@define(eq=False)
class MemoryLedger:
    """Sum of the bytes that a host holds, with the decisions that follow from it."""

    limits: MemoryLimits = MemoryLimits()
    total: int = field(default=0, init=False)
    input_total: int = field(default=0, init=False)
    """Part of the sum that belongs to requests which no handler has yet."""

    holdings: dict[Holding, None] = field(factory=dict, init=False)
    """Holdings with at least one byte, in the order in which they began."""

    def update(
        self,
        holding: Holding,
        *,
        held: int,
        unsent: int,
        taken: int,
        now: float,
        received: int = 0,
    ) -> None:
        """Record the current bytes of a holding.

        Args:
            holding: The holding.
            held: All bytes that count in the sum.
            unsent: Bytes that wait for the caller to read.
            taken: Bytes that the caller has received.
            now: Time in seconds.
            received: Bytes of requests that no handler has yet.
        """
        if taken > holding.taken_bytes or not holding.unsent_bytes:
            holding.taken_at = now
        holding.taken_bytes, holding.unsent_bytes = taken, unsent
        self.total += held - holding.held_bytes
        self.input_total += received - holding.input_bytes
        holding.held_bytes, holding.input_bytes = held, received
        if held:
            self.holdings[holding] = None
        else:
            self.holdings.pop(holding, None)

    def remove(self, holding: Holding) -> None:
        """Remove a holding whose connection is closed."""
        self.total -= holding.held_bytes
        self.input_total -= holding.input_bytes
        holding.held_bytes = holding.unsent_bytes = holding.input_bytes = 0
        self.holdings.pop(holding, None)

    def is_short(self) -> bool:
        """Return whether the sum is above the limit for reading on.

        Requests that no handler has yet don't count, since they have a limit of their
        own: callers that never finish theirs let no others be rejected.
        """
        return self.total - self.input_total > self.limits.read_on_bytes

    def is_exceeded(self) -> bool:
        """Return whether responses must be broken off, or requests rejected."""
        return self._measure_excess() > 0

    def _measure_excess(self) -> int:
        return max(
            self.total - self.limits.max_bytes,
            self.input_total - self.limits.input_bytes,
        )

    def may_read(self, holding: Holding) -> bool:
        """Return whether the host reads on from the runner of a response.

        While memory is short, a response is read on up to an equal share of the limit,
        and of those that are buffered as a whole, the one that began first. It always
        ends, since each of these is smaller than the distance between both limits.
        """
        if not self.is_short():
            return True
        if not holding.collecting:
            share = self.limits.read_on_bytes // max(1, len(self.holdings))
            return holding.unsent_bytes <= share
        return holding is next(
            (each for each in self.holdings if each.collecting), None
        )

    def list_unread(self, now: float) -> list[Holding]:
        """Return the responses to break off since their callers do not read.

        These are the ones that block their runners. While memory is short, complete
        answers that no caller has read for as long are among them.
        """
        limit_s, is_short = self.limits.unread_s, self.is_short()
        return [
            each
            for each in self.holdings
            if each.measure_unread_s(now) >= limit_s
            and (is_short or _has_blocked(each, limit_s, now))
        ]

    def list_excess(self, now: float) -> list[Holding]:
        """Return the responses to break off for the limit, unread longest first."""
        excess = self.total - self.limits.max_bytes
        if excess <= 0:
            return []
        unread = [each for each in self.holdings if each.unsent_bytes]
        unread.sort(key=lambda each: each.measure_unread_s(now), reverse=True)
        chosen = []
        for each in unread:
            if excess <= 0:
                break
            chosen.append(each)
            excess -= each.held_bytes
        return chosen

    def list_large_inputs(self) -> list[Holding]:
        """Return those whose unfinished requests are rejected, the largest first.

        Small requests are served while a few connections send large ones.
        """
        excess = self._measure_excess()
        chosen: list[Holding] = []
        if excess <= 0:
            return chosen
        unfinished = [each for each in self.holdings if each.input_bytes]
        unfinished.sort(key=lambda each: each.input_bytes, reverse=True)
        for each in unfinished:
            if excess <= 0:
                break
            chosen.append(each)
            excess -= each.input_bytes
        return chosen


def _has_blocked(holding: Holding, seconds: float, now: float) -> bool:
    return holding.blocked_at is not None and now - holding.blocked_at >= seconds
