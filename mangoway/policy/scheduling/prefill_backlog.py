"""The prompts that a runner still has to prefill, in seconds.

Some engines send the first event long after the end of the prefill. A prompt therefore
counts as prefilled when its estimated time is over, and not only when its first event
arrives; otherwise runners would idle in between.
"""

from typing import Final

from attrs import define, field

from .requests import RunningRequest

GRANT_DELAY_S: Final = 0.004
"""Time from a grant until the prompt reaches the runner: two one-way trips between
data centres and the processing of the edge."""

OVERDUE_SHARE: Final = 0.3
"""Share of the expected time by which a first event may be late before the runner
counts as slower than estimated."""

MAX_CORRECTION_S: Final = 0.3
"""Maximum by which one late first event delays the estimated prefill of the following
prompts."""


@define(eq=False)
class PrefillBacklog:
    """Prompts that were sent and have had no first event yet, oldest first."""

    ends_at: float = 0.0
    """Time at which all of them should be prefilled."""

    _prompts: list[RunningRequest] = field(factory=list, init=False)
    _last_prefilled_at: float = field(default=0.0, init=False)
    """End of the prefill of the last prompt that has had its first event."""

    def add(self, running: RunningRequest, now: float) -> None:
        """Add a prompt that is sent now."""
        self.ends_at = max(self.ends_at, now + GRANT_DELAY_S) + running.prefill_s
        running.prefilled_at = self.ends_at
        self._prompts.append(running)

    def estimate_remaining_s(self, now: float) -> float:
        """Return the remaining prefill time of the runner.

        An overdue first event shows that the runner is slower than expected, so that
        all following prompts are late as well.
        """
        overdue_s = 0.0
        for each in self._prompts:
            expected_s = each.first_event_overhead_s + each.prefill_s
            late_s = now - each.prefilled_at - each.first_event_overhead_s
            overdue_s = max(overdue_s, late_s - OVERDUE_SHARE * expected_s)
        return max(0.0, self.ends_at - now) + overdue_s

    def estimate_start(self, running: RunningRequest) -> float | None:
        """Return the start of a prompt's prefill, as its first event shows.

        It is the time of the grant, or the end of the prefill of the prompt before.
        None if it is unknown: prompts that were granted earlier may still be in
        prefill, in another order.
        """
        if running.adopted or running not in self._prompts:
            return None
        if any(each.granted_at < running.granted_at for each in self._prompts):
            return None
        return max(running.granted_at, self._last_prefilled_at)

    def record_first_event(self, running: RunningRequest, now: float) -> None:
        """Mark a prompt as prefilled and correct the estimates of the others."""
        if running not in self._prompts:
            return
        self._last_prefilled_at = now - running.first_event_overhead_s
        error_s = self._last_prefilled_at - running.prefilled_at
        self.mark_prefilled(running, now)
        error_s = min(MAX_CORRECTION_S, max(-running.prefill_s, error_s))
        for each in self._prompts:
            each.prefilled_at += error_s
        if self._prompts:
            self.ends_at += error_s

    def mark_prefilled(self, running: RunningRequest, now: float) -> None:
        """Mark a prompt as prefilled."""
        if running in self._prompts:
            self._prompts.remove(running)
        if not self._prompts:
            self.ends_at = min(self.ends_at, now)

    def remove(self, running: RunningRequest, now: float) -> None:
        """Remove a prompt that will not be prefilled."""
        if running in self._prompts:
            self.ends_at = max(now, self.ends_at - running.prefill_s)
            self.mark_prefilled(running, now)
