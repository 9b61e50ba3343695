"""Crashes of runners, and the requests that ran at the time."""

from enum import Enum

from attrs import field, frozen


@frozen
class RequestIdentity:
    """Identity of a request, equal for resubmissions with another request ID.

    A property that requests share, such as a part of their prompts, has an identity of
    its own: it may be the cause of crashes where no two requests are alike.
    """

    content: str
    """Digest of method, host, target and body, or of the shared property."""

    variant: str
    """Digest of credentials, model and prompt, or the kind of the shared property."""

    shared: "tuple[RequestIdentity, ...]" = field(default=(), eq=False, kw_only=True)
    """Identities of the properties that the request shares with others."""

    @property
    def text(self) -> str:
        """Return content and variant as one word, for log lines and keys."""
        return f"{self.content}.{self.variant}"


@frozen(kw_only=True)
class RunnerIncarnation:
    """One run of a runner between start and end; a restart keeps the runner's ID."""

    runner_id: str
    started_ms: int
    """Start in Unix milliseconds; 0 if unknown."""

    @property
    def text(self) -> str:
        """Return ID and start as one word, for log lines and keys."""
        return f"{self.runner_id}@{self.started_ms}"


class RunStage(Enum):
    """Progress of a request when its runner crashed."""

    NOTHING_SENT = 0
    """The runner had sent neither an event nor a complete response."""

    OUTPUT_STARTED = 1
    """The runner had sent events for less than half a second."""

    OUTPUT_ONGOING = 2
    """The runner had sent events for longer."""


@frozen
class Charge:
    """Record of a request that ran at a runner when the runner crashed."""

    identity: RequestIdentity
    incarnation: str
    """The runner incarnation that crashed, as text."""

    stage: RunStage = RunStage.NOTHING_SENT

    variant_only: bool = False
    """Whether requests with this content and another variant were served recently, so
    that the content alone is not the cause."""


@frozen(kw_only=True)
class Clearance:
    """Record of a request that succeeded, and so did not cause these crashes."""

    identity: RequestIdentity
    incarnations: frozenset[str]
    """Runner incarnations whose crashes the request did not cause, as text."""
