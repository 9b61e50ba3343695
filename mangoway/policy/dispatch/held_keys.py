"""The record of one idempotency key."""

from enum import Enum

from attrs import define

from ...models.errors import Failure
from ...models.identifiers import CallerId, IdempotencyKey, RequestId


class KeyState(Enum):
    """What happened to a key so far."""

    OPEN = "open"
    """A request with it is in progress, or its claim is on its way."""

    FREE = "free"
    """It was claimed, but certainly nothing ran; it may run again."""

    DONE = "done"
    FAILED = "failed"


@define(eq=False)
class HeldKey:
    """The record of one key."""

    caller: CallerId
    key: IdempotencyKey
    fingerprint: int
    issued_at: float
    """Time on the core's clock from which the retention counts."""

    homed: bool
    state: KeyState = KeyState.OPEN
    claimed: bool = False
    """Whether this process holds the claim of a plain key."""

    claiming: int = 0
    """Claims on their way."""

    leader: RequestId | None = None
    """Request in progress with it."""

    answer_id: RequestId | None = None
    failure: Failure | None = None
