"""Signals that a runner sends in the header fields of its responses."""

from typing import Final

from attrs import frozen


@frozen(kw_only=True)
class DroppedField:
    """A header field of a response that is ignored since its value is invalid."""

    name: str
    value: str


@frozen(kw_only=True)
class RunnerSignals:
    """Signals of one response."""

    limit: float | None = None
    """Rate limit of the runner in requests per second, for all hosts together; None if
    there is no limit."""

    is_limit_known: bool = True
    """Whether `limit` is meaningful; False if the response has only invalid limits."""

    brittle: float | None = None
    """Rejections for lack of room within a second, to all hosts together, beyond which
    the runner ends; None if it can reject any number."""

    leaving: bool = False
    """Whether the runner is about to end and accepts no new requests."""

    rest_s: float = 0.0
    """Cooldown: time for which this host must not send requests to the runner; 0 if the
    next request may be sent at once."""

    dropped: tuple[DroppedField, ...] = ()


NO_SIGNALS: Final = RunnerSignals()
"""Signals of a response without signal fields."""


@frozen(kw_only=True)
class LeavingReport:
    """Report that a runner signalled in a response that it is leaving."""

    runner_id: str
    started_ms: int
    """Start of the runner's incarnation, as in its entry."""
