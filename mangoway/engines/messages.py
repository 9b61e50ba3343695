"""Messages of the engine protocol."""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen

from ..models.artifact import Artifact
from ..models.identifiers import AttemptId, FenceNumber, OrderId
from ..models.order import OrderOutcome


@frozen(kw_only=True)
class CompletionAttempt:
    """Attempt to run a completion at one engine."""

    id: AttemptId
    artifact: Artifact
    prompt: str
    max_tokens: int
    priority: int = 0
    """Priority in the engine's queue; a higher value runs first."""

    resume_from: int = 0
    """Number of tokens that were delivered before; the engine continues after them."""

    resume_text: str = ""
    """Text of the tokens that were delivered before."""

    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks, as in the cache changes of the engine."""

    parameters: Mapping[str, Any] = field(factory=dict)
    """Other fields of the caller's body, passed on unchanged."""

    timeout_s: float
    """Maximum duration of the attempt."""

    silence_s: float
    """Time without a received byte after which the attempt fails."""


@frozen
class CompletionChunk:
    """Piece of a completion."""

    text: str
    offset: int
    """Number of tokens of the whole completion up to the end of this piece, including
    those that were delivered before the attempt."""

    finish_reason: str | None = None


@frozen(kw_only=True)
class OrderAnswer:
    """Answer of an engine to an order."""

    order_id: OrderId
    outcome: OrderOutcome
    fence: FenceNumber
    """Highest fence number that the engine has received; 0 if it checks none."""
