"""Runs that a runner may go on with although the scheduler counts no request for them.

Their callers have left, their edges are lost, or an earlier scheduler granted them. An
unload of what they use is accepted, and waits for their end.
"""

from typing import Final

from attrs import define, field, frozen

from ...models.runner import RunnerReport

MAX_RUN_S: Final = 30.0
"""Time after which a run has ended in any case, where reports list no runs. Routes let
requests last for some 20 s."""

MAX_RUNS: Final = 1024
"""Runs that are remembered of one runner; it runs some hundred at once."""


@frozen
class UnfinishedRun:
    """What a run uses; no model if that is unknown."""

    model: str
    adapter: str
    since: float


@define(eq=False)
class UnfinishedRuns:
    """Runs of one runner that may go on, by the ID of the caller's request."""

    runs: dict[str, UnfinishedRun] = field(factory=dict, init=False)

    def add(self, request_id: str, model: str, adapter: str, now: float) -> None:
        """Add a run whose end is not known."""
        if len(self.runs) >= MAX_RUNS:
            del self.runs[next(iter(self.runs))]
        self.runs[request_id] = UnfinishedRun(model, adapter, now)

    def add_unknown(self, request_ids: frozenset[str], now: float) -> None:
        """Add runs that a report lists and of which nothing else is known."""
        for request_id in request_ids - self.runs.keys():
            self.add(request_id, "", "", now)

    def discard(self, request_id: str) -> None:
        """Remove a run of which a request is counted."""
        self.runs.pop(request_id, None)

    def update(self, report: RunnerReport, described_at: float) -> None:
        """Remove the runs that a report shows to have ended.

        Args:
            report: The report.
            described_at: Time in seconds since which the runner was in its state.
        """
        if report.queued and report.run_ids is not None:
            # A queued request of a caller that has left may still begin.
            return
        for request_id, run in list(self.runs.items()):
            if run.since > described_at:
                continue
            if report.run_ids is not None:
                has_ended = request_id not in report.run_ids
            else:
                is_idle = not report.active and not report.queued
                has_ended = is_idle or described_at - run.since > MAX_RUN_S
            if has_ended:
                del self.runs[request_id]

    def may_use(self, model: str, adapter: str = "") -> bool:
        """Return whether a run may use a model, or one adapter of it if named."""
        return any(
            not run.model
            or (run.model == model and (not adapter or run.adapter == adapter))
            for run in self.runs.values()
        )
