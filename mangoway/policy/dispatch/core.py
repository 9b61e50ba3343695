"""The dispatch core: decides how each request is handled."""

from collections.abc import Callable
from random import Random
from typing import Any

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId
from ...models.offer import Configuration
from ...models.request import WorkClass
from .actions import DeleteAnswer, DispatchAction, ReportDemand, WakeAt
from .admission import Admission, check_target_offered
from .arrivals import ArrivalHandler
from .attempts import Attempts
from .choice import Chooser
from .const import DEMAND_PERIOD_S, RESERVED_STARTS_PER_URGENT
from .context import Context
from .events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    ConfigurationChanged,
    DispatchEvent,
    EngineDescribed,
    EngineReported,
    GatewayCountChanged,
    HomesChanged,
    KeyClaimed,
    KeyRecord,
    PeerKeysReceived,
    RequestArrived,
    RequestCancelled,
    StopRequested,
    Ticked,
    UpstreamLeaving,
    UpstreamListChanged,
)
from .fleet import Fleet
from .homes import Homes
from .keys import KeyTable
from .options import DispatchOptions
from .outcomes import OutcomeHandler
from .queues import Queues
from .recheck import Recheck
from .requests import Requests
from .retries import RetryBudget
from .scheduler import Scheduler
from .upstream_health import UpstreamHealth
from .upstreams import Upstream


