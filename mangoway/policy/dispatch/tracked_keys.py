"""The record of one idempotency key."""

from enum import Enum

from attrs import define

from ...models.errors import Failure
from ...models.identifiers import CallerId, IdempotencyKey, RequestId


class KeyState(Enum):
    """State of an idempotency key."""

    OPEN = "open"
    """A request with the key is in progress, or its claim is."""

    FREE = "free"
    """The key is claimed, but its request certainly did not run and may run again."""

    DONE = "done"
    FAILED = "failed"


@define(eq=False)
class TrackedKey:
    """The record of one idempotency key in this process."""

    caller: CallerId
    key: IdempotencyKey
    fingerprint: int
    issued_at: float
    """Time on the core's clock at which the retention begins."""

    homed: bool
    state: KeyState = KeyState.OPEN
    claimed: bool = False
    """Whether this process holds the claim of a plain key."""

    claiming: int = 0
    """Number of claims in progress."""

    leader: RequestId | None = None
    """Request with the key that is in progress."""

    answer_id: RequestId | None = None
    failure: Failure | None = None
