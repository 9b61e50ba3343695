"""Room that is reserved at runners for streams that run elsewhere."""

from collections import Counter
from typing import Final

from attrs import define, field, frozen

from .events import TransferReason
from .requests import RequestKey, RunningRequest

RESERVATION_S: Final = 2.0
"""Seconds after which a transfer's reservation ends if nothing was heard of it. A
transfer takes some 100 ms, and callers leave after a pause of two seconds."""


@define(eq=False)
class Reservations:
    """Memory that is reserved at one runner, by request."""

    tokens: int = field(default=0, init=False)
    """Sum of the reserved KV memory."""

    count: int = field(default=0, init=False)
    """Number of requests; an attribute, since each decision reads it per runner."""

    _tokens: dict[RequestKey, int] = field(factory=dict, init=False)
    _artifacts: dict[RequestKey, tuple[str, str]] = field(factory=dict, init=False)
    """Model and adapter that a request will use, where these must stay loaded."""

    def add(
        self, key: RequestKey, tokens: int, artifact: tuple[str, str] | None = None
    ) -> None:
        """Reserve memory for a request, instead of what was reserved for it before.

        Args:
            key: The request.
            tokens: KV memory in tokens.
            artifact: Model and adapter that must stay loaded; None if there are none.
        """
        self.remove(key)
        self._tokens[key] = tokens
        if artifact is not None:
            self._artifacts[key] = artifact
        self.tokens += tokens
        self.count += 1

    def remove(self, key: RequestKey) -> None:
        """Release the memory of a request, if any is reserved."""
        if key in self._tokens:
            self.tokens -= self._tokens.pop(key)
            self._artifacts.pop(key, None)
            self.count -= 1

    def needs(self, model: str, adapter: str = "") -> bool:
        """Return whether a request needs a model, or one adapter of it if named."""
        return any(
            model == each[0] and adapter in ("", each[1])
            for each in self._artifacts.values()
        )


@frozen(kw_only=True)
class Transfer:
    """A transfer that was ordered and has not ended."""

    key: RequestKey
    running: RunningRequest
    source_id: str
    target_id: str
    reason: TransferReason
    expires_at: float


@define(eq=False)
class TransferTable:
    """The transfers in progress, oldest first."""

    _transfers: dict[RequestKey, Transfer] = field(factory=dict, init=False)
    _sources: Counter[str] = field(factory=Counter, init=False)
    """Number of transfers from each runner."""

    def __len__(self) -> int:
        return len(self._transfers)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._transfers

    def add(self, transfer: Transfer) -> None:
        """Add a transfer that starts now."""
        self._transfers[transfer.key] = transfer
        self._sources[transfer.source_id] += 1

    def get(self, key: RequestKey) -> Transfer | None:
        """Return the transfer of a request in progress."""
        return self._transfers.get(key)

    def pop(self, key: RequestKey) -> Transfer | None:
        """Remove and return the transfer of a request."""
        transfer = self._transfers.pop(key, None)
        if transfer is not None:
            self._sources[transfer.source_id] -= 1
            if not self._sources[transfer.source_id]:
                del self._sources[transfer.source_id]
        return transfer

    def count_from(self, runner_id: str) -> int:
        """Return the number of transfers from a runner."""
        return self._sources.get(runner_id, 0)

    def list_edge(self, edge: str) -> list[RequestKey]:
        """Return the requests of an edge that are being transferred."""
        return [key for key in self._transfers if key[0] == edge]

    def list_expired(self, now: float) -> list[RequestKey]:
        """Return the requests whose transfers have taken too long."""
        expired = []
        for key, transfer in self._transfers.items():
            if transfer.expires_at > now:
                break
            expired.append(key)
        return expired
