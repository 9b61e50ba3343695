"""Periodic checks of waiting requests."""

from attrs import define

from ...models.artifact import Artifact
from ...models.errors import ErrorCode
from .admission import Admission
from .const import MIN_DURATION_SHARE
from .context import Context
from .entries import Entry
from .queues import TargetQueue
from .scheduler import Scheduler
from .upstreams import find_resource


@define(eq=False)
class Recheck:
    """Rejects waiting requests early if they can no longer meet their deadlines.

    Only clear cases are rejected early; the others expire at their latest start. The
    check is made once per period; its cost grows with the number of waiting requests.
    """

    context: Context
    admission: Admission
    scheduler: Scheduler

    def run(self) -> None:
        """Check all queues."""
        for queue in self.context.queues.list_queues():
            if not self.context.fleet.count_ready(find_resource(queue.target)):
                self._check_copies(queue)
            else:
                self._check_wait(queue)

    def _check_copies(self, queue: TargetQueue) -> None:
        now = self.context.now
        wait = 0.0
        code = ErrorCode.NO_UPSTREAM
        if isinstance(queue.target, Artifact):
            wait = self.context.estimates.estimate_load_s(queue.target, now)
            code = ErrorCode.MODEL_LOADING
        for entry in queue.list_entries():
            late = now + wait * MIN_DURATION_SHARE > entry.latest_start
            if late or code is ErrorCode.NO_UPSTREAM:
                self.scheduler.reject_early(entry, code, wait)

    def _check_wait(self, queue: TargetQueue) -> None:
        now = self.context.now
        unreachable: list[tuple[Entry, float]] = []
        rate = self.admission.measure_drain_rate(queue, now)
        if rate is not None:
            for entry, ahead in queue.urgent.list_positions():
                self._collect(unreachable, entry, ahead / rate)
        rate = self.admission.estimate_capacity_rate(queue.target, now)
        if rate is not None:
            urgent = queue.urgent.length
            for entry, ahead in queue.patient.list_positions():
                self._collect(unreachable, entry, (urgent + ahead) / rate)
        for entry, wait in unreachable:
            self.scheduler.reject_early(entry, ErrorCode.DEADLINE_UNREACHABLE, wait)

    def _collect(
        self, unreachable: list[tuple[Entry, float]], entry: Entry, wait: float
    ) -> None:
        if self.context.now + wait * MIN_DURATION_SHARE > entry.latest_start:
            unreachable.append((entry, wait))
