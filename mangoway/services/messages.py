"""Messages of the plain service protocol."""

from attrs import frozen

from ..models.identifiers import AttemptId, CallName


@frozen(kw_only=True)
class ServiceAttempt:
    """One attempt of a call at one host of a plain service."""

    id: AttemptId
    call: CallName
    body: bytes
    idempotent: bool
    """Whether the call may be retried, and thus may use a pooled connection."""

    timeout_s: float
    """Seconds for the whole call."""

    silence_s: float
    """Seconds without a received byte after which the connection is closed."""


@frozen(kw_only=True)
class ServiceResponse:
    """The unchanged response of a plain service."""

    status: int
    content_type: str
    body: bytes
