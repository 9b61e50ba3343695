"""Requests without their bodies, as input of the decision cores."""

from enum import Enum

from attrs import frozen

from .artifact import Artifact
from .identifiers import (
    CallerId,
    CallName,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    ServiceName,
)


class WorkClass(Enum):
    """Class of work: a user waits for the response, or it is due at a deadline."""

    URGENT = "urgent"
    PATIENT = "patient"


@frozen
class ServiceCall:
    """A call of a plain service."""

    service: ServiceName
    call: CallName

    def __str__(self) -> str:
        return f"{self.service}/{self.call}"


Target = Artifact | ServiceCall
"""Target of a request: an artifact, or a call of a plain service."""


@frozen(kw_only=True)
class Request:
    """One arrival of a caller's request at a gateway.

    Times are seconds on the clock of the decision core.
    """

    id: RequestId
    caller: CallerId
    work_class: WorkClass
    target: Target
    arrived_at: float
    deadline: float
    """Time by which the complete response is due."""

    first_token_deadline: float | None = None
    """Time by which the first token is due; None for patient work and calls."""

    idempotent: bool = True
    key: IdempotencyKey | None = None
    key_home: IncarnationId | None = None
    """Gateway incarnation that is the home of the key; None for a plain key."""

    fingerprint: int = 0
    """Hash of caller, target and body; a key may only be reused with the same hash."""

    prompt_tokens: int = 0
    max_tokens: int = 0
    """Upper bound of generated tokens; 0 for service calls."""

    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks, each including all preceding blocks."""

    streamed: bool = False
