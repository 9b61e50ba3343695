"""Journal of the last decisions of a process, with their reasons, for operators."""

from collections import deque
from enum import Enum
from typing import Final

from attrs import frozen

from ..models.artifact import Artifact
from ..models.identifiers import ConfigVersion, RequestId, UpstreamId

DEFAULT_CAPACITY: Final = 4096


class DecisionKind(Enum):
    """Subject of a decision."""

    REQUEST = "request"
    PLACEMENT = "placement"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"


@frozen(kw_only=True)
class JournalEntry:
    """One decision and its reason."""

    at: float
    """Wall-clock time in seconds since the epoch."""

    kind: DecisionKind
    reason: str
    """Stable reason code, lower case with underscores."""

    detail: str = ""
    request: RequestId | None = None
    artifact: Artifact | None = None
    upstream: UpstreamId | None = None
    config_version: ConfigVersion | None = None
    trace_id: str | None = None


@frozen(kw_only=True)
class JournalQuery:
    """Filter of journal entries; fields that are None match every entry."""

    kind: DecisionKind | None = None
    request: RequestId | None = None
    model: str | None = None
    """Name of a model, or the full name of one of its artifacts."""

    upstream: UpstreamId | None = None
    config_version: ConfigVersion | None = None
    limit: int = 100

    def matches(self, entry: JournalEntry) -> bool:
        """Return whether an entry matches the query."""
        return (
            self.kind in (None, entry.kind)
            and self.request in (None, entry.request)
            and self.upstream in (None, entry.upstream)
            and self.config_version in (None, entry.config_version)
            and self._matches_model(entry.artifact)
        )

    def _matches_model(self, artifact: Artifact | None) -> bool:
        if self.model is None:
            return True
        if artifact is None:
            return False
        return self.model in (artifact.model, str(artifact))


class Journal:
    """Ring buffer of decisions; the oldest are dropped first."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._entries: deque[JournalEntry] = deque(maxlen=capacity)

    def add(self, entry: JournalEntry) -> None:
        """Add a decision."""
        self._entries.append(entry)

    def find(self, query: JournalQuery) -> tuple[JournalEntry, ...]:
        """Return the latest matching entries, oldest first."""
        found: list[JournalEntry] = []
        for entry in reversed(self._entries):
            if len(found) == query.limit:
                break
            if query.matches(entry):
                found.append(entry)
        return tuple(reversed(found))
