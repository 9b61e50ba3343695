"""Memory of an engine stand-in: really counted, and a record when it is over."""

from collections.abc import Callable

from attrs import define, field

from mangoway.models.artifact import Artifact
from mangoway.models.order import OrderKind, OrderOutcome
from mangoway.models.upstream import Residency, ResidentArtifact


@define
class Loaded:
    """An artifact in memory."""

    memory_mb: int
    ready_at: float


@define
class OverSize:
    """One moment at which more was loaded than the accelerators hold."""

    artifact: str
    used_mb: int
    size_mb: int


@define
class EngineMemory:
    """Counts loads and unloads; it never refuses for want of memory."""

    size_mb: int
    kv_cache_floor_mb: int
    now: Callable[[], float]
    loaded: dict[Artifact, Loaded] = field(factory=dict)
    over_size: list[OverSize] = field(factory=list)
    loads: int = 0
    unloads: int = 0
    role: str = "mixed"

    @property
    def used_mb(self) -> int:
        """Return the memory taken now, KV cache floor included."""
        return self.kv_cache_floor_mb + sum(x.memory_mb for x in self.loaded.values())

    def is_ready(self, artifact: Artifact) -> bool:
        """Return whether an artifact and its base can answer now."""
        needed = {artifact, artifact.base}
        now = self.now()
        return all(a in self.loaded and self.loaded[a].ready_at <= now for a in needed)

    def list_residents(self) -> tuple[ResidentArtifact, ...]:
        """Return what is in memory, as a report says it."""
        now = self.now()
        return tuple(
            ResidentArtifact(
                artifact=artifact,
                memory_mb=x.memory_mb,
                state=Residency.READY if x.ready_at <= now else Residency.LOADING,
            )
            for artifact, x in self.loaded.items()
        )

    def obey(
        self, kind: OrderKind, artifact: Artifact, memory_mb: int, load_s: float
    ) -> OrderOutcome:
        """Carry out an order."""
        if kind is OrderKind.LOAD:
            return self._load(artifact, memory_mb, load_s)
        if kind is OrderKind.CHANGE_ROLE:
            return OrderOutcome.ACCEPTED
        if artifact not in self.loaded:
            return OrderOutcome.REFUSED_UNKNOWN
        self._unload(artifact)
        return OrderOutcome.ACCEPTED

    def _load(self, artifact: Artifact, memory_mb: int, load_s: float) -> OrderOutcome:
        if artifact in self.loaded:
            return OrderOutcome.ACCEPTED
        if artifact.base != artifact and artifact.base not in self.loaded:
            return OrderOutcome.REFUSED_UNKNOWN
        self.loads += 1
        self.loaded[artifact] = Loaded(memory_mb, self.now() + load_s)
        if self.used_mb > self.size_mb:
            self.over_size.append(OverSize(str(artifact), self.used_mb, self.size_mb))
        return OrderOutcome.ACCEPTED

    def _unload(self, artifact: Artifact) -> None:
        """Drop an artifact, and the adapters that ran on it."""
        for other in [a for a in self.loaded if artifact in (a, a.base)]:
            del self.loaded[other]
            self.unloads += 1
