"""Runner health, judged by the results of requests, not by the runners' reports."""

from collections.abc import Collection
from typing import Final

from attrs import define, field

from .const import AVOIDED_RETRY_INTERVAL_S, FAILURES_TO_AVOID, MAX_AVOIDED_SHARE

NO_RUNNERS: Final[frozenset[str]] = frozenset()
"""Shared result for the case that no runner is avoided."""


@define
class RunnerHealth:
    """Health of one runner."""

    failures: int = 0
    """Failures since the last success; one to connect adds `FAILURES_TO_AVOID`."""

    avoided: bool = False
    next_attempt_at: float = 0.0


@define(eq=False)
class HealthTracker:
    """Health of all runners with failures, by runner id."""

    _records: dict[str, RunnerHealth] = field(factory=dict, init=False)

    def record_success(self, runner_id: str) -> bool:
        """Reset a runner after a success; return whether it was avoided until now."""
        record = self._records.pop(runner_id, None)
        return record is not None and record.avoided

    def record_failure(
        self, runner_id: str, now: float, *, unreachable: bool = False
    ) -> int:
        """Count a failed request.

        Args:
            runner_id: The runner.
            now: Time in seconds.
            unreachable: Whether connecting failed; a single such failure is enough.

        Returns:
            The consecutive failures if the runner becomes avoided now, else 0.
        """
        record = self._records.setdefault(runner_id, RunnerHealth())
        record.failures += FAILURES_TO_AVOID if unreachable else 1
        if record.failures < FAILURES_TO_AVOID:
            return 0
        record.next_attempt_at = now + AVOIDED_RETRY_INTERVAL_S
        is_newly_avoided, record.avoided = not record.avoided, True
        return record.failures if is_newly_avoided else 0

    def list_usable(self, runner_ids: list[str], now: float) -> list[str]:
        """Return the runners that may be used now; all if too many are avoided."""
        avoided = self.find_avoided(frozenset(runner_ids), now)
        return [each for each in runner_ids if each not in avoided]

    def find_avoided(self, runner_ids: Collection[str], now: float) -> frozenset[str]:
        """Return the runners that must not be used now; none if there are too many."""
        if not self._records:
            return NO_RUNNERS
        avoided = frozenset(
            each
            for each in self._records
            if each in runner_ids and not self._is_usable(each, now)
        )
        return (
            NO_RUNNERS
            if len(avoided) > MAX_AVOIDED_SHARE * len(runner_ids)
            else avoided
        )

    def record_attempt(self, runner_id: str, now: float) -> None:
        """Delay the next attempt at an avoided runner, since one has just been sent."""
        record = self._records.get(runner_id)
        if record is not None and record.avoided:
            record.next_attempt_at = now + AVOIDED_RETRY_INTERVAL_S

    def forget(self, runner_id: str) -> None:
        """Reset a runner that has restarted."""
        self._records.pop(runner_id, None)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Drop all runners but these."""
        for runner_id in set(self._records) - runner_ids:
            del self._records[runner_id]

    def _is_usable(self, runner_id: str, now: float) -> bool:
        record = self._records.get(runner_id)
        return record is None or not record.avoided or now >= record.next_attempt_at
