"""Choice of runners for plain services, from the state of this edge alone."""

from collections.abc import Callable, Container, Mapping
from random import Random
from typing import Final

from attrs import define, field

from ..coordination.view import FleetView
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.edge.choice import InFlight, choose_runner
from ..policy.edge.const import RETRY_AFTER_OUTAGE_S
from ..policy.edge.health import HealthTracker
from ..policy.scheduling.const import MAX_RETRY_AFTER_S, RETRY_SPREAD
from ..policy.scheduling.core import RATE_LIMITED_REASON
from ..policy.scheduling.events import EndKind, Reject
from ..scheduling.plain_client import PlainGrantClient

NO_RUNNER_REASON: Final = "no runner of the service is known"
ALL_REJECTED_REASON: Final = "each runner that may get it has refused it"
NO_WAITS: Final[dict[str, float]] = {}


@define(eq=False)
class PlainGrantProvider:
    """Chooses a runner of a plain service for each request."""

    data_centre: str
    view: FleetView
    clock: Callable[[], float]
    random: Random
    scheduler: PlainGrantClient | None = None
    """Requests grants while a service is short of room; None if that is never done."""

    in_flight: InFlight = field(factory=InFlight, init=False)
    health: HealthTracker = field(factory=HealthTracker, init=False)

    def forget_removed_runners(self) -> None:
        """Remove the health of runners that are no longer in the fleet."""
        self.health.keep_only(set(self.view.runners))

    def find_runner(
        self,
        service: str,
        excluded: list[str],
        only: tuple[str, ...],
        rejecting: Container[str] = (),
        waits: Mapping[str, float] = NO_WAITS,
    ) -> RunnerEntry | Reject:
        """Return a runner of a service, or why there is none.

        Args:
            service: Name of the service.
            excluded: Runners that failed this request; chosen only if no others exist.
            only: The only runners that may receive it; empty if any runner may.
            rejecting: Runners that rejected it. A full runner would reject it again at
                once, and each attempt counts as a retry.
            waits: Runners that accept no requests now, and for how many seconds.
        """
        now = self.clock()
        known = self.view.list_runners(service)
        allowed = [each for each in known if not only or each.runner_id in only]
        runners = [each for each in allowed if each.runner_id not in rejecting]
        if allowed and not runners:
            return _make_rejection(ALL_REJECTED_REASON)
        accepting = [each for each in runners if each.runner_id not in waits]
        if runners and not accepting:
            wait_s = min(waits[each.runner_id] for each in runners)
            spread = 1 + RETRY_SPREAD * self.random.random()
            return _make_rejection(
                RATE_LIMITED_REASON, min(MAX_RETRY_AFTER_S, wait_s) * spread
            )
        runners = accepting
        preferred = [
            each for each in runners if each.runner_id not in excluded
        ] or runners
        usable = set(
            self.health.list_usable([each.runner_id for each in preferred], now)
        )
        candidates = [each for each in preferred if each.runner_id in usable]
        runner = choose_runner(
            candidates, self.in_flight, self.data_centre, self.random
        )
        if runner is None:
            return _make_rejection(NO_RUNNER_REASON)
        self.health.record_attempt(runner.runner_id, now)
        return runner

    def find_avoided(self, service: str) -> frozenset[str]:
        """Return the runners of a service that this edge avoids."""
        known = {each.runner_id for each in self.view.list_runners(service)}
        return self.health.find_avoided(known, self.clock())

    def record_attempt(self, runner_id: str) -> None:
        """Record that a request is sent to a granted runner."""
        self.health.record_attempt(runner_id, self.clock())

    def record_result(self, runner_id: str, kind: EndKind) -> None:
        """Update the health of a runner by how a request ended there."""
        if kind.was_served:
            if self.health.record_success(runner_id):
                log_event(log.RunnerTrusted(runner_id=runner_id))
        elif kind in (EndKind.FAILED, EndKind.UNREACHABLE):
            failures = self.health.record_failure(
                runner_id, self.clock(), unreachable=kind is EndKind.UNREACHABLE
            )
            if failures:
                log_event(
                    log.RunnerAvoided(
                        runner_id=runner_id,
                        failures=failures,
                        reason="failures in a row",
                    )
                )


def _make_rejection(reason: str, retry_after_s: float = RETRY_AFTER_OUTAGE_S) -> Reject:
    return Reject(edge="", request_id="", retry_after_s=retry_after_s, reason=reason)
