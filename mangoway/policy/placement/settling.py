"""What the reports and ledgers of changed runners allow."""

from attrs import define

from .ledgers import list_entries
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState


@define
class Settling:
    """Keeps copies up to date and writes ledgers as the evidence allows."""

    _state: PlacementState
    _steps: Reservations

    def refresh(self, now: float) -> None:
        """Take over what changed and write what the evidence allows."""
        for runner in self._state.runners.values():
            if runner.appear_by:
                self._steps.outbox.dirty.add(runner.id)
            if runner.holds_back and runner.write_after <= now:
                runner.holds_back = False
                self._steps.outbox.dirty.add(runner.id)
        self._steps.checks.refresh_copies(now)
        for upstream_id in sorted(self._steps.outbox.dirty):
            if upstream_id not in self._state.runners:
                continue
            runner = self._state.runners[upstream_id]
            if self._steps.settle_runner(runner):
                self._state.queue.unblock_all()
            self._forget_appeared(runner)
            runner.forget(now)
            runner.is_settled = self._is_settled(runner)
        self._steps.outbox.dirty.clear()

    def _is_settled(self, runner: Runner) -> bool:
        """Return whether a ledger holds ready and offered copies only."""
        if not runner.is_free or runner.ledger is None or runner.unsent:
            return False
        copies = self._state.copies.list_on(runner.id)
        return all(
            entry.order is None
            and entry.artifact in self._state.offered
            and copies.get(entry.artifact) is CopyState.READY
            for entry in list_entries(runner.ledger)
        )

    def _forget_appeared(self, runner: Runner) -> None:
        copies = self._state.copies.list_on(runner.id)
        for artifact in list(runner.appear_by):
            if copies.get(artifact) is not CopyState.LOADING:
                del runner.appear_by[artifact]
