"""Messages of the engines' protocol."""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen

from ..models.artifact import Artifact
from ..models.identifiers import AttemptId, FenceNumber, OrderId
from ..models.order import OrderOutcome


@frozen(kw_only=True)
class CompletionAttempt:
    """One try of a completion at one engine."""

    id: AttemptId
    artifact: Artifact
    prompt: str
    max_tokens: int
    priority: int = 0
    """Higher goes first."""

    resume_from: int = 0
    """Tokens that were delivered before; the engine continues behind them."""

    resume_text: str = ""
    """Text of those tokens."""

    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks, as the engine's cache events name them."""

    parameters: Mapping[str, Any] = field(factory=dict)
    """Further fields of the caller's body, passed on as they are."""

    timeout_s: float
    silence_s: float


@frozen
class CompletionChunk:
    """A piece of a completion."""

    text: str
    offset: int
    """Tokens of the whole answer up to the end of this piece."""

    finish_reason: str | None = None


@frozen(kw_only=True)
class OrderAnswer:
    """An engine's answer to an order."""

    order_id: OrderId
    outcome: OrderOutcome
    fence: FenceNumber
    """Highest fence that the engine has seen; 0 if it does not check."""
