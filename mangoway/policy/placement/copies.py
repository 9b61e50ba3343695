"""Index of the copies of all artifacts on all runners."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .runners import CopyState, Runner

Copies = dict[UpstreamId, CopyState]

_NO_COPIES: Copies = {}


@define
class CopyIndex:
    """Index of copies by artifact and by runner, updated runner by runner."""

    by_runner: dict[UpstreamId, dict[Artifact, CopyState]] = field(factory=dict)
    by_artifact: dict[Artifact, Copies] = field(factory=dict)
    loading_count: int = 0
    """Number of loads in progress on all runners."""

    _ready: dict[Artifact, list[UpstreamId]] = field(factory=dict)
    _ready_or_loading: dict[Artifact, list[UpstreamId]] = field(factory=dict)
    """Cached results by artifact, removed when its copies change."""

    _leaving: set[UpstreamId] = field(factory=set)

    def update(self, runner: Runner, now: float) -> set[Artifact]:
        """Update the copies on a runner; return the artifacts that changed."""
        old = self.by_runner.get(runner.id, {})
        new = runner.list_copies(now)
        if old == new:
            return set()
        changed = {
            artifact
            for artifact in old.keys() | new.keys()
            if old.get(artifact) is not new.get(artifact)
        }
        for artifact in changed:
            self._replace(runner, artifact, old.get(artifact), new.get(artifact), now)
        self.by_runner[runner.id] = new
        return changed

    def _replace(
        self,
        runner: Runner,
        artifact: Artifact,
        old: CopyState | None,
        new: CopyState | None,
        now: float,
    ) -> None:
        self.loading_count += (new is CopyState.LOADING) - (old is CopyState.LOADING)
        self._invalidate(artifact)
        if new is None:
            copies = self.by_artifact[artifact]
            del copies[runner.id]
            if not copies:
                del self.by_artifact[artifact]
            return
        self.by_artifact.setdefault(artifact, {})[runner.id] = new
        if new is CopyState.READY:
            runner.ready_since.setdefault(artifact, now)
        else:
            runner.ready_since.pop(artifact, None)

    def remove(self, upstream_id: UpstreamId) -> set[Artifact]:
        """Remove a runner; return the artifacts that it had copies of."""
        old = self.by_runner.pop(upstream_id, {})
        self._leaving.discard(upstream_id)
        for artifact, state in old.items():
            self.loading_count -= state is CopyState.LOADING
            self._invalidate(artifact)
            copies = self.by_artifact[artifact]
            del copies[upstream_id]
            if not copies:
                del self.by_artifact[artifact]
        return set(old)

    def find(self, artifact: Artifact) -> Copies:
        """Return the copies of an artifact."""
        return self.by_artifact.get(artifact, _NO_COPIES)

    def set_leaving(self, upstream_id: UpstreamId, leaving: bool) -> None:
        """Set whether a runner is leaving; its copies then no longer count."""
        if leaving:
            self._leaving.add(upstream_id)
        else:
            self._leaving.discard(upstream_id)
        for artifact in self.list_on_runner(upstream_id):
            self._invalidate(artifact)

    def is_leaving(self, upstream_id: UpstreamId) -> bool:
        """Return whether a runner is marked as leaving."""
        return upstream_id in self._leaving

    def _invalidate(self, artifact: Artifact) -> None:
        self._ready.pop(artifact, None)
        self._ready_or_loading.pop(artifact, None)

    def list_ready(self, artifact: Artifact) -> list[UpstreamId]:
        """Return the sorted runners with a ready copy that are not leaving.

        The list is cached and must not be changed.
        """
        holders = self._ready.get(artifact)
        if holders is None:
            holders = self._list_in_states(artifact, (CopyState.READY,))
            self._ready[artifact] = holders
        return holders

    def list_ready_or_loading(self, artifact: Artifact) -> list[UpstreamId]:
        """Return the sorted runners with a ready or loading copy that are not leaving.

        The list is cached and must not be changed.
        """
        holders = self._ready_or_loading.get(artifact)
        if holders is None:
            holders = self._list_in_states(
                artifact, (CopyState.READY, CopyState.LOADING)
            )
            self._ready_or_loading[artifact] = holders
        return holders

    def _list_in_states(
        self, artifact: Artifact, states: tuple[CopyState, ...]
    ) -> list[UpstreamId]:
        return sorted(
            upstream_id
            for upstream_id, state in self.find(artifact).items()
            if state in states and upstream_id not in self._leaving
        )

    def list_on_runner(self, upstream_id: UpstreamId) -> dict[Artifact, CopyState]:
        """Return the copies on a runner."""
        return self.by_runner.get(upstream_id, {})
