"""Search for the runners of one request.

A grant names the runner if the service has a model engine. The runners of plain
services are chosen by this edge.
"""

import asyncio
from collections.abc import Callable

from attrs import define, field

from ..models.routing import Route, RouteKind, ServiceProfile
from ..models.runner import RunnerEntry
from ..platform.requests import RequestFields
from ..policy.crashes.const import RETRY_AFTER_BLOCK_S
from ..policy.customers.const import OVER_QUOTA
from ..policy.edge.const import MIN_RETRY_TIME_S, RETRY_AFTER_OUTAGE_S
from ..policy.edge.silence import keeps_silent_runner, list_searches
from ..policy.scheduling.events import EndKind, GrantRequest, Reject
from ..scheduling.grant_provider import GrantResponse
from .admission import Caller
from .const import (
    ALTERNATIVE_TIMEOUT_S,
    CLOSED_RUNNER_REASON,
    CRASHING_REQUEST_REASON,
    DRAIN_MARGIN_S,
    MAX_GRANT_REQUESTS,
    NO_VERSION_REASON,
)
from .delivery import Delivery
from .event_times import EventTimes
from .finder_context import FinderContext, KeptGrant, ReservedGrant
from .origin_constraint import OriginConstraint
from .plain_grant import PlainGrant
from .request_log import RequestLog
from .retry_payment import RetryPayment


