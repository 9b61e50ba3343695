"""Runners that leave, with the requests that still run at them."""

import math

from attrs import define, field

from ...models.runner import RunnerEntry, is_later_incarnation
from .requests import RequestKey
from .runners import RunnerState


@define(eq=False)
class LeavingRunner:
    """A runner that receives no new requests and will be gone."""

    runner: RunnerState
    known_at: float
    """Time at which its leaving became known here."""

    drain_s: float
    """Seconds from then for which it may be called."""

    stated_gone_at: float = math.inf
    """Time at which it is gone according to its entry."""

    examined_at: float = field(default=-math.inf, init=False)
    """Time at which its streams were last examined."""

    _entry: RunnerEntry | None = field(default=None, init=False)

    @property
    def gone_at(self) -> float:
        """Return the time from which its streams can't be relied on."""
        if self.stated_gone_at < math.inf:
            return self.stated_gone_at
        return self.known_at + self.drain_s

    @property
    def closes_at(self) -> float:
        """Return the time from which it may no longer be called."""
        return min(self.gone_at, self.known_at + self.drain_s)

    def update(self, entry: RunnerEntry, now: float) -> None:
        """Apply the current entry; the stated end never moves to a later time."""
        if entry is self._entry:
            return
        self._entry = entry
        if entry.seconds_left is not None:
            self.stated_gone_at = min(self.stated_gone_at, now + entry.seconds_left)


@define(eq=False)
class LeavingRunners:
    """All runners that leave, by id."""

    _runners: dict[str, LeavingRunner] = field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._runners)

    def add(self, leaving: LeavingRunner) -> None:
        """Add a runner."""
        self._runners[leaving.runner.runner_id] = leaving

    def get(self, runner_id: str) -> LeavingRunner | None:
        """Return a leaving runner."""
        return self._runners.get(runner_id)

    def find(self, entry: RunnerEntry) -> LeavingRunner | None:
        """Return the leaving runner of an entry, if it is of this service and start."""
        known = self._runners.get(entry.runner_id)
        if known is None or known.runner.entry.service != entry.service:
            return None
        started_ms = known.runner.entry.started_ms
        return None if is_later_incarnation(entry.started_ms, started_ms) else known

    def keep_only(self, present: frozenset[str]) -> list[RunnerState]:
        """Drop and return the runners that no longer leave, or whose entries are gone.

        Args:
            present: Runners that leave.
        """
        dropped = [each for each in self._runners if each not in present]
        return [self._runners.pop(each).runner for each in dropped]

    def list_runners(self) -> list[RunnerState]:
        """Return the states of the runners."""
        return [each.runner for each in self._runners.values()]

    def list_by_end(self) -> list[LeavingRunner]:
        """Return the runners in order of the time that they have left."""
        return sorted(self._runners.values(), key=lambda each: each.gone_at)

    def find_runner(self, runner_id: str, key: RequestKey) -> RunnerState | None:
        """Return a leaving runner if a request runs there."""
        known = self._runners.get(runner_id)
        return (
            known.runner if known is not None and key in known.runner.running else None
        )
