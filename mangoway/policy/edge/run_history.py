"""What is known about the runs of one request, over all attempts."""

from attrs import define, field

from ...models.verdict import Verdict


@define(eq=False)
class RunHistory:
    """The attempts of a request that were sent, at runners and through peers.

    A request may have run unless each upstream that received it has stated that it did
    not run it. An attempt that was cancelled stays open, so that it counts as run.
    """

    rejected_by: list[str] = field(factory=list, init=False)
    """Runners, and hosts of peers, that stated that they have not run it."""

    _open: int = field(default=0, init=False)
    """Attempts that were sent and have no verdict yet."""

    _has_unproved: bool = field(default=False, init=False)
    """Whether an attempt ended without proof that the request has not run."""

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run, or may run later."""
        return self._has_unproved or self._open > 0

    def record_sent(self) -> None:
        """Record that bytes of the request may be sent to an upstream from now on."""
        self._open += 1

    def record_verdict(self, verdict: Verdict, upstream_id: str) -> None:
        """Record the verdict of an attempt that was sent.

        Args:
            verdict: Whether the request ran in this attempt.
            upstream_id: ID of the runner, or host of the peer.
        """
        self._open -= 1
        if verdict is Verdict.NOT_RUN:
            self.rejected_by.append(upstream_id)
        else:
            self._has_unproved = True
