"""Runners that crashed, and the requests that they had then."""

from enum import Enum

from attrs import frozen


@frozen
class RequestIdentity:
    """What stays the same when a request comes again under another id."""

    content: str
    """Digest of what is asked: method, host, target and body."""

    variant: str
    """Digest of who asks, and of what: credentials, model and prompt."""

    @property
    def text(self) -> str:
        """Return both in one word, for log lines and keys."""
        return f"{self.content}.{self.variant}"


@frozen(kw_only=True)
class RunnerIncarnation:
    """One life of a runner: it may start again under its id."""

    runner_id: str
    started_ms: int
    """Start in Unix milliseconds; 0 if it doesn't say."""

    @property
    def text(self) -> str:
        """Return it in one word, for log lines and keys."""
        return f"{self.runner_id}@{self.started_ms}"


class RunStage(Enum):
    """How far a run had come when its runner crashed."""

    NOTHING_SENT = 0
    """The runner had sent no event, nor a whole answer."""

    OUTPUT_STARTED = 1
    """It had sent events for less than half a second."""

    OUTPUT_ONGOING = 2
    """It had sent events for longer."""


@frozen
class Charge:
    """A request was at a runner when that crashed."""

    identity: RequestIdentity
    life: str
    """The life of the runner, as text."""

    stage: RunStage = RunStage.NOTHING_SENT

    variant_only: bool = False
    """Whether requests with this content and another variant were served of late, so
    that the content by itself is not the cause."""


@frozen(kw_only=True)
class Clearance:
    """A request ended well at a runner, so it has not caused these crashes."""

    identity: RequestIdentity
    lives: frozenset[str]
