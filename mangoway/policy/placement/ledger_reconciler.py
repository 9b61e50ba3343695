"""Reconciliation of the ledgers of changed runners with their reports."""

from attrs import define

from .ledgers import list_entries
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState


@define
class LedgerReconciler:
    """Updates the copies and reconciles the ledgers of changed runners."""

    _state: PlacementState
    _reservations: Reservations

    def refresh(self, now: float) -> None:
        """Update the copies of changed runners and write reconciled ledgers."""
        for runner in self._state.runners.values():
            if runner.load_deadlines:
                self._reservations.outbox.dirty_runners.add(runner.id)
            if runner.is_backing_off and runner.write_retry_at <= now:
                runner.is_backing_off = False
                self._reservations.outbox.dirty_runners.add(runner.id)
        self._reservations.unload_checks.refresh_copies(now)
        for upstream_id in sorted(self._reservations.outbox.dirty_runners):
            if upstream_id not in self._state.runners:
                continue
            runner = self._state.runners[upstream_id]
            if self._reservations.reconcile_runner(runner):
                self._state.queue.unblock_all()
            self._remove_met_deadlines(runner)
            runner.expire_records(now)
            runner.is_steady = self._is_steady(runner)
        self._reservations.outbox.dirty_runners.clear()

    def _is_steady(self, runner: Runner) -> bool:
        """Return whether a ledger contains only copies that are ready and offered."""
        if not runner.is_free or runner.ledger is None or runner.unsent_unloads:
            return False
        copies = self._state.copies.list_on_runner(runner.id)
        return all(
            entry.order is None
            and entry.artifact in self._state.offered
            and copies.get(entry.artifact) is CopyState.READY
            for entry in list_entries(runner.ledger)
        )

    def _remove_met_deadlines(self, runner: Runner) -> None:
        copies = self._state.copies.list_on_runner(runner.id)
        for artifact in list(runner.load_deadlines):
            if copies.get(artifact) is not CopyState.LOADING:
                del runner.load_deadlines[artifact]
