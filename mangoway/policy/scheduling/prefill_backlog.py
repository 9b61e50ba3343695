"""The prompts that a runner still has to read, in time.

Answers engines of which a first event comes long after the prompt was read: a prompt
counts as read when its time is over, and not only when its first event shows that.
Runners would idle in between.
"""

from typing import Final

from attrs import define, field

from .requests import RunningRequest

GRANT_DELAY_S: Final = 0.004
"""Time from a grant until the runner has the prompt: two ways between data centres and
the edge's part."""

OVERDUE_SHARE: Final = 0.3
"""Part of the expected time by which a first event may be late before the runner counts
as slower than thought."""

MAX_CORRECTION_S: Final = 0.3
"""Most by which one late first event puts off the reading of the prompts behind it."""


@define(eq=False)
class PrefillBacklog:
    """Prompts that were sent and whose first event has not come, oldest first."""

    ends_at: float = 0.0
    """When all of them should have been read."""

    _prompts: list[RunningRequest] = field(factory=list, init=False)
    _last_prefilled_at: float = field(default=0.0, init=False)
    """When the last prompt was read that has shown its first event."""

    def add(self, running: RunningRequest, now: float) -> None:
        """Count a prompt that is sent now."""
        self.ends_at = max(self.ends_at, now + GRANT_DELAY_S) + running.prefill_s
        running.prefilled_at = self.ends_at
        self._prompts.append(running)

    def estimate_remaining_s(self, now: float) -> float:
        """Return the time for which the runner still reads.

        A first event that is overdue shows that the runner is slower than expected:
        all prompts after it are late as well.
        """
        overdue_s = 0.0
        for each in self._prompts:
            expected_s = each.first_event_overhead_s + each.prefill_s
            late_s = now - each.prefilled_at - each.first_event_overhead_s
            overdue_s = max(overdue_s, late_s - OVERDUE_SHARE * expected_s)
        return max(0.0, self.ends_at - now) + overdue_s

    def estimate_start(self, running: RunningRequest) -> float | None:
        """Return when a runner began to read a prompt, as its first event shows.

        That was at the grant, or when the prompt before it was read. None if it isn't
        known: prompts granted before it may still be read, in another order.
        """
        if running.adopted or running not in self._prompts:
            return None
        if any(each.granted_at < running.granted_at for each in self._prompts):
            return None
        return max(running.granted_at, self._last_prefilled_at)

    def record_first_event(self, running: RunningRequest, now: float) -> None:
        """Count a prompt as read, and correct by it when the others will be."""
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
        """Count a prompt as read."""
        if running in self._prompts:
            self._prompts.remove(running)
        if not self._prompts:
            self.ends_at = min(self.ends_at, now)

    def remove(self, running: RunningRequest, now: float) -> None:
        """Count a prompt as one that will not be read, if it was not."""
        if running in self._prompts:
            self.ends_at = max(now, self.ends_at - running.prefill_s)
            self.mark_prefilled(running, now)
