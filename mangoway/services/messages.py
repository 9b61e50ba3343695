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
    timeout_s: float
    silence_s: float


@frozen(kw_only=True)
class ServiceResponse:
    """The unchanged response of a plain service."""

    status: int
    content_type: str
    body: bytes
