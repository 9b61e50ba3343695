"""Judges runners by the answers that requests got, not by what they claim."""

from collections.abc import Collection
from typing import Final

from attrs import define, field

from .const import AVOID_S, AVOIDED_SHARE, FAILURES_TO_AVOID

NONE: Final[frozenset[str]] = frozenset()
"""The runners that are avoided where all may be tried, made once for all looks."""


@define
class RunnerHealth:
    """Record of one runner."""

    failures: int = 0
    """Failures since the last good answer."""

    avoided: bool = False
    next_try_at: float = 0.0


@define(eq=False)
class HealthTracker:
    """Records of all runners, by their ids."""

    _records: dict[str, RunnerHealth] = field(factory=dict, init=False)

    def record_success(self, runner_id: str) -> bool:
        """Count a good answer; returns whether the runner was avoided until now."""
        record = self._records.pop(runner_id, None)
        return record is not None and record.avoided

    def record_failure(
        self, runner_id: str, now: float, *, unreachable: bool = False
    ) -> int:
        """Count a failure.

        Args:
            runner_id: The runner.
            now: Time in seconds.
            unreachable: Whether it could not be connected to, which one failure shows.

        Returns:
            The failures in a row if the runner is avoided from now on, else 0.
        """
        record = self._records.setdefault(runner_id, RunnerHealth())
        record.failures += FAILURES_TO_AVOID if unreachable else 1
        if record.failures < FAILURES_TO_AVOID:
            return 0
        record.next_try_at = now + AVOID_S
        newly, record.avoided = not record.avoided, True
        return record.failures if newly else 0

    def list_usable(self, runner_ids: list[str], now: float) -> list[str]:
        """Return the runners that may be tried now; all if too many are avoided."""
        avoided = self.find_avoided(frozenset(runner_ids), now)
        return [each for each in runner_ids if each not in avoided]

    def find_avoided(self, runner_ids: Collection[str], now: float) -> frozenset[str]:
        """Return which runners may not be tried now; none if they are too many."""
        if not self._records:
            return NONE
        avoided = frozenset(
            each
            for each in self._records
            if each in runner_ids and not self._is_usable(each, now)
        )
        return NONE if len(avoided) > AVOIDED_SHARE * len(runner_ids) else avoided

    def record_attempt(self, runner_id: str, now: float) -> None:
        """Note a try, after which an avoided runner waits for its outcome."""
        record = self._records.get(runner_id)
        if record is not None and record.avoided:
            record.next_try_at = now + AVOID_S

    def forget(self, runner_id: str) -> None:
        """Forget what an earlier life of a runner did."""
        self._records.pop(runner_id, None)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Forget runners that are gone."""
        for runner_id in set(self._records) - runner_ids:
            del self._records[runner_id]

    def _is_usable(self, runner_id: str, now: float) -> bool:
        record = self._records.get(runner_id)
        return record is None or not record.avoided or now >= record.next_try_at
