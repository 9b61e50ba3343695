"""Software versions that the runners of each service have had recently."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from attrs import define, field, frozen

from ...models.runner import RunnerEntry

ServiceVersion = tuple[str, str]
"""Service, and software version of one of its runners; empty if it states none."""


MAX_VERSIONS: Final = 256
"""Versions that a host keeps, the latest ones; a fleet has one or two of a service."""


@frozen(kw_only=True)
class VersionEvidence:
    """What a host knows of the versions with which a stream may have begun."""

    versions: frozenset[ServiceVersion]
    is_certain: bool
    """Whether no other version can have served within the life of a stream, as far as
    the store shows."""

    ages_s: Mapping[ServiceVersion, float] = field(factory=dict)
    """For how many seconds a version was not seen, of those that the host has seen or
    was told of. Others keep them, so that hosts that restart one after the other don't
    forget a version."""


@define(eq=False)
class VersionHistory:
    """The versions that a host has seen, and when it saw them last."""

    _first_at: float | None = field(default=None, init=False)
    """Time of the first runners; None before them."""

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
        for each in current:
            self.learn(each, now)
        if self._first_at is None:
            self._first_at = now
        if self._began_at is None or not is_gapless:
            self._began_at = now

    def learn(self, version: ServiceVersion, seen_at: float) -> None:
        """Record that a version was there at a time."""
        known = self._seen_at.pop(version, seen_at)
        self._seen_at[version] = max(seen_at, known)
        if len(self._seen_at) > MAX_VERSIONS:
            del self._seen_at[min(self._seen_at, key=self._seen_at.__getitem__)]

    def list_recent(self, services: Iterable[str], since: float) -> set[ServiceVersion]:
        """Return the versions of services that were seen since a time."""
        names = set(services)
        return {
            each
            for each, seen_at in self._seen_at.items()
            if each[0] in names and seen_at >= since
        }

    def measure_ages(
        self, versions: Iterable[ServiceVersion], now: float
    ) -> dict[ServiceVersion, float]:
        """Return for how many seconds known ones of the versions were not seen."""
        return {
            each: now - self._seen_at[each]
            for each in versions
            if each in self._seen_at
        }

    def count_versions(
        self, since: float, recorded: Iterable[ServiceVersion] = ()
    ) -> Counter[str]:
        """Return how many versions each service has had since a time.

        Args:
            since: The time.
            recorded: Versions that have records in the store.
        """
        seen = {each for each, seen_at in self._seen_at.items() if seen_at >= since}
        return Counter(service for service, _ in seen.union(recorded))

    def covers(self, since: float) -> bool:
        """Return whether all versions are known that were there since a time."""
        return self._began_at is not None and self._began_at <= since

    def reaches(self, since: float) -> bool:
        """Return whether the history, with gaps or without, begins before a time."""
        return self._first_at is not None and self._first_at <= since

    def forget(self, before: float) -> None:
        """Remove the versions that were not seen since a time."""
        past = [each for each, seen_at in self._seen_at.items() if seen_at < before]
        for each in past:
            del self._seen_at[each]
