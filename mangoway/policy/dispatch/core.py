"""The dispatch core: decides what becomes of each request."""

from collections.abc import Callable
from random import Random
from typing import Any

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId
from ...models.offer import Configuration
from ...models.request import WorkClass
from .actions import DeleteAnswer, DispatchAction, ReportDemand, WakeAt
from .admission import Admission, find_target_fault
from .arrivals import Arrivals
from .attempts import Attempts
from .choice import Chooser
from .const import DEMAND_PERIOD_S, RESERVE_PER_URGENT
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
from .outcomes import Outcomes
from .queues import Queues
from .recheck import Recheck
from .requests import Requests
from .retries import RetryBudget
from .scheduler import Scheduler
from .sickness import Sickness
from .upstreams import Upstream


class DispatchCore:
    """A pure state machine from events about requests and upstreams to actions.

    Every arrival ends in exactly one of: `Finish`, `Refuse`, `ReplayAnswer`,
    `ForwardToHome`, `ForwardToPeer`, or the end of the request that it joined.
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
        self.sickness = Sickness(self.context, self.scheduler)
        self.arrivals = Arrivals(
            self.context, self.keys, self.requests, self.admission, self.scheduler
        )
        self.outcomes = Outcomes(
            self.context,
            self.attempts,
            self.requests,
            self.scheduler,
            self.sickness,
        )
        self._wake_at: float | None = None
        self._recheck = Recheck(self.context, self.admission, self.scheduler)
        self._started = False
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RequestArrived: self._on_arrived,
            RequestCancelled: self._on_cancelled,
            AttemptProgressed: self.outcomes.progress,
            AttemptSucceeded: self.outcomes.succeed,
            AttemptFailed: self.outcomes.fail,
            AttemptCancelled: self.outcomes.end_cancelled,
            KeyClaimed: self.arrivals.end_claim,
            UpstreamListChanged: self._on_listed,
            UpstreamLeaving: self._on_leaving,
            EngineDescribed: self._on_met,
            EngineReported: self._on_reported,
            GatewayCountChanged: self._on_counted,
            PeerKeysReceived: self._on_peer_keys,
            HomesChanged: self._on_homes,
            ConfigurationChanged: self._on_configuration,
            StopRequested: self._on_stop,
            Ticked: self._on_ticked,
        }

    def handle(self, event: DispatchEvent, now: float) -> list[DispatchAction]:
        """Take one event at time `now` (seconds, never decreasing)."""
        context = self.context
        context.now = max(now, context.now)
        context.actions = []
        # What became too late in a pause ends before anything new is decided.
        context.timers.run_due(context.now)
        self._handlers[type(event)](event)
        self.outcomes.write_off()
        self._plan_wake()
        return context.actions

    def export_keys(self) -> tuple[KeyRecord, ...]:
        """Return all key records for the successor; no new key is run after this.

        Whoever gets the records, the home names one successor and keeps to it.
        """
        return self.keys.export()

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self.requests.entries and not len(self.attempts)

    # Requests.

    def _on_arrived(self, event: RequestArrived) -> None:
        self.arrivals.take(event.request)

    def _on_cancelled(self, event: RequestCancelled) -> None:
        self.requests.cancel(event.request_id)

    def _on_peer_keys(self, event: PeerKeysReceived) -> None:
        adopted = self.keys.adopt(event.home, event.keys)
        self.requests.schedule_drops(adopted)
        for record in event.keys:
            if record.answer_id is not None and not self.keys.answers_from(record):
                self.context.emit(DeleteAnswer(answer_id=record.answer_id))
        if event.last:
            self.keys.end_adoption(event.home, self.context.now)

    def _on_homes(self, event: HomesChanged) -> None:
        self.homes.follow(event)

    # Upstreams.

    def _on_listed(self, event: UpstreamListChanged) -> None:
        for upstream in self.context.fleet.follow_list(event.upstreams):
            self.scheduler.pump(upstream)

    def _on_leaving(self, event: UpstreamLeaving) -> None:
        self.context.fleet.mark_leaving(event.upstream_id)

    def _on_met(self, event: EngineDescribed) -> None:
        self.scheduler.pump(self.context.fleet.meet(event.description))

    def _on_reported(self, event: EngineReported) -> None:
        upstream = self.context.fleet.upstreams.get(event.report.upstream)
        loading = {} if upstream is None else upstream.loading
        upstream = self.context.fleet.follow_report(event.report)
        if upstream is None:
            return
        self._follow_loads(loading, upstream)
        self.scheduler.pump(upstream)

    def _follow_loads(self, before: dict[Artifact, None], upstream: Upstream) -> None:
        estimates = self.context.estimates
        now = self.context.now
        for artifact in upstream.loading:
            estimates.note_loading(artifact, True, now)
        for artifact in before:
            if artifact in upstream.ready:
                estimates.note_ready(artifact, now)
            elif not self.context.fleet.count_loading(artifact):
                estimates.note_loading(artifact, False, now)

    def _on_counted(self, event: GatewayCountChanged) -> None:
        for upstream in self.context.fleet.count_gateways(event.count):
            self.scheduler.pump(upstream)

    # The process.

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
        self.arrivals.claims.change(writes, max(1.0, writes), context.now)
        context.queues.credit_per_urgent = _find_credit(configuration)
        context.estimates.forget_others(
            lambda target: find_target_fault(target, configuration) is None
        )

    def _on_stop(self, event: StopRequested) -> None:
        if self.arrivals.stopped_at is None:
            self.arrivals.stopped_at = self.context.now

    def _on_ticked(self, event: Ticked) -> None:
        self._wake_at = None

    def _run_period(self) -> None:
        context = self.context
        context.timers.schedule(context.now + DEMAND_PERIOD_S, self._run_period)
        context.fleet.forget_old_reports(context.now)
        self._report_demand()
        if context.options.early_refusal:
            self._recheck.run()

    def _report_demand(self) -> None:
        context = self.context
        queued = {
            target: length
            for target, length in context.queues.list_lengths().items()
            if isinstance(target, Artifact)
        }
        demands = context.demand.take_digest(queued)
        context.emit(ReportDemand(period_s=DEMAND_PERIOD_S, demands=demands))

    def _plan_wake(self) -> None:
        if not self._started:
            self._started = True
            first = self.context.now + DEMAND_PERIOD_S
            self.context.timers.schedule(first, self._run_period)
        at = self.context.timers.find_next()
        if at is None:
            return
        planned = self._wake_at
        # An earlier wake that is no longer needed costs one idle tick, no more.
        if planned is None or at < planned or planned <= self.context.now:
            self._wake_at = at
            self.context.emit(WakeAt(time=at))


def _find_credit(configuration: Configuration) -> float:
    """Return what urgent starts earn for critical patient work, by class weights."""
    urgent = configuration.classes.get(WorkClass.URGENT)
    patient = configuration.classes.get(WorkClass.PATIENT)
    if urgent is None or patient is None or urgent.weight <= 0:
        return RESERVE_PER_URGENT
    return min(1.0, RESERVE_PER_URGENT * patient.weight / urgent.weight)
