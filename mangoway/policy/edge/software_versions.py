"""Software versions that the runners of each service have had recently."""

from collections import Counter
from collections.abc import Iterable

from attrs import define, field, frozen

from ...models.runner import RunnerEntry

ServiceVersion = tuple[str, str]
"""Service, and software version of one of its runners; empty if it states none."""


@frozen(kw_only=True)
class VersionEvidence:
    """What a host knows of the versions with which a stream may have begun."""

    versions: frozenset[ServiceVersion]
    is_certain: bool
    """Whether no other version can have served within the life of a stream, as far as
    the store shows."""


@define(eq=False)
class VersionHistory:
    """The versions that a host has seen, and when it saw them last."""

    _began_at: float | None = field(default=None, init=False)
    """Time from which all versions are known; None before the first runners."""

    _seen_at: dict[ServiceVersion, float] = field(factory=dict, init=False)

    def update(
        self, runners: Iterable[RunnerEntry], now: float, *, is_gapless: bool
    ) -> None:
        """Record the current runners.

        Args:
            runners: All known runners.
            now: Time in seconds.
            is_gapless: Whether no runner can have come and gone unnoticed.
        """
        current = {(each.service, each.software_version) for each in runners}
        self._seen_at |= dict.fromkeys(current, now)
        if self._began_at is None or not is_gapless:
            self._began_at = now

    def list_recent(self, services: Iterable[str], since: float) -> set[ServiceVersion]:
        """Return the versions of services that were seen since a time."""
        names = set(services)
        return {
            each
            for each, seen_at in self._seen_at.items()
            if each[0] in names and seen_at >= since
        }

    def count_versions(self, since: float) -> Counter[str]:
        """Return how many versions of each service were seen since a time."""
        return Counter(
            service
            for (service, _), seen_at in self._seen_at.items()
            if seen_at >= since
        )

    def covers(self, since: float) -> bool:
        """Return whether all versions are known that were there since a time."""
        return self._began_at is not None and self._began_at <= since

    def forget(self, before: float) -> None:
        """Remove the versions that were not seen since a time."""
        past = [each for each, seen_at in self._seen_at.items() if seen_at < before]
        for each in past:
            del self._seen_at[each]
