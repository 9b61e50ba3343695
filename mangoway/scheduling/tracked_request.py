"""A grant request of an edge, and what became of it."""

import asyncio

from attrs import define

from ..policy.scheduling.events import GrantRequest
from .grant_provider import GrantResponse, TransferHandler
from .link import Link


@define(eq=False)
class TrackedRequest:
    """A grant request and its state."""

    grant_request: GrantRequest
    link: Link | None
    """Link to the scheduler that handles it; None for the local provider."""

    future: "asyncio.Future[GrantResponse]"

    runner_id: str | None = None
    prefilling: bool = True
    on_transfer: TransferHandler | None = None
    """Called with orders to transfer its stream; None while it takes none."""

    waiting_since: float | None = None
    """Time since which it waits for another scheduler; None if it does not wait."""

    has_waited: bool = False
    """Whether it has already waited for another scheduler; it waits only once."""
