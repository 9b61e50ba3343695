"""Log and journal entries on configuration versions."""

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
REASON_REJECTED: Final = "refused"

DOCUMENT_ERRORS: Final = frozenset(
    {
        ErrorCode.CONFIG_MALFORMED,
        ErrorCode.CONFIG_UNKNOWN_KEY,
        ErrorCode.CONFIG_INVALID,
        ErrorCode.CONFIG_DOES_NOT_FIT,
    }
)
"""Codes of errors in a document; an error with another code is a failed fetch."""


@define(eq=False)
class ConfigurationLog:
    """Writes to the log and the journal of one process."""

    journal: Journal
    _ready: bool = field(default=False, init=False)

    def log_applied(self, version: ConfigVersion, source: HostId | None) -> None:
        """Log that a version was applied; a source of None is the key-value service."""
        name = source or SOURCE_SERVICE
        log_event(log.ConfigurationApplied(config_version=version, source=name))
        if not self._ready:
            self._ready = True
            log_event(log.ProcessReady(config_version=version))
        self._add_to_journal(REASON_APPLIED, version, f"source {name}")

    def log_failure(
        self, source: HostId | None, version: ConfigVersion | None, error: MangowayError
    ) -> None:
        """Log that a fetch failed, or that the document of a version was rejected.

        The version is None if it is unknown; a source of None is the key-value service.
        """
        name = source or SOURCE_SERVICE
        if version is None or error.code not in DOCUMENT_ERRORS:
            log_event(log.ConfigurationFetchFailed(source=name, error=str(error)))
            return
        log_event(
            log.ConfigurationRefused(
                config_version=version, source=name, detail=str(error)
            )
        )
        self._add_to_journal(REASON_REJECTED, version, f"source {name}: {error}")

    def log_pushed(self, peer: HostId, version: ConfigVersion) -> None:
        """Log that the version in force was sent to a peer."""
        log_event(log.ConfigurationPushed(peer=peer, config_version=version))

    def _add_to_journal(self, reason: str, version: ConfigVersion, detail: str) -> None:
        self.journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.CONFIGURATION,
                reason=reason,
                detail=detail,
                config_version=version,
            )
        )
