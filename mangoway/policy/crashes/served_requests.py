"""Recently served requests."""

import math
from collections.abc import Hashable
from typing import TypeVar

from attrs import define, field

from ...models.crash import RequestIdentity
from .const import MAX_SERVED, SERVED_RETENTION_S

KeyT = TypeVar("KeyT", bound=Hashable)


@define(eq=False)
class ServedRequests:
    """Requests that were served within the last `SERVED_RETENTION_S`."""

    max_entries: int = MAX_SERVED
    _served_at: dict[RequestIdentity, float] = field(factory=dict, init=False)
    """Time by request, oldest first."""

    _content_served_at: dict[str, float] = field(factory=dict, init=False)
    """Time by content, oldest first."""

    def __len__(self) -> int:
        return len(self._served_at)

    def add(self, identity: RequestIdentity, now: float) -> None:
        """Add a request that was served."""
        _insert(self._served_at, identity, now, self.max_entries)
        _insert(self._content_served_at, identity.content, now, self.max_entries)

    def contains(self, identity: RequestIdentity, now: float) -> bool:
        """Return whether a request was served recently."""
        return now - self._served_at.get(identity, -math.inf) < SERVED_RETENTION_S

    def contains_content(self, content: str, now: float) -> bool:
        """Return whether any request with a content was served recently."""
        return (
            now - self._content_served_at.get(content, -math.inf) < SERVED_RETENTION_S
        )


def _insert(times: dict[KeyT, float], key: KeyT, now: float, max_entries: int) -> None:
    """Insert a key at the end, and drop the oldest one if there are too many."""
    times.pop(key, None)
    if len(times) >= max_entries:
        del times[next(iter(times))]
    times[key] = now
