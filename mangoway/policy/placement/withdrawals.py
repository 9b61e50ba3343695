"""Unloads of what is not offered, and of lost loads and unloads."""

from attrs import define

from ...models.artifact import Artifact
from .ledgers import list_entries
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState


@define
class Withdrawals:
    """Unloads what nothing wants, and raises fences past what was lost."""

    _state: PlacementState
    _steps: Reservations

    def withdraw(self, now: float) -> None:
        """Unload what is not offered, and raise fences past lost loads."""
        for runner in self._state.runners.values():
            if runner.is_settled or not runner.is_free or runner.is_leaving:
                continue
            artifact = self._find_unwanted(runner, now)
            if artifact is not None and self._steps.mark(runner, artifact, now):
                self._steps.outbox.explain(artifact, runner, "withdraw")

    def _find_unwanted(self, runner: Runner, now: float) -> Artifact | None:
        if runner.ledger is None:
            return None
        copies = self._state.copies.list_on(runner.id)
        bases = {one.base for one in copies if one.adapter is not None}
        for entry in list_entries(runner.ledger):
            artifact = entry.artifact
            if artifact in bases and artifact.adapter is None:
                continue
            if runner.is_busy_with(artifact) or not runner.may_try(artifact, now):
                continue
            if self._is_unwanted(artifact, copies.get(artifact), runner):
                return artifact
        return None

    def _is_unwanted(
        self, artifact: Artifact, state: CopyState | None, runner: Runner
    ) -> bool:
        if state is CopyState.DRAINING or state is None:
            return self._is_stuck(artifact, runner)
        if state is CopyState.LOST and self._is_idle(artifact, runner):
            return True
        if artifact not in self._state.offered:
            return self._state.may_withdraw(artifact)
        return False

    def _is_idle(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether a lost load is not wanted, and only a new fence frees it."""
        if not runner.checks_fences:
            return False
        if artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return not self._is_shown(artifact, runner)

    def _is_shown(self, artifact: Artifact, runner: Runner) -> bool:
        report = runner.report
        return report is not None and any(
            found.artifact == artifact for found in report.residents
        )

    def _is_stuck(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether an unload was lost and should be sent again."""
        if runner.report is None or artifact in runner.unsent:
            return False
        shown = self._is_shown(artifact, runner)
        if shown and artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return shown or runner.checks_fences