@define(eq=False, kw_only=True)
class RunnerFinder:
    """Finds the runners of one request, and releases their grants."""

    context: FinderContext
    log: RequestLog
    fields: RequestFields
    route: Route
    caller: Caller
    service: ServiceProfile
    delivery: Delivery
    deadline: float
    """Deadline of the response, in the event loop's time."""

    is_counted: bool = False
    """Whether the request has been counted for the retry budget of its service."""

    constraint: OriginConstraint = field(init=False)
    """Which runners may write the rest of a stream."""

    tried_runner_ids: set[str] = field(factory=set, init=False)
    """Runners that the request was sent to."""

    retry_payment: RetryPayment = field(init=False)

    _plain_grant: PlainGrant = field(init=False)
    """Grant of a plain service that is short of room."""

    _failed: list[str] = field(factory=list, init=False)
    """Runners that failed the request."""

    _rejecting: set[str] = field(factory=set, init=False)
    """Runners that rejected the request without running it."""

    _grant_id: str | None = field(default=None, init=False)
    """Request id of the pending or received grant."""

    _backup_runner_id: str = field(default="", init=False)
    """Runner that the grant names as the backup; empty for none."""

    _is_continued: bool = field(default=False, init=False)
    """Whether the current run began at another runner, which has been counted."""

    _quota_consumed: float = field(default=0.0, init=False)
    """Amount that the request has consumed of its customer's quota."""

    _reserved: ReservedGrant | None = field(default=None, init=False)
    _kept: KeptGrant | None = field(default=None, init=False)
    """Grant of the silent runner whose connection is kept."""

    _clock: Callable[[], float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        self.constraint = OriginConstraint(self.context.view, self.service.name)
        budgets, service = self.context.retry_budgets, self.service.name
        self.retry_payment = RetryPayment(budgets, service, self._clock)
        self._plain_grant = PlainGrant(
            self.context.plain_grant_provider, self, self._async_may_use
        )

    def count_request(self) -> None:
        """Count the request for the retry budget of its service, once."""
        if not self.is_counted and not self.is_blocked():
            self.context.retry_budgets.record_request(self.service.name)
        self.is_counted = True

    @property
    def has_reserved(self) -> bool:
        """Return whether a runner was found while the previous one was silent."""
        return self._reserved is not None

    @property
    def keeps_silent_runner(self) -> bool:
        """Return whether a silent runner is kept until another one has accepted."""
        return keeps_silent_runner(self.route, self.service, self.delivery.events)

    @property
    def may_repeat_rejected(self) -> bool:
        """Return whether a begun stream may go on at a runner that only rejected it."""
        return self.keeps_silent_runner and bool(self._list_only_rejecting(None))

    @property
    def grant_id(self) -> str | None:
        """Return the request id of the pending or received grant."""
        return self._grant_id

    def find_backup(self) -> RunnerEntry | None:
        """Return the backup that the grant names, if it accepts requests."""
        return self.find_open(self._backup_runner_id)

    def find_open(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner if it accepts requests of this edge."""
        entry = self.context.view.find_open_runner(runner_id)
        return entry if entry is not None and self._accepts_requests(entry) else None

    def is_same_open(self, runner: RunnerEntry) -> bool:
        """Return whether this incarnation of a runner still accepts requests."""
        entry = self.find_open(runner.runner_id)
        return (
            entry is not None
            and entry.started_ms == runner.started_ms
            and entry.address == runner.address
        )

    def may_still_receive(self, runner: RunnerEntry) -> bool:
        """Return whether a runner may receive a continued run, also if it leaves."""
        if self.context.crash_detector.has_crashed(runner):
            return False
        if not self.context.view.is_listed(runner):
            return False
        if self.context.signal_tracker.measure_cooldown(runner) > 0:
            return False
        closed_s = self.context.view.measure_closed_s(runner.runner_id)
        return closed_s < self.context.drain_s - DRAIN_MARGIN_S

    async def async_acquire_permit(self, runner: RunnerEntry) -> bool:
        """Acquire a permit if a runner is limited; return whether it may be used."""
        if not self._is_limited(runner):
            return True
        return await self.context.grant_provider.async_request_permit(runner) == 0

    def record_continued(self, runner_id: str) -> None:
        """Record that the run of a runner goes on at another one, as the same run."""
        if not self._is_continued:
            self.tried_runner_ids.add(runner_id)
        self._is_continued = True

    async def async_find(self) -> RunnerEntry | Reject:
        """Return the runner to send the request to, or why there is none.

        The request is checked for being blocked again when a runner is found, because
        crashes reported by other edges may have blocked it while it waited.
        """
        if self.is_blocked():
            if not self.context.crash_filter.try_probe(self.log.identity):
                return self._reject_blocked()
        found = await self._async_find_runner()
        if self.is_blocked():
            self.release_grant(EndKind.NOT_RUN)
            return self._reject_blocked()
        return found

    async def async_find_alternative(self, current_runner_id: str | None) -> bool:
        """Search for another runner while the current one is silent.

        The current runner is abandoned only if another one is found, because silence
        alone is no reason to end a response.

        Args:
            current_runner_id: The silent runner; None if there is none.
        """
        tried = {*self.tried_runner_ids}
        if current_runner_id:
            tried.add(current_runner_id)
        searches = [tried]
        if self.keeps_silent_runner:
            rejecting = self._list_only_rejecting(current_runner_id)
            searches = list_searches(tried, rejecting, self.route.max_attempts)
        if not self.try_acquire_retry(searches[0]):
            return False
        found = False
        try:
            for excluded in searches:
                found = await self._async_search_alternative([*self._failed, *excluded])
                if found:
                    break
        finally:
            if not found:
                self.retry_payment.refund()
        return found

    def _list_only_rejecting(self, current_runner_id: str | None) -> set[str]:
        """Return the runners that rejected the request in each of their attempts.

        Args:
            current_runner_id: Runner whose attempt is under way; None if there is none.
        """
        return self._rejecting - {*self._failed, current_runner_id}

    def try_acquire_retry(self, tried_runner_ids: set[str]) -> bool:
        """Acquire a credit for another attempt; return whether one may be made.

        Args:
            tried_runner_ids: Runners that the request was sent to, including a silent
                one.
        """
        if self.is_blocked():
            return False
        # A run that continues counts once, at the runner where it began.
        tried = self.tried_runner_ids if self._is_continued else tried_runner_ids
        time_left_s = self.deadline - self._clock()
        if len(tried) >= self.route.max_attempts or time_left_s < MIN_RETRY_TIME_S:
            return False
        return self.retry_payment.try_acquire()

    async def _async_search_alternative(self, excluded: list[str]) -> bool:
        """Find an alternative to a silent runner."""
        if self.service.engine is None:
            found = await self._async_find_plain_runner(excluded, ())
            if isinstance(found, Reject) or found.runner_id in excluded:
                return False
            self._reserved = ReservedGrant(None, found)
            return True
        return await self._async_request_alternative(excluded)

    def measure_events(self) -> None:
        """Measure the event times of the next stream, where schedulers use them."""
        table = self.context.view.table
        if (
            self.route.kind is RouteKind.STREAMING
            and table is not None
            and table.protects_streams(self.service.name)
        ):
            self.delivery.event_times = EventTimes()

    def handle_first_event(self) -> None:
        """Report that the first event of the current attempt arrived."""
        self.retry_payment.settle_attempt(was_sent=True)
        if self._grant_id is not None:
            self.context.grant_provider.report_first_event(self._grant_id)

    def record_attempt(self, runner_id: str, kind: EndKind, *, was_sent: bool) -> None:
        """Record the end of an attempt, and release its grant.

        Args:
            runner_id: The runner.
            kind: How the attempt ended.
            was_sent: Whether any bytes of the request were sent.
        """
        self._plain_grant.record_result(kind)
        self.release_grant(kind)
        self.retry_payment.settle_attempt(was_sent=was_sent)
        if self.service.engine is None:
            self.context.plain_grant_provider.record_result(runner_id, kind)
        if was_sent and not self._is_continued:
            self.tried_runner_ids.add(runner_id)
        self._is_continued = False
        if kind in (EndKind.NOT_HELD, EndKind.NOT_RUN):
            self._rejecting.add(runner_id)
        else:
            self._failed.append(runner_id)

    def keep_attempt(self, runner_id: str) -> None:
        """Record that the connection to a silent runner is kept, with its grant."""
        self.retry_payment.settle_attempt(was_sent=True)
        self._kept = KeptGrant(self._grant_id, self._is_continued)
        if not self._is_continued:
            self.tried_runner_ids.add(runner_id)
        self._failed.append(runner_id)
        self._grant_id, self._is_continued = None, False

    def resume_attempt(self, runner_id: str) -> None:
        """Record that the stream goes on at the silent runner that was kept."""
        self.release_reserved()
        kept, self._kept = self._kept, None
        assert kept is not None
        self._grant_id, self._is_continued = kept.grant_id, kept.is_continued
        self._backup_runner_id = ""
        self._failed.remove(runner_id)

    def release_kept(self) -> None:
        """Release the grant of the silent runner, whose connection is closed."""
        kept, self._kept = self._kept, None
        if kept is not None and kept.grant_id is not None:
            self.context.grant_provider.end_request(kept.grant_id, EndKind.FAILED)

    def release_grant(self, kind: EndKind) -> None:
        """Release the pending or received grant."""
        self._plain_grant.end(EndKind.LEFT)
        grant_id, self._grant_id = self._grant_id, None
        if grant_id is None:
            return
        times = self.delivery.event_times
        if times is None or not kind.was_served:
            self.context.grant_provider.end_request(grant_id, kind)
            return
        self.context.grant_provider.end_request(
            grant_id, kind, events=times.count, event_s=times.compute_median_s()
        )

    def release_reserved(self) -> None:
        """Release an unused alternative runner and its retry credit."""
        self.retry_payment.settle()
        reserved, self._reserved = self._reserved, None
        if reserved is not None and reserved.grant_id is not None:
            self.context.grant_provider.end_request(reserved.grant_id, EndKind.LEFT)

    def refund_quota(self) -> None:
        """Refund the quota that the request consumed, since it has not run."""
        amount, self._quota_consumed = self._quota_consumed, 0.0
        if amount and self.caller.name is not None:
            self.context.grant_provider.refund_quota(self.caller.name, amount)

    def _measure_cost(self) -> float:
        """Return what the request has yet to consume of its customer's quota."""
        return 0.0 if self._quota_consumed else self.caller.measure_cost(self.fields)

    def _consume_quota(self) -> Reject | None:
        """Consume the quota of a request that needs no grant; return why it can't."""
        cost = self._measure_cost()
        if not cost or self.caller.name is None:
            return None
        wait_s = self.context.grant_provider.consume_quota(self.caller.name, cost)
        if wait_s > 0:
            return self._make_rejection(OVER_QUOTA, wait_s, over_quota=True)
        self._quota_consumed = cost
        return None

    def is_blocked(self) -> bool:
        """Return whether the request must not run, since it makes runners crash."""
        return self.context.crash_filter.is_blocked(self.log.identity)

    def _reject_blocked(self) -> Reject:
        return self._make_rejection(CRASHING_REQUEST_REASON, RETRY_AFTER_BLOCK_S)

    async def _async_find_runner(self) -> RunnerEntry | Reject:
        """Return the runner to send the request to, or why there is none."""
        if self._reserved is not None:
            reserved, self._reserved = self._reserved, None
            self._grant_id = reserved.grant_id
            self._backup_runner_id = reserved.backup_runner_id
            if self._accepts_requests(reserved.runner):
                return reserved.runner
            self.release_grant(EndKind.LEFT)
        if self._kept is not None:
            return self._make_rejection(CLOSED_RUNNER_REASON, RETRY_AFTER_OUTAGE_S)
        if self.service.engine is None:
            return self._consume_quota() or await self._async_find_first_plain()
        for _ in range(MAX_GRANT_REQUESTS):
            response = await self._async_request_next_grant()
            if isinstance(response, Reject):
                return response
            entry = self.context.view.find_open_runner(response.runner_id)
            if entry is not None and self._accepts_requests(entry):
                return entry
            # This host has newer information about the runner than the grant provider.
            self.release_grant(EndKind.LEFT)
            if entry is None or not self._fits(entry):
                self._failed.append(response.runner_id)
        return self._make_rejection(CLOSED_RUNNER_REASON, RETRY_AFTER_OUTAGE_S)

    async def _async_request_next_grant(self) -> GrantResponse:
        """Request a grant and store its request id."""
        requested_at = self._clock()
        grant_request = self._make_grant_request(requested_at, self._failed)
        self._grant_id = grant_request.request_id
        response = await self._async_request_grant(grant_request)
        self.log.queued_s += self._clock() - requested_at
        if isinstance(response, Reject):
            self.release_grant(EndKind.LEFT)
        else:
            self._quota_consumed += grant_request.cost
            self._backup_runner_id = response.backup_runner_id
        return response

    async def _async_find_first_plain(self) -> RunnerEntry | Reject:
        """Find a plain runner, by a grant while its service is short of room."""
        found: RunnerEntry | Reject | None = None
        only = self._list_allowed()
        if not only and not self.delivery.events and self._plain_grant.is_needed:
            unusable = {*self._rejecting, *self._list_cooldowns()}
            known = self.context.view.list_runners(self.service.name)
            # Without a usable runner, the request is rejected at once.
            if any(each.runner_id not in unusable for each in known):
                found = await self._plain_grant.async_find({*self._failed, *unusable})
        if found is None:
            found = await self._async_find_plain_runner(self._failed, only)
        self._plain_grant.record_start()
        return found

    async def _async_may_use(self, runner: RunnerEntry) -> bool:
        """Return whether a granted plain runner accepts this request."""
        if runner.runner_id in self._rejecting or not self._accepts_requests(runner):
            return False
        provider = self.context.plain_grant_provider
        if runner.runner_id in provider.find_avoided(self.service.name):
            return False
        if not await self.async_acquire_permit(runner):
            return False
        provider.record_attempt(runner.runner_id)
        return True

    async def _async_find_plain_runner(
        self, excluded: list[str], only: tuple[str, ...]
    ) -> RunnerEntry | Reject:
        """Choose a plain runner, with a permit if it is limited."""
        waits = self._list_cooldowns()
        if self.constraint.origin is not None:
            only = self.constraint.list_fitting(only)
            if not only:
                return self._make_rejection(NO_VERSION_REASON, RETRY_AFTER_OUTAGE_S)
        while True:
            found = self.context.plain_grant_provider.find_runner(
                self.service.name, excluded, only, self._rejecting, waits
            )
            if isinstance(found, Reject) or not self._is_limited(found):
                return found
            wait_s = await self.context.grant_provider.async_request_permit(found)
            if wait_s == 0.0:
                return found
            waits[found.runner_id] = wait_s

    def _list_cooldowns(self) -> dict[str, float]:
        """Return the plain runners in a cooldown, and its remaining seconds."""
        tracker = self.context.signal_tracker
        if not tracker.cooldowns.has_cooldowns(self._clock()):
            return {}
        runners = self.context.view.list_runners(self.service.name)
        waits = {each.runner_id: tracker.measure_cooldown(each) for each in runners}
        return {key: wait_s for key, wait_s in waits.items() if wait_s > 0}

    def _accepts_requests(self, runner: RunnerEntry) -> bool:
        """Return whether a runner may receive the request from this edge."""
        if not self.context.view.is_open(runner) or not self._fits(runner):
            return False
        return self.context.signal_tracker.measure_cooldown(runner) == 0

    def _fits(self, runner: RunnerEntry) -> bool:
        """Return whether a runner's service and software may run the request.

        Its entry may name another service than the grant provider knows.
        """
        return runner.service == self.service.name and self.constraint.fits(runner)

    def _is_limited(self, runner: RunnerEntry) -> bool:
        limits = self.context.signal_tracker.limits
        return limits.get_limit(runner.runner_id, runner.started_ms) is not None

    async def _async_request_grant(self, grant_request: GrantRequest) -> GrantResponse:
        """Request a grant; rejected at once if the request becomes blocked."""
        future = self.context.grant_provider.request_grant(grant_request)

        def reject() -> None:
            if not future.done():
                future.set_result(self._reject_blocked())

        with self.context.crash_filter.call_if_blocked(self.log.identity, reject):
            return await future

    async def _async_request_alternative(self, excluded: list[str]) -> bool:
        grant_request = self._make_grant_request(self._clock(), excluded, repeat=True)
        grant_provider = self.context.grant_provider
        try:
            async with asyncio.timeout(ALTERNATIVE_TIMEOUT_S):
                response = await grant_provider.request_grant(grant_request)
        except (TimeoutError, asyncio.CancelledError) as error:
            grant_provider.end_request(grant_request.request_id, EndKind.LEFT)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        entry, backup_runner_id = None, ""
        if not isinstance(response, Reject):
            entry = self.context.view.find_open_runner(response.runner_id)
            backup_runner_id = response.backup_runner_id
        if entry is None or not self._accepts_requests(entry):
            grant_provider.end_request(grant_request.request_id, EndKind.LEFT)
            return False
        self._reserved = ReservedGrant(
            grant_request.request_id, entry, backup_runner_id
        )
        return True

    def _make_grant_request(
        self, now: float, excluded: list[str], *, repeat: bool = False
    ) -> GrantRequest:
        elapsed_s = now - self.delivery.arrived_at
        patience_s = min(self.deadline - now, self.route.patience_s - elapsed_s)
        if self.delivery.events:
            patience_s = self.route.patience_s
        only_runner = self.constraint.find_only_runner()
        return GrantRequest(
            request_id=f"{self.fields.request_id}/{next(self.context.request_numbers)}",
            edge=self.context.incarnation,
            service=self.service.name,
            model=self.fields.model,
            adapter=self.fields.adapter,
            prompt=self.fields.prompt,
            priority=self.caller.choose_priority(self.route),
            objective_left_s=self.route.objective_s - elapsed_s,
            patience_left_s=max(0.0, patience_s),
            excluded=tuple(excluded),
            only=(only_runner,) if only_runner else self._list_allowed(),
            customer=self.caller.name or "",
            cost=self._measure_cost(),
            route_priority=self.route.priority,
            streaming=self.route.kind is RouteKind.STREAMING,
            resumable=self.route.resumable,
            interrupted=self.constraint.origin is not None,
            software_version=self.constraint.software_version,
            repeat=repeat or bool(self.tried_runner_ids),
        )

    def _list_allowed(self) -> tuple[str, ...]:
        """Return the only runners that may receive the request; empty if any may."""
        if len(self.tried_runner_ids) < self.route.max_attempts:
            return ()
        return tuple(self.tried_runner_ids)

    def _make_rejection(
        self, reason: str, retry_after_s: float, *, over_quota: bool = False
    ) -> Reject:
        return Reject(
            edge=self.context.incarnation,
            request_id=self.fields.request_id,
            retry_after_s=retry_after_s,
            reason=reason,
            over_quota=over_quota,
        )
