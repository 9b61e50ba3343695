"""What a runner says of itself in an answer to a request."""

from typing import Final

from attrs import frozen


@frozen(kw_only=True)
class DroppedField:
    """A field of an answer that can't be read."""

    name: str
    value: str


@frozen(kw_only=True)
class RunnerSignals:
    """The statements of one answer."""

    limit: float | None = None
    """Requests a second that the runner takes from all hosts together; None: as many
    as come."""

    is_limit_known: bool = True
    """Whether the answer says anything of the limit: one that can't be read doesn't."""

    leaving: bool = False
    """Whether the runner is about to end, and takes no new requests."""

    rest_s: float = 0.0
    """Time for which the runner wants no more requests of this host; 0: it may be
    sent the next one at once."""

    dropped: tuple[DroppedField, ...] = ()


NO_SIGNALS: Final = RunnerSignals()
"""An answer that says nothing."""


@frozen(kw_only=True)
class LeavingReport:
    """A runner said in an answer that it leaves."""

    runner_id: str
    started_ms: int
    """Life of the runner, as in its entry."""
