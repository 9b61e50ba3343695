"""The placement core: takes events, keeps the state, returns the next steps."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from ...models.identifiers import IncarnationId, UpstreamId
from ...models.upstream import UpstreamAddress, UpstreamKind
from . import events
from .actions import Explain, PlacementAction, WakeAt
from .const import IDLE_PERIOD_S, PLAN_PERIOD_S, REASONS_KEPT
from .options import PlacementOptions
from .planner import Planner
from .registry import register_placement
from .reservations import Reservations
from .runners import Runner
from .state import PlacementState
from .status import PlacementStatus, Reason, build_status, make_reason


class PlacementCore:
    """Decides what is loaded where in one cell, for one controller.

    It may run in several controllers at once: safety rests on the ledgers and their
    compare-and-swap, the lease only says who should plan.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        options: PlacementOptions | None = None,
        rng: Random | None = None,
    ) -> None:
        """Create the core of one controller incarnation.

        Args:
            incarnation: Unique start of this controller's order identifiers.
            options: Mechanisms to take out; all are on by default.
            rng: Random source; this policy decides without one.
        """
        self.state = PlacementState(options or PlacementOptions())
        self.reservations = Reservations(self.state, incarnation)
        self._planner = Planner(self.state, self.reservations)
        self._reasons: deque[Reason] = deque(maxlen=REASONS_KEPT)
        self._plan_at = 0.0
        self._wake_at: float | None = None
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            events.LeaseGained: self._take_lease,
            events.LeaseLost: self._lose_lease,
            events.LedgerRead: self.reservations.take_read,
            events.LedgerWritten: self.reservations.take_written,
            events.LedgerConflicted: self.reservations.take_conflict,
            events.LedgerUnavailable: self.reservations.take_unavailable,
            events.OrderAnswered: self.reservations.orders.take_answer,
            events.OrderFailed: self.reservations.orders.take_failure,
            events.RunnersListed: self._take_runners,
            events.EngineDescribed: self._meet_engine,
            events.EngineReported: self._take_report,
            events.EngineSilent: self._take_silence,
            events.DemandReported: self._take_demand,
            events.ConfigurationChanged: self._take_configuration,
            events.Ticked: self._take_tick,
        }

    def handle(self, event: events.PlacementEvent, now: float) -> list[PlacementAction]:
        """Take one event at time `now` and return the next steps."""
        self._handlers[type(event)](event, now)
        if now >= self._plan_at:
            self._plan_at = now + PLAN_PERIOD_S
            self._planner.plan(now)
        self._set_alarm(now)
        actions = list(self.reservations.outbox.actions)
        self.reservations.outbox.actions.clear()
        self._reasons.extend(
            make_reason(action, now)
            for action in actions
            if isinstance(action, Explain)
        )
        return actions

    def build_status(self, now: float) -> PlacementStatus:
        """Return a snapshot for operators; it changes nothing."""
        is_active = self.reservations.access.is_active
        return build_status(self.state, is_active, self._reasons, now)

    def _set_alarm(self, now: float) -> None:
        is_due = bool(
            self.reservations.outbox.dirty or self.reservations.outbox.changed
        )
        wake_at = self._plan_at if is_due else now + IDLE_PERIOD_S
        if self.state.claims or len(self.state.queue):
            wake_at = self._plan_at
        current = self._wake_at
        if current is None or current <= now or wake_at < current:
            self._wake_at = wake_at
            self.reservations.outbox.actions.append(WakeAt(time=wake_at))

    def _take_tick(self, event: events.Ticked, now: float) -> None:
        self._wake_at = None

    def _take_lease(self, event: events.LeaseGained, now: float) -> None:
        if not self.reservations.access.is_active:
            self.reservations.activate(now)

    def _lose_lease(self, event: events.LeaseLost, now: float) -> None:
        self.reservations.deactivate()
        self.state.claims.clear()

    def _take_runners(self, event: events.RunnersListed, now: float) -> None:
        listed = {
            address.id: address
            for address in event.runners
            if address.kind is UpstreamKind.ENGINE
        }
        for upstream_id, address in listed.items():
            self._list_runner(upstream_id, address)
        for runner in list(self.state.runners.values()):
            if runner.id not in listed:
                self._unlist_runner(runner)
        self.reservations.access.read_ledgers(now)

    def _list_runner(self, upstream_id: UpstreamId, address: UpstreamAddress) -> None:
        runner = self.state.runners.get(upstream_id)
        if runner is None:
            runner = Runner(id=upstream_id, data_centre=address.data_centre)
            self.state.runners[upstream_id] = runner
        runner.listed = True
        runner.leaving = address.leaving
        self._note_leaving(runner)
        runner.data_centre = address.data_centre
        self.reservations.outbox.dirty.add(upstream_id)

    def _unlist_runner(self, runner: Runner) -> None:
        """Stop using a runner; keep what is known of orders until they are over."""
        runner.listed = False
        self.reservations.outbox.changed |= self.state.copies.remove(runner.id)
        self.state.claims.pop(runner.id, None)
        if runner.sent or runner.write is not None or runner.reads:
            return
        del self.state.runners[runner.id]

    def _note_leaving(self, runner: Runner) -> None:
        if self.state.copies.is_leaving(runner.id) == runner.is_leaving:
            return
        self.state.copies.set_leaving(runner.id, runner.is_leaving)
        self.reservations.outbox.changed |= set(self.state.copies.list_on(runner.id))
        self.reservations.outbox.dirty.add(runner.id)

    def _meet_engine(self, event: events.EngineDescribed, now: float) -> None:
        description = event.description
        runner = self.state.runners.get(description.upstream)
        if runner is None:
            return
        old = runner.description
        if old is not None and old.incarnation != description.incarnation:
            runner.report = None
            runner.appear_by.clear()
            runner.retries.clear()
            self.reservations.outbox.explain(None, runner, "engine_restarted")
        if old != description or runner.silent:
            self.reservations.outbox.dirty.add(runner.id)
        runner.description = description
        runner.silent = False
        self._note_leaving(runner)

    def _take_report(self, event: events.EngineReported, now: float) -> None:
        report = event.report
        runner = self.state.runners.get(report.upstream)
        if runner is None or runner.description is None:
            return
        if report.incarnation != runner.description.incarnation:
            return
        old = runner.report
        if old is not None and report.reported_at < old.reported_at:
            return
        is_same = runner.is_settled and not runner.silent and old is not None
        if is_same and old is not None:
            is_same = old.residents == report.residents and old.fence == report.fence
        runner.report = report
        runner.silent = False
        self._note_leaving(runner)
        if not is_same:
            self.reservations.outbox.dirty.add(runner.id)

    def _take_silence(self, event: events.EngineSilent, now: float) -> None:
        runner = self.state.runners.get(event.upstream_id)
        if runner is None or runner.silent:
            return
        runner.silent = True
        self.reservations.outbox.dirty.add(runner.id)
        self.reservations.outbox.explain(None, runner, "engine_silent")

    def _take_demand(self, event: events.DemandReported, now: float) -> None:
        self.state.demand.take(event, now)

    def _take_configuration(
        self, event: events.ConfigurationChanged, now: float
    ) -> None:
        current = self.state.configuration
        if current is not None and event.configuration.version < current.version:
            return
        self.state.configuration = event.configuration
        self.state.offered = {
            artifact: max(1, event.configuration.find_floor(artifact))
            for artifact in event.configuration.list_artifacts()
        }
        for need in self.state.queue.list_all():
            self.state.queue.drop(need.artifact)
        self.reservations.outbox.dirty.update(self.state.runners)
        self._planner.restart_floors()


@register_placement("marginal_gain")
def create_placement(
    incarnation: IncarnationId, options: PlacementOptions, rng: Random
) -> PlacementCore:
    """Create the policy that weighs copies by their marginal gain."""
    return PlacementCore(incarnation, options, rng)
