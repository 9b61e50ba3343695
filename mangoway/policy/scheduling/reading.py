"""The prompts that a runner still has to read, in time.

Answers engines of which a first event comes long after the prompt was read: a prompt
counts as read when its time is over, and not only when its first event shows that.
Runners would idle in between.
"""

from typing import Final

from attrs import define, field

from .requests import Running

GRANT_WAY_S: Final = 0.004
"""Time from a grant until the runner has the prompt: two ways between data centres and
the edge's part."""

OVERDUE_PART: Final = 0.3
"""Part of the expected time by which a first event may be late before the runner counts
as slower than thought."""

MAX_CORRECTION_S: Final = 0.3
"""Most by which one late first event puts off the reading of the prompts behind it."""


@define(eq=False)
class Reading:
    """Prompts that were sent and whose first event has not come, oldest first."""

    until: float = 0.0
    """When all of them should have been read."""

    _prompts: list[Running] = field(factory=list, init=False)
    _shown_read_at: float = field(default=0.0, init=False)
    """When the last prompt was read that has shown its first event."""

    def add(self, running: Running, now: float) -> None:
        """Count a prompt that is sent now."""
        self.until = max(self.until, now + GRANT_WAY_S) + running.unread_s
        running.read_at = self.until
        self._prompts.append(running)

    def measure(self, now: float) -> float:
        """Return the time for which the runner still reads.

        A first event that is overdue shows that the runner is slower than expected:
        all prompts after it are late as well.
        """
        overdue_s = 0.0
        for each in self._prompts:
            expected_s = each.first_event_s + each.unread_s
            late_s = now - each.read_at - each.first_event_s
            overdue_s = max(overdue_s, late_s - OVERDUE_PART * expected_s)
        return max(0.0, self.until - now) + overdue_s

    def find_begin(self, running: Running) -> float | None:
        """Return when a runner began to read a prompt, as its first event shows.

        That was at the grant, or when the prompt before it was read. None if it isn't
        known: prompts granted before it may still be read, in another order.
        """
        if running.adopted or running not in self._prompts:
            return None
        if any(each.granted_at < running.granted_at for each in self._prompts):
            return None
        return max(running.granted_at, self._shown_read_at)

    def note_first_event(self, running: Running, now: float) -> None:
        """Count a prompt as read, and correct by it when the others will be."""
        if running not in self._prompts:
            return
        self._shown_read_at = now - running.first_event_s
        error_s = self._shown_read_at - running.read_at
        self.note_read(running, now)
        error_s = min(MAX_CORRECTION_S, max(-running.unread_s, error_s))
        for each in self._prompts:
            each.read_at += error_s
        if self._prompts:
            self.until += error_s

    def note_read(self, running: Running, now: float) -> None:
        """Count a prompt as read."""
        if running in self._prompts:
            self._prompts.remove(running)
        if not self._prompts:
            self.until = min(self.until, now)

    def note_ended(self, running: Running, now: float) -> None:
        """Count a prompt as one that will not be read, if it was not."""
        if running in self._prompts:
            self.until = max(now, self.until - running.unread_s)
            self.note_read(running, now)
