"""Messages of the plain services' protocol."""

from attrs import frozen

from ..models.identifiers import AttemptId, CallName


@frozen(kw_only=True)
class ServiceAttempt:
    """One try of a call at one host of a plain service."""

    id: AttemptId
    call: CallName
    body: bytes
    idempotent: bool
    timeout_s: float
    silence_s: float


@frozen(kw_only=True)
class ServiceAnswer:
    """The answer of a plain service, as it came."""

    status: int
    content_type: str
    body: bytes
