"""Index of the copies of each artifact over all runners."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .runners import CopyState, Runner

Copies = dict[UpstreamId, CopyState]

_NONE: Copies = {}


@define
class CopyIndex:
    """Copies by artifact and by runner, updated one runner at a time."""

    by_runner: dict[UpstreamId, dict[Artifact, CopyState]] = field(factory=dict)
    by_artifact: dict[Artifact, Copies] = field(factory=dict)
    loading: int = 0
    """Loads in flight on all runners."""

    _ready: dict[Artifact, list[UpstreamId]] = field(factory=dict)
    _held: dict[Artifact, list[UpstreamId]] = field(factory=dict)
    """Answers of the last questions, until something about the artifact changes."""

    _leaving: set[UpstreamId] = field(factory=set)

    def update(self, runner: Runner, now: float) -> set[Artifact]:
        """Take over a runner's copies; return the artifacts that changed."""
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
        self.loading += (new is CopyState.LOADING) - (old is CopyState.LOADING)
        self._forget(artifact)
        if new is None:
            copies = self.by_artifact[artifact]
            del copies[runner.id]
            if not copies:
                del self.by_artifact[artifact]
            return
        self.by_artifact.setdefault(artifact, {})[runner.id] = new
        if new is CopyState.READY:
            runner.ready_at.setdefault(artifact, now)
        else:
            runner.ready_at.pop(artifact, None)

    def remove(self, upstream_id: UpstreamId) -> set[Artifact]:
        """Forget a runner; return the artifacts that it had copies of."""
        old = self.by_runner.pop(upstream_id, {})
        self._leaving.discard(upstream_id)
        for artifact, state in old.items():
            self.loading -= state is CopyState.LOADING
            self._forget(artifact)
            copies = self.by_artifact[artifact]
            del copies[upstream_id]
            if not copies:
                del self.by_artifact[artifact]
        return set(old)

    def find(self, artifact: Artifact) -> Copies:
        """Return the copies of an artifact."""
        return self.by_artifact.get(artifact, _NONE)

    def set_leaving(self, upstream_id: UpstreamId, leaving: bool) -> None:
        """Say whether the copies on a runner leave with it."""
        if leaving:
            self._leaving.add(upstream_id)
        else:
            self._leaving.discard(upstream_id)
        for artifact in self.list_on(upstream_id):
            self._forget(artifact)

    def is_leaving(self, upstream_id: UpstreamId) -> bool:
        """Return whether the copies on a runner are said to leave with it."""
        return upstream_id in self._leaving

    def _forget(self, artifact: Artifact) -> None:
        self._ready.pop(artifact, None)
        self._held.pop(artifact, None)

    def list_ready(self, artifact: Artifact) -> list[UpstreamId]:
        """Return the runners that stay with a ready copy, in order; don't change it."""
        found = self._ready.get(artifact)
        if found is None:
            found = self._list_in(artifact, (CopyState.READY,))
            self._ready[artifact] = found
        return found

    def list_held(self, artifact: Artifact) -> list[UpstreamId]:
        """Return the runners that stay with a ready or loading copy, in order."""
        found = self._held.get(artifact)
        if found is None:
            found = self._list_in(artifact, (CopyState.READY, CopyState.LOADING))
            self._held[artifact] = found
        return found

    def _list_in(
        self, artifact: Artifact, states: tuple[CopyState, ...]
    ) -> list[UpstreamId]:
        return sorted(
            upstream_id
            for upstream_id, state in self.find(artifact).items()
            if state in states and upstream_id not in self._leaving
        )

    def list_on(self, upstream_id: UpstreamId) -> dict[Artifact, CopyState]:
        """Return the copies on a runner."""
        return self.by_runner.get(upstream_id, {})
