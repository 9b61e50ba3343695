"""Unloads of artifacts that are no longer offered, and of lost orders."""

from attrs import define

from ...models.artifact import Artifact
from .ledgers import list_entries
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState


@define
class Withdrawals:
    """Unloads unwanted artifacts and raises the fence past lost orders."""

    _state: PlacementState
    _reservations: Reservations

    def withdraw(self, now: float) -> None:
        """Unload artifacts that are not offered, and raise fences past lost orders.

        At most one unload per runner is started.
        """
        for runner in self._state.runners.values():
            if runner.is_steady or not runner.is_free or runner.is_leaving:
                continue
            artifact = self._find_unwanted_artifact(runner, now)
            if artifact is not None and self._reservations.request_unload(
                runner, artifact, now
            ):
                self._reservations.outbox.explain(artifact, runner, "withdraw")

    def _find_unwanted_artifact(self, runner: Runner, now: float) -> Artifact | None:
        if runner.ledger is None:
            return None
        copies = self._state.copies.list_on_runner(runner.id)
        bases = {each.base for each in copies if each.adapter is not None}
        for entry in list_entries(runner.ledger):
            artifact = entry.artifact
            if artifact in bases and artifact.adapter is None:
                continue
            if runner.is_busy_with(artifact) or not runner.may_retry(artifact, now):
                continue
            if self._is_unwanted(artifact, copies.get(artifact), runner):
                return artifact
        return None

    def _is_unwanted(
        self, artifact: Artifact, state: CopyState | None, runner: Runner
    ) -> bool:
        if state is CopyState.DRAINING or state is None:
            return self._is_unload_lost(artifact, runner)
        if state is CopyState.LOST and self._needs_newer_fence(artifact, runner):
            return True
        if artifact not in self._state.offered:
            return self._state.may_withdraw(artifact)
        return False

    def _needs_newer_fence(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether only a newer fence can free the memory of an unwanted load."""
        if not runner.checks_fences:
            return False
        if artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return not self._is_reported(artifact, runner)

    def _is_reported(self, artifact: Artifact, runner: Runner) -> bool:
        report = runner.report
        return report is not None and any(
            resident.artifact == artifact for resident in report.residents
        )

    def _is_unload_lost(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether an unload was lost and has to be sent again."""
        if runner.report is None or artifact in runner.unsent_unloads:
            return False
        is_reported = self._is_reported(artifact, runner)
        if is_reported and artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return is_reported or runner.checks_fences