class DispatchCore:
    """A pure state machine from events about requests and upstreams to actions.

    Every request ends with exactly one of `FinishRequest`, `Reject`, `ReplayAnswer`,
    `ForwardToHome` and `ForwardToPeer`, or with the end of the request that it
    joined.
    """

    def __init__(
        self,
        identity: IncarnationId,
        rng: Random,
        options: DispatchOptions | None = None,
    ) -> None:
        options = options or DispatchOptions()
        fleet = Fleet(options, rng)
        queues = Queues(
            options.fair_share,
            options.patient_reserve,
            options.patient_headroom and options.patient_reserve,
        )
        self.context = Context(identity, rng, options, fleet, queues)
        self.homes = Homes(identity)
        self.keys = KeyTable(identity, self.homes, options.clock_offset_s)
        self.attempts = Attempts(self.context)
        self.requests = Requests(self.context, self.attempts, self.keys)
        estimates = self.context.estimates
        self.admission = Admission(fleet, queues, estimates, options, rng)
        chooser = Chooser(fleet, rng, options)
        self.scheduler = Scheduler(
            self.context,
            self.attempts,
            self.requests,
            self.admission,
            chooser,
            RetryBudget(),
        )
        self.upstream_health = UpstreamHealth(self.context, self.scheduler)
        self.arrivals = ArrivalHandler(
            self.context, self.keys, self.requests, self.admission, self.scheduler
        )
        self.outcomes = OutcomeHandler(
            self.context,
            self.attempts,
            self.requests,
            self.scheduler,
            self.upstream_health,
        )
        self._wakeup_at: float | None = None
        self._recheck = Recheck(self.context, self.admission, self.scheduler)
        self._started = False
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RequestArrived: self._on_arrived,
            RequestCancelled: self._on_cancelled,
            AttemptProgressed: self.outcomes.handle_progress,
            AttemptSucceeded: self.outcomes.handle_success,
            AttemptFailed: self.outcomes.handle_failure,
            AttemptCancelled: self.outcomes.handle_cancellation,
            KeyClaimed: self.arrivals.handle_claim,
            UpstreamListChanged: self._on_upstream_list,
            UpstreamLeaving: self._on_leaving,
            EngineDescribed: self._on_engine_described,
            EngineReported: self._on_engine_report,
            GatewayCountChanged: self._on_gateway_count,
            PeerKeysReceived: self._on_peer_keys,
            HomesChanged: self._on_homes,
            ConfigurationChanged: self._on_configuration,
            StopRequested: self._on_stop,
            Ticked: self._on_ticked,
        }

    def handle(self, event: DispatchEvent, now: float) -> list[DispatchAction]:
        """Handle one event at time `now` (seconds, never decreasing)."""
        context = self.context
        context.now = max(now, context.now)
        context.actions = []
        # Requests that expired while the process was paused end before new decisions.
        context.timers.run_due(context.now)
        self._handlers[type(event)](event)
        self.outcomes.expire_cancelled()
        self._schedule_wakeup()
        return context.actions

    def export_keys(self) -> tuple[KeyRecord, ...]:
        """Return all key records for the successor; no new key runs after this.

        The gateway must name a single successor and never change it, even if the
        records reach more than one gateway.
        """
        return self.keys.export()

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self.requests.entries and not len(self.attempts)

    # Requests.

    def _on_arrived(self, event: RequestArrived) -> None:
        self.arrivals.handle(event.request)

    def _on_cancelled(self, event: RequestCancelled) -> None:
        self.requests.cancel(event.request_id)

    def _on_peer_keys(self, event: PeerKeysReceived) -> None:
        adopted = self.keys.adopt(event.home, event.keys)
        self.requests.schedule_drops(adopted)
        for record in event.keys:
            if record.answer_id is not None and not self.keys.uses_answer(record):
                self.context.emit(DeleteAnswer(answer_id=record.answer_id))
        if event.last:
            self.keys.finish_adoption(event.home, self.context.now)

    def _on_homes(self, event: HomesChanged) -> None:
        self.homes.update(event)

    # Upstreams.

    def _on_upstream_list(self, event: UpstreamListChanged) -> None:
        for upstream in self.context.fleet.update_list(event.upstreams):
            self.scheduler.start_waiting(upstream)

    def _on_leaving(self, event: UpstreamLeaving) -> None:
        self.context.fleet.mark_leaving(event.upstream_id)

    def _on_engine_described(self, event: EngineDescribed) -> None:
        self.scheduler.start_waiting(
            self.context.fleet.update_description(event.description)
        )

    def _on_engine_report(self, event: EngineReported) -> None:
        upstream = self.context.fleet.upstreams.get(event.report.upstream)
        loading = {} if upstream is None else upstream.loading
        upstream = self.context.fleet.apply_report(event.report)
        if upstream is None:
            return
        self._record_loads(loading, upstream)
        self.scheduler.start_waiting(upstream)

    def _record_loads(self, before: dict[Artifact, None], upstream: Upstream) -> None:
        estimates = self.context.estimates
        now = self.context.now
        for artifact in upstream.loading:
            estimates.record_loading(artifact, True, now)
        for artifact in before:
            if artifact in upstream.ready:
                estimates.record_loaded(artifact, now)
            elif not self.context.fleet.count_loading(artifact):
                estimates.record_loading(artifact, False, now)

    def _on_gateway_count(self, event: GatewayCountChanged) -> None:
        for upstream in self.context.fleet.set_gateway_count(event.count):
            self.scheduler.start_waiting(upstream)

    # Configuration, stop and timers.

    def _on_configuration(self, event: ConfigurationChanged) -> None:
        context = self.context
        configuration = event.configuration
        known = context.configuration
        if known is not None and configuration.version < known.version:
            return
        context.configuration = configuration
        site = configuration.site
        writes = site.claim_writes_per_second
        self.keys.configure(site.key_retention_s, site.key_capacity, context.now)
        self.arrivals.limits.configure(configuration.callers, context.now)
        self.arrivals.claims.reconfigure(writes, max(1.0, writes), context.now)
        context.queues.reserved_starts_per_urgent = _compute_reserved_starts(
            configuration
        )
        context.estimates.retain(
            lambda target: check_target_offered(target, configuration) is None
        )

    def _on_stop(self, event: StopRequested) -> None:
        if self.arrivals.stopped_at is None:
            self.arrivals.stopped_at = self.context.now

    def _on_ticked(self, event: Ticked) -> None:
        self._wakeup_at = None

    def _run_periodic(self) -> None:
        context = self.context
        context.timers.schedule(context.now + DEMAND_PERIOD_S, self._run_periodic)
        context.fleet.expire_reports(context.now)
        self._report_demand()
        if context.options.early_rejection:
            self._recheck.run()

    def _report_demand(self) -> None:
        context = self.context
        queued = {
            target: length
            for target, length in context.queues.list_lengths().items()
            if isinstance(target, Artifact)
        }
        demands = context.demand.pop_demands(queued)
        context.emit(ReportDemand(period_s=DEMAND_PERIOD_S, demands=demands))

    def _schedule_wakeup(self) -> None:
        if not self._started:
            self._started = True
            first = self.context.now + DEMAND_PERIOD_S
            self.context.timers.schedule(first, self._run_periodic)
        at = self.context.timers.find_next()
        if at is None:
            return
        planned = self._wakeup_at
        # An obsolete earlier wake-up is not cancelled: it costs one idle tick only.
        if planned is None or at < planned or planned <= self.context.now:
            self._wakeup_at = at
            self.context.emit(WakeAt(time=at))


def _compute_reserved_starts(configuration: Configuration) -> float:
    """Return the reserved patient starts per urgent start, by the class weights."""
    urgent = configuration.classes.get(WorkClass.URGENT)
    patient = configuration.classes.get(WorkClass.PATIENT)
    if urgent is None or patient is None or urgent.weight <= 0:
        return RESERVED_STARTS_PER_URGENT
    return min(1.0, RESERVED_STARTS_PER_URGENT * patient.weight / urgent.weight)
