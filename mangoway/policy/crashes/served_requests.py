"""Remembers for a while which requests ended well."""

import math
from collections.abc import Hashable
from typing import TypeVar

from attrs import define, field

from ...models.crash import RequestIdentity
from .const import MAX_REMEMBERED, REMEMBERED_S

KeyT = TypeVar("KeyT", bound=Hashable)


@define(eq=False)
class ServedRequests:
    """Requests that were served of late."""

    most: int = MAX_REMEMBERED
    _served_at: dict[RequestIdentity, float] = field(factory=dict, init=False)
    """By request, oldest first."""

    _contents: dict[str, float] = field(factory=dict, init=False)
    """By content, oldest first."""

    def __len__(self) -> int:
        return len(self._served_at)

    def add(self, identity: RequestIdentity, now: float) -> None:
        """Note that a request was served."""
        _put(self._served_at, identity, now, self.most)
        _put(self._contents, identity.content, now, self.most)

    def contains(self, identity: RequestIdentity, now: float) -> bool:
        """Return whether a request was served of late."""
        return now - self._served_at.get(identity, -math.inf) < REMEMBERED_S

    def contains_content(self, content: str, now: float) -> bool:
        """Return whether any request with a content was served of late."""
        return now - self._contents.get(content, -math.inf) < REMEMBERED_S


def _put(times: dict[KeyT, float], key: KeyT, now: float, most: int) -> None:
    """Put a key at the end, and drop the oldest one if there are too many."""
    times.pop(key, None)
    if len(times) >= most:
        del times[next(iter(times))]
    times[key] = now
