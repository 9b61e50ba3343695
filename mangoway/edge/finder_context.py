"""What the search for the runners of one request works with."""

from itertools import count
from typing import Protocol

from attrs import frozen

from ..coordination.view import FleetView
from ..models.runner import RunnerEntry
from ..scheduling.grant_provider import GrantProvider
from .crash_detector import CrashDetector
from .crash_filter import CrashFilter
from .plain_grant_provider import PlainGrantProvider
from .retry_budgets import RetryBudgets
from .runner_ends import RunnerEnds
from .signal_tracker import SignalTracker


class FinderContext(Protocol):
    """The components that all requests of an edge share to find runners."""

    incarnation: str
    view: FleetView
    grant_provider: GrantProvider
    plain_grant_provider: PlainGrantProvider
    retry_budgets: RetryBudgets
    drain_s: float
    """Seconds for which a runner is reachable after its leaving became known."""

    crash_detector: CrashDetector
    crash_filter: CrashFilter
    runner_ends: RunnerEnds
    signal_tracker: SignalTracker
    request_numbers: "count[int]"


@frozen
class ReservedGrant:
    """A runner that was found while the previous one was silent."""

    grant_id: str | None
    """Request id of its grant; None for a plain service."""

    runner: RunnerEntry
    backup_runner_id: str = ""
    """Runner that the grant names as the backup; empty for none."""


@frozen
class KeptGrant:
    """The grant of a silent runner whose connection is kept."""

    grant_id: str | None
    """Request id of the grant; None for a plain service."""

    is_continued: bool
    """Whether its run began at another runner."""
