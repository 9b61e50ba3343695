"""Logs and keeps what became of versions of the configuration."""

import time
from typing import Final

from attrs import define, field

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion, HostId
from ..observability import events as log
from ..observability.event_log import log_event
from ..observability.journal import DecisionKind, Journal, JournalEntry

SOURCE_SERVICE: Final = "key_value"
REASON_APPLIED: Final = "applied"
REASON_REFUSED: Final = "refused"

REFUSALS: Final = frozenset(
    {
        ErrorCode.CONFIG_MALFORMED,
        ErrorCode.CONFIG_UNKNOWN_KEY,
        ErrorCode.CONFIG_INVALID,
        ErrorCode.CONFIG_DOES_NOT_FIT,
    }
)
"""Failures of a document itself; any other is one of the way to it."""


@define(eq=False)
class ConfigurationLog:
    """Notes in the log and in the journal of one process."""

    journal: Journal
    _ready: bool = field(default=False, init=False)

    def note_applied(self, version: ConfigVersion, source: HostId | None) -> None:
        """Note that a version came in force here; the source None is the service."""
        name = source or SOURCE_SERVICE
        log_event(log.ConfigurationApplied(config_version=version, source=name))
        if not self._ready:
            self._ready = True
            log_event(log.ProcessReady(config_version=version))
        self._keep(REASON_APPLIED, version, f"source {name}")

    def note_failure(
        self, source: HostId | None, version: ConfigVersion | None, error: MangowayError
    ) -> None:
        """Note that a version, if it is known which, was not got or not taken."""
        name = source or SOURCE_SERVICE
        if version is None or error.code not in REFUSALS:
            log_event(log.ConfigurationFetchFailed(source=name, error=str(error)))
            return
        log_event(
            log.ConfigurationRefused(
                config_version=version, source=name, detail=str(error)
            )
        )
        self._keep(REASON_REFUSED, version, f"source {name}: {error}")

    def note_pushed(self, peer: HostId, version: ConfigVersion) -> None:
        """Note that a peer was sent the version in force."""
        log_event(log.ConfigurationPushed(peer=peer, config_version=version))

    def _keep(self, reason: str, version: ConfigVersion, detail: str) -> None:
        self.journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.CONFIGURATION,
                reason=reason,
                detail=detail,
                config_version=version,
            )
        )
